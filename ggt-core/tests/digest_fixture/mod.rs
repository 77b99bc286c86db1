//! A digest without content, for tests of the fleet.

use std::net::SocketAddr;

use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::PeerReach;

/// A digest of the daemon at `address`, which watches the platform.
pub fn empty_digest(address: SocketAddr, incarnation: u64, number: u64) -> PeerDigest {
    PeerDigest {
        address,
        incarnation,
        number,
        centre_hash: 0,
        link_mbps: 10,
        is_watching: true,
        age_ms: 0,
        is_leaving: false,
        target_revision: 0,
        config_revision: 0,
        platform_age_ms: 0,
        loads: Vec::new(),
        cached_prefixes: Vec::new(),
        crashes: Vec::new(),
        known_peers: Vec::new(),
        crash_ages_ms: Vec::new(),
        exonerated: Vec::new(),
        rates: Vec::new(),
        reach: PeerReach::default(),
        fragile: Vec::new(),
        stated_loads: Vec::new(),
    }
}
