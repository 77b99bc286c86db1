//! How often this daemon sends requests with each prefix, from which it estimates what the whole fleet sends.

use std::collections::HashMap;

use crate::clock::MonoTime;
use crate::targets::prefixes::short_prefix;

/// Milliseconds of the sliding window in which sends are counted.
const WINDOW_MS: u64 = 2_000;

/// How the other daemons report what they send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportPace {
    /// Number of other daemons that are alive.
    pub peers: usize,
    /// Milliseconds between two reports of each.
    pub interval_ms: u64,
}

/// Sends of this daemon by prefix, in the current window and the one before.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixRates {
    window_ends_at: MonoTime,
    current: HashMap<u32, u32>,
    previous: HashMap<u32, u32>,
}

impl PrefixRates {
    /// Counts a send.
    pub fn record(&mut self, prefix: u64, now: MonoTime) {
        if now >= self.window_ends_at {
            let ended = std::mem::take(&mut self.current);
            let is_recent = now < self.window_ends_at + WINDOW_MS;
            self.previous = if is_recent { ended } else { HashMap::new() };
            let phase_ms = if is_recent { now.millis_since(self.window_ends_at) } else { 0 };
            self.window_ends_at = now + (WINDOW_MS - phase_ms);
        }
        *self.current.entry(short_prefix(prefix)).or_default() += 1;
    }

    /// Sends per millisecond with this prefix, up to `now`.
    pub fn per_ms(&self, prefix: u64, now: MonoTime) -> f64 {
        let count = |window: &HashMap<u32, u32>| {
            window.get(&short_prefix(prefix)).copied().map_or(0.0, f64::from)
        };
        let overrun_ms = now.millis_since(self.window_ends_at);
        let (recent, before, left_ms) = match overrun_ms {
            0 => {
                (count(&self.current), count(&self.previous), self.window_ends_at.millis_since(now))
            }
            1..WINDOW_MS => (0.0, count(&self.current), WINDOW_MS - overrun_ms),
            _ => (0.0, 0.0, 0),
        };
        (recent + before * left_ms as f64 / WINDOW_MS as f64) / WINDOW_MS as f64
    }
}
