//! Changes of the configuration around outages of the store, and the check that daemons obey them in time.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use ggt_platform::CONFIG_KEY;
use ggt_standin::server::lock;
use ggt_standin::users_platform::StoreStandin;
use ggt_standin::users_platform::caller_headers;
use ggt_standin::users_platform::test_config;

use crate::http::HttpRequest;
use crate::soak::disruption::DisruptionState;
use crate::soak::invariants::InvariantChecker;

/// Time from the end of a disruption until the users' bounds hold again (their `StableMs`).
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Time from the acknowledgement of a configuration until it must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time for which daemons are asked, from the first moment at which the bounds hold.
const CHECK_TIME: Duration = Duration::from_millis(800);
/// Pause between two requests of the check.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Length of an outage in milliseconds.
const OUTAGE_MS: Range<u64> = 50..4_500;
/// Milliseconds from the end of an outage to the last change, which is due when the bounds hold again.
const CHANGE_MS: Range<u64> = 0..1_000;
/// Step between versions of the configuration.
const VERSION_STEP: u64 = 3;
/// Deadline that the check sends, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// A configuration that was published.
#[derive(Clone, Copy, Debug)]
struct PublishedChange {
    version: u64,
    published_at: Instant,
}

/// The configuration that was published last.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    newest: Mutex<Option<PublishedChange>>,
}

impl ChangeLog {
    /// Publishes a configuration with a higher version, and a route that no other has, to these stores.
    pub(super) fn publish_next(&self, stores: &[StoreStandin]) {
        let mut newest = lock(&self.newest);
        let version = newest.map_or(1, |change| change.version) + VERSION_STEP;
        let mut config = test_config(version);
        let mut route = config["Routes"][0].clone();
        route["Name"] = format!("changed-{version}").into();
        route["PathPrefix"] = path_of(version).into();
        config["Routes"].as_array_mut().into_iter().for_each(|routes| routes.push(route.clone()));
        stores.iter().for_each(|store| store.put(CONFIG_KEY, &config.to_string()));
        *newest = Some(PublishedChange { version, published_at: Instant::now() });
    }

    /// Version of the newest configuration, if it has to be in force.
    fn due_version(&self) -> Option<u64> {
        let newest = *lock(&self.newest);
        newest.filter(|change| change.published_at.elapsed() > APPLY_TIME).map(|c| c.version)
    }
}

/// Path of the route that only the configuration with this version has.
fn path_of(version: u64) -> String {
    format!("/changed-{version}/")
}

/// What the check needs of the deployment.
pub(super) struct ChangeContext {
    pub(super) seed: u64,
    pub(super) store: StoreStandin,
    pub(super) store_disruption: Arc<DisruptionState>,
    pub(super) daemons: Vec<(SocketAddr, Arc<DisruptionState>)>,
    pub(super) log: Arc<ChangeLog>,
    pub(super) checker: Arc<InvariantChecker>,
    pub(super) is_over: Arc<AtomicBool>,
}

/// Lets the store fail and come back again and again until `is_over`, with changes before, meanwhile and just
/// after, and checks that undisrupted daemons obey the last one as soon as the bounds hold.
pub(super) fn run_changes(context: &ChangeContext) {
    let mut random = SmallRng::seed_from_u64(context.seed);
    while !context.is_over.load(Ordering::SeqCst) {
        let what = disrupt_store(context, &mut random);
        context.checker.record_fault(what);
        let ended_at = Instant::now();
        thread::sleep(Duration::from_millis(random.random_range(CHANGE_MS)));
        context.publish();
        while ended_at.elapsed() < STABLE_TIME {
            thread::sleep(CHECK_INTERVAL);
        }
        let checked_at = Instant::now();
        while checked_at.elapsed() < CHECK_TIME {
            context.daemons.iter().enumerate().for_each(|(n, daemon)| context.check(n, daemon));
            thread::sleep(CHECK_INTERVAL);
        }
    }
}

/// One outage of the store; returns what it was.
fn disrupt_store(context: &ChangeContext, random: &mut SmallRng) -> String {
    let store = &context.store;
    let time = Duration::from_millis(random.random_range(OUTAGE_MS));
    context.store_disruption.set_disrupted(true);
    let what = match random.random_range(0..4) {
        0 => {
            context.publish();
            store.stop_responding();
            "store silent on open connections".to_owned()
        }
        1 => {
            store.fall_silent();
            context.sleep_with_change(random, time);
            store.resume();
            format!("store silent for {} ms", time.as_millis())
        }
        2 => {
            store.set_failure(Some(503));
            context.sleep_with_change(random, time);
            store.set_failure(None);
            format!("store responds with status 503 for {} ms", time.as_millis())
        }
        _ => {
            store.fall_silent();
            context.sleep_with_change(random, time);
            store.compact();
            store.resume();
            format!("store silent for {} ms, then without history", time.as_millis())
        }
    };
    context.store_disruption.set_disrupted(false);
    what
}

impl ChangeContext {
    fn publish(&self) {
        self.log.publish_next(std::slice::from_ref(&self.store));
    }

    /// Sleeps for this time, and publishes a change at some moment of it.
    fn sleep_with_change(&self, random: &mut SmallRng, time: Duration) {
        let before = time.mul_f64(random.random_range(0.0..1.0));
        thread::sleep(before);
        self.publish();
        thread::sleep(time - before);
    }

    /// Asks a daemon for the newest route. It may not say that there is none, if the daemon and the store were
    /// undisrupted and no newer configuration has come meanwhile.
    fn check(&self, number: usize, (address, disruption): &(SocketAddr, Arc<DisruptionState>)) {
        let is_stable = || {
            disruption.is_stable_for(STABLE_TIME)
                && self.store_disruption.is_stable_for(STABLE_TIME)
        };
        let Some(version) = self.log.due_version().filter(|_| is_stable()) else { return };
        let id = format!("changed-{version}-{number}");
        let request = HttpRequest::new("GET", *address, &path_of(version));
        let headers = caller_headers(&id, DEADLINE_MS);
        let request =
            headers.iter().fold(request, |request, (name, value)| request.header(name, value));
        let status = request.send().map(|response| response.status);
        self.checker.record_change_check();
        if status == Some(404) && is_stable() && self.log.due_version() == Some(version) {
            self.checker.record_violation(format!(
                "daemon {number} has no route of version {version}, which was acknowledged more than \
                 2 s before"
            ));
        }
    }
}
