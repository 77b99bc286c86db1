//! Which version began each stream, for callers that take one up.

use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::MonoTime;
use crate::ident::stable_hash;
use crate::versions::ServiceKey;
use crate::versions::SoftwareVersion;

/// Identifies a stream: a hash of customer, service and the caller's attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The stream whose first event the attempt `attempt_id` of this customer brought.
    pub fn new(customer: &str, service: &str, attempt_id: &str) -> Self {
        let lengths = format!("{},{},", customer.len(), service.len());
        Self(stable_hash([&lengths, customer, service, attempt_id].concat().as_bytes()))
    }
}

/// The version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub key: StreamKey,
    /// The version of the target that sent its first event.
    pub version: SoftwareVersion,
}

#[derive(Clone, Copy, Debug)]
struct OriginEntry {
    /// `None` if the stream was recorded with two versions.
    version: Option<SoftwareVersion>,
    expires_at: MonoTime,
    /// The service of a stream of this daemon's own that other daemons have not been told of yet.
    untold_service: Option<ServiceKey>,
}

/// The origins of streams that this daemon has begun, gone on with, or been told of.
#[derive(Clone, Debug)]
pub struct OriginTable {
    entries: HashMap<StreamKey, OriginEntry>,
    /// Keys with the times at which their entries may have expired.
    expiries: VecDeque<(MonoTime, StreamKey)>,
    capacity: usize,
}

impl OriginTable {
    /// A table of at most `capacity` streams; beyond it, the oldest are dropped.
    pub fn new(capacity: usize) -> Self {
        Self { entries: HashMap::new(), expiries: VecDeque::new(), capacity }
    }

    /// Records a stream of this daemon's own that other daemons have to be told of if its service runs
    /// several versions.
    pub fn record_own(&mut self, origin: StreamOrigin, service: ServiceKey, expires_at: MonoTime) {
        self.record(origin, Some(service), expires_at);
    }

    /// Records a stream that another daemon has told of.
    pub fn record_told(&mut self, origin: StreamOrigin, expires_at: MonoTime) {
        self.record(origin, None, expires_at);
    }

    /// The version that began a stream; `None` if it is not known.
    pub fn version(&self, key: StreamKey, now: MonoTime) -> Option<SoftwareVersion> {
        let entry = self.entries.get(&key).filter(|entry| now < entry.expires_at)?;
        entry.version
    }

    /// The origins that other daemons have to be told of now: those of services for which `needs_telling`
    /// returns `true`.
    pub fn take_untold<F>(&mut self, needs_telling: F) -> Vec<StreamOrigin>
    where
        F: Fn(ServiceKey) -> bool,
    {
        let mut origins = Vec::new();
        for (key, entry) in &mut self.entries {
            if entry.untold_service.is_some_and(&needs_telling) {
                entry.untold_service = None;
                origins.extend(entry.version.map(|version| StreamOrigin { key: *key, version }));
            }
        }
        origins
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: MonoTime) {
        while let Some((_, key)) = self.expiries.pop_front_if(|(at, _)| *at <= now) {
            match self.entries.get(&key).map(|entry| entry.expires_at) {
                Some(expires_at) if now < expires_at => self.expiries.push_back((expires_at, key)),
                _ => drop(self.entries.remove(&key)),
            }
        }
    }

    /// The number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no stream.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn record(
        &mut self,
        origin: StreamOrigin,
        untold_service: Option<ServiceKey>,
        expires_at: MonoTime,
    ) {
        let StreamOrigin { key, version } = origin;
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.version != Some(version) {
                entry.version = None;
            }
            entry.expires_at = entry.expires_at.max(expires_at);
            return;
        }
        if self.entries.len() >= self.capacity
            && let Some((_, oldest)) = self.expiries.pop_front()
        {
            self.entries.remove(&oldest);
        }
        self.expiries.push_back((expires_at, key));
        self.entries
            .insert(key, OriginEntry { version: Some(version), expires_at, untold_service });
    }
}
