//! Fetches published folders from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use tokio::runtime::Handle;

use crate::clock::mono_now;
use crate::lock::lock;
use crate::peers::LinkError;
use crate::peers::PeerLinks;
use crate::state::FetchHint;
use crate::state::SharedState;
use crate::sync::apply_folder;
use ggt_wire::platform::FileDigest;
use ggt_wire::platform::FolderKind;
use ggt_wire::platform::PublishedFolder;
use ggt_wire::rpc;
use ggt_wire::rpc::FetchParams;
use ggt_wire::rpc::FetchResult;

/// Timeout of a fetch call.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval at which the need for a refresh is checked while no hint arrives.
const REFRESH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum peers tried per refresh after a process pause.
const MAX_REFRESH_PEERS: usize = 3;

/// Fetches folders at start from the seeds, later when a peer has a newer revision or after a
/// process pause. Runs until the process exits.
pub fn run_fetching(
    state: &Arc<SharedState>,
    links: &PeerLinks,
    runtime: &Handle,
    hints: &Receiver<FetchHint>,
) {
    bootstrap(state, links, runtime);
    let _ = state.bootstrapped.set(());
    loop {
        if let Ok(hint) = hints.recv_timeout(REFRESH_CHECK_INTERVAL) {
            fetch_logged(state, links, runtime, hint.folder, hint.peer);
        }
        if state.pause_detector.needs_refresh() {
            refresh(state, links, runtime);
        }
    }
}

/// Fetches both folders from the seeds within `timing.bootstrap_ms`, so that the daemon starts with
/// the highest revision that any of them has.
fn bootstrap(state: &SharedState, links: &PeerLinks, runtime: &Handle) {
    let deadline = mono_now() + state.settings.timing.bootstrap_ms;
    let seeds = state.settings.seeds.iter().filter(|seed| **seed != state.settings.peer);
    for seed in seeds {
        for kind in FolderKind::ALL {
            if mono_now() < deadline {
                fetch_logged(state, links, runtime, kind, *seed);
            }
        }
    }
}

fn refresh(state: &SharedState, links: &PeerLinks, runtime: &Handle) {
    let gossip = lock(&state.gossip);
    let peers: Vec<SocketAddr> = gossip
        .peers
        .iter()
        .filter(|peer| peer.is_alive())
        .map(|peer| peer.address)
        .take(MAX_REFRESH_PEERS)
        .collect();
    drop(gossip);
    for peer in peers {
        let is_fresh =
            FolderKind::ALL.into_iter().all(|kind| fetch_logged(state, links, runtime, kind, peer));
        if is_fresh {
            log::info!("event=refreshed peer={peer}");
            state.pause_detector.record_refresh();
            return;
        }
    }
}

/// Fetches a folder from a peer and logs a failure; returns whether the call succeeded.
fn fetch_logged(
    state: &SharedState,
    links: &PeerLinks,
    runtime: &Handle,
    kind: FolderKind,
    peer: SocketAddr,
) -> bool {
    match fetch(state, links, runtime, kind, peer) {
        Ok(()) => true,
        Err(e) => {
            log::info!("event=fetch folder={} peer={peer} cause=\"{e}\"", kind.as_str());
            false
        }
    }
}

fn fetch(
    state: &SharedState,
    links: &PeerLinks,
    runtime: &Handle,
    kind: FolderKind,
    peer: SocketAddr,
) -> Result<(), LinkError> {
    let folders = lock(&state.folders);
    let above = folders.revision(kind);
    let mut texts = folders.slot(kind).folder.by_digest();
    drop(folders);
    let have: Vec<FileDigest> = texts.keys().copied().collect();
    let params = FetchParams { folder: kind, above, have };
    let call = links.call::<_, FetchResult>(peer, rpc::FETCH, &params, FETCH_TIMEOUT);
    let result = runtime.block_on(call)?;
    for (name, incarnation) in &result.leaving {
        lock(&state.routing).record_leaving(name, *incarnation);
    }
    let Some(manifest) = result.manifest else { return Ok(()) };
    texts.extend(result.texts.into_iter().filter(|(digest, text)| FileDigest::of(text) == *digest));
    if let Ok(folder) = PublishedFolder::assemble(&manifest, &texts) {
        apply_folder(state, kind, folder, "peer");
    }
    Ok(())
}
