//! Which targets may be chosen at all: by registration, version, reachability and health.

use std::collections::HashMap;

use crate::clock::MonoTime;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetState;
use crate::versions::SoftwareVersion;

/// A daemon counts as partitioned when a larger fraction of all targets is unreachable.
const PARTITIONED_FRACTION: f64 = 0.85;
/// Number of unreachable targets in another data centre from which on all its targets are avoided.
const MIN_UNREACHABLE_IN_CENTRE: usize = 2;
/// Milliseconds for which a target that leaves still takes the streams of its version, if it is the last
/// with it: less than the time in which it must get no new request.
const LEAVING_GRACE_MS: u64 = 1_000;

impl TargetPool {
    /// The targets that are not known to be unreachable. If there is none while other services have
    /// some, those that have not been unresponsive for long: all may be silent for a moment.
    pub(super) fn reachable<'a>(
        &self,
        listed: &[(TargetKey, &'a TargetState)],
        now: MonoTime,
    ) -> Vec<(TargetKey, &'a TargetState)> {
        let reachable = listed.iter().filter(|(_, state)| !state.health.is_unreachable());
        let reachable: Vec<_> = reachable.copied().collect();
        let is_cut_off = || self.iter().all(|(_, state)| state.health.is_unreachable());
        if !reachable.is_empty() || is_cut_off() {
            return reachable;
        }
        let unresponsive = listed.iter().filter(|(_, s)| s.health.is_briefly_unresponsive(now));
        unresponsive.copied().collect()
    }

    /// Leaves out other data centres in which several targets are unreachable, unless no target
    /// would remain: a network partition between data centres shows at a few targets first.
    pub(super) fn outside_unreachable_centres<'a>(
        &self,
        usable: Vec<(TargetKey, &'a TargetState)>,
        own_centre: &str,
    ) -> Vec<(TargetKey, &'a TargetState)> {
        let unreachable = self.iter().filter(|(_, state)| state.health.is_unreachable());
        let centres: Vec<_> =
            unreachable.map(|(_, state)| state.record.data_centre.as_str()).collect();
        if centres.len() < MIN_UNREACHABLE_IN_CENTRE {
            return usable;
        }
        let is_in_unreachable_centre = |state: &TargetState| {
            let centre = state.record.data_centre.as_str();
            centre != own_centre
                && centres.iter().filter(|other| **other == centre).count()
                    >= MIN_UNREACHABLE_IN_CENTRE
        };
        let outside: Vec<_> =
            usable.iter().filter(|(_, s)| !is_in_unreachable_centre(s)).copied().collect();
        if outside.is_empty() { usable } else { outside }
    }

    /// Whether nearly all targets are unreachable, which means that this daemon itself is
    /// partitioned.
    pub fn is_partitioned(&self) -> bool {
        let unreachable = self.iter().filter(|(_, state)| state.health.is_unreachable()).count();
        unreachable as f64 > PARTITIONED_FRACTION * self.len() as f64
    }
}

/// How many targets, services and data centres this daemon reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachCounts {
    /// All targets, of all services.
    pub targets: usize,
    /// Those of them that are unreachable.
    pub unreachable_targets: usize,
    /// Data centres with targets.
    pub centres: usize,
    /// Those of them in which all targets are unreachable.
    pub unreachable_centres: usize,
    /// Services with targets.
    pub services: usize,
    /// Those of them of which all targets are unreachable.
    pub unreachable_services: usize,
}

impl TargetPool {
    /// Counts what this daemon reaches.
    pub fn reach_counts(&self) -> ReachCounts {
        let unreachable = self.iter().filter(|(_, state)| state.health.is_unreachable());
        let group_counts = |name_of: fn(&TargetState) -> &str| {
            let mut groups: HashMap<&str, bool> = HashMap::new();
            for (_, state) in self.iter() {
                *groups.entry(name_of(state)).or_insert(true) &= state.health.is_unreachable();
            }
            (groups.len(), groups.values().filter(|is_unreachable| **is_unreachable).count())
        };
        let (centres, unreachable_centres) = group_counts(|state| &state.record.data_centre);
        let (services, unreachable_services) = group_counts(|state| &state.record.service);
        ReachCounts {
            targets: self.len(),
            unreachable_targets: unreachable.count(),
            centres,
            unreachable_centres,
            services,
            unreachable_services,
        }
    }

    /// The targets of a service that stay: they do not leave, and their data centre is not evacuated.
    pub fn staying_targets<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (TargetKey, &'a TargetState)> {
        let targets = self.of_service(service).iter();
        let targets = targets.filter_map(|key| self.target(*key).map(|state| (*key, state)));
        targets.filter(|(_, state)| {
            !state.record.is_leaving && state.remove_at.is_none() && !self.is_evacuated(state)
        })
    }

    /// The services with targets.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let services = self.by_service.iter().filter(|(_, targets)| !targets.is_empty());
        services.map(|(service, _)| service.as_str())
    }
}

/// Leaves out targets that the platform no longer lists, unless they are the majority: a few that
/// are missing after an outage of the platform have stopped, but a majority was unable to renew its
/// registration.
pub(super) fn without_unlisted(
    targets: Vec<(TargetKey, &TargetState)>,
) -> Vec<(TargetKey, &TargetState)> {
    let unlisted = targets.iter().filter(|(_, state)| state.remove_at.is_some()).count();
    if unlisted * 2 > targets.len() {
        return targets;
    }
    targets.into_iter().filter(|(_, state)| state.remove_at.is_none()).collect()
}

/// The listed targets of one version. If there is none, those of all `untried` ones that began to leave
/// within `LEAVING_GRACE_MS`.
pub(super) fn of_version<'a>(
    listed: &[(TargetKey, &'a TargetState)],
    untried: &[(TargetKey, &'a TargetState)],
    version: SoftwareVersion,
    now: MonoTime,
) -> Vec<(TargetKey, &'a TargetState)> {
    let has_version = |state: &TargetState| state.version() == version;
    let same: Vec<_> = listed.iter().filter(|(_, state)| has_version(state)).copied().collect();
    if !same.is_empty() {
        return same;
    }
    let has_just_begun_to_leave = |state: &TargetState| {
        state.leaving_since.is_some_and(|since| now < since + LEAVING_GRACE_MS)
    };
    let leaving =
        untried.iter().filter(|(_, state)| has_version(state) && has_just_begun_to_leave(state));
    leaving.copied().collect()
}

/// Whether a target that has had requests of this daemon since this time has sent nothing since then.
pub(super) fn is_silent(state: &TargetState, since: MonoTime) -> bool {
    state.own.requests > 0 && state.last_reply_at.max(state.busy_since) < since
}

/// Whether a target is neither held down nor waiting for a trial request.
pub(super) fn is_healthy(state: &TargetState, now: MonoTime) -> bool {
    !state.health.is_held_down(now) && !state.health.is_half_open(now)
}
