//! A randomized soak of real daemons: faults come from outside them, in series that overlap, and the
//! promises are checked from what callers and servers see.

mod caller;
mod faults;
mod ledger;
mod world;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::soak::caller::run_caller;
use crate::soak::faults::run_faults;
use crate::soak::ledger::RunLedger;
use crate::soak::world::SoakWorld;

/// How large a soak is and how long it lasts.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Decides all faults.
    pub seed: u64,
    /// Time in which faults come.
    pub faults_for: Duration,
    /// Daemons.
    pub daemons: usize,
    /// Servers.
    pub servers: usize,
    /// Callers, each with a connection of its own that it keeps open.
    pub callers: usize,
}

/// What a soak has seen.
#[derive(Clone, Debug, Default)]
pub struct SoakOutcome {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests answered with success.
    pub answered: usize,
    /// Faults that were injected, in order.
    pub faults: Vec<String>,
    /// Promises that were broken, each with what showed it.
    pub broken: Vec<String>,
}

/// Runs one soak.
///
/// # Panics
/// When the deployment does not start or does not come back after the last fault.
pub fn run_soak(options: &SoakOptions) -> SoakOutcome {
    let ledger = Arc::new(RunLedger::default());
    let mut world = SoakWorld::start(options, &ledger);
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..options.callers)
        .map(|number| {
            let (ledger, is_over) = (ledger.clone(), is_over.clone());
            let daemons = world.callers();
            let seed = options.seed.wrapping_mul(1_000).wrapping_add(number as u64);
            thread::spawn(move || run_caller(number, seed, &daemons, &ledger, &is_over))
        })
        .collect();
    let mut random = SmallRng::seed_from_u64(options.seed);
    let until = Instant::now() + options.faults_for;
    run_faults(&mut world, &mut random, until, &ledger);
    world.heal();
    world.await_served(&ledger);
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        if caller.join().is_err() {
            ledger.note_broken("a caller's thread failed".to_owned());
        }
    }
    world.check_leavers(&ledger);
    ledger.outcome()
}
