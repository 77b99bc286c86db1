//! A caller whose requests crash the servers that run them, and the checks that daemons stop sending
//! them on and go on serving sound ones.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use ggt_standin::server::lock;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::caller_headers;
use ggt_standin::users_platform::prompt_headers_of;

use crate::http::HttpRequest;
use crate::soak::disruption::DisruptionState;
use crate::soak::invariants::InvariantChecker;

/// Part of the path by which servers recognise a request that crashes them.
const CRASH_PATH: &str = "crash-";
/// Beginning of the id of a prompt part by which servers recognise a request that crashes them.
const CRASH_PART: &str = "bad";
/// First part of all prompts of the soak, also of sound ones.
const SHARED_PART: &str = "a1";
/// Number of crashes by one request from which on the users' rule counts calls.
const REQUEST_CRASHES: usize = 3;
/// Number of crashes by requests with one prompt part from which on the users' rule counts calls.
const PART_CRASHES: usize = 5;
/// Number of sound requests from which on it counts how many of them are refused.
const MIN_SOUND_REQUESTS: usize = 20;
/// Time from the last of these crashes until daemons must refuse them (the users' `StableMs`), and for
/// which a daemon and the store must have been undisrupted for a call to count.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Number of calls that may reach a server after that.
const MAX_LATE_CALLS: usize = 3;
/// Range from which the pause between two calls is drawn, in milliseconds.
const CALL_INTERVAL_MS: Range<u64> = 100..500;
/// Number of calls of one round.
const CALLS: usize = 60;
/// Deadline that the caller sends, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// What the crashing requests of a round share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SharedTrait {
    /// Path and body.
    Request,
    /// One part of the prompt.
    Part,
}

impl SharedTrait {
    /// Number of crashes from which on the users' rule counts calls.
    fn limit(self) -> usize {
        match self {
            Self::Request => REQUEST_CRASHES,
            Self::Part => PART_CRASHES,
        }
    }
}

/// The crashes of the present round's requests, and what became of sound requests meanwhile.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    crashes: Mutex<Vec<(Instant, String)>>,
    sound: AtomicUsize,
    refused_sound: AtomicUsize,
}

impl CrashLog {
    /// Records that a server crashed while it ran the call with this attempt id.
    pub(super) fn record(&self, id: &str) {
        lock(&self.crashes).push((Instant::now(), id.to_owned()));
    }

    /// Records a sound request, and whether it was refused as one that crashes servers. It counts once
    /// daemons have had time to find out what the crashing requests share.
    pub(super) fn record_sound(&self, is_refused: bool) {
        let limit_at = lock(&self.crashes).get(PART_CRASHES - 1).map(|(at, _)| *at);
        if limit_at.is_some_and(|at| at.elapsed() > 2 * STABLE_TIME) {
            self.sound.fetch_add(1, Ordering::SeqCst);
            self.refused_sound.fetch_add(usize::from(is_refused), Ordering::SeqCst);
        }
    }

    /// Whether a call that was sent when the limit of crashes had long been reached crashed a server.
    fn is_late(&self, shared: SharedTrait, id: &str, sent_at: Instant) -> bool {
        let crashes = lock(&self.crashes);
        let limit_at = crashes.get(shared.limit() - 1).map(|(at, _)| *at);
        limit_at.is_some_and(|at| sent_at > at + STABLE_TIME)
            && crashes.iter().any(|(_, other)| other == id)
    }

    /// Checks at the end of a round that sound requests were served, and begins the next round.
    fn end_round(&self, checker: &InvariantChecker) {
        lock(&self.crashes).clear();
        let sound = self.sound.swap(0, Ordering::SeqCst);
        let refused = self.refused_sound.swap(0, Ordering::SeqCst);
        if sound >= MIN_SOUND_REQUESTS && refused * 2 > sound {
            checker.record_violation(format!(
                "{refused} of {sound} sound requests were refused as crashing"
            ));
        }
    }
}

/// Whether a request crashes the server that runs it.
pub(super) fn is_crashing(request: &WireRequest) -> bool {
    let parts = request.prompt_parts();
    request.path.contains(CRASH_PATH) || parts.iter().any(|part| part.starts_with(CRASH_PART))
}

/// Repeats crashing requests of all kinds, one round after the other, at random daemons until
/// `is_over`.
pub(super) fn run_crashing_caller(
    seed: u64,
    daemons: &[(SocketAddr, Arc<DisruptionState>)],
    store: &DisruptionState,
    log: &CrashLog,
    checker: &InvariantChecker,
    is_over: &AtomicBool,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    for round in 0.. {
        let kind = ["read", "once", "chat", "talk"][random.random_range(0..4)];
        let shared = [SharedTrait::Part, SharedTrait::Request][(seed + round) as usize % 2];
        let mut late_calls = 0;
        for number in 0..CALLS {
            if is_over.load(Ordering::SeqCst) {
                return log.end_round(checker);
            }
            thread::sleep(Duration::from_millis(random.random_range(CALL_INTERVAL_MS)));
            let (daemon, disruption) = &daemons[random.random_range(0..daemons.len())];
            let call = CrashingCall { round, number, kind, shared };
            let is_stable =
                disruption.is_stable_for(STABLE_TIME) && store.is_stable_for(STABLE_TIME);
            let sent_at = Instant::now();
            let response = call.send(*daemon);
            checker.record_request();
            let id = call.id();
            if let Some(status) = response.filter(|status| matches!(status, 408 | 421 | 429 | 503))
                && matches!(kind, "once" | "talk")
            {
                checker.record_not_executed(&id, status);
            }
            if !is_stable || !log.is_late(shared, &id, sent_at) {
                continue;
            }
            late_calls += 1;
            checker.record_late_call();
            if late_calls > MAX_LATE_CALLS {
                checker.record_violation(format!(
                    "{id}: call {late_calls} that crashed a server long after the crashes that \
                     count, by {shared:?}"
                ));
            }
        }
        log.end_round(checker);
    }
}

/// One call of a round.
struct CrashingCall {
    round: u64,
    number: usize,
    kind: &'static str,
    shared: SharedTrait,
}

impl CrashingCall {
    /// The attempt id.
    fn id(&self) -> String {
        format!("crash-{}-{}-{}", self.round, self.number, self.kind)
    }

    /// Sends the call and returns the status of its response.
    fn send(&self, daemon: SocketAddr) -> Option<u16> {
        let Self { round, number, kind, .. } = self;
        let (path, body, prompt) = match self.shared {
            SharedTrait::Request => {
                (format!("/{kind}/{CRASH_PATH}{round}"), "crash".to_owned(), Vec::new())
            }
            SharedTrait::Part => {
                let (bad, own) =
                    (format!("{CRASH_PART}{round:x}"), format!("{:x}", 0x100 + number));
                let parts = prompt_headers_of(&[SHARED_PART, bad.as_str(), own.as_str()]);
                (format!("/{kind}/{round}-{number}"), format!("body {number}"), parts)
            }
        };
        let headers = caller_headers(&self.id(), DEADLINE_MS);
        let request = HttpRequest::new("POST", daemon, &path).body(&body);
        let headers = headers.iter().chain(&prompt);
        let request = headers.fold(request, |request, (name, value)| request.header(name, value));
        request.send().map(|response| response.status)
    }
}
