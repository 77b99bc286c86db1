//! Requests that a daemon that is cut off from targets forwards to a peer that reaches them.
//!
//! The forwarding daemon decides route, service, customer, priority and deadline; the peer chooses the target
//! and sends. A forwarded request is never forwarded again.

mod send;
mod serve;

pub use send::PeerOutcome;
pub use send::send_to_peer;
pub use serve::serve_peers;

use std::cell::Cell;
use std::net::SocketAddr;

use crate::clock::mono_now;
use crate::front::job::FrontJob;
use crate::front::state::FrontState;
use ggt_core::fleet::ForwardQuery;
use ggt_core::fleet::PEER_PROTOCOL;
use ggt_core::fleet::PeerReach;
use ggt_core::ident::service_hash;
use ggt_core::routes::split_hash;
use ggt_core::versions::SoftwareVersion;

/// Maximum number of peers to which one request is offered at a time.
const MAX_OFFERS: usize = 3;
/// Milliseconds for which a peer that accepted no connection is offered nothing.
const PEER_HOLD_MS: u64 = 1_000;

/// What the daemon that forwarded a request has said about it.
pub struct Handover {
    /// The forwarding daemon.
    pub sender: SocketAddr,
    /// The only version that may serve the request.
    pub version: Option<SoftwareVersion>,
    /// Whether the request may have run before.
    pub may_have_run: bool,
    /// Version of the target that has sent the first events here.
    pub served_version: Cell<Option<SoftwareVersion>>,
}

impl FrontState {
    /// Peers to which a request may be offered, the best first.
    pub fn forward_peers(&self, job: &FrontJob) -> Vec<SocketAddr> {
        let now = mono_now();
        let allowed_centres = self.allowed_peer_centres(job);
        let query = ForwardQuery {
            service_hash: service_hash(&job.service),
            request_hash: split_hash(&job.id),
            centre_hash: self.centre_hash,
            allowed_centres: allowed_centres.as_deref(),
        };
        let mut held = self.held_peers.borrow_mut();
        held.retain(|_, held_until| now < *held_until);
        let mut peers = self.fleet.borrow().forward_candidates(&query, now);
        peers.retain(|peer| !held.contains_key(peer));
        peers.truncate(MAX_OFFERS);
        peers
    }

    /// Whether any peer reaches a service.
    pub fn reaches_by_peer(&self, service: &str) -> bool {
        self.fleet.borrow().is_reached_by_peer(service_hash(service), mono_now())
    }

    /// Offers a peer that accepted no connection nothing for a while.
    pub fn hold_peer(&self, peer: SocketAddr) {
        self.held_peers.borrow_mut().insert(peer, mono_now() + PEER_HOLD_MS);
    }

    /// Whether peers can take the requests that this daemon cannot send to targets.
    pub fn has_forward_peer(&self) -> bool {
        self.fleet.borrow().has_forward_peer(mono_now())
    }

    /// What this daemon can do with forwarded requests, for its digests.
    pub fn peer_reach(&self) -> PeerReach {
        let unreached = self.reach.borrow().cut_services().map(service_hash).collect();
        PeerReach { protocol: PEER_PROTOCOL, unreached }
    }
}
