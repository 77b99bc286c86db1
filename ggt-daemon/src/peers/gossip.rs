//! Gossip thread: pings peers for failure detection and disseminates gossip items over UDP.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::lock::lock;
use crate::metrics::TrafficKind;
use crate::peers::datagrams::send_with;
use crate::peers::epoch_query;
use crate::state::FetchHint;
use crate::state::SharedState;
use ggt_core::clock::WallTime;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::CrashRecord;
use ggt_core::crashes::CrashSource;
use ggt_core::crashes::SuspectKey;
use ggt_core::ident::TargetName;
use ggt_core::membership::GossipItem;
use ggt_core::membership::PeerAction;
use ggt_core::membership::PeerMessage;
use ggt_core::membership::relays_of;
use ggt_core::membership::short_hash;
use ggt_core::routing::TargetKey;
use ggt_wire::auth::TAG_BYTES;
use ggt_wire::datagram;
use ggt_wire::datagram::MAX_DATAGRAM_BYTES;
use ggt_wire::datagram::PeerDatagram;
use ggt_wire::datagram::UDP_HEADER_BYTES;
use ggt_wire::platform::FolderKind;

/// Maximum wait for a datagram, which is also the timer interval.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
/// Upper bound for the header, message and tag of a datagram.
const MAX_FRAME_BYTES: usize = 160;
/// Bytes for gossip items that each datagram may use even when the byte budget is exhausted, so
/// that a daemon can always refute the suspicion that it is dead.
const RESERVED_ITEM_BYTES: usize = 48;
/// Number of peers to which a new revision is announced at once.
const ANNOUNCED_PEERS: usize = 2;

/// Runs gossip until the process exits.
pub fn run_gossip(state: &Arc<SharedState>) {
    // If setting the timeout fails, ticks happen only when datagrams arrive.
    let _ = state.socket.set_read_timeout(Some(RECEIVE_TIMEOUT));
    let mut buffer = [0_u8; 2 * MAX_DATAGRAM_BYTES];
    let mut announced = (0, 0);
    loop {
        if let Ok((length, source)) = state.socket.recv_from(&mut buffer) {
            handle_datagram(state, &buffer[..length], source);
        }
        check_pause(state);
        tick(state);
        announce_revisions(state, &mut announced);
    }
}

/// Sends the peer item `Left` for this daemon to some peers at once.
pub fn announce_departure(state: &SharedState) {
    let mut gossip = lock(&state.gossip);
    let item = gossip.peers.leave();
    gossip.add_item(item);
    drop(gossip);
    announce(state, 2 * ANNOUNCED_PEERS);
}

fn check_pause(state: &SharedState) {
    let now = mono_now();
    let Some(paused) = state.pause_detector.tick(now, state.settings.timing.refresh_ms) else {
        return;
    };
    log::warn!("event=pause paused_ms={paused}");
    lock(&state.gossip).peers.reset_pings(now);
    lock(&state.routing).drop_reports();
}

fn tick(state: &SharedState) {
    let now = mono_now();
    let mut gossip = lock(&state.gossip);
    let centre = &state.settings.data_centre;
    let relays = relays_of(gossip.peers.alive_in_centre(), centre, wall_now().as_millis());
    let is_relay = relays.contains(&state.settings.name);
    let actions = gossip.peers.on_tick(now, is_relay);
    drop(gossip);
    execute(state, actions);
}

fn announce_revisions(state: &SharedState, announced: &mut (u64, u64)) {
    let folders = lock(&state.folders);
    let current = (folders.revision(FolderKind::Config), folders.revision(FolderKind::Hosts));
    drop(folders);
    if current != *announced {
        *announced = current;
        announce(state, ANNOUNCED_PEERS);
    }
}

fn announce(state: &SharedState, count: usize) {
    let gossip = lock(&state.gossip);
    let actions = gossip.peers.announce(count);
    drop(gossip);
    execute(state, actions);
}

fn execute(state: &SharedState, actions: Vec<PeerAction>) {
    for action in actions {
        match action {
            PeerAction::Send { address, message, .. } => send(state, address, &message, None),
            PeerAction::Gossip(item) => {
                lock(&state.gossip).add_item(item);
            }
            PeerAction::Resend(item) => lock(&state.gossip).items.resend(item),
            PeerAction::Changed { name, status } => {
                log::info!("event=peer peer={name} status={}", status.as_str());
            }
        }
    }
}

/// Sends a datagram with as many pending gossip items as the byte budget allows; `urgent` is always
/// included.
fn send(
    state: &SharedState,
    address: SocketAddr,
    message: &PeerMessage,
    urgent: Option<GossipItem>,
) {
    let mut gossip = lock(&state.gossip);
    let available =
        gossip.budget.available(mono_now()).saturating_sub(MAX_FRAME_BYTES + UDP_HEADER_BYTES);
    let mut capacity =
        available.clamp(RESERVED_ITEM_BYTES, MAX_DATAGRAM_BYTES - MAX_FRAME_BYTES - TAG_BYTES);
    capacity = capacity.saturating_sub(urgent.as_ref().map_or(0, datagram::item_bytes));
    let (selected, deferred) = gossip.items.select(|item| {
        let bytes = datagram::item_bytes(item);
        let fits = bytes <= capacity;
        if fits {
            capacity -= bytes;
        }
        fits
    });
    (0..deferred).for_each(|_| gossip.budget.record_shed());
    drop(gossip);
    let items: Vec<GossipItem> = urgent.into_iter().chain(selected).collect();
    send_with(state, address, message, &items);
}

fn handle_datagram(state: &SharedState, bytes: &[u8], source: SocketAddr) {
    let traffic = state.metrics.traffic(TrafficKind::Gossip);
    traffic.add_received(bytes.len() + UDP_HEADER_BYTES);
    let datagram = match datagram::decode_datagram(&state.keys, bytes) {
        Ok(datagram) => datagram,
        Err(e) => {
            state.metrics.record_dropped(match e {
                datagram::DatagramError::Unauthenticated => "foreign",
                datagram::DatagramError::Malformed => "malformed",
                datagram::DatagramError::Version => "version",
            });
            return;
        }
    };
    if let Some(message @ (PeerMessage::AskEpoch { .. } | PeerMessage::TellEpoch { .. })) =
        &datagram.message
    {
        return epoch_query::handle_message(state, &datagram.header, message, source);
    }
    let mut gossip = lock(&state.gossip);
    if !gossip.peers.admit(&datagram.header) {
        drop(gossip);
        state.metrics.record_dropped("replayed");
        return;
    }
    let sender = gossip.peers.peer(&datagram.header.from);
    let peer = sender.map(|peer| peer.address);
    let is_own_centre = sender.is_some_and(|peer| peer.centre == state.settings.data_centre);
    let message = datagram.message.as_ref();
    let actions =
        message.map(|message| gossip.peers.on_message(&datagram.header, message, mono_now()));
    drop(gossip);
    if let Some(peer) = peer {
        check_revisions(state, &datagram, peer);
    }
    (0..datagram.skipped).for_each(|_| state.metrics.record_dropped("unknown-item"));
    for item in &datagram.items {
        apply_item(state, item, is_own_centre);
    }
    execute(state, actions.unwrap_or_default());
}

fn check_revisions(state: &SharedState, datagram: &PeerDatagram, peer: SocketAddr) {
    let folders = lock(&state.folders);
    let advertised = [
        (FolderKind::Config, datagram.header.revision),
        (FolderKind::Hosts, datagram.hosts_version),
    ];
    for (folder, revision) in advertised {
        // Compared with the active revision: a higher revision that this daemon rejected must not
        // hide an acceptable one that peers have activated.
        if revision > folders.revision(folder) {
            // If the queue is full, the peer's next datagram triggers the fetch again.
            let _ = state.fetch_hints.try_send(FetchHint { folder, peer });
        }
    }
}

/// Stores a received item, and applies it if it is new. `is_own_centre` is whether the sender
/// belongs to this data centre.
fn apply_item(state: &SharedState, item: &GossipItem, is_own_centre: bool) {
    if matches!(item, GossipItem::Crash { expires_at, .. } if wall_now() >= *expires_at) {
        return;
    }
    if !lock(&state.gossip).add_item(*item) {
        return;
    }
    match *item {
        GossipItem::Leaving { target, incarnation } => {
            let mut routing = lock(&state.routing);
            let name = target_by_hash(&routing, target).map(|(_, name)| name);
            if let Some(name) = name
                && routing.record_leaving(&name, incarnation)
            {
                log::info!("event=target target={name} incarnation={incarnation} status=leaving");
            }
        }
        GossipItem::Crash { suspect, crash, expires_at } => {
            record_crash(state, suspect, crash, expires_at);
            if !is_own_centre {
                send_to_own_centre(state, *item);
            }
        }
        GossipItem::Peer { daemon, incarnation, status } => {
            let mut gossip = lock(&state.gossip);
            let actions = gossip.peers.on_peer_item(daemon, incarnation, status, mono_now());
            drop(gossip);
            execute(state, actions);
        }
        GossipItem::Load { target, incarnation, report, is_down } => {
            let mut routing = lock(&state.routing);
            let Some((key, name)) = target_by_hash(&routing, target) else { return };
            match is_down {
                true => {
                    routing.apply_report(key, incarnation, report);
                }
                false => routing.apply_peer_report(key, incarnation, report, mono_now()),
            }
            let is_current =
                routing.target(key).is_some_and(|entry| entry.host.incarnation == incarnation);
            if is_down && is_current && routing.record_reported_down(key, mono_now()) {
                log::info!("event=target target={name} status=silent cause=peer");
            }
        }
    }
}

/// Records that a request was in flight when a target crashed, and sends this to all daemons of the
/// data centre and to some of each other data centre at once.
///
/// The regular gossip rounds would be too slow: the caller may retry at any moment through any
/// daemon.
pub fn broadcast_crash(state: &SharedState, suspect: SuspectKey, crash: CrashId) {
    let refusal_ms =
        state.active_config().map_or(0, |config| config.accepted.model.routing.crash_refusal_ms);
    let expires_at = wall_now() + refusal_ms;
    record_crash(state, suspect, crash, expires_at);
    let item = GossipItem::Crash { suspect, crash, expires_at };
    if lock(&state.gossip).add_item(item) {
        send_to_own_centre(state, item);
        send_to_other_centres(state, item);
    }
}

/// Drops gossip items on expired crashes and on targets and daemons that no longer exist.
pub fn sweep_items(state: &SharedState) {
    let now = wall_now();
    let routing = lock(&state.routing);
    let targets: BTreeSet<u32> =
        routing.iter().map(|(_, entry)| short_hash(entry.host.name.as_str())).collect();
    drop(routing);
    let mut gossip = lock(&state.gossip);
    let gossip = &mut *gossip;
    let own = short_hash(state.settings.name.as_str());
    let peers: BTreeSet<u32> =
        gossip.peers.iter().map(|peer| short_hash(peer.name.as_str())).chain([own]).collect();
    gossip.items.retain(|item| match item {
        GossipItem::Crash { expires_at, .. } => now < *expires_at,
        GossipItem::Leaving { target, .. } | GossipItem::Load { target, .. } => {
            targets.contains(target)
        }
        GossipItem::Peer { daemon, .. } => peers.contains(daemon),
    });
}

fn send_to_own_centre(state: &SharedState, item: GossipItem) {
    let gossip = lock(&state.gossip);
    let actions = gossip.peers.announce(usize::MAX);
    drop(gossip);
    send_all(state, actions, item);
}

fn send_to_other_centres(state: &SharedState, item: GossipItem) {
    let gossip = lock(&state.gossip);
    let actions = gossip.peers.announce_to_other_centres();
    drop(gossip);
    send_all(state, actions, item);
}

fn send_all(state: &SharedState, actions: Vec<PeerAction>, item: GossipItem) {
    for action in actions {
        if let PeerAction::Send { address, message, .. } = action {
            send(state, address, &message, Some(item));
        }
    }
}

fn record_crash(state: &SharedState, suspect: SuspectKey, crash: CrashId, expires_at: WallTime) {
    let remaining_ms = expires_at.as_millis().saturating_sub(wall_now().as_millis());
    let now = mono_now();
    let expires_at = now + remaining_ms;
    // Items are sent on by the gossip table, so the source makes no difference here.
    let source = CrashSource::Peer;
    let record = CrashRecord { suspect, crash, noticed_at: now, expires_at, source };
    lock(&state.crashes).record_crash(record);
}

fn target_by_hash(
    routing: &ggt_core::routing::RoutingTable,
    hash: u32,
) -> Option<(TargetKey, TargetName)> {
    routing
        .iter()
        .find(|(_, entry)| short_hash(entry.host.name.as_str()) == hash)
        .map(|(key, entry)| (key, entry.host.name.clone()))
}
