//! Targets that differ in speed: what they state of it, what durations show, and how requests are spread.

mod pool_fixture;

use std::collections::HashMap;

use quickcheck::quickcheck;

use crate::pool_fixture::SLOTS;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use crate::pool_fixture::record;
use ggt_core::clock::MonoTime;
use ggt_core::ident::mix_hash;
use ggt_core::targets::SlotDuration;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetRecord;
use ggt_core::targets::WORK_TIME_TTL_MS;
use ggt_core::targets::WorkTimeStatement;

/// Usual time of a request in milliseconds.
const USUAL_MS: u64 = 40;
/// Requests of each model.
const REQUESTS: u64 = 6_000;
/// Daemons of the model of a large fleet, and its data centres.
const DAEMONS: u64 = 79;
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
/// How much more than its part of the capacity the busiest target may get.
const MAX_EXCESS: f64 = 1.2;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(10_000 + millis)
}

fn keys_of(pool: &TargetPool) -> Vec<TargetKey> {
    pool.of_service("s").to_vec()
}

/// States the work time of each target, in percent, at this time.
fn state_all(pool: &mut TargetPool, percents: &[u32], millis: u64) {
    for (key, percent) in keys_of(pool).into_iter().zip(percents) {
        let statement = WorkTimeStatement { percent: *percent, stated_at: at(millis) };
        pool.apply_work_time(key, statement, true);
    }
}

/// Three targets, one in each data centre.
fn spread_pool() -> TargetPool {
    let mut pool = TargetPool::default();
    for (number, data_centre) in DATA_CENTRES.into_iter().enumerate() {
        pool.put(TargetRecord { data_centre: data_centre.to_owned(), ..record(number) });
    }
    pool
}

/// Share of the requests that each target gets from daemons in all data centres that know these work times.
fn shares(percents: &[u32]) -> Vec<f64> {
    let mut pool = spread_pool();
    state_all(&mut pool, percents, 0);
    let mut counts: HashMap<TargetKey, u64> = HashMap::new();
    for number in 0..REQUESTS {
        let daemon = number % DAEMONS;
        let mut query = query(0, mix_hash(number, daemon));
        query.data_centre = DATA_CENTRES[daemon as usize % DATA_CENTRES.len()];
        let choice = pool.choose(&query, at(10)).expect("a target");
        *counts.entry(choice.key).or_default() += 1;
    }
    let count = |key| counts.get(&key).copied().unwrap_or_default();
    keys_of(&pool).into_iter().map(|key| count(key) as f64 / REQUESTS as f64).collect()
}

// Guards against a slow target that gets as much as before, and against all daemons that go to the fastest.
#[test]
fn pattern_daemons_before_three_targets_of_uneven_speed_use_each_by_its_capacity() {
    let cases =
        [[100, 100, 100], [250, 100, 100], [400, 100, 100], [250, 250, 100], [160, 250, 100]];
    for percents in cases {
        let capacities = percents.map(|percent| 100.0 / f64::from(percent));
        let total: f64 = capacities.iter().sum();
        for (share, capacity) in shares(&percents).into_iter().zip(capacities) {
            let excess = share / (capacity / total);
            assert!(excess <= MAX_EXCESS, "{percents:?}: {excess:.2} of its capacity");
            assert!(excess >= 0.4, "{percents:?}: {excess:.2} of its capacity");
        }
    }
}

// Guards against a speed that is believed for longer than it lasts, and against earlier statements of peers that
// overtake later ones.
#[test]
fn latest_statement_counts_for_a_short_time() {
    let mut pool = pool_of(1);
    let key = keys_of(&pool)[0];
    let work_time = |pool: &TargetPool, millis| pool.relative_work_time(key, at(millis));
    assert_eq!(work_time(&pool, 0), 1.0, "nothing is stated");
    state_all(&mut pool, &[250], 100);
    assert_eq!(work_time(&pool, 150), 2.5);
    let earlier = WorkTimeStatement { percent: 100, stated_at: at(50) };
    pool.apply_work_time(key, earlier, false);
    assert_eq!(work_time(&pool, 150), 2.5);
    assert_eq!(work_time(&pool, 100 + WORK_TIME_TTL_MS), 1.0);
}

// Guards against requests that are admitted to a slow target by the time that they usually take.
#[test]
fn pattern_slow_targets_take_fewer_requests_in_time() {
    let admitted = |percent: u32| {
        let mut pool = pool_of(1);
        let key = keys_of(&pool)[0];
        pool.record_slot_time(key, duration(USUAL_MS), at(0));
        state_all(&mut pool, &[percent], 0);
        let mut count = 0;
        while pool.choose(&query(0, count), at(10)).is_ok() {
            pool.record_send(key, &Default::default(), false, at(10));
            count += 1;
        }
        count
    };
    assert!(admitted(400) < admitted(100), "{} and {}", admitted(400), admitted(100));
    assert!(admitted(400) >= u64::from(SLOTS), "its slots are used");
}

fn duration(total_ms: u64) -> SlotDuration {
    SlotDuration { load: 1, total_ms, has_prompt: false }
}

/// A pool of three targets that state nothing, of which the first takes `factor` times as long, after `count`
/// requests at each.
fn measured_pool(factor: u64, count: u64) -> TargetPool {
    let mut pool = pool_of(3);
    pool.measures_work_times = true;
    let keys = keys_of(&pool);
    for number in 0..count {
        for (place, key) in keys.iter().enumerate() {
            let total_ms = USUAL_MS * if place == 0 { factor } else { 1 };
            pool.record_slot_time(*key, duration(total_ms), at(number * 10));
        }
    }
    pool
}

// Guards against targets that are slow, say nothing of it and get as much as their siblings.
#[test]
fn pattern_slow_target_that_states_nothing_gets_fewer_requests() {
    let pool = measured_pool(3, 40);
    let first = keys_of(&pool)[0];
    let chosen = (0..900).filter(|hash| {
        pool.choose(&query(0, *hash), at(400)).is_ok_and(|choice| choice.key == first)
    });
    let count = chosen.count();
    assert!((60..200).contains(&count), "{count} of 900");
}

// Guards against a target that is left out for good since it was slow once, and against a belief without evidence.
#[test]
fn measured_work_time_needs_evidence_and_fades() {
    let work_time =
        |pool: &TargetPool, millis| pool.relative_work_time(keys_of(pool)[0], at(millis));
    assert_eq!(work_time(&measured_pool(3, 5), 50), 1.0, "five requests show little");
    let pool = measured_pool(3, 40);
    assert!(work_time(&pool, 400) > 1.4);
    assert!(work_time(&pool, 60_000) < 1.05);
    let mut unmeasured = pool.clone();
    unmeasured.measures_work_times = false;
    assert_eq!(work_time(&unmeasured, 400), 1.0, "not asked for");
}

// Guards against a slowness that counts twice: as stated, and in the durations measured meanwhile.
#[test]
fn durations_count_without_what_the_target_states() {
    let mut pool = pool_of(2);
    pool.measures_work_times = true;
    let keys = keys_of(&pool);
    for number in 0..40 {
        state_all(&mut pool, &[300, 100], number * 10);
        pool.record_slot_time(keys[0], duration(3 * USUAL_MS), at(number * 10));
        pool.record_slot_time(keys[1], duration(USUAL_MS), at(number * 10));
    }
    let work_time = pool.relative_work_time(keys[0], at(400));
    assert!((work_time - 3.0).abs() < 0.1, "{work_time}");
}

quickcheck! {
    // Guards against extreme figures that leave a target out, or bring it all requests.
    fn any_stated_work_time_is_bounded(percent: u32) -> bool {
        let mut pool = pool_of(2);
        state_all(&mut pool, &[percent.max(1), 100], 0);
        let work_time = pool.relative_work_time(keys_of(&pool)[0], at(10));
        (0.2..=10.0).contains(&work_time) && pool.choose(&query(0, 1), at(10)).is_ok()
    }
}
