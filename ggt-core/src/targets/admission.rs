//! Whether a service has room for one more request, and when a caller that was refused should return.
//!
//! A request that would wait behind others for most of its goal is refused at once, so that those
//! which are taken are answered in time. Less urgent requests find a service full before more urgent
//! ones do.

use crate::clock::MonoTime;
use crate::ident::mix_hash;
use crate::targets::ChoiceQuery;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetState;
use crate::targets::choice::TOKENS_PER_MS;

/// Part of the goal that a request may wait for a place at its target in any case.
const WAIT_PART: f64 = 0.4;
/// Part of the places that a request leaves to each more urgent priority that the service is asked for.
const PRIORITY_RESERVE: f64 = 0.1;
/// Priorities that are told apart; less urgent ones count as the last.
const PRIORITIES: usize = 4;
/// Milliseconds after its last request for which a priority has places left to it.
const PRIORITY_MEMORY_MS: u64 = 5_000;
/// Factor by which the unread prompts that a request may find before it shrink with each more urgent
/// priority that the service is asked for: targets read more urgent prompts first.
const BACKLOG_FACTOR: f64 = 0.4;
/// Part of its places that must be taken before a target counts as full for its unread prompts.
const MIN_TAKEN_PART: f64 = 0.5;
/// Weight of one request in the mean time for which requests hold their places.
const HOLD_WEIGHT: f64 = 0.05;
/// Milliseconds without a refusal after which a service counts as having room again.
const SPELL_END_MS: u64 = 1_000;
/// Shortest time in milliseconds after which a refused caller should return.
const MIN_RETURN_MS: u64 = 150;
/// Longest time in milliseconds after which a refused caller should return.
const MAX_RETURN_MS: u64 = 10_000;
/// Steps of priority by which the time to return grows at most.
const MAX_PRIORITY_STEPS: u64 = 3;

/// What is known of a full service when it refuses a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullNote {
    /// Milliseconds after which the caller should return.
    pub retry_after_ms: u64,
    /// Milliseconds for which the service has been full.
    pub full_ms: u64,
    /// Mean time in milliseconds for which its requests hold their places.
    pub hold_ms: Option<f64>,
}

/// What one daemon knows of the room at a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ServiceRoom {
    /// Mean time in milliseconds for which requests hold their places.
    hold_ms: Option<f64>,
    /// When the service became full.
    full_from: MonoTime,
    /// When a request was last refused because it was full.
    full_at: Option<MonoTime>,
    /// When a request of each priority was last made.
    asked_at: [Option<MonoTime>; PRIORITIES],
}

impl ServiceRoom {
    /// More urgent priorities that the service has lately been asked for.
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
    /// Records that a service was asked for a request of some priority.
    pub fn note_asked(&mut self, service: &str, priority: u32, now: MonoTime) {
        self.room_mut(service).asked_at[place_of(priority)] = Some(now);
    }

    /// Records how long a request was at its target, which had `load` requests in flight when it came.
    ///
    /// Beyond the target's places it waited first; that part is not counted as holding a place.
    pub fn note_held(&mut self, key: TargetKey, load: u32, held_ms: u64) {
        let Some(state) = self.target(key) else { return };
        let slots = state.record.slots.max(1);
        let service = state.record.service.clone();
        let held = held_ms as f64 * f64::from(slots) / f64::from(slots.max(load));
        let room = self.room_mut(&service);
        let mean = room.hold_ms.map_or(held, |mean| mean + HOLD_WEIGHT * (held - mean));
        room.hold_ms = Some(mean);
    }

    /// Records that a request was refused because its service is full, and tells when its caller should
    /// return.
    ///
    /// A service that has been full for some time is expected to stay so for as long again. More urgent
    /// callers return first, and those of one priority spread over time.
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

    /// Load of a service's targets over what they may carry for requests of this priority.
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

    /// Whether a target can take one more request and still begin its answer within the goal.
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

    /// Requests that a target may have in flight so that the next one gets a place in time.
    fn limit_of(&self, state: &TargetState, query: &ChoiceQuery<'_>, now: MonoTime) -> f64 {
        let room = self.room_of(query.service);
        let Some(hold_ms) = room.hold_ms else { return f64::INFINITY };
        let slots = f64::from(state.record.slots.max(1));
        let goal_ms = query.goal_ms as f64;
        // A refusal costs the caller the time until it may return, so a somewhat late answer is better.
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
