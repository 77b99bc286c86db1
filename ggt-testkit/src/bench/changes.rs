//! Time from a change of the configuration until each daemon serves by it, while the store does not answer.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use ggt_standin::users_platform::test_config;

use crate::front::FrontFleet;

/// Pause between two requests to a daemon that does not serve the new route yet.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a fleet runs before the first change.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Time after which a daemon that does not serve the new route counts as having missed the change.
const MAX_DELAY: Duration = Duration::from_secs(20);
/// Time for which the store rejects all requests.
const OUTAGE: Duration = Duration::from_secs(6);
/// Time for which the store gives no response.
const SILENCE: Duration = Duration::from_secs(4);

/// What the store does around a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreFault {
    /// Nothing unusual.
    None,
    /// It stops responding on open connections 0.2 s after another change, just before this one.
    SilentAfterChange,
    /// It stops responding on open connections 2 s after another change, just before this one.
    SilentLater,
    /// It rejects all requests for 6 s, with the change in between.
    Rejecting,
    /// It gives no response for 4 s; the change comes 0.2 s after its return.
    SilentBeforeChange,
}

impl StoreFault {
    const ALL: [Self; 5] = [
        Self::None,
        Self::SilentAfterChange,
        Self::SilentLater,
        Self::Rejecting,
        Self::SilentBeforeChange,
    ];
}

/// How late a change was in force.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ChangeOutcome {
    /// What the store did.
    pub fault: StoreFault,
    /// Number of daemons.
    pub daemons: usize,
    /// Milliseconds until the last daemon served by the change, from its acknowledgement, or from the end
    /// of the outage if that was later.
    pub latest_ms: u64,
}

/// Measures all faults with this number of daemons.
///
/// # Panics
/// When a fleet does not start.
pub fn measure_changes(daemons: usize) -> Vec<ChangeOutcome> {
    StoreFault::ALL.into_iter().map(|fault| measure_change(daemons, fault)).collect()
}

fn measure_change(daemons: usize, fault: StoreFault) -> ChangeOutcome {
    let fleet = FrontFleet::start(2, daemons);
    thread::sleep(WARM_UP);
    fleet.publish(&test_config(2));
    match fault {
        StoreFault::None => thread::sleep(Duration::from_millis(200)),
        StoreFault::SilentAfterChange => {
            thread::sleep(Duration::from_millis(200));
            fleet.store.stop_responding();
        }
        StoreFault::SilentLater => {
            thread::sleep(Duration::from_secs(2));
            fleet.store.stop_responding();
        }
        StoreFault::Rejecting => {
            fleet.store.set_failure(Some(503));
            thread::sleep(OUTAGE);
        }
        StoreFault::SilentBeforeChange => {
            fleet.store.fall_silent();
            thread::sleep(SILENCE);
            fleet.store.resume();
            thread::sleep(Duration::from_millis(200));
        }
    }
    let mut config = test_config(3);
    config["Routes"][0]["PathPrefix"] = "/moved/".into();
    fleet.publish(&config);
    fleet.store.set_failure(None);
    let changed_at = Instant::now();
    let latest = thread::scope(|scope| {
        let pollers: Vec<_> = (0..daemons)
            .map(|daemon| {
                let fleet = &fleet;
                scope.spawn(move || await_change(fleet, daemon, changed_at))
            })
            .collect();
        let delays = pollers.into_iter().map(|poller| poller.join().expect("should not panic"));
        delays.max().unwrap_or_default()
    });
    let latest_ms = u64::try_from(latest.as_millis()).unwrap_or(u64::MAX);
    ChangeOutcome { fault, daemons, latest_ms }
}

/// Time until a daemon serves the new route.
fn await_change(fleet: &FrontFleet, daemon: usize, changed_at: Instant) -> Duration {
    loop {
        let sent_after = changed_at.elapsed();
        let response = fleet.request(daemon, "GET", "/moved/", "id-change").send();
        if sent_after > MAX_DELAY || response.is_some_and(|response| response.status != 404) {
            return sent_after;
        }
        thread::sleep(POLL_INTERVAL);
    }
}
