//! Limits of the silence of a target: a sound one is waited for, and the streams of one that has ended go
//! on before their callers give up.

mod pool_fixture;

use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::silence::ReplyStage;
use ggt_core::silence::SilenceLimit;
use ggt_core::silence::caller_patience_ms;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;

/// A silence in milliseconds that a sound target may have.
const SOUND_SILENCE_MS: u64 = 1_200;
/// Milliseconds that the next target of a stream needs for its first event.
const FIRST_EVENT_MS: u64 = 400;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(10_000 + millis)
}

fn keys_of(pool: &TargetPool) -> Vec<TargetKey> {
    pool.iter().map(|(key, _)| key).collect()
}

fn record_all(pool: &mut TargetPool, outcome: SendOutcome, now: MonoTime) {
    for key in keys_of(pool) {
        pool.record_outcome(key, outcome, now);
    }
}

// Guards against streams that leave a sound target, and against streams of a dead one whose callers give
// up first, for all objectives and gaps.
#[test]
fn stream_waits_for_a_sound_target_and_leaves_a_dead_one_before_its_caller_gives_up() {
    for goal_ms in (0..=2_000).step_by(100) {
        for gap_ms in (0..=1_000).step_by(50) {
            let limit = SilenceLimit::new(ReplyStage::Event, goal_ms, gap_ms);
            let patience_ms = caller_patience_ms(goal_ms, gap_ms);
            assert!(limit.sound_ms > SOUND_SILENCE_MS, "goal {goal_ms} gap {gap_ms}");
            assert!(limit.sound_ms + FIRST_EVENT_MS < patience_ms, "goal {goal_ms} gap {gap_ms}");
            assert!(limit.ended_ms < limit.sound_ms);
        }
    }
}

// Guards against a service that refuses everything because all of its targets are silent for a moment and
// accept no connections.
#[test]
fn pattern_a_short_silence_of_all_targets_of_a_service_does_not_empty_it() {
    let mut pool = pool_of(3);
    add_other_service(&mut pool);
    for key in pool.of_service("s").to_vec() {
        pool.record_outcome(key, SendOutcome::Unresponsive, at(0));
    }
    assert!(pool.choose(&query(0, 1), at(100)).is_ok());
    let later = pool.choose(&query(0, 1), at(2_300));
    assert!(later.is_err_and(|e| e == ChoiceError::NoTarget) || is_trial(&pool, 2_300));
}

fn is_trial(pool: &TargetPool, millis: u64) -> bool {
    let choice = pool.choose(&query(0, 1), at(millis));
    choice.is_ok_and(|choice| choice.reason == ggt_core::targets::ChoiceReason::Trial)
}

fn add_other_service(pool: &mut TargetPool) {
    let key = keys_of(pool)[0];
    let record = pool.target(key).expect("should be there").record.clone();
    pool.put(ggt_core::targets::TargetRecord {
        id: "other".to_owned(),
        service: "other".to_owned(),
        address: ([10, 0, 2, 1], 8_000).into(),
        ..record
    });
}

// Guards against a daemon that is cut off and holds requests that it cannot serve.
#[test]
fn cut_off_daemon_refuses_at_once() {
    let mut pool = pool_of(3);
    record_all(&mut pool, SendOutcome::Unresponsive, at(0));
    assert_eq!(pool.choose(&query(0, 1), at(100)), Err(ChoiceError::NoTarget));
}

// Guards against sends to targets that refuse connections while all targets of the service do.
#[test]
fn targets_that_refuse_connections_are_not_chosen() {
    let mut pool = pool_of(3);
    add_other_service(&mut pool);
    for key in pool.of_service("s").to_vec() {
        pool.record_outcome(key, SendOutcome::Unreachable, at(0));
    }
    assert_eq!(pool.choose(&query(0, 1), at(100)), Err(ChoiceError::NoTarget));
}

// Guards against a request that leaves a silent target for another that is silent as well, while all
// targets are silent for a moment.
#[test]
fn pattern_no_request_moves_between_targets_that_are_all_silent() {
    let mut pool = pool_of(3);
    let keys = keys_of(&pool);
    for key in &keys {
        pool.record_send(*key, &Default::default(), false, at(0));
    }
    let tried = [keys[0]];
    let moving = ChoiceQuery { tried: &tried, silent_since: Some(at(50)), ..query(0, 1) };
    assert_eq!(pool.choose(&moving, at(1_500)), Err(ChoiceError::NoTarget));
    pool.record_reply(keys[1], None, at(1_400));
    assert_eq!(pool.choose(&moving, at(1_500)).map(|choice| choice.key), Ok(keys[1]));
}

// Guards against targets that stay out after a silence for as long as they have requests in flight,
// although their replies go on.
#[test]
fn bytes_of_a_reply_end_the_hold_down_of_an_unresponsive_target() {
    let mut pool = pool_of(3);
    for key in keys_of(&pool) {
        pool.record_send(key, &Default::default(), false, at(0));
        pool.record_outcome(key, SendOutcome::Unresponsive, at(200));
    }
    assert_eq!(pool.choose(&query(0, 1), at(900)), Err(ChoiceError::NoTarget));
    for key in keys_of(&pool) {
        pool.record_reply(key, None, at(1_000));
    }
    for millis in (1_000..12_000).step_by(500) {
        assert!(pool.choose(&query(0, 1), at(millis)).is_ok(), "at {millis}");
    }
}

// Guards against the same for a target that refused a connection: its replies in flight do not show that
// it takes new requests.
#[test]
fn bytes_of_a_reply_do_not_end_the_hold_down_of_a_target_that_refused_a_connection() {
    let mut pool = pool_of(1);
    let key = keys_of(&pool)[0];
    pool.record_send(key, &Default::default(), false, at(0));
    pool.record_outcome(key, SendOutcome::Unreachable, at(200));
    pool.record_reply(key, None, at(300));
    assert_eq!(pool.choose(&query(0, 1), at(400)), Err(ChoiceError::NoTarget));
}

// Guards against streams of a dead target that go on one by one, because the next target counts as silent
// from the moment at which it has got the first of them.
#[test]
fn pattern_streams_of_a_dead_target_move_together_to_an_idle_one() {
    let mut pool = pool_of(2);
    let keys = keys_of(&pool);
    pool.record_send(keys[0], &Default::default(), false, at(0));
    let tried = [keys[0]];
    let moving = ChoiceQuery { tried: &tried, silent_since: Some(at(50)), ..query(0, 1) };
    pool.record_send(keys[1], &Default::default(), false, at(1_800));
    assert_eq!(pool.choose(&moving, at(1_810)).map(|choice| choice.key), Ok(keys[1]));
}
