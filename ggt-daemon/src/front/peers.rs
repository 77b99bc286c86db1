//! Exchange between daemons: periodic digests over UDP, store folders and cached prefixes over
//! HTTP.

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
use crate::clock::time_until;
use crate::front::call::CallError;
use crate::front::call::get;
use crate::front::pack::PackError;
use crate::front::pack::PackedReply;
use crate::front::pack::pack;
use crate::front::pack::unpack;
use crate::front::state::CONNECT_TIMEOUT;
use crate::front::state::FrontState;
use crate::front::state::StoreFolder;
use crate::logging::quoted;
use crate::upstream::ConnectError;
use crate::upstream::TargetConnection;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashReport;
use ggt_core::fleet::PeerDigest;
use ggt_core::store_cache::StoreBatch;
use ggt_wire::digest::decode_digest;
use ggt_wire::digest::encode_digest;

/// Maximum size of a datagram in bytes; small enough not to be fragmented.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of targets whose load a digest reports.
const MAX_LOADS: usize = 50;
/// Maximum number of cached prefixes in a digest.
const MAX_PREFIXES: usize = 64;
/// Path at which peers fetch all cached prefixes.
const PREFIXES_PATH: &str = "/reads";
/// Maximum number of target crashes that a digest reports.
const MAX_CRASHES: usize = 24;
/// Time in milliseconds that a change has to arrive from the platform before it is fetched from a
/// peer.
const PEER_FETCH_DELAY_MS: u64 = 120;
/// Interval between checks whether a peer has a newer revision of a folder.
const FETCH_INTERVAL: Duration = Duration::from_millis(60);
/// Delay before an early digest, so that changes in quick succession go into one.
const DIGEST_DELAY: Duration = Duration::from_millis(20);
/// Timeout of one request to a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum time in milliseconds for which a starting daemon tries to fetch a large folder from
/// seeds.
const SNAPSHOT_TIMEOUT_MS: u64 = 1_000;
/// Maximum pause in milliseconds between these attempts.
const SNAPSHOT_INTERVAL_MS: u64 = 150;
/// Time in milliseconds that a daemon may lag behind its peers before it queries the platform
/// itself.
const MAX_LAG_MS: u64 = 1_000;

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
    Timeout,
    /// The peer replied with an error status.
    #[snafu(display("status {status}"))]
    Status { status: u16 },
}

/// Sends digests to the other daemons until the task is dropped.
pub async fn run_digests(state: Rc<FrontState>, socket: Rc<UdpSocket>) {
    loop {
        state.expire();
        state.connections.sweep();
        send_digests(&state, &socket).await;
        let period_ms = state.fleet.borrow().period_ms();
        // The jitter keeps daemons that started together from sending at the same moment.
        let jitter_ms = rand::rng().random_range(0..=period_ms / 5);
        tokio::select! {
            () = sleep(Duration::from_millis(period_ms + jitter_ms)) => {}
            () = state.digest_requested.notified() => sleep(DIGEST_DELAY).await,
        }
    }
}

async fn send_digests(state: &FrontState, socket: &UdpSocket) {
    let recipients = state.fleet.borrow().recipients(&state.settings().seed_peers());
    let cached_prefixes = state.pool.borrow_mut().recent_prefixes(MAX_PREFIXES);
    let crashes = state.crashes.borrow_mut().next_reports(MAX_CRASHES);
    send_digest(state, socket, &recipients, own_digest(state, cached_prefixes, &crashes)).await;
}

/// Sends a digest to a daemon that has just started, which may get requests before the next regular
/// digest.
async fn greet(state: &FrontState, socket: &UdpSocket, peer: SocketAddr) {
    let crashes = state.crashes.borrow().most_suspected(MAX_CRASHES);
    send_digest(state, socket, &[peer], own_digest(state, Vec::new(), &crashes)).await;
}

async fn send_digest(
    state: &FrontState,
    socket: &UdpSocket,
    recipients: &[SocketAddr],
    digest: PeerDigest,
) {
    let Some(bytes) = encode(digest) else { return };
    for address in recipients {
        if let Err(e) = socket.send_to(&bytes, address).await {
            log::debug!("event=digest peer={address} cause=\"{e}\"");
        }
    }
    state.metrics.record_digests(recipients.len() as u64);
}

/// Encodes a digest; halves its list of cached prefixes until it fits into a datagram.
fn encode(mut digest: PeerDigest) -> Option<Vec<u8>> {
    loop {
        match encode_digest(&digest) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => return Some(bytes),
            Ok(_) if !digest.cached_prefixes.is_empty() => {
                digest.cached_prefixes.truncate(digest.cached_prefixes.len() / 2)
            }
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

fn own_digest(
    state: &FrontState,
    cached_prefixes: Vec<(u32, u32)>,
    crashes: &[CrashReport],
) -> PeerDigest {
    let number = state.digest_number.get() + 1;
    state.digest_number.set(number);
    let pool = state.pool.borrow();
    let busy = pool.iter().filter(|(_, target)| target.own.requests > 0);
    let now = mono_now();
    let platform_age_ms = now.millis_since(state.platform_replied_at.get());
    let mut digest = PeerDigest {
        address: state.settings().peer,
        incarnation: state.incarnation,
        number,
        centre_hash: state.centre_hash,
        link_mbps: state.settings().link_mbps as u32,
        is_watching: state.is_watching(),
        age_ms: now.millis_since(state.started_at),
        is_leaving: state.is_draining(),
        target_revision: state.cache(StoreFolder::Targets).borrow().last_change_revision(),
        config_revision: state.cache(StoreFolder::Config).borrow().last_change_revision(),
        platform_age_ms: u32::try_from(platform_age_ms).unwrap_or(u32::MAX),
        loads: busy.map(|(_, target)| (target.short_hash, target.own)).take(MAX_LOADS).collect(),
        cached_prefixes,
        crashes: Vec::new(),
        known_peers: state.fleet.borrow().known_peers(number),
        crash_ages_ms: Vec::new(),
    };
    digest.set_crashes(crashes, now);
    digest
}

/// Receives digests of other daemons until the task is dropped.
pub async fn run_receiver(state: Rc<FrontState>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => {
                if let Some(peer) = apply_datagram(&state, &buffer[..length]) {
                    greet(&state, &socket, peer).await;
                }
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(e) => {
                log::warn!("event=digest cause={}", quoted(&e.to_string()));
                sleep(FETCH_INTERVAL).await;
            }
        }
    }
}

/// Applies a digest; returns the address of its daemon if that has just started.
fn apply_datagram(state: &FrontState, bytes: &[u8]) -> Option<SocketAddr> {
    let digest = match decode_digest(bytes) {
        Ok(digest) => digest,
        Err(e) => {
            log::warn!("event=digest outcome=unreadable cause=\"{e}\"");
            return None;
        }
    };
    let peer = state.fleet.borrow().is_first(&digest).then_some(digest.address);
    state.apply_digest(digest);
    peer
}

/// Fetches changes of folders from peers that have newer revisions, until the task is dropped.
pub async fn run_fetch(state: Rc<FrontState>) {
    let mut lagging_since: [Option<MonoTime>; 2] = [None; 2];
    loop {
        sleep(FETCH_INTERVAL).await;
        for (folder, since) in StoreFolder::ALL.into_iter().zip(&mut lagging_since) {
            let ahead = peers_ahead(&state, folder);
            if ahead.is_empty() {
                *since = None;
                continue;
            }
            let now = mono_now();
            let lag_ms = now.millis_since(*since.get_or_insert(now));
            if lag_ms >= MAX_LAG_MS {
                state.set_behind(folder, true);
            }
            if lag_ms >= PEER_FETCH_DELAY_MS {
                let peer = ahead[rand::rng().random_range(0..ahead.len())];
                fetch(&state, folder, peer).await;
            }
        }
    }
}

fn peers_ahead(state: &FrontState, folder: StoreFolder) -> Vec<SocketAddr> {
    let own_revision = state.cache(folder).borrow().last_change_revision();
    let fleet = state.fleet.borrow();
    let revision = |digest: &PeerDigest| match folder {
        StoreFolder::Targets => digest.target_revision,
        StoreFolder::Config => digest.config_revision,
    };
    let ahead = fleet.alive(mono_now()).filter(|peer| revision(&peer.digest) > own_revision);
    ahead.map(|peer| peer.digest.address).collect()
}

async fn fetch(state: &FrontState, folder: StoreFolder, peer: SocketAddr) {
    let fetched = timeout(FETCH_TIMEOUT, fetch_untimed(state, folder, peer)).await;
    match fetched.unwrap_or(Err(FetchError::Timeout)) {
        Ok(batch) => state.apply_batch(folder, batch, "peer"),
        Err(e) => log_failure(folder, peer, &e),
    }
}

async fn fetch_untimed(
    state: &FrontState,
    folder: StoreFolder,
    peer: SocketAddr,
) -> Result<StoreBatch, FetchError> {
    let revision = state.cache(folder).borrow().revision();
    let mut connection = TargetConnection::open(peer, CONNECT_TIMEOUT).await?;
    let path = format!("/facts/{}/{revision}", folder.as_str());
    let (status, body) = get(&mut connection, peer, &path).await?;
    if status != 200 {
        return Err(FetchError::Status { status });
    }
    Ok(unpack(&body)?)
}

/// Tries for a short time to fetch a complete folder from a seed. `None` when no seed has it, or
/// when this daemon is a seed itself, since some daemon has to read it from the platform.
pub async fn fetch_snapshot(state: &FrontState, folder: StoreFolder) -> Option<StoreBatch> {
    let settings = state.settings();
    let seeds = settings.seed_peers();
    if seeds.is_empty() || seeds.contains(&settings.peer) {
        return None;
    }
    let deadline = mono_now() + SNAPSHOT_TIMEOUT_MS;
    while mono_now() < deadline {
        let seed = seeds[rand::rng().random_range(0..seeds.len())];
        let fetched = timeout(time_until(deadline), fetch_untimed(state, folder, seed)).await;
        match fetched.unwrap_or(Err(FetchError::Timeout)) {
            Ok(batch) if batch.is_snapshot && batch.revision > 0 => {
                log::info!(
                    "event=fetch folder={} peer={seed} revision={} facts={} outcome=whole",
                    folder.as_str(),
                    batch.revision,
                    batch.changes.len(),
                );
                return Some(batch);
            }
            Ok(_) => {
                log::debug!("event=fetch folder={} peer={seed} cause=unknown", folder.as_str())
            }
            Err(e) => log_failure(folder, seed, &e),
        }
        let interval_ms = SNAPSHOT_INTERVAL_MS;
        sleep(Duration::from_millis(rand::rng().random_range(interval_ms / 2..=interval_ms))).await;
    }
    None
}

fn log_failure(folder: StoreFolder, peer: SocketAddr, error: &FetchError) {
    let cause = quoted(&error.to_string());
    log::info!("event=fetch folder={} peer={peer} cause={cause}", folder.as_str());
}

/// Fetches all cached prefixes that a peer has recorded: pairs of the short hashes of a prefix and
/// of the target that has it cached.
pub async fn fetch_prefixes(peer: SocketAddr) -> Result<Vec<(u32, u32)>, FetchError> {
    let call = async {
        let mut connection = TargetConnection::open(peer, CONNECT_TIMEOUT).await?;
        let (status, body) = get(&mut connection, peer, PREFIXES_PATH).await?;
        if status != 200 {
            return Err(FetchError::Status { status });
        }
        Ok(unpack(&body)?)
    };
    timeout(FETCH_TIMEOUT, call).await.unwrap_or(Err(FetchError::Timeout))
}

/// Packed reply body for a peer that requests a folder's changes after a revision, or the cached
/// prefixes; `None` for an unknown path.
pub fn peer_reply(state: &FrontState, path: &str) -> Option<Bytes> {
    if path == PREFIXES_PATH {
        return into_reply(path, pack(&state.pool.borrow().all_prefixes()));
    }
    let (name, after) = path.strip_prefix("/facts/")?.split_once('/')?;
    let folder = StoreFolder::ALL.into_iter().find(|folder| folder.as_str() == name)?;
    let cache = state.cache(folder).borrow();
    let key = (path.to_owned(), cache.revision());
    let mut cached = state.packed_reply.borrow_mut();
    if cached.key != key {
        let body = into_reply(path, pack(&cache.changes_since(after.parse().ok()?)))?;
        *cached = PackedReply { key, body };
    }
    Some(cached.body.clone())
}

fn into_reply(path: &str, bytes: Result<Vec<u8>, PackError>) -> Option<Bytes> {
    match bytes {
        Ok(bytes) => Some(bytes.into()),
        Err(e) => {
            log::error!("event=peer-answer path={path} cause=\"{e}\"");
            None
        }
    }
}
