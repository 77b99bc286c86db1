//! Which versions the targets had before this daemon started, from the store's history of their entries.

use std::collections::BTreeMap;

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

/// The versions of all targets over a past span of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PastVersions {
    versions: Vec<(ServiceKey, SoftwareVersion)>,
}

impl PastVersions {
    /// The versions that the history and the targets listed now, each with the time of its start, show for
    /// the span since the Unix time `begins_at` in milliseconds. `None` if others are possible: an entry
    /// whose earlier content is not known was removed or taken over by another incarnation, or the history
    /// lacks the start of a target within the span, so that it does not reach back that far.
    pub fn review(
        changes: &[PastChange],
        listed: &[(String, u64)],
        begins_at: u64,
    ) -> Option<Self> {
        let mut known: BTreeMap<&str, u64> = BTreeMap::new();
        let mut versions = Vec::new();
        for change in changes {
            let id = change.target_id.as_str();
            match change.state {
                PastState::Registered { service, version, born, is_new } => {
                    let is_same_as_before = is_new || born < begins_at || known.contains_key(id);
                    if !is_same_as_before {
                        return None;
                    }
                    known.insert(id, born);
                    versions.push((service, version));
                }
                PastState::Removed if known.contains_key(id) => {}
                PastState::Removed | PastState::Unreadable => return None,
            }
        }
        let has_start = |(id, born): &(String, u64)| known.get(id.as_str()) == Some(born);
        let is_complete = listed.iter().all(|entry| entry.1 < begins_at || has_start(entry));
        is_complete.then_some(Self { versions })
    }

    /// The versions, by service; one may be there several times.
    pub fn versions(&self) -> &[(ServiceKey, SoftwareVersion)] {
        &self.versions
    }
}
