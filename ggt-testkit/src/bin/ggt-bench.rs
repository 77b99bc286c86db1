//! Benchmarks a fleet of real processes on this machine.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::process::ExitCode;

use argh::FromArgs;
use serde_json::json;

use ggt_standin::users_platform::EndlessKind;
use ggt_testkit::bench::CapacityOptions;
use ggt_testkit::bench::EndlessOptions;
use ggt_testkit::bench::measure_availability;
use ggt_testkit::bench::measure_capacity;
use ggt_testkit::bench::measure_changes;
use ggt_testkit::bench::measure_endless;
use ggt_testkit::bench::measure_latency;
use ggt_testkit::bench::measure_state;

/// Routes on which `endless` measures if none is given.
const ENDLESS_ROUTES: [&str; 3] = ["once", "read", "chat"];
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Measures a fleet of real processes; prints a JSON line for each run.
#[derive(FromArgs)]
struct BenchArgs {
    #[argh(subcommand)]
    bench: BenchKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum BenchKind {
    Capacity(CapacityArgs),
    Availability(AvailabilityArgs),
    State(StateArgs),
    Latency(LatencyArgs),
    Changes(ChangesArgs),
    Endless(EndlessArgs),
}

/// memory of a daemon, and times of sound requests, beside servers whose replies do not end
#[derive(FromArgs)]
#[argh(subcommand, name = "endless")]
struct EndlessArgs {
    /// concurrent callers of such replies
    #[argh(option, default = "16")]
    callers: usize,
    /// megabytes that each of these replies brings per second
    #[argh(option, default = "6")]
    rate: u64,
    /// part of the replies that does not end, by its name in the outcome; all if not given
    #[argh(option)]
    kind: Option<String>,
    /// route of the requests, such as `chat`; `once`, `read` and `chat` one after the other if not given
    #[argh(option)]
    route: Option<String>,
    /// callers read nothing beyond the head of a response
    #[argh(switch)]
    stalled: bool,
}

/// latency that a daemon adds to the first token and to the gaps between tokens
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
struct LatencyArgs {
    /// concurrent callers
    #[argh(option, default = "50")]
    callers: usize,
    /// streams of each caller
    #[argh(option, default = "10")]
    rounds: usize,
}

/// time until a change of the configuration is in force at all daemons while the store does not answer;
/// fails if that takes longer than allowed
#[derive(FromArgs)]
#[argh(subcommand, name = "changes")]
struct ChangesArgs {
    /// number of daemons
    #[argh(option, default = "6")]
    daemons: usize,
    /// milliseconds that a change may take
    #[argh(option, default = "2000")]
    max_ms: u64,
}

/// memory per claim, target and suspected request
#[derive(FromArgs)]
#[argh(subcommand, name = "state")]
struct StateArgs {}

/// processor time, memory and control traffic of daemons
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityArgs {
    /// number of daemons
    #[argh(option, default = "6")]
    daemons: usize,
    /// number of data centres, at most six
    #[argh(option, default = "1")]
    centres: usize,
    /// number of engines
    #[argh(option, default = "20")]
    engines: usize,
    /// duration of the measurement in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// configuration changes during the measurement
    #[argh(option, default = "0")]
    changes: usize,
    /// non-idempotent requests during the measurement
    #[argh(option, default = "0")]
    actions: usize,
    /// chat requests during the measurement
    #[argh(option, default = "0")]
    chats: usize,
}

/// fraction of non-idempotent requests that get a definite verdict
#[derive(FromArgs)]
#[argh(subcommand, name = "availability")]
struct AvailabilityArgs {
    /// duration in seconds of each scenario except the rolling restart
    #[argh(option, default = "6")]
    seconds: u64,
}

fn main() -> ExitCode {
    let args: BenchArgs = argh::from_env();
    match args.bench {
        BenchKind::Capacity(args) => {
            let outcome = measure_capacity(&CapacityOptions {
                daemons: args.daemons,
                centres: args.centres,
                engines: args.engines,
                seconds: args.seconds,
                changes: args.changes,
                actions: args.actions,
                chats: args.chats,
            });
            println!("{}", json!(outcome));
        }
        BenchKind::Latency(args) => {
            println!("{}", json!(measure_latency(args.callers, args.rounds)));
        }
        BenchKind::State(_) => println!("{}", json!(measure_state())),
        BenchKind::Changes(args) => {
            let outcomes = measure_changes(args.daemons);
            outcomes.iter().for_each(|outcome| println!("{}", json!(outcome)));
            if outcomes.iter().any(|outcome| outcome.latest_ms > args.max_ms) {
                return ExitCode::FAILURE;
            }
        }
        BenchKind::Endless(args) => run_endless(&args),
        BenchKind::Availability(args) => {
            for (scenario, outcome) in measure_availability(args.seconds) {
                println!("{}", json!({ "scenario": scenario, "outcome": outcome }));
                if outcome.violations > 0 {
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    ExitCode::SUCCESS
}

/// Measures each kind of reply on each route that the arguments select.
fn run_endless(args: &EndlessArgs) {
    let is_selected = |name: &str, selected: &Option<String>| {
        selected.as_ref().is_none_or(|selected| name.eq_ignore_ascii_case(selected))
    };
    let kinds = EndlessKind::ALL.into_iter();
    for kind in kinds.filter(|kind| is_selected(&format!("{kind:?}"), &args.kind)) {
        for route in ENDLESS_ROUTES.into_iter().filter(|route| is_selected(route, &args.route)) {
            let outcome = measure_endless(EndlessOptions {
                kind,
                route,
                callers: args.callers,
                bytes_per_second: args.rate * BYTES_PER_MEGABYTE,
                are_read: !args.stalled,
            });
            println!("{}", json!(outcome));
        }
    }
}
