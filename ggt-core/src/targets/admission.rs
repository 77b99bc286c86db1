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
use crate::targets::choice::TOKENS_PER_MS;

/// Fraction of the latency objective for which a request may always queue for a slot.
const WAIT_PART: f64 = 0.4;
/// Fraction of the capacity reserved for each more urgent priority with recent requests.
const PRIORITY_RESERVE: f64 = 0.1;
/// Number of distinct priorities; less urgent ones are treated as the last.
const PRIORITIES: usize = 4;
/// Milliseconds for which capacity stays reserved for a priority after its latest request.
const PRIORITY_MEMORY_MS: u64 = 5_000;
/// Factor by which the accepted prefill backlog shrinks with each more urgent priority with recent
/// requests, since targets prefill more urgent prompts first.
const BACKLOG_FACTOR: f64 = 0.4;
/// Fraction of its slots that a target must have in use before its prefill backlog can make it
/// count as at capacity.
const MIN_TAKEN_PART: f64 = 0.5;
/// Weight of the latest request in the moving average of the time that a request occupies a slot.
const HOLD_WEIGHT: f64 = 0.05;
/// Milliseconds without a refusal after which an overload counts as over.
const SPELL_END_MS: u64 = 1_000;
/// Minimum retry delay for a refused caller in milliseconds.
const MIN_RETURN_MS: u64 = 150;
/// Maximum retry delay for a refused caller in milliseconds.
const MAX_RETURN_MS: u64 = 10_000;
/// Priority from which on the retry delay grows no further.
const MAX_PRIORITY_STEPS: u64 = 3;

/// Estimates of an overload, made when a service refuses a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullNote {
    /// Milliseconds after which the caller should retry.
    pub retry_after_ms: u64,
    /// Milliseconds since the overload began.
    pub full_ms: u64,
    /// Mean time in milliseconds that its requests occupy a slot; `None` before the first one ends.
    pub hold_ms: Option<f64>,
}

/// Admission state of one service at one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ServiceRoom {
    /// Moving average of the time that a request occupies a slot, in milliseconds.
    hold_ms: Option<f64>,
    /// Start of the current or latest overload.
    full_from: MonoTime,
    /// Time of the latest refusal for lack of capacity.
    full_at: Option<MonoTime>,
    /// Time of the latest request of each priority.
    asked_at: [Option<MonoTime>; PRIORITIES],
}

impl ServiceRoom {
    /// Number of more urgent priorities with recent requests.
    fn priorities_ahead(&self, priority: u32, now: MonoTime) -> i32 {
        let is_lately = |asked_at: &&Option<MonoTime>| {
            asked_at.is_some_and(|asked_at| asked_at + PRIORITY_MEMORY_MS >= now)
        };
        self.asked_at[..place_of(priority)].iter().filter(is_lately).count() as i32
    }
}

fn place_of(priority: u32) -> usize {
    usize::try_from(priority).unwrap_or(usize::MAX).min(PRIORITIES - 1)
}

impl TargetPool {
    /// Records a request of some priority for a service, whether it is admitted or not.
    pub fn note_asked(&mut self, service: &str, priority: u32, now: MonoTime) {
        self.room_mut(service).asked_at[place_of(priority)] = Some(now);
    }

    /// Records how long a request took at its target, which had `load` requests in flight with it.
    ///
    /// If the load exceeded the target's slots, the request queued first; that part of the time is
    /// not counted.
    pub fn note_held(&mut self, key: TargetKey, load: u32, held_ms: u64) {
        let Some(state) = self.target(key) else { return };
        let slots = state.record.slots.max(1);
        let service = state.record.service.clone();
        let held = held_ms as f64 * f64::from(slots) / f64::from(slots.max(load));
        let room = self.room_mut(&service);
        let mean = room.hold_ms.map_or(held, |mean| mean + HOLD_WEIGHT * (held - mean));
        room.hold_ms = Some(mean);
    }

    /// Records that a request was refused for lack of capacity, and estimates when its caller
    /// should retry.
    ///
    /// An overload is expected to last as long again as it has lasted. More urgent callers retry
    /// first, and those of one priority are spread over time.
    pub fn note_full(&mut self, query: &ChoiceQuery<'_>, now: MonoTime) -> FullNote {
        let room = self.room_mut(query.service);
        let goes_on = room.full_at.is_some_and(|full_at| full_at + SPELL_END_MS >= now);
        if !goes_on {
            room.full_from = now;
        }
        room.full_at = Some(now);
        let full_ms = now.millis_since(room.full_from);
        let expected_ms = full_ms.clamp(MIN_RETURN_MS, MAX_RETURN_MS);
        let steps = u64::from(query.priority).min(MAX_PRIORITY_STEPS);
        let spread_ms = mix_hash(query.spread_hash, now.as_millis()) % (expected_ms / 2).max(1);
        let retry_after_ms = (expected_ms + expected_ms * steps / 2 + spread_ms).min(MAX_RETURN_MS);
        FullNote { retry_after_ms, full_ms, hold_ms: room.hold_ms }
    }

    /// Load of a service's targets divided by their capacity for requests of this priority.
    pub fn utilisation(&self, query: &ChoiceQuery<'_>, now: MonoTime) -> f64 {
        let keys = self.of_service(query.service).iter();
        let targets = keys.filter_map(|key| self.target(*key));
        let fit =
            targets.filter(|state| !state.record.is_leaving && !state.health.is_unreachable());
        let (load, limit) = fit.fold((0.0, 0.0), |(load, limit), state| {
            (load + f64::from(state.requests()), limit + self.limit_of(state, query, now))
        });
        if limit > 0.0 { load / limit } else { 0.0 }
    }

    /// Whether a target can accept one more request and start its reply within the latency
    /// objective.
    pub(super) fn has_room(
        &self,
        state: &TargetState,
        query: &ChoiceQuery<'_>,
        now: MonoTime,
    ) -> bool {
        let load = f64::from(state.requests());
        let room = self.room_of(query.service);
        let ahead = room.priorities_ahead(query.priority, now);
        let may_find_ms = query.goal_ms as f64 * BACKLOG_FACTOR.powi(ahead);
        let is_behind = f64::from(state.backlog_tokens()) / TOKENS_PER_MS > may_find_ms
            && load >= MIN_TAKEN_PART * f64::from(state.record.slots);
        load + 1.0 <= self.limit_of(state, query, now) && !is_behind
    }

    /// Requests that a target may have in flight, with the new one, so that each gets a slot in
    /// time.
    fn limit_of(&self, state: &TargetState, query: &ChoiceQuery<'_>, now: MonoTime) -> f64 {
        let room = self.room_of(query.service);
        let Some(hold_ms) = room.hold_ms else { return f64::INFINITY };
        let slots = f64::from(state.record.slots.max(1));
        let goal_ms = query.goal_ms as f64;
        // A refused caller loses at least the minimum retry delay, so a reply that late is no
        // worse.
        let served_in_ms = goal_ms + MIN_RETURN_MS as f64 - hold_ms;
        let wait_ms = served_in_ms.max(WAIT_PART * goal_ms);
        let waiting = slots * wait_ms / hold_ms.max(1.0);
        let reserve = PRIORITY_RESERVE * f64::from(room.priorities_ahead(query.priority, now));
        ((slots + waiting) * (1.0 - reserve)).max(1.0)
    }

    fn room_of(&self, service: &str) -> ServiceRoom {
        self.rooms.get(service).copied().unwrap_or_default()
    }

    fn room_mut(&mut self, service: &str) -> &mut ServiceRoom {
        self.rooms.entry(service.to_owned()).or_default()
    }
}
