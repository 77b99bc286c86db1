//! Hold-down of flapping targets, with exponential backoff.

use crate::clock::MonoTime;

/// Settings of [`HoldDown`].
#[derive(Clone, Copy, Debug)]
pub struct HoldOptions {
    /// Duration of the first hold-down in milliseconds.
    pub initial_ms: u64,
    /// Maximum duration of a hold-down in milliseconds.
    pub max_ms: u64,
}

/// Flap count and hold-down of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldDown {
    /// Flaps since the count last started again at zero.
    flap_count: u32,
    held_until: MonoTime,
    /// End of the period after which `flap_count` starts again at zero.
    flaps_reset_at: MonoTime,
}

impl HoldDown {
    /// Whether the target is held down at `now`.
    pub fn is_held(&self, now: MonoTime) -> bool {
        now < self.held_until
    }

    /// End of the latest hold-down.
    pub fn held_until(&self) -> MonoTime {
        self.held_until
    }

    /// Records that the target failed or restarted.
    ///
    /// The first flap causes no hold-down: an ordinary restart is not flapping. Each later one
    /// doubles the hold-down. The count restarts after a period without flaps of twice the last
    /// hold-down, or of twice the initial one if that is longer.
    pub fn record_flap(&mut self, options: &HoldOptions, now: MonoTime) {
        if now >= self.flaps_reset_at {
            self.flap_count = 0;
        }
        self.flap_count = self.flap_count.saturating_add(1);
        let doublings = self.flap_count.saturating_sub(2).min(32);
        let duration = match self.flap_count {
            1 => 0,
            _ => options.initial_ms.saturating_mul(1 << doublings).min(options.max_ms),
        };
        self.held_until = now + duration;
        self.flaps_reset_at = now + (2 * duration).max(2 * options.initial_ms);
    }
}
