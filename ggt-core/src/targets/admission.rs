//! Admission control of a service, and the time after which a refused caller should retry.
//!
//! A request that would queue for most of its latency objective is refused at once, so that
//! admitted requests are answered in time. Less urgent requests are refused at a lower load than
//! more urgent ones.

use crate::clock::MonoTime;
use crate::ident::mix_hash;
use crate::targets::ChoiceQuery;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetState;
use crate::targets::access::AccessQuery;
use crate::targets::access::opens_at;
use crate::targets::choice::PREFILL_TOKENS_PER_MS;
use crate::targets::work_time::DurationMean;
use crate::waiting::RoomForecast;

/// Fraction of the latency objective for which a request may always queue for a slot.
const MIN_WAIT_FRACTION: f64 = 0.4;
/// Fraction of the capacity reserved for each more urgent priority with recent requests.
const PRIORITY_RESERVE: f64 = 0.1;
/// Number of distinct priorities; less urgent ones are treated as the last.
const PRIORITY_LEVELS: usize = 4;
/// Milliseconds for which capacity stays reserved for a priority after its latest request.
const RESERVE_TTL_MS: u64 = 5_000;
/// Factor by which the accepted prefill backlog shrinks with each more urgent priority with recent
/// requests, since targets prefill more urgent prompts first.
const BACKLOG_FACTOR: f64 = 0.4;
/// Fraction of its slots that a target must have in use before its prefill backlog can make it
/// count as at capacity.
const MIN_BUSY_FRACTION: f64 = 0.5;
/// Weight of the latest request in the moving average of the time that a request occupies a slot.
const SLOT_TIME_WEIGHT: f64 = 0.05;
/// Milliseconds without a refusal after which an overload counts as over.
const OVERLOAD_END_MS: u64 = 1_000;
/// Minimum retry delay for a refused caller in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 150;
/// Maximum retry delay for a refused caller in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 10_000;
/// Priority number above which the retry delay does not grow.
const MAX_PRIORITY_STEPS: u64 = 3;

/// Estimates of an overload, made when a service refuses a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadEstimate {
    /// Milliseconds after which the caller should retry.
    pub retry_after_ms: u64,
    /// Milliseconds since the overload began.
    pub full_ms: u64,
    /// Mean time in milliseconds that a request of the service occupies a slot; `None` before the
    /// first one ends.
    pub slot_ms: Option<f64>,
}

/// How long a request was at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotDuration {
    /// Requests in flight at the target when it was sent, including it.
    pub load: u32,
    /// Milliseconds from the send to the end of the reply.
    pub total_ms: u64,
    /// Whether the request had a prompt, so that its duration says little about the target.
    pub has_prompt: bool,
}

/// Admission state of one service at one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ServiceAdmission {
    /// Moving average of the time that a request occupies a slot, in milliseconds.
    slot_ms: Option<f64>,
    /// Mean duration of requests without a prompt, if the targets' work times are measured.
    plain_durations: DurationMean,
    /// Start of the current or latest overload.
    overload_started_at: MonoTime,
    /// Time of the latest refusal for lack of capacity.
    refused_at: Option<MonoTime>,
    /// Time of the latest request of each priority.
    requested_at: [Option<MonoTime>; PRIORITY_LEVELS],
}

impl ServiceAdmission {
    /// Number of more urgent priorities with recent requests.
    fn more_urgent_priorities(&self, priority: u32, now: MonoTime) -> i32 {
        let is_recent = |requested_at: &&Option<MonoTime>| {
            requested_at.is_some_and(|requested_at| requested_at + RESERVE_TTL_MS >= now)
        };
        self.requested_at[..priority_index(priority)].iter().filter(is_recent).count() as i32
    }
}

fn priority_index(priority: u32) -> usize {
    usize::try_from(priority).unwrap_or(usize::MAX).min(PRIORITY_LEVELS - 1)
}

impl TargetPool {
    /// Records a request of some priority for a service, whether it is admitted or not.
    pub fn record_request(&mut self, service: &str, priority: u32, now: MonoTime) {
        self.admission_mut(service).requested_at[priority_index(priority)] = Some(now);
    }

    /// Records how long a request took at its target.
    ///
    /// If the load exceeded the target's slots, the request queued first; that part of the time is
    /// not counted, and neither is what the target states to take longer than usual.
    pub fn record_slot_time(&mut self, key: TargetKey, duration: SlotDuration, now: MonoTime) {
        let SlotDuration { load, total_ms, has_prompt } = duration;
        let measures_work_times = self.measures_work_times && !has_prompt;
        let Some(state) = self.targets.get_mut(key) else { return };
        let slots = state.record.slots.max(1);
        let service = state.record.service.clone();
        let relative = state.work_time.stated(now).unwrap_or(1.0);
        let slot_ms = total_ms as f64 * f64::from(slots) / f64::from(slots.max(load)) / relative;
        if measures_work_times {
            state.work_time.record_duration(slot_ms, now);
        }
        let admission = self.admission_mut(&service);
        if measures_work_times {
            admission.plain_durations.record(slot_ms, now);
        }
        let mean_ms = admission
            .slot_ms
            .map_or(slot_ms, |mean_ms| mean_ms + SLOT_TIME_WEIGHT * (slot_ms - mean_ms));
        admission.slot_ms = Some(mean_ms);
    }

    /// Records that a request was refused for lack of capacity, and estimates when its caller
    /// should retry.
    ///
    /// An overload is expected to last as long again as it has lasted, and at least until a target
    /// takes requests at its rate, and again after it wanted none for some time. More urgent callers
    /// retry first, and those of one priority are spread over time.
    pub fn record_overload(&mut self, query: &ChoiceQuery<'_>, now: MonoTime) -> OverloadEstimate {
        let closed_ms = self.millis_until_open(query, now);
        let admission = self.admission_mut(query.service);
        let is_ongoing =
            admission.refused_at.is_some_and(|refused_at| refused_at + OVERLOAD_END_MS >= now);
        if !is_ongoing {
            admission.overload_started_at = now;
        }
        admission.refused_at = Some(now);
        let full_ms = now.millis_since(admission.overload_started_at);
        let expected_ms = full_ms.max(closed_ms).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let steps = u64::from(query.priority).min(MAX_PRIORITY_STEPS);
        let spread_ms = mix_hash(query.spread_hash, now.as_millis()) % (expected_ms / 2).max(1);
        let retry_after_ms =
            (expected_ms + expected_ms * steps / 2 + spread_ms).min(MAX_RETRY_AFTER_MS);
        let retry_after_ms = retry_after_ms.max(self.millis_until_reopened(query, now));
        let admission = self.admission_of(query.service);
        OverloadEstimate { retry_after_ms, full_ms, slot_ms: admission.slot_ms }
    }

    /// Milliseconds until the first of the service's targets takes a request at its rate and is not closed.
    fn millis_until_open(&self, query: &ChoiceQuery<'_>, now: MonoTime) -> u64 {
        let more_urgent = self.more_urgent_priorities(query, now);
        let targets = self.of_service(query.service).iter().filter_map(|key| self.target(*key));
        let usable =
            targets.filter(|state| !state.record.is_leaving && self.may_serve(state, query));
        let open_at = usable.filter_map(|state| opens_at(state, more_urgent, now));
        open_at.min().map_or(0, |open_at| open_at.millis_since(now))
    }

    /// Milliseconds until the first of the targets that could serve the request takes requests again, if all
    /// have turned some away and want none now; otherwise zero.
    pub fn millis_until_reopened(&self, query: &ChoiceQuery<'_>, now: MonoTime) -> u64 {
        let targets = self.of_service(query.service).iter().filter_map(|key| self.target(*key));
        let usable = targets
            .filter(|state| !state.record.is_leaving && !state.health.is_unreachable())
            .filter(|state| state.remove_at.is_none() && self.may_serve(state, query))
            .filter(|state| query.version.is_none_or(|version| state.likely_version() == version));
        let opens_at = usable.map(|state| state.closing.opens_at()).min();
        opens_at.map_or(0, |opens_at| opens_at.millis_since(now))
    }

    /// Number of more urgent priorities with recent requests for the service.
    pub(super) fn more_urgent_priorities(&self, query: &ChoiceQuery<'_>, now: MonoTime) -> u32 {
        self.admission_of(query.service).more_urgent_priorities(query.priority, now) as u32
    }

    /// Load of a service's targets divided by their capacity for requests of this priority.
    pub fn utilisation(&self, query: &ChoiceQuery<'_>, now: MonoTime) -> f64 {
        let keys = self.of_service(query.service).iter();
        let targets = keys.filter_map(|key| self.target(*key));
        let usable = targets.filter(|state| {
            !state.record.is_leaving
                && !state.health.is_unreachable()
                && self.may_serve(state, query)
                && !state.closing.is_closed(now)
        });
        let (load, limit) = usable.fold((0.0, 0.0), |(load, limit), state| {
            let places = self.fragile_places(state).map_or(f64::INFINITY, f64::from);
            let capacity = self
                .max_in_flight(state, query, now)
                .min(self.rate_capacity(state, query, now))
                .min(places);
            (load + f64::from(state.requests(now)), limit + capacity)
        });
        if limit > 0.0 { load / limit } else { 0.0 }
    }

    /// Whether a target can accept one more request and start its reply within the latency
    /// objective.
    pub(super) fn has_capacity(
        &self,
        state: &TargetState,
        query: &ChoiceQuery<'_>,
        now: MonoTime,
    ) -> bool {
        let load = f64::from(state.requests(now));
        load + 1.0 <= self.max_in_flight(state, query, now)
            && !self.is_backlogged(state, query, now)
    }

    /// Whether a target is busy and has more prompts to prefill than the request can wait for.
    fn is_backlogged(&self, state: &TargetState, query: &ChoiceQuery<'_>, now: MonoTime) -> bool {
        let load = f64::from(state.requests(now));
        self.backlog_ms(state) > self.max_backlog_ms(query, now)
            && load >= MIN_BUSY_FRACTION * f64::from(state.record.slots)
    }

    /// Milliseconds that a target takes to prefill the prompts it has.
    fn backlog_ms(&self, state: &TargetState) -> f64 {
        f64::from(state.backlog_tokens()) / PREFILL_TOKENS_PER_MS
    }

    /// Milliseconds of prefill before which a request may be queued.
    fn max_backlog_ms(&self, query: &ChoiceQuery<'_>, now: MonoTime) -> f64 {
        let more_urgent = self.more_urgent_priorities(query, now);
        query.goal_ms as f64 * BACKLOG_FACTOR.powi(more_urgent as i32)
    }

    /// When a place for the request is to become free, by what is known of the targets; `daemons` share them.
    pub fn room_forecast(
        &self,
        query: &ChoiceQuery<'_>,
        daemons: usize,
        now: MonoTime,
    ) -> RoomForecast {
        let access = self.access_query(query, now);
        let targets = self.of_service(query.service).iter().filter_map(|key| self.target(*key));
        let usable = targets.filter(|state| {
            !state.record.is_leaving
                && state.remove_at.is_none()
                && !state.health.is_unreachable()
                && self.may_serve(state, query)
        });
        let slot_ms = self.admission_of(query.service).slot_ms.unwrap_or_default();
        let mut slots_per_ms = 0.0;
        let mut first_ms = None;
        for state in usable {
            let place_ms =
                slot_ms * self.work_time(state, now) / f64::from(state.record.slots.max(1));
            slots_per_ms += if place_ms > 0.0 { 1.0 / place_ms } else { 0.0 };
            if let Some(wait_ms) = self.millis_until_room(state, query, access, now) {
                first_ms = Some(first_ms.map_or(wait_ms, |first: u64| first.min(wait_ms)));
            }
        }
        let interval_ms = match slots_per_ms > 0.0 {
            true => daemons.max(1) as f64 / slots_per_ms,
            false => 0.0,
        };
        RoomForecast { first_ms, interval_ms }
    }

    /// Milliseconds until a target has room for the request; `None` if that depends on other requests or daemons.
    fn millis_until_room(
        &self,
        state: &TargetState,
        query: &ChoiceQuery<'_>,
        access: AccessQuery,
        now: MonoTime,
    ) -> Option<u64> {
        let access_ms = match self.check_access(state, access, now) {
            Ok(()) => 0,
            Err(denial) => denial.ends_at?.millis_since(now),
        };
        let slot_ms = self.admission_of(query.service).slot_ms.unwrap_or_default();
        let excess = f64::from(state.requests(now)) + 1.0 - self.max_in_flight(state, query, now);
        let slots = f64::from(state.record.slots.max(1));
        let place_ms = excess.max(0.0) * slot_ms * self.work_time(state, now) / slots;
        let backlog_ms = match self.is_backlogged(state, query, now) {
            true => self.backlog_ms(state) - self.max_backlog_ms(query, now),
            false => 0.0,
        };
        Some(access_ms.max(place_ms.max(backlog_ms).max(0.0).ceil() as u64))
    }

    /// Requests that are in flight at a target on average when it gets as many as it takes.
    fn rate_capacity(&self, state: &TargetState, query: &ChoiceQuery<'_>, now: MonoTime) -> f64 {
        let slot_ms = self.admission_of(query.service).slot_ms;
        match (state.rate.limit(now), slot_ms) {
            (Some(limit), Some(slot_ms)) => (limit.per_second * slot_ms / 1_000.0).max(1.0),
            _ => f64::INFINITY,
        }
    }

    /// Requests that a target may have in flight, with the new one, so that each gets a slot in
    /// time.
    fn max_in_flight(&self, state: &TargetState, query: &ChoiceQuery<'_>, now: MonoTime) -> f64 {
        let admission = self.admission_of(query.service);
        let Some(usual_ms) = admission.slot_ms else { return f64::INFINITY };
        let slot_ms = usual_ms * self.work_time(state, now);
        let slots = f64::from(state.record.slots.max(1));
        let goal_ms = query.goal_ms as f64;
        // A refused caller loses at least the minimum retry delay, so a reply that late is no
        // worse.
        let late_wait_ms = goal_ms + MIN_RETRY_AFTER_MS as f64 - slot_ms;
        let wait_ms = late_wait_ms.max(MIN_WAIT_FRACTION * goal_ms);
        let queued = slots * wait_ms / slot_ms.max(1.0);
        let reserve =
            PRIORITY_RESERVE * f64::from(admission.more_urgent_priorities(query.priority, now));
        ((slots + queued) * (1.0 - reserve)).max(1.0)
    }

    /// Whether a target may serve a request at all, by its data centre.
    fn may_serve(&self, state: &TargetState, query: &ChoiceQuery<'_>) -> bool {
        query.allows(state) && !self.is_evacuated(state)
    }

    /// How long work takes at the target with this key, relative to the usual time of its service.
    pub fn relative_work_time(&self, key: TargetKey, now: MonoTime) -> f64 {
        self.target(key).map_or(1.0, |state| self.work_time(state, now))
    }

    /// How long work takes at a target, relative to the usual time of its service.
    pub(super) fn work_time(&self, state: &TargetState, now: MonoTime) -> f64 {
        let measured = match self.measures_work_times {
            true => {
                let service_ms = self.admission_of(&state.record.service).plain_durations.millis();
                state.work_time.measured(service_ms, now)
            }
            false => 1.0,
        };
        state.work_time.stated(now).unwrap_or(1.0) * measured
    }

    fn admission_of(&self, service: &str) -> ServiceAdmission {
        self.admissions.get(service).copied().unwrap_or_default()
    }

    fn admission_mut(&mut self, service: &str) -> &mut ServiceAdmission {
        self.admissions.entry(service.to_owned()).or_default()
    }
}
