//! Popular prefixes in a fleet whose daemons hear of each other's requests with a delay.

mod fleet_model;
mod pool_fixture;

use crate::fleet_model::ArrivalRecord;
use crate::fleet_model::FleetModel;
use crate::fleet_model::RequestClass;
use crate::fleet_model::TrafficPhase;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::prompts::PrefixChain;
use ggt_core::prompts::PromptPart;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::ReportPace;
use ggt_core::targets::TargetPool;

/// Milliseconds over which the users' rule counts.
const WINDOW_MS: u64 = 5_000;
/// Milliseconds in which the engines' caches fill.
const WARM_UP_MS: u64 = 3_000;
/// The users' rule: so many requests in a window, and so many in a hundred, may not be above the bound.
const MIN_ABOVE: usize = 20;
const MAX_ABOVE_PER_CENT: usize = 3;

const DOSSIERS: RequestClass = RequestClass {
    per_second: 204.0,
    shared_tokens: 10_512,
    own_tokens: 1_300,
    output_tokens: 300,
    subjects: 535,
    goal_ms: 500,
    priority: 1,
};
const HELP: RequestClass = RequestClass {
    per_second: 196.0,
    shared_tokens: 699,
    own_tokens: 130,
    output_tokens: 230,
    subjects: 227,
    goal_ms: 300,
    priority: 0,
};
const TAGS: RequestClass = RequestClass {
    per_second: 408.0,
    shared_tokens: 2_041,
    own_tokens: 360,
    output_tokens: 15,
    subjects: 712,
    goal_ms: 400,
    priority: 2,
};

/// The most requests in any window that reached an engine above twice the mean load, and 3, and the number of
/// all requests in that window.
fn worst_window(arrivals: &[ArrivalRecord]) -> (usize, usize) {
    let last_ms = arrivals.last().map_or(0, |arrival| arrival.at_ms);
    let windows = (WARM_UP_MS..=last_ms.saturating_sub(WINDOW_MS)).step_by(250).map(|from| {
        let in_window = |a: &&ArrivalRecord| (from..from + WINDOW_MS).contains(&a.at_ms);
        let is_above = |a: &&ArrivalRecord| f64::from(a.held) > 2.0 * a.mean + 3.0;
        let window: Vec<_> = arrivals.iter().filter(in_window).collect();
        (window.iter().copied().filter(is_above).count(), window.len())
    });
    windows.max_by_key(|(above, _)| *above).unwrap_or_default()
}

/// A surge of one prefix at a fleet of this many daemons; fails if the users' rule is broken.
fn check_surge(daemons: usize) {
    let phases = [
        TrafficPhase { ends_at_ms: 4_000, factor: 1.0, hot_share: 0.0 },
        TrafficPhase { ends_at_ms: 7_000, factor: 1.0, hot_share: 0.5 },
        TrafficPhase { ends_at_ms: 9_000, factor: 2.0, hot_share: 0.8 },
    ];
    for seed in 1..=2 {
        let model = FleetModel::new(daemons, &[DOSSIERS, HELP, TAGS], &phases, seed);
        let (arrivals, refused) = model.play();
        let (above, all) = worst_window(&arrivals);
        let is_kept = above < MIN_ABOVE || above * 100 <= MAX_ABOVE_PER_CENT * all;
        assert!(is_kept, "seed {seed}: {above} of {all} requests above twice the mean load");
        assert_eq!(refused, 0, "seed {seed}: there is room for all");
    }
}

// Guards against engines that get far more than the mean load when many callers ask about one thing at once: all
// daemons sent what has that prefix to the one or two engines that had it and room by their last digests.
#[test]
fn pattern_a_surge_of_one_prefix_overloads_no_engine_before_daemons_hear_of_each_other() {
    check_surge(58);
}

// The same where digests are so far apart that a request lasts less than they do.
#[test]
fn pattern_a_surge_of_one_prefix_overloads_no_engine_of_a_fleet_of_195_daemons() {
    check_surge(195);
}

// Guards against prefixes that are spread over engines which have to prefill them, since one caller sent two
// requests to the same daemon: in a large fleet one send stood for hundreds.
#[test]
fn one_earlier_send_of_a_daemon_does_not_spread_a_prefix() {
    let now = MonoTime::from_millis(100_000);
    let parts = [PromptPart { hash: 1, tokens: 10_000 }, PromptPart { hash: 2, tokens: 1_000 }];
    let chain = PrefixChain::new("m", &parts);
    let mut pool = pool_of(20);
    pool.set_report_pace(ReportPace { peers: 194, interval_ms: 2_425 });
    let choose = |pool: &TargetPool, hash| {
        let query = ChoiceQuery { chain: Some(&chain), ..query(0, hash) };
        pool.choose(&query, now).expect("should choose")
    };
    let first = choose(&pool, 0);
    pool.record_send(first.key, &chain, false, now);
    let next: Vec<_> = (1..200).map(|hash| choose(&pool, hash)).collect();
    assert!(next.iter().all(|choice| choice.key == first.key && choice.figures.unreported == 0.0));
    (0..4).for_each(|_| drop(pool.record_send(first.key, &chain, false, now)));
    let next: Vec<_> = (1..200).map(|hash| choose(&pool, hash)).collect();
    assert!(next.iter().any(|choice| choice.key != first.key), "five sends show a popular prefix");
}
