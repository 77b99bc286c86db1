//! A randomized soak test of daemon processes: faults are injected from outside, also several at once, and
//! the guarantees to callers are checked against what callers and servers observe.

mod caller;
mod changes;
mod crashing;
mod cuts;
mod deployment;
mod disruption;
mod evacuations;
mod faults;
mod invariants;
mod limits;
mod versions;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::soak::caller::CallerContext;
use crate::soak::caller::run_caller;
use crate::soak::changes::ChangeContext;
use crate::soak::changes::run_changes;
use crate::soak::crashing::run_crashing_caller;
pub use crate::soak::cuts::CutCounts;
pub use crate::soak::cuts::TryCounts;
use crate::soak::deployment::SoakDeployment;
use crate::soak::faults::run_faults;
use crate::soak::invariants::InvariantChecker;
use crate::soak::limits::run_limits;

/// Size, duration and seed of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Seed of the faults and of the callers' requests.
    pub seed: u64,
    /// Time during which faults are injected.
    pub faults_for: Duration,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of servers.
    pub servers: usize,
    /// Number of callers, each with its own keep-alive connection.
    pub callers: usize,
    /// Whether one more caller repeats requests that crash the servers which run them.
    pub has_crashing_caller: bool,
    /// Whether servers name limits of the requests that they take, which change all the time.
    pub has_limits: bool,
    /// Whether sound servers fall silent for a second or so and continue; every other server is then
    /// reached without the fault proxy.
    pub has_silence: bool,
    /// Whether daemons are cut off from all servers, each by links of its own, while the others and
    /// callers reach them.
    pub has_cuts: bool,
    /// Whether servers run two versions, are replaced back and forth between them, and callers take
    /// up `chat` streams that ended early.
    pub has_versions: bool,
    /// Whether the store fails again and again, with changes of the configuration around, and daemons are
    /// checked to obey these in time.
    pub has_changes: bool,
    /// Whether data centres are evacuated, and daemons are checked to send nothing there.
    pub has_evacuations: bool,
    /// Upper bound (exclusive) of the pause before each fault.
    pub max_fault_interval: Duration,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            faults_for: Duration::from_secs(8),
            daemons: 4,
            servers: 6,
            callers: 12,
            has_crashing_caller: false,
            has_limits: false,
            has_silence: false,
            has_cuts: false,
            has_versions: false,
            has_changes: false,
            has_evacuations: false,
            max_fault_interval: Duration::from_millis(500),
        }
    }
}

/// Counts, faults and violations of a soak.
#[derive(Clone, Debug, Default)]
pub struct SoakOutcome {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that got a complete response with status 200.
    pub answered: usize,
    /// Crashes of servers by crashing requests.
    pub crashes: usize,
    /// Calls that crashed a server long after the third crash of their request.
    pub late_calls: usize,
    /// Requests that were counted against the limit that their server had named.
    pub limited_requests: usize,
    /// Requests that checked whether a daemon obeyed the newest configuration.
    pub change_checks: usize,
    /// New streams whose callers saw them begin, and all, at undisrupted daemons.
    pub new_streams: (usize, usize),
    /// Streams taken up that went on, and all, at undisrupted daemons while two servers of their
    /// version served.
    pub taken_up_streams: (usize, usize),
    /// Callers' first tries at daemons that were cut off and at the others meanwhile.
    pub cut_counts: CutCounts,
    /// Entries of servers that daemons with links of their own read from other daemons, because these were
    /// faster than the store; they then share a link, and its cuts.
    pub foreign_links: usize,
    /// Silences of servers.
    pub silences: usize,
    /// Requests that a daemon had read, not killed later, without exactly one line about their end.
    pub miscounted_ends: usize,
    /// Descriptions of the injected faults, in order.
    pub faults: Vec<String>,
    /// Violated guarantees, each with the observation that shows it.
    pub violations: Vec<String>,
}

/// Runs one soak.
///
/// # Panics
/// When the deployment does not start, or does not serve requests again after the last fault.
pub fn run_soak(options: &SoakOptions) -> SoakOutcome {
    let checker = Arc::new(InvariantChecker::default());
    let mut deployment = SoakDeployment::start(options, &checker);
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..options.callers)
        .map(|number| {
            let context = CallerContext {
                number,
                seed: options.seed.wrapping_mul(1_000).wrapping_add(number as u64),
                daemons: deployment.callers(),
                servers: deployment.server_disruptions.clone(),
                serving: deployment.serving.clone(),
                crash_log: deployment.crash_log.clone(),
                cut_log: deployment.cut_log.clone(),
                checker: checker.clone(),
                is_over: is_over.clone(),
                options: *options,
            };
            thread::spawn(move || run_caller(&context))
        })
        .collect();
    let are_faults_over = Arc::new(AtomicBool::new(false));
    let crashing_caller = options.has_crashing_caller.then(|| {
        let (checker, is_over) = (checker.clone(), are_faults_over.clone());
        let (daemons, log) = (deployment.callers(), deployment.crash_log.clone());
        let (seed, store) = (options.seed, deployment.store_disruption.clone());
        thread::spawn(move || {
            run_crashing_caller(seed, &daemons, &store, &log, &checker, &is_over);
        })
    });
    let changes = options.has_changes.then(|| {
        let context = ChangeContext {
            seed: options.seed,
            store: deployment.fleet.store.clone(),
            store_disruption: deployment.store_disruption.clone(),
            daemons: deployment.callers(),
            log: deployment.change_log.clone(),
            checker: checker.clone(),
            is_over: are_faults_over.clone(),
        };
        thread::spawn(move || run_changes(&context))
    });
    let limits = options.has_limits.then(|| {
        let (seed, is_over) = (options.seed, are_faults_over.clone());
        let limits = deployment.limits.clone();
        thread::spawn(move || run_limits(seed, &limits, &is_over))
    });
    let evacuations = options.has_evacuations.then(|| {
        let (seed, is_over) = (options.seed, are_faults_over.clone());
        let (store, checker) = (deployment.fleet.store.clone(), checker.clone());
        let log = deployment.evacuation_log.clone();
        thread::spawn(move || log.run(seed, &store, &checker, &is_over))
    });
    let mut random = SmallRng::seed_from_u64(options.seed);
    run_faults(&mut deployment, &mut random, options, &checker);
    are_faults_over.store(true, Ordering::SeqCst);
    let helpers = crashing_caller.into_iter().chain(limits).chain(changes).chain(evacuations);
    join_callers(helpers, &checker);
    deployment.heal();
    deployment.await_service(&checker);
    is_over.store(true, Ordering::SeqCst);
    join_callers(callers, &checker);
    deployment.check_draining_servers(&checker);
    checker.check_ends(&deployment.disruptions, &deployment.log_book);
    checker.check_cut_streams(&deployment.log_book);
    if options.has_cuts {
        checker.record_foreign_links(&deployment.log_book);
    }
    checker.outcome()
}

fn join_callers<C>(callers: C, checker: &InvariantChecker)
where
    C: IntoIterator<Item = JoinHandle<()>>,
{
    for caller in callers {
        if caller.join().is_err() {
            checker.record_violation("a caller thread panicked".to_owned());
        }
    }
}
