//! Targets that have turned requests away and want none for some time.

mod pool_fixture;

use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::ChoiceReason;
use ggt_core::targets::RateShare;
use ggt_core::targets::RateStatement;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::SlotDuration;
use ggt_core::targets::TargetClosing;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::versions::SoftwareVersion;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn keys_of(pool: &TargetPool) -> Vec<TargetKey> {
    pool.iter().map(|(key, _)| key).collect()
}

// Guards against a later statement of a shorter time that opens a target too early.
#[test]
fn latest_end_counts() {
    let mut closing = TargetClosing::default();
    assert!(!closing.is_closed(at(0)));
    assert_eq!(closing.close(2_000, at(100)), Some(at(2_100)));
    assert_eq!(closing.close(500, at(200)), None);
    assert_eq!(closing.opens_at(), at(2_100));
    assert_eq!(closing.close(3_000, at(200)), None, "it is closed already");
    assert!(closing.is_closed(at(3_199)) && !closing.is_closed(at(3_200)));
    assert_eq!(closing.close(0, at(3_300)), None, "no time at all");
    assert_eq!(closing.close(100, at(3_300)), Some(at(3_400)));
}

// Guards against a target that is left out for good because it erred once.
#[test]
fn extreme_times_are_bounded() {
    let mut closing = TargetClosing::default();
    assert_eq!(closing.close(u64::MAX, at(1_000)), Some(at(601_000)));
}

// Guards against requests at a closed target: while others have less room, or as a trial or a retry.
#[test]
fn closed_target_gets_no_request_of_any_kind() {
    let mut pool = pool_of(3);
    let keys = keys_of(&pool);
    pool.record_outcome(keys[0], SendOutcome::Unreachable, at(0));
    pool.close_target(keys[0], 4_000, at(0));
    let tried = [keys[1]];
    for hash in 0..50 {
        for may_have_run in [false, true] {
            let retry = ChoiceQuery { tried: &tried, may_have_run, ..query(0, hash) };
            assert_eq!(pool.choose(&retry, at(3_900)).map(|choice| choice.key), Ok(keys[2]));
            let first = ChoiceQuery { may_have_run, ..query(0, hash) };
            assert_ne!(pool.choose(&first, at(3_900)).map(|choice| choice.key), Ok(keys[0]));
        }
    }
    let trial = pool.choose(&query(0, 1), at(4_000)).expect("should choose");
    assert_eq!((trial.key, trial.reason), (keys[0], ChoiceReason::Trial));
}

// Guards against streams that go on at a closed target because no other one has their version.
#[test]
fn stream_of_a_version_whose_targets_are_closed_is_refused() {
    let mut pool = pool_of(2);
    let keys = keys_of(&pool);
    let pinned = ChoiceQuery { version: Some(SoftwareVersion::named("v1")), ..query(0, 1) };
    for key in keys {
        assert_eq!(pool.close_target(key, 2_000, at(0)), Some(at(2_000)));
    }
    assert_eq!(pool.choose(&pinned, at(1_999)), Err(ChoiceError::Closed));
    assert!(pool.choose(&pinned, at(2_000)).is_ok());
}

// Guards against callers that come back before any target takes requests, and against refusals for the time
// of one target while another one is open.
#[test]
fn refused_callers_are_told_to_wait_for_the_first_target() {
    let mut pool = pool_of(2);
    let keys = keys_of(&pool);
    pool.close_target(keys[0], 30_000, at(0));
    assert_eq!(pool.millis_until_reopened(&query(0, 1), at(0)), 0);
    assert!(pool.choose(&query(0, 1), at(0)).is_ok());
    pool.close_target(keys[1], 20_000, at(0));
    assert_eq!(pool.choose(&query(0, 1), at(1_000)), Err(ChoiceError::Closed));
    let estimate = pool.record_overload(&query(0, 1), at(1_000));
    assert!(estimate.retry_after_ms >= 19_000, "{}", estimate.retry_after_ms);
    assert!(pool.record_overload(&query(0, 1), at(20_000)).retry_after_ms <= 10_000);
    assert!(pool.choose(&query(0, 1), at(20_000)).is_ok());
}

// Guards against callers that come back at once if some targets are closed and the others at their rates.
#[test]
fn closed_target_does_not_hide_when_another_takes_a_request_at_its_rate() {
    let mut pool = pool_of(2);
    let keys = keys_of(&pool);
    pool.close_target(keys[0], 5_000, at(0));
    let statement = RateStatement { limit: Some(0.5), sent_at: at(0), received_at: at(0) };
    pool.apply_rate(keys[1], statement, true);
    pool.update_rate_shares(at(0), |_, limit| RateShare {
        per_second: limit.per_second,
        phase: 0.0,
    });
    pool.record_send(keys[1], &Default::default(), false, at(0));
    assert_eq!(pool.choose(&query(0, 1), at(500)), Err(ChoiceError::RateLimited));
    let estimate = pool.record_overload(&query(0, 1), at(500));
    assert!((1_500..4_000).contains(&estimate.retry_after_ms), "{}", estimate.retry_after_ms);
}

// Guards against customers that are limited by the room of targets that take no requests.
#[test]
fn closed_targets_do_not_count_as_capacity() {
    let mut pool = pool_of(2);
    let keys = keys_of(&pool);
    pool.record_slot_time(
        keys[0],
        SlotDuration { load: 1, total_ms: 1_000, has_prompt: true },
        at(0),
    );
    for _ in 0..4 {
        pool.record_send(keys[1], &Default::default(), false, at(0));
    }
    let before = pool.utilisation(&query(0, 1), at(0));
    pool.close_target(keys[0], 2_000, at(0));
    let after = pool.utilisation(&query(0, 1), at(0));
    assert!((after - 2.0 * before).abs() < 1e-9, "{before} {after}");
}
