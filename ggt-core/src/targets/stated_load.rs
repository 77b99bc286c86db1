//! Load that targets state in their replies.
//!
//! In a large fleet, digests are seconds apart, and what they add up to for a target is older than most of
//! its requests. A reply states the load that all daemons together cause, so the daemons pass on what the
//! targets have stated to them.

use crate::clock::MonoTime;

/// What a target stated in a reply to this daemon or to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadStatement {
    /// Requests running and queued at the target, of all daemons.
    pub requests: u32,
    /// When the reply was received.
    pub stated_at: MonoTime,
}

/// The latest statement of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedLoad {
    /// Requests of the other daemons at that time.
    others: u32,
    stated_at: MonoTime,
    expires_at: MonoTime,
}

impl StatedLoad {
    /// Applies a statement unless a later one is known; `own_requests` are this daemon's requests in flight
    /// at the target, and the statement counts for `ttl_ms`.
    pub fn apply(&mut self, statement: LoadStatement, own_requests: u32, ttl_ms: u64) {
        if statement.stated_at < self.stated_at {
            return;
        }
        *self = Self {
            others: statement.requests.saturating_sub(own_requests),
            stated_at: statement.stated_at,
            expires_at: statement.stated_at + ttl_ms,
        };
    }

    /// Requests of the other daemons, unless the latest statement is too old to count.
    pub fn others(&self, now: MonoTime) -> Option<u32> {
        (now < self.expires_at).then_some(self.others)
    }
}
