//! How long a stopping daemon announces that it leaves.

use ggt_core::clock::MonoTime;
use ggt_daemon::lifecycle::AwakeTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Looks every 25 ms from one moment to another; returns when the time was over.
fn look(time: &mut AwakeTime, from: u64, to: u64) -> Option<u64> {
    (from..to).step_by(25).find(|now| time.is_over(at(*now)))
}

#[test]
fn the_time_passes_while_the_process_runs() {
    let mut time = AwakeTime::new(2_800, at(0));
    assert_eq!(look(&mut time, 0, 5_000), Some(2_800));
}

#[test]
fn a_pause_does_not_count() {
    let mut time = AwakeTime::new(2_800, at(0));
    assert_eq!(look(&mut time, 0, 1_000), None);
    // The process is paused for three seconds; the first look after it counts as a short one.
    assert_eq!(look(&mut time, 4_000, 9_000), Some(4_000 + 2_800 - 975 - 100));
}
