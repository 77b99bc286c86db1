//! Retry budget and retry decisions of the native interface.

use crate::verdict::RunVerdict;

/// Maximum number of saved retries, so that a long period without failures does not allow a burst
/// of retries.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Token bucket that limits retries to a ratio of first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed now, from 0 to [`MAX_SAVED_RETRIES`]; fractions accumulate.
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds `ratio` of a retry to the budget.
    pub fn deposit(&mut self, ratio: f64) {
        self.saved = (self.saved + ratio).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; `false` if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        let is_allowed = self.saved >= 1.0;
        if is_allowed {
            self.saved -= 1.0;
        }
        is_allowed
    }
}

/// Properties of a failed attempt that decide whether it may be retried.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Whether the target ran the request.
    pub verdict: RunVerdict,
    /// Whether the matching rule of the configuration declares the request non-idempotent.
    pub non_idempotent: bool,
    /// Whether any byte of the reply has been sent to the caller.
    pub reply_begun: bool,
}

impl FailedAttempt {
    /// Whether the request may be sent again, without regard to the retry budget and the deadline.
    pub fn may_retry(&self) -> bool {
        match self.verdict {
            RunVerdict::Ran => false,
            RunVerdict::NotRun => !self.reply_begun,
            RunVerdict::Unknown => !self.non_idempotent && !self.reply_begun,
        }
    }
}

/// Accumulates the verdicts of all attempts of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    may_have_run: bool,
}

impl AttemptHistory {
    /// Records a failed attempt.
    pub fn record(&mut self, verdict: RunVerdict) {
        self.may_have_run |= verdict != RunVerdict::NotRun;
    }

    /// Whether the request may have run in any of the attempts.
    ///
    /// The last attempt alone does not decide: it may not have run after an earlier one whose reply
    /// was lost.
    pub fn verdict(&self) -> RunVerdict {
        if self.may_have_run { RunVerdict::Unknown } else { RunVerdict::NotRun }
    }
}
