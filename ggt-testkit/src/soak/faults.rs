//! Random faults of a soak, determined by its seed.

use std::ops::Range;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use ggt_standin::users_platform::LinkKind;
use ggt_standin::users_platform::SilenceKind;
use ggt_standin::users_platform::StoreStandin;

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
/// Number of further choices in soaks with cuts.
const CUT_KINDS: u32 = 16;
/// Range from which the time of a cut is drawn, in milliseconds.
const CUT_MS: Range<u64> = 1_000..6_000;
/// One in so many cuts may leave no daemon connected.
const TOTAL_CUT_SHARE: u32 = 8;
/// Ways in which daemons are cut off.
const CUT_LINKS: [LinkKind; 3] = [LinkKind::Reset, LinkKind::Hang, LinkKind::RefuseNew];
/// Number of further choices in soaks with silent servers.
const SILENCE_KINDS: u32 = 10;

/// Time that a daemon has for its graceful shutdown before it is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(7_500);

/// Action that ends a fault; numbers are indices of servers or daemons.
#[derive(Clone, Debug)]
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
    Cut {
        daemons: Vec<usize>,
        time: Duration,
    },
}

/// Injects faults, several of them at the same time, and restarts crashed servers for the time in the
/// options; ends all faults before it returns.
pub(super) fn run_faults(
    deployment: &mut SoakDeployment,
    random: &mut SmallRng,
    options: &SoakOptions,
    checker: &InvariantChecker,
) {
    let started_at = Instant::now();
    let until = started_at + options.faults_for;
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
            let duration = match end {
                Some(FaultEnd::StartAfterShutdown(_)) => SHUTDOWN_TIMEOUT,
                Some(FaultEnd::Cut { time, .. }) => time,
                _ => duration,
            };
            let at_ms = (now - started_at).as_millis();
            checker.record_fault(format!("{at_ms} ms: {name} for {} ms", duration.as_millis()));
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
    let first_cut = first_replacement + if options.has_versions { VERSION_KINDS } else { 0 };
    let kinds = first_cut + if options.has_cuts { CUT_KINDS } else { 0 };
    match random.random_range(0..kinds) {
        kind if kind >= first_cut => match kind - first_cut {
            0 => {
                deployment.crash_server(server).then(|| (format!("server {server} crashed"), None))
            }
            1 | 2 => {
                deployment.publish_next();
                Some(("next configuration published".to_owned(), None))
            }
            _ => begin_cut(deployment, random),
        },
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
            deployment.shut_down(daemon);
            Some((format!("daemon {daemon} shut down"), Some(FaultEnd::StartAfterShutdown(daemon))))
        }
        8 if deployment.fleet.daemons[daemon].process.is_running() => {
            deployment.fleet.daemons[daemon].process.signal(Signal::HUP);
            Some((format!("daemon {daemon} reloaded"), None))
        }
        // Daemons whose stores fail would read the links of other daemons; with changes, the store's outages are
        // those of their check.
        9 if !options.has_cuts && !options.has_changes => {
            let status = [429, 503][random.random_range(0..2)];
            deployment.set_store_failure(Some(status));
            Some((format!("store responds with status {status}"), Some(FaultEnd::Store)))
        }
        10 => {
            deployment.fleet.stores().for_each(StoreStandin::compact);
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

/// Cuts daemons that are not cut off yet from all servers: one, several, all but one, or those of a data
/// centre. One stays connected, but for one time in `TOTAL_CUT_SHARE`.
fn begin_cut(
    deployment: &SoakDeployment,
    random: &mut SmallRng,
) -> Option<(String, Option<FaultEnd>)> {
    let count = deployment.fleet.daemons.len();
    let first = random.random_range(0..count);
    let several = random.random_range(1..count);
    let cut_count = [1, 1, 1, several, count - 1, count][random.random_range(0..6)];
    let centre = deployment.fleet.data_centre(first);
    let is_chosen = |daemon: &usize| match cut_count == count {
        true => deployment.fleet.data_centre(*daemon) == centre,
        false => (daemon + count - first) % count < cut_count,
    };
    let (mut daemons, connected): (Vec<_>, Vec<_>) =
        (0..count).filter(|daemon| !deployment.cut_log.is_cut(*daemon)).partition(is_chosen);
    let is_total = random.random_range(0..TOTAL_CUT_SHARE) == 0;
    if connected.is_empty() && !is_total {
        daemons.pop();
    }
    let kind = CUT_LINKS[random.random_range(0..CUT_LINKS.len())];
    let time = Duration::from_millis(random.random_range(CUT_MS));
    if daemons.is_empty() {
        return None;
    }
    deployment.cut(&daemons, kind);
    let what = format!("daemons {daemons:?} cut off from all servers, {kind:?},");
    Some((what, Some(FaultEnd::Cut { daemons, time })))
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
        FaultEnd::Store => deployment.set_store_failure(None),
        FaultEnd::Cut { daemons, .. } => deployment.end_cut(&daemons),
    }
}
