//! From which daemons a starting one fetches its view of the prefix caches, and how often a daemon gives it.

use std::net::SocketAddr;

use crate::clock::MonoTime;
use crate::fleet::FleetTable;
use crate::fleet::PeerState;
use crate::fleet::members::member_hash;
use crate::fleet::pace::BYTES_PER_MS;
use crate::routing::rendezvous_score;

/// Uptime in milliseconds from which a daemon's view is considered filled by its own traffic.
pub const MIN_WARM_AGE_MS: u64 = 5_000;
/// Maximum number of daemons that are queried in a row.
const MAX_WARM_PEERS: usize = 3;
/// Part of a host's link that may be taken by views for starting daemons; the rest is for requests.
const VIEW_LINK_FRACTION: f64 = 0.1;

impl FleetTable {
    /// The daemons that a starting one queries for their view, in this order. Starting daemons are spread over those
    /// that have a filled view, by the bandwidth of their links.
    pub fn warm_peers(&self, now: MonoTime) -> Vec<SocketAddr> {
        let own_hash = member_hash(self.own_address);
        let score = |peer: &PeerState| {
            let weight = f64::from(peer.digest.link_mbps.max(1));
            rendezvous_score(own_hash, peer.member_hash, weight)
        };
        let warm = self.alive(now).filter(|peer| peer.digest.age_ms >= MIN_WARM_AGE_MS);
        let mut warm: Vec<_> = warm.map(|peer| (score(peer), peer.digest.address)).collect();
        warm.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        warm.into_iter().take(MAX_WARM_PEERS).map(|(_, address)| address).collect()
    }
}

/// Keeps the views that a daemon gives to starting ones from filling its link.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewPace {
    /// When the next view may be given.
    opens_at: MonoTime,
}

impl ViewPace {
    /// Whether a view may be given now.
    pub fn is_open(&self, now: MonoTime) -> bool {
        now >= self.opens_at
    }

    /// Records that a view of `bytes` bytes is given on a link of `link_mbps` megabits per second.
    pub fn record(&mut self, bytes: usize, link_mbps: f64, now: MonoTime) {
        let bytes_per_ms = (link_mbps * BYTES_PER_MS * VIEW_LINK_FRACTION).max(1.0);
        self.opens_at = now + (bytes as f64 / bytes_per_ms) as u64;
    }
}
