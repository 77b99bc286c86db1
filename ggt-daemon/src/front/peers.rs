//! Exchange between daemons: periodic digests over UDP, facts and cached prefixes over HTTP.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use snafu::Snafu;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::clock::until;
use crate::front::call::CallError;
use crate::front::call::get;
use crate::front::pack::PackError;
use crate::front::pack::PackedFacts;
use crate::front::pack::pack;
use crate::front::pack::unpack;
use crate::front::state::CONNECT_WAIT;
use crate::front::state::FactKind;
use crate::front::state::FrontState;
use crate::logging::quoted;
use crate::upstream::ConnectError;
use crate::upstream::TargetChannel;
use ggt_core::clock::MonoTime;
use ggt_core::facts::FactBatch;
use ggt_core::fleet::PeerDigest;

/// Longest datagram in bytes; short enough not to be fragmented.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Most targets whose load a digest reports.
const MAX_LOADS: usize = 50;
/// Most cached prefixes in a digest.
const MAX_READS: usize = 64;
/// Path at which peers fetch all known cached prefixes.
const READS_PATH: &str = "/reads";
/// Most crashes of targets that a digest reports.
const MAX_DEATHS: usize = 8;
/// Time in milliseconds that a change has to arrive from the platform before it is fetched from a
/// peer.
const PLATFORM_FIRST_MS: u64 = 120;
/// Interval between checks whether a peer has newer facts.
const FETCH_STEP: Duration = Duration::from_millis(60);
/// Delay before an early digest, so that changes in quick succession go into one.
const NEWS_PAUSE: Duration = Duration::from_millis(20);
/// Timeout of one request to a peer.
const FETCH_WAIT: Duration = Duration::from_millis(1_200);
/// Longest time in milliseconds for which a starting daemon tries to fetch a large folder from seeds.
const WHOLE_WAIT_MS: u64 = 1_000;
/// Longest pause in milliseconds between these attempts.
const WHOLE_STEP_MS: u64 = 150;
/// Time in milliseconds that a daemon may lag behind its peers before it queries the platform itself.
const MAX_BEHIND_MS: u64 = 1_000;

/// Why a fetch from a peer failed.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The connection could not be opened.
    #[snafu(display("{source}"), context(false))]
    Connect { source: ConnectError },
    /// The request failed.
    #[snafu(display("{source}"), context(false))]
    Call { source: CallError },
    /// The reply body cannot be unpacked.
    #[snafu(display("reply body: {source}"), context(false))]
    Body { source: PackError },
    /// The peer did not reply in time.
    #[snafu(display("request timed out"))]
    Silent,
    /// The peer replied with an error status.
    #[snafu(display("status {status}"))]
    Status { status: u16 },
}

/// Sends digests to the other daemons until the task is dropped.
pub async fn run_digests(state: Rc<FrontState>, socket: Rc<UdpSocket>) {
    let mut number = 0;
    loop {
        state.expire();
        state.channels.sweep();
        number += 1;
        send_digests(&state, &socket, number).await;
        let period_ms = state.fleet.borrow().period_ms();
        // The jitter keeps daemons that started together from sending at the same moment.
        let jitter_ms = rand::rng().random_range(0..=period_ms / 5);
        tokio::select! {
            () = sleep(Duration::from_millis(period_ms + jitter_ms)) => {}
            () = state.news.notified() => sleep(NEWS_PAUSE).await,
        }
    }
}

async fn send_digests(state: &FrontState, socket: &UdpSocket, number: u64) {
    let settings = state.settings();
    let audience = state.fleet.borrow().audience(&settings.seed_peers());
    let digest = own_digest(state, settings.peer, number);
    let Some(bytes) = encode(digest) else { return };
    for address in &audience {
        if let Err(e) = socket.send_to(&bytes, address).await {
            log::debug!("event=digest peer={address} cause=\"{e}\"");
        }
    }
    state.metrics.note_digests(audience.len() as u64);
}

/// Encodes a digest; halves its list of cached prefixes until it fits into a datagram.
fn encode(mut digest: PeerDigest) -> Option<Vec<u8>> {
    loop {
        match postcard::to_stdvec(&digest) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => return Some(bytes),
            Ok(_) if !digest.reads.is_empty() => digest.reads.truncate(digest.reads.len() / 2),
            Ok(bytes) => {
                log::warn!("event=digest outcome=dropped bytes={}", bytes.len());
                return None;
            }
            Err(e) => {
                log::error!("event=digest outcome=dropped cause=\"{e}\"");
                return None;
            }
        }
    }
}

fn own_digest(state: &FrontState, address: SocketAddr, number: u64) -> PeerDigest {
    let reads = state.pool.borrow_mut().recent_reads(MAX_READS);
    let pool = state.pool.borrow();
    let busy = pool.iter().filter(|(_, target)| target.own.requests > 0);
    let platform_age_ms = mono_now().millis_since(state.platform_seen_at.get());
    PeerDigest {
        address,
        incarnation: state.incarnation,
        number,
        centre: state.centre,
        link_mbps: state.settings().link_mbps as u32,
        is_watching: state.is_watching(),
        age_ms: mono_now().millis_since(state.started_at),
        is_leaving: state.is_draining(),
        target_revision: state.facts(FactKind::Targets).borrow().last_change(),
        config_revision: state.facts(FactKind::Config).borrow().last_change(),
        platform_age_ms: u32::try_from(platform_age_ms).unwrap_or(u32::MAX),
        loads: busy.map(|(_, target)| (target.short_hash, target.own)).take(MAX_LOADS).collect(),
        reads,
        deaths: state.blame.borrow().latest(MAX_DEATHS),
        named: state.fleet.borrow().named(number),
    }
}

/// Receives digests of other daemons until the task is dropped.
pub async fn run_receiving(state: Rc<FrontState>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => take_digest(&state, &buffer[..length]),
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(e) => {
                log::warn!("event=digest cause={}", quoted(&e.to_string()));
                sleep(FETCH_STEP).await;
            }
        }
    }
}

fn take_digest(state: &FrontState, bytes: &[u8]) {
    let digest: PeerDigest = match postcard::from_bytes(bytes) {
        Ok(digest) => digest,
        Err(e) => return log::warn!("event=digest outcome=unreadable cause=\"{e}\""),
    };
    state.take_digest(digest);
}

/// Fetches newer facts from peers that are ahead, until the task is dropped.
pub async fn run_fetching(state: Rc<FrontState>) {
    let mut behind_since: [Option<MonoTime>; 2] = [None; 2];
    loop {
        sleep(FETCH_STEP).await;
        for (kind, since) in FactKind::ALL.into_iter().zip(&mut behind_since) {
            let ahead = peers_ahead(&state, kind);
            if ahead.is_empty() {
                *since = None;
                continue;
            }
            let now = mono_now();
            let behind_ms = now.millis_since(*since.get_or_insert(now));
            if behind_ms >= MAX_BEHIND_MS {
                state.set_behind(kind, true);
            }
            if behind_ms >= PLATFORM_FIRST_MS {
                let peer = ahead[rand::rng().random_range(0..ahead.len())];
                fetch(&state, kind, peer).await;
            }
        }
    }
}

fn peers_ahead(state: &FrontState, kind: FactKind) -> Vec<SocketAddr> {
    let known = state.facts(kind).borrow().last_change();
    let fleet = state.fleet.borrow();
    let told = |digest: &PeerDigest| match kind {
        FactKind::Targets => digest.target_revision,
        FactKind::Config => digest.config_revision,
    };
    let ahead = fleet.living(mono_now()).filter(|peer| told(&peer.digest) > known);
    ahead.map(|peer| peer.digest.address).collect()
}

async fn fetch(state: &FrontState, kind: FactKind, peer: SocketAddr) {
    let fetched = timeout(FETCH_WAIT, fetch_unbounded(state, kind, peer)).await;
    match fetched.unwrap_or(Err(FetchError::Silent)) {
        Ok(batch) => state.take_facts(kind, batch, "peer"),
        Err(e) => log_failure(kind, peer, &e),
    }
}

async fn fetch_unbounded(
    state: &FrontState,
    kind: FactKind,
    peer: SocketAddr,
) -> Result<FactBatch, FetchError> {
    let revision = state.facts(kind).borrow().revision();
    let mut channel = TargetChannel::open(peer, CONNECT_WAIT).await?;
    let path = format!("/facts/{}/{revision}", kind.as_str());
    let (status, body) = get(&mut channel, peer, &path).await?;
    if status != 200 {
        return Err(FetchError::Status { status });
    }
    Ok(unpack(&body)?)
}

/// Tries for a short time to fetch all facts of a folder from a seed. `None` when no seed has them, or
/// when this daemon is a seed itself, since some daemon has to read them from the platform.
pub async fn fetch_whole(state: &FrontState, kind: FactKind) -> Option<FactBatch> {
    let settings = state.settings();
    let seeds = settings.seed_peers();
    if seeds.is_empty() || seeds.contains(&settings.peer) {
        return None;
    }
    let give_up_at = mono_now() + WHOLE_WAIT_MS;
    while mono_now() < give_up_at {
        let seed = seeds[rand::rng().random_range(0..seeds.len())];
        let fetched = timeout(until(give_up_at), fetch_unbounded(state, kind, seed)).await;
        match fetched.unwrap_or(Err(FetchError::Silent)) {
            Ok(batch) if batch.is_whole && batch.revision > 0 => {
                log::info!(
                    "event=fetch folder={} peer={seed} revision={} facts={} outcome=whole",
                    kind.as_str(),
                    batch.revision,
                    batch.changes.len(),
                );
                return Some(batch);
            }
            Ok(_) => log::debug!("event=fetch folder={} peer={seed} cause=unknown", kind.as_str()),
            Err(e) => log_failure(kind, seed, &e),
        }
        let step_ms = WHOLE_STEP_MS;
        sleep(Duration::from_millis(rand::rng().random_range(step_ms / 2..=step_ms))).await;
    }
    None
}

fn log_failure(kind: FactKind, peer: SocketAddr, error: &FetchError) {
    let cause = quoted(&error.to_string());
    log::info!("event=fetch folder={} peer={peer} cause={cause}", kind.as_str());
}

/// Fetches all cached prefixes that a peer has recorded: pairs of the short hashes of a prefix and of
/// the target that has it cached.
pub async fn fetch_reads(peer: SocketAddr) -> Result<Vec<(u32, u32)>, FetchError> {
    let call = async {
        let mut channel = TargetChannel::open(peer, CONNECT_WAIT).await?;
        let (status, body) = get(&mut channel, peer, READS_PATH).await?;
        if status != 200 {
            return Err(FetchError::Status { status });
        }
        Ok(unpack(&body)?)
    };
    timeout(FETCH_WAIT, call).await.unwrap_or(Err(FetchError::Silent))
}

/// Packed reply body for a peer that requests facts after a revision or cached prefixes;
/// `None` for an unknown path.
pub fn peer_answer(state: &FrontState, path: &str) -> Option<Bytes> {
    if path == READS_PATH {
        return packed(path, pack(&state.pool.borrow().all_reads()));
    }
    let (folder, after) = path.strip_prefix("/facts/")?.split_once('/')?;
    let kind = FactKind::ALL.into_iter().find(|kind| kind.as_str() == folder)?;
    let facts = state.facts(kind).borrow();
    let question = (path.to_owned(), facts.revision());
    let mut kept = state.packed.borrow_mut();
    if kept.question != question {
        let answer = packed(path, pack(&facts.since(after.parse().ok()?)))?;
        *kept = PackedFacts { question, answer };
    }
    Some(kept.answer.clone())
}

fn packed(path: &str, bytes: Result<Vec<u8>, PackError>) -> Option<Bytes> {
    match bytes {
        Ok(bytes) => Some(bytes.into()),
        Err(e) => {
            log::error!("event=peer-answer path={path} cause=\"{e}\"");
            None
        }
    }
}
