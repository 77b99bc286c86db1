//! One folder of what the platform has published, as one daemon knows it, and what changed last.
//!
//! Facts carry the platform's revision. Of two accounts of one key the later revision holds, so
//! accounts may be taken from the platform and from peers, in any order and more than once.

mod outage;

pub use outage::OutageRecord;

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Changes that are kept for peers that ask for what came after a revision.
const MAX_LOGGED_CHANGES: usize = 1_024;
/// Removals that are remembered, so that an older account does not bring an item back.
const MAX_REMOVALS: usize = 4_096;

/// One key as it stands at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactChange {
    /// The key.
    pub key: String,
    /// The platform's revision of the change.
    pub revision: u64,
    /// The value, or `None` when the key was removed.
    pub value: Option<Arc<Vec<u8>>>,
}

/// Changes for a peer, or all facts when the peer is too far behind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactBatch {
    /// The revision at which the facts hold.
    pub revision: u64,
    /// Whether these are all facts, so that a key that is missing here was removed.
    pub is_whole: bool,
    /// The changes.
    pub changes: Vec<FactChange>,
}

/// One key as it stands.
#[derive(Clone, Debug)]
struct FactState {
    revision: u64,
    value: Option<Arc<Vec<u8>>>,
}

/// All facts of one folder that one daemon knows.
#[derive(Clone, Debug, Default)]
pub struct FactTable {
    facts: BTreeMap<String, FactState>,
    /// The latest change of each key, by revision; the oldest are dropped.
    log: BTreeMap<(u64, String), Option<Arc<Vec<u8>>>>,
    revision: u64,
    last_change: u64,
    log_start: u64,
    removal_count: usize,
}

impl FactTable {
    /// The revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision of the latest change that is known.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<&Arc<Vec<u8>>> {
        self.facts.get(key).and_then(|fact| fact.value.as_ref())
    }

    /// Takes changes and returns those that were news.
    ///
    /// A whole batch also removes the keys that it does not hold.
    pub fn take(&mut self, batch: FactBatch) -> Vec<FactChange> {
        let mut changes = batch.changes;
        if batch.is_whole {
            changes.extend(self.missing(&changes, batch.revision));
        }
        changes.sort_by_key(|change| change.revision);
        let news: Vec<_> = changes.into_iter().filter(|change| self.put(change)).collect();
        if batch.is_whole && self.revision < batch.revision {
            // Changes between the two revisions were not seen one by one.
            self.log_start = batch.revision;
        }
        self.revision = self.revision.max(batch.revision);
        news
    }

    /// What a peer that knows all changes up to `revision` lacks.
    pub fn since(&self, revision: u64) -> FactBatch {
        if revision >= self.log_start && revision > 0 {
            let later = self.log.range((revision + 1, String::new())..);
            let changes = later.map(|((revision, key), value)| FactChange {
                key: key.clone(),
                revision: *revision,
                value: value.clone(),
            });
            return FactBatch {
                revision: self.revision,
                is_whole: false,
                changes: changes.collect(),
            };
        }
        let facts = self.facts.iter().filter(|(_, fact)| fact.value.is_some());
        let changes = facts.map(|(key, fact)| FactChange {
            key: key.clone(),
            revision: fact.revision,
            value: fact.value.clone(),
        });
        FactBatch { revision: self.revision, is_whole: true, changes: changes.collect() }
    }

    fn missing(&self, changes: &[FactChange], revision: u64) -> Vec<FactChange> {
        let told: HashSet<_> = changes.iter().map(|change| change.key.as_str()).collect();
        let is_gone = |key: &str| !told.contains(key);
        let facts = self.facts.iter();
        facts
            .filter(|(key, fact)| fact.value.is_some() && fact.revision < revision && is_gone(key))
            .map(|(key, _)| FactChange { key: key.clone(), revision, value: None })
            .collect()
    }

    fn put(&mut self, change: &FactChange) -> bool {
        let known = self.facts.get(&change.key).map_or(0, |fact| fact.revision);
        if change.revision <= known {
            return false;
        }
        self.last_change = self.last_change.max(change.revision);
        self.removal_count += usize::from(change.value.is_none());
        let fact = FactState { revision: change.revision, value: change.value.clone() };
        self.facts.insert(change.key.clone(), fact);
        // A peer needs only the latest change of a key.
        self.log.remove(&(known, change.key.clone()));
        self.log.insert((change.revision, change.key.clone()), change.value.clone());
        if self.log.len() > MAX_LOGGED_CHANGES {
            let dropped = self.log.pop_first().map_or(0, |((revision, _), _)| revision);
            self.log_start = self.log_start.max(dropped);
        }
        if self.removal_count > MAX_REMOVALS {
            self.facts.retain(|_, fact| fact.value.is_some());
            self.removal_count = 0;
        }
        true
    }
}
