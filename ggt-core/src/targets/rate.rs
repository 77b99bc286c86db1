//! The rate of requests that a target takes from all daemons together, by its own statement or while it is cold,
//! and this daemon's part of it.

use crate::clock::MonoTime;
use crate::targets::TargetColdStart;

/// Rate in requests per second to which lower limits are raised: without any request, no reply would
/// tell when the limit ends.
const MIN_LIMIT: f64 = 0.2;
/// Part of the time between two sends for which a request waits longer for each more urgent priority
/// with recent requests.
const PRIORITY_DELAY: f64 = 0.25;
/// Milliseconds for which this daemon reports a target's statement to its peers.
const REPORT_MS: u64 = 60_000;

/// What a reply states about the rate that its target takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStatement {
    /// Requests per second from all daemons together; `None` if there is no limit.
    pub limit: Option<f64>,
    /// When the request was sent to whose reply the statement belongs.
    pub sent_at: MonoTime,
    /// When the head of the reply was received.
    pub received_at: MonoTime,
}

/// The rate that a target takes now from all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Whether that is because the target is cold.
    pub is_cold_start: bool,
}

/// A daemon's part of a target's rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateShare {
    /// Requests per second; zero if the daemon sends none to this target.
    pub per_second: f64,
    /// Part of the time between two sends by which its sends are offset from those of other daemons.
    pub phase: f64,
}

/// The latest statement of a target's rate, and when this daemon may send to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetRate {
    statement: Option<RateStatement>,
    /// Whether this daemon received the statement itself.
    is_own: bool,
    share: RateShare,
    next_send_at: MonoTime,
    /// What it takes while it is cold.
    pub cold_start: TargetColdStart,
}

impl TargetRate {
    /// The rate that the target takes; the lower one if it has stated one and is cold. `None` without a limit.
    pub fn limit(&self, now: MonoTime) -> Option<RateLimit> {
        let stated = self.stated_limit();
        let stated = stated.map(|per_second| RateLimit { per_second, is_cold_start: false });
        let per_second = self.cold_start.limit(now).map(|limit| limit.max(MIN_LIMIT));
        let cold_start = per_second.map(|per_second| RateLimit { per_second, is_cold_start: true });
        match (stated, cold_start) {
            (Some(stated), Some(cold_start)) if stated.per_second < cold_start.per_second => {
                Some(stated)
            }
            (stated, cold_start) => cold_start.or(stated),
        }
    }

    /// The rate that the target has stated; `None` if it has stated none.
    fn stated_limit(&self) -> Option<f64> {
        self.statement?.limit.map(|limit| limit.max(MIN_LIMIT))
    }

    /// This daemon's part of the limit.
    pub fn share(&self) -> RateShare {
        self.share
    }

    /// Applies a statement; returns whether the limit has changed.
    ///
    /// Replies overtake each other. A statement replaces the present one if its request was sent after
    /// that one was received; of two whose requests were in flight together, the stricter counts.
    pub fn apply(&mut self, statement: RateStatement, is_own: bool) -> bool {
        let before = self.stated_limit();
        let is_accepted = match self.statement {
            None => statement.limit.is_some(),
            Some(present) => {
                statement.sent_at >= present.received_at || is_stricter(statement, present)
            }
        };
        if is_accepted {
            self.statement = Some(statement);
            self.is_own = is_own;
        }
        self.stated_limit() != before
    }

    /// Sets this daemon's part of the rate.
    pub fn set_share(&mut self, share: RateShare, now: MonoTime) {
        if share == self.share {
            return;
        }
        let is_first = self.share.per_second == 0.0;
        self.share = share;
        let Some(interval_ms) = self.interval_ms(now) else { return };
        let latest = now + interval_ms;
        self.next_send_at = match is_first {
            true => now + (interval_ms as f64 * share.phase) as u64,
            false => self.next_send_at.min(latest),
        };
    }

    /// When this daemon may send the next request, if `more_urgent` priorities have recent requests;
    /// `None` if it sends none.
    pub fn open_at(&self, more_urgent: u32, now: MonoTime) -> Option<MonoTime> {
        if self.limit(now).is_none() {
            return Some(MonoTime::default());
        }
        let interval_ms = self.interval_ms(now)?;
        let delay_ms = interval_ms as f64 * PRIORITY_DELAY * f64::from(more_urgent);
        Some(self.next_send_at + delay_ms as u64)
    }

    /// Counts a request that is sent.
    pub fn record_send(&mut self, now: MonoTime) {
        if let Some(interval_ms) = self.interval_ms(now) {
            self.next_send_at = self.next_send_at.max(now) + interval_ms;
        }
    }

    /// The statement to report to peers: one that this daemon received itself not long ago.
    pub fn report(&self, now: MonoTime) -> Option<RateStatement> {
        let is_recent = |statement: &RateStatement| statement.received_at + REPORT_MS >= now;
        self.statement.filter(is_recent).filter(|_| self.is_own)
    }

    /// Milliseconds between two sends of this daemon; `None` if it sends none or there is no limit.
    fn interval_ms(&self, now: MonoTime) -> Option<u64> {
        self.limit(now)?;
        let per_second = self.share.per_second;
        (per_second > 0.0).then(|| (1_000.0 / per_second).ceil() as u64)
    }
}

fn is_stricter(statement: RateStatement, present: RateStatement) -> bool {
    let rate = |limit: Option<f64>| limit.unwrap_or(f64::INFINITY);
    rate(statement.limit) < rate(present.limit)
}
