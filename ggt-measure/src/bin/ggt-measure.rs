//! Compares routing policies on a generated trace and writes tables, JSON and plots.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use ggt_core::routing::RoutingOptions;
use ggt_measure::policies::RoutingPolicy;
use ggt_measure::replay::ChurnPlan;
use ggt_measure::replay::Replay;
use ggt_measure::replay::ReplayOptions;
use ggt_measure::report::ScenarioOutcomes;
use ggt_measure::report::format_table;
use ggt_measure::report::write_plot;
use ggt_measure::trace::TraceOptions;
use ggt_measure::trace::generate;

/// Requests per second and engine: 3,700 requests per second on 780 engines.
const REQUESTS_PER_SECOND_PER_ENGINE: f64 = 4.74;
/// Number of requests that an engine can run concurrently.
const ENGINE_CAPACITY: u32 = 80;
/// Mean age of a load report without delay, as reports are sent once per second.
const MEAN_REPORT_AGE_MS: u64 = 500;
/// Index of the customer that surges.
const SURGING_CUSTOMER: usize = 3;

/// Compares routing policies on a generated trace.
#[derive(FromArgs)]
struct MeasureArgs {
    /// seed of the trace
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated minutes
    #[argh(option, default = "60")]
    minutes: u64,
    /// number of engines
    #[argh(option, default = "20")]
    engines: usize,
    /// number of daemons
    #[argh(option, default = "8")]
    daemons: usize,
    /// number of data centres
    #[argh(option, default = "4")]
    centres: usize,
    /// capacity of each engine's prefix cache, in tokens
    #[argh(option, default = "12000000")]
    cache_tokens: u64,
    /// number of requests that each of a daemon's own requests since a load report counts as
    #[argh(option, default = "1.0")]
    peer_scale: f64,
    /// bound on a target's load divided by the mean load
    #[argh(option, default = "1.25")]
    max_load_ratio: f64,
    /// run only this scenario
    #[argh(option)]
    scenario: Option<String>,
    /// run only this routing policy, and the oracle
    #[argh(option)]
    way: Option<String>,
    /// folder for JSON files and plots
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Disturbances in one run of the trace.
struct Scenario {
    name: &'static str,
    is_churning: bool,
    surges: bool,
    partition: bool,
    /// Delay of load reports, in milliseconds.
    lag_ms: u64,
}

const SCENARIOS: [Scenario; 7] = [
    Scenario { name: "calm", is_churning: false, surges: false, partition: false, lag_ms: 0 },
    Scenario { name: "churn", is_churning: true, surges: false, partition: false, lag_ms: 0 },
    Scenario { name: "surge", is_churning: false, surges: true, partition: false, lag_ms: 0 },
    Scenario { name: "cut", is_churning: false, surges: false, partition: true, lag_ms: 0 },
    Scenario { name: "lag-1s", is_churning: false, surges: false, partition: false, lag_ms: 1_000 },
    Scenario { name: "lag-5s", is_churning: false, surges: false, partition: false, lag_ms: 5_000 },
    Scenario { name: "all", is_churning: true, surges: true, partition: true, lag_ms: 5_000 },
];

fn main() -> ExitCode {
    let args: MeasureArgs = argh::from_env();
    let mut results: BTreeMap<&str, ScenarioOutcomes> = BTreeMap::new();
    for scenario in &SCENARIOS {
        if args.scenario.as_ref().is_some_and(|name| name != scenario.name) {
            continue;
        }
        let outcomes = measure(&args, scenario);
        print!("{}", format_table(scenario.name, &outcomes));
        if let Some(folder) = &args.out {
            let file = folder.join(format!("{}-{}.svg", args.engines, scenario.name));
            let title = format!("{} engines, {}", args.engines, scenario.name);
            if let Err(e) = write_plot(&file, &title, &outcomes) {
                eprintln!("ggt-measure: {e}");
                return ExitCode::FAILURE;
            }
        }
        results.insert(scenario.name, outcomes);
    }
    if let Some(folder) = &args.out {
        let file = folder.join(format!("{}.json", args.engines));
        let text = serde_json::to_string_pretty(&results).unwrap_or_default();
        if let Err(e) = std::fs::write(&file, text + "\n") {
            eprintln!("ggt-measure: {}: {e}", file.display());
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn measure(args: &MeasureArgs, scenario: &Scenario) -> ScenarioOutcomes {
    let length_ms = args.minutes * 60_000;
    // Surge and partition begin and end within the counted part of the trace.
    let (from, until) = (length_ms * 5 / 10, length_ms * 8 / 10);
    let customers = 10;
    let trace = generate(&TraceOptions {
        seed: args.seed,
        length_ms,
        rate: REQUESTS_PER_SECOND_PER_ENGINE * args.engines as f64,
        customers,
        surge: scenario.surges.then_some((SURGING_CUSTOMER, from, until)),
    });
    let options = ReplayOptions {
        seed: args.seed + 1,
        daemons: args.daemons,
        engines: args.engines,
        centres: args.centres,
        capacity: ENGINE_CAPACITY,
        cache_tokens: args.cache_tokens,
        lag_ms: scenario.lag_ms,
        loss: 0.01,
        customers,
        churn: ChurnPlan {
            is_churning: scenario.is_churning,
            partition: scenario.partition.then_some((1, from, until)),
        },
        routing: RoutingOptions { peer_scale: args.peer_scale, ..RoutingOptions::default() }
            // Reports are sent once per second, so their mean age is the delay plus half a second.
            .with_bounds(args.max_load_ratio, scenario.lag_ms + MEAN_REPORT_AGE_MS),
    };
    RoutingPolicy::ALL
        .into_iter()
        .filter(|policy| {
            let is_selected = args.way.as_ref().is_none_or(|name| name == policy.as_str());
            is_selected || *policy == RoutingPolicy::Oracle
        })
        .map(|policy| (policy.as_str().to_owned(), Replay::new(&options, policy).run(&trace)))
        .collect()
}
