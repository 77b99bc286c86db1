//! Tests of the countdown that bounds the announcement phase of a drain, and of loops that run for good.

use ggt_core::clock::MonoTime;
use ggt_daemon::lifecycle::RunningTimer;
use ggt_daemon::lifecycle::spawn_loop;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Checks every 25 ms in `from..to`; returns the time of the first check at which the countdown has
/// ended.
fn first_ended(timer: &mut RunningTimer, from: u64, to: u64) -> Option<u64> {
    (from..to).step_by(25).find(|now| timer.has_ended(at(*now)))
}

#[test]
fn countdown_ends_after_its_duration_while_the_process_runs() {
    let mut timer = RunningTimer::new(2_800, at(0));
    assert_eq!(first_ended(&mut timer, 0, 5_000), Some(2_800));
}

#[test]
fn countdown_counts_at_most_100_ms_of_a_pause() {
    let mut timer = RunningTimer::new(2_800, at(0));
    assert_eq!(first_ended(&mut timer, 0, 1_000), None);
    // The process is paused for three seconds, of which 100 ms are counted at the next check.
    assert_eq!(first_ended(&mut timer, 4_000, 9_000), Some(4_000 + 2_800 - 975 - 100));
}

// Guards against a loop that stops for good, with nobody noticing, because one input made it panic.
#[test]
fn loop_that_panics_runs_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("should build a runtime");
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let runs = tokio::task::LocalSet::new().block_on(&runtime, async {
        spawn_loop("test", move || {
            let sender = sender.clone();
            async move {
                sender.send(()).expect("should send");
                panic!("an input that the loop does not expect");
            }
        });
        let mut runs = 0;
        while runs < 3 && receiver.recv().await.is_some() {
            runs += 1;
        }
        runs
    });
    assert_eq!(runs, 3);
}
