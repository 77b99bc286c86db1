//! Random faults of a soak, determined by its seed.

use std::ops::Range;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use ggt_standin::users_platform::SilenceKind;

use crate::soak::SoakOptions;
use crate::soak::deployment::SOUND_NETWORK;
use crate::soak::deployment::SoakDeployment;
use crate::soak::invariants::InvariantChecker;
use crate::soak::versions::VERSIONS;

/// Lower bound of the pause before each fault.
const MIN_FAULT_INTERVAL: Duration = Duration::from_millis(60);
/// Longest time until a crashed server is started again.
const RESTART_INTERVAL: Duration = Duration::from_millis(600);
/// Upper bound (exclusive) of the duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 2_500;
/// Range from which the silence of a sound server is drawn, in milliseconds.
const SILENCE_MS: Range<u64> = 600..1_400;
/// Number of kinds of faults in all soaks.
const FAULT_KINDS: u32 = 12;
/// Number of further choices in soaks with two versions.
const VERSION_KINDS: u32 = 6;
/// Number of further choices in soaks with silent servers.
const SILENCE_KINDS: u32 = 10;

/// Time that a daemon has for its graceful shutdown before it is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(7_500);

/// Action that ends a fault; numbers are indices of servers or daemons.
#[derive(Clone, Copy, Debug)]
enum FaultEnd {
    Network(usize),
    Resume(usize),
    Restart(usize),
    Replacement {
        server: usize,
        version: &'static str,
        keeps_id: bool,
    },
    /// Starts a daemon again that got SIGTERM; kills it first if it still runs.
    StartAfterShutdown(usize),
    Store,
}

/// Injects faults, several of them at the same time, and restarts crashed servers for the time in the
/// options; ends all faults before it returns.
pub(super) fn run_faults(
    deployment: &mut SoakDeployment,
    random: &mut SmallRng,
    options: &SoakOptions,
    checker: &InvariantChecker,
) {
    let until = Instant::now() + options.faults_for;
    let mut pending_ends: Vec<(Instant, FaultEnd)> = Vec::new();
    while Instant::now() < until {
        let pause = random.random_range(MIN_FAULT_INTERVAL..options.max_fault_interval);
        let fault_at = Instant::now() + pause;
        while Instant::now() < fault_at {
            deployment.restart_crashed_servers();
            thread::sleep(fault_at.saturating_duration_since(Instant::now()).min(RESTART_INTERVAL));
        }
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) =
            pending_ends.into_iter().partition(|(at, _)| *at <= now);
        pending_ends = later;
        due.into_iter().for_each(|(_, end)| end_fault(deployment, end));
        let duration = Duration::from_millis(random.random_range(200..MAX_FAULT_MS));
        if let Some((name, end)) = begin_fault(deployment, random, options, checker) {
            let duration = if matches!(end, Some(FaultEnd::StartAfterShutdown(_))) {
                SHUTDOWN_TIMEOUT
            } else {
                duration
            };
            checker.record_fault(format!("{name} for {} ms", duration.as_millis()));
            pending_ends.extend(end.map(|end| (now + duration, end)));
        }
    }
    pending_ends.into_iter().for_each(|(_, end)| end_fault(deployment, end));
}

/// Begins a random fault; returns its description and what ends it (`None` if nothing has to), or `None`
/// if the chosen fault is not possible now.
fn begin_fault(
    deployment: &mut SoakDeployment,
    random: &mut SmallRng,
    options: &SoakOptions,
    checker: &InvariantChecker,
) -> Option<(String, Option<FaultEnd>)> {
    let server = random.random_range(0..deployment.fleet.servers.len());
    let daemon = random.random_range(0..deployment.fleet.daemons.len());
    let network = |deployment: &SoakDeployment, plan: String| {
        if deployment.is_direct(server) {
            return None;
        }
        deployment.set_fault_plan(server, &plan);
        Some((format!("network of server {server}: {plan}"), Some(FaultEnd::Network(server))))
    };
    let first_replacement = FAULT_KINDS + if options.has_silence { SILENCE_KINDS } else { 0 };
    let kinds = first_replacement + if options.has_versions { VERSION_KINDS } else { 0 };
    match random.random_range(0..kinds) {
        kind if kind >= first_replacement => {
            let version = VERSIONS[random.random_range(0..VERSIONS.len())];
            let keeps_id = random.random_range(0..3) == 0;
            let end = FaultEnd::Replacement { server, version, keeps_id };
            let what = format!("server {server} replaced by {version}, keeps its id: {keeps_id},");
            deployment.begin_replacement(server).then_some((what, Some(end)))
        }
        0 => network(deployment, "refuse=1".to_owned()),
        1 => {
            let stalls = ["stall", "stall_up", "stall_down"];
            network(deployment, format!("{}=1", stalls[random.random_range(0..stalls.len())]))
        }
        2 => network(deployment, format!("delay_ms={}", random.random_range(5..120))),
        3 => network(deployment, format!("cut_down={}", random.random_range(1..900))),
        4 => network(deployment, format!("cut_up={}", random.random_range(1..400))),
        5 if deployment.fleet.daemons[daemon].process.is_running() => {
            deployment.disruptions[daemon].set_disrupted(true);
            deployment.fleet.daemons[daemon].process.pause();
            Some((format!("daemon {daemon} paused"), Some(FaultEnd::Resume(daemon))))
        }
        6 => {
            deployment.kill(daemon);
            Some((format!("daemon {daemon} killed"), Some(FaultEnd::Restart(daemon))))
        }
        7 if deployment.fleet.daemons[daemon].process.is_running() => {
            deployment.fleet.daemons[daemon].process.signal(Signal::TERM);
            Some((format!("daemon {daemon} shut down"), Some(FaultEnd::StartAfterShutdown(daemon))))
        }
        8 if deployment.fleet.daemons[daemon].process.is_running() => {
            deployment.fleet.daemons[daemon].process.signal(Signal::HUP);
            Some((format!("daemon {daemon} reloaded"), None))
        }
        9 => {
            let status = [429, 503][random.random_range(0..2)];
            deployment.fleet.store.set_failure(Some(status));
            deployment.store_disruption.set_disrupted(true);
            Some((format!("store responds with status {status}"), Some(FaultEnd::Store)))
        }
        10 => {
            deployment.fleet.store.compact();
            deployment.publish_next();
            Some(("store drops its history, next configuration published".to_owned(), None))
        }
        // At most a third of the servers, rounded up, drain in one soak.
        11 if deployment.draining_servers.len() * 3 < deployment.fleet.servers.len()
            && !deployment.draining_servers.contains(&server) =>
        {
            deployment.draining_servers.push(server);
            deployment.register(server, "draining");
            Some((format!("server {server} drains"), None))
        }
        12..=15 => begin_silence(deployment, random, server..server + 1, checker),
        16..=19 => {
            let all = 0..deployment.fleet.servers.len();
            begin_silence(deployment, random, all, checker)
        }
        20 | 21 => {
            deployment.publish_next();
            Some(("next configuration published".to_owned(), None))
        }
        _ => None,
    }
}

/// Makes servers silent, which ends by itself.
fn begin_silence(
    deployment: &mut SoakDeployment,
    random: &mut SmallRng,
    servers: Range<usize>,
    checker: &InvariantChecker,
) -> Option<(String, Option<FaultEnd>)> {
    let time = Duration::from_millis(random.random_range(SILENCE_MS));
    let kind = match random.random_range(0..2) {
        0 => SilenceKind::AcceptsConnections,
        _ => SilenceKind::AcceptsNothing,
    };
    let silent: Vec<_> =
        servers.filter(|server| deployment.pause_server(*server, time, kind)).collect();
    checker.record_silences(silent.len());
    let what = format!("servers {silent:?} silent for {} ms, {kind:?}", time.as_millis());
    (!silent.is_empty()).then_some((what, None))
}

fn end_fault(deployment: &mut SoakDeployment, end: FaultEnd) {
    match end {
        FaultEnd::Network(server) => deployment.set_fault_plan(server, SOUND_NETWORK),
        FaultEnd::Resume(daemon) => {
            if deployment.fleet.daemons[daemon].process.is_running() {
                deployment.fleet.daemons[daemon].process.resume();
            }
            deployment.disruptions[daemon].set_disrupted(false);
        }
        FaultEnd::Restart(daemon) | FaultEnd::StartAfterShutdown(daemon) => {
            deployment.restart(daemon)
        }
        FaultEnd::Replacement { server, version, keeps_id } => {
            deployment.end_replacement(server, version, keeps_id);
        }
        FaultEnd::Store => {
            deployment.fleet.store.set_failure(None);
            deployment.store_disruption.set_disrupted(false);
        }
    }
}
