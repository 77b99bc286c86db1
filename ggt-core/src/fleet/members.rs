//! The daemons that share what a target takes from all of them together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock::MonoTime;
use crate::ident::mix_hash;
use crate::ident::stable_hash;
use crate::targets::DaemonRank;
use crate::targets::RateShare;

/// Milliseconds without a digest for which a daemon that has not announced its end still counts: it
/// may be behind a cut and go on sending.
const MEMBER_TTL_MS: u64 = 300_000;
/// Number of daemons that share a rate, beyond one for each request per second. Each of them may have
/// one request more in a span of time than its part of the rate.
const EXTRA_SENDERS: usize = 3;

/// Hash of a daemon's address for orders of daemons.
pub(super) fn member_hash(address: SocketAddr) -> u64 {
    stable_hash(address.to_string().as_bytes())
}

/// Position of a daemon in the order of all daemons for an item, which is the same on each of them.
pub(super) fn member_score(item_hash: u64, member_hash: u64) -> (u64, u64) {
    (mix_hash(item_hash, member_hash), member_hash)
}

/// A daemon that may be sending requests.
#[derive(Clone, Copy, Debug)]
struct MemberEntry {
    hash: u64,
    expires_at: MonoTime,
}

/// All daemons but this one that may be sending requests, by address.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<SocketAddr, MemberEntry>,
}

impl MemberTable {
    /// Records a digest.
    pub(super) fn record(&mut self, address: SocketAddr, is_leaving: bool, now: MonoTime) {
        if is_leaving {
            self.members.remove(&address);
            return;
        }
        let expires_at = now + MEMBER_TTL_MS;
        let new = || MemberEntry { hash: member_hash(address), expires_at };
        self.members.entry(address).or_insert_with(new).expires_at = expires_at;
    }

    /// Whether no other daemon is known.
    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Drops daemons that have sent no digest for a long time.
    pub(super) fn expire(&mut self, now: MonoTime) {
        self.members.retain(|_, member| now < member.expires_at);
    }

    /// Position of the daemon with hash `own_hash` in the order of all members for an item with this hash.
    pub(super) fn rank(&self, own_hash: u64, item_hash: u64) -> DaemonRank {
        let own_score = member_score(item_hash, own_hash);
        let scores = self.members.values().map(|member| member_score(item_hash, member.hash));
        let rank = scores.filter(|score| *score < own_score).count();
        DaemonRank { rank, count: self.members.len() + 1 }
    }

    /// The part of the daemon with hash `own_hash` in a limit of requests per second for the target with
    /// this hash.
    ///
    /// All daemons with the same members choose the same few senders for a target, with equal parts.
    /// Daemons that cannot be reached keep theirs, so the parts on both sides of a cut add up to the
    /// limit.
    pub(super) fn rate_share(&self, own_hash: u64, target_hash: u64, limit: f64) -> RateShare {
        let DaemonRank { rank, count: members } = self.rank(own_hash, target_hash);
        // A limit beyond the range of integers is more than any number of daemons.
        let senders = members.min((limit as usize).saturating_add(EXTRA_SENDERS));
        if rank >= senders {
            return RateShare::default();
        }
        let senders = senders as f64;
        RateShare { per_second: limit / senders, phase: rank as f64 / senders }
    }
}
