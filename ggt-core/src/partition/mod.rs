//! Whether this daemon is cut off from the targets of a service: the targets that it tried accept no
//! connection, and none has accepted one since.
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

/// What this daemon's last connections to the targets of one service show.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// Targets that accepted no connection since any of the service last did, and when each last failed.
    failed: BTreeMap<TargetKey, MonoTime>,
    /// The first of these failures.
    failing_since: MonoTime,
    /// Since when this daemon has been cut off from the service, if it is.
    cut_since: Option<MonoTime>,
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
    /// Records that a target accepted no connection; `targets` is the number of targets of its service.
    /// Returns whether the daemon is cut off from the service by that.
    pub fn record_failure(
        &mut self,
        service: &str,
        target: TargetKey,
        targets: usize,
        now: MonoTime,
    ) -> bool {
        let reach = match self.services.get_mut(service) {
            Some(reach) => reach,
            None => self.services.entry(service.to_owned()).or_default(),
        };
        if reach.cut_since.is_none() {
            reach.failed.retain(|_, failed_at| now < *failed_at + FAILURE_WINDOW_MS);
        }
        if reach.failed.is_empty() {
            reach.failing_since = now;
        }
        reach.failed.insert(target, now);
        let is_cut_off = reach.failed.len() >= targets.clamp(1, MAX_FAILED_TARGETS);
        if reach.cut_since.is_some() || !is_cut_off {
            return false;
        }
        reach.cut_since = Some(now);
        true
    }

    /// Records that a target accepted a connection. Returns the cut that this ends, if there was one.
    pub fn record_accept(&mut self, service: &str, target: TargetKey) -> Option<ReachRegained> {
        let reach = self.services.remove(service)?;
        let cut_since = reach.cut_since?;
        let failed = reach.failed.into_keys().filter(|failed| *failed != target).collect();
        Some(ReachRegained { cut_since, failed })
    }

    /// Since when this daemon has been cut off from a service, if it is.
    pub fn cut_since(&self, service: &str) -> Option<MonoTime> {
        self.services.get(service)?.cut_since
    }

    /// Whether a target is among those of its service that accepted no connection since any last did.
    pub fn has_failed(&self, service: &str, target: TargetKey) -> bool {
        self.services.get(service).is_some_and(|reach| reach.failed.contains_key(&target))
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
        reach.map_or((0, MonoTime::default()), |reach| (reach.failed.len(), reach.failing_since))
    }

    /// Drops services that have no target any more.
    pub fn retain_services<F>(&mut self, mut has_targets: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.services.retain(|service, _| has_targets(service));
    }
}
