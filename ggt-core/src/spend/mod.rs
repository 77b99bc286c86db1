//! One daemon's part of the retries that all daemons may send to a service.
//!
//! No counter is shared. Each daemon spends a ratio of the requests that it has sent itself, and its
//! part of the fixed allowance by the number of daemons that it knows to be alive. The parts add up to
//! the fleet's allowance.

use std::collections::VecDeque;

use crate::clock::MonoTime;

/// The fleet's allowance of retries for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpendLimit {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond the ratio, for the whole fleet.
    pub slack: f64,
    /// Milliseconds over which requests and retries are counted.
    pub window_ms: u64,
}

/// Part of the allowance that is left unused, for retries that are under way.
const SAFETY_PART: f64 = 0.8;

/// Requests and retries of one daemon to one service within the window.
#[derive(Clone, Debug, Default)]
pub struct SpendWindow {
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl SpendWindow {
    /// Counts a request that a caller has sent.
    pub fn note_request(&mut self, limit: &SpendLimit, now: MonoTime) {
        drop_old(&mut self.requests, limit, now);
        self.requests.push_back(now);
    }

    /// Counts a retry if the daemon's part still covers it; `daemons` are those alive, this one
    /// included.
    pub fn try_spend(&mut self, limit: &SpendLimit, daemons: usize, now: MonoTime) -> bool {
        drop_old(&mut self.requests, limit, now);
        drop_old(&mut self.retries, limit, now);
        let own = limit.ratio * self.requests.len() as f64;
        let part = limit.slack / daemons.max(1) as f64;
        if (self.retries.len() + 1) as f64 > SAFETY_PART * (own + part) {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn drop_old(times: &mut VecDeque<MonoTime>, limit: &SpendLimit, now: MonoTime) {
    while times.front().is_some_and(|time| *time + limit.window_ms < now) {
        times.pop_front();
    }
}
