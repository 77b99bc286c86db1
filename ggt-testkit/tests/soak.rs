//! Short soaks with fixed seeds, and the seeds that once failed.

use std::time::Duration;

use ggt_testkit::soak::SoakOptions;
use ggt_testkit::soak::run_soak;

fn soak(seed: u64) {
    let faults_for = Duration::from_secs(6);
    let options =
        SoakOptions { seed, faults_for, daemons: 3, servers: 5, ..SoakOptions::default() };
    run(&SoakOptions { callers: 8, ..options });
}

fn run(options: &SoakOptions) {
    let seed = options.seed;
    let outcome = run_soak(options);
    assert!(outcome.violations.is_empty(), "seed {seed}: {:#?}", outcome.violations);
    assert!(outcome.answered > 0, "seed {seed}: no request was answered");
}

#[test]
fn guarantees_hold_under_injected_faults() {
    [1, 2].into_iter().for_each(soak);
}

/// A daemon that shuts down is paused and then killed. The soak once counted the connections that were lost
/// with it as cut by the next daemon process on the same address.
#[test]
fn seed_510_daemon_is_killed_during_shutdown() {
    let faults_for = Duration::from_secs(20);
    run(&SoakOptions { seed: 510, faults_for, ..SoakOptions::default() });
}

/// Daemons that go on sending a request under which three servers have crashed.
#[test]
fn crashing_requests_are_refused_under_injected_faults() {
    run(&SoakOptions {
        seed: 3,
        faults_for: Duration::from_secs(20),
        has_crashing_caller: true,
        max_fault_interval: Duration::from_millis(4_000),
        ..SoakOptions::default()
    });
}

/// Daemons that send a server more than it says it takes, and sound requests refused together with those
/// that crash servers by a part of their prompts.
#[test]
fn named_limits_and_crashing_parts_hold_under_injected_faults() {
    run(&SoakOptions {
        seed: 4002,
        faults_for: Duration::from_secs(20),
        has_crashing_caller: true,
        has_limits: true,
        max_fault_interval: Duration::from_millis(2_500),
        ..SoakOptions::default()
    });
}

/// Daemons that end responses early because sound servers are silent for a second or so, alone or all at
/// once, or that lose the end of a request they have read.
#[test]
fn responses_are_complete_while_sound_servers_fall_silent() {
    run(&SoakOptions {
        seed: 9_000,
        faults_for: Duration::from_secs(10),
        has_silence: true,
        ..SoakOptions::default()
    });
}

/// Streams that go on at a server of another version than the one that began them, in one response or over
/// a caller's tries.
#[test]
fn streams_hold_events_of_one_version() {
    run(&SoakOptions {
        seed: 9_100,
        faults_for: Duration::from_secs(10),
        has_versions: true,
        ..SoakOptions::default()
    });
}

/// Daemons that are cut off from all servers and serve none of their callers, while other daemons reach all
/// servers.
#[test]
fn callers_of_daemons_cut_off_from_all_servers_are_served() {
    run(&SoakOptions {
        seed: 9_201,
        faults_for: Duration::from_secs(14),
        daemons: 5,
        callers: 24,
        has_cuts: true,
        max_fault_interval: Duration::from_millis(1_500),
        ..SoakOptions::default()
    });
}

/// Daemons that exit after a shutdown before they have written the log lines of their last 100 ms, so that
/// requests they had read have no end in the logs.
#[test]
fn seed_9010_daemon_exits_before_its_last_log_lines() {
    run(&SoakOptions {
        seed: 9_010,
        faults_for: Duration::from_secs(6),
        has_silence: true,
        max_fault_interval: Duration::from_millis(250),
        ..SoakOptions::default()
    });
}

/// Daemons that send requests to a data centre that is evacuated, after restarts, pauses and outages of the store.
#[test]
fn evacuations_hold_under_injected_faults() {
    run(&SoakOptions {
        seed: 5201,
        faults_for: Duration::from_secs(20),
        has_evacuations: true,
        max_fault_interval: Duration::from_millis(2_500),
        ..SoakOptions::default()
    });
}
