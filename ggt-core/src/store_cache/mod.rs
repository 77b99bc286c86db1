//! One daemon's cache of a folder of the platform's store, with a log of its latest changes.
//!
//! Each entry carries the store's revision of its last change, and the highest revision wins.
//! Changes from the platform and from peers may therefore be applied in any order and more than
//! once.

mod outage;

pub use outage::PlatformOutage;

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of changes in the log, from which peers are sent those after a given revision.
const MAX_LOGGED_CHANGES: usize = 1_024;
/// Maximum number of tombstones, which keep an older change from restoring a removed key; beyond it,
/// all are dropped.
const MAX_REMOVALS: usize = 4_096;

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChange {
    /// The key.
    pub key: String,
    /// The store's revision of the change.
    pub revision: u64,
    /// The new value; `None` when the key was removed.
    pub value: Option<Arc<Vec<u8>>>,
}

/// A set of changes of a folder, or a snapshot of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreBatch {
    /// Revision up to which the receiver is current once it has applied the batch.
    pub revision: u64,
    /// Whether this is a snapshot, so that a missing key has been removed.
    #[serde(rename = "is_whole")]
    pub is_snapshot: bool,
    /// Changes; in a snapshot, all keys with their values.
    pub changes: Vec<StoreChange>,
}

/// Latest known state of a key; a tombstone has no value.
#[derive(Clone, Debug)]
struct CacheEntry {
    revision: u64,
    value: Option<Arc<Vec<u8>>>,
}

/// Cached entries of one folder of the platform's store.
#[derive(Clone, Debug, Default)]
pub struct StoreCache {
    entries: BTreeMap<String, CacheEntry>,
    /// Latest change of each key, by revision and key; the oldest are dropped.
    change_log: BTreeMap<(u64, String), Option<Arc<Vec<u8>>>>,
    revision: u64,
    last_change_revision: u64,
    /// Revision after which the log is complete.
    log_start: u64,
    /// Removals applied since tombstones were last purged.
    removal_count: usize,
}

impl StoreCache {
    /// Revision up to which all changes have been applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the latest change that has been applied.
    pub fn last_change_revision(&self) -> u64 {
        self.last_change_revision
    }

    /// Value of a key; `None` when it does not exist.
    pub fn value(&self, key: &str) -> Option<&Arc<Vec<u8>>> {
        self.entries.get(key).and_then(|entry| entry.value.as_ref())
    }

    /// Applies a batch and returns the changes that were newer than the cached entries.
    ///
    /// A snapshot also removes the keys that it does not contain, unless they changed after it.
    pub fn apply(&mut self, batch: StoreBatch) -> Vec<StoreChange> {
        let mut changes = batch.changes;
        if batch.is_snapshot {
            changes.extend(self.removals(&changes, batch.revision));
        }
        changes.sort_by_key(|change| change.revision);
        let applied: Vec<_> =
            changes.into_iter().filter(|change| self.apply_change(change)).collect();
        if batch.is_snapshot && self.revision < batch.revision {
            // The log lacks the single changes between the two revisions.
            self.log_start = batch.revision;
        }
        self.revision = self.revision.max(batch.revision);
        applied
    }

    /// The changes after `revision`, for a peer that has all before, or a snapshot when the log
    /// does not reach back that far.
    pub fn changes_since(&self, revision: u64) -> StoreBatch {
        if revision >= self.log_start && revision > 0 {
            let later = self.change_log.range((revision + 1, String::new())..);
            let changes = later.map(|((revision, key), value)| StoreChange {
                key: key.clone(),
                revision: *revision,
                value: value.clone(),
            });
            return StoreBatch {
                revision: self.revision,
                is_snapshot: false,
                changes: changes.collect(),
            };
        }
        let entries = self.entries.iter().filter(|(_, entry)| entry.value.is_some());
        let changes = entries.map(|(key, entry)| StoreChange {
            key: key.clone(),
            revision: entry.revision,
            value: entry.value.clone(),
        });
        StoreBatch { revision: self.revision, is_snapshot: true, changes: changes.collect() }
    }

    /// Removals of the cached keys that a snapshot at `revision` with these `changes` lacks, unless
    /// they changed after it.
    fn removals(&self, changes: &[StoreChange], revision: u64) -> Vec<StoreChange> {
        let listed: HashSet<_> = changes.iter().map(|change| change.key.as_str()).collect();
        let is_missing = |key: &str| !listed.contains(key);
        let entries = self.entries.iter();
        entries
            .filter(|(key, entry)| {
                entry.value.is_some() && entry.revision < revision && is_missing(key)
            })
            .map(|(key, _)| StoreChange { key: key.clone(), revision, value: None })
            .collect()
    }

    fn apply_change(&mut self, change: &StoreChange) -> bool {
        let known_revision = self.entries.get(&change.key).map_or(0, |entry| entry.revision);
        if change.revision <= known_revision {
            return false;
        }
        self.last_change_revision = self.last_change_revision.max(change.revision);
        self.removal_count += usize::from(change.value.is_none());
        let entry = CacheEntry { revision: change.revision, value: change.value.clone() };
        self.entries.insert(change.key.clone(), entry);
        // The log keeps only the latest change of a key.
        self.change_log.remove(&(known_revision, change.key.clone()));
        self.change_log.insert((change.revision, change.key.clone()), change.value.clone());
        if self.change_log.len() > MAX_LOGGED_CHANGES {
            let dropped_revision =
                self.change_log.pop_first().map_or(0, |((revision, _), _)| revision);
            self.log_start = self.log_start.max(dropped_revision);
        }
        if self.removal_count > MAX_REMOVALS {
            self.entries.retain(|_, entry| entry.value.is_some());
            self.removal_count = 0;
        }
        true
    }
}
