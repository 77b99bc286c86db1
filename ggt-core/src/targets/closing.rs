//! Until when a target wants no requests of this daemon, since it turned some away.

use crate::clock::MonoTime;

/// Milliseconds to which longer times are cut, so that a target that errs is tried again.
const MAX_CLOSED_MS: u64 = 600_000;

/// The time until which one incarnation of a target wants no requests of this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetClosing {
    closed_until: MonoTime,
}

impl TargetClosing {
    /// Applies a statement that the target wants none for this time; returns the end of the time if the
    /// target was open.
    ///
    /// Replies overtake each other, and each holds for its own time, so the latest end counts.
    pub fn close(&mut self, delay_ms: u64, now: MonoTime) -> Option<MonoTime> {
        let was_closed = self.is_closed(now);
        self.closed_until = self.closed_until.max(now + delay_ms.min(MAX_CLOSED_MS));
        (!was_closed && self.is_closed(now)).then_some(self.closed_until)
    }

    /// Whether the target wants no requests now.
    pub fn is_closed(&self, now: MonoTime) -> bool {
        now < self.closed_until
    }

    /// When the target takes requests again; in the past if it is open.
    pub fn opens_at(&self) -> MonoTime {
        self.closed_until
    }
}
