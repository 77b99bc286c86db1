//! Choice of the target for a request.

use snafu::Snafu;

use crate::clock::MonoTime;
use crate::prompts::PrefixChain;
use crate::prompts::PromptPart;
use crate::routing::rendezvous_score;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetState;
use crate::targets::access::AccessQuery;
use crate::targets::access::DenialReason;
use crate::targets::candidates::is_healthy;
use crate::targets::candidates::is_silent;
use crate::targets::candidates::of_version;
use crate::targets::candidates::without_unlisted;
use crate::targets::placement::PlacementBounds;
use crate::targets::placement::choose_by_prefix;
use crate::targets::work_time::weight_factor;
use crate::versions::SoftwareVersion;

/// Inputs of the choice of a target.
#[derive(Clone, Debug)]
pub struct ChoiceQuery<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The prompt's prefixes, if the service's targets cache prompts.
    pub chain: Option<&'a PrefixChain>,
    /// Spreads requests without a prompt over the targets.
    pub spread_hash: u64,
    /// Latency objective of the first event, in milliseconds.
    pub goal_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// The daemon's own data centre.
    pub data_centre: &'a str,
    /// Targets to which the request has already been sent.
    pub tried: &'a [TargetKey],
    /// Whether the request may have run already; it is then not refused for lack of capacity.
    pub may_have_run: bool,
    /// Whether the request may run more than once, so that it can serve as a trial request to any
    /// target.
    pub is_idempotent: bool,
    /// Since when the request's last target has been silent. Other targets that have sent nothing since
    /// then, though they have requests of this daemon, are not chosen.
    pub silent_since: Option<MonoTime>,
    /// The only version that may serve the request, which goes on with a stream.
    pub version: Option<SoftwareVersion>,
    /// The only data centres in which the request may be processed; `None` if all are allowed.
    pub allowed_centres: Option<&'a [String]>,
}

impl ChoiceQuery<'_> {
    /// Whether the request may be processed by a target, by its data centre.
    pub(super) fn allows(&self, state: &TargetState) -> bool {
        self.allowed_centres.is_none_or(|centres| centres.contains(&state.record.data_centre))
    }
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The target has the prompt's shared prefix cached.
    Cached,
    /// First in the prompt's rendezvous order.
    Home,
    /// First in the prompt's rendezvous order that is within the load bound; targets before it are
    /// not.
    Spill,
    /// Least loaded, since all exceed the load bound.
    Least,
    /// Weighted random choice by free slots.
    Free,
    /// Trial request (half-open, as of a circuit breaker) after a hold-down.
    Trial,
}

impl ChoiceReason {
    /// The reason as written in logs and metrics.
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

/// A chosen target and the figures behind the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetChoice {
    /// The target.
    pub key: TargetKey,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Its load before this request, in requests; the prefill backlog is converted to requests.
    pub load: f64,
    /// The load bound that applied.
    pub bound: f64,
    /// Another target with the shared prefix cached, from which the chosen one may copy it.
    pub source: Option<TargetKey>,
    /// What the choice was made from.
    pub figures: ChoiceFigures,
}

/// What a choice was made from, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChoiceFigures {
    /// Number of targets that could be chosen, apart from their loads.
    pub usable: usize,
    /// Mean load of these, in requests.
    pub mean: f64,
    /// How many of these have the prompt's shared prefix cached.
    pub cached_at: usize,
    /// Requests with that prefix that the other daemons are expected to send until this daemon hears of them.
    pub unreported: f64,
}

/// Why no target can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ChoiceError {
    /// The service has no usable target.
    #[snafu(display("the service has no usable target"))]
    NoTarget,
    /// The service has no target in a data centre in which the request may be processed.
    #[snafu(display("no target of the service is in an allowed region"))]
    NotAllowed,
    /// All targets of the service are in evacuated data centres.
    #[snafu(display("every target of the service is in an evacuated data centre"))]
    Evacuated,
    /// All usable targets are at capacity.
    #[snafu(display("every usable target of the service is at capacity"))]
    Full,
    /// All usable targets have got as many requests as they say they take.
    #[snafu(display("every usable target of the service is at the rate that it takes"))]
    RateLimited,
    /// All usable targets have turned requests away and want none for some time.
    #[snafu(display("every usable target of the service wants no requests for some time"))]
    Closed,
    /// All usable targets are fragile and have as many requests in flight as this daemon may send.
    #[snafu(display("every usable target of the service has as many requests as it stands"))]
    Fragile,
    /// The service has no usable target of the version that began the stream.
    #[snafu(display("no usable target has the version that began the stream"))]
    NoVersion,
}

impl From<DenialReason> for ChoiceError {
    fn from(reason: DenialReason) -> Self {
        match reason {
            DenialReason::Closed => Self::Closed,
            DenialReason::RateLimited => Self::RateLimited,
            DenialReason::Fragile => Self::Fragile,
        }
    }
}

/// Factor by which the load of a target may exceed its service's mean when the prompt is not
/// cached.
const LOAD_FACTOR: f64 = 1.25;
/// Requests added to that bound, so that it does not restrict a nearly idle service.
const LOAD_SLACK: f64 = 1.0;
/// Uncached prompt tokens that count as much as one running request.
const PREFILL_TOKENS_PER_REQUEST: f64 = 4_000.0;
/// Prompt tokens that an engine prefills per millisecond.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 100.0;
/// Prompt tokens from which on a copy from another target's cache is faster than prefill.
const MIN_COPY_TOKENS: u32 = 512;
/// Milliseconds for which the caches of an evacuated data centre are copied from: it may go down soon.
const EVACUATED_SOURCE_MS: u64 = 5_000;
/// Weight of targets in the daemon's own data centre relative to equally free ones elsewhere.
const OWN_CENTRE_WEIGHT: f64 = 8.0;
/// Minimum free fraction assumed for a target, so that even a busy one is chosen now and then.
const MIN_FREE_FRACTION: f64 = 0.02;

impl TargetPool {
    /// Chooses a target.
    ///
    /// A prompt goes to a target that has its shared prefix cached, within a load bound; less loaded
    /// ones are preferred. If there is none, it goes to the first target within the bound in the prefix's
    /// rendezvous order, which is the same on all daemons. If the targets with a popular prefix have too
    /// little room for what all daemons send until they hear of each other, the next ones in that order
    /// are chosen, too. Requests without a prompt are spread by free slots.
    ///
    /// # Errors
    /// [`ChoiceError`] when no target is usable, or all are at capacity.
    pub fn choose(
        &self,
        query: &ChoiceQuery<'_>,
        now: MonoTime,
    ) -> Result<TargetChoice, ChoiceError> {
        let keys = self.of_service(query.service).iter();
        let all = keys.filter_map(|key| self.target(*key).map(|state| (*key, state)));
        let allowed: Vec<_> = all.filter(|(_, state)| query.allows(state)).collect();
        if allowed.is_empty() && query.allowed_centres.is_some() {
            return Err(ChoiceError::NotAllowed);
        }
        let (evacuated, elsewhere): (Vec<_>, Vec<_>) =
            allowed.into_iter().partition(|(_, state)| self.is_evacuated(state));
        if elsewhere.is_empty() && !evacuated.is_empty() {
            return Err(ChoiceError::Evacuated);
        }
        let untried: Vec<_> = elsewhere
            .into_iter()
            .filter(|(key, state)| {
                !query.tried.contains(key) && !state.replacement.is_in_force(now)
            })
            .filter(|(_, state)| query.silent_since.is_none_or(|since| !is_silent(state, since)))
            .collect();
        let staying = untried.iter().filter(|(_, state)| !state.record.is_leaving);
        let listed = without_unlisted(staying.copied().collect());
        let listed = match query.version {
            Some(version) => of_version(&listed, &untried, version, now),
            None => listed,
        };
        if query.version.is_some() && listed.is_empty() {
            return Err(ChoiceError::NoVersion);
        }
        let access = self.access_query(query, now);
        let may_get_more = |state: &TargetState| self.check_access(state, access, now).is_ok();
        if let Some(choice) = choose_trial(&listed, query, now, may_get_more) {
            return Ok(choice);
        }
        let reachable = self.reachable(&listed, now);
        let healthy: Vec<_> =
            reachable.iter().filter(|(_, s)| is_healthy(s, now)).copied().collect();
        // When most targets reply with errors, the cause is more likely elsewhere, and the few
        // healthy ones must not be overloaded.
        let usable = if healthy.len() * 2 < reachable.len() { reachable } else { healthy };
        let usable = self.outside_unreachable_centres(usable, query.data_centre);
        if usable.is_empty() {
            return Err(ChoiceError::NoTarget);
        }
        // Targets that may get none are idle by their load and would lower the mean.
        let usable = self.with_access(usable, access, now)?;
        let has_capacity = |state| query.may_have_run || self.has_capacity(state, query, now);
        let with_capacity = usable.iter().filter(|(_, state)| has_capacity(state)).copied();
        let with_capacity: Vec<_> = with_capacity.collect();
        // Other targets may have capacity, but none of them can go on with the stream.
        let with_capacity = match with_capacity.is_empty() && self.must_exceed_capacity(query) {
            true => usable.clone(),
            false => with_capacity,
        };
        if with_capacity.is_empty() {
            return Err(ChoiceError::Full);
        }
        let mean = usable.iter().map(|(_, s)| load_of(s, now)).sum::<f64>() / usable.len() as f64;
        let bound = LOAD_FACTOR * (mean + 1.0) + LOAD_SLACK;
        let figures = ChoiceFigures { usable: usable.len(), mean, ..ChoiceFigures::default() };
        let Some(anchor) = query.chain.and_then(PrefixChain::placement_prefix) else {
            let choice = self.choose_by_free_slots(&with_capacity, query, bound, now);
            return Ok(TargetChoice { figures, ..choice });
        };
        let unreported = self.prefix_rates.unreported(anchor.hash, now);
        let bounds = PlacementBounds { mean, uncached: bound, unreported };
        let choice = choose_by_prefix(&with_capacity, query, anchor.hash, bounds, now);
        let cached_at = usable.iter().filter(|(_, state)| state.has_cached(anchor.hash)).count();
        let figures = ChoiceFigures { cached_at, unreported, ..figures };
        let source = match choice.reason {
            ChoiceReason::Cached => None,
            _ => self.copy_source(query, anchor, choice.key, now),
        };
        Ok(TargetChoice { source, figures, ..choice })
    }
}

impl TargetPool {
    /// The targets that may get a request now.
    fn with_access<'a>(
        &self,
        usable: Vec<(TargetKey, &'a TargetState)>,
        access: AccessQuery,
        now: MonoTime,
    ) -> Result<Vec<(TargetKey, &'a TargetState)>, ChoiceError> {
        let mut denied = None;
        let mut open = Vec::with_capacity(usable.len());
        for (key, state) in usable {
            match self.check_access(state, access, now) {
                Ok(()) => open.push((key, state)),
                Err(denial) => denied = denied.max(Some(denial.reason)),
            }
        }
        match denied {
            Some(reason) if open.is_empty() => Err(reason.into()),
            _ => Ok(open),
        }
    }

    /// Whether a stream goes on at its version although the targets of that are full: other versions serve
    /// new streams at the same time. A stream that leaves a silent target waits instead.
    fn must_exceed_capacity(&self, query: &ChoiceQuery<'_>) -> bool {
        let Some(version) = query.version.filter(|_| query.silent_since.is_none()) else {
            return false;
        };
        let targets = self.of_service(query.service).iter().filter_map(|key| self.target(*key));
        targets.filter(|state| !state.record.is_leaving).any(|s| s.likely_version() != version)
    }

    /// Whether other targets may copy what a target has cached. One in an evacuated data centre may for a short
    /// time, in which the prompts that it served move elsewhere.
    fn may_be_source(&self, state: &TargetState, now: MonoTime) -> bool {
        let began_at = self.evacuations.began_at(&state.record.data_centre);
        began_at.is_none_or(|began_at| now < began_at + EVACUATED_SOURCE_MS)
    }

    /// A target from whose cache the chosen one may copy the shared prefix, if that is faster than
    /// prefill.
    ///
    /// Targets that are leaving still serve as sources.
    fn copy_source(
        &self,
        query: &ChoiceQuery<'_>,
        anchor: PromptPart,
        chosen: TargetKey,
        now: MonoTime,
    ) -> Option<TargetKey> {
        let uncached = self.target(chosen)?.uncached_tokens(query.chain?);
        if anchor.tokens.min(uncached) < MIN_COPY_TOKENS {
            return None;
        }
        let others = self.of_service(query.service).iter().filter(|key| **key != chosen);
        // What another version has cached does not fit; a target that has started anew has nothing cached.
        let version = self.target(chosen)?.likely_version();
        let sources = others
            .filter_map(|key| self.target(*key).map(|state| (*key, state)))
            .filter(|(_, state)| query.allows(state) && self.may_be_source(state, now))
            .filter(|(_, state)| state.likely_version() == version)
            .filter(|(_, state)| state.has_cached(anchor.hash) && is_healthy(state, now));
        sources.max_by_key(|(_, state)| state.last_reply_at).map(|(key, _)| key)
    }
}

/// A trial request to a target whose hold-down has ended, if one is due.
///
/// A non-idempotent request serves as a trial only for a target that was unreachable: it either
/// does not arrive or finds the target healthy. A target that replied with errors might run it and
/// fail.
fn choose_trial<O>(
    listed: &[(TargetKey, &TargetState)],
    query: &ChoiceQuery<'_>,
    now: MonoTime,
    is_open: O,
) -> Option<TargetChoice>
where
    O: Fn(&TargetState) -> bool,
{
    // A target that has just come back may have another version than the one listed.
    if !query.tried.is_empty() || query.version.is_some() {
        return None;
    }
    let is_due = |state: &TargetState| {
        state.health.is_half_open(now)
            && state.own.requests == 0
            && (query.is_idempotent || state.health.is_unreachable())
            && is_open(state)
    };
    let (key, state) = listed.iter().find(|(_, state)| is_due(state))?;
    let load = load_of(state, now);
    Some(TargetChoice {
        key: *key,
        reason: ChoiceReason::Trial,
        load,
        bound: load,
        source: None,
        figures: ChoiceFigures::default(),
    })
}

impl TargetPool {
    /// A target at random, in proportion to the square of its free slots, and less often the longer work takes
    /// there.
    ///
    /// If all daemons chose the least loaded or the fastest target, they would overload it together until the
    /// next load reports arrive.
    fn choose_by_free_slots(
        &self,
        usable: &[(TargetKey, &TargetState)],
        query: &ChoiceQuery<'_>,
        bound: f64,
        now: MonoTime,
    ) -> TargetChoice {
        let weight = |state: &TargetState| {
            let slots = f64::from(state.record.slots.max(1));
            let free = ((slots - load_of(state, now)) / slots).max(MIN_FREE_FRACTION);
            let is_local = state.record.data_centre == query.data_centre;
            let centre_weight = if is_local { OWN_CENTRE_WEIGHT } else { 1.0 };
            free * free * centre_weight * weight_factor(self.work_time(state, now))
        };
        let score = |state: &TargetState| {
            rendezvous_score(query.spread_hash, state.location_hash, weight(state))
        };
        let chosen = usable.iter().max_by(|(_, a), (_, b)| score(a).total_cmp(&score(b)));
        let (key, state) = chosen.unwrap_or(&usable[0]);
        let load = load_of(state, now);
        TargetChoice {
            key: *key,
            reason: ChoiceReason::Free,
            load,
            bound,
            source: None,
            figures: ChoiceFigures::default(),
        }
    }
}

/// Load in requests, with the prefill backlog converted to requests.
pub(super) fn load_of(state: &TargetState, now: MonoTime) -> f64 {
    f64::from(state.requests(now)) + f64::from(state.backlog_tokens()) / PREFILL_TOKENS_PER_REQUEST
}
