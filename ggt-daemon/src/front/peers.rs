//! Exchange between daemons over HTTP: store folders and cached prefixes.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::de::DeserializeOwned;
use snafu::Snafu;
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
use ggt_core::fleet::PeerDigest;
use ggt_core::store_cache::StoreBatch;
use ggt_core::store_watch::FETCH_DELAY_MS;
use ggt_core::store_watch::FETCH_HEDGE_MS;
use ggt_core::store_watch::FETCH_INTERVAL_MS;
use ggt_core::versions::OriginReply;
use ggt_core::versions::PastVersions;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::StreamKey;

/// Path at which peers fetch all cached prefixes.
const PREFIXES_PATH: &str = "/reads";
/// Path at which peers fetch the versions that targets have had.
const PAST_PATH: &str = "/past-versions";
/// Start of the paths at which peers ask which version began a stream.
const ORIGIN_PATH: &str = "/origins/";
/// Interval between checks whether a peer has a newer revision of a folder.
const FETCH_INTERVAL: Duration = Duration::from_millis(FETCH_INTERVAL_MS);
/// Time after which a second peer is asked.
const FETCH_HEDGE: Duration = Duration::from_millis(FETCH_HEDGE_MS);
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

impl FetchError {
    /// Whether the peer may reply later.
    pub const fn is_busy(&self) -> bool {
        matches!(self, Self::Status { status: 503 })
    }
}

/// Fetches changes of a folder from peers that have newer revisions, until the task is dropped.
pub async fn run_fetch(state: Rc<FrontState>, folder: StoreFolder) {
    let mut lagging_since: Option<MonoTime> = None;
    loop {
        sleep(FETCH_INTERVAL).await;
        let mut ahead = peers_ahead(&state, folder);
        if ahead.is_empty() {
            lagging_since = None;
            continue;
        }
        let now = mono_now();
        let lag_ms = now.millis_since(*lagging_since.get_or_insert(now));
        if lag_ms >= MAX_LAG_MS {
            state.set_behind(folder, true);
        }
        if lag_ms >= FETCH_DELAY_MS {
            ahead.shuffle(&mut rand::rng());
            fetch(&state, folder, &ahead, lag_ms).await;
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

/// Fetches changes from the first of these peers, and from the second too if that has not replied soon.
async fn fetch(state: &FrontState, folder: StoreFolder, peers: &[SocketAddr], lag_ms: u64) {
    let Some((first, others)) = peers.split_first() else { return };
    let mut fetching = pin!(fetch_from(state, folder, *first, lag_ms));
    if timeout(FETCH_HEDGE, &mut fetching).await.is_ok() {
        return;
    }
    let Some(second) = others.first() else {
        fetching.await;
        return;
    };
    let mut hedge = pin!(fetch_from(state, folder, *second, lag_ms));
    tokio::select! {
        has_replied = &mut fetching => if !has_replied { hedge.await; },
        has_replied = &mut hedge => if !has_replied { fetching.await; },
    }
}

/// Fetches changes from a peer and applies them; returns whether it replied.
async fn fetch_from(
    state: &FrontState,
    folder: StoreFolder,
    peer: SocketAddr,
    lag_ms: u64,
) -> bool {
    let sent_at = mono_now();
    let fetched = timeout(FETCH_TIMEOUT, fetch_untimed(state, folder, peer)).await;
    match fetched.unwrap_or(Err(FetchError::Timeout)) {
        Ok(batch) => {
            log::info!(
                "event=fetch folder={} peer={peer} revision={} lag_ms={lag_ms} after_ms={} \
                 outcome=applied",
                folder.as_str(),
                batch.revision,
                mono_now().millis_since(sent_at),
            );
            state.apply_batch(folder, batch, "peer");
            true
        }
        Err(e) => {
            log_failure(folder, peer, &e);
            false
        }
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
    let reply = get(&mut connection, peer, &path).await?;
    if reply.status != 200 {
        return Err(FetchError::Status { status: reply.status });
    }
    Ok(unpack(&reply.body)?)
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
    fetch_value(peer, PREFIXES_PATH).await
}

/// Fetches which versions the targets have had within the life of a stream, as far as a peer knows.
pub async fn fetch_past(peer: SocketAddr) -> Result<PastVersions, FetchError> {
    fetch_value(peer, PAST_PATH).await
}

async fn fetch_value<V>(peer: SocketAddr, path: &str) -> Result<V, FetchError>
where
    V: DeserializeOwned,
{
    let call = async {
        let mut connection = TargetConnection::open(peer, CONNECT_TIMEOUT).await?;
        let reply = get(&mut connection, peer, path).await?;
        if reply.status != 200 {
            return Err(FetchError::Status { status: reply.status });
        }
        Ok(unpack(&reply.body)?)
    };
    timeout(FETCH_TIMEOUT, call).await.unwrap_or(Err(FetchError::Timeout))
}

/// Asks a peer which version began a stream.
pub async fn fetch_origin(
    peer: SocketAddr,
    key: StreamKey,
    service: ServiceKey,
) -> Result<OriginReply, FetchError> {
    fetch_value(peer, &format!("{ORIGIN_PATH}{:x}/{:x}", key.0, service.0)).await
}

/// Reply body for a peer that asks which version began a stream; `path` is what follows
/// `ORIGIN_PATH`.
fn origin_reply(state: &FrontState, path: &str) -> Option<Bytes> {
    let (key, service) = path.split_once('/')?;
    let number = |text| u64::from_str_radix(text, 16).ok();
    let reply = state.origin_reply(StreamKey(number(key)?), ServiceKey(number(service)?));
    into_reply(path, pack(&reply))
}

/// Reply to a peer's request.
pub enum PeerReply {
    /// A packed value.
    Body(Bytes),
    /// The daemon has given as much as it can for now.
    Busy,
    /// There is no such path.
    Unknown,
}

/// Reply to a peer that requests a folder's changes after a revision, the cached prefixes, the versions that
/// targets have had, or the origin of a stream.
pub fn peer_reply(state: &FrontState, path: &str) -> PeerReply {
    match path {
        PREFIXES_PATH => return prefixes_reply(state),
        PAST_PATH => return past_reply(state),
        _ => {}
    }
    let body = match path.strip_prefix(ORIGIN_PATH) {
        Some(stream) => origin_reply(state, stream),
        None => folder_reply(state, path),
    };
    body.map_or(PeerReply::Unknown, PeerReply::Body)
}

fn prefixes_reply(state: &FrontState) -> PeerReply {
    let (mut pace, now) = (state.view_pace.get(), mono_now());
    if !pace.is_open(now) {
        return PeerReply::Busy;
    }
    let body = into_reply(PREFIXES_PATH, pack(&state.pool.borrow().all_prefixes()));
    if let Some(body) = &body {
        pace.record(body.len(), state.settings().link_mbps, now);
        state.view_pace.set(pace);
    }
    body.map_or(PeerReply::Unknown, PeerReply::Body)
}

fn past_reply(state: &FrontState) -> PeerReply {
    if state.is_past_pending() {
        return PeerReply::Busy;
    }
    let past = state.versions.borrow().recent_past(state.stream_memory_ms.get(), mono_now());
    into_reply(PAST_PATH, pack(&past)).map_or(PeerReply::Unknown, PeerReply::Body)
}

fn folder_reply(state: &FrontState, path: &str) -> Option<Bytes> {
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
