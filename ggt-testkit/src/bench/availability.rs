//! Which share of one-time actions ends with a definite verdict, calm and under failure.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde_json::json;

use crate::fleet::TestFleet;
use crate::fleet::mint_key;
use crate::layout::FleetOptions;
use crate::web::WebRequest;

const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(5);

/// Verdicts of the actions of one scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AvailabilityOutcome {
    /// Answers by status and verdict.
    pub answers: BTreeMap<String, usize>,
    /// Actions that ended with `ran` or `not-run`, as a share of all.
    pub definite: f64,
    /// Actions that ran, as a share of all.
    pub ran: f64,
    /// Keys that ran more than once, or ran although they were answered `not-run`.
    pub violations: usize,
}

/// Measures calm, with one daemon dead, with a data centre cut off, and in a rolling restart.
///
/// # Panics
/// When the fleet does not come up.
pub fn measure_availability(seconds: u64) -> Vec<(&'static str, AvailabilityOutcome)> {
    let length = Duration::from_secs(seconds);
    let calm = run(|_| thread::sleep(length));
    let dead = run(|fleet| {
        fleet.signal_daemon_kill(3);
        thread::sleep(length);
    });
    let cut = run(|fleet| {
        fleet.part(&[6, 7], &[0, 1, 2, 3, 4, 5]);
        thread::sleep(length);
    });
    let rolling = run(|fleet| {
        for index in 0..fleet.daemons.len() {
            fleet.restart_gracefully(index);
        }
    });
    vec![
        ("calm", calm),
        ("one daemon dead", dead),
        ("one data centre cut off", cut),
        ("rolling restart of all", rolling),
    ]
}

fn run<F>(during: F) -> AvailabilityOutcome
where
    F: FnOnce(&TestFleet),
{
    let fleet = TestFleet::start(FleetOptions {
        centres: vec![("recife-a", 3), ("recife-b", 3), ("fortaleza", 2)],
        engines: 0,
        services: 1,
        capacity: 500,
        proxied: true,
        config: json!({ "claims": { "max_clock_error_ms": 250, "holder_timeout_ms": 500 } }),
        ..FleetOptions::default()
    });
    // Keys minted before the fence of the start would count against the calm.
    thread::sleep(Duration::from_millis(600));
    let is_over = AtomicBool::new(false);
    let answers: Vec<(String, String)> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (fleet, is_over) = (&fleet, &is_over);
                scope.spawn(move || call_until(fleet, is_over, caller))
            })
            .collect();
        during(&fleet);
        is_over.store(true, Ordering::SeqCst);
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    });
    judge(&fleet, &answers)
}

/// Sends actions as through a balancer: to any daemon that says it is ready.
fn call_until(fleet: &TestFleet, is_over: &AtomicBool, caller: usize) -> Vec<(String, String)> {
    let mut answers = Vec::new();
    let mut next = caller;
    while !is_over.load(Ordering::SeqCst) {
        next += 1;
        let daemon = next % fleet.daemons.len();
        let health = WebRequest::new("GET", fleet.daemons[daemon].callers, "/healthz").send();
        if health.is_none_or(|reply| reply.status != 200) {
            continue;
        }
        let key = mint_key();
        let answer = match fleet.submit(daemon, &key, "filing") {
            Some(reply) => format!("{} {}", reply.status, reply.verdict()),
            None => "none".to_owned(),
        };
        answers.push((key, answer));
        thread::sleep(PAUSE);
    }
    answers
}

fn judge(fleet: &TestFleet, answers: &[(String, String)]) -> AvailabilityOutcome {
    let runs = fleet.runs();
    let mut outcome = AvailabilityOutcome::default();
    let doubled = runs.values().filter(|count| **count > 1).count();
    let is_false = |key: &str, answer: &str| {
        let ran = runs.contains_key(key);
        (answer.ends_with(" not-run") && ran) || (answer.ends_with(" ran") && !ran)
    };
    let false_answers = answers.iter().filter(|(key, answer)| is_false(key, answer)).count();
    for (_, answer) in answers {
        *outcome.answers.entry(answer.clone()).or_default() += 1;
    }
    let share = |suffixes: &[&str]| {
        let matching = answers
            .iter()
            .filter(|(_, answer)| suffixes.iter().any(|suffix| answer.ends_with(suffix)));
        matching.count() as f64 / answers.len().max(1) as f64
    };
    outcome.definite = share(&[" ran", " not-run"]);
    outcome.ran = share(&[" ran"]);
    outcome.violations = doubled + false_answers;
    outcome
}
