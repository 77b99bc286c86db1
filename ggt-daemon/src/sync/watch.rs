//! Watches a folder at the platform, or looks at it now and then.

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
use crate::state::SharedState;
use crate::sync::offer_folder;
use crate::upstream::CallFailure;
use crate::upstream::simple_call;
use ggt_core::membership::watchers_of;
use ggt_wire::platform::FolderKind;
use ggt_wire::platform::FolderManifest;
use ggt_wire::platform::PublishedFolder;

/// Between the looks of all daemons of a data centre that hold no watch, taken together.
const CENTRE_LOOK_MILLIS: u64 = 5_000;
/// How often a daemon asks itself whether it must hold a watch.
const ROLE_CHECK: Duration = Duration::from_millis(500);
/// How often a starting daemon looks whether its seeds have been asked.
const BOOT_CHECK: Duration = Duration::from_millis(20);
/// Longest wait for a short answer of the platform.
const ANSWER_WAIT: Duration = Duration::from_millis(2_000);

/// Why the platform's answer cannot be used.
#[derive(Debug, Snafu)]
pub enum WatchError {
    /// No address answered.
    #[snafu(display("platform: {source}"))]
    Call {
        /// The cause.
        source: CallFailure,
    },
    /// The platform answered with an error.
    #[snafu(display("platform: status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// The manifest does not decode.
    #[snafu(display("platform: manifest: {source}"))]
    Manifest {
        /// The cause.
        source: serde_json::Error,
    },
    /// A file changed while it was read.
    #[snafu(display("platform: a file changed while it was read"))]
    Moved,
    /// The settings name no platform.
    #[snafu(display("platform: no address"))]
    NoAddress,
}

/// Keeps one folder fresh from the platform for as long as the process lives.
pub fn run_watching(state: &Arc<SharedState>, kind: FolderKind) {
    let timing = state.settings.timing;
    let mut backoff = timing.backoff_ms;
    while state.bootstrapped.get().is_none() {
        thread::sleep(BOOT_CHECK);
    }
    loop {
        let is_watcher = is_watcher(state);
        let wait = if is_watcher { timing.watch_ms } else { 0 };
        match look(state, kind, wait) {
            Ok(()) => {
                backoff = timing.backoff_ms;
                state.pace.note_refreshed();
            }
            Err(e) => {
                log::info!(
                    "event=platform folder={} backoff_ms={backoff} cause=\"{e}\"",
                    kind.as_str()
                );
                pause_jittered(backoff);
                backoff = (2 * backoff).min(timing.backoff_max_ms);
                continue;
            }
        }
        if !is_watcher {
            rest(state);
        }
    }
}

fn is_watcher(state: &SharedState) -> bool {
    let gossip = lock(&state.gossip);
    let living = gossip.peers.living_in_centre();
    watchers_of(living, &state.settings.data_centre).contains(&state.settings.name)
}

/// Rests so long that the data centre's daemons together look at a steady rate, whatever their
/// number, and no longer than this daemon remains free of a watch.
fn rest(state: &SharedState) {
    let living = lock(&state.gossip).peers.living_in_centre().count() as u64;
    let longest = 2 * CENTRE_LOOK_MILLIS * living.max(1);
    let mut left = Duration::from_millis(rand::rng().random_range(longest / 2..=longest));
    while left > Duration::ZERO && !is_watcher(state) {
        thread::sleep(ROLE_CHECK.min(left));
        left = left.saturating_sub(ROLE_CHECK);
    }
}

fn pause_jittered(millis: u64) {
    let jittered = rand::rng().random_range(millis / 2..=millis);
    thread::sleep(Duration::from_millis(jittered));
}

fn look(state: &SharedState, kind: FolderKind, wait_ms: u64) -> Result<(), WatchError> {
    let above = lock(&state.folders).slot(kind).gate.wanted_above();
    let mut last = Err(WatchError::NoAddress);
    for address in &state.settings.platform {
        last = look_at(state, kind, *address, above, wait_ms);
        if last.is_ok() {
            break;
        }
    }
    last
}

fn look_at(
    state: &SharedState,
    kind: FolderKind,
    address: SocketAddr,
    above: u64,
    wait_ms: u64,
) -> Result<(), WatchError> {
    let path = format!("/v1/{}/manifest?after={above}&wait_ms={wait_ms}", kind.as_str());
    let wait = ANSWER_WAIT + Duration::from_millis(wait_ms);
    let text = get(state, address, &path, wait)?;
    let manifest: FolderManifest = serde_json::from_str(&text).context(ManifestSnafu)?;
    if manifest.revision <= above {
        if manifest.revision < lock(&state.folders).revision(kind) {
            // The platform serves an older revision: counted, never used.
            lock(&state.folders).slot_mut(kind).gate.offer(manifest.revision, true);
        }
        if wait_ms > 0 && manifest.revision < above {
            // A stale platform answers a watch at once, which must not become a busy loop.
            pause_jittered(state.settings.timing.backoff_ms);
        }
        return Ok(());
    }
    let mut texts = lock(&state.folders).slot(kind).folder.by_digest();
    if let Err(missing) = PublishedFolder::assemble(&manifest, &texts) {
        let fetched = read_files(state, kind, address, &manifest, &missing)?;
        texts.extend(fetched);
    }
    let folder = PublishedFolder::assemble(&manifest, &texts).ok().context(MovedSnafu)?;
    offer_folder(state, kind, folder, "platform");
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
        let text = get(state, address, &path, ANSWER_WAIT)?;
        if ggt_wire::platform::FileDigest::of(&text) != *digest {
            return MovedSnafu.fail();
        }
        texts.insert(*digest, text);
    }
    Ok(texts)
}

fn get(
    state: &SharedState,
    address: SocketAddr,
    path: &str,
    wait: Duration,
) -> Result<String, WatchError> {
    let connect = Duration::from_millis(state.settings.timing.connect_ms);
    let counter = state.metrics.traffic(TrafficKind::Platform);
    let (status, text) = simple_call(address, &Method::GET, path, connect, wait, Some(counter))
        .context(CallSnafu)?;
    if status == 200 { Ok(text) } else { StatusSnafu { status }.fail() }
}
