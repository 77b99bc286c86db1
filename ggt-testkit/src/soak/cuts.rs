//! Daemons that are cut off from all servers, and the check that their callers are served meanwhile.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use ggt_standin::server::lock;

use crate::soak::disruption::DisruptionState;
use crate::soak::invariants::InvariantChecker;

/// Time after the beginning of a cut from which on callers must be served (the users' `StableMs`), and
/// for which a daemon must have been undisturbed for its callers' tries to count.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Number of failed tries that are allowed at the cut daemons.
const ALLOWED_FAILURES: usize = 10;
/// One in so many of all tries may fail in addition.
const ALLOWED_SHARE: usize = 50;

/// Where a caller's try counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrySide {
    /// At a daemon that has been cut off for long, while another one reaches all servers.
    Cut,
    /// At a daemon that reaches all servers, while another one counts as cut off.
    Other,
}

/// Tries of callers, and those that were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TryCounts {
    /// Tries that were served.
    pub served: usize,
    /// All tries.
    pub sent: usize,
}

impl TryCounts {
    fn add(&mut self, is_served: bool) {
        self.served += usize::from(is_served);
        self.sent += 1;
    }

    /// Adds other counts.
    pub fn merge(&mut self, other: Self) {
        self.served += other.served;
        self.sent += other.sent;
    }

    fn failed(self) -> usize {
        self.sent - self.served
    }
}

/// Tries at cut daemons and at the others, from the first of overlapping cuts to the end of the last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CutCounts {
    /// First tries at cut daemons.
    pub cut: TryCounts,
    /// First tries at the others meanwhile.
    pub others: TryCounts,
}

impl CutCounts {
    /// Whether callers at cut daemons were served less than two thirds as often as the others'.
    fn is_too_low(self) -> bool {
        let Self { cut, others } = self;
        let allowed = ALLOWED_FAILURES + (cut.sent + others.sent) / ALLOWED_SHARE;
        cut.failed() > allowed && 3 * cut.served * others.sent < 2 * others.served * cut.sent
    }
}

/// How a daemon stands to the servers.
#[derive(Clone, Copy, Debug, Default)]
struct DaemonReach {
    is_cut: bool,
    /// Whether it shuts down.
    is_leaving: bool,
    /// When the last cut or shutdown began or ended.
    changed_at: Option<Instant>,
}

impl DaemonReach {
    fn has_been(self, is_cut: bool) -> bool {
        let is_settled = self.changed_at.is_none_or(|at| at.elapsed() >= STABLE_TIME);
        self.is_cut == is_cut && !self.is_leaving && is_settled
    }
}

#[derive(Debug, Default)]
struct CutState {
    daemons: Vec<DaemonReach>,
    counts: CutCounts,
    /// When the last cut began.
    begun_at: Option<Instant>,
}

/// The daemons that are cut off from all servers, and what became of their callers' tries.
#[derive(Debug)]
pub(super) struct CutLog {
    state: Mutex<CutState>,
    daemons: Vec<Arc<DisruptionState>>,
    servers: Vec<Arc<DisruptionState>>,
}

impl CutLog {
    pub(super) fn new(daemons: &[Arc<DisruptionState>], servers: &[Arc<DisruptionState>]) -> Self {
        let reaches = vec![DaemonReach::default(); daemons.len()];
        let state = CutState { daemons: reaches, ..CutState::default() };
        Self { state: Mutex::new(state), daemons: daemons.to_vec(), servers: servers.to_vec() }
    }

    /// Whether a daemon is cut off.
    pub(super) fn is_cut(&self, daemon: usize) -> bool {
        lock(&self.state).daemons[daemon].is_cut
    }

    /// Whether a cut of any daemon has begun since this time.
    pub(super) fn has_begun_since(&self, time: Instant) -> bool {
        lock(&self.state).begun_at.is_some_and(|begun_at| begun_at >= time)
    }

    /// Records that a daemon begins or ends to shut down.
    pub(super) fn set_leaving(&self, daemon: usize, is_leaving: bool) {
        let reach = &mut lock(&self.state).daemons[daemon];
        (reach.is_leaving, reach.changed_at) = (is_leaving, Some(Instant::now()));
    }

    /// Records that cuts begin.
    pub(super) fn begin(&self, daemons: &[usize]) {
        lock(&self.state).begun_at = Some(Instant::now());
        self.set_cut(daemons, true);
    }

    /// Records that cuts end; checks the tries since the first of them when no other one goes on.
    pub(super) fn end(&self, daemons: &[usize], checker: &InvariantChecker) {
        self.set_cut(daemons, false);
        let mut state = lock(&self.state);
        if state.daemons.iter().any(|reach| reach.is_cut) {
            return;
        }
        let counts = std::mem::take(&mut state.counts);
        checker.record_cut_counts(counts);
        if counts.is_too_low() {
            checker.record_violation(format!(
                "callers at daemons that are cut off were served too seldom: {counts:?}"
            ));
        }
    }

    fn set_cut(&self, daemons: &[usize], is_cut: bool) {
        let mut state = lock(&self.state);
        for daemon in daemons {
            let reach = &mut state.daemons[*daemon];
            (reach.is_cut, reach.changed_at) = (is_cut, Some(Instant::now()));
        }
    }

    /// Where a try at a daemon counts now; `None` if it does not. A try counts if this is the same when
    /// it begins and when it ends.
    pub(super) fn side_of(&self, daemon: usize) -> Option<TrySide> {
        if self.servers.iter().any(|server| server.stable_version().is_none()) {
            return None;
        }
        let state = lock(&self.state);
        let sides: Vec<_> = state.daemons.iter().zip(&self.daemons).map(side_in_fleet).collect();
        let has = |side: TrySide| sides.contains(&Some(side));
        sides[daemon].filter(|_| has(TrySide::Cut) && has(TrySide::Other))
    }

    /// Counts a try that began on this side, if it ended there too.
    pub(super) fn record_try(&self, daemon: usize, side: Option<TrySide>, is_served: bool) {
        let side = side.filter(|side| self.side_of(daemon) == Some(*side));
        let counts = &mut lock(&self.state).counts;
        match side {
            Some(TrySide::Cut) => counts.cut.add(is_served),
            Some(TrySide::Other) => counts.others.add(is_served),
            None => {}
        }
    }
}

/// The side of a daemon if there are daemons on both; `None` if it is disrupted or just was.
fn side_in_fleet((reach, disruption): (&DaemonReach, &Arc<DisruptionState>)) -> Option<TrySide> {
    let sides = [(true, TrySide::Cut), (false, TrySide::Other)];
    let side = sides.into_iter().find(|(is_cut, _)| reach.has_been(*is_cut)).map(|(_, side)| side);
    side.filter(|_| disruption.is_stable_for(STABLE_TIME))
}
