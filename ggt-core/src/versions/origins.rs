//! Which version began each stream, for callers that take one up.

use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::MonoTime;
use crate::ident::stable_hash;
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
}

/// The origins of streams that this daemon has begun, gone on with, or been told of.
#[derive(Clone, Debug)]
pub struct OriginTable {
    entries: HashMap<StreamKey, OriginEntry>,
    /// Keys with the times at which their entries may have expired.
    expiries: VecDeque<(MonoTime, StreamKey)>,
    /// Streams of this daemon's own that other daemons have not been told of yet, the oldest first.
    untold: VecDeque<StreamKey>,
    capacity: usize,
}

impl OriginTable {
    /// A table of at most `capacity` streams; beyond it, the oldest are dropped.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            expiries: VecDeque::new(),
            untold: VecDeque::new(),
            capacity,
        }
    }

    /// Records a stream of this daemon's own, which other daemons have to be told of.
    pub fn record_own(&mut self, origin: StreamOrigin, expires_at: MonoTime) {
        if self.record(origin, expires_at) {
            self.untold.push_back(origin.key);
        }
    }

    /// Records a stream that another daemon has told of.
    pub fn record_told(&mut self, origin: StreamOrigin, expires_at: MonoTime) {
        self.record(origin, expires_at);
    }

    /// The version that began a stream; `None` if it is not known.
    pub fn version(&self, key: StreamKey, now: MonoTime) -> Option<SoftwareVersion> {
        let entry = self.entries.get(&key).filter(|entry| now < entry.expires_at)?;
        entry.version
    }

    /// Whether there are streams that other daemons have not been told of yet.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// The origins that other daemons have not been told of yet; they count as told from now on.
    pub fn take_untold(&mut self) -> Vec<StreamOrigin> {
        let Self { entries, untold, .. } = self;
        let origin = |key: StreamKey| {
            let version = entries.get(&key)?.version?;
            Some(StreamOrigin { key, version })
        };
        untold.drain(..).filter_map(origin).collect()
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: MonoTime) {
        while let Some((_, key)) = self.expiries.pop_front_if(|(at, _)| *at <= now) {
            match self.entries.get(&key).map(|entry| entry.expires_at) {
                Some(expires_at) if now < expires_at => self.expiries.push_back((expires_at, key)),
                _ => drop(self.entries.remove(&key)),
            }
        }
        self.drop_untold();
    }

    /// The number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no stream.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records an origin; returns whether its stream was not known.
    fn record(&mut self, origin: StreamOrigin, expires_at: MonoTime) -> bool {
        let StreamOrigin { key, version } = origin;
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.version != Some(version) {
                entry.version = None;
            }
            entry.expires_at = entry.expires_at.max(expires_at);
            return false;
        }
        if self.entries.len() >= self.capacity
            && let Some((_, oldest)) = self.expiries.pop_front()
        {
            self.entries.remove(&oldest);
            self.drop_untold();
        }
        self.expiries.push_back((expires_at, key));
        self.entries.insert(key, OriginEntry { version: Some(version), expires_at });
        true
    }

    /// Drops streams from the untold ones that are no longer kept.
    fn drop_untold(&mut self) {
        let Self { entries, untold, .. } = self;
        while untold.pop_front_if(|key| !entries.contains_key(key)).is_some() {}
    }
}
