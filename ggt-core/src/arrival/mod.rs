//! How fast the bytes of a request arrive: one that arrives too slowly gives way when others need what it takes.

use crate::clock::MonoTime;

/// Milliseconds over which the rate of a request is taken.
pub const RATE_WINDOW_MS: u64 = 1_000;
/// Bytes that a request has to bring in such a window to keep its place when others need it.
pub const MIN_WINDOW_BYTES: usize = 16 * 1024;

/// What a request has brought lately. The first bytes after the end of a window begin the next one.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalWindow {
    began_at: MonoTime,
    bytes: usize,
    /// Since when the windows before it, without a break, have brought too little.
    slow_since: Option<MonoTime>,
}

impl ArrivalWindow {
    /// A window that begins now.
    pub const fn new(now: MonoTime) -> Self {
        Self { began_at: now, bytes: 0, slow_since: None }
    }

    /// Since when too little has arrived; `None` if that is not so.
    pub fn slow_since(&self, now: MonoTime) -> Option<MonoTime> {
        let age_ms = now.millis_since(self.began_at);
        let has_enough = self.bytes >= MIN_WINDOW_BYTES;
        // No byte has arrived since the end of a window that is over.
        let is_slow = age_ms >= 2 * RATE_WINDOW_MS || age_ms >= RATE_WINDOW_MS && !has_enough;
        match is_slow {
            true => self.slow_since.or(Some(self.began_at)),
            false => self.slow_since,
        }
    }

    /// Records that bytes have arrived.
    pub fn record(&mut self, bytes: usize, now: MonoTime) {
        if now.millis_since(self.began_at) >= RATE_WINDOW_MS {
            let has_enough = self.bytes >= MIN_WINDOW_BYTES;
            let slow_since = self.slow_since(now).filter(|_| !has_enough);
            *self = Self { began_at: now, bytes: 0, slow_since };
        }
        self.bytes += bytes;
    }
}
