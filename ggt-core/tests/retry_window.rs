//! The retries of all daemons together stay within the fleet's limit without a shared counter.

use ggt_core::clock::MonoTime;
use ggt_core::retry_window::RetryLimit;
use ggt_core::retry_window::RetryWindow;

const LIMIT: RetryLimit = RetryLimit { ratio: 0.2, slack: 58.0, window_ms: 10_000 };

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + millis)
}

#[test]
fn daemons_together_stay_within_the_limit_when_every_request_fails() {
    const DAEMONS: usize = 9;
    let mut windows = vec![RetryWindow::default(); DAEMONS];
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for millis in 0..10_000 {
        // Uneven traffic: the first daemon receives half of the requests.
        let daemon = if millis % 2 == 0 { 0 } else { millis as usize % DAEMONS };
        let window = &mut windows[daemon];
        window.record_request(&LIMIT, at(millis));
        requests += 1;
        retries += u32::from(window.try_retry(&LIMIT, DAEMONS, at(millis)));
    }
    let allowed = LIMIT.ratio * f64::from(requests) + LIMIT.slack;
    assert!(f64::from(retries) <= allowed, "{retries} retries, {allowed} allowed");
    assert!(f64::from(retries) > 0.6 * allowed, "{retries} retries, {allowed} allowed");
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut window = RetryWindow::default();
    while window.try_retry(&LIMIT, 1, at(0)) {}
    assert!(!window.try_retry(&LIMIT, 1, at(9_999)));
    assert!(window.try_retry(&LIMIT, 1, at(10_001)));
}

#[test]
fn a_daemon_without_traffic_gets_its_part_of_the_slack_only() {
    let mut window = RetryWindow::default();
    let retries = (0..100).filter(|_| window.try_retry(&LIMIT, 10, at(0))).count();
    assert!(retries <= 5, "{retries} retries, the daemon's part of the slack is 5.8");
}
