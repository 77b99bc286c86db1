//! The daemons that share what a target takes from all of them together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock::MonoTime;
use crate::ident::mix_hash;
use crate::ident::stable_hash;
use crate::targets::RateShare;

/// Milliseconds without a digest for which a daemon that has not announced its end still counts: it
/// may be behind a cut and go on sending.
const MEMBER_TTL_MS: u64 = 300_000;
/// Number of daemons that share a rate, beyond one for each request per second. Each of them may have
/// one request more in a span of time than its part of the rate.
const EXTRA_SENDERS: usize = 3;

/// All daemons that may be sending requests, by address, with the time of the last digest.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    heard_at: BTreeMap<SocketAddr, MonoTime>,
}

impl MemberTable {
    /// Records a digest.
    pub(super) fn record(&mut self, address: SocketAddr, is_leaving: bool, now: MonoTime) {
        if is_leaving {
            self.heard_at.remove(&address);
        } else {
            self.heard_at.insert(address, now);
        }
    }

    /// Drops daemons that have sent no digest for a long time.
    pub(super) fn expire(&mut self, now: MonoTime) {
        self.heard_at.retain(|_, heard_at| *heard_at + MEMBER_TTL_MS >= now);
    }

    /// The part of the daemon at `own` in a limit of requests per second for the target with this hash.
    ///
    /// All daemons with the same members choose the same few senders for a target, with equal parts.
    /// Daemons that cannot be reached keep theirs, so the parts on both sides of a cut add up to the
    /// limit.
    pub(super) fn rate_share(&self, own: SocketAddr, hash: u64, limit: f64) -> RateShare {
        let score = |address: &SocketAddr| {
            (mix_hash(hash, stable_hash(address.to_string().as_bytes())), *address)
        };
        let own_score = score(&own);
        let others = self.heard_at.keys().filter(|address| **address != own);
        let rank = others.clone().filter(|address| score(address) < own_score).count();
        let members = others.count() + 1;
        // A limit beyond the range of integers is more than any number of daemons.
        let senders = members.min((limit as usize).saturating_add(EXTRA_SENDERS));
        if rank >= senders {
            return RateShare::default();
        }
        let senders = senders as f64;
        RateShare { per_second: limit / senders, phase: rank as f64 / senders }
    }
}
