//! Services whose targets fall over when they have to turn away too many requests, and how many
//! requests this daemon may have in flight at each of them.
//!
//! What a target can take is divided into places, and these over all daemons, so that nothing is turned
//! away however much all of them could send. A target that falls over leaves the others' places as they are.

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::ident::service_hash;
use crate::targets::LoadReport;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetRecord;
use crate::targets::TargetState;

/// Milliseconds without a statement of any of its targets, while others reply without one, after which a
/// service is no longer fragile: its targets may begin and end one after the other.
const STATEMENT_TTL_MS: u64 = 2_000;
/// Milliseconds for which this daemon reports the end of a fragile time to its peers.
const REPORT_MS: u64 = 60_000;
/// Slots for each of which one request may wait at a target.
const SLOTS_PER_WAITING: u32 = 8;
/// Rejections in a second that a target has to stand for daemons to count on any waiting, or to exceed
/// their parts.
const MIN_REJECTIONS: u32 = 2;
/// Minimum milliseconds between two requests that a daemon takes beyond its part.
const GROWTH_INTERVAL_MS: u64 = 300;
/// Free slots beyond the one just freed that a target must report before a daemon exceeds its part.
const MIN_FREE_SLOTS: u32 = 2;
/// Milliseconds after a rejection in which a daemon does not exceed its part, and then takes back what it
/// gave up; they double with each further one.
const REJECTION_PAUSE_MS: u64 = 5_000;
/// Number of doublings of that pause.
const MAX_DOUBLINGS: u32 = 2;
/// Milliseconds from the begin of a fragile time in which rejections show nothing about a daemon's part:
/// daemons have more requests in flight from before.
const SETTLING_MS: u64 = 1_000;
/// Milliseconds between a rejection and the end of its target within which the target counts as fallen
/// over; its end is noticed with a delay.
const FALL_WINDOW_MS: u64 = 2_000;
/// Milliseconds for which a target that fell over is remembered: longer than replies lost by it are
/// noticed after its end.
const FALLEN_TTL_MS: u64 = 60_000;

/// What a reply states about the rejections that its target stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FragilityStatement {
    /// Requests that it may turn away in a second without falling over; `None` if it names no maximum.
    pub max_rejections: Option<u32>,
    /// When the head of the reply was received.
    pub stated_at: MonoTime,
}

/// When targets of a service last said that they are fragile, and when that they are not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FragilityRecord {
    /// The latest statement of a maximum, and when it was made.
    pub named: Option<(u32, MonoTime)>,
    /// When a reply last came without one.
    pub unnamed_at: Option<MonoTime>,
}

impl FragilityRecord {
    /// The rejections in a second that each target of the service stands; `None` if it is not fragile.
    pub fn max_rejections(&self) -> Option<u32> {
        let (maximum, named_at) = self.named?;
        let is_over = self.unnamed_at.is_some_and(|at| at >= named_at + STATEMENT_TTL_MS);
        (!is_over).then_some(maximum)
    }

    fn apply(&mut self, statement: FragilityStatement) {
        let FragilityStatement { max_rejections, stated_at } = statement;
        match max_rejections {
            Some(_) if self.named.is_some_and(|(_, named_at)| named_at >= stated_at) => {}
            Some(maximum) => self.named = Some((maximum, stated_at)),
            None => self.unnamed_at = self.unnamed_at.max(Some(stated_at)),
        }
    }
}

/// Statements of the targets of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ServiceFragility {
    /// Those that this daemon received itself.
    own: FragilityRecord,
    /// Those and the ones that peers reported.
    all: FragilityRecord,
    /// When this daemon learnt that the service is fragile, at present or the last time.
    began_at: MonoTime,
}

/// A daemon's position among the daemons that share a service's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonRank {
    /// Number of daemons before it; less than `count`.
    pub rank: usize,
    /// Number of daemons.
    pub count: usize,
}

/// How many requests this daemon may have in flight at one fragile target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlightLimit {
    /// This daemon's part of the target's places.
    part: u32,
    /// Places that it takes beyond its part, or leaves free if negative.
    offset: i32,
    offset_changed_at: MonoTime,
    /// Replies without rejection since the target was last unreachable.
    accepted: u32,
    /// Rejections of this daemon's requests.
    rejections: u32,
    rejected_at: Option<MonoTime>,
    /// When a peer last reported a rejection.
    peer_rejected_at: Option<MonoTime>,
}

impl InFlightLimit {
    /// Forgets what earlier rejections showed.
    fn reset(&mut self) {
        let Self { part, accepted, .. } = *self;
        *self = Self { part, accepted, ..Self::default() };
    }

    /// The limit in requests. At a target that was unreachable or is new it rises from one with each
    /// accepted request.
    pub fn requests(&self) -> u32 {
        self.part.saturating_add_signed(self.offset).min(self.accepted.saturating_add(1))
    }

    /// Records that a target cannot be reached.
    pub(super) fn record_unreachable(&mut self) {
        self.accepted = 0;
    }

    fn record_accepted(&mut self) {
        self.accepted = self.accepted.saturating_add(1);
    }

    fn give_up_place(&mut self, now: MonoTime) {
        let lowest = -i32::try_from(self.part).unwrap_or(i32::MAX);
        self.offset = (self.offset.min(0) - 1).max(lowest);
        self.offset_changed_at = now;
        self.rejections = self.rejections.saturating_add(1);
    }

    /// Whether it is time to take one more place.
    fn is_growth_due(&self, now: MonoTime) -> bool {
        let doublings = self.rejections.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause_ms = match self.rejections {
            0 => GROWTH_INTERVAL_MS,
            _ => REJECTION_PAUSE_MS << doublings,
        };
        now >= self.offset_changed_at + pause_ms
    }

    /// Sets the part; takes back a place that was given up, when that is due.
    fn set_part(&mut self, part: u32, now: MonoTime) {
        self.part = part;
        if self.offset < 0 && self.is_growth_due(now) {
            self.offset += 1;
            self.offset_changed_at = now;
        }
    }

    /// Takes a place beyond the part when that is due; the target has `places`.
    fn exceed_part(&mut self, places: u32, now: MonoTime) {
        let has_places = self.part.saturating_add_signed(self.offset) < places;
        if self.offset >= 0 && has_places && self.is_growth_due(now) {
            self.offset += 1;
            self.offset_changed_at = now;
        }
    }

    fn shrink(&mut self, now: MonoTime) {
        if self.offset > 0 {
            self.offset -= 1;
            self.offset_changed_at = now;
        }
    }

    fn was_rejecting(&self, now: MonoTime) -> bool {
        let is_recent = |at: Option<MonoTime>| at.is_some_and(|at| now < at + FALL_WINDOW_MS);
        is_recent(self.rejected_at) || is_recent(self.peer_rejected_at)
    }
}

/// Requests that a fragile target may have in flight from all daemons: it may let fewer wait than
/// usually.
fn places_of(record: &TargetRecord, max_rejections: u32) -> u32 {
    let slots = record.slots.max(1);
    let waiting = match max_rejections {
        0..MIN_REJECTIONS => 0,
        _ => (slots / SLOTS_PER_WAITING).max(1),
    };
    slots.saturating_add(waiting)
}

/// Whether a target may get one more request of this daemon.
pub(super) fn has_place(state: &TargetState, is_fragile: bool) -> bool {
    !is_fragile || state.own.requests < state.in_flight_limit.requests()
}

impl TargetPool {
    /// The rejections in a second that each target of a service stands; `None` if it is not fragile.
    pub fn max_rejections(&self, service: &str) -> Option<u32> {
        self.fragilities.get(service)?.all.max_rejections()
    }

    /// Applies a statement of one of the service's targets; `true` if the maximum that counts has changed.
    pub fn apply_fragility(
        &mut self,
        service: &str,
        statement: FragilityStatement,
        is_own: bool,
        now: MonoTime,
    ) -> bool {
        let is_known = self.fragilities.contains_key(service);
        if !is_known && statement.max_rejections.is_none() {
            return false;
        }
        let fragility = self.fragilities.entry(service.to_owned()).or_default();
        let before = fragility.all.max_rejections();
        fragility.all.apply(statement);
        if is_own {
            fragility.own.apply(statement);
        }
        let maximum = fragility.all.max_rejections();
        if before.is_none() && maximum.is_some() {
            fragility.began_at = now;
            for key in self.of_service(service).to_vec() {
                self.targets.get_mut(key).into_iter().for_each(|s| s.in_flight_limit.reset());
            }
        }
        maximum != before
    }

    /// The service with this short hash.
    pub fn service_by_hash(&self, hash: u32) -> Option<&str> {
        self.services().find(|service| service_hash(service) == hash)
    }

    /// What targets told this daemon itself, by service: of fragile ones, and of those that recently were.
    pub fn own_fragilities(&self, now: MonoTime) -> impl Iterator<Item = (&str, &FragilityRecord)> {
        let records = self.fragilities.iter().map(|(service, f)| (service.as_str(), &f.own));
        records.filter(move |(_, record)| {
            let named_at = record.named.map(|(_, named_at)| named_at);
            named_at.is_some_and(|named_at| now < named_at + REPORT_MS)
        })
    }

    /// Short hashes of the service's targets that have lately turned away a request of this daemon.
    pub fn rejecting_targets(&self, service: &str, now: MonoTime) -> Vec<u32> {
        let targets = self.of_service(service).iter().filter_map(|key| self.target(*key));
        let rejecting = targets.filter(|state| {
            state.in_flight_limit.rejected_at.is_some_and(|at| now < at + FALL_WINDOW_MS)
        });
        rejecting.map(|state| state.short_hash).collect()
    }

    /// Sets this daemon's part of each target's places in all fragile services; `rank_of` gets the short
    /// hash of the service.
    ///
    /// Each daemon has the same number of places at a target. Those that remain are dealt out in the
    /// order of the targets, which is the same on all daemons, so that the sums over all targets of a
    /// service differ by at most one.
    pub fn update_parts<R>(&mut self, now: MonoTime, rank_of: R)
    where
        R: Fn(u32) -> DaemonRank,
    {
        let maximums = self.fragilities.iter().filter_map(|(service, fragility)| {
            fragility.all.max_rejections().map(|maximum| (service.clone(), maximum))
        });
        let maximums: Vec<_> = maximums.collect();
        for (service, maximum) in &maximums {
            self.deal_places(service, *maximum, rank_of(service_hash(service)), now);
        }
    }

    fn deal_places(
        &mut self,
        service: &str,
        max_rejections: u32,
        position: DaemonRank,
        now: MonoTime,
    ) {
        let DaemonRank { rank, count } = position;
        let count = count.max(1);
        let mut keys = self.of_service(service).to_vec();
        keys.sort_unstable_by_key(|key| self.target(*key).map(|state| state.location_hash));
        let mut dealt = 0;
        for key in keys {
            let Some(state) = self.targets.get_mut(key) else { continue };
            let places = places_of(&state.record, max_rejections) as usize;
            let remaining = places % count;
            // Number of the daemon's turns among the next ones, `remaining` of them.
            let is_dealt = (rank + count - dealt % count) % count < remaining;
            dealt += remaining;
            let part = (places / count) as u32 + u32::from(is_dealt);
            state.in_flight_limit.set_part(part, now);
        }
    }

    /// Adjusts the limit of a target that has accepted a request, by the load that it reports.
    pub fn record_accepted(&mut self, key: TargetKey, report: Option<LoadReport>, now: MonoTime) {
        let Some(state) = self.targets.get_mut(key) else { return };
        let fragility = self.fragilities.get(&state.record.service);
        let max_rejections = fragility.and_then(|fragility| fragility.all.max_rejections());
        let limit = &mut state.in_flight_limit;
        limit.record_accepted();
        let Some(max_rejections) = max_rejections else { return };
        let places = places_of(&state.record, max_rejections);
        let is_used = state.own.requests >= limit.requests();
        let slots = state.record.slots;
        let has_free_slots = report.is_some_and(|report| {
            report.waiting == 0
                && report.running.saturating_add(MIN_FREE_SLOTS) <= slots.min(report.slots)
        });
        if report.is_some_and(|report| report.waiting > 0) {
            limit.shrink(now);
        }
        if is_used && has_free_slots && max_rejections >= MIN_REJECTIONS {
            limit.exceed_part(places, now);
        }
    }

    /// Records that a target has turned away a request that was sent at `sent_at`.
    pub fn record_rejection(&mut self, key: TargetKey, sent_at: MonoTime, now: MonoTime) {
        let Some(state) = self.targets.get_mut(key) else { return };
        state.in_flight_limit.rejected_at = Some(now);
        let fragility = self.fragilities.get(&state.record.service);
        if fragility.is_some_and(|fragility| sent_at >= fragility.began_at + SETTLING_MS) {
            state.in_flight_limit.give_up_place(now);
        }
    }

    /// Records that a peer reported a rejection by the target with this short hash.
    pub fn record_peer_rejection(&mut self, hash: u32, now: MonoTime) {
        let key = self.by_short_hash(hash);
        if let Some(state) = key.and_then(|key| self.targets.get_mut(key)) {
            state.in_flight_limit.peer_rejected_at = Some(now);
        }
    }

    /// Requests that a target of the service may have in flight from all daemons; `None` unless it is
    /// fragile.
    pub(super) fn fragile_places(&self, state: &TargetState) -> Option<u32> {
        let max_rejections = self.max_rejections(&state.record.service)?;
        Some(places_of(&state.record, max_rejections))
    }

    /// Whether the end of a target is known to be explained by the requests that it turned away.
    pub fn has_fallen(&self, crash: CrashId) -> bool {
        self.fallen.contains_key(&crash)
    }

    /// Whether the end of a target is explained by the requests that it has turned away, so that no
    /// request is to blame for it.
    pub fn record_fall(&mut self, crash: CrashId, now: MonoTime) -> bool {
        self.fallen.retain(|_, expires_at| now < *expires_at);
        if self.has_fallen(crash) {
            return true;
        }
        let state = self.targets.values().find(|state| state.crash_id() == crash);
        let has_fallen = state.is_some_and(|state| {
            self.max_rejections(&state.record.service).is_some()
                && state.in_flight_limit.was_rejecting(now)
        });
        if has_fallen {
            self.fallen.insert(crash, now + FALLEN_TTL_MS);
        }
        has_fallen
    }
}
