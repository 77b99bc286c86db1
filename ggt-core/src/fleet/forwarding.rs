//! Which peers can take a request that this daemon cannot send to a target itself.

use std::net::SocketAddr;

use crate::clock::MonoTime;
use crate::fleet::FleetTable;
use crate::fleet::PeerState;
use crate::routing::rendezvous_score;

/// Version of the protocol between daemons that this build speaks.
pub const PEER_PROTOCOL: u8 = 4;
/// The version from which a daemon takes forwarded requests.
pub const FORWARD_PROTOCOL: u8 = 1;
/// The version from which a daemon replies to questions for the origin of a stream that come as datagrams.
pub(super) const QUESTION_PROTOCOL: u8 = 2;
/// The version from which a daemon keeps a forwarded request within its allowed regions.
const REGION_PROTOCOL: u8 = 3;
/// The version from which a daemon replies to questions for cached prompt parts.
pub(super) const CACHE_PROTOCOL: u8 = 4;
/// Weight of peers in the daemon's own data centre relative to others.
const OWN_CENTRE_WEIGHT: f64 = 4.0;

/// Inputs of the choice of peers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardQuery<'a> {
    /// Short hash of the request's service.
    pub service_hash: u32,
    /// Hash of the request, which spreads requests over the peers.
    pub request_hash: u64,
    /// Short hash of the daemon's own data centre.
    pub centre_hash: u32,
    /// Short hashes of the only data centres to whose daemons the request may be sent; `None` if all are allowed.
    pub allowed_centres: Option<&'a [u32]>,
}

impl FleetTable {
    /// Peers to which a request may be forwarded, the best first: they are alive, do not drain, have a
    /// configuration and targets, and have not said that they reach no target of the service. Requests
    /// are spread over them, with more for those of the own data centre.
    pub fn forward_candidates(&self, query: &ForwardQuery<'_>, now: MonoTime) -> Vec<SocketAddr> {
        let score = |peer: &PeerState| {
            let is_near = peer.digest.centre_hash == query.centre_hash;
            let weight = if is_near { OWN_CENTRE_WEIGHT } else { 1.0 };
            rendezvous_score(query.request_hash, peer.member_hash, weight)
        };
        let mut peers: Vec<_> = self
            .alive(now)
            .filter(|peer| takes_requests(peer, query.service_hash) && is_allowed(peer, query))
            .map(|peer| (score(peer), peer.digest.address))
            .collect();
        peers.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        peers.into_iter().map(|(_, address)| address).collect()
    }

    /// Whether any peer takes forwarded requests of a service.
    pub fn is_reached_by_peer(&self, service_hash: u32, now: MonoTime) -> bool {
        self.alive(now).any(|peer| takes_requests(peer, service_hash))
    }

    /// Whether any peer takes forwarded requests of all services.
    pub fn has_forward_peer(&self, now: MonoTime) -> bool {
        let reaches_all = |peer: &PeerState| {
            peer.digest.reach.protocol >= FORWARD_PROTOCOL && peer.digest.reach.unreached.is_empty()
        };
        self.alive(now).any(reaches_all)
    }
}

/// Whether the request may be sent to a peer, by the peer's data centre and what its build does.
fn is_allowed(peer: &PeerState, query: &ForwardQuery<'_>) -> bool {
    query.allowed_centres.is_none_or(|centres| {
        peer.digest.reach.protocol >= REGION_PROTOCOL && centres.contains(&peer.digest.centre_hash)
    })
}

/// Whether a peer takes requests of a service, as far as it has said.
fn takes_requests(peer: &PeerState, service_hash: u32) -> bool {
    let digest = &peer.digest;
    digest.reach.protocol >= FORWARD_PROTOCOL
        && digest.config_revision > 0
        && digest.target_revision > 0
        && !digest.reach.unreached.contains(&service_hash)
}
