//! Random faults of a soak, determined by its seed.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use crate::soak::ledger::RunLedger;
use crate::soak::world::SoakWorld;

/// Time between the beginnings of faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 60..500;
/// Upper bound of the duration of a fault, in milliseconds.
const MAX_LENGTH_MS: u64 = 2_500;

/// Time that a daemon has for its graceful shutdown before it is killed.
const STOP_WAIT: Duration = Duration::from_millis(7_500);

/// Action that ends a fault; numbers are indices of servers or daemons.
#[derive(Clone, Copy, Debug)]
enum FaultEnd {
    Network(usize),
    Wake(usize),
    Restart(usize),
    /// Restarts a daemon that was told to shut down.
    Start(usize),
    Store,
}

/// Injects faults, several of them at the same time, until `until`; ends them all before it returns.
pub(super) fn run_faults(
    world: &mut SoakWorld,
    random: &mut SmallRng,
    until: Instant,
    ledger: &RunLedger,
) {
    let mut ends: Vec<(Instant, FaultEnd)> = Vec::new();
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(random.random_range(GAP_MS)));
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(at, _)| *at <= now);
        ends = later;
        due.into_iter().for_each(|(_, end)| end_fault(world, end));
        let length = Duration::from_millis(random.random_range(200..MAX_LENGTH_MS));
        if let Some((name, end)) = begin_fault(world, random) {
            let length = if matches!(end, Some(FaultEnd::Start(_))) { STOP_WAIT } else { length };
            ledger.note_fault(format!("{name} for {} ms", length.as_millis()));
            ends.extend(end.map(|end| (now + length, end)));
        }
    }
    ends.into_iter().for_each(|(_, end)| end_fault(world, end));
}

fn begin_fault(world: &mut SoakWorld, random: &mut SmallRng) -> Option<(String, Option<FaultEnd>)> {
    let server = random.random_range(0..world.fleet.servers.len());
    let daemon = random.random_range(0..world.fleet.daemons.len());
    let network = |world: &SoakWorld, plan: String| {
        world.plan(server, &plan);
        Some((format!("network of server {server}: {plan}"), Some(FaultEnd::Network(server))))
    };
    match random.random_range(0..12) {
        0 => network(world, "refuse=1".to_owned()),
        1 => {
            let ways = ["stall", "stall_up", "stall_down"];
            network(world, format!("{}=1", ways[random.random_range(0..ways.len())]))
        }
        2 => network(world, format!("delay_ms={}", random.random_range(5..120))),
        3 => network(world, format!("cut_down={}", random.random_range(1..900))),
        4 => network(world, format!("cut_up={}", random.random_range(1..400))),
        5 if world.fleet.daemons[daemon].process.is_running() => {
            world.health[daemon].set_ill(true);
            world.fleet.daemons[daemon].process.freeze();
            Some((format!("daemon {daemon} paused"), Some(FaultEnd::Wake(daemon))))
        }
        6 => {
            world.health[daemon].note_death();
            world.fleet.daemons[daemon].process.kill();
            Some((format!("daemon {daemon} killed"), Some(FaultEnd::Restart(daemon))))
        }
        7 if world.fleet.daemons[daemon].process.is_running() => {
            world.fleet.daemons[daemon].process.signal(Signal::TERM);
            Some((format!("daemon {daemon} shut down"), Some(FaultEnd::Start(daemon))))
        }
        8 if world.fleet.daemons[daemon].process.is_running() => {
            world.fleet.daemons[daemon].process.signal(Signal::HUP);
            Some((format!("daemon {daemon} reloaded"), None))
        }
        9 => {
            let status = [429, 503][random.random_range(0..2)];
            world.fleet.store.refuse(Some(status));
            Some((format!("store responds with status {status}"), Some(FaultEnd::Store)))
        }
        10 => {
            world.fleet.store.drop_history();
            world.publish_next();
            Some(("store drops its history, next configuration published".to_owned(), None))
        }
        // At most a third of the servers, rounded up, drain in one soak.
        11 if world.leavers.len() * 3 < world.fleet.servers.len()
            && !world.leavers.contains(&server) =>
        {
            world.leavers.push(server);
            world.register(server, "draining");
            Some((format!("server {server} drains"), None))
        }
        _ => None,
    }
}

fn end_fault(world: &mut SoakWorld, end: FaultEnd) {
    match end {
        FaultEnd::Network(server) => world.plan(server, "delay_ms=0"),
        FaultEnd::Wake(daemon) => {
            if world.fleet.daemons[daemon].process.is_running() {
                world.fleet.daemons[daemon].process.wake();
            }
            world.health[daemon].set_ill(false);
        }
        FaultEnd::Restart(daemon) | FaultEnd::Start(daemon) => world.restart(daemon),
        FaultEnd::Store => world.fleet.store.refuse(None),
    }
}
