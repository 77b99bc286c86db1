//! When a daemon asks the platform for changes, and for how long it waits for a reply.
//!
//! A watch whose connection no longer brings anything looks like one during which nothing changes. Only its
//! end tells them apart, so the time for which the platform holds a watch bounds how late a change can be.
//! After any failure short requests, which the platform answers at once, find out when it replies again.

mod timing;

pub use timing::ANNOUNCE_MS;
pub use timing::CONNECT_MS;
pub use timing::FETCH_DELAY_MS;
pub use timing::FETCH_HEDGE_MS;
pub use timing::FETCH_INTERVAL_MS;
pub use timing::WatchPeers;
pub use timing::WatchTiming;

/// Number of requests without a reply, in a row, of which the last waits longer, since the platform may only
/// be slow.
const PATIENT_EACH: u32 = 4;
/// How often the measured time of a reply may pass before the next one counts as overdue.
const REPLY_FACTOR: u64 = 2;

/// A watch that a daemon sends now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// Milliseconds for which the platform holds the request while there is no change.
    pub hold_ms: u64,
    /// Milliseconds from its sending after which the request has failed.
    pub timeout_ms: u64,
}

/// How a request to the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// There was no reply in time.
    Overdue,
    /// The connection broke.
    Broken,
    /// The platform rejected the request, or accepted no connection.
    Rejected,
}

/// What a failure of a request shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMeaning {
    /// The connection may have died alone: a request on a new one follows at once.
    ConnectionDoubtful,
    /// The platform does not reply; the next request follows after at most this time.
    PlatformLost {
        /// The longest pause, in milliseconds.
        pause_ms: u64,
    },
}

/// The state of one daemon's watch.
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    /// Time that a reply may take beyond the hold, in milliseconds.
    reply_ms: u64,
    /// Whether a request is to be answered at once, since the last one failed or there was none.
    is_doubtful: bool,
    /// Whether the next hold is shortened at random, so that the daemons' watches do not end together.
    is_spread: bool,
    /// Requests without a usable reply since the last one that had one.
    failures: u32,
}

impl WatchSchedule {
    /// The schedule of a daemon that has not heard from the platform yet.
    pub fn new(timing: WatchTiming) -> Self {
        Self { reply_ms: timing.reply_ms(), is_doubtful: true, is_spread: true, failures: 0 }
    }

    /// Requests without a usable reply since the last one that had one.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// The next watch; `phase` is a random number from 0 to 1.
    pub fn next_request(&self, timing: WatchTiming, phase: f64) -> WatchRequest {
        let hold_ms = match (self.is_doubtful, self.is_spread) {
            (true, _) => timing.short_hold_ms(),
            (false, true) => timing.spread_hold_ms(phase),
            (false, false) => timing.hold_ms(),
        };
        WatchRequest { hold_ms, timeout_ms: hold_ms + self.reply_allowance_ms(timing) }
    }

    /// Milliseconds from the sending of a read of a folder's page until its reply has to begin.
    pub fn read_timeout_ms(&self, timing: WatchTiming) -> u64 {
        timing.doubtful_reply_ms().max(self.reply_allowance_ms(timing))
    }

    /// Records a reply to `request` that arrived after `waited_ms`.
    pub fn record_reply(
        &mut self,
        timing: WatchTiming,
        request: WatchRequest,
        waited_ms: u64,
        has_changes: bool,
    ) {
        // A watch that a change ended does not show how long the platform took.
        if !has_changes || self.is_doubtful {
            let took_ms = waited_ms.saturating_sub(request.hold_ms);
            self.reply_ms =
                (REPLY_FACTOR * took_ms).clamp(timing.reply_ms(), timing.max_reply_ms());
        }
        self.failures = 0;
        self.is_spread = self.is_doubtful || has_changes;
        self.is_doubtful = false;
    }

    /// Records a reply to a read of a folder.
    pub fn record_read(&mut self) {
        self.failures = 0;
        self.is_doubtful = true;
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, timing: WatchTiming, failure: WatchFailure) -> FailureMeaning {
        let was_held = !self.is_doubtful;
        self.is_doubtful = true;
        if failure == WatchFailure::Overdue {
            self.reply_ms =
                (REPLY_FACTOR * self.reply_ms).min(timing.doubtful_reply_ms().max(self.reply_ms));
        }
        if was_held && failure != WatchFailure::Rejected {
            return FailureMeaning::ConnectionDoubtful;
        }
        self.failures += 1;
        FailureMeaning::PlatformLost { pause_ms: timing.pause_ms(self.failures) }
    }

    fn reply_allowance_ms(&self, timing: WatchTiming) -> u64 {
        let is_patient = self.failures > 0 && self.failures.is_multiple_of(PATIENT_EACH);
        if is_patient { timing.patient_reply_ms().max(self.reply_ms) } else { self.reply_ms }
    }
}
