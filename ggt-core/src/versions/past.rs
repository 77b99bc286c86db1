//! Which versions the targets had before this daemon started, from the store's history of their entries.

use std::collections::BTreeSet;

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
        /// Whether this change created the entry.
        is_new: bool,
    },
    /// Nothing usable, where something else had been before.
    Unreadable,
    /// The entry was removed.
    Removed,
}

/// The versions of targets that the store's history names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PastVersions {
    versions: Vec<(ServiceKey, SoftwareVersion)>,
    has_unknown: bool,
}

impl PastVersions {
    /// The versions that these changes name.
    ///
    /// They are all that there have been only if the history is whole: the store may have discarded the changes before
    /// these at any time, and nothing in the others shows when.
    pub fn review(changes: &[PastChange]) -> Self {
        let mut known = BTreeSet::new();
        let mut past = Self::default();
        for change in changes {
            let id = change.target_id.as_str();
            match change.state {
                PastState::Registered { service, version, is_new } => {
                    past.has_unknown |= !is_new && !known.contains(id);
                    known.insert(id);
                    past.versions.push((service, version));
                }
                PastState::Removed => past.has_unknown |= !known.contains(id),
                PastState::Unreadable => past.has_unknown = true,
            }
        }
        past
    }

    /// The versions, by service; one may be there several times.
    pub fn versions(&self) -> &[(ServiceKey, SoftwareVersion)] {
        &self.versions
    }

    /// Whether an entry had other content before these changes, which they do not show.
    pub const fn has_unknown(&self) -> bool {
        self.has_unknown
    }
}
