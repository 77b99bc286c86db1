//! Health of a target (outlier ejection), derived from the outcomes of its requests.

use crate::clock::MonoTime;
use crate::silence::MAX_SOUND_SILENCE_MS;

/// Outcome of one request to a target, as far as it concerns the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The target replied as expected.
    Good,
    /// The target replied with an error, the reply was interrupted, or it was invalid.
    Bad,
    /// The target refused the connection or has ended.
    Unreachable,
    /// The connection could not be opened in time: the target may have ended, or be silent for a
    /// moment.
    Unresponsive,
}

/// First hold-down in milliseconds; it doubles with each failed trial request.
const INITIAL_HOLD_DOWN_MS: u64 = 500;
/// Longest hold-down in milliseconds.
pub(super) const MAX_HOLD_DOWN_MS: u64 = 4_000;
/// Half-life of the weight of an outcome in milliseconds.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Decayed number of bad outcomes below which a target is not held down for them.
const MIN_BAD_WEIGHT: f64 = 2.5;
/// Share of bad outcomes up to which a target is not held down, even if its siblings have none.
const MIN_BAD_SHARE: f64 = 0.25;
/// A target is held down only if its share of bad outcomes exceeds its siblings' share by this
/// factor.
const SIBLING_RATIO: f64 = 2.5;

/// Exponentially decayed outcomes of a target's requests, and the resulting hold-down.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthState {
    /// Decayed number of good outcomes, as of `decayed_at`.
    good: f64,
    /// Decayed number of bad outcomes, as of `decayed_at`.
    bad: f64,
    decayed_at: MonoTime,
    /// Hold-downs since the target was last healthy.
    hold_downs: u32,
    /// End of the latest hold-down; `None` while the target is healthy.
    held_down_until: Option<MonoTime>,
    is_unreachable: bool,
    /// First of the connection attempts in a row that timed out; `None` if none did, or if the target
    /// is known to be unreachable for another reason.
    unresponsive_since: Option<MonoTime>,
}

impl HealthState {
    /// Records an outcome; `sibling_share` is the mean share of bad outcomes at the service's other
    /// targets.
    ///
    /// Returns the end of the hold-down if one begins. After a hold-down, one good outcome makes
    /// the target healthy again.
    pub fn record(
        &mut self,
        outcome: SendOutcome,
        sibling_share: f64,
        now: MonoTime,
    ) -> Option<MonoTime> {
        self.decay(now);
        match outcome {
            SendOutcome::Good => {
                self.good += 1.0;
                if self.is_half_open(now) {
                    *self = Self { good: 1.0, decayed_at: now, ..Self::default() };
                }
                None
            }
            SendOutcome::Bad => {
                self.bad += 1.0;
                let must_hold_down = self.is_half_open(now) || self.is_outlier(sibling_share);
                if must_hold_down { self.hold_down(false, now) } else { None }
            }
            SendOutcome::Unreachable => {
                self.unresponsive_since = None;
                self.hold_down(true, now)
            }
            SendOutcome::Unresponsive => {
                if !self.is_unreachable {
                    self.unresponsive_since = Some(now);
                }
                self.hold_down(true, now)
            }
        }
    }

    /// Records bytes of a reply: a target that was only unresponsive is there.
    pub fn record_bytes(&mut self) {
        if self.unresponsive_since.take().is_some() {
            self.is_unreachable = false;
            self.held_down_until = None;
            self.hold_downs = 0;
        }
    }

    /// Ends a hold-down that only shows that this daemon was cut off.
    pub fn record_regained(&mut self) {
        if self.is_unreachable {
            *self = Self { good: self.good, decayed_at: self.decayed_at, ..Self::default() };
        }
    }

    /// Share of bad outcomes, from 0 to 1.
    pub fn bad_share(&self) -> f64 {
        let total = self.good + self.bad;
        if total > 0.0 { self.bad / total } else { 0.0 }
    }

    /// Whether the target is held down and must get no requests.
    pub fn is_held_down(&self, now: MonoTime) -> bool {
        self.held_down_until.is_some_and(|until| now < until)
    }

    /// Whether the hold-down is over and a trial request has yet to succeed (half-open).
    pub fn is_half_open(&self, now: MonoTime) -> bool {
        self.held_down_until.is_some_and(|until| now >= until)
    }

    /// Whether the target was unreachable and has had no successful trial request since.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Whether the target accepts no connections, and has not done so for longer than a sound one may be silent.
    pub fn is_absent(&self, now: MonoTime) -> bool {
        self.is_unreachable && !self.is_briefly_unresponsive(now)
    }

    /// Whether the target has only been unresponsive, and for no longer than a sound one may be.
    pub fn is_briefly_unresponsive(&self, now: MonoTime) -> bool {
        self.is_unreachable
            && self.unresponsive_since.is_some_and(|since| now < since + MAX_SOUND_SILENCE_MS)
    }

    fn is_outlier(&self, sibling_share: f64) -> bool {
        let limit = MIN_BAD_SHARE.max(SIBLING_RATIO * sibling_share);
        self.bad >= MIN_BAD_WEIGHT && self.bad_share() > limit
    }

    fn hold_down(&mut self, is_unreachable: bool, now: MonoTime) -> Option<MonoTime> {
        self.is_unreachable |= is_unreachable;
        if self.is_held_down(now) {
            return None;
        }
        let duration_ms = INITIAL_HOLD_DOWN_MS << self.hold_downs.min(3);
        let until = now + duration_ms.min(MAX_HOLD_DOWN_MS);
        self.hold_downs += 1;
        self.held_down_until = Some(until);
        Some(until)
    }

    fn decay(&mut self, now: MonoTime) {
        let age_ms = now.millis_since(self.decayed_at) as f64;
        let factor = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
        self.good *= factor;
        self.bad *= factor;
        self.decayed_at = now;
    }
}
