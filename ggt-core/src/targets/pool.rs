//! Registered targets with their load, health and cached prefixes.

use std::collections::HashMap;
use std::collections::VecDeque;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::MonoTime;
use crate::ident::mix_hash;
use crate::ident::stable_hash;
use crate::prompts::PromptChain;
use crate::targets::FlightLoad;
use crate::targets::HealthState;
use crate::targets::LoadReport;
use crate::targets::SendOutcome;
use crate::targets::TargetRecord;
use crate::targets::admission::ServiceRoom;

new_key_type! {
    /// Identifies one incarnation of a target in a [`TargetPool`].
    pub struct TargetKey;
}

/// Maximum number of cached prefixes stored per target; beyond it, the older half is dropped.
const MAX_LINKS: usize = 4_096;
/// Number of digests that report each newly cached prefix, so that the loss of one datagram does no
/// harm.
const READ_TELLINGS: u8 = 2;
/// Maximum number of cached prefixes queued for digests; beyond it, the oldest are dropped.
const MAX_UNTOLD: usize = 1_024;

/// What one sent request added to the state of its target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SentNote {
    /// Uncached prompt tokens that the target has to prefill for it.
    pub backlog_tokens: u32,
    /// Short hashes of the prompt's prefixes that the target was not known to have cached.
    pub new_links: Vec<u32>,
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
    pub place_hash: u64,
    /// Load of this daemon's requests in flight.
    pub own: FlightLoad,
    /// Load of the other daemons' requests in flight, as last reported.
    pub peers: FlightLoad,
    /// Load that the target last reported, and when.
    pub report: Option<(LoadReport, MonoTime)>,
    /// Health, from the outcomes of its requests.
    pub health: HealthState,
    /// When this daemon last received bytes of a reply from the target.
    pub heard_at: MonoTime,
    /// When the target is to be removed; `None` while the platform lists it.
    pub gone_at: Option<MonoTime>,
    /// Cached prefixes by their short hashes, and when each was last recorded.
    links: HashMap<u32, MonoTime>,
}

impl TargetState {
    fn new(record: TargetRecord) -> Self {
        let place_hash = stable_hash(record.id.as_bytes());
        Self {
            short_hash: mix_hash(place_hash, record.incarnation) as u32,
            place_hash,
            own: FlightLoad::default(),
            peers: FlightLoad::default(),
            report: None,
            health: HealthState::default(),
            heard_at: MonoTime::default(),
            gone_at: None,
            links: HashMap::new(),
            record,
        }
    }

    /// Requests in flight from all daemons.
    pub fn requests(&self) -> u32 {
        self.own.requests + self.peers.requests
    }

    /// Uncached prompt tokens not yet prefilled, for the requests of all daemons.
    pub fn backlog_tokens(&self) -> u32 {
        self.own.backlog_tokens + self.peers.backlog_tokens
    }

    /// Tokens of the prompt beyond its longest prefix that the target is known to have cached.
    pub fn missing_tokens(&self, chain: &PromptChain) -> u32 {
        let links = chain.links().iter().rev();
        links
            .take_while(|link| !self.links.contains_key(&short_link(link.hash)))
            .map(|link| link.tokens)
            .sum()
    }

    /// Whether the target is known to have the prefix with this hash cached.
    pub fn holds(&self, link: u64) -> bool {
        self.links.contains_key(&short_link(link))
    }

    fn note_link(&mut self, link: u32, now: MonoTime) {
        self.links.insert(link, now);
        if self.links.len() > MAX_LINKS {
            let mut times: Vec<_> = self.links.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.links.retain(|_, time| *time > median);
        }
    }
}

/// The short hash of a prefix, as daemons exchange it.
fn short_link(hash: u64) -> u32 {
    hash as u32
}

/// All registered targets, and those that the platform has stopped listing but may list again.
#[derive(Clone, Debug, Default)]
pub struct TargetPool {
    targets: SlotMap<TargetKey, TargetState>,
    by_id: HashMap<String, TargetKey>,
    by_hash: HashMap<u32, TargetKey>,
    by_service: HashMap<String, Vec<TargetKey>>,
    /// Queue for digests: short hashes of prefix and target, and the number of digests still to
    /// come.
    untold: VecDeque<(u32, u32, u8)>,
    pub(super) rooms: HashMap<String, ServiceRoom>,
}

impl TargetPool {
    /// Stores a registration; `true` when it is a new incarnation or differs in whether it is
    /// leaving.
    pub fn put(&mut self, record: TargetRecord) -> bool {
        if let Some(key) = self.by_id.get(&record.id).copied() {
            let state = &mut self.targets[key];
            let is_same_life = state.record.incarnation == record.incarnation
                && state.record.address == record.address
                && state.record.service == record.service;
            if is_same_life {
                let is_change = state.record.is_leaving != record.is_leaving;
                // An incarnation that has announced that it leaves accepts no requests again.
                let is_leaving = state.record.is_leaving || record.is_leaving;
                state.record = TargetRecord { is_leaving, ..record };
                state.gone_at = None;
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

    /// Records that the platform no longer lists a target, which is to be removed at `gone_at`.
    pub fn note_unlisted(&mut self, id: &str, gone_at: MonoTime) {
        if let Some(state) = self.by_id.get(id).and_then(|key| self.targets.get_mut(*key)) {
            state.gone_at = Some(gone_at);
        }
    }

    /// Removes the targets whose time of removal has come, and returns their keys and ids.
    pub fn expire(&mut self, now: MonoTime) -> Vec<(TargetKey, String)> {
        let is_gone = |state: &TargetState| state.gone_at.is_some_and(|gone_at| gone_at <= now);
        let gone = self.targets.iter().filter(|(_, state)| is_gone(state));
        let gone: Vec<_> = gone.map(|(key, state)| (key, state.record.id.clone())).collect();
        gone.iter().for_each(|(key, _)| self.remove(*key));
        gone
    }

    /// A target by its key.
    pub fn target(&self, key: TargetKey) -> Option<&TargetState> {
        self.targets.get(key)
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
    /// With `is_copied` the target copies all but the last part of the prompt from another target.
    pub fn note_sent(
        &mut self,
        key: TargetKey,
        chain: &PromptChain,
        is_copied: bool,
        now: MonoTime,
    ) -> SentNote {
        let Some(state) = self.targets.get_mut(key) else { return SentNote::default() };
        let last = chain.links().last().map_or(0, |link| link.tokens);
        let missing = state.missing_tokens(chain);
        let missing = if is_copied { missing.min(last) } else { missing };
        state.own.requests += 1;
        state.own.backlog_tokens += missing;
        let links = chain.links().iter().map(|link| short_link(link.hash));
        let new_links = links.clone().filter(|link| !state.links.contains_key(link)).collect();
        links.for_each(|link| state.note_link(link, now));
        // A cached prefix implies all shorter ones, so the two longest suffice: the whole prompt,
        // which only its own session can reuse, and the shared prefix before it.
        for link in chain.links().iter().rev().take(2) {
            self.untold.push_back((short_link(link.hash), state.short_hash, READ_TELLINGS));
        }
        while self.untold.len() > MAX_UNTOLD {
            self.untold.pop_front();
        }
        SentNote { backlog_tokens: missing, new_links, load: state.requests(), sent_at: now }
    }

    /// Removes the prefixes that were recorded as cached for a request which the target did not
    /// run, except those that a later request has recorded again.
    pub fn take_back(&mut self, key: TargetKey, note: &SentNote) {
        let Some(state) = self.targets.get_mut(key) else { return };
        let links = &mut state.links;
        let is_own = |link: &&u32| links.get(*link).is_some_and(|time| *time == note.sent_at);
        let unread: Vec<_> = note.new_links.iter().filter(is_own).copied().collect();
        for link in &unread {
            links.remove(link);
        }
        let hash = state.short_hash;
        self.untold.retain(|(link, target, _)| *target != hash || !unread.contains(link));
    }

    /// At most `count` recently cached prefixes to report in the next digest, as pairs of the short
    /// hashes of prefix and target.
    pub fn recent_reads(&mut self, count: usize) -> Vec<(u32, u32)> {
        let due = count.min(self.untold.len());
        let told: Vec<_> = self.untold.drain(..due).collect();
        let again = told.iter().filter(|(_, _, times)| *times > 1);
        let again: Vec<_> = again.map(|(link, hash, times)| (*link, *hash, times - 1)).collect();
        self.untold.extend(again);
        told.into_iter().map(|(link, hash, _)| (link, hash)).collect()
    }

    /// Records a prefix from a target's own list of its cache, and queues it for digests.
    pub fn note_listed_part(&mut self, key: TargetKey, link: u64, now: MonoTime) {
        let Some(state) = self.targets.get_mut(key) else { return };
        let link = short_link(link);
        state.note_link(link, now);
        self.untold.push_back((link, state.short_hash, READ_TELLINGS));
    }

    /// All cached prefixes that are known, as pairs of the short hashes of prefix and target.
    pub fn all_reads(&self) -> Vec<(u32, u32)> {
        let targets = self.targets.values();
        let reads = targets.flat_map(|s| s.links.keys().map(|link| (*link, s.short_hash)));
        reads.collect()
    }

    /// Records a cached prefix that another daemon reported, by the short hashes of target and
    /// prefix.
    pub fn note_peer_read(&mut self, hash: u32, link: u32, now: MonoTime) {
        let Some(key) = self.by_hash.get(&hash) else { return };
        if let Some(state) = self.targets.get_mut(*key) {
            state.note_link(link, now);
        }
    }

    /// Records that a target has prefilled this many tokens of a request's prompt.
    pub fn note_read(&mut self, key: TargetKey, tokens: u32) {
        if let Some(state) = self.targets.get_mut(key) {
            state.own.backlog_tokens = state.own.backlog_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a request in flight has ended.
    pub fn note_ended(&mut self, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            state.own.requests = state.own.requests.saturating_sub(1);
        }
    }

    /// Records that bytes of a reply arrived from the target, with the load that they report, if
    /// any.
    pub fn note_heard(&mut self, key: TargetKey, report: Option<LoadReport>, now: MonoTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.heard_at = now;
            if let Some(report) = report {
                state.report = Some((report, now));
            }
        }
    }

    /// Records a request's outcome; returns the end of the hold-down if one begins.
    pub fn note_outcome(
        &mut self,
        key: TargetKey,
        outcome: SendOutcome,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let service = &self.targets.get(key)?.record.service;
        let others = self.of_service(service).iter().filter(|other| **other != key);
        let shares = others.filter_map(|other| self.targets.get(*other));
        let shares: Vec<_> = shares.map(|state| state.health.bad_share()).collect();
        let siblings = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
        self.targets.get_mut(key)?.health.note(outcome, siblings, now)
    }

    /// Marks a target as leaving; `true` when it was not marked before.
    pub fn note_leaving(&mut self, key: TargetKey) -> bool {
        let Some(state) = self.targets.get_mut(key) else { return false };
        !std::mem::replace(&mut state.record.is_leaving, true)
    }

    /// Replaces the load that one other daemon reported for a target, by the target's short hash.
    pub fn change_peer_load(&mut self, hash: u32, before: FlightLoad, after: FlightLoad) {
        let Some(key) = self.by_hash.get(&hash) else { return };
        let Some(state) = self.targets.get_mut(*key) else { return };
        let change = |sum: u32, before: u32, after: u32| (sum + after).saturating_sub(before);
        let peers = &mut state.peers;
        peers.requests = change(peers.requests, before.requests, after.requests);
        peers.backlog_tokens =
            change(peers.backlog_tokens, before.backlog_tokens, after.backlog_tokens);
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(state) = self.targets.remove(key) else { return };
        self.by_id.remove(&state.record.id);
        self.by_hash.remove(&state.short_hash);
        if let Some(keys) = self.by_service.get_mut(&state.record.service) {
            keys.retain(|other| *other != key);
        }
    }
}
