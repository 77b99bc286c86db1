//! State of the gossip protocol.

use ggt_core::clock::MonoTime;
use ggt_core::membership::ByteBudget;
use ggt_core::membership::GossipItem;
use ggt_core::membership::ItemTable;
use ggt_core::membership::PeerTable;

/// Burst size of the byte budget, in seconds of its rate.
const BURST_SECONDS: f64 = 6.0;

/// Peers, gossip items and the byte budget for sending them.
pub struct GossipState {
    /// Status and pings of the other daemons.
    pub peers: PeerTable,
    /// Gossip items, with the number of times each is still to be sent.
    pub items: ItemTable,
    /// Token bucket for the bytes sent.
    pub budget: ByteBudget,
    last_number: u64,
}

impl GossipState {
    /// Creates the state without gossip items, with a budget of `bytes_per_second` for sending.
    pub fn new(peers: PeerTable, bytes_per_second: u32, now: MonoTime) -> Self {
        let rate = f64::from(bytes_per_second);
        let budget = ByteBudget::new(rate, rate * BURST_SECONDS, now);
        Self { peers, items: ItemTable::default(), budget, last_number: 0 }
    }

    /// Sequence number of the next datagram.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds an item to be spread; `false` if the same or a newer item is already stored.
    pub fn add_item(&mut self, item: GossipItem) -> bool {
        let peer_count = self.peers.iter().count();
        self.items.insert(item, peer_count)
    }
}
