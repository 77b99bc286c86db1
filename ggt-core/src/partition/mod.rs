//! Whether this daemon is cut off from the targets of a service: several in a row accept no connection, or
//! none of them accepted the last one.
//!
//! The end of all targets of a service looks the same to one daemon. Peers that reach the service tell the
//! two apart.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::clock::MonoTime;
use crate::targets::TargetKey;

/// Number of targets, tried in a row without one that accepts, from which on a daemon counts as cut off
/// from a larger service.
const MAX_FAILED_TARGETS: usize = 4;
/// Milliseconds for which a failure counts: longer than the longest hold-down, after which it repeats.
const FAILURE_WINDOW_MS: u64 = 6_000;

/// The last connection to a target, which it did not accept.
#[derive(Clone, Copy, Debug)]
struct ReachFailure {
    failed_at: MonoTime,
    /// Whether no target of the service has accepted a connection since.
    is_in_row: bool,
}

/// What this daemon's last connections to the targets of one service show.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// Targets that did not accept their last connection.
    failed: BTreeMap<TargetKey, ReachFailure>,
    /// The first of the failures in a row.
    failing_since: MonoTime,
    /// Since when this daemon has been cut off from the service, if it is.
    cut_since: Option<MonoTime>,
}

impl ServiceReach {
    /// Number of targets that accepted no connection since any of the service last did.
    fn failures_in_row(&self) -> usize {
        self.failed.values().filter(|failure| failure.is_in_row).count()
    }
}

/// The end of a cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachRegained {
    /// When the cut was noticed.
    pub cut_since: MonoTime,
    /// Targets that accepted no connection during the cut, but for the one that did now.
    pub failed: Vec<TargetKey>,
}

/// Which services' targets accept this daemon's connections.
#[derive(Clone, Debug, Default)]
pub struct ReachTable {
    services: HashMap<String, ServiceReach>,
}

impl ReachTable {
    /// Records that a target accepted no connection; `targets` are those of its service.
    /// Returns whether the daemon is cut off from the service by that.
    pub fn record_failure(
        &mut self,
        service: &str,
        target: TargetKey,
        targets: &[TargetKey],
        now: MonoTime,
    ) -> bool {
        let reach = match self.services.get_mut(service) {
            Some(reach) => reach,
            None => self.services.entry(service.to_owned()).or_default(),
        };
        if reach.cut_since.is_none() {
            reach.failed.retain(|_, failure| now < failure.failed_at + FAILURE_WINDOW_MS);
        }
        if reach.failures_in_row() == 0 {
            reach.failing_since = now;
        }
        reach.failed.insert(target, ReachFailure { failed_at: now, is_in_row: true });
        let is_cut_off = reach.failures_in_row() >= targets.len().clamp(1, MAX_FAILED_TARGETS)
            || targets.iter().all(|target| reach.failed.contains_key(target));
        if reach.cut_since.is_some() || !is_cut_off {
            return false;
        }
        reach.cut_since = Some(now);
        true
    }

    /// Records that a target accepted a connection. Returns the cut that this ends, if there was one.
    pub fn record_accept(&mut self, service: &str, target: TargetKey) -> Option<ReachRegained> {
        let reach = self.services.get_mut(service)?;
        reach.failed.remove(&target);
        reach.failed.values_mut().for_each(|failure| failure.is_in_row = false);
        let cut_since = reach.cut_since?;
        let reach = self.services.remove(service)?;
        Some(ReachRegained { cut_since, failed: reach.failed.into_keys().collect() })
    }

    /// Since when this daemon has been cut off from a service, if it is.
    pub fn cut_since(&self, service: &str) -> Option<MonoTime> {
        self.services.get(service)?.cut_since
    }

    /// Whether a target is among those of its service that accepted no connection since any last did.
    pub fn has_failed(&self, service: &str, target: TargetKey) -> bool {
        let failure = self.services.get(service).and_then(|reach| reach.failed.get(&target));
        failure.is_some_and(|failure| failure.is_in_row)
    }

    /// The services that this daemon is cut off from.
    pub fn cut_services(&self) -> impl Iterator<Item = &str> {
        let is_cut_off = |(_, reach): &(&String, &ServiceReach)| reach.cut_since.is_some();
        self.services.iter().filter(is_cut_off).map(|(service, _)| service.as_str())
    }

    /// Number of a service's targets that accepted no connection since any of it last did, and the first
    /// of these failures.
    pub fn failures(&self, service: &str) -> (usize, MonoTime) {
        let reach = self.services.get(service);
        reach.map_or((0, MonoTime::default()), |reach| {
            (reach.failures_in_row(), reach.failing_since)
        })
    }

    /// Drops services that have no target any more.
    pub fn retain_services<F>(&mut self, mut has_targets: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.services.retain(|service, _| has_targets(service));
    }
}
