//! Which target takes a request.

use snafu::Snafu;

use crate::clock::MonoTime;
use crate::prompts::PromptChain;
use crate::prompts::PromptPart;
use crate::routing::rendezvous_score;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetState;

/// What the choice of a target rests on.
#[derive(Clone, Debug)]
pub struct ChoiceQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// The prompt, when the service's targets cache prompts.
    pub chain: Option<&'a PromptChain>,
    /// Spreads requests without a prompt.
    pub spread_hash: u64,
    /// Milliseconds within which the first event is due.
    pub goal_ms: u64,
    /// Rank, 0 is the highest.
    pub priority: u32,
    /// The daemon's own data centre.
    pub data_centre: &'a str,
    /// Targets that the request has been sent to.
    pub tried: &'a [TargetKey],
    /// Whether it has begun to run, so that it is not refused for want of room.
    pub has_begun: bool,
    /// Whether the request may run more than once, so that it may try a doubtful target.
    pub is_idempotent: bool,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It has read the prompt's shared part.
    Cached,
    /// First in the prompt's order of targets.
    Home,
    /// First in the prompt's order that is below the bound on load.
    Spill,
    /// The least loaded, since all are above the bound.
    Least,
    /// By its free places.
    Free,
    /// One request shows whether the target is fit again.
    Trial,
}

impl ChoiceReason {
    /// The reason as it stands in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cached => "cached",
            Self::Home => "home",
            Self::Spill => "spill",
            Self::Least => "least",
            Self::Free => "free",
            Self::Trial => "trial",
        }
    }
}

/// A chosen target and what the choice rested on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetChoice {
    /// The target.
    pub key: TargetKey,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Its load before the request, in requests.
    pub load: f64,
    /// The bound on load that held.
    pub bound: f64,
    /// Another target that has read the prompt, from which the chosen one may copy it.
    pub source: Option<TargetKey>,
}

/// Why no target can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ChoiceError {
    /// The service has no target that may be used.
    #[snafu(display("the service has no usable target"))]
    NoTarget,
    /// All that may be used are full.
    #[snafu(display("the service's targets are full"))]
    Full,
}

/// The load of a target that takes a prompt which no target has read may exceed the mean of its
/// service by this factor.
const LOAD_FACTOR: f64 = 1.25;
/// Requests by which such a load may exceed the bound's factor, so that idle services are not tight.
const LOAD_SLACK: f64 = 1.0;
/// The load of a target that has read the prompt may exceed the mean by this factor.
const CACHED_LOAD_FACTOR: f64 = 1.5;
/// Requests by which such a load may exceed the bound's factor.
const CACHED_LOAD_SLACK: f64 = 2.0;
/// Prompt tokens still to be read that weigh as much as one running request.
const TOKENS_PER_REQUEST: f64 = 4_000.0;
/// Prompt tokens that an engine reads in a millisecond.
pub(super) const TOKENS_PER_MS: f64 = 100.0;
/// Prompt tokens from which on a copy from another target is faster than reading them.
const MIN_COPY_TOKENS: u32 = 512;
/// Part of the goal that a prompt may wait for others to be read before it goes to a target that
/// must read it anew.
const WAIT_PART: f64 = 0.4;
/// Times as many requests that a target of the daemon's own data centre gets as an equally free one
/// elsewhere.
const OWN_CENTRE_WEIGHT: f64 = 8.0;
/// Part of its places that a target counts as free at least, so that it is never forgotten.
const MIN_FREE_PART: f64 = 0.02;
/// Part of all targets that cannot be reached from which on a daemon counts as cut off.
const CUT_OFF_PART: f64 = 0.85;
/// Unreachable targets in one data centre from which on the whole data centre is avoided.
const MIN_CENTRE_LOSSES: usize = 2;

impl TargetPool {
    /// Chooses a target.
    ///
    /// Prompts have an order of targets that is the same on all daemons; a request goes to the first
    /// one whose load is below the bound, so that a hot part spreads over as many targets as it
    /// needs. Requests without a prompt are spread by free places.
    ///
    /// # Errors
    /// [`ChoiceError`] when no target may be used, or none has room.
    pub fn choose(
        &self,
        query: &ChoiceQuery<'_>,
        now: MonoTime,
    ) -> Result<TargetChoice, ChoiceError> {
        let keys = self.of_service(query.service).iter();
        let listed: Vec<_> = keys
            .filter_map(|key| self.target(*key).map(|state| (*key, state)))
            .filter(|(key, state)| !state.record.is_leaving && !query.tried.contains(key))
            .collect();
        let listed = without_doubtful(listed);
        if let Some(choice) = trial(&listed, query, now) {
            return Ok(choice);
        }
        let reachable = listed.iter().filter(|(_, state)| !state.health.is_unreachable()).copied();
        let reachable: Vec<_> = reachable.collect();
        let fit: Vec<_> = reachable.iter().filter(|(_, s)| is_fit(s, now)).copied().collect();
        // When most targets answer with errors, the fault is more likely elsewhere, and those left
        // must not be overrun.
        let usable = if fit.len() * 2 < reachable.len() { reachable } else { fit };
        let usable = self.outside_lost_centres(usable, query.data_centre);
        if usable.is_empty() {
            return Err(ChoiceError::NoTarget);
        }
        let has_room = |state| query.has_begun || self.has_room(state, query, now);
        let roomy = usable.iter().filter(|(_, state)| has_room(state)).copied();
        let roomy: Vec<_> = roomy.collect();
        if roomy.is_empty() {
            return Err(ChoiceError::Full);
        }
        let mean = usable.iter().map(|(_, s)| load_of(s)).sum::<f64>() / usable.len() as f64;
        let bound = LOAD_FACTOR * (mean + 1.0) + LOAD_SLACK;
        let Some(anchor) = query.chain.and_then(PromptChain::anchor) else {
            return Ok(by_free_places(&roomy, query, bound));
        };
        let wall = CACHED_LOAD_FACTOR * mean + CACHED_LOAD_SLACK;
        let wait = WAIT_PART * query.goal_ms as f64;
        let cached = least_cached(&roomy, anchor.hash, wall, wait);
        if let Some(choice) = cached {
            return Ok(choice);
        }
        let choice = in_order(&roomy, anchor.hash, bound);
        Ok(TargetChoice { source: self.source_of(query, anchor, choice.key, now), ..choice })
    }
}

impl TargetPool {
    /// The targets outside data centres in which several targets cannot be reached, or all of them when
    /// none would be left: a cut between data centres shows at a few targets first.
    fn outside_lost_centres<'a>(
        &self,
        usable: Vec<(TargetKey, &'a TargetState)>,
        own_centre: &str,
    ) -> Vec<(TargetKey, &'a TargetState)> {
        let lost = self.iter().filter(|(_, state)| state.health.is_unreachable());
        let lost: Vec<_> = lost.map(|(_, state)| state.record.data_centre.as_str()).collect();
        if lost.len() < MIN_CENTRE_LOSSES {
            return usable;
        }
        let is_lost = |state: &TargetState| {
            let centre = state.record.data_centre.as_str();
            centre != own_centre
                && lost.iter().filter(|other| **other == centre).count() >= MIN_CENTRE_LOSSES
        };
        let outside: Vec<_> = usable.iter().filter(|(_, s)| !is_lost(s)).copied().collect();
        if outside.is_empty() { usable } else { outside }
    }

    /// Whether hardly any target can be reached, so that the fault is this daemon's own place.
    pub fn is_cut_off(&self) -> bool {
        let lost = self.iter().filter(|(_, state)| state.health.is_unreachable()).count();
        lost as f64 > CUT_OFF_PART * self.len() as f64
    }

    /// A target that the chosen one may copy the prompt from, when that is worth its while.
    ///
    /// Targets that are leaving still serve as sources.
    fn source_of(
        &self,
        query: &ChoiceQuery<'_>,
        anchor: PromptPart,
        chosen: TargetKey,
        now: MonoTime,
    ) -> Option<TargetKey> {
        let missing = self.target(chosen)?.missing_tokens(query.chain?);
        if anchor.tokens.min(missing) < MIN_COPY_TOKENS {
            return None;
        }
        let others = self.of_service(query.service).iter().filter(|key| **key != chosen);
        let holders = others
            .filter_map(|key| self.target(*key).map(|state| (*key, state)))
            .filter(|(_, state)| state.holds(anchor.hash) && is_fit(state, now));
        holders.max_by_key(|(_, state)| state.heard_at).map(|(key, _)| key)
    }
}

/// The targets that the platform lists, or all when most are no longer listed: a few that are missing
/// after the platform was away have left, but when most are missing they could not renew.
fn without_doubtful(targets: Vec<(TargetKey, &TargetState)>) -> Vec<(TargetKey, &TargetState)> {
    let doubtful = targets.iter().filter(|(_, state)| state.gone_at.is_some()).count();
    if doubtful * 2 > targets.len() {
        return targets;
    }
    targets.into_iter().filter(|(_, state)| state.gone_at.is_none()).collect()
}

fn is_fit(state: &TargetState, now: MonoTime) -> bool {
    !state.health.is_held(now) && !state.health.is_on_trial(now)
}

/// A target whose hold is over and that one request is to show to be fit again.
///
/// A request that may run only once goes to a target that could not be reached, since it either does
/// not get there or finds it well, but not to one that answered with errors.
fn trial(
    listed: &[(TargetKey, &TargetState)],
    query: &ChoiceQuery<'_>,
    now: MonoTime,
) -> Option<TargetChoice> {
    if !query.tried.is_empty() {
        return None;
    }
    let is_due = |state: &TargetState| {
        state.health.is_on_trial(now)
            && state.own.requests == 0
            && (query.is_idempotent || state.health.is_unreachable())
    };
    let (key, state) = listed.iter().find(|(_, state)| is_due(state))?;
    let load = load_of(state);
    Some(TargetChoice { key: *key, reason: ChoiceReason::Trial, load, bound: load, source: None })
}

/// The least loaded target that has read the prompt and will soon be free to go on with it.
fn least_cached(
    usable: &[(TargetKey, &TargetState)],
    anchor: u64,
    wall: f64,
    wait_ms: f64,
) -> Option<TargetChoice> {
    let is_near = |state: &TargetState| {
        f64::from(state.requests()) + 1.0 <= wall
            && f64::from(state.backlog_tokens()) / TOKENS_PER_MS <= wait_ms
    };
    let holders = usable.iter().filter(|(_, state)| state.holds(anchor) && is_near(state));
    let least = holders.min_by(|(_, a), (_, b)| load_of(a).total_cmp(&load_of(b)));
    least.map(|(key, state)| {
        let load = load_of(state);
        TargetChoice { key: *key, reason: ChoiceReason::Cached, load, bound: wall, source: None }
    })
}

fn in_order(usable: &[(TargetKey, &TargetState)], anchor: u64, bound: f64) -> TargetChoice {
    let mut order: Vec<_> = usable
        .iter()
        .map(|(key, state)| (rendezvous_score(anchor, state.place_hash, 1.0), *key, load_of(state)))
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    let below = order.iter().position(|(_, _, load)| load + 1.0 <= bound);
    let (place, reason) = match below {
        Some(0) => (0, ChoiceReason::Home),
        Some(place) => (place, ChoiceReason::Spill),
        None => {
            let loads = order.iter().enumerate().min_by(|a, b| a.1.2.total_cmp(&b.1.2));
            (loads.map_or(0, |(place, _)| place), ChoiceReason::Least)
        }
    };
    let (_, key, load) = order[place];
    TargetChoice { key, reason, load, bound, source: None }
}

/// A target at random, in proportion to the square of its free places.
///
/// Daemons that all took the least loaded target by the same, somewhat old account would overrun it
/// together until the next account.
fn by_free_places(
    usable: &[(TargetKey, &TargetState)],
    query: &ChoiceQuery<'_>,
    bound: f64,
) -> TargetChoice {
    let weight = |state: &TargetState| {
        let slots = f64::from(state.record.slots.max(1));
        let free = ((slots - load_of(state)) / slots).max(MIN_FREE_PART);
        let is_near = state.record.data_centre == query.data_centre;
        free * free * if is_near { OWN_CENTRE_WEIGHT } else { 1.0 }
    };
    let score =
        |state: &TargetState| rendezvous_score(query.spread_hash, state.place_hash, weight(state));
    let chosen = usable.iter().max_by(|(_, a), (_, b)| score(a).total_cmp(&score(b)));
    let (key, state) = chosen.unwrap_or(&usable[0]);
    let load = load_of(state);
    TargetChoice { key: *key, reason: ChoiceReason::Free, load, bound, source: None }
}

/// Load in requests, with the prompts that are still to be read.
fn load_of(state: &TargetState) -> f64 {
    f64::from(state.requests()) + f64::from(state.backlog_tokens()) / TOKENS_PER_REQUEST
}
