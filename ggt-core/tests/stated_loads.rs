//! Loads that targets state in replies, in place of the sum of what the daemons report.

mod pool_fixture;

use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::targets::InFlightLoad;
use ggt_core::targets::LoadStatement;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;

/// Milliseconds for which a statement counts.
const TTL_MS: u64 = 1_200;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(10_000 + millis)
}

fn stated(requests: u32, millis: u64) -> LoadStatement {
    LoadStatement { requests, stated_at: at(millis) }
}

/// Targets by their place in the pool, and their pool.
fn targets() -> (TargetPool, Vec<TargetKey>) {
    let pool = pool_of(4);
    let keys = pool.iter().map(|(key, _)| key).collect();
    (pool, keys)
}

// Guards against a target that gets the requests of all daemons at once: by their digests, which are seconds
// apart, it is idle, though it has just stated that it is full.
#[test]
fn pattern_a_target_that_states_its_load_is_not_taken_for_idle_until_the_next_digests() {
    let (mut pool, keys) = targets();
    pool.apply_load(keys[0], stated(20, 0), TTL_MS);
    let chosen = |pool: &TargetPool, now| {
        let choices = (0..200).map(|hash| pool.choose(&query(0, hash), now));
        choices.filter(|choice| choice.is_ok_and(|choice| choice.key == keys[0])).count()
    };
    assert!(chosen(&pool, at(100)) <= 2, "{}", chosen(&pool, at(100)));
    assert!(chosen(&pool, at(TTL_MS)) >= 20, "an old statement no longer counts");
}

// Guards against own requests that count twice, and against earlier statements that overtake later ones.
#[test]
fn the_latest_statement_counts_beside_own_requests() {
    let (mut pool, keys) = targets();
    let requests = |pool: &TargetPool, millis| {
        pool.target(keys[0]).map_or(0, |state| state.requests(at(millis)))
    };
    let reported = InFlightLoad { requests: 3, backlog_tokens: 0 };
    let hash = pool.target(keys[0]).expect("the target is known").short_hash;
    pool.set_peer_load(hash, reported);
    pool.record_send(keys[0], &Default::default(), false, at(0));
    assert_eq!(requests(&pool, 0), 4, "no statement: what the peers report");
    pool.apply_load(keys[0], stated(9, 10), TTL_MS);
    assert_eq!(requests(&pool, 20), 9, "the statement includes the own request");
    pool.apply_load(keys[0], stated(2, 5), TTL_MS);
    assert_eq!(requests(&pool, 20), 9, "an earlier one that a peer passes on");
    pool.record_end(keys[0]);
    assert_eq!(requests(&pool, 20), 8, "an own request has ended since");
    assert_eq!(requests(&pool, 10 + TTL_MS), 3);
    pool.apply_load(keys[0], stated(9, 2_000), 0);
    assert_eq!(requests(&pool, 2_000), 3, "in a small fleet what the peers report is newer");
}
