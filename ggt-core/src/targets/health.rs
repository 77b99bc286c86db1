//! Whether a target is fit for requests, from the outcomes of those that it was sent.

use crate::clock::MonoTime;

/// How one request to a target ended, as far as the target's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It answered as it should.
    Good,
    /// It answered with an error, broke off, or answered with something else.
    Bad,
    /// It could not be reached, or said nothing for too long.
    Unreachable,
}

/// First hold of a target that cannot be reached, in milliseconds; it doubles with each failed trial.
const FIRST_HOLD_MS: u64 = 500;
/// Longest hold in milliseconds.
const MAX_HOLD_MS: u64 = 4_000;
/// Half of the weight of an outcome is gone after this many milliseconds.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Bad outcomes, by weight, that a target must have before it is held for them.
const MIN_BAD_WEIGHT: f64 = 2.5;
/// Share of bad outcomes beyond which a target is held, whatever its siblings do.
const MIN_BAD_SHARE: f64 = 0.25;
/// Times the siblings' share of bad outcomes beyond which a target is held.
const SIBLING_RATIO: f64 = 2.5;

/// Outcomes of a target's requests, of which older ones weigh less, and the hold that they led to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthState {
    good: f64,
    bad: f64,
    weighed_at: MonoTime,
    holds: u32,
    held_until: Option<MonoTime>,
    is_unreachable: bool,
}

impl HealthState {
    /// Records an outcome; `siblings` is the share of bad outcomes at the service's other targets.
    ///
    /// Returns the end of a hold that begins with it. A target that is on trial is fit again after one
    /// good outcome.
    pub fn note(&mut self, outcome: SendOutcome, siblings: f64, now: MonoTime) -> Option<MonoTime> {
        self.decay(now);
        match outcome {
            SendOutcome::Good => {
                self.good += 1.0;
                if self.is_on_trial(now) {
                    *self = Self { good: 1.0, weighed_at: now, ..Self::default() };
                }
                None
            }
            SendOutcome::Bad => {
                self.bad += 1.0;
                let is_due = self.is_on_trial(now) || self.is_worse(siblings);
                if is_due { self.hold(false, now) } else { None }
            }
            SendOutcome::Unreachable => self.hold(true, now),
        }
    }

    /// Share of bad outcomes.
    pub fn bad_share(&self) -> f64 {
        let total = self.good + self.bad;
        if total > 0.0 { self.bad / total } else { 0.0 }
    }

    /// Whether the target is kept out of the choice.
    pub fn is_held(&self, now: MonoTime) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Whether a hold is over and one request is to show whether the target is fit again.
    pub fn is_on_trial(&self, now: MonoTime) -> bool {
        self.held_until.is_some_and(|until| now >= until)
    }

    /// Whether the target could not be reached when it was last tried.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    fn is_worse(&self, siblings: f64) -> bool {
        let limit = MIN_BAD_SHARE.max(SIBLING_RATIO * siblings);
        self.bad >= MIN_BAD_WEIGHT && self.bad_share() > limit
    }

    fn hold(&mut self, is_unreachable: bool, now: MonoTime) -> Option<MonoTime> {
        self.is_unreachable |= is_unreachable;
        if self.is_held(now) {
            return None;
        }
        let length = FIRST_HOLD_MS << self.holds.min(3);
        let until = now + length.min(MAX_HOLD_MS);
        self.holds += 1;
        self.held_until = Some(until);
        Some(until)
    }

    fn decay(&mut self, now: MonoTime) {
        let age = now.millis_since(self.weighed_at) as f64;
        let factor = 0.5_f64.powf(age / HALF_LIFE_MS);
        self.good *= factor;
        self.bad *= factor;
        self.weighed_at = now;
    }
}
