//! Selects the holders of a key.

use std::collections::BTreeSet;

use crate::config::DaemonSection;
use crate::config::RosterSection;
use crate::ident::CentreName;
use crate::ident::DaemonName;
use crate::ident::stable_hash;
use crate::routing::rendezvous_score;

/// Number of holders of each key, if the roster has as many daemons.
pub const HOLDERS_PER_KEY: usize = 3;

/// The holders of one key, in rendezvous order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderSet(Vec<DaemonName>);

impl HolderSet {
    /// Names of the holders.
    pub fn names(&self) -> &[DaemonName] {
        &self.0
    }

    /// Number of holders that form a majority.
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Whether `name` is a holder of the key.
    pub fn contains(&self, name: &DaemonName) -> bool {
        self.0.contains(name)
    }

    /// Whether both sets have the same members.
    pub fn is_same(&self, other: &Self) -> bool {
        self.0.len() == other.0.len() && self.0.iter().all(|name| other.contains(name))
    }
}

/// The holders of the key with `key_hash` under the roster of `epoch`.
///
/// The daemon with the highest score comes first. Each next one has the highest score in a data
/// centre without a holder or, once every data centre has one, the highest of the rest.
pub fn holders_of(roster: &RosterSection, epoch: u64, key_hash: u64) -> HolderSet {
    let mut scored: Vec<(f64, &DaemonName, &DaemonSection)> = roster
        .daemons
        .iter()
        .filter(|(_, daemon)| daemon.belongs_to(epoch))
        .map(|(name, daemon)| {
            let hash = stable_hash(name.as_str().as_bytes());
            (rendezvous_score(key_hash, hash, 1.0), name, daemon)
        })
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    let mut chosen: Vec<DaemonName> = Vec::with_capacity(HOLDERS_PER_KEY);
    let mut centres: BTreeSet<&CentreName> = BTreeSet::new();
    for (_, name, daemon) in &scored {
        if chosen.len() < HOLDERS_PER_KEY && centres.insert(&daemon.data_centre) {
            chosen.push((*name).clone());
        }
    }
    for (_, name, _) in &scored {
        if chosen.len() < HOLDERS_PER_KEY && !chosen.contains(name) {
            chosen.push((*name).clone());
        }
    }
    HolderSet(chosen)
}

/// The last epoch of each membership before the current one, derived from the epochs in which
/// daemons were added or removed.
pub fn older_epochs(roster: &RosterSection) -> impl Iterator<Item = u64> {
    let changes: BTreeSet<u64> = roster
        .daemons
        .values()
        .flat_map(|daemon| [Some(daemon.added), daemon.removed])
        .flatten()
        .filter(|epoch| *epoch > 0)
        .collect();
    changes.into_iter().map(|epoch| epoch - 1)
}
