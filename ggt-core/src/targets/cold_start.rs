//! Targets that have just started and take fewer requests a second for some time, from all daemons together.
//!
//! A target states in its registration how much longer it stays cold. Where it may have started again since then,
//! it is taken for cold until it says otherwise, or until the time that a start takes is over.

use std::collections::HashMap;

use crate::clock::MonoTime;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::health::MAX_HOLD_DOWN_MS;

/// Milliseconds to which the time of a cold start is limited, so that a target that errs is used again.
const MAX_COLD_MS: u64 = 600_000;

/// What each target of a service takes while it is cold, and for how long a start leaves it cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartLimit {
    /// Requests per second from all daemons together; more than 0.
    pub per_second: f64,
    /// Milliseconds from a start until the target is warm; more than 0.
    pub duration_ms: u64,
}

/// What a target states about its cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ColdStartStatement {
    /// Nothing.
    #[default]
    Absent,
    /// It stays cold for this many milliseconds; 0 if it is warm.
    Left(u64),
    /// No usable time.
    Malformed,
}

/// The cold start of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetColdStart {
    per_second: f64,
    ends_at: MonoTime,
    absence: Option<TargetAbsence>,
}

/// That a target has accepted no connection, and has not been heard of since.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TargetAbsence {
    noticed_at: MonoTime,
    /// When it is warm if it has started at the same moment.
    warm_at: MonoTime,
}

impl TargetColdStart {
    /// Requests per second that the target takes from all daemons together; `None` once it is warm.
    pub fn limit(&self, now: MonoTime) -> Option<f64> {
        (now < self.ends_at).then_some(self.per_second)
    }

    /// Milliseconds until the target is warm, as far as is known.
    pub fn left_ms(&self, now: MonoTime) -> u64 {
        self.ends_at.millis_since(now)
    }

    /// Applies the target's own statement that it stays cold for this time, or is warm.
    pub fn apply(&mut self, limit: ColdStartLimit, left_ms: u64, now: MonoTime) {
        let left_ms = left_ms.min(limit.duration_ms).min(MAX_COLD_MS);
        *self = Self { per_second: limit.per_second, ends_at: now + left_ms, absence: None };
    }

    /// Records that the target may have started a moment ago.
    fn record_possible_start(&mut self, limit: ColdStartLimit, now: MonoTime) {
        let ends_at = now + limit.duration_ms.min(MAX_COLD_MS);
        let ends_at = ends_at.max(self.ends_at);
        *self = Self { per_second: limit.per_second, ends_at, absence: None };
    }

    /// Records that the target accepts no connection, so that it may start at any time from now on. If no daemon
    /// is known to get a reply, that is forgotten after the longest hold-down.
    fn record_absence(&mut self, limit: ColdStartLimit, now: MonoTime) {
        let warm_at = now + limit.duration_ms.min(MAX_COLD_MS);
        let absence = Some(TargetAbsence { noticed_at: now, warm_at });
        *self = Self { per_second: limit.per_second, ends_at: warm_at + MAX_HOLD_DOWN_MS, absence };
    }

    /// Records that the target has replied to a daemon at `replied_at`.
    pub fn record_reply(&mut self, replied_at: MonoTime) {
        if let Some(absence) = self.absence.filter(|absence| replied_at > absence.noticed_at) {
            let later_ms = replied_at.millis_since(absence.noticed_at);
            self.ends_at = self.ends_at.min(absence.warm_at + later_ms);
            self.absence = None;
        }
    }

    /// Ends a cold start that was only assumed since the target accepted no connection.
    pub fn record_regained(&mut self) {
        if self.absence.is_some() {
            *self = Self::default();
        }
    }
}

impl TargetPool {
    /// Sets what the targets of each service take while they are cold. What targets have stated counts from now on
    /// if their service had no limit before.
    pub fn set_cold_start_limits(
        &mut self,
        limits: HashMap<String, ColdStartLimit>,
        now: MonoTime,
    ) {
        for state in self.targets.values_mut() {
            let service = &state.record.service;
            let is_new = !self.cold_start_limits.contains_key(service);
            if let (ColdStartStatement::Left(left_ms), Some(limit), true) =
                (state.record.cold_start, limits.get(service), is_new)
            {
                state.rate.cold_start.apply(*limit, left_ms, now);
            }
        }
        self.cold_start_limits = limits;
    }

    /// What a cold target of a service takes; `None` if its targets are not limited while they are cold.
    pub fn cold_start_limit(&self, service: &str) -> Option<ColdStartLimit> {
        self.cold_start_limits.get(service).copied()
    }

    /// Applies what the target with this id has stated in its registration, or in a reply. Returns whether it is cold
    /// and was not known to be.
    pub fn apply_cold_start(
        &mut self,
        id: &str,
        statement: ColdStartStatement,
        now: MonoTime,
    ) -> bool {
        let Some(key) = self.key_of(id) else { return false };
        let Some(state) = self.targets.get_mut(key) else { return false };
        let Some(limit) = self.cold_start_limits.get(&state.record.service) else { return false };
        let ColdStartStatement::Left(left_ms) = statement else { return false };
        let was_cold = state.rate.cold_start.limit(now).is_some();
        state.rate.cold_start.apply(*limit, left_ms, now);
        !was_cold && state.rate.cold_start.limit(now).is_some()
    }

    /// Records that all targets of a data centre may have started a moment ago; returns their number.
    pub fn record_possible_starts(&mut self, data_centre: &str, now: MonoTime) -> usize {
        let states = self.targets.values_mut();
        let there = states.filter(|state| state.record.data_centre == data_centre);
        let limits = &self.cold_start_limits;
        let limited = there.filter_map(|state| Some((limits.get(&state.record.service)?, state)));
        limited
            .map(|(limit, state)| state.rate.cold_start.record_possible_start(*limit, now))
            .count()
    }

    /// Records that a target accepts no connection: it may have ended and be about to start again.
    pub(super) fn record_absence(&mut self, key: TargetKey, now: MonoTime) {
        let Some(state) = self.targets.get_mut(key) else { return };
        if let Some(limit) = self.cold_start_limits.get(&state.record.service) {
            state.rate.cold_start.record_absence(*limit, now);
        }
    }

    /// Number of targets that are cold, or taken for cold.
    pub fn cold_targets(&self, now: MonoTime) -> usize {
        self.targets.values().filter(|state| state.rate.cold_start.limit(now).is_some()).count()
    }
}
