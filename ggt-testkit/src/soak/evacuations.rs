//! Evacuations of data centres, and the check that undisrupted daemons send nothing there in time.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use ggt_platform::evacuation_key;
use ggt_standin::server::lock;
use ggt_standin::users_platform::StoreStandin;

use crate::soak::disruption::DisruptionState;
use crate::soak::invariants::InvariantChecker;

/// Data centres of the soak.
pub(super) const EVACUATION_CENTRES: [&str; 2] = ["a", "b"];
/// Time from the acknowledgement of an evacuation until its data centre must get nothing (the users' `EvacuateMs`).
const APPLY_TIME: Duration = Duration::from_secs(5);
/// Time from the end of a disruption until the bound holds again (the users' `StableMs`).
const STABLE_TIME: Duration = Duration::from_secs(4);
/// Range from which the time of an evacuation is drawn, in milliseconds.
const EVACUATED_MS: Range<u64> = 5_500..9_000;
/// Range from which the pause after one is drawn, in milliseconds.
const PAUSE_MS: Range<u64> = 300..2_500;
/// Interval at which a pause looks for the end of the soak.
const SLEEP_INTERVAL: Duration = Duration::from_millis(50);

/// The evacuations in force, by data centre, and when each was acknowledged.
#[derive(Debug, Default)]
pub(super) struct EvacuationLog {
    acknowledged: Mutex<BTreeMap<&'static str, Instant>>,
}

impl EvacuationLog {
    /// Checks a request that has reached a server, if what it passed has been undisrupted for long enough.
    pub(super) fn check_arrival(
        &self,
        data_centre: &str,
        id: &str,
        passed: [&DisruptionState; 3],
        checker: &InvariantChecker,
    ) {
        let acknowledged_at = lock(&self.acknowledged).get(data_centre).copied();
        let Some(since) = acknowledged_at.map(|at| at.elapsed()) else { return };
        if since > APPLY_TIME && passed.iter().all(|state| state.is_stable_for(STABLE_TIME)) {
            checker.record_violation(format!(
                "{id} reached data centre {data_centre} {} ms after its evacuation was acknowledged",
                since.as_millis()
            ));
        }
    }

    /// Evacuates one data centre after the other in the store until `is_over`, and takes the last one back.
    pub(super) fn run(
        &self,
        seed: u64,
        store: &StoreStandin,
        checker: &InvariantChecker,
        is_over: &AtomicBool,
    ) {
        let mut random = SmallRng::seed_from_u64(seed);
        while !is_over.load(Ordering::SeqCst) {
            let data_centre = EVACUATION_CENTRES[random.random_range(0..EVACUATION_CENTRES.len())];
            let time = Duration::from_millis(random.random_range(EVACUATED_MS));
            store.put(&evacuation_key(data_centre), "{}");
            lock(&self.acknowledged).insert(data_centre, Instant::now());
            checker.record_fault(format!("{data_centre} evacuated for {} ms", time.as_millis()));
            sleep_unless(time, is_over);
            // The bound ends before the entry is removed.
            lock(&self.acknowledged).remove(data_centre);
            store.remove(&evacuation_key(data_centre));
            sleep_unless(Duration::from_millis(random.random_range(PAUSE_MS)), is_over);
        }
    }
}

fn sleep_unless(time: Duration, is_over: &AtomicBool) {
    let until = Instant::now() + time;
    while Instant::now() < until && !is_over.load(Ordering::SeqCst) {
        thread::sleep(SLEEP_INTERVAL);
    }
}
