//! Computes the creation time from which a holder may grant keys after a restart or roster change.

use std::collections::BTreeMap;

use crate::claims::HolderSet;
use crate::claims::holders_of;
use crate::claims::older_epochs;
use crate::clock::WallTime;
use crate::config::RosterSection;
use crate::ident::DaemonName;

/// The roster epochs that daemons have reported since this process started, with the times of the
/// reports.
///
/// Only replies to queries of this process may be recorded: a message that was sent before the
/// start does not show which epoch its sender had reached after it.
#[derive(Clone, Debug)]
pub struct EpochTracker {
    own_name: DaemonName,
    started_at: WallTime,
    /// Epochs in rising order, each with the time of its first report.
    reports_by_daemon: BTreeMap<DaemonName, Vec<(u64, WallTime)>>,
}

impl EpochTracker {
    /// An empty tracker for the daemon `own_name`, which started at `started_at`.
    pub fn new(own_name: DaemonName, started_at: WallTime) -> Self {
        Self { own_name, started_at, reports_by_daemon: BTreeMap::new() }
    }

    /// Records that a daemon has reported an epoch, unless it has reported one as high before.
    pub fn record(&mut self, name: &DaemonName, epoch: u64, now: WallTime) {
        let reports = self.reports_by_daemon.entry(name.clone()).or_default();
        if reports.last().is_none_or(|(known, _)| epoch > *known) {
            reports.push((epoch, now));
        }
    }

    /// Whether any daemon has reported an epoch above `epoch`.
    pub fn has_epoch_above(&self, epoch: u64) -> bool {
        self.reports_by_daemon.values().flatten().any(|(reported, _)| *reported > epoch)
    }

    /// Whether `name` has reported `epoch` or a later one.
    pub fn has_reached(&self, name: &DaemonName, epoch: u64) -> bool {
        self.reports_by_daemon
            .get(name)
            .is_some_and(|reports| reports.iter().any(|(known, _)| *known >= epoch))
    }

    /// The creation time above which this daemon may grant the key with `key_hash`, without
    /// allowance for clock error, or `None` while it may not grant it at all.
    ///
    /// - The previous process granted only keys that were created before this process started. A
    ///   stale configuration must not undo a move to a later epoch, so enough other holders must
    ///   have reported their epochs to this process to intersect any majority that counted the
    ///   previous one.
    /// - Grants under an earlier roster were made before a majority of the key's holders in that
    ///   roster had moved to a later epoch.
    pub fn ready_from(&self, roster: &RosterSection, key_hash: u64) -> Option<WallTime> {
        let current = holders_of(roster, roster.epoch, key_hash);
        let mut ready_from = self.started_at;
        // Any set of this many holders intersects every majority.
        let needed_others = current.names().len() - (current.majority() - 1);
        let others = current.names().iter().filter(|name| **name != self.own_name);
        let recovered_at =
            self.reached_at(others, 0, needed_others.min(current.names().len() - 1))?;
        ready_from = ready_from.max(recovered_at);
        for epoch in older_epochs(roster) {
            let previous: HolderSet = holders_of(roster, epoch, key_hash);
            if previous.names().is_empty() || previous.is_same(&current) {
                continue;
            }
            let moved_at =
                self.reached_at(previous.names().iter(), epoch + 1, previous.majority())?;
            ready_from = ready_from.max(moved_at);
        }
        Some(ready_from)
    }

    /// The time at which `count` of the daemons had reported `epoch` or a later one.
    fn reached_at<'a, I>(&self, names: I, epoch: u64, count: usize) -> Option<WallTime>
    where
        I: Iterator<Item = &'a DaemonName>,
    {
        if count == 0 {
            return Some(self.started_at);
        }
        let mut times: Vec<WallTime> = names
            .filter_map(|name| {
                let reports = self.reports_by_daemon.get(name)?;
                reports.iter().find(|(reported, _)| *reported >= epoch).map(|(_, at)| *at)
            })
            .collect();
        times.sort_unstable();
        times.get(count - 1).copied()
    }
}
