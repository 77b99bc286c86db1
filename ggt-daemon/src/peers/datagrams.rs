//! Sends signed UDP datagrams to peers.

use std::net::SocketAddr;

use crate::lock::lock;
use crate::metrics::TrafficKind;
use crate::state::SharedState;
use ggt_core::membership::DatagramHeader;
use ggt_core::membership::GossipItem;
use ggt_core::membership::PeerMessage;
use ggt_wire::datagram;
use ggt_wire::datagram::UDP_HEADER_BYTES;
use ggt_wire::platform::FolderKind;

/// Sends a datagram with exactly these items and charges it to the gossip budget.
pub(super) fn send_with(
    state: &SharedState,
    address: SocketAddr,
    message: &PeerMessage,
    items: &[GossipItem],
) {
    let folders = lock(&state.folders);
    let revision = folders.revision(FolderKind::Config);
    let hosts_version = folders.revision(FolderKind::Hosts);
    drop(folders);
    let mut gossip = lock(&state.gossip);
    let header = DatagramHeader {
        from: state.settings.name.clone(),
        incarnation: gossip.peers.incarnation(),
        number: gossip.next_number(),
        revision,
    };
    let Ok(bytes) = datagram::encode_datagram(&state.keys, &header, hosts_version, message, items)
    else {
        return;
    };
    let cost = bytes.len() + UDP_HEADER_BYTES;
    gossip.budget.spend(cost);
    state.metrics.traffic(TrafficKind::Gossip).add_sent(cost);
    // A send error is handled like a datagram lost in the network.
    let _ = state.socket.send_to(&bytes, address);
}
