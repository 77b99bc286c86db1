//! Peers, news and the byte budget for both.

use ggt_core::clock::MonoTime;
use ggt_core::membership::ByteBudget;
use ggt_core::membership::GossipItem;
use ggt_core::membership::ItemTable;
use ggt_core::membership::PeerTable;

/// Bytes a second that this daemon may send as gossip; as many come in on average.
const GOSSIP_BYTES_PER_SECOND: f64 = 1_000.0;
/// Bytes that may be sent at once after a calm.
const GOSSIP_BURST_BYTES: f64 = 6_000.0;

/// Peers, news and the byte budget for both.
pub struct GossipState {
    /// The peers.
    pub peers: PeerTable,
    /// The news.
    pub items: ItemTable,
    /// The byte budget.
    pub budget: ByteBudget,
    last_number: u64,
}

impl GossipState {
    /// Gossip without news.
    pub fn new(peers: PeerTable, now: MonoTime) -> Self {
        let budget = ByteBudget::new(GOSSIP_BYTES_PER_SECOND, GOSSIP_BURST_BYTES, now);
        Self { peers, items: ItemTable::default(), budget, last_number: 0 }
    }

    /// The number of the next datagram.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Spreads an item unless a newer one is known; returns whether it was news.
    pub fn spread(&mut self, item: GossipItem) -> bool {
        let peer_count = self.peers.iter().count();
        self.items.take(item, peer_count)
    }
}
