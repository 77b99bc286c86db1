//! A caller whose requests crash the servers that run them, and the check that daemons stop sending
//! them on.

use std::collections::BTreeMap;
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

use ggt_standin::server::lock;
use ggt_standin::users_platform::caller_headers;

use crate::http::HttpRequest;
use crate::soak::deployment::DisruptionState;
use crate::soak::invariants::InvariantChecker;

/// Part of the path by which servers recognise a request that crashes them.
pub(super) const CRASH_PATH: &str = "crash-";
/// Number of crashes after which daemons refuse a request.
const CRASH_LIMIT: usize = 3;
/// Time from the last of these crashes until daemons must refuse it (the users' `StableMs`), and for
/// which a daemon and the store must have been undisrupted for a call to count.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Number of calls that may reach a server after that.
const MAX_LATE_CALLS: usize = 3;
/// Range from which the pause between two calls is drawn, in milliseconds.
const CALL_INTERVAL_MS: Range<u64> = 100..500;
/// Number of calls of one request; the next request follows.
const CALLS: usize = 60;
/// Deadline that the caller sends, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// The crashes of servers by the path of the request that caused them.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    crashes: Mutex<BTreeMap<String, Vec<(Instant, String)>>>,
}

impl CrashLog {
    /// Records that a server crashed while it ran the call with this attempt id.
    pub(super) fn record(&self, path: &str, id: &str) {
        let mut crashes = lock(&self.crashes);
        crashes.entry(path.to_owned()).or_default().push((Instant::now(), id.to_owned()));
    }

    /// Whether a call that was sent when the limit of crashes had long been reached crashed a server.
    fn is_late(&self, path: &str, id: &str, sent_at: Instant) -> bool {
        let crashes = lock(&self.crashes);
        let Some(crashes) = crashes.get(path) else { return false };
        let limit_at = crashes.get(CRASH_LIMIT - 1).map(|(at, _)| *at);
        limit_at.is_some_and(|at| sent_at > at + STABLE_TIME)
            && crashes.iter().any(|(_, other)| other == id)
    }
}

/// Repeats crashing requests of all kinds, one after the other, at random daemons until `is_over`.
pub(super) fn run_crashing_caller(
    seed: u64,
    daemons: &[(SocketAddr, Arc<DisruptionState>)],
    store: &DisruptionState,
    log: &CrashLog,
    checker: &InvariantChecker,
    is_over: &AtomicBool,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    for number in 0.. {
        let kind = ["read", "once", "chat", "talk"][random.random_range(0..4)];
        let path = format!("/{kind}/{CRASH_PATH}{number}");
        let mut late_calls = 0;
        for call in 0..CALLS {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(Duration::from_millis(random.random_range(CALL_INTERVAL_MS)));
            let (daemon, disruption) = &daemons[random.random_range(0..daemons.len())];
            let id = format!("crash-{number}-{call}-{kind}");
            let is_stable =
                disruption.is_stable_for(STABLE_TIME) && store.is_stable_for(STABLE_TIME);
            let sent_at = Instant::now();
            let response = send_call(*daemon, &path, &id);
            checker.record_request();
            if let Some(status) = response.filter(|status| matches!(status, 408 | 421 | 429 | 503))
                && matches!(kind, "once" | "talk")
            {
                checker.record_not_executed(&id, status);
            }
            if !is_stable || !log.is_late(&path, &id, sent_at) {
                continue;
            }
            late_calls += 1;
            checker.record_late_call();
            if late_calls > MAX_LATE_CALLS {
                checker.record_violation(format!(
                    "{id}: call {late_calls} that crashed a server long after the third crash"
                ));
            }
        }
    }
}

/// Sends one call and returns the status of its response.
fn send_call(daemon: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let headers = caller_headers(id, DEADLINE_MS);
    let request = HttpRequest::new("POST", daemon, path).body("crash");
    let request =
        headers.iter().fold(request, |request, (name, value)| request.header(name, value));
    request.send().map(|response| response.status)
}
