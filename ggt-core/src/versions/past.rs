//! Which versions the targets had before this daemon started, from the store's history of their entries.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::versions::ServiceKey;
use crate::versions::SoftwareVersion;

/// A past change of a target's entry, in the order of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PastChange {
    /// Id of the target.
    pub target_id: String,
    /// What the entry said then.
    pub state: PastState,
}

/// What an entry said after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PastState {
    /// A target of this service and version.
    Registered {
        /// The target's service.
        service: ServiceKey,
        /// Version of its software.
        version: SoftwareVersion,
        /// Unix time in milliseconds at which the target started.
        born: u64,
        /// Whether this change created the entry.
        is_new: bool,
    },
    /// Nothing usable, where something else had been before.
    Unreadable,
    /// The entry was removed.
    Removed,
}

/// The versions of targets that the store's history names, and of those that have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersions {
    versions: Vec<(ServiceKey, SoftwareVersion)>,
    departures: Vec<(ServiceKey, SoftwareVersion)>,
    has_unknown: bool,
}

impl PastVersions {
    /// These versions, and those of targets that have ended; `has_unknown` is whether one of unknown version has.
    pub const fn new(
        versions: Vec<(ServiceKey, SoftwareVersion)>,
        departures: Vec<(ServiceKey, SoftwareVersion)>,
        has_unknown: bool,
    ) -> Self {
        Self { versions, departures, has_unknown }
    }

    /// The versions that these changes name. What a target's entry said before them matters only if the target has
    /// started since the Unix time `begins_at` in milliseconds, or has ended.
    ///
    /// They are all that there have been only if the history is whole: the store may have discarded the changes before
    /// these at any time, and nothing in the others shows when.
    pub fn review(changes: &[PastChange], begins_at: u64) -> Self {
        let mut known = BTreeMap::new();
        let mut past = Self::default();
        for change in changes {
            let id = change.target_id.as_str();
            match change.state {
                PastState::Registered { service, version, born, is_new } => {
                    let before = known.insert(id, (service, version, born));
                    past.has_unknown |= !is_new && before.is_none() && born >= begins_at;
                    past.versions.push((service, version));
                    let replaced = before.filter(|(_, _, born_before)| *born_before != born);
                    past.departures
                        .extend(replaced.map(|(service, version, _)| (service, version)));
                }
                PastState::Removed => match known.remove(id) {
                    Some((service, version, _)) => past.departures.push((service, version)),
                    None => past.has_unknown = true,
                },
                PastState::Unreadable => past.has_unknown = true,
            }
        }
        past
    }

    /// The versions, by service; one may be there several times.
    pub fn versions(&self) -> &[(ServiceKey, SoftwareVersion)] {
        &self.versions
    }

    /// The versions of targets that have ended or started anew.
    pub fn departures(&self) -> &[(ServiceKey, SoftwareVersion)] {
        &self.departures
    }

    /// Whether an entry had other content before these changes, which they do not show.
    pub const fn has_unknown(&self) -> bool {
        self.has_unknown
    }
}
