//! The retries of all daemons together stay within the fleet's limit without a shared counter.

use ggt_core::clock::MonoTime;
use ggt_core::spend::SpendLimit;
use ggt_core::spend::SpendWindow;

const LIMIT: SpendLimit = SpendLimit { ratio: 0.2, slack: 58.0, window_ms: 10_000 };

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + millis)
}

#[test]
fn daemons_together_stay_within_the_allowance_when_every_request_fails() {
    const DAEMONS: usize = 9;
    let mut windows = vec![SpendWindow::default(); DAEMONS];
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for millis in 0..10_000 {
        // Uneven traffic: the first daemon receives half of the requests.
        let daemon = if millis % 2 == 0 { 0 } else { millis as usize % DAEMONS };
        let window = &mut windows[daemon];
        window.note_request(&LIMIT, at(millis));
        requests += 1;
        retries += u32::from(window.try_spend(&LIMIT, DAEMONS, at(millis)));
    }
    let allowed = LIMIT.ratio * f64::from(requests) + LIMIT.slack;
    assert!(f64::from(retries) <= allowed, "{retries} retries, {allowed} allowed");
    assert!(f64::from(retries) > 0.6 * allowed, "{retries} retries, {allowed} allowed");
}

#[test]
fn what_was_spent_comes_back_after_the_window() {
    let mut window = SpendWindow::default();
    while window.try_spend(&LIMIT, 1, at(0)) {}
    assert!(!window.try_spend(&LIMIT, 1, at(9_999)));
    assert!(window.try_spend(&LIMIT, 1, at(10_001)));
}

#[test]
fn a_daemon_without_traffic_spends_its_part_of_the_slack_only() {
    let mut window = SpendWindow::default();
    let spent = (0..100).filter(|_| window.try_spend(&LIMIT, 10, at(0))).count();
    assert!(spent <= 5, "{spent} retries, the daemon's part of the slack is 5.8");
}
