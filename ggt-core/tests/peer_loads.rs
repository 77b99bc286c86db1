//! Loads that peers report for targets: what they add up to at one daemon.

mod digest_fixture;
mod pool_fixture;

use std::net::SocketAddr;

use crate::digest_fixture::empty_digest;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::FleetTable;
use ggt_core::fleet::PeerDigest;
use ggt_core::targets::InFlightLoad;
use ggt_core::targets::TargetPool;

/// Peers of the daemon.
const PEERS: u8 = 20;
/// Requests of each peer at the target.
const REQUESTS: u32 = 2;

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_340).into()
}

/// One daemon's view of the fleet and of the targets.
struct DaemonView {
    fleet: FleetTable,
    pool: TargetPool,
}

impl DaemonView {
    fn new() -> Self {
        Self { fleet: FleetTable::new(address(100)), pool: TargetPool::default() }
    }

    /// Applies the digest of a peer with this many requests at the target.
    fn apply(&mut self, peer: u8, number: u64, hash: u32, requests: u32) {
        let load = InFlightLoad { requests, backlog_tokens: 0 };
        let loads = if requests > 0 { vec![(hash, load)] } else { Vec::new() };
        let digest = PeerDigest { loads, ..empty_digest(address(peer), 1, number) };
        for change in self.fleet.apply(digest, MonoTime::from_millis(number)) {
            self.pool.replace_peer_load(change.hash, change.before, change.after);
        }
    }

    /// Learns of the target from its registration.
    fn register(&mut self) {
        let known = pool_of(1);
        let records = known.iter().map(|(_, state)| state.record.clone());
        records.for_each(|record| assert!(self.pool.put(record)));
        let hash = self.hash();
        self.pool.set_peer_load(hash, self.fleet.reported_load(hash));
    }

    fn hash(&self) -> u32 {
        self.pool.short_hash_of("t0").expect("the target is known")
    }

    /// Requests in flight at the target, as they count in a choice.
    fn requests(&self) -> u32 {
        let now = MonoTime::from_millis(10);
        self.pool.choose(&query(0, 1), now).expect("should choose").load as u32
    }
}

// Guards against targets that look idle for good after a release, a scale-out or a restart of the whole fleet:
// peers report requests at a target before this daemon knows it, so their ends were subtracted from the
// requests of others, and the daemon sent most of its own there.
#[test]
fn pattern_a_target_that_peers_know_first_does_not_look_idle_to_the_last_daemon() {
    let mut known = DaemonView::new();
    known.register();
    let hash = known.hash();
    let mut view = DaemonView::new();
    (1..=PEERS).for_each(|peer| view.apply(peer, 1, hash, REQUESTS));
    view.register();
    assert_eq!(view.requests(), u32::from(PEERS) * REQUESTS);
    // The requests of half of the peers end.
    (1..=PEERS / 2).for_each(|peer| view.apply(peer, 2, hash, 0));
    assert_eq!(view.requests(), u32::from(PEERS / 2) * REQUESTS);
    (1..=PEERS).for_each(|peer| view.apply(peer, 3, hash, REQUESTS));
    assert_eq!(view.requests(), u32::from(PEERS) * REQUESTS);
}
