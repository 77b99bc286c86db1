//! Processor time, memory and control traffic of daemons, depending on the size of the fleet.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::bench::reference_config::reference_config_files;
use crate::bench::usage::ProcessUsage;
use crate::bench::usage::traffic_of;
use crate::bench::usage::usage_of;
use crate::fleet::TestFleet;
use crate::fleet::create_key;
use crate::http::HttpRequest;
use crate::layout::FleetOptions;
use crate::wait::wait_until;

/// Names of the data centres; a fleet uses the first ones.
const CENTRES: [&str; 6] = ["c1", "c2", "c3", "c4", "c5", "c6"];
/// Time from the start of the fleet to the measurement.
const WARM_UP: Duration = Duration::from_secs(8);

/// Size of the fleet and the load during the measurement.
#[derive(Clone, Copy, Debug)]
pub struct CapacityOptions {
    /// Number of daemons, spread over the data centres.
    pub daemons: usize,
    /// Number of data centres, at most six.
    pub centres: usize,
    /// Number of engines, spread over the data centres.
    pub engines: usize,
    /// Duration of the measurement.
    pub seconds: u64,
    /// Configuration changes during the measurement.
    pub changes: usize,
    /// Non-idempotent requests during the measurement.
    pub actions: usize,
    /// Chat requests with a response of 64 tokens during the measurement.
    pub chats: usize,
}

/// Resource use of the daemons during the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityOutcome {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of data centres.
    pub centres: usize,
    /// Number of engines.
    pub engines: usize,
    /// Processor use in percent of one core, mean over the daemons.
    pub cpu_percent: f64,
    /// Processor use in percent of one core, maximum over the daemons.
    pub cpu_percent_most: f64,
    /// Resident memory in megabytes (10^6 bytes), mean over the daemons.
    pub resident_mb: f64,
    /// Control traffic in bytes per second by kind, both directions summed, mean over the daemons.
    pub bytes_per_second: BTreeMap<String, f64>,
    /// Control traffic of all kinds in bytes per second, maximum over the daemons.
    pub bytes_per_second_most: f64,
    /// Calls to the platform per second, summed over the daemons.
    pub platform_calls_per_second: f64,
    /// Milliseconds from each configuration change until it was active on every daemon.
    pub change_ms: Vec<u64>,
    /// Number of responses by status and verdict; `none` counts requests without a response.
    pub answers: BTreeMap<String, usize>,
}

/// Starts a fleet with the timing of production and measures the resource use of its daemons.
///
/// # Panics
/// When the fleet does not start.
pub fn measure_capacity(options: &CapacityOptions) -> CapacityOutcome {
    let fleet = start(options);
    thread::sleep(WARM_UP);
    let before = UsageSample::take(&fleet);
    let started_at = Instant::now();
    let ends_at = started_at + Duration::from_secs(options.seconds);
    let mut change_ms = Vec::new();
    let mut answers = BTreeMap::new();
    thread::scope(|scope| {
        let changes = scope.spawn(|| run_changes(&fleet, options, ends_at));
        let requests = scope.spawn(|| run_requests(&fleet, options, ends_at));
        change_ms = changes.join().expect("publisher thread should not panic");
        answers = requests.join().expect("request thread should not panic");
    });
    thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    let seconds = started_at.elapsed().as_secs_f64();
    let after = UsageSample::take(&fleet);
    compute_outcome(options, &before, &after, seconds, change_ms, answers)
}

fn start(options: &CapacityOptions) -> TestFleet {
    let centres: Vec<(&'static str, usize)> = CENTRES
        .into_iter()
        .take(options.centres)
        .map(|centre| (centre, options.daemons / options.centres))
        .collect();
    let shared_engines = u16::try_from(options.engines / options.centres).unwrap_or(u16::MAX);
    let mut fleet = TestFleet::prepare(FleetOptions {
        centres,
        engines: 0,
        shared_process_engines: shared_engines,
        services: 1,
        settings: json!({ "limits": { "gossip_bytes": 700 }, "timing": {
            "gossip_ms": 1_000, "probe_ms": 3_000, "watch_ms": 30_000, "backoff_ms": 200,
            "backoff_max_ms": 10_000, "drain_announce_ms": 300,
        } }),
        ..FleetOptions::default()
    });
    for index in 0..fleet.targets.len() {
        if fleet.targets[index].workload == "filings" {
            fleet.start_target(index);
        }
    }
    fleet.publish_hosts();
    fleet.publish("config", &reference_config_files(&fleet, 0), None);
    (0..fleet.daemons.len()).for_each(|index| fleet.start_daemon(index));
    (0..fleet.daemons.len()).for_each(|index| fleet.await_ready(index));
    fleet
}

/// Cumulative usage of each daemon, and calls to the platform, at one time.
struct UsageSample {
    usage: Vec<ProcessUsage>,
    traffic: Vec<BTreeMap<String, u64>>,
    platform_calls: u64,
}

impl UsageSample {
    fn take(fleet: &TestFleet) -> Self {
        let daemons = 0..fleet.daemons.len();
        let counts = HttpRequest::new("GET", fleet.platform, "/control/counts").send();
        let counts = counts.map(|response| response.json()).unwrap_or_default();
        let calls = counts.as_object().into_iter().flatten();
        Self {
            usage: daemons
                .clone()
                .map(|index| fleet.daemon_pid(index).map(usage_of).unwrap_or_default())
                .collect(),
            traffic: daemons
                .map(|index| traffic_of(&fleet.status(index).unwrap_or(Value::Null)))
                .collect(),
            platform_calls: calls.filter_map(|(_, count)| count.as_u64()).sum(),
        }
    }
}

fn run_changes(fleet: &TestFleet, options: &CapacityOptions, ends_at: Instant) -> Vec<u64> {
    let mut durations_ms = Vec::new();
    for change in 1..=options.changes {
        let started_at = Instant::now();
        let revision = fleet.publish("config", &reference_config_files(fleet, change), None);
        wait_until("the change is active on every daemon", || {
            (0..fleet.daemons.len())
                .all(|index| fleet.status(index).is_some_and(|x| x["revision"] == revision))
        });
        durations_ms.push(u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX));
        let left = ends_at.saturating_duration_since(Instant::now());
        let changes_left = u32::try_from(options.changes - change + 1).unwrap_or(1);
        thread::sleep(left / changes_left / 2);
    }
    durations_ms
}

fn run_requests(
    fleet: &TestFleet,
    options: &CapacityOptions,
    ends_at: Instant,
) -> BTreeMap<String, usize> {
    let mut answers: BTreeMap<String, usize> = BTreeMap::new();
    let total = options.actions + options.chats;
    let started_at = Instant::now();
    let length = ends_at.saturating_duration_since(started_at).mul_f64(0.95);
    for number in 0..total {
        let due = started_at + length.mul_f64(number as f64 / total as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let daemon = number % fleet.daemons.len();
        let response = if number < options.actions {
            fleet.submit(daemon, &create_key(), "filing")
        } else {
            let request = fleet.request(daemon, "POST", "/chat?tokens=64&gap_ms=0");
            request.header("x-chat-id", &format!("c{number}")).body("prompt").send()
        };
        let verdict = response.map_or_else(
            || "none".to_owned(),
            |response| format!("{} {}", response.status, response.verdict()),
        );
        *answers.entry(verdict).or_default() += 1;
    }
    answers
}

fn compute_outcome(
    options: &CapacityOptions,
    before: &UsageSample,
    after: &UsageSample,
    seconds: f64,
    change_ms: Vec<u64>,
    answers: BTreeMap<String, usize>,
) -> CapacityOutcome {
    const MEGABYTE: f64 = 1_000_000.0;
    let count = after.usage.len() as f64;
    let cpu: Vec<f64> = before
        .usage
        .iter()
        .zip(&after.usage)
        .map(|(a, b)| 100.0 * (b.cpu_seconds - a.cpu_seconds) / seconds)
        .collect();
    let mut by_kind: BTreeMap<String, f64> = BTreeMap::new();
    let mut max_bytes: f64 = 0.0;
    for (a, b) in before.traffic.iter().zip(&after.traffic) {
        let mut sum = 0.0;
        for (kind, bytes) in b {
            let spent = (bytes - a.get(kind).copied().unwrap_or_default()) as f64 / seconds;
            *by_kind.entry(kind.clone()).or_default() += spent / count;
            sum += spent;
        }
        max_bytes = max_bytes.max(sum);
    }
    let resident: u64 = after.usage.iter().map(|usage| usage.resident_bytes).sum();
    CapacityOutcome {
        daemons: options.daemons,
        centres: options.centres,
        engines: options.engines,
        cpu_percent: cpu.iter().sum::<f64>() / count,
        cpu_percent_most: cpu.iter().copied().fold(0.0, f64::max),
        resident_mb: resident as f64 / count / MEGABYTE,
        bytes_per_second: by_kind,
        bytes_per_second_most: max_bytes,
        platform_calls_per_second: (after.platform_calls - before.platform_calls) as f64 / seconds,
        change_ms,
        answers,
    }
}
