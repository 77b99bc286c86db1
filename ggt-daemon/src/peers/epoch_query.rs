//! Queries the roster epoch of each peer. A daemon may grant claims on a key only after enough of
//! the key's other holders have reported their epoch since this process started.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rand::Rng;

use crate::clock::wall_now;
use crate::lock::lock;
use crate::peers::datagrams::send_with;
use crate::state::FetchHint;
use crate::state::SharedState;
use ggt_core::ident::DaemonName;
use ggt_core::membership::DatagramHeader;
use ggt_core::membership::PeerMessage;
use ggt_wire::platform::FolderKind;

/// Peers queried at once.
const PEERS_PER_BATCH: usize = 2;
/// Pause between batches. A query and its reply take about 250 bytes, so ten peers a second take
/// 2.5 KB, which fits the budget for control traffic after a restart.
const BATCH_PAUSE: Duration = Duration::from_millis(200);
/// Pause after each round over all peers without a confirmed epoch.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Queries each peer until it has reported the active epoch or a later one.
pub fn run_epoch_queries(state: &Arc<SharedState>) {
    loop {
        // Peers that do not reply are queried again in the next round.
        let unconfirmed = peers_without_epoch(state);
        lock(&state.epoch_queries)
            .retain(|_, name| unconfirmed.iter().any(|(other, _)| other == name));
        for batch in unconfirmed.chunks(PEERS_PER_BATCH) {
            batch.iter().for_each(|(name, peer)| send_query(state, name, *peer));
            thread::sleep(BATCH_PAUSE);
        }
        thread::sleep(ROUND_PAUSE);
    }
}

fn send_query(state: &SharedState, name: &DaemonName, peer: SocketAddr) {
    let nonce = rand::rng().random();
    lock(&state.epoch_queries).insert(nonce, name.clone());
    send_with(state, peer, &PeerMessage::AskEpoch { nonce }, &[]);
}

/// Peers of the roster that have not yet reported the active epoch.
pub fn peers_without_epoch(state: &SharedState) -> Vec<(DaemonName, SocketAddr)> {
    let Some(config) = state.active_config() else { return Vec::new() };
    let roster = &config.accepted.model.roster;
    let holder = lock(&state.claim_holder);
    roster
        .daemons
        .iter()
        .filter(|(name, _)| **name != state.settings.name)
        .filter(|(name, daemon)| {
            // Removed daemons are included: grants of the former roster end only when its holders
            // report a later epoch.
            daemon.removed.is_none_or(|removed| removed <= roster.epoch)
                && !holder.has_reached(name, roster.epoch)
        })
        .map(|(name, daemon)| (name.clone(), daemon.peer))
        .collect()
}

/// Replies to an epoch query, or records the reply to a query of this process.
pub(super) fn handle_message(
    state: &SharedState,
    header: &DatagramHeader,
    message: &PeerMessage,
    source: SocketAddr,
) {
    match message {
        PeerMessage::AskEpoch { nonce } => {
            let epoch = state.active_config().map(|config| config.accepted.model.roster.epoch);
            // A sender that is not in this daemon's roster gets the reply at its source address.
            let address = address_of(state, &header.from).unwrap_or(source);
            send_with(state, address, &PeerMessage::TellEpoch { nonce: *nonce, epoch }, &[]);
        }
        PeerMessage::TellEpoch { nonce, epoch } => {
            let queried = lock(&state.epoch_queries).remove(nonce);
            if let (Some(name), Some(epoch)) = (queried, epoch)
                && name == header.from
            {
                record_epoch(state, &name, *epoch);
            }
        }
        _ => (),
    }
}

fn record_epoch(state: &SharedState, name: &DaemonName, epoch: u64) {
    lock(&state.claim_holder).record_epoch(name, epoch, wall_now());
    let active_epoch = state.active_config().map_or(0, |config| config.accepted.model.roster.epoch);
    if let Some(peer) = address_of(state, name).filter(|_| epoch > active_epoch) {
        // If the queue is full, fetches are pending anyway.
        let _ = state.fetch_hints.try_send(FetchHint { folder: FolderKind::Config, peer });
    }
}

fn address_of(state: &SharedState, name: &DaemonName) -> Option<SocketAddr> {
    let config = state.active_config()?;
    config.accepted.model.roster.daemons.get(name).map(|daemon| daemon.peer)
}
