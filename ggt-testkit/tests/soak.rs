//! A short soak with fixed seeds, and each seed that ever failed.

use std::time::Duration;

use ggt_testkit::soak::SoakOptions;
use ggt_testkit::soak::run_soak;

fn soak(seed: u64) {
    let options = SoakOptions {
        seed,
        faults_for: Duration::from_secs(6),
        daemons: 3,
        servers: 5,
        callers: 8,
    };
    let outcome = run_soak(&options);
    assert!(outcome.broken.is_empty(), "seed {seed}: {:#?}", outcome.broken);
    assert!(outcome.answered > 0, "seed {seed}: nothing was served");
}

#[test]
fn promises_hold_under_faults_from_outside() {
    [1, 2].into_iter().for_each(soak);
}
