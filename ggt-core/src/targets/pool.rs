//! Registered targets with their load, health and cached prefixes.

use std::collections::HashMap;
use std::collections::VecDeque;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::evacuation::EvacuationTable;
use crate::ident::mix_hash;
use crate::ident::stable_hash;
use crate::prompts::PrefixChain;
use crate::targets::ColdStartLimit;
use crate::targets::HealthState;
use crate::targets::InFlightLimit;
use crate::targets::InFlightLoad;
use crate::targets::LoadReport;
use crate::targets::LoadStatement;
use crate::targets::RateLimit;
use crate::targets::RateShare;
use crate::targets::RateStatement;
use crate::targets::ReportPace;
use crate::targets::SendOutcome;
use crate::targets::StatedLoad;
use crate::targets::TargetClosing;
use crate::targets::TargetLifetime;
use crate::targets::TargetRate;
use crate::targets::TargetRecord;
use crate::targets::TargetReplacement;
use crate::targets::TargetWorkTime;
use crate::targets::WorkTimeStatement;
use crate::targets::admission::ServiceAdmission;
use crate::targets::fragile::ServiceFragility;
use crate::targets::prefix_rates::PrefixRates;
use crate::targets::prefixes::short_prefix;
use crate::targets::registrations::DepartedTarget;

new_key_type! {
    /// Identifies one incarnation of a target in a [`TargetPool`].
    pub struct TargetKey;
}

/// Number of other targets in a data centre from which a partition can be told from crashes.
const MIN_CENTRE_TARGETS: usize = 2;

/// What one sent request added to the state of its target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendRecord {
    /// Uncached prompt tokens that the target has to prefill for it.
    pub backlog_tokens: u32,
    /// Short hashes of the prompt's prefixes that the target was not known to have cached.
    pub new_prefixes: Vec<u32>,
    /// Requests in flight at the target, including this one.
    pub load: u32,
    /// Time of the send.
    pub sent_at: MonoTime,
}

/// State of one incarnation of a target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Registration, as last published.
    pub record: TargetRecord,
    /// Identifies the incarnation in messages between daemons.
    pub short_hash: u32,
    /// Hash for rendezvous orders; the same for all incarnations of one id.
    pub location_hash: u64,
    /// Load of this daemon's requests in flight.
    pub own: InFlightLoad,
    /// Load of the other daemons' requests in flight, as last reported.
    pub peers: InFlightLoad,
    /// Load that the target last reported, and when.
    pub report: Option<(LoadReport, MonoTime)>,
    /// The load that it last stated to any daemon.
    pub stated: StatedLoad,
    /// How long work takes there.
    pub work_time: TargetWorkTime,
    /// Health, from the outcomes of its requests.
    pub health: HealthState,
    /// The rate that it says it takes, if any.
    pub rate: TargetRate,
    /// Until when it wants no requests of this daemon.
    pub closing: TargetClosing,
    /// How many requests this daemon may have in flight there while its service is fragile.
    pub in_flight_limit: InFlightLimit,
    /// When this daemon last received bytes of a reply from the target.
    pub last_reply_at: MonoTime,
    /// Since when the target has had requests of this daemon.
    pub busy_since: MonoTime,
    /// When this daemon learnt that the target is leaving.
    pub leaving_since: Option<MonoTime>,
    /// What shows that another instance has its address.
    pub replacement: TargetReplacement,
    /// Whether the registered incarnation is still there.
    pub lifetime: TargetLifetime,
    /// When the target is to be removed; `None` while the platform lists it.
    pub remove_at: Option<MonoTime>,
    /// Cached prefixes by their short hashes, and when each was last recorded.
    pub(super) prefixes: HashMap<u32, MonoTime>,
}

impl TargetState {
    pub(super) fn new(record: TargetRecord) -> Self {
        let location_hash = stable_hash(record.id.as_bytes());
        Self {
            short_hash: mix_hash(location_hash, record.incarnation) as u32,
            location_hash,
            own: InFlightLoad::default(),
            peers: InFlightLoad::default(),
            report: None,
            stated: StatedLoad::default(),
            work_time: TargetWorkTime::default(),
            health: HealthState::default(),
            rate: TargetRate::default(),
            closing: TargetClosing::default(),
            in_flight_limit: InFlightLimit::default(),
            last_reply_at: MonoTime::default(),
            busy_since: MonoTime::default(),
            leaving_since: None,
            replacement: TargetReplacement::default(),
            lifetime: TargetLifetime::default(),
            remove_at: None,
            prefixes: HashMap::new(),
            record,
        }
    }

    /// Identifies the crash of this incarnation.
    pub fn crash_id(&self) -> CrashId {
        CrashId::of(self.location_hash, self.record.incarnation)
    }

    /// Requests in flight from all daemons.
    pub fn requests(&self, now: MonoTime) -> u32 {
        self.own.requests + self.stated.others(now).unwrap_or(self.peers.requests)
    }

    /// Uncached prompt tokens not yet prefilled, for the requests of all daemons.
    pub fn backlog_tokens(&self) -> u32 {
        self.own.backlog_tokens + self.peers.backlog_tokens
    }
}

/// All registered targets, and those that the platform has stopped listing but may list again.
#[derive(Clone, Debug, Default)]
pub struct TargetPool {
    pub(super) targets: SlotMap<TargetKey, TargetState>,
    pub(super) by_id: HashMap<String, TargetKey>,
    pub(super) by_hash: HashMap<u32, TargetKey>,
    pub(super) by_service: HashMap<String, Vec<TargetKey>>,
    /// The latest incarnations of removed targets, by id.
    pub(super) departed: HashMap<String, DepartedTarget>,
    /// Queue for digests: short hashes of prefix and target, and the number of digests still to
    /// come.
    pub(super) prefix_queue: VecDeque<(u32, u32, u8)>,
    /// How often this daemon sends requests with each prefix by which targets are chosen.
    pub(super) prefix_rates: PrefixRates,
    pub(super) admissions: HashMap<String, ServiceAdmission>,
    /// What targets said about the rejections that they stand, by service.
    pub(super) fragilities: HashMap<String, ServiceFragility>,
    /// Whether the durations of requests show how fast targets are that do not state it.
    pub measures_work_times: bool,
    /// What the targets of each service take while they are cold.
    pub(super) cold_start_limits: HashMap<String, ColdStartLimit>,
    /// The data centres whose targets get no new requests.
    pub evacuations: EvacuationTable,
    /// Incarnations that fell over by turning away too many requests, and until when each is remembered.
    pub(super) fallen: HashMap<CrashId, MonoTime>,
}

impl TargetPool {
    /// Whether all other targets in the data centre of this one are unreachable, which points to a
    /// network partition; `false` with fewer than `MIN_CENTRE_TARGETS` others.
    pub fn is_centre_unreachable(&self, key: TargetKey) -> bool {
        let Some(target) = self.targets.get(key) else { return false };
        let is_other = |other: TargetKey, state: &TargetState| {
            other != key && state.record.data_centre == target.record.data_centre
        };
        let others = self.targets.iter().filter(|(other, state)| is_other(*other, state));
        let others: Vec<_> = others.map(|(_, state)| state.health.is_unreachable()).collect();
        others.len() >= MIN_CENTRE_TARGETS && others.iter().all(|is_unreachable| *is_unreachable)
    }

    /// A target by its key.
    pub fn target(&self, key: TargetKey) -> Option<&TargetState> {
        self.targets.get(key)
    }

    /// A target by its id.
    pub fn target_named(&self, id: &str) -> Option<&TargetState> {
        self.target(self.key_of(id)?)
    }

    /// The keys of a service's targets.
    pub fn of_service(&self, service: &str) -> &[TargetKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets.iter()
    }

    /// The number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Counts a request as in flight, and its prompt's prefixes as cached by the target.
    ///
    /// With `is_copied` the target copies all but the last part of the prompt from another target,
    /// so it prefills at most that part.
    pub fn record_send(
        &mut self,
        key: TargetKey,
        chain: &PrefixChain,
        is_copied: bool,
        now: MonoTime,
    ) -> SendRecord {
        let Some(state) = self.targets.get_mut(key) else { return SendRecord::default() };
        let last = chain.prefixes().last().map_or(0, |prefix| prefix.tokens);
        let uncached = state.uncached_tokens(chain);
        let uncached = if is_copied { uncached.min(last) } else { uncached };
        if let Some(anchor) = chain.placement_prefix() {
            self.prefix_rates.record(anchor.hash, now);
        }
        if state.own.requests == 0 {
            state.busy_since = now;
        }
        state.own.requests += 1;
        state.rate.record_send(now);
        state.own.backlog_tokens += uncached;
        let prefixes = chain.prefixes().iter().map(|prefix| short_prefix(prefix.hash));
        let new_prefixes =
            prefixes.clone().filter(|prefix| !state.prefixes.contains_key(prefix)).collect();
        prefixes.for_each(|prefix| state.record_prefix(prefix, now));
        let load = state.requests(now);
        self.queue_prefixes(key, chain);
        SendRecord { backlog_tokens: uncached, new_prefixes, load, sent_at: now }
    }

    /// Counts a second send of a request to the same target against the rate that it takes.
    pub fn record_second_send(&mut self, key: TargetKey, now: MonoTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.rate.record_send(now);
        }
    }

    /// Applies a target's statement of the rate that it takes; `true` if its limit has changed.
    pub fn apply_rate(&mut self, key: TargetKey, statement: RateStatement, is_own: bool) -> bool {
        self.targets.get_mut(key).is_some_and(|state| state.rate.apply(statement, is_own))
    }

    /// The target with this id.
    pub(super) fn key_of(&self, id: &str) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// The short hash of the target with this id.
    pub fn short_hash_of(&self, id: &str) -> Option<u32> {
        let key = self.by_id.get(id)?;
        self.targets.get(*key).map(|state| state.short_hash)
    }

    /// The target with this short hash.
    pub fn by_short_hash(&self, hash: u32) -> Option<TargetKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Sets this daemon's part of the rate of each target that limits it; `share_of` gets the target's
    /// hash and its limit.
    pub fn update_rate_shares<S>(&mut self, now: MonoTime, share_of: S)
    where
        S: Fn(u64, RateLimit) -> RateShare,
    {
        for state in self.targets.values_mut() {
            if let Some(limit) = state.rate.limit(now) {
                state.rate.set_share(share_of(state.location_hash, limit), now);
            }
        }
    }

    /// Sets how the other daemons report what they send.
    pub fn set_report_pace(&mut self, pace: ReportPace) {
        self.prefix_rates.set_pace(pace);
    }

    /// Records that a target has prefilled this many tokens of a request's prompt.
    pub fn record_prefill(&mut self, key: TargetKey, tokens: u32) {
        if let Some(state) = self.targets.get_mut(key) {
            state.own.backlog_tokens = state.own.backlog_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a request in flight has ended.
    pub fn record_end(&mut self, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            state.own.requests = state.own.requests.saturating_sub(1);
        }
    }

    /// Records that bytes of a reply arrived from the target, with the load that they report, if
    /// any.
    pub fn record_reply(&mut self, key: TargetKey, report: Option<LoadReport>, now: MonoTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.last_reply_at = now;
            state.health.record_bytes();
            state.rate.cold_start.record_reply(now);
            if let Some(report) = report {
                state.report = Some((report, now));
            }
        }
    }

    /// Applies what a target stated about its load to this daemon or to a peer, which counts for `ttl_ms`.
    pub fn apply_load(&mut self, key: TargetKey, statement: LoadStatement, ttl_ms: u64) {
        if let Some(state) = self.targets.get_mut(key) {
            state.rate.cold_start.record_reply(statement.stated_at);
            state.stated.apply(statement, state.own.requests, ttl_ms);
        }
    }

    /// Applies what a target stated about its work time to this daemon, or to a peer.
    pub fn apply_work_time(&mut self, key: TargetKey, statement: WorkTimeStatement, is_own: bool) {
        if let Some(state) = self.targets.get_mut(key) {
            state.work_time.apply(statement, is_own);
        }
    }

    /// Records a request's outcome; returns the end of the hold-down if one begins.
    pub fn record_outcome(
        &mut self,
        key: TargetKey,
        outcome: SendOutcome,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let service = &self.targets.get(key)?.record.service;
        let others = self.of_service(service).iter().filter(|other| **other != key);
        let bad_shares = others.filter_map(|other| self.targets.get(*other));
        let bad_shares: Vec<_> = bad_shares.map(|state| state.health.bad_share()).collect();
        let sibling_share = bad_shares.iter().sum::<f64>() / bad_shares.len().max(1) as f64;
        let state = self.targets.get_mut(key)?;
        if let SendOutcome::Unreachable | SendOutcome::Unresponsive = outcome {
            state.in_flight_limit.record_unreachable();
        }
        if outcome == SendOutcome::Good {
            state.lifetime.record_reply(now);
        }
        let held_until = state.health.record(outcome, sibling_share, now);
        if matches!(outcome, SendOutcome::Unreachable | SendOutcome::Unresponsive)
            && state.health.is_absent(now)
        {
            self.record_absence(key, now);
        }
        held_until
    }

    /// Ends the hold-downs of targets that were unreachable while this daemon was cut off from their
    /// service.
    pub fn record_regained(&mut self, accepting: TargetKey, failed: &[TargetKey], now: MonoTime) {
        for key in failed.iter().chain([&accepting]) {
            if let Some(state) = self.targets.get_mut(*key) {
                state.health.record_regained();
                state.lifetime.record_regained(now);
                state.rate.cold_start.record_regained();
            }
        }
    }

    /// Marks a target as leaving, as its own replies state; `true` when it was not marked before.
    pub fn record_leaving(&mut self, key: TargetKey, now: MonoTime) -> bool {
        let Some(state) = self.targets.get_mut(key) else { return false };
        state.leaving_since.get_or_insert(now);
        !std::mem::replace(&mut state.record.is_leaving, true)
    }

    /// Applies a target's statement that it wants no requests of this daemon for this time; returns the end
    /// of the time if the target was open.
    pub fn close_target(
        &mut self,
        key: TargetKey,
        delay_ms: u64,
        now: MonoTime,
    ) -> Option<MonoTime> {
        self.targets.get_mut(key)?.closing.close(delay_ms, now)
    }

    /// Sets the load that all other daemons have reported for a target, by the target's short hash: that of a
    /// target that the pool did not know yet was not added up.
    pub fn set_peer_load(&mut self, hash: u32, load: InFlightLoad) {
        let key = self.by_hash.get(&hash);
        if let Some(state) = key.and_then(|key| self.targets.get_mut(*key)) {
            state.peers = load;
        }
    }

    /// Replaces the load that one other daemon reported for a target, by the target's short hash.
    pub fn replace_peer_load(&mut self, hash: u32, before: InFlightLoad, after: InFlightLoad) {
        let Some(key) = self.by_hash.get(&hash) else { return };
        let Some(state) = self.targets.get_mut(*key) else { return };
        let change = |sum: u32, before: u32, after: u32| (sum + after).saturating_sub(before);
        let peers = &mut state.peers;
        peers.requests = change(peers.requests, before.requests, after.requests);
        peers.backlog_tokens =
            change(peers.backlog_tokens, before.backlog_tokens, after.backlog_tokens);
    }

    pub(super) fn remove(&mut self, key: TargetKey) {
        let Some(state) = self.targets.remove(key) else { return };
        self.by_id.remove(&state.record.id);
        self.by_hash.remove(&state.short_hash);
        if let Some(keys) = self.by_service.get_mut(&state.record.service) {
            keys.retain(|other| *other != key);
        }
    }
}
