//! Token bucket that limits the bytes sent.

use crate::clock::MonoTime;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Limits gossip traffic to a steady byte rate with a bounded burst.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    /// Bytes gained per second.
    rate: f64,
    /// Maximum balance in bytes.
    burst: f64,
    /// Balance in bytes, without the gain since `filled_at`; negative after overspending.
    available: f64,
    filled_at: MonoTime,
    shed_total: u64,
}

impl ByteBudget {
    /// A full bucket of `burst` bytes that gains `rate` bytes a second.
    pub fn new(rate: f64, burst: f64, now: MonoTime) -> Self {
        Self { rate, burst, available: burst, filled_at: now, shed_total: 0 }
    }

    /// Bytes that may be spent at `now`.
    pub fn available(&mut self, now: MonoTime) -> usize {
        let gained = now.millis_since(self.filled_at) as f64 / MILLIS_PER_SECOND * self.rate;
        self.available = (self.available + gained).min(self.burst);
        self.filled_at = self.filled_at.max(now);
        self.available.max(0.0) as usize
    }

    /// Spends bytes, even more than are left: the balance may go negative, by one burst at most,
    /// and later sends wait until it has recovered.
    pub fn spend(&mut self, bytes: usize) {
        self.available = (self.available - bytes as f64).max(-self.burst);
    }

    /// Counts an item that was left out for lack of budget.
    pub fn record_shed(&mut self) {
        self.shed_total += 1;
    }

    /// Items left out for lack of budget since the start.
    pub fn shed_total(&self) -> u64 {
        self.shed_total
    }
}
