//! Admission at a service with and without free capacity, and the retry delay of refused callers.

mod pool_fixture;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::pool_fixture::GOAL_MS;
use crate::pool_fixture::SLOTS;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::limits::ShareTable;
use ggt_core::prompts::PrefixChain;
use ggt_core::prompts::PromptPart;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::SlotDuration;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;

const TARGETS: usize = 3;
const SLOT_TIME_MS: u64 = 1_000;
/// Longest accepted time in the queue for a slot: half of the latency objective.
const MAX_WAIT_MS: u64 = GOAL_MS / 2;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A pool that has recorded that a request occupies a slot for [`SLOT_TIME_MS`].
fn pool_with_slot_time(count: usize) -> TargetPool {
    let mut pool = pool_of(count);
    let key = pool.iter().next().map(|(key, _)| key).expect("a target");
    pool.record_slot_time(
        key,
        SlotDuration { load: 1, total_ms: SLOT_TIME_MS, has_prompt: true },
        at(0),
    );
    pool
}

fn fill(pool: &mut TargetPool, requests: u32) {
    let keys: Vec<_> = pool.iter().map(|(key, _)| key).collect();
    for key in keys {
        (0..requests)
            .for_each(|_| drop(pool.record_send(key, &PrefixChain::default(), false, at(0))));
    }
}

/// Result of a simulated load on one service.
#[derive(Debug, Default)]
struct OverloadOutcome {
    admitted: u64,
    refused: u64,
    longest_wait_ms: u64,
}

/// Simulates requests at a constant interval to targets that run [`SLOTS`] of them concurrently and
/// queue the rest.
fn overload(interval_ms: u64, duration_ms: u64) -> OverloadOutcome {
    let mut pool = pool_with_slot_time(TARGETS);
    let mut outcome = OverloadOutcome::default();
    let mut running: BinaryHeap<Reverse<(u64, TargetKey, u64, u32)>> = BinaryHeap::new();
    let mut slots: Vec<(TargetKey, Vec<u64>)> =
        pool.iter().map(|(key, _)| (key, vec![0; SLOTS as usize])).collect();
    for now in (0..duration_ms).step_by(interval_ms as usize) {
        while running.peek().is_some_and(|Reverse((ends_at, ..))| *ends_at <= now) {
            let Some(Reverse((ends_at, key, sent_at, load))) = running.pop() else { break };
            pool.record_end(key);
            pool.record_slot_time(
                key,
                SlotDuration { load, total_ms: ends_at - sent_at, has_prompt: true },
                at(ends_at),
            );
        }
        let query = query(0, now.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let Ok(choice) = pool.choose(&query, at(now)) else {
            outcome.refused += 1;
            continue;
        };
        let record = pool.record_send(choice.key, &PrefixChain::default(), false, at(now));
        let target_slots = slots.iter_mut().find(|(key, _)| *key == choice.key);
        let slot = target_slots.and_then(|(_, free_at)| free_at.iter_mut().min()).expect("a slot");
        let starts_at = now.max(*slot);
        *slot = starts_at + SLOT_TIME_MS;
        outcome.admitted += 1;
        outcome.longest_wait_ms = outcome.longest_wait_ms.max(starts_at - now);
        running.push(Reverse((starts_at + SLOT_TIME_MS, choice.key, now, record.load)));
    }
    outcome
}

#[test]
fn pattern_twice_the_capacity_is_served_at_full_utilisation_and_in_time() {
    const DURATION_MS: u64 = 20_000;
    let capacity = TARGETS as u64 * u64::from(SLOTS) * DURATION_MS / SLOT_TIME_MS;
    let outcome = overload(20, DURATION_MS);
    assert!(outcome.longest_wait_ms <= MAX_WAIT_MS, "{outcome:?}");
    assert!(outcome.admitted * 100 >= capacity * 95, "{outcome:?}, capacity {capacity}");
    assert!(outcome.refused > 0);
}

#[test]
fn pattern_a_load_within_capacity_is_never_refused() {
    let outcome = overload(50, 20_000);
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}

#[test]
fn pattern_urgent_requests_use_the_capacity_reserved_for_them() {
    let mut pool = pool_with_slot_time(TARGETS);
    (0..3).for_each(|priority| pool.record_request("s", priority, at(0)));
    fill(&mut pool, SLOTS - 1);
    assert_eq!(pool.choose(&query(2, 1), at(0)).map(|_| ()), Err(ChoiceError::Full));
    assert!(pool.choose(&query(1, 1), at(0)).is_ok());
    assert!(pool.choose(&query(0, 1), at(0)).is_ok());
    fill(&mut pool, 1);
    assert_eq!(pool.choose(&query(0, 1), at(0)).map(|_| ()), Err(ChoiceError::Full));
}

#[test]
fn nothing_is_reserved_for_priorities_without_recent_requests() {
    let mut pool = pool_with_slot_time(TARGETS);
    fill(&mut pool, SLOTS - 1);
    pool.record_request("s", 0, at(0));
    pool.record_request("s", 1, at(0));
    assert_eq!(pool.choose(&query(2, 1), at(5_000)).map(|_| ()), Err(ChoiceError::Full));
    assert!(pool.choose(&query(2, 1), at(5_001)).is_ok());
}

#[test]
fn pattern_a_queue_of_short_requests_does_not_reduce_capacity() {
    const RUN_MS: u64 = 60;
    let mut pool = pool_of(1);
    let key = pool.iter().next().map(|(key, _)| key).expect("a target");
    // Each queues behind nine times as many requests as run concurrently.
    (0..100).for_each(|_| {
        pool.record_slot_time(
            key,
            SlotDuration { load: 10 * SLOTS, total_ms: 10 * RUN_MS, has_prompt: true },
            at(0),
        )
    });
    fill(&mut pool, 3 * SLOTS);
    assert!(
        pool.choose(&query(0, 1), at(0)).is_ok(),
        "the queue is served within the latency objective"
    );
    fill(&mut pool, 5 * SLOTS);
    assert_eq!(pool.choose(&query(0, 1), at(0)).map(|_| ()), Err(ChoiceError::Full));
}

#[test]
fn requests_that_may_have_run_are_not_refused_for_lack_of_capacity() {
    let mut pool = pool_with_slot_time(TARGETS);
    fill(&mut pool, 3 * SLOTS);
    let resumed = ChoiceQuery { may_have_run: true, ..query(2, 1) };
    assert!(pool.choose(&resumed, at(0)).is_ok());
}

#[test]
fn a_service_without_measured_slot_time_refuses_no_request() {
    let mut pool = pool_of(TARGETS);
    fill(&mut pool, 3 * SLOTS);
    assert!(pool.choose(&query(2, 1), at(0)).is_ok());
}

#[test]
fn pattern_a_prefill_backlog_fills_a_busy_target_and_not_an_idle_one() {
    let part = PromptPart { hash: 9, tokens: 40_000 };
    let chain = PrefixChain::new("m", &[part, PromptPart { hash: 10, tokens: 100 }]);
    for (busy, is_full) in [(0, false), (SLOTS / 2, true)] {
        let mut pool = pool_with_slot_time(1);
        fill(&mut pool, busy);
        let key = pool.iter().next().map(|(key, _)| key).expect("a target");
        pool.record_send(key, &chain, false, at(0));
        assert_eq!(pool.choose(&query(0, 1), at(0)).is_err(), is_full, "{busy} in flight");
    }
}

#[test]
fn pattern_retry_delay_grows_with_the_overload_and_is_shorter_for_urgent_callers() {
    let mut pool = pool_with_slot_time(1);
    let first = pool.record_overload(&query(0, 1), at(0)).retry_after_ms;
    for step in 0..8 {
        pool.record_overload(&query(0, 1), at(step * 500));
    }
    let later = pool.record_overload(&query(0, 1), at(4_000)).retry_after_ms;
    let less_urgent = pool.record_overload(&query(2, 1), at(4_000)).retry_after_ms;
    assert!(first < 300 && later >= 4_000 && less_urgent > later, "{first} {later} {less_urgent}");
    let longest = (8..200)
        .map(|step| pool.record_overload(&query(2, 1), at(step * 500)).retry_after_ms)
        .max();
    assert_eq!(longest, Some(10_000), "the retry delay has an upper limit");
    assert!(
        pool.record_overload(&query(0, 1), at(200_000)).retry_after_ms < 300,
        "the earlier overload is over"
    );
}

#[test]
fn pattern_one_customer_s_burst_leaves_the_others_their_shares() {
    let mut table: ShareTable<(&str, u32), &str> = ShareTable::default();
    let (utilisation, share_from) = (0.95, 0.9);
    for _ in 0..20 {
        table
            .admit(&("s", 1), &"large", 1.0, 0.5, share_from)
            .expect("shares do not apply at this utilisation");
    }
    let small = table.admit(&("s", 1), &"small", 1.0, utilisation, share_from);
    assert!(small.is_ok(), "a customer below its share");
    assert!(
        table.admit(&("s", 1), &"large", 1.0, utilisation, share_from).is_err(),
        "a customer over its share"
    );
    assert!(
        table.admit(&("s", 0), &"large", 1.0, utilisation, share_from).is_ok(),
        "shares of another priority are separate"
    );
    table.release(&small.expect("admitted"));
}
