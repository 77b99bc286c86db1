//! Which incarnation is at a target's address: what speaks against the registered one, and what settles it.

mod pool_fixture;

use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::EndReport;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::StatedStart;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetState;
use ggt_core::versions::SoftwareVersion;

const SERVICE: &str = "s";

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + millis)
}

fn version() -> SoftwareVersion {
    SoftwareVersion::named("v1")
}

/// A pool with this many targets of one version, and their keys.
fn pool_with(count: usize) -> (TargetPool, Vec<TargetKey>) {
    let pool = pool_of(count);
    let keys = pool.iter().map(|(key, _)| key).collect();
    (pool, keys)
}

fn target(pool: &TargetPool, key: TargetKey) -> &TargetState {
    pool.target(key).expect("a target")
}

fn serves_its_version(pool: &TargetPool, key: TargetKey) -> bool {
    target(pool, key).version() == version()
}

// Guards against a stream that goes on at a target which may be another process: that it accepts connections and replies
// shows nothing.
#[test]
fn doubted_target_has_no_version_until_it_says_that_it_is_the_registered_one() {
    let (mut pool, keys) = pool_with(1);
    let key = keys[0];
    assert!(serves_its_version(&pool, key));
    assert!(pool.record_doubt(key, at(0)) && !pool.record_doubt(key, at(10)));
    assert!(!serves_its_version(&pool, key) && target(&pool, key).likely_version() == version());
    let stream = ChoiceQuery { version: Some(version()), ..query(0, 1) };
    assert_eq!(pool.choose(&stream, at(10)), Err(ChoiceError::NoVersion));
    assert!(pool.due_lifetime_checks(at(1_000)).is_empty(), "nothing is there that could be asked");
    pool.record_accept(key, at(1_000));
    assert!(!serves_its_version(&pool, key));
    assert!(pool.due_lifetime_checks(at(2_999)).is_empty(), "others may have asked it by then");
    assert_eq!(pool.due_lifetime_checks(at(3_000)), [key]);
    assert!(pool.due_lifetime_checks(at(3_000)).is_empty(), "it has been asked");
    assert!(!pool.apply_start(key, StatedStart::Another, at(1_000)));
    assert!(!serves_its_version(&pool, key));
    assert!(pool.apply_start(key, StatedStart::Registered, at(1_000)));
    assert!(serves_its_version(&pool, key));
    pool.record_accept(key, at(1_100));
    assert!(pool.due_lifetime_checks(at(60_000)).is_empty());
}

// Guards against a target that is taken for the registered one by what it said before it crashed.
#[test]
fn statement_that_was_requested_before_the_doubt_settles_nothing() {
    let (mut pool, keys) = pool_with(1);
    let key = keys[0];
    pool.record_doubt(key, at(100));
    assert!(!pool.apply_start(key, StatedStart::Registered, at(99)));
    assert!(!serves_its_version(&pool, key));
    assert!(pool.apply_start(key, StatedStart::Registered, at(100)));
    // What a peer has seen before that is old news, and what it has seen since is not.
    assert!(!pool.record_doubt(key, at(100)) && serves_its_version(&pool, key));
    assert!(pool.record_doubt(key, at(101)) && !serves_its_version(&pool, key));
}

// Guards against targets of which a stream is refused for good after a cut, since they do not state their start; and
// against one that has ended and gets the same benefit.
#[test]
fn target_that_states_no_start_is_trusted_after_a_doubt_but_not_after_its_end() {
    let (mut pool, keys) = pool_with(2);
    pool.record_doubt(keys[0], at(0));
    assert!(pool.apply_start(keys[0], StatedStart::Unstated, at(10)));
    assert!(serves_its_version(&pool, keys[0]));
    let crash = target(&pool, keys[1]).crash_id();
    assert!(pool.record_end_of(crash, at(0)));
    assert!(!pool.apply_start(keys[1], StatedStart::Unstated, at(10)));
    assert!(!serves_its_version(&pool, keys[1]));
    assert_ne!(target(&pool, keys[1]).likely_version(), version());
}

// Guards against the end of a cut that is taken for proof: a crash of all targets of a service looks the same.
#[test]
fn end_of_a_cut_leaves_ended_targets_in_doubt() {
    let (mut pool, keys) = pool_with(2);
    let crash = target(&pool, keys[0]).crash_id();
    assert!(pool.record_end_of(crash, at(0)));
    pool.record_doubt(keys[1], at(0));
    pool.record_regained(keys[1], &keys[..1], at(500));
    assert!(keys.iter().all(|key| !serves_its_version(&pool, *key)));
    assert_eq!(pool.due_lifetime_checks(at(2_500)), [keys[0]]);
    for key in keys {
        assert!(pool.apply_start(key, StatedStart::Registered, at(500)));
        assert!(serves_its_version(&pool, key));
    }
}

// Guards against streams that are refused for good since they began just after a cut, when it was not known which
// incarnation is there.
#[test]
fn version_of_a_doubted_target_names_the_target_until_that_ends() {
    let (mut pool, keys) = pool_with(2);
    pool.record_doubt(keys[1], at(0));
    let began_at = target(&pool, keys[1]).version();
    let found = |pool: &TargetPool| pool.target_of_unknown_version(SERVICE, began_at);
    assert_eq!(found(&pool), Some(keys[1]));
    assert!(pool.apply_start(keys[1], StatedStart::Registered, at(10)));
    assert_eq!(found(&pool), Some(keys[1]));
    assert!(target(&pool, keys[1]).lifetime.is_confirmed_since(at(10)));
    assert!(!target(&pool, keys[1]).lifetime.is_confirmed_since(at(11)));
    let crash = target(&pool, keys[1]).crash_id();
    assert!(pool.record_end_of(crash, at(20)));
    assert_eq!(found(&pool), None);
    assert_eq!(pool.target_of_unknown_version(SERVICE, version()), None);
}

// Guards against questions to all targets of a service whenever one of them is in doubt.
#[test]
fn doubted_targets_are_asked_for_a_stream_only_if_no_other_is_left() {
    let (mut pool, keys) = pool_with(3);
    let doubted =
        |pool: &TargetPool, tried: &[TargetKey]| pool.doubted_targets(SERVICE, version(), tried);
    pool.record_doubt(keys[0], at(0));
    assert!(doubted(&pool, &[]).is_empty());
    assert_eq!(doubted(&pool, &keys[1..]), [keys[0]]);
    pool.record_doubt(keys[1], at(0));
    pool.record_doubt(keys[2], at(0));
    assert_eq!(doubted(&pool, &[]), keys);
    assert_eq!(doubted(&pool, &keys[..1]), keys[1..]);
    let crash = target(&pool, keys[2]).crash_id();
    pool.record_end_of(crash, at(10));
    assert_eq!(doubted(&pool, &[]), keys[..2]);
    assert!(pool.doubted_targets(SERVICE, SoftwareVersion::named("v2"), &[]).is_empty());
}

// Guards against ends that other daemons are told of for ever, or of which they think that they are new.
#[test]
fn ends_are_reported_for_a_short_time_with_their_age() {
    let (mut pool, keys) = pool_with(2);
    let hash = target(&pool, keys[0]).short_hash;
    let crash = target(&pool, keys[0]).crash_id();
    pool.record_doubt(keys[1], at(0));
    assert!(pool.record_end_of(crash, at(0)) && !pool.record_end_of(crash, at(100)));
    let reports = |millis| pool.end_reports(at(millis)).collect::<Vec<_>>();
    assert_eq!(reports(2_500), [EndReport { target: hash, age_ms: 2_500 }]);
    assert_eq!(reports(2_500)[0].noticed_at(at(2_510)), at(10));
    assert!(reports(3_000).is_empty());
}
