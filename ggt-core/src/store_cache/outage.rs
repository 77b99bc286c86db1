//! Outages of the platform, and whether they affected only this daemon.

use crate::clock::MonoTime;

/// Milliseconds after an outage of the platform in which targets whose registrations lapsed
/// register again.
const REREGISTRATION_MS: u64 = 2_200;
/// Maximum difference in milliseconds between the times at which two daemons notice the start or
/// the end of an outage.
const MAX_DETECTION_SKEW_MS: u64 = 1_200;

/// Tracks when the platform did not reply to this daemon.
///
/// During an outage that affects all, targets cannot renew their registrations, so one that is
/// unlisted just after the outage may still be running and is kept for a while. If only this daemon
/// was affected, targets could renew, and one that is unlisted has stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformOutage {
    /// Start of the current outage as this daemon sees it.
    started_at: Option<MonoTime>,
    /// Latest reply of the platform to another daemon.
    peer_success_at: MonoTime,
    /// Time until which unlisted targets are kept.
    keep_until: MonoTime,
}

impl PlatformOutage {
    /// Records a failed call to the platform; `true` when this starts an outage.
    pub fn record_failure(&mut self, now: MonoTime) -> bool {
        let is_new = self.started_at.is_none();
        self.started_at.get_or_insert(now);
        is_new
    }

    /// Records that the platform replied to another daemon at `at`.
    pub fn record_peer_success(&mut self, at: MonoTime) {
        self.peer_success_at = self.peer_success_at.max(at);
    }

    /// Records a reply of the platform; `true` when this ends an outage.
    pub fn record_success(&mut self, now: MonoTime) -> bool {
        let Some(started_at) = self.started_at.take() else { return false };
        let is_local =
            self.peer_success_at > started_at && self.peer_success_at + MAX_DETECTION_SKEW_MS < now;
        if !is_local {
            self.keep_until = now + REREGISTRATION_MS;
        }
        true
    }

    /// Records that the store came back from an older copy: registrations that it lacks are written
    /// again.
    pub fn record_restore(&mut self, now: MonoTime) {
        self.keep_until = self.keep_until.max(now + REREGISTRATION_MS);
    }

    /// The time at which a target that is unlisted at `now` is to be removed.
    pub fn removal_time(&self, now: MonoTime) -> MonoTime {
        self.keep_until.max(now)
    }
}
