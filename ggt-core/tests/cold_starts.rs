//! Targets that are cold after a start: who may send how much, and when they count as warm.

mod digest_fixture;
mod pool_fixture;

use std::collections::HashMap;
use std::net::SocketAddr;

use quickcheck::quickcheck;

use crate::digest_fixture::empty_digest;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use crate::pool_fixture::record;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::FleetTable;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ColdStartLimit;
use ggt_core::targets::ColdStartStatement;
use ggt_core::targets::RateShare;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetRecord;

/// What each cold target takes.
const LIMIT: ColdStartLimit = ColdStartLimit { per_second: 12.0, duration_ms: 3_000 };
/// Span in which the users' rule counts requests, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Step of the model's time in milliseconds.
const STEP_MS: usize = 10;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn limits() -> HashMap<String, ColdStartLimit> {
    HashMap::from([("s".to_owned(), LIMIT)])
}

/// A pool of warm targets whose service limits cold ones.
fn limited_pool(count: usize) -> TargetPool {
    let mut pool = pool_of(count);
    pool.set_cold_start_limits(limits(), at(0));
    pool
}

fn keys_of(pool: &TargetPool) -> Vec<TargetKey> {
    pool.of_service("s").to_vec()
}

fn is_cold(pool: &TargetPool, key: TargetKey, now: u64) -> bool {
    pool.target(key).is_some_and(|state| state.rate.cold_start.limit(at(now)).is_some())
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, (number / 200) as u8, (number % 200) as u8], 7_000).into()
}

/// The tables of this many daemons, which have all heard of each other at time zero.
fn fleet(count: usize) -> Vec<FleetTable> {
    let table = |own: usize| {
        let mut table = FleetTable::new(address(own));
        for other in (0..count).filter(|other| *other != own) {
            table.apply(empty_digest(address(other), 1, 1), at(0));
        }
        table
    };
    (0..count).map(table).collect()
}

/// A daemon of the model below.
struct ModelDaemon {
    table: FleetTable,
    pool: TargetPool,
    started_at: MonoTime,
    seeds: Vec<SocketAddr>,
}

impl ModelDaemon {
    fn update_shares(&mut self, now: MonoTime) {
        let has_met_all = self.table.has_met_all(self.started_at, &self.seeds, now);
        let table = &self.table;
        self.pool.update_rate_shares(now, |hash, limit| match has_met_all {
            true => table.rate_share(hash, limit.per_second),
            false => RateShare::default(),
        });
    }

    /// Sends a request if a target takes one; returns the target.
    fn send(&mut self, hash: u64, now: MonoTime) -> Option<TargetKey> {
        let choice = self.pool.choose(&query(0, hash), now).ok()?;
        self.pool.record_send(choice.key, &Default::default(), false, now);
        self.pool.record_end(choice.key);
        Some(choice.key)
    }
}

/// The most requests that any target of `daemons` daemons gets in `WINDOW_MS` after a data centre of four targets
/// returns from an evacuation, while each daemon wants to send every 10 ms; every `restarted`-th has just started.
fn worst_second(daemons: usize, restarted: usize) -> usize {
    let new_daemon = |(number, table): (usize, FleetTable)| {
        let mut pool = limited_pool(4);
        pool.evacuations.begin("a", at(0));
        pool.evacuations.end_at("a", at(10_000));
        pool.evacuations.expire(at(10_000));
        pool.record_possible_starts("a", at(10_000));
        let is_restarted = restarted > 0 && number % restarted == 0;
        let table = if is_restarted { FleetTable::new(address(number)) } else { table };
        let seeds = (0..daemons.min(2)).map(address).collect();
        ModelDaemon { table, pool, seeds, started_at: at(if is_restarted { 9_900 } else { 0 }) }
    };
    let mut daemons: Vec<_> = fleet(daemons).into_iter().enumerate().map(new_daemon).collect();
    let mut sends: HashMap<TargetKey, Vec<u64>> = HashMap::new();
    for millis in (10_000..13_000).step_by(STEP_MS) {
        for (number, daemon) in daemons.iter_mut().enumerate() {
            daemon.update_shares(at(millis));
            let hash = millis * 1_000 + number as u64;
            let key = daemon.send(hash, at(millis));
            key.into_iter().for_each(|key| sends.entry(key).or_default().push(millis));
        }
    }
    let in_window = |times: &[u64], start: u64| {
        times.iter().filter(|time| (start..start + WINDOW_MS).contains(*time)).count()
    };
    let worst = |times: &Vec<u64>| times.iter().map(|start| in_window(times, *start)).max();
    sends.values().filter_map(worst).max().unwrap_or_default()
}

// Guards against daemons that all choose the targets of a data centre that returns cold, empty and least loaded.
#[test]
fn pattern_cold_data_centre_returns_before_all_daemons_at_once() {
    for daemons in [1, 6, 9, 63, 195] {
        for restarted in [0, 2] {
            let allowed = 1.5 * LIMIT.per_second + 5.0;
            let worst = worst_second(daemons, restarted);
            assert!(worst as f64 <= allowed, "{daemons} daemons: {worst} requests in a second");
        }
    }
}

// Guards against cold targets that get nothing, so that their room is lost.
#[test]
fn pattern_cold_targets_are_used_within_their_rate() {
    for daemons in [1, 6, 63, 195] {
        let worst = worst_second(daemons, 0);
        assert!(worst as f64 >= 0.75 * LIMIT.per_second, "{daemons} daemons: {worst}");
    }
}

// Guards against a target that is taken for cold after it has said that it is warm, and the other way round.
#[test]
fn latest_statement_counts() {
    let mut pool = limited_pool(1);
    let key = keys_of(&pool)[0];
    assert!(!is_cold(&pool, key, 10));
    assert!(pool.apply_cold_start("t0", ColdStartStatement::Left(2_000), at(100)), "news");
    assert!(!pool.apply_cold_start("t0", ColdStartStatement::Left(900), at(1_200)), "known");
    assert!(is_cold(&pool, key, 2_099) && !is_cold(&pool, key, 2_100));
    pool.apply_cold_start("t0", ColdStartStatement::Left(1_000), at(3_000));
    pool.apply_cold_start("t0", ColdStartStatement::Absent, at(3_100));
    pool.apply_cold_start("t0", ColdStartStatement::Malformed, at(3_100));
    assert!(is_cold(&pool, key, 3_200), "neither is a statement");
    pool.apply_cold_start("t0", ColdStartStatement::Left(0), at(3_300));
    assert!(!is_cold(&pool, key, 3_300));
}

// Guards against a cold target that is sent to as a warm one since the configuration arrived after its registration.
#[test]
fn statement_that_came_before_the_configuration_counts() {
    let mut pool = TargetPool::default();
    pool.put(TargetRecord { cold_start: ColdStartStatement::Left(2_500), ..record(0) });
    pool.apply_cold_start("t0", ColdStartStatement::Left(2_500), at(0));
    let key = keys_of(&pool)[0];
    assert!(!is_cold(&pool, key, 10), "without a limit there is no cold target");
    pool.set_cold_start_limits(limits(), at(100));
    assert!(is_cold(&pool, key, 200));
    pool.set_cold_start_limits(limits(), at(5_000));
    assert!(!is_cold(&pool, key, 5_000), "the next configuration changes nothing");
}

// Guards against trial requests of all daemons to a target that has started again under its id.
#[test]
fn target_that_was_absent_is_taken_for_cold_until_it_says_otherwise() {
    let mut pool = limited_pool(2);
    let keys = keys_of(&pool);
    pool.record_outcome(keys[0], SendOutcome::Unreachable, at(0));
    assert!(is_cold(&pool, keys[0], 6_999) && !is_cold(&pool, keys[0], 7_000));
    pool.record_reply(keys[0], None, at(1_000));
    assert!(is_cold(&pool, keys[0], 3_999) && !is_cold(&pool, keys[0], 4_000));
    pool.record_outcome(keys[1], SendOutcome::Unreachable, at(0));
    pool.apply_cold_start("t1", ColdStartStatement::Left(0), at(700));
    assert!(!is_cold(&pool, keys[1], 700));
}

// Guards against sound targets that are held back since they were silent for a moment, or this daemon was cut off.
#[test]
fn silence_and_cuts_make_no_target_cold() {
    let mut pool = limited_pool(3);
    let keys = keys_of(&pool);
    pool.record_outcome(keys[0], SendOutcome::Unresponsive, at(0));
    assert!(!is_cold(&pool, keys[0], 10));
    pool.record_outcome(keys[0], SendOutcome::Unresponsive, at(4_000));
    assert!(is_cold(&pool, keys[0], 4_010), "longer than a sound target is silent");
    pool.record_regained(keys[1], &keys, at(0));
    assert!(!is_cold(&pool, keys[0], 4_020), "this daemon was cut off");
}

// Guards against requests that are refused for long when nothing but cold targets is left.
#[test]
fn cold_targets_at_their_rate_refuse_until_they_take_the_next() {
    let mut pool = limited_pool(1);
    let key = keys_of(&pool)[0];
    pool.apply_cold_start("t0", ColdStartStatement::Left(3_000), at(0));
    pool.update_rate_shares(at(0), |_, limit| RateShare {
        per_second: limit.per_second,
        phase: 0.0,
    });
    assert_eq!(pool.choose(&query(0, 1), at(10)).map(|choice| choice.key), Ok(key));
    pool.record_send(key, &Default::default(), false, at(10));
    assert!(!pool.may_resend(key, at(20)), "a second send is one more request");
    assert_eq!(pool.choose(&query(0, 1), at(20)), Err(ChoiceError::RateLimited));
    assert!(pool.record_overload(&query(0, 1), at(20)).retry_after_ms < 500);
    assert!(pool.choose(&query(0, 1), at(100)).is_ok() && pool.may_resend(key, at(100)));
}

// Guards against a limit that a target states and that is forgotten while it is cold.
#[test]
fn lower_limit_counts() {
    let mut pool = limited_pool(1);
    let key = keys_of(&pool)[0];
    let statement = |limit| ggt_core::targets::RateStatement {
        limit: Some(limit),
        sent_at: at(0),
        received_at: at(1),
    };
    pool.apply_cold_start("t0", ColdStartStatement::Left(3_000), at(0));
    let limit = |pool: &TargetPool, now| {
        let limit = pool.target(key).and_then(|state| state.rate.limit(at(now)));
        limit.map(|limit| (limit.per_second, limit.is_cold_start))
    };
    assert_eq!(limit(&pool, 10), Some((12.0, true)));
    pool.apply_rate(key, statement(2.0), true);
    assert_eq!(limit(&pool, 10), Some((2.0, false)));
    assert_eq!(limit(&pool, 4_000), Some((2.0, false)));
}

quickcheck! {
    // Guards against extreme times that overflow, or leave a target out for good.
    fn any_stated_time_ends(left_ms: u64, now_ms: u32) -> bool {
        let mut pool = limited_pool(1);
        let key = keys_of(&pool)[0];
        let now = u64::from(now_ms);
        pool.apply_cold_start("t0", ColdStartStatement::Left(left_ms), at(now));
        !is_cold(&pool, key, now + LIMIT.duration_ms)
    }
}
