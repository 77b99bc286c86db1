//! Popular prefixes in a fleet whose daemons hear of each other's requests with a delay.

mod fleet_model;
mod pool_fixture;

use crate::fleet_model::ArrivalRecord;
use crate::fleet_model::FleetModel;
use crate::fleet_model::RequestClass;
use crate::fleet_model::TrafficPhase;

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

// Guards against engines that get far more than the mean load when many callers ask about one thing at once: all
// daemons sent what has that prefix to the one or two engines that had it and room by their last digests.
#[test]
fn pattern_a_surge_of_one_prefix_overloads_no_engine_before_daemons_hear_of_each_other() {
    let phases = [
        TrafficPhase { ends_at_ms: 4_000, factor: 1.0, hot_share: 0.0 },
        TrafficPhase { ends_at_ms: 7_000, factor: 1.0, hot_share: 0.5 },
        TrafficPhase { ends_at_ms: 9_000, factor: 2.0, hot_share: 0.8 },
    ];
    for seed in 1..=2 {
        let (arrivals, refused) = FleetModel::new(&[DOSSIERS, HELP, TAGS], &phases, seed).play();
        let (above, all) = worst_window(&arrivals);
        let is_kept = above < MIN_ABOVE || above * 100 <= MAX_ABOVE_PER_CENT * all;
        assert!(is_kept, "seed {seed}: {above} of {all} requests above twice the mean load");
        assert_eq!(refused, 0, "seed {seed}: there is room for all");
    }
}
