//! Health of targets and reachability of their data centres, as replies and failures show them.

use crate::clock::MonoTime;
use crate::hosts::HostState;
use crate::ident::CentreName;
use crate::ident::mix_hash;
use crate::routing::HoldOptions;
use crate::routing::LoadReport;
use crate::routing::RoutingTable;
use crate::routing::TargetEntry;
use crate::routing::TargetKey;
use crate::routing::TargetStatus;
use crate::routing::table::FAILURES_TO_DOWN;
use crate::silence::MAX_SOUND_SILENCE_MS;

/// Targets of a data centre, or all of them if it has fewer, that must fail without a reply from
/// any before it counts as unreachable.
const FAILED_TARGETS_TO_UNREACHABLE: usize = 4;
/// Lower limit of that number, so that a single failed target is not enough.
const MIN_FAILED_TARGETS_TO_UNREACHABLE: usize = 2;
/// Milliseconds for which a peer's report shows that it reaches a target.
const PEER_REPORT_TTL_MS: u64 = 10_000;
/// Maximum number of other targets that are probed after a target could not be reached.
const MAX_WITNESSES: usize = 3;

/// What a failure shows about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureProof {
    /// It has been silent, for no longer than a sound target may be.
    Silence,
    /// It has ended or cannot be reached.
    Ended,
}

impl RoutingTable {
    /// Data centres that are unreachable from this daemon.
    pub fn unreachable_centres(&self) -> impl Iterator<Item = &CentreName> {
        self.unreachable_centres.iter()
    }

    /// Marks a data centre as unreachable or reachable.
    pub fn set_unreachable(&mut self, centre: &CentreName, is_unreachable: bool) {
        match is_unreachable {
            true => self.unreachable_centres.insert(centre.clone()),
            false => self.unreachable_centres.remove(centre),
        };
    }

    /// Whether the target is down, even if [`Self::status`] returns a status that takes precedence.
    pub fn is_down(&self, key: TargetKey) -> bool {
        self.targets.get(key).is_some_and(|entry| entry.is_down)
    }

    /// Applies a load report from a peer that reaches the target.
    pub fn apply_peer_report(
        &mut self,
        key: TargetKey,
        incarnation: u64,
        report: LoadReport,
        now: MonoTime,
    ) {
        // A report that is known already may be older than this daemon's failures.
        if self.apply_report(key, incarnation, report)
            && let Some(entry) = self.targets.get_mut(key)
        {
            entry.reported_at = Some(now);
        }
    }

    /// Whether this daemon reaches none of several targets, while a peer reaches one of them.
    pub fn is_cut_off(&self, now: MonoTime) -> bool {
        let live = || self.targets.values().filter(|x| x.host.state == HostState::Live);
        let is_unreached = |entry: &TargetEntry| {
            matches!(self.status(entry, now), TargetStatus::Down | TargetStatus::Unreachable)
        };
        let is_reported = |entry: &TargetEntry| {
            entry.reported_at.is_some_and(|reported_at| now <= reported_at + PEER_REPORT_TTL_MS)
        };
        live().count() > 1 && live().all(is_unreached) && live().any(is_reported)
    }

    /// Records a reply of the target, which marks it as up; returns whether it was down.
    pub fn record_reply(&mut self, key: TargetKey, now: MonoTime) -> bool {
        let Some(entry) = self.targets.get_mut(key) else { return false };
        entry.failures = 0;
        entry.silent_since = None;
        let was_down = entry.is_down;
        entry.is_down = false;
        if was_down {
            entry.slow_start_from = Some(now.max(entry.hold.held_until()));
        }
        self.update_reachability(key, None);
        was_down
    }

    /// Records a failure to reach the target that was not only silence; returns whether this marked
    /// it down.
    pub fn record_failure(&mut self, key: TargetKey, options: &HoldOptions, now: MonoTime) -> bool {
        let Some(entry) = self.targets.get_mut(key) else { return false };
        entry.failures += 1;
        let is_new = !entry.is_down && entry.failures >= FAILURES_TO_DOWN;
        if is_new {
            entry.is_down = true;
            entry.hold.record_flap(options, now);
        }
        self.update_reachability(key, Some(FailureProof::Ended));
        is_new
    }

    /// Records that the target did not respond in time. A sound one may be silent for a moment, so it
    /// is down only once it has been silent for longer; returns whether this marked it down.
    pub fn record_silence(&mut self, key: TargetKey, options: &HoldOptions, now: MonoTime) -> bool {
        let Some(entry) = self.targets.get_mut(key) else { return false };
        let since = *entry.silent_since.get_or_insert(now);
        if now >= since + MAX_SOUND_SILENCE_MS {
            return self.record_failure(key, options, now);
        }
        entry.failures += 1;
        self.update_reachability(key, Some(FailureProof::Silence));
        false
    }

    /// Records a peer's report that the target is down; returns whether it is new.
    ///
    /// The peer may be cut off from a target that this daemon reaches, so the target counts as silent
    /// until this daemon has probed it.
    pub fn record_reported_down(&mut self, key: TargetKey, now: MonoTime) -> bool {
        let Some(entry) = self.targets.get_mut(key) else { return false };
        if entry.is_down || entry.silent_since.is_some() {
            return false;
        }
        entry.failures = entry.failures.max(FAILURES_TO_DOWN);
        entry.silent_since = Some(now);
        true
    }

    /// Other targets of the target's data centre, or of all others if it is alone there: if none of
    /// them is reached, a failure of the target shows nothing about it. Those in use come first.
    pub fn witnesses_of(&self, key: TargetKey, now: MonoTime) -> Vec<TargetKey> {
        let Some(failed) = self.targets.get(key) else { return Vec::new() };
        let others = || self.targets.iter().filter(|(other, _)| *other != key);
        let is_near = |entry: &TargetEntry| entry.host.data_centre == failed.host.data_centre;
        let is_alone = !others().any(|(_, entry)| is_near(entry));
        let mut witnesses: Vec<(bool, u64, TargetKey)> = others()
            .filter(|(_, entry)| is_alone || is_near(entry))
            .map(|(other, entry)| {
                let is_in_use = self.status(entry, now) == TargetStatus::Ready;
                (!is_in_use, mix_hash(failed.hash, entry.hash), other)
            })
            .collect();
        witnesses.sort_unstable();
        witnesses.into_iter().take(MAX_WITNESSES).map(|(_, _, other)| other).collect()
    }

    /// Updates the reachability of a target's data centre after a failure or a reply.
    ///
    /// A data centre counts as unreachable once several of its targets have failed without a reply
    /// from any of its targets in between. Marking each target down separately would cost at least
    /// one failed request per target. While targets are only silent, and for no longer than sound ones
    /// may be, their data centre is avoided but still used if nothing else is left.
    fn update_reachability(&mut self, key: TargetKey, failure: Option<FailureProof>) {
        let Some(entry) = self.targets.get(key) else { return };
        let centre = entry.host.data_centre.clone();
        let Some(proof) = failure else {
            self.failed_targets.remove(&centre);
            self.ended_targets.remove(&centre);
            self.silent_centres.remove(&centre);
            self.set_unreachable(&centre, false);
            return;
        };
        let target_count = self.targets.values().filter(|x| x.host.data_centre == centre).count();
        let needed =
            FAILED_TARGETS_TO_UNREACHABLE.min(target_count).max(MIN_FAILED_TARGETS_TO_UNREACHABLE);
        let failed_targets = self.failed_targets.entry(centre.clone()).or_default();
        failed_targets.insert(key);
        if failed_targets.len() >= needed {
            self.silent_centres.insert(centre.clone());
        }
        if proof == FailureProof::Silence {
            return;
        }
        let ended_targets = self.ended_targets.entry(centre.clone()).or_default();
        ended_targets.insert(key);
        if ended_targets.len() >= needed {
            self.set_unreachable(&centre, true);
        }
    }
}
