//! Peers, news and the byte budget for both.

use ggt_core::clock::MonoTime;
use ggt_core::membership::ByteBudget;
use ggt_core::membership::GossipItem;
use ggt_core::membership::ItemTable;
use ggt_core::membership::PeerTable;

/// Seconds of the budget that may be spent at once after a calm.
const BURST_SECONDS: f64 = 6.0;

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
    /// Gossip without news, with a budget of `bytes` a second for what is sent.
    pub fn new(peers: PeerTable, bytes: u32, now: MonoTime) -> Self {
        let rate = f64::from(bytes);
        let budget = ByteBudget::new(rate, rate * BURST_SECONDS, now);
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
