//! Which daemons are told of a stream's origin, and which are asked for it.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::clock::MonoTime;
use crate::fleet::FleetTable;
use crate::fleet::PeerState;
use crate::fleet::forwarding::QUESTION_PROTOCOL;
use crate::fleet::members::member_score;
use crate::versions::StreamKey;

/// Number of daemons that are told which version began a stream. If nine daemons of ten are lost at once, more
/// than half of the streams are still known to one that is left.
pub const ORIGIN_HOLDERS: usize = 8;
/// The same while streams may have begun at several versions, when one that nobody knows cannot go on at all: then
/// four in five are known.
pub const OPEN_ORIGIN_HOLDERS: usize = 16;
/// Milliseconds by which the ages of daemons that started together differ.
const AGE_STEP_MS: u64 = 1_000;

/// A daemon that may have been told which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginCandidate {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it replies to questions that come as datagrams; earlier builds do not.
    pub takes_datagrams: bool,
}

impl OriginCandidate {
    fn new(peer: &PeerState) -> Self {
        let digest = &peer.digest;
        let takes_datagrams = digest.reach.protocol >= QUESTION_PROTOCOL;
        Self { address: digest.address, takes_datagrams }
    }
}

impl FleetTable {
    /// The `count` daemons that are told which version began a stream: the first that are alive, in an order that is
    /// the same on all daemons with the same view.
    pub fn origin_holders(&self, key: StreamKey, count: usize, now: MonoTime) -> Vec<SocketAddr> {
        let mut peers: Vec<_> = self.alive(now).collect();
        sort_for(key, &mut peers);
        peers.into_iter().take(count).map(|peer| peer.digest.address).collect()
    }

    /// The daemons that may have been told which version began a stream, those that have run for longest first.
    ///
    /// A daemon that has started since knows nothing, but has pushed others that were told back in the order. Each
    /// daemon is therefore left out only if as many as are told precede it that are as old as it is; ages beyond
    /// `memory_ms`, for which origins are kept, count as equal.
    pub fn origin_candidates(
        &self,
        key: StreamKey,
        memory_ms: u64,
        now: MonoTime,
    ) -> Vec<OriginCandidate> {
        let mut peers: Vec<_> = self.running(now).collect();
        sort_for(key, &mut peers);
        let mut ages = Vec::new();
        let mut candidates = Vec::new();
        for peer in peers {
            let age = peer.age_ms(now).min(memory_ms) / AGE_STEP_MS;
            if ages.iter().filter(|preceding| **preceding >= age).count() >= OPEN_ORIGIN_HOLDERS {
                continue;
            }
            candidates.push((age, OriginCandidate::new(peer)));
            // A draining daemon is told of no new streams.
            if !peer.digest.is_leaving {
                ages.push(age);
            }
        }
        candidates.sort_by_key(|(age, _)| Reverse(*age));
        candidates.into_iter().map(|(_, candidate)| candidate).collect()
    }
}

fn sort_for(key: StreamKey, peers: &mut [&PeerState]) {
    peers.sort_by_cached_key(|peer| member_score(key.0, peer.member_hash));
}
