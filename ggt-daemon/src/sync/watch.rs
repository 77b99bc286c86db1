//! Reads published folders from the platform: by long polling on the data centre's watchers, by
//! infrequent polls on all other daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use http::Method;
use rand::Rng;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::lock::lock;
use crate::metrics::TrafficKind;
use crate::settings::PLATFORM_REPLY_MS;
use crate::state::SharedState;
use crate::sync::apply_folder;
use crate::upstream::CallFailure;
use crate::upstream::blocking_call;
use ggt_core::membership::watchers_of;
use ggt_wire::platform::FolderKind;
use ggt_wire::platform::FolderManifest;
use ggt_wire::platform::PublishedFolder;

/// Minimum average interval between two polls by any non-watching daemon of a data centre. The
/// jitter makes it up to twice as long.
const CENTRE_POLL_INTERVAL_MS: u64 = 5_000;
/// Interval at which a waiting daemon checks whether it has become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a starting daemon checks whether the bootstrap from its seeds is finished.
const BOOTSTRAP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a request to the platform, in addition to the waiting time of a long poll.
const REPLY_TIMEOUT: Duration = Duration::from_millis(PLATFORM_REPLY_MS);

/// Error of a read from the platform.
#[derive(Debug, Snafu)]
pub enum WatchError {
    /// The request failed.
    #[snafu(display("platform: {source}"))]
    Call {
        /// Underlying error of the call.
        source: CallFailure,
    },
    /// The platform replied with a status other than 200.
    #[snafu(display("platform: status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The manifest is not valid JSON of the expected form.
    #[snafu(display("platform: manifest: {source}"))]
    Manifest {
        /// Underlying JSON error.
        source: serde_json::Error,
    },
    /// A file does not match the digest in the manifest, or is missing.
    #[snafu(display("platform: a file changed while it was read"))]
    FileChanged,
    /// The settings have no platform address.
    #[snafu(display("platform: no address"))]
    NoAddress,
}

/// Keeps one folder up to date from the platform until the process exits.
pub fn run_watching(state: &Arc<SharedState>, kind: FolderKind) {
    let timing = state.settings.timing;
    let mut backoff = timing.backoff_ms;
    while state.bootstrapped.get().is_none() {
        thread::sleep(BOOTSTRAP_CHECK_INTERVAL);
    }
    loop {
        let is_watcher = is_watcher(state);
        let wait_ms = if is_watcher { timing.watch_ms } else { 0 };
        match poll_platform(state, kind, wait_ms) {
            Ok(()) => {
                backoff = timing.backoff_ms;
                state.pause_detector.record_refresh();
            }
            Err(e) => {
                log::info!(
                    "event=platform folder={} backoff_ms={backoff} cause=\"{e}\"",
                    kind.as_str()
                );
                sleep_jittered(backoff);
                backoff = (2 * backoff).min(timing.backoff_max_ms);
                continue;
            }
        }
        if !is_watcher {
            sleep_until_next_poll(state);
        }
    }
}

fn is_watcher(state: &SharedState) -> bool {
    let gossip = lock(&state.gossip);
    let alive = gossip.peers.alive_in_centre();
    watchers_of(alive, &state.settings.data_centre).contains(&state.settings.name)
}

/// Sleeps until the next poll, with jitter. The time is proportional to the number of daemons that
/// are alive, so that the data centre's total poll rate does not grow with it. Ends early if this
/// daemon becomes a watcher.
fn sleep_until_next_poll(state: &SharedState) {
    let alive = lock(&state.gossip).peers.alive_in_centre().count() as u64;
    let max_ms = 2 * CENTRE_POLL_INTERVAL_MS * alive.max(1);
    let mut remaining = Duration::from_millis(rand::rng().random_range(max_ms / 2..=max_ms));
    while remaining > Duration::ZERO && !is_watcher(state) {
        thread::sleep(ROLE_CHECK_INTERVAL.min(remaining));
        remaining = remaining.saturating_sub(ROLE_CHECK_INTERVAL);
    }
}

fn sleep_jittered(millis: u64) {
    let jittered = rand::rng().random_range(millis / 2..=millis);
    thread::sleep(Duration::from_millis(jittered));
}

fn poll_platform(state: &SharedState, kind: FolderKind, wait_ms: u64) -> Result<(), WatchError> {
    let above = lock(&state.folders).slot(kind).gate.fetch_above();
    let mut result = Err(WatchError::NoAddress);
    for address in &state.settings.platform {
        result = poll_address(state, kind, *address, above, wait_ms);
        if result.is_ok() {
            break;
        }
    }
    result
}

fn poll_address(
    state: &SharedState,
    kind: FolderKind,
    address: SocketAddr,
    above: u64,
    wait_ms: u64,
) -> Result<(), WatchError> {
    let path = format!("/v1/{}/manifest?after={above}&wait_ms={wait_ms}", kind.as_str());
    let timeout = REPLY_TIMEOUT + Duration::from_millis(wait_ms);
    let text = get(state, address, &path, timeout)?;
    let manifest: FolderManifest = serde_json::from_str(&text).context(ManifestSnafu)?;
    if manifest.revision <= above {
        if manifest.revision < lock(&state.folders).revision(kind) {
            // The platform serves an older revision, which is only counted as stale.
            lock(&state.folders).slot_mut(kind).gate.offer(manifest.revision, true);
        }
        if wait_ms > 0 && manifest.revision < above {
            // A platform with an older revision replies to a long poll at once; without a pause,
            // `run_watching` would loop without waiting.
            sleep_jittered(state.settings.timing.backoff_ms);
        }
        return Ok(());
    }
    let mut texts = lock(&state.folders).slot(kind).folder.by_digest();
    if let Err(missing) = PublishedFolder::assemble(&manifest, &texts) {
        let fetched = read_files(state, kind, address, &manifest, &missing)?;
        texts.extend(fetched);
    }
    let folder = PublishedFolder::assemble(&manifest, &texts).ok().context(FileChangedSnafu)?;
    apply_folder(state, kind, folder, "platform");
    Ok(())
}

fn read_files(
    state: &SharedState,
    kind: FolderKind,
    address: SocketAddr,
    manifest: &FolderManifest,
    names: &[String],
) -> Result<BTreeMap<ggt_wire::platform::FileDigest, String>, WatchError> {
    let mut texts = BTreeMap::new();
    for name in names {
        let Some(digest) = manifest.files.get(name) else { continue };
        let path = format!("/v1/{}/files/{}/{name}", kind.as_str(), manifest.revision);
        let text = get(state, address, &path, REPLY_TIMEOUT)?;
        if ggt_wire::platform::FileDigest::of(&text) != *digest {
            return FileChangedSnafu.fail();
        }
        texts.insert(*digest, text);
    }
    Ok(texts)
}

fn get(
    state: &SharedState,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<String, WatchError> {
    let connect = Duration::from_millis(state.settings.timing.connect_ms);
    let counter = state.metrics.traffic(TrafficKind::Platform);
    let (status, text) =
        blocking_call(address, &Method::GET, path, connect, timeout, Some(counter))
            .context(CallSnafu)?;
    if status == 200 { Ok(text) } else { StatusSnafu { status }.fail() }
}
