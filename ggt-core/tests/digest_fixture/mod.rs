//! A digest without content, for tests of the fleet.

use std::net::SocketAddr;

use ggt_core::fleet::PeerDigest;

/// A digest of the daemon at `address`, which watches the platform.
pub fn empty_digest(address: SocketAddr, incarnation: u64, number: u64) -> PeerDigest {
    PeerDigest { link_mbps: 10, is_watching: true, ..PeerDigest::new(address, incarnation, number) }
}
