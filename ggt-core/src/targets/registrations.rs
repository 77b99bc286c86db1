//! Changes of the platform's registrations: new incarnations, targets that leave, and those that are no longer listed.

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetRecord;
use crate::targets::TargetState;

/// Milliseconds for which an incarnation that was removed stays known: longer than the age of a copy from
/// which the store may come back.
const DEPARTED_TTL_MS: u64 = 120_000;

/// An incarnation that was removed.
#[derive(Clone, Copy, Debug)]
pub(super) struct DepartedTarget {
    incarnation: u64,
    /// Whether it had announced that it leaves.
    has_announced: bool,
    /// Until when it is remembered.
    expires_at: MonoTime,
}

impl TargetPool {
    /// Whether a registration is of a former incarnation of its target: one that was written late, or comes from
    /// an older copy of the store.
    pub fn is_outdated(&self, record: &TargetRecord) -> bool {
        let known = self.by_id.get(&record.id).and_then(|key| self.targets.get(*key));
        let known = known.map(|state| state.record.incarnation);
        let departed = self.departed.get(&record.id).map(|target| target.incarnation);
        known.max(departed).is_some_and(|latest| record.incarnation < latest)
    }

    /// The registration of the present incarnation of the target with this id.
    pub fn record_of(&self, id: &str) -> Option<&TargetRecord> {
        let key = self.by_id.get(id)?;
        self.targets.get(*key).map(|state| &state.record)
    }

    /// Stores a registration, unless it is outdated; `true` when it is a new incarnation or begins to leave.
    pub fn put(&mut self, mut record: TargetRecord) -> bool {
        if self.is_outdated(&record) {
            return false;
        }
        // The platform may list it again from an older copy, or not know yet what its replies state.
        let departed = self.departed.get(&record.id);
        record.is_leaving |= departed
            .is_some_and(|target| target.has_announced && target.incarnation == record.incarnation);
        let known = self.by_id.get(&record.id).and_then(|key| self.targets.get(*key));
        let has_left = |state: &TargetState| {
            state.record.is_leaving && state.record.incarnation == record.incarnation
        };
        // An incarnation that has announced that it leaves accepts no requests again.
        let is_known_to_leave = known.is_some_and(has_left);
        record.is_leaving |= is_known_to_leave;
        if let Some(key) = self.by_id.get(&record.id).copied() {
            let state = &mut self.targets[key];
            let is_same_incarnation = state.record.incarnation == record.incarnation
                && state.record.address == record.address
                && state.record.service == record.service;
            if is_same_incarnation {
                let is_change = record.is_leaving && !is_known_to_leave;
                state.record = record;
                state.remove_at = None;
                return is_change;
            }
            self.remove(key);
        }
        let (id, service) = (record.id.clone(), record.service.clone());
        let state = TargetState::new(record);
        let hash = state.short_hash;
        let key = self.targets.insert(state);
        self.by_id.insert(id, key);
        self.by_hash.insert(hash, key);
        self.by_service.entry(service).or_default().push(key);
        true
    }

    /// Crash ids of the incarnations that a registration shows to have ended: the target has
    /// started again, or another one has got its address since.
    pub fn ended_by(&self, record: &TargetRecord) -> Vec<CrashId> {
        let has_ended = |state: &&TargetState| {
            if state.record.id == record.id {
                return state.record.incarnation < record.incarnation;
            }
            state.record.address == record.address && state.record.incarnation <= record.incarnation
        };
        self.targets.values().filter(has_ended).map(TargetState::crash_id).collect()
    }

    /// Records when this daemon learnt that a target is leaving; only the first call has an effect.
    pub fn record_leaving_since(&mut self, id: &str, now: MonoTime) {
        if let Some(state) = self.by_id.get(id).and_then(|key| self.targets.get_mut(*key)) {
            state.leaving_since.get_or_insert(now);
        }
    }

    /// Records that the platform no longer lists a target, which is to be removed at `remove_at`.
    pub fn record_unlisted(&mut self, id: &str, remove_at: MonoTime) {
        if let Some(state) = self.by_id.get(id).and_then(|key| self.targets.get_mut(*key)) {
            state.remove_at = Some(remove_at);
        }
    }

    /// Removes the targets whose time of removal has come, and returns their keys and registrations.
    pub fn expire(&mut self, now: MonoTime) -> Vec<(TargetKey, TargetRecord)> {
        let is_due =
            |state: &TargetState| state.remove_at.is_some_and(|remove_at| remove_at <= now);
        let removed = self.targets.iter().filter(|(_, state)| is_due(state));
        let removed: Vec<_> = removed.map(|(key, state)| (key, state.record.clone())).collect();
        for (key, record) in &removed {
            let departed = DepartedTarget {
                incarnation: record.incarnation,
                has_announced: record.is_leaving,
                expires_at: now + DEPARTED_TTL_MS,
            };
            self.departed.insert(record.id.clone(), departed);
            self.remove(*key);
        }
        self.departed.retain(|_, target| now < target.expires_at);
        removed
    }
}
