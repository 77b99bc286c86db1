//! Fraction of non-idempotent requests that get a definite verdict, without faults and under failures.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde_json::json;

use crate::fleet::TestFleet;
use crate::fleet::create_key;
use crate::http::HttpRequest;
use crate::layout::FleetOptions;

const CALLERS: usize = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Responses to the non-idempotent requests of one scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AvailabilityOutcome {
    /// Number of responses by status and verdict; `none` counts requests without a response.
    pub answers: BTreeMap<String, usize>,
    /// Fraction of requests answered `ran` or `not-run`, from 0 to 1.
    pub definite: f64,
    /// Fraction of requests answered `ran`, from 0 to 1.
    pub ran: f64,
    /// Keys that ran more than once, plus responses `not-run` or `ran` that were not true.
    pub violations: usize,
}

/// Measures four scenarios: no faults, one daemon killed, one data centre partitioned, and a rolling restart.
///
/// # Panics
/// When a fleet does not start.
pub fn measure_availability(seconds: u64) -> Vec<(&'static str, AvailabilityOutcome)> {
    let length = Duration::from_secs(seconds);
    let without_faults = run_scenario(|_| thread::sleep(length));
    let daemon_dead = run_scenario(|fleet| {
        fleet.kill_daemon(3);
        thread::sleep(length);
    });
    let centre_unreachable = run_scenario(|fleet| {
        fleet.partition(&[6, 7], &[0, 1, 2, 3, 4, 5]);
        thread::sleep(length);
    });
    let rolling = run_scenario(|fleet| {
        for index in 0..fleet.daemons.len() {
            fleet.restart_gracefully(index);
        }
    });
    vec![
        ("calm", without_faults),
        ("one daemon dead", daemon_dead),
        ("one data centre cut off", centre_unreachable),
        ("rolling restart of all", rolling),
    ]
}

fn run_scenario<F>(during: F) -> AvailabilityOutcome
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
    // Daemons grant no keys created before their start plus twice the clock error of 250 ms; such requests
    // would count against the scenario without faults.
    thread::sleep(Duration::from_millis(600));
    let is_over = AtomicBool::new(false);
    let verdicts: Vec<(String, String)> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (fleet, is_over) = (&fleet, &is_over);
                scope.spawn(move || send_until(fleet, is_over, caller))
            })
            .collect();
        during(&fleet);
        is_over.store(true, Ordering::SeqCst);
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("caller thread should not panic"))
            .collect()
    });
    summarize(&fleet, &verdicts)
}

/// Sends requests as a load balancer would: to the daemons in turn, skipping those that are not ready.
/// Returns each key with its status and verdict, or `none` without a response.
fn send_until(fleet: &TestFleet, is_over: &AtomicBool, caller: usize) -> Vec<(String, String)> {
    let mut verdicts = Vec::new();
    let mut next = caller;
    while !is_over.load(Ordering::SeqCst) {
        next += 1;
        let daemon = next % fleet.daemons.len();
        let health = HttpRequest::new("GET", fleet.daemons[daemon].callers, "/healthz").send();
        if health.is_none_or(|response| response.status != 200) {
            continue;
        }
        let key = create_key();
        let verdict = match fleet.submit(daemon, &key, "filing") {
            Some(response) => format!("{} {}", response.status, response.verdict()),
            None => "none".to_owned(),
        };
        verdicts.push((key, verdict));
        thread::sleep(REQUEST_INTERVAL);
    }
    verdicts
}

fn summarize(fleet: &TestFleet, verdicts: &[(String, String)]) -> AvailabilityOutcome {
    let runs = fleet.runs();
    let mut outcome = AvailabilityOutcome::default();
    let keys_run_twice = runs.values().filter(|count| **count > 1).count();
    let is_false = |key: &str, verdict: &str| {
        let ran = runs.contains_key(key);
        (verdict.ends_with(" not-run") && ran) || (verdict.ends_with(" ran") && !ran)
    };
    let false_verdicts = verdicts.iter().filter(|(key, verdict)| is_false(key, verdict)).count();
    for (_, verdict) in verdicts {
        *outcome.answers.entry(verdict.clone()).or_default() += 1;
    }
    let fraction = |suffixes: &[&str]| {
        let matching = verdicts
            .iter()
            .filter(|(_, verdict)| suffixes.iter().any(|suffix| verdict.ends_with(suffix)));
        matching.count() as f64 / verdicts.len().max(1) as f64
    };
    outcome.definite = fraction(&[" ran", " not-run"]);
    outcome.ran = fraction(&[" ran"]);
    outcome.violations = keys_run_twice + false_verdicts;
    outcome
}
