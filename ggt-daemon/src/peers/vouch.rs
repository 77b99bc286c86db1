//! Asks peers for their roster epoch, so that this daemon may grant claims.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::runtime::Handle;

use crate::clock::wall_now;
use crate::peers::PeerLinks;
use crate::state::FetchHint;
use crate::state::SharedState;
use crate::state::lock;
use ggt_core::ident::DaemonName;
use ggt_wire::rpc;
use ggt_wire::rpc::EpochResult;

/// Peers asked at once.
const BATCH_PEERS: usize = 8;
/// Pause between batches: the budget for control allows no more after a restart.
const BATCH_PAUSE: Duration = Duration::from_millis(200);
/// Pause when every peer has been asked or none answers.
const IDLE_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest wait for one answer.
const ANSWER_WAIT: Duration = Duration::from_millis(1_000);

/// Asks each peer for its epoch until it has told the one in force or a later one.
pub fn run_vouching(state: &Arc<SharedState>, links: &Arc<PeerLinks>, runtime: &Handle) {
    let mut first = 0;
    loop {
        let waiting = peers_to_ask(state);
        if waiting.is_empty() {
            thread::sleep(IDLE_PAUSE);
            continue;
        }
        // Starts each batch after the last one, so that silent peers do not hold up the others.
        first %= waiting.len();
        let batch: Vec<_> =
            waiting.iter().cycle().skip(first).take(BATCH_PEERS.min(waiting.len())).collect();
        first += batch.len();
        let heard = ask_batch(state, links, runtime, &batch);
        thread::sleep(if heard == 0 { IDLE_PAUSE } else { BATCH_PAUSE });
    }
}

/// Peers of the roster that have not told the epoch in force yet.
pub fn peers_to_ask(state: &SharedState) -> Vec<(DaemonName, SocketAddr)> {
    let Some(config) = state.force() else { return Vec::new() };
    let roster = &config.accepted.model.roster;
    let holder = lock(&state.holder);
    roster
        .daemons
        .iter()
        .filter(|(name, _)| **name != state.settings.name)
        .filter(|(name, daemon)| {
            // Removed daemons count too: their claims ended once they have moved on.
            daemon.removed.is_none_or(|removed| removed <= roster.epoch)
                && !holder.has_reached(name, roster.epoch)
        })
        .map(|(name, daemon)| (name.clone(), daemon.peer))
        .collect()
}

fn ask_batch(
    state: &Arc<SharedState>,
    links: &Arc<PeerLinks>,
    runtime: &Handle,
    batch: &[&(DaemonName, SocketAddr)],
) -> usize {
    let tasks: Vec<_> = batch
        .iter()
        .map(|(name, peer)| {
            let (name, peer, links) = (name.clone(), *peer, links.clone());
            runtime.spawn(async move {
                let result = links.call::<_, EpochResult>(peer, rpc::EPOCH, &(), ANSWER_WAIT);
                (name, peer, result.await)
            })
        })
        .collect();
    let mut heard = 0;
    for task in tasks {
        let Ok((name, peer, Ok(EpochResult { epoch: Some(epoch) }))) = runtime.block_on(task)
        else {
            continue;
        };
        heard += 1;
        lock(&state.holder).note_epoch(&name, epoch, wall_now());
        let own = state.force().map_or(0, |config| config.accepted.model.roster.epoch);
        if epoch > own {
            let folder = ggt_wire::platform::FolderKind::Config;
            let _ = state.fetch_hints.try_send(FetchHint { folder, peer });
        }
    }
    heard
}
