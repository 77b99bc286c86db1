//! Runs soaks, one seed after the other.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;

use ggt_testkit::soak::SoakOptions;
use ggt_testkit::soak::run_soak;

/// Runs soak tests of real daemons with injected faults; exit code 1 when a guarantee was violated.
#[derive(FromArgs)]
struct SoakArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of consecutive seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds during which faults are injected, for each seed
    #[argh(option, default = "8")]
    seconds: u64,
    /// number of daemons
    #[argh(option, default = "4")]
    daemons: usize,
    /// number of servers
    #[argh(option, default = "6")]
    servers: usize,
    /// number of callers
    #[argh(option, default = "12")]
    callers: usize,
    /// add a caller whose requests crash the servers that run them
    #[argh(switch)]
    crashing: bool,
    /// let servers name limits of the requests that they take
    #[argh(switch)]
    limits: bool,
    /// let sound servers fall silent for a second or so
    #[argh(switch)]
    silence: bool,
    /// cut daemons off from all servers
    #[argh(switch)]
    cuts: bool,
    /// let servers run two versions and callers take up streams
    #[argh(switch)]
    versions: bool,
    /// let the store fail with changes of the configuration around, and check that these are obeyed in time
    #[argh(switch)]
    changes: bool,
    /// evacuate data centres, and check that daemons send nothing there in time
    #[argh(switch)]
    evacuations: bool,
    /// print the faults of all soaks, not only of those with violations
    #[argh(switch)]
    show_faults: bool,
    /// longest pause before each fault, in milliseconds (more than 60)
    #[argh(option, default = "500")]
    max_pause_ms: u64,
}

fn main() -> ExitCode {
    let args: SoakArgs = argh::from_env();
    let mut has_violations = false;
    for seed in args.seed..args.seed + args.seeds {
        let outcome = run_soak(&SoakOptions {
            seed,
            faults_for: Duration::from_secs(args.seconds),
            daemons: args.daemons,
            servers: args.servers,
            callers: args.callers,
            has_crashing_caller: args.crashing,
            has_limits: args.limits,
            has_silence: args.silence,
            has_cuts: args.cuts,
            has_versions: args.versions,
            has_changes: args.changes,
            has_evacuations: args.evacuations,
            max_fault_interval: Duration::from_millis(args.max_pause_ms),
        });
        println!(
            "seed {seed}: {} requests, {} answered, {} crashes ({} late), {} counted against limits, \
             {} silences, {:?}, {} foreign links, {} miscounted ends, {} checks of changes, new streams begun {:?}, taken up that went on {:?}, {} faults, {} violations",
            outcome.requests,
            outcome.answered,
            outcome.crashes,
            outcome.late_calls,
            outcome.limited_requests,
            outcome.silences,
            outcome.cut_counts,
            outcome.foreign_links,
            outcome.miscounted_ends,
            outcome.change_checks,
            outcome.new_streams,
            outcome.taken_up_streams,
            outcome.faults.len(),
            outcome.violations.len()
        );
        has_violations |= !outcome.violations.is_empty();
        if !outcome.violations.is_empty() || args.show_faults {
            outcome.faults.iter().for_each(|fault| println!("  fault: {fault}"));
            outcome.violations.iter().for_each(|what| println!("  VIOLATION: {what}"));
        }
    }
    if has_violations { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
