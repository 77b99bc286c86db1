//! Choice of the target for a request with a prompt, by its shared prefix.
//!
//! Loads are as old as the peers' reports. Until the next ones, no daemon knows what the others send, so a
//! popular prefix goes to so many targets that all of them together have room for what all daemons will send
//! by then. A choice that all daemons make alike, such as the least loaded target, would send all of it to one.

use crate::clock::MonoTime;
use crate::routing::rendezvous_score;
use crate::targets::ChoiceFigures;
use crate::targets::ChoiceQuery;
use crate::targets::ChoiceReason;
use crate::targets::TargetChoice;
use crate::targets::TargetKey;
use crate::targets::TargetState;
use crate::targets::choice::PREFILL_TOKENS_PER_MS;
use crate::targets::choice::load_of;

/// Factor by which the load of a target may exceed the mean when it has the shared prefix cached.
const CACHED_LOAD_FACTOR: f64 = 1.5;
/// Requests added to the bound for cached prefixes.
const CACHED_LOAD_SLACK: f64 = 2.0;
/// Fraction of the latency objective for which a request may wait for the prefill backlog of a
/// target with its prefix cached; beyond it, another target prefills the prefix anew.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Minimum room below the load bound, in requests, that is assumed for a target with the prefix cached.
const MIN_ROOM: f64 = 0.5;

/// The loads and the demand by which a request with a prompt is placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementBounds {
    /// Mean load of the usable targets, in requests.
    pub mean: f64,
    /// Load bound of targets that don't have the prefix cached.
    pub uncached: f64,
    /// Requests with the prefix that the other daemons send until this daemon hears of them.
    pub unreported: f64,
}

impl PlacementBounds {
    fn cached(&self) -> f64 {
        CACHED_LOAD_FACTOR * self.mean + CACHED_LOAD_SLACK
    }
}

/// A target that may get the request.
#[derive(Clone, Copy)]
struct Placement<'a> {
    key: TargetKey,
    state: &'a TargetState,
    reason: ChoiceReason,
    load: f64,
    bound: f64,
}

impl Placement<'_> {
    fn room(&self) -> f64 {
        (self.bound - self.load).max(MIN_ROOM)
    }

    fn choice(&self) -> TargetChoice {
        let Self { key, reason, load, bound, .. } = *self;
        TargetChoice { key, reason, load, bound, source: None, figures: ChoiceFigures::default() }
    }
}

/// A target at random among those that have the prefix cached or, if there is none, the first one in the
/// prefix's rendezvous order that is within its bound; the least loaded one if all exceed it.
///
/// While the demand exceeds their room, the next ones in that order are added, and each gets requests in
/// proportion to its room. Otherwise less loaded ones are preferred more than that.
pub(super) fn choose_by_prefix(
    usable: &[(TargetKey, &TargetState)],
    query: &ChoiceQuery<'_>,
    anchor: u64,
    bounds: PlacementBounds,
    now: MonoTime,
) -> TargetChoice {
    let mut placements = cached_placements(usable, query, anchor, bounds, now);
    let cached_room: f64 = placements.iter().map(Placement::room).sum();
    let is_popular = cached_room < bounds.unreported;
    if placements.is_empty() || is_popular {
        let mut room = cached_room;
        for other in ordered_placements(usable, anchor, bounds, now) {
            if placements.iter().any(|placement| placement.key == other.key) {
                continue;
            }
            room += other.room();
            placements.push(other);
            if room >= bounds.unreported {
                break;
            }
        }
    }
    let weight = |room: f64| if is_popular { room } else { room * room };
    let score = |placement: &Placement<'_>| {
        let weight = weight(placement.room());
        rendezvous_score(query.spread_hash, placement.state.location_hash, weight)
    };
    let chosen = placements.iter().max_by(|a, b| score(a).total_cmp(&score(b)));
    chosen.map_or_else(|| least_loaded(usable, bounds, now), Placement::choice)
}

/// The targets that have the prefix cached, are within the load bound and have a short prefill backlog.
fn cached_placements<'a>(
    usable: &[(TargetKey, &'a TargetState)],
    query: &ChoiceQuery<'_>,
    anchor: u64,
    bounds: PlacementBounds,
    now: MonoTime,
) -> Vec<Placement<'a>> {
    let bound = bounds.cached();
    let max_wait_ms = MAX_WAIT_FRACTION * query.goal_ms as f64;
    let is_within_limits = |state: &TargetState| {
        f64::from(state.requests(now)) + 1.0 <= bound
            && f64::from(state.backlog_tokens()) / PREFILL_TOKENS_PER_MS <= max_wait_ms
    };
    let cached =
        usable.iter().filter(|(_, state)| state.has_cached(anchor) && is_within_limits(state));
    let placements = cached.map(|(key, state)| Placement {
        key: *key,
        state,
        reason: ChoiceReason::Cached,
        load: load_of(state, now),
        bound,
    });
    placements.collect()
}

/// The targets within the load bound in the prefix's rendezvous order.
fn ordered_placements<'a>(
    usable: &[(TargetKey, &'a TargetState)],
    anchor: u64,
    bounds: PlacementBounds,
    now: MonoTime,
) -> impl Iterator<Item = Placement<'a>> {
    let scored = usable
        .iter()
        .map(|(key, state)| (rendezvous_score(anchor, state.location_hash, 1.0), *key, *state));
    let mut order: Vec<_> = scored.collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    let placements = order.into_iter().enumerate().map(move |(position, (_, key, state))| {
        let reason = if position == 0 { ChoiceReason::Home } else { ChoiceReason::Spill };
        Placement { key, state, reason, load: load_of(state, now), bound: bounds.uncached }
    });
    placements.filter(|placement| placement.load + 1.0 <= placement.bound)
}

fn least_loaded(
    usable: &[(TargetKey, &TargetState)],
    bounds: PlacementBounds,
    now: MonoTime,
) -> TargetChoice {
    let load = |state: &TargetState| load_of(state, now);
    let least = usable.iter().min_by(|(_, a), (_, b)| load(a).total_cmp(&load(b)));
    let (key, state) = least.unwrap_or(&usable[0]);
    let reason = ChoiceReason::Least;
    TargetChoice {
        key: *key,
        reason,
        load: load(state),
        bound: bounds.uncached,
        source: None,
        figures: ChoiceFigures::default(),
    }
}
