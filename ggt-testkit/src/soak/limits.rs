//! Servers that name how many requests a second they take from all daemons together, and the check
//! that they get no more.

use std::collections::VecDeque;
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
use ggt_standin::users_platform::limit_line;

use crate::soak::disruption::DisruptionState;
use crate::soak::invariants::InvariantChecker;

/// Time from the first naming of a limit until the users' rule counts, and for which a daemon must have
/// been undisrupted for its requests to count (their `StableMs`).
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Span in which the rule counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor by which a server may get more than it named.
const EXCESS_FACTOR: f64 = 1.5;
/// Requests that a server may get on top in a window.
const EXCESS_REQUESTS: f64 = 5.0;
/// Limits in requests per second; `None` lifts the limit.
const LIMITS: [Option<f64>; 6] = [Some(0.3), Some(1.0), Some(4.0), Some(10.0), Some(30.0), None];
/// Pause between two changes, in milliseconds: most limits last longer than the rule takes to count.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 800..2_500;

/// The limit that one server names, and the requests that count against it.
#[derive(Debug, Default)]
pub(super) struct ServerLimit {
    state: Mutex<LimitState>,
}

#[derive(Debug, Default)]
struct LimitState {
    per_second: Option<f64>,
    named_at: Option<Instant>,
    counted: VecDeque<Instant>,
}

impl ServerLimit {
    /// Changes the limit; the server names it from its next response on.
    pub(super) fn set(&self, per_second: Option<f64>) {
        *lock(&self.state) = LimitState { per_second, ..LimitState::default() };
    }

    /// Counts again from the next naming on: the server's network changes, which may hold requests up and
    /// deliver them together.
    pub(super) fn restart_counting(&self) {
        let mut state = lock(&self.state);
        state.named_at = None;
        state.counted.clear();
    }

    /// The header line of a response; empty if there is no limit.
    pub(super) fn header_line(&self) -> String {
        let mut state = lock(&self.state);
        let Some(limit) = state.per_second else { return String::new() };
        state.named_at.get_or_insert_with(Instant::now);
        limit_line(&limit.to_string())
    }

    /// Counts a request that a daemon sent to server `name`, and checks the rule.
    pub(super) fn record_arrival(
        &self,
        name: &str,
        daemon: &DisruptionState,
        checker: &InvariantChecker,
    ) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let Some(limit) = state.per_second else { return };
        let is_counted = state.named_at.is_some_and(|named_at| now >= named_at + STABLE_TIME);
        if !is_counted || !daemon.is_stable_for(STABLE_TIME) {
            return;
        }
        state.counted.push_back(now);
        state.counted.retain(|at| *at + WINDOW > now);
        let allowed = EXCESS_FACTOR * limit * WINDOW.as_secs_f64() + EXCESS_REQUESTS;
        let count = state.counted.len();
        checker.record_limited_request();
        if count as f64 > allowed {
            checker.record_violation(format!(
                "server {name} named a limit of {limit} a second and got {count} requests in 4 s"
            ));
            state.counted.clear();
        }
    }
}

/// Changes the limits of random servers, at most half of them limited, until `is_over`; then lifts all.
pub(super) fn run_limits(seed: u64, limits: &[Arc<ServerLimit>], is_over: &AtomicBool) {
    let mut random = SmallRng::seed_from_u64(seed);
    let limited = &limits[..limits.len() / 2];
    while !is_over.load(Ordering::SeqCst) {
        let limit = LIMITS[random.random_range(0..LIMITS.len())];
        limited[random.random_range(0..limited.len())].set(limit);
        thread::sleep(Duration::from_millis(random.random_range(CHANGE_INTERVAL_MS)));
    }
    limits.iter().for_each(|limit| limit.set(None));
}
