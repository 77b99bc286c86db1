//! Which part of a soak's deployment is disrupted, and since when.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use ggt_standin::server::lock;

/// Whether a daemon is paused or killed, so that requests it has read may be interrupted; also
/// whether the store fails, and whether a server is down or its network impaired.
#[derive(Debug, Default)]
pub(super) struct DisruptionState {
    /// Incremented when a disruption begins and when it ends; odd during a disruption.
    transitions: AtomicUsize,
    /// When the last disruption began or ended.
    changed_at: Mutex<Option<Instant>>,
    /// Number of times that the daemon was killed.
    kills: AtomicUsize,
    /// Kill counts at which the daemon still ran when it was killed.
    killed_at_work: Mutex<BTreeSet<usize>>,
}

impl DisruptionState {
    /// Records the beginning or the end of a disruption.
    pub(super) fn set_disrupted(&self, is_disrupted: bool) {
        let differs = |transitions: usize| (transitions % 2 == 1) != is_disrupted;
        let change = |transitions| differs(transitions).then_some(transitions + 1);
        // An error means that the state is the requested one already.
        let _ = self.transitions.fetch_update(Ordering::SeqCst, Ordering::SeqCst, change);
        *lock(&self.changed_at) = Some(Instant::now());
    }

    /// Whether there has been no disruption for this time.
    pub(super) fn is_stable_for(&self, time: Duration) -> bool {
        let changed_at = *lock(&self.changed_at);
        self.stable_version().is_some() && changed_at.is_none_or(|at| at.elapsed() >= time)
    }

    /// Records that the daemon is killed, which breaks all its connections if it still ran.
    pub(super) fn record_kill(&self, was_running: bool) {
        self.set_disrupted(true);
        let count = self.kills.fetch_add(1, Ordering::SeqCst);
        if was_running {
            lock(&self.killed_at_work).insert(count);
        }
    }

    /// Whether the process that had this kill count was killed rather than ended by itself.
    pub(super) fn was_killed(&self, kill_count: usize) -> bool {
        lock(&self.killed_at_work).contains(&kill_count)
    }

    /// Number of times that the daemon was killed; unchanged as long as its process is the same.
    pub(super) fn kill_count(&self) -> usize {
        self.kills.load(Ordering::SeqCst)
    }

    /// Number of disruptions begun and ended, to compare with a later value; `None` during a disruption.
    pub(super) fn stable_version(&self) -> Option<usize> {
        let transitions = self.transitions.load(Ordering::SeqCst);
        transitions.is_multiple_of(2).then_some(transitions)
    }
}
