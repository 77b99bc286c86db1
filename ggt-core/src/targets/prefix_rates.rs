//! How often this daemon sends requests with each prefix, from which it estimates what the whole fleet sends.

use std::collections::HashMap;

use crate::clock::MonoTime;
use crate::targets::prefixes::short_prefix;

/// Minimum length of the sliding window in which sends are counted, in milliseconds.
const MIN_WINDOW_MS: u64 = 2_000;
/// Number of the peers' reports that the window covers at least: the more daemons, the fewer requests with a
/// prefix come to each, and the longer is the interval.
const REPORTS_PER_WINDOW: u64 = 2;
/// Sends in a window that show nothing about the other daemons: a caller repeats its requests at one daemon.
const REPEATED_SENDS: f64 = 1.0;

/// How the other daemons report what they send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportPace {
    /// Number of other daemons that are alive.
    pub peers: usize,
    /// Milliseconds between two reports of each.
    pub interval_ms: u64,
}

impl ReportPace {
    fn window_ms(&self) -> u64 {
        MIN_WINDOW_MS.max(REPORTS_PER_WINDOW * self.interval_ms)
    }
}

/// Sends of this daemon by prefix, in the current window and the one before.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixRates {
    pace: ReportPace,
    window_ends_at: MonoTime,
    current: HashMap<u32, u32>,
    previous: HashMap<u32, u32>,
}

impl PrefixRates {
    /// Sets how the other daemons report what they send.
    pub fn set_pace(&mut self, pace: ReportPace) {
        self.pace = pace;
    }

    /// Counts a send.
    pub fn record(&mut self, prefix: u64, now: MonoTime) {
        if now >= self.window_ends_at {
            let window_ms = self.pace.window_ms();
            let ended = std::mem::take(&mut self.current);
            let is_recent = now < self.window_ends_at + window_ms;
            self.previous = if is_recent { ended } else { HashMap::new() };
            let phase_ms = if is_recent { now.millis_since(self.window_ends_at) } else { 0 };
            self.window_ends_at = now + (window_ms - phase_ms);
        }
        *self.current.entry(short_prefix(prefix)).or_default() += 1;
    }

    /// Requests with this prefix that the other daemons are expected to send until this daemon hears of
    /// them: callers are spread over the daemons, so each sends about as many as this one.
    pub fn unreported(&self, prefix: u64, now: MonoTime) -> f64 {
        let window_ms = self.pace.window_ms() as f64;
        let sends = (self.sends(prefix, now) - REPEATED_SENDS).max(0.0);
        sends / window_ms * self.pace.interval_ms as f64 * self.pace.peers as f64
    }

    /// Sends with this prefix in the window that ends at `now`.
    fn sends(&self, prefix: u64, now: MonoTime) -> f64 {
        let count = |window: &HashMap<u32, u32>| {
            window.get(&short_prefix(prefix)).copied().map_or(0.0, f64::from)
        };
        let window_ms = self.pace.window_ms();
        let overrun_ms = now.millis_since(self.window_ends_at);
        let (recent, before, left_ms) = if now < self.window_ends_at {
            (count(&self.current), count(&self.previous), self.window_ends_at.millis_since(now))
        } else if overrun_ms < window_ms {
            (0.0, count(&self.current), window_ms - overrun_ms)
        } else {
            return 0.0;
        };
        recent + before * left_ms.min(window_ms) as f64 / window_ms as f64
    }
}
