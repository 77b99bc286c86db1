//! Fleet-wide limit of retries to one service, enforced by each daemon without a shared counter.
//!
//! Each daemon may send retries in a ratio to its own requests, plus its part of a fixed allowance:
//! the allowance divided by the number of daemons that it considers alive. The parts of all daemons
//! add up to the limit of the fleet.

use std::collections::VecDeque;

use crate::clock::MonoTime;

/// Limit of the whole fleet's retries to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed beyond the ratio, for the whole fleet, within the window.
    pub slack: f64,
    /// Length in milliseconds of the sliding window in which requests and retries are counted.
    pub window_ms: u64,
}

/// Fraction of the limit that is used; the rest covers retries that are in flight.
const USED_FRACTION: f64 = 0.8;

/// Requests and retries of one daemon to one service within the sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl RetryWindow {
    /// Counts a request from a caller.
    pub fn record_request(&mut self, limit: &RetryLimit, now: MonoTime) {
        drop_expired(&mut self.requests, limit, now);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns `true` if this daemon's part of the limit allows it. `daemons` is
    /// the number of daemons alive, including this one.
    pub fn try_retry(&mut self, limit: &RetryLimit, daemons: usize, now: MonoTime) -> bool {
        drop_expired(&mut self.requests, limit, now);
        drop_expired(&mut self.retries, limit, now);
        let ratio_part = limit.ratio * self.requests.len() as f64;
        let slack_part = limit.slack / daemons.max(1) as f64;
        if (self.retries.len() + 1) as f64 > USED_FRACTION * (ratio_part + slack_part) {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn drop_expired(times: &mut VecDeque<MonoTime>, limit: &RetryLimit, now: MonoTime) {
    while times.front().is_some_and(|time| *time + limit.window_ms < now) {
        times.pop_front();
    }
}
