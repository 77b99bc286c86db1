//! Table of the targets, which tracks their states and chooses among them.

mod health;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::MonoTime;
use crate::hosts::HostEntry;
use crate::hosts::HostList;
use crate::hosts::HostState;
use crate::ident::CentreName;
use crate::ident::TargetName;
use crate::ident::WorkloadName;
use crate::ident::stable_hash;
use crate::routing::ChoiceReason;
use crate::routing::ChosenTarget;
use crate::routing::HoldDown;
use crate::routing::LoadEstimate;
use crate::routing::LoadReport;
use crate::routing::RouteQuery;
use crate::routing::RouteRefusal;
use crate::routing::RoutingOptions;
use crate::routing::TargetEntry;
use crate::routing::TargetStatus;
use crate::routing::rendezvous_score;

/// Consecutive failures after which a target is down until it replies again.
const FAILURES_TO_DOWN: u32 = 2;
/// Smallest load bound in requests: one that runs and one whose end has not been reported yet. A
/// smaller bound would move chats away from an idle target.
const MIN_BOUND: f64 = 2.0;

new_key_type! {
    /// Identifies one target in a [`RoutingTable`].
    pub struct TargetKey;
}

/// Change to a target that results from a new host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostChange {
    /// A target was added.
    Joined(TargetName),
    /// A target restarted as a new incarnation.
    Restarted(TargetName),
    /// A target started to leave.
    Leaving(TargetName),
    /// A target is no longer listed.
    Removed(TargetName),
}

/// All targets of the host list in use.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    targets: SlotMap<TargetKey, TargetEntry>,
    by_name: BTreeMap<TargetName, TargetKey>,
    by_workload: BTreeMap<WorkloadName, Vec<TargetKey>>,
    /// Data centres that are unreachable from this daemon.
    unreachable_centres: BTreeSet<CentreName>,
    /// Targets that have failed since the last reply from any target of their data centre.
    failed_targets: BTreeMap<CentreName, BTreeSet<TargetKey>>,
    /// Those of them that failed otherwise than by silence, or were silent for longer than a sound
    /// target may be.
    ended_targets: BTreeMap<CentreName, BTreeSet<TargetKey>>,
    /// Data centres from which several targets are silent, for less than that time.
    silent_centres: BTreeSet<CentreName>,
    /// Highest incarnation of each target that was reported as leaving.
    leaving: BTreeMap<TargetName, u64>,
    list_version: u64,
}

impl RoutingTable {
    /// The version of the host list in use.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// The target under `key`, unless it was removed.
    pub fn target(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key)
    }

    /// The key of the target called `name`.
    pub fn key_of(&self, name: &TargetName) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// All targets in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        self.by_name.values().filter_map(|key| Some((*key, self.targets.get(*key)?)))
    }

    /// Applies a host list unless one as new is in use; returns the changes.
    ///
    /// A target that a peer reported as leaving stays so until the list has a higher incarnation,
    /// so that an outdated list cannot make it ready again.
    pub fn apply_hosts(
        &mut self,
        list: &HostList,
        options: &RoutingOptions,
        now: MonoTime,
    ) -> Vec<HostChange> {
        if list.version <= self.list_version && self.list_version != 0 {
            return Vec::new();
        }
        let is_first = self.list_version == 0;
        self.list_version = list.version;
        let mut changes = Vec::new();
        for host in &list.targets {
            self.apply_host(host, is_first, options, now, &mut changes);
        }
        let listed: BTreeSet<&TargetName> = list.targets.iter().map(|host| &host.name).collect();
        let removed: Vec<TargetName> =
            self.by_name.keys().filter(|name| !listed.contains(name)).cloned().collect();
        for name in removed {
            if let Some(key) = self.by_name.remove(&name) {
                self.targets.remove(key);
            }
            changes.push(HostChange::Removed(name));
        }
        // Reported departures of incarnations older than the listed one are obsolete.
        let is_obsolete = |name: &TargetName, departed: u64| {
            let key = self.by_name.get(name);
            let entry = key.and_then(|key| self.targets.get(*key));
            entry.is_some_and(|entry| entry.host.incarnation > departed)
        };
        let obsolete: Vec<TargetName> = self
            .leaving
            .iter()
            .filter(|(name, departed)| is_obsolete(name, **departed))
            .map(|(name, _)| name.clone())
            .collect();
        for name in obsolete {
            self.leaving.remove(&name);
        }
        self.index_workloads();
        changes
    }

    fn apply_host(
        &mut self,
        host: &HostEntry,
        is_first: bool,
        options: &RoutingOptions,
        now: MonoTime,
        changes: &mut Vec<HostChange>,
    ) {
        let mut host = host.clone();
        if self.leaving.get(&host.name).is_some_and(|departed| *departed >= host.incarnation) {
            host.state = HostState::Leaving;
        }
        let known = self.by_name.get(&host.name).and_then(|key| self.targets.get_mut(*key));
        let Some(entry) = known else {
            changes.push(HostChange::Joined(host.name.clone()));
            let entry = TargetEntry {
                hash: stable_hash(host.name.as_str().as_bytes()),
                load: LoadEstimate::default(),
                hold: HoldDown::default(),
                failures: 0,
                silent_since: None,
                reported_at: None,
                is_down: false,
                slow_start_from: (!is_first).then_some(now),
                host,
            };
            let name = entry.host.name.clone();
            let key = self.targets.insert(entry);
            self.by_name.insert(name, key);
            return;
        };
        if host.incarnation < entry.host.incarnation {
            return;
        }
        if host.incarnation > entry.host.incarnation {
            entry.hold.record_flap(&options.hold, now);
            entry.load.drop_report();
            entry.failures = 0;
            entry.silent_since = None;
            entry.is_down = false;
            entry.slow_start_from = Some(now.max(entry.hold.held_until()));
            changes.push(HostChange::Restarted(host.name.clone()));
        } else if entry.host.state == HostState::Leaving {
            host.state = HostState::Leaving;
        }
        if host.state == HostState::Leaving && entry.host.state == HostState::Live {
            changes.push(HostChange::Leaving(host.name.clone()));
        }
        entry.host = host;
    }

    /// Records a report, from a peer or the target itself, that an incarnation is leaving.
    ///
    /// Returns whether it is new.
    pub fn record_leaving(&mut self, name: &TargetName, incarnation: u64) -> bool {
        let known = self.leaving.entry(name.clone()).or_insert(0);
        let is_new = incarnation > *known;
        *known = incarnation.max(*known);
        if let Some(entry) = self.by_name.get(name).and_then(|key| self.targets.get_mut(*key))
            && entry.host.incarnation <= incarnation
        {
            let changed = entry.host.state != HostState::Leaving;
            entry.host.state = HostState::Leaving;
            return changed;
        }
        is_new
    }

    /// Listed targets that are leaving, with their incarnations.
    pub fn leaving(&self) -> impl Iterator<Item = (&TargetName, u64)> {
        let listed = self.iter().filter(|(_, entry)| entry.host.state == HostState::Leaving);
        listed.map(|(_, entry)| (&entry.host.name, entry.host.incarnation))
    }

    /// Whether the target takes new work at `now`.
    pub fn status(&self, entry: &TargetEntry, now: MonoTime) -> TargetStatus {
        if entry.host.state == HostState::Leaving {
            TargetStatus::Leaving
        } else if self.unreachable_centres.contains(&entry.host.data_centre) {
            TargetStatus::Unreachable
        } else if entry.is_down {
            TargetStatus::Down
        } else if entry.hold.is_held(now) {
            TargetStatus::Held
        } else if self.silent_centres.contains(&entry.host.data_centre)
            || (entry.silent_since.is_some() && entry.failures >= FAILURES_TO_DOWN)
        {
            TargetStatus::Silent
        } else {
            TargetStatus::Ready
        }
    }

    /// Records that a request was sent to the target.
    pub fn record_sent(&mut self, key: TargetKey) {
        if let Some(entry) = self.targets.get_mut(key) {
            entry.load.record_sent();
        }
    }

    /// Records that a request on the target ended.
    pub fn record_done(&mut self, key: TargetKey) {
        if let Some(entry) = self.targets.get_mut(key) {
            entry.load.record_done();
        }
    }

    /// Applies a load report if it is of the target's current incarnation; returns whether it is
    /// new.
    pub fn apply_report(&mut self, key: TargetKey, incarnation: u64, report: LoadReport) -> bool {
        self.targets.get_mut(key).is_some_and(|entry| {
            entry.host.incarnation == incarnation && entry.load.apply_report(report)
        })
    }

    /// Drops all load reports, after a pause of this process that made them stale.
    pub fn drop_reports(&mut self) {
        self.targets.values_mut().for_each(|entry| entry.load.drop_report());
    }

    /// Load of the workload's usable targets divided by their capacity; 0.0 if there is none, since
    /// no customer is then refused for the others' sake.
    pub fn utilisation(
        &self,
        workload: &WorkloadName,
        options: &RoutingOptions,
        now: MonoTime,
    ) -> f64 {
        let (load, capacity) = self.sum_usable(workload, &[], options, now);
        if capacity > 0.0 { load / capacity } else { 0.0 }
    }

    /// Chooses the target of one request.
    ///
    /// The hint's target comes first if its incarnation is current, then the chat's rendezvous
    /// order; the first target within its load bound is chosen. If none is, the least loaded target
    /// that is not at capacity is chosen.
    ///
    /// # Errors
    /// [`RouteRefusal`] when no target can take the request.
    pub fn choose(
        &self,
        query: &RouteQuery<'_>,
        options: &RoutingOptions,
        now: MonoTime,
    ) -> Result<ChosenTarget, RouteRefusal> {
        let (load, capacity) = self.sum_usable(query.workload, query.tried, options, now);
        if capacity <= 0.0 {
            return Err(RouteRefusal::NoTarget);
        }
        let mean_ratio = (load + 1.0) / capacity;
        let ratio = match query.is_new {
            true => options.new_chat_ratio.min(options.max_load_ratio),
            false => options.max_load_ratio,
        };
        let bound_of = |entry: &TargetEntry| {
            let capacity = entry.effective_capacity(options, now);
            let full = f64::from(entry.host.capacity) * options.full_ratio;
            (ratio * mean_ratio * capacity).max(MIN_BOUND).min(full)
        };
        if let Some(chosen) = self.choose_hinted(query, options, now, bound_of) {
            return Ok(chosen);
        }
        let mut home: Option<(f64, TargetKey)> = None;
        let mut best: Option<(f64, ChosenTarget)> = None;
        let mut fallback: Option<(f64, ChosenTarget)> = None;
        let untried = self.usable(query.workload, query.tried, now);
        for (key, entry) in untried.filter(|(key, _)| !query.tried.contains(key)) {
            let capacity = f64::from(entry.host.capacity);
            let score = rendezvous_score(query.chat_hash, entry.hash, capacity);
            if home.is_none_or(|(top, _)| score > top) {
                home = Some((score, key));
            }
            let load = entry.load.value(options.peer_scale);
            let chosen =
                ChosenTarget { key, reason: ChoiceReason::Spill, load, bound: bound_of(entry) };
            if chosen.is_within_bound() {
                if best.is_none_or(|(top, _)| score > top) {
                    best = Some((score, chosen));
                }
            } else if load + 1.0 <= capacity * options.full_ratio
                && fallback.is_none_or(|(bottom, _)| load / capacity < bottom)
            {
                fallback = Some((load / capacity, chosen));
            }
        }
        let Some((_, home)) = home else { return Err(RouteRefusal::NoTarget) };
        // With a ratio of 1 or more some target is within its bound, unless each such target is at
        // capacity or was tried before. With a smaller ratio, as for new chats, the fallback also
        // serves evenly loaded targets.
        let (_, mut chosen) = best.or(fallback).ok_or(RouteRefusal::Full)?;
        if chosen.key == home {
            chosen.reason = ChoiceReason::Home;
        }
        Ok(chosen)
    }

    fn choose_hinted<F>(
        &self,
        query: &RouteQuery<'_>,
        options: &RoutingOptions,
        now: MonoTime,
        bound_of: F,
    ) -> Option<ChosenTarget>
    where
        F: Fn(&TargetEntry) -> f64,
    {
        let (name, incarnation) = query.hint.filter(|_| options.use_hints)?;
        let key = self.key_of(name)?;
        let entry = self.targets.get(key)?;
        let is_usable = entry.host.incarnation == incarnation
            && entry.host.workload == *query.workload
            && !query.tried.contains(&key)
            && self.status(entry, now) == TargetStatus::Ready;
        let load = entry.load.value(options.peer_scale);
        let bound = bound_of(entry);
        let chosen = ChosenTarget { key, reason: ChoiceReason::Hint, load, bound };
        (is_usable && chosen.is_within_bound()).then_some(chosen)
    }

    fn with_status(
        &self,
        workload: &WorkloadName,
        status: TargetStatus,
        now: MonoTime,
    ) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        let keys = self.by_workload.get(workload).map(Vec::as_slice).unwrap_or_default();
        keys.iter()
            .filter_map(|key| Some((*key, self.targets.get(*key)?)))
            .filter(move |(_, entry)| self.status(entry, now) == status)
    }

    /// The ready targets of a workload; if none of them is left untried, those that are silent.
    fn usable(
        &self,
        workload: &WorkloadName,
        tried: &[TargetKey],
        now: MonoTime,
    ) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        let mut ready = self.with_status(workload, TargetStatus::Ready, now);
        let is_ready_left = ready.any(|(key, _)| !tried.contains(&key));
        let status = if is_ready_left { TargetStatus::Ready } else { TargetStatus::Silent };
        self.with_status(workload, status, now)
    }

    fn sum_usable(
        &self,
        workload: &WorkloadName,
        tried: &[TargetKey],
        options: &RoutingOptions,
        now: MonoTime,
    ) -> (f64, f64) {
        self.usable(workload, tried, now).fold((0.0, 0.0), |(load, capacity), (_, entry)| {
            let estimate = entry.load.value(options.peer_scale);
            (load + estimate, capacity + entry.effective_capacity(options, now))
        })
    }

    fn index_workloads(&mut self) {
        self.by_workload.clear();
        for (key, entry) in &self.targets {
            self.by_workload.entry(entry.host.workload.clone()).or_default().push(key);
        }
    }
}
