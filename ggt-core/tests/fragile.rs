//! Services whose targets fall over when they turn away too many requests: which statement counts, how
//! daemons share what a target can take, and whether all of them together send more than that.

mod pool_fixture;

use crate::pool_fixture::SLOTS;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::FragilityReport;
use ggt_core::prompts::PrefixChain;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::DaemonRank;
use ggt_core::targets::FragilityStatement;
use ggt_core::targets::LoadReport;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;

/// Rejections in a second that targets name.
const MAXIMUM: u32 = 5;
/// Requests that a target takes from all daemons: its slots, and one that waits.
const PLACES: u32 = SLOTS + 1;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn statement(max_rejections: Option<u32>, millis: u64) -> FragilityStatement {
    FragilityStatement { max_rejections, stated_at: at(millis) }
}

/// Applies an own statement when it is made.
fn apply(pool: &mut TargetPool, max_rejections: Option<u32>, millis: u64) -> bool {
    pool.apply_fragility("s", statement(max_rejections, millis), true, at(millis))
}

/// The pool of the daemon with this rank among `count`, which knows since time 0 that its targets are
/// fragile and has long sent requests to them.
fn fragile_pool(targets: usize, rank: usize, count: usize) -> TargetPool {
    let mut pool = pool_of(targets);
    for _ in 0..PLACES {
        keys(&pool).into_iter().for_each(|key| pool.record_accepted(key, None, at(0)));
    }
    apply(&mut pool, Some(MAXIMUM), 0);
    pool.update_parts(at(0), |_| DaemonRank { rank, count });
    pool
}

fn keys(pool: &TargetPool) -> Vec<TargetKey> {
    pool.of_service("s").to_vec()
}

fn limits(pool: &TargetPool) -> Vec<u32> {
    let targets = keys(pool).into_iter().filter_map(|key| pool.target(key));
    targets.map(|state| state.in_flight_limit.requests()).collect()
}

/// Sends requests until no target may get one; returns the error, and the number of requests.
fn fill(pool: &mut TargetPool, millis: u64) -> (ChoiceError, u32) {
    for number in 0.. {
        match pool.choose(&query(0, u64::from(number)), at(millis)) {
            Ok(choice) => {
                pool.record_send(choice.key, &PrefixChain::default(), false, at(millis));
            }
            Err(error) => return (error, number),
        }
    }
    unreachable!("a service has bounds")
}

/// Report of a target with this many running and waiting requests.
fn report(running: u32, waiting: u32) -> Option<LoadReport> {
    Some(LoadReport { running, waiting, slots: SLOTS, work_time_percent: None })
}

// Guards against limits where no target asked for them.
#[test]
fn service_that_states_nothing_has_no_limits() {
    let mut pool = pool_of(1);
    assert!(!apply(&mut pool, None, 10));
    assert_eq!(pool.max_rejections("s"), None);
    for number in 0..100 {
        let choice = pool.choose(&query(0, number), at(20)).expect("there is no limit");
        pool.record_send(choice.key, &PrefixChain::default(), false, at(20));
    }
}

// Guards against a fragile time that is taken for over because one target of several is late to say so,
// or early to stop, and against one that never ends.
#[test]
fn service_is_fragile_until_no_target_has_said_so_for_a_while() {
    let mut pool = pool_of(2);
    assert!(apply(&mut pool, Some(MAXIMUM), 1_000));
    assert!(!apply(&mut pool, None, 2_000), "another target has just said so");
    assert!(!apply(&mut pool, Some(MAXIMUM), 2_500));
    assert!(!apply(&mut pool, None, 4_400));
    assert_eq!(pool.max_rejections("s"), Some(MAXIMUM));
    assert!(apply(&mut pool, None, 4_500));
    assert_eq!(pool.max_rejections("s"), None);
    assert!(apply(&mut pool, Some(2), 5_000), "a new time begins");
    assert!(!apply(&mut pool, Some(MAXIMUM), 4_000), "an older statement than the present one");
    assert_eq!(pool.max_rejections("s"), Some(2));
}

// Guards against daemons that pass an old statement around so that it never ends.
#[test]
fn only_own_statements_are_reported_to_peers_and_keep_their_age() {
    let mut pool = pool_of(1);
    pool.apply_fragility("s", statement(Some(MAXIMUM), 1_000), false, at(1_000));
    assert_eq!(pool.own_fragilities(at(1_000)).count(), 0);
    apply(&mut pool, Some(MAXIMUM), 2_000);
    let (_, record) = pool.own_fragilities(at(2_500)).next().expect("own statement");
    let report = FragilityReport::new(7, record, Vec::new(), at(2_500)).expect("report");
    let told: Vec<_> = report.statements(at(9_000)).collect();
    assert_eq!(told, [statement(Some(MAXIMUM), 8_500)]);
}

// Guards against parts that add up to more or less than a target takes, and against daemons without any
// place while others have several.
#[test]
fn parts_of_all_daemons_add_up_to_what_each_target_takes() {
    for (targets, count) in [(1, 1), (6, 3), (6, 6), (6, 17), (40, 37), (3, 40)] {
        let pools: Vec<_> = (0..count).map(|rank| fragile_pool(targets, rank, count)).collect();
        let limits: Vec<_> = pools.iter().map(limits).collect();
        for target in 0..targets {
            let sum: u32 = limits.iter().map(|limits| limits[target]).sum();
            assert_eq!(sum, PLACES, "{targets} targets, {count} daemons");
        }
        let sums: Vec<u32> = limits.iter().map(|limits| limits.iter().sum()).collect();
        let (least, most) = (sums.iter().min(), sums.iter().max());
        assert!(most.zip(least).is_some_and(|(most, least)| most - least <= 1), "{sums:?}");
    }
}

// Guards against a burst at all daemons at once, each of which alone sees room for it.
#[test]
fn burst_at_all_daemons_fits_into_the_targets() {
    let mut total = 0;
    for rank in 0..6 {
        let mut pool = fragile_pool(6, rank, 6);
        let (error, sent) = fill(&mut pool, 10);
        assert_eq!(error, ChoiceError::Fragile);
        total += sent;
    }
    assert_eq!(total, 6 * PLACES);
}

// Guards against requests that may have run already, which are not refused for lack of capacity, and fell
// one target after another.
#[test]
fn retries_after_a_loss_keep_within_the_limits() {
    let mut pool = fragile_pool(2, 0, 1);
    fill(&mut pool, 10);
    let retry = ChoiceQuery { may_have_run: true, ..query(0, 1) };
    assert_eq!(pool.choose(&retry, at(10)), Err(ChoiceError::Fragile));
}

// Guards against the others' getting the load of a target that has fallen over.
#[test]
fn load_of_a_fallen_target_does_not_move_to_the_others() {
    let mut pool = fragile_pool(3, 0, 1);
    let fallen = keys(&pool)[0];
    pool.record_outcome(fallen, SendOutcome::Unreachable, at(100));
    let (error, sent) = fill(&mut pool, 200);
    assert_eq!((error, sent), (ChoiceError::Fragile, 2 * PLACES));
}

// Guards against full load on a target that has just come back.
#[test]
fn target_that_comes_back_takes_one_request_at_first() {
    let mut pool = fragile_pool(1, 0, 1);
    let key = keys(&pool)[0];
    pool.record_outcome(key, SendOutcome::Unreachable, at(100));
    assert_eq!(limits(&pool), [1]);
    for accepted in 1..4 {
        pool.record_accepted(key, report(1, 0), at(4_000));
        assert_eq!(limits(&pool), [1 + accepted]);
    }
}

// Guards against a target with a shorter queue than expected that turns requests away again and again.
#[test]
fn each_rejection_gives_up_a_place_for_a_while() {
    let mut pool = fragile_pool(1, 0, 2);
    let key = keys(&pool)[0];
    let part = limits(&pool)[0];
    pool.record_rejection(key, at(500), at(500));
    assert_eq!(limits(&pool), [part], "others had requests in flight from before");
    pool.record_rejection(key, at(2_000), at(2_000));
    assert_eq!(limits(&pool), [part - 1]);
    for _ in 0..20 {
        pool.record_rejection(key, at(2_100), at(2_100));
    }
    assert_eq!(limits(&pool), [0]);
    let update = |pool: &mut TargetPool, millis| {
        pool.update_parts(at(millis), |_| DaemonRank { rank: 0, count: 2 });
    };
    update(&mut pool, 10_000);
    assert_eq!(limits(&pool), [0]);
    update(&mut pool, 23_000);
    assert_eq!(limits(&pool), [1], "also without any reply");
}

// Guards against places that nobody uses while other daemons refuse requests: those of idle daemons.
#[test]
fn daemon_exceeds_its_part_while_the_target_reports_free_slots() {
    let mut pool = fragile_pool(1, 0, 3);
    let key = keys(&pool)[0];
    assert_eq!(limits(&pool), [3]);
    pool.record_accepted(key, report(1, 0), at(1_000));
    assert_eq!(limits(&pool), [3], "it does not use its part");
    fill(&mut pool, 1_000);
    pool.record_accepted(key, report(SLOTS - 1, 0), at(1_100));
    assert_eq!(limits(&pool), [3], "only the slot just freed is free");
    for round in 0..20 {
        pool.record_accepted(key, report(2, 0), at(2_000 + 400 * round));
        fill(&mut pool, 2_000 + 400 * round);
    }
    assert_eq!(limits(&pool), [PLACES]);
    pool.record_accepted(key, report(SLOTS - 1, 1), at(20_000));
    assert_eq!(limits(&pool), [PLACES - 1], "others use theirs again");
    pool.record_rejection(key, at(20_100), at(20_100));
    assert_eq!(limits(&pool), [2]);
    pool.record_accepted(key, report(2, 0), at(22_000));
    assert_eq!(limits(&pool), [2]);
}

// Guards against targets that stand no rejection at all.
#[test]
fn target_that_stands_no_rejection_gets_no_more_than_its_slots() {
    let mut pool = fragile_pool(1, 0, 1);
    apply(&mut pool, Some(0), 10);
    pool.update_parts(at(10), |_| DaemonRank { rank: 0, count: 1 });
    assert_eq!(fill(&mut pool, 10), (ChoiceError::Fragile, SLOTS));
}

// Guards against blame for the end of a target that has turned too many away, and against none for
// requests that crash targets which have not.
#[test]
fn only_a_target_that_turned_requests_away_has_fallen_over() {
    let mut pool = fragile_pool(3, 0, 1);
    let targets: Vec<_> = keys(&pool)
        .into_iter()
        .filter_map(|key| Some((key, pool.target(key)?.crash_id(), pool.target(key)?.short_hash)))
        .collect();
    let [(own, own_crash, _), (_, told_crash, told_hash), (_, other_crash, _)] = targets[..] else {
        panic!("three targets")
    };
    pool.record_rejection(own, at(1_000), at(1_500));
    pool.record_peer_rejection(told_hash, at(1_500));
    assert!(pool.record_fall(own_crash, at(2_000)));
    assert!(pool.record_fall(told_crash, at(2_000)));
    assert!(!pool.record_fall(other_crash, at(2_000)));
    assert!(pool.record_fall(own_crash, at(9_000)), "a reply lost by it may be noticed late");
    pool.record_rejection(keys(&pool)[2], at(3_000), at(3_000));
    assert!(!pool.record_fall(other_crash, at(6_000)), "the rejection was too long ago");
}
