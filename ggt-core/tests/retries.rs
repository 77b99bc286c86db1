//! Verdict of a request over several attempts, and the retry budget.

use ggt_core::retries::AttemptHistory;
use ggt_core::retries::FailedAttempt;
use ggt_core::retries::RetryBudget;
use ggt_core::verdict::RunVerdict;

#[test]
fn a_lost_reply_outweighs_a_later_refusal() {
    let mut history = AttemptHistory::default();
    assert_eq!(history.verdict(), RunVerdict::NotRun);
    history.record(RunVerdict::NotRun);
    assert_eq!(history.verdict(), RunVerdict::NotRun);
    history.record(RunVerdict::Unknown);
    history.record(RunVerdict::NotRun);
    assert_eq!(history.verdict(), RunVerdict::Unknown);
}

#[test]
fn requests_that_may_have_run_are_retried_only_if_idempotent() {
    let attempt = |verdict, non_idempotent, reply_begun| FailedAttempt {
        verdict,
        non_idempotent,
        reply_begun,
    };
    assert!(attempt(RunVerdict::NotRun, true, false).may_retry());
    assert!(attempt(RunVerdict::Unknown, false, false).may_retry());
    assert!(!attempt(RunVerdict::Unknown, true, false).may_retry());
    assert!(!attempt(RunVerdict::Unknown, false, true).may_retry());
    assert!(!attempt(RunVerdict::Ran, false, false).may_retry());
}

#[test]
fn retries_are_limited_to_a_ratio_of_first_attempts() {
    let mut budget = RetryBudget::default();
    let saved = (0..1_000).filter(|_| budget.withdraw()).count();
    assert_eq!(saved, 20, "maximum of saved retries");
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(0.2);
        retries += usize::from(budget.withdraw());
    }
    assert!((195..=200).contains(&retries), "{retries} retries for 1,000 requests");
}
