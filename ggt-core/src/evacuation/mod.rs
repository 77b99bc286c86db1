//! The data centres that the operator has evacuated, as one daemon knows them.
//!
//! Targets in an evacuated data centre get no new requests; those that they run go on. The platform's store
//! holds the evacuations, and daemons hear of them as they hear of the configuration.

use std::collections::BTreeMap;

use crate::clock::MonoTime;

/// One evacuation in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EvacuationEntry {
    /// When this daemon learnt of it.
    began_at: MonoTime,
    /// When it is to end; `None` while the platform lists it.
    ends_at: Option<MonoTime>,
}

/// An evacuation that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedEvacuation {
    /// Name of the data centre.
    pub data_centre: String,
    /// When this daemon had learnt of it.
    pub began_at: MonoTime,
}

/// All evacuations in force, by data centre.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    entries: BTreeMap<String, EvacuationEntry>,
}

impl EvacuationTable {
    /// Records that the platform lists an evacuation; `true` if it was not in force before.
    pub fn begin(&mut self, data_centre: &str, now: MonoTime) -> bool {
        let known = self.entries.get_mut(data_centre);
        match known {
            Some(entry) => {
                entry.ends_at = None;
                false
            }
            None => {
                let entry = EvacuationEntry { began_at: now, ends_at: None };
                self.entries.insert(data_centre.to_owned(), entry);
                true
            }
        }
    }

    /// Records that the platform no longer lists an evacuation, which is to end at `ends_at`; `false` if it was
    /// not in force. A store that came back from an older copy may list it again before that.
    pub fn end_at(&mut self, data_centre: &str, ends_at: MonoTime) -> bool {
        let entry = self.entries.get_mut(data_centre);
        entry.is_some_and(|entry| entry.ends_at.replace(ends_at) != Some(ends_at))
    }

    /// Removes and returns the evacuations whose end has come.
    pub fn expire(&mut self, now: MonoTime) -> Vec<EndedEvacuation> {
        let is_due = |entry: &EvacuationEntry| entry.ends_at.is_some_and(|ends_at| ends_at <= now);
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        let ended = due.map(|(data_centre, entry)| EndedEvacuation {
            data_centre: data_centre.clone(),
            began_at: entry.began_at,
        });
        let ended: Vec<_> = ended.collect();
        self.entries.retain(|_, entry| !is_due(entry));
        ended
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.entries.contains_key(data_centre)
    }

    /// When this daemon learnt that a data centre is evacuated.
    pub fn began_at(&self, data_centre: &str) -> Option<MonoTime> {
        self.entries.get(data_centre).map(|entry| entry.began_at)
    }

    /// Number of evacuated data centres.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
