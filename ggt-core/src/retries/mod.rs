//! Whether a failed request is tried again.

use crate::verdict::RunVerdict;

/// Retries kept in reserve at most, so that a long calm does not allow a storm.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Allows retries as a share of first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// Records a first attempt, which earns `ratio` of a retry.
    pub fn earn(&mut self, ratio: f64) {
        self.saved = (self.saved + ratio).min(MAX_SAVED_RETRIES);
    }

    /// Spends one retry if there is one.
    pub fn spend(&mut self) -> bool {
        let is_allowed = self.saved >= 1.0;
        if is_allowed {
            self.saved -= 1.0;
        }
        is_allowed
    }
}

/// What is known of an attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// Whether the rule names the request non-idempotent.
    pub non_idempotent: bool,
    /// Whether any byte of the reply reached the caller.
    pub reply_begun: bool,
}

impl FailedAttempt {
    /// Whether another target may be tried, budget and deadline aside.
    pub fn may_retry(&self) -> bool {
        match self.verdict {
            RunVerdict::Ran => false,
            RunVerdict::NotRun => !self.reply_begun,
            RunVerdict::Unknown => !self.non_idempotent && !self.reply_begun,
        }
    }
}

/// What all attempts of one request so far amount to.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    may_have_run: bool,
}

impl AttemptHistory {
    /// Records an attempt that failed.
    pub fn note(&mut self, verdict: RunVerdict) {
        self.may_have_run |= verdict != RunVerdict::NotRun;
    }

    /// Whether the request may have run in any of the attempts.
    ///
    /// The last attempt alone does not tell: one that was never sent may follow one whose answer
    /// was lost.
    pub fn verdict(&self) -> RunVerdict {
        if self.may_have_run { RunVerdict::Unknown } else { RunVerdict::NotRun }
    }
}
