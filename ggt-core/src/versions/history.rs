//! Which versions each service has had, as far back as a stream can last.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::MonoTime;
use crate::ident::stable_hash;
use crate::versions::OtherLosses;
use crate::versions::PastVersions;
use crate::versions::SoftwareVersion;

/// Identifies a service: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// The service with this name.
    pub fn named(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

/// Versions that may have begun the streams of a service that are still in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionState {
    /// Only this one.
    Single(SoftwareVersion),
    /// Several, or one that this daemon does not know of.
    Open {
        /// The version of all targets that this daemon knows, if it is the same.
        listed: Option<SoftwareVersion>,
    },
}

/// The versions that the targets of each service have had.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// For each version, when a target with it was last listed.
    services: HashMap<ServiceKey, BTreeMap<SoftwareVersion, MonoTime>>,
    /// For each version, when a target with it was last found to have ended.
    departures: HashMap<ServiceKey, BTreeMap<SoftwareVersion, MonoTime>>,
    /// When a target of unknown version was last found to have ended.
    unknown_departure_at: Option<MonoTime>,
    /// Since when this daemon has had a current view of the registrations without a gap.
    current_since: Option<MonoTime>,
    /// Since when this daemon knows the versions, apart from gaps in its view.
    known_since: Option<MonoTime>,
    /// Whether the store's history is still to be read.
    is_past_pending: bool,
}

impl VersionHistory {
    /// Records that no stream can have begun before this daemon started.
    pub fn record_first_start(&mut self) {
        self.current_since = Some(MonoTime::default());
        self.known_since = self.current_since;
    }

    /// Records that the store's history is still to be read.
    pub fn record_pending_past(&mut self) {
        self.is_past_pending = true;
    }

    /// Whether the store's history is still to be read, and may show what this daemon does not know of the last
    /// `memory_ms`.
    pub fn is_past_pending(&self, memory_ms: u64, now: MonoTime) -> bool {
        self.is_past_pending && !self.is_known_for(memory_ms, now)
    }

    /// What this daemon knows of the last `memory_ms`, for others that have not read the store's history. It need not be
    /// all that there has been.
    pub fn recent_past(&self, memory_ms: u64, now: MonoTime) -> PastVersions {
        let recent = |versions: &HashMap<ServiceKey, BTreeMap<SoftwareVersion, MonoTime>>| {
            let all = versions.iter().flat_map(|(service, versions)| {
                versions.iter().map(|(version, at)| ((*service, *version), *at))
            });
            all.filter(|(_, at)| now <= *at + memory_ms).map(|(entry, _)| entry).collect()
        };
        let has_unknown = self.unknown_departure_at.is_some_and(|at| now <= at + memory_ms);
        PastVersions::new(recent(&self.services), recent(&self.departures), has_unknown)
    }

    /// Records the versions that the store's history names; `is_whole` is whether it has all changes that there ever
    /// were.
    pub fn record_past(&mut self, past: &PastVersions, is_whole: bool, now: MonoTime) {
        for (service, version) in past.versions() {
            self.record_target(*service, *version, now);
        }
        for (service, version) in past.departures() {
            self.record_departure(*service, *version, now);
        }
        if past.has_unknown() {
            self.unknown_departure_at = Some(now);
        }
        self.is_past_pending = false;
        if is_whole && !past.has_unknown() {
            self.current_since = Some(MonoTime::default());
            self.known_since = self.current_since;
        }
    }

    /// The version of a service that this daemon has seen, if it knows of no other over the last
    /// `memory_ms`. Its view may have had gaps.
    pub fn only_seen(
        &self,
        service: ServiceKey,
        memory_ms: u64,
        now: MonoTime,
    ) -> Option<SoftwareVersion> {
        match self.state(service, memory_ms, now) {
            VersionState::Single(version) => Some(version),
            VersionState::Open { listed } => listed.filter(|_| self.is_known_for(memory_ms, now)),
        }
    }

    /// Whether this daemon knows the versions of the last `memory_ms`, apart from gaps in its view.
    fn is_known_for(&self, memory_ms: u64, now: MonoTime) -> bool {
        self.known_since.is_some_and(|since| since + memory_ms <= now)
    }

    /// Records whether this daemon's view of the registrations is current.
    pub fn record_view(&mut self, is_current: bool, now: MonoTime) {
        match is_current {
            true => {
                self.current_since.get_or_insert(now);
                self.known_since.get_or_insert(now);
            }
            false => self.current_since = None,
        }
    }

    /// Records a target of a service.
    pub fn record_target(&mut self, service: ServiceKey, version: SoftwareVersion, now: MonoTime) {
        self.services.entry(service).or_default().insert(version, now);
    }

    /// Records that a target of a service has ended, or started anew.
    pub fn record_departure(
        &mut self,
        service: ServiceKey,
        version: SoftwareVersion,
        now: MonoTime,
    ) {
        self.departures.entry(service).or_default().insert(version, now);
    }

    /// What is known of targets of other versions than this that have ended within the last `memory_ms`, with what they
    /// had cached.
    pub fn other_losses(
        &self,
        service: ServiceKey,
        version: SoftwareVersion,
        memory_ms: u64,
        now: MonoTime,
    ) -> OtherLosses {
        let is_recent = |departed_at: MonoTime| now <= departed_at + memory_ms;
        let departures = self.departures.get(&service).into_iter().flatten();
        let mut others = departures.filter(|(other, _)| **other != version);
        if others.any(|(_, departed_at)| is_recent(*departed_at)) {
            return OtherLosses::Known;
        }
        match self.unknown_departure_at.is_some_and(is_recent) {
            true => OtherLosses::Unversioned,
            false if self.is_known_for(memory_ms, now) => OtherLosses::None,
            false if self.is_past_pending => OtherLosses::Unread,
            false => OtherLosses::Unknown,
        }
    }

    /// The versions that may have begun a stream within the last `memory_ms`.
    pub fn state(&self, service: ServiceKey, memory_ms: u64, now: MonoTime) -> VersionState {
        let versions = self.services.get(&service).into_iter().flatten();
        let mut recent = versions.filter(|(_, listed_at)| now <= **listed_at + memory_ms);
        let listed = match (recent.next(), recent.next()) {
            (Some((version, _)), None) => Some(*version),
            _ => None,
        };
        let is_complete = self.current_since.is_some_and(|since| since + memory_ms <= now);
        match listed {
            Some(version) if is_complete => VersionState::Single(version),
            _ => VersionState::Open { listed },
        }
    }

    /// Whether the streams of any service may have begun at several versions.
    pub fn has_open_service(&self, memory_ms: u64, now: MonoTime) -> bool {
        let is_open = |key: &ServiceKey| {
            matches!(self.state(*key, memory_ms, now), VersionState::Open { .. })
        };
        self.services.keys().any(is_open)
    }

    /// Drops versions that no target has had for `memory_ms`, and departures that are older.
    pub fn expire(&mut self, memory_ms: u64, now: MonoTime) {
        for services in [&mut self.services, &mut self.departures] {
            for versions in services.values_mut() {
                versions.retain(|_, seen_at| now <= *seen_at + memory_ms);
            }
            services.retain(|_, versions| !versions.is_empty());
        }
    }
}
