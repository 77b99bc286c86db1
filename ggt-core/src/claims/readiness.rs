//! From which minting time on a holder may grant a key.

use std::collections::BTreeMap;

use crate::claims::HolderSet;
use crate::claims::holders_of;
use crate::claims::older_epochs;
use crate::clock::WallTime;
use crate::config::RosterSection;
use crate::ident::DaemonName;

/// The roster epochs that daemons said they have reached, since this daemon's start.
///
/// Only answers to questions asked in this life may be entered: a message that was under way when
/// the daemon started proves nothing about what happened since.
#[derive(Clone, Debug)]
pub struct EpochLedger {
    own_name: DaemonName,
    started_at: WallTime,
    reached: BTreeMap<DaemonName, Vec<(u64, WallTime)>>,
}

impl EpochLedger {
    /// An empty ledger of the daemon `own_name`, which started at `started_at`.
    pub fn new(own_name: DaemonName, started_at: WallTime) -> Self {
        Self { own_name, started_at, reached: BTreeMap::new() }
    }

    /// Enters that a daemon has reached an epoch.
    pub fn note(&mut self, name: &DaemonName, epoch: u64, now: WallTime) {
        let steps = self.reached.entry(name.clone()).or_default();
        if steps.last().is_none_or(|(known, _)| epoch > *known) {
            steps.push((epoch, now));
        }
    }

    /// Whether any daemon is known to have reached an epoch above `epoch`.
    pub fn is_above(&self, epoch: u64) -> bool {
        self.reached.values().flatten().any(|(reached, _)| *reached > epoch)
    }

    /// Whether `name` is known to have reached `epoch`.
    pub fn has_reached(&self, name: &DaemonName, epoch: u64) -> bool {
        self.reached.get(name).is_some_and(|steps| steps.iter().any(|(known, _)| *known >= epoch))
    }

    /// The minting time above which this daemon may grant the key with `key_hash`, clock error
    /// aside, or `None` while it may grant nothing.
    ///
    /// - Grants of a former life were given to keys minted before this life began. So that a
    ///   stale configuration does not undo a move to a later epoch, enough other holders must have
    ///   been heard in this life to meet any majority that counted the former one.
    /// - Grants under a former roster were given before a majority of the key's holders under that
    ///   roster had moved on.
    pub fn ready_from(&self, roster: &RosterSection, key_hash: u64) -> Option<WallTime> {
        let current = holders_of(roster, roster.epoch, key_hash);
        let mut ready_from = self.started_at;
        // Together with this daemon, all but a minority of the key's holders.
        let needed_others = current.names().len() - (current.majority() - 1);
        let others = current.names().iter().filter(|name| **name != self.own_name);
        let heard = self.earliest(others, 0, needed_others.min(current.names().len() - 1))?;
        ready_from = ready_from.max(heard);
        for epoch in older_epochs(roster) {
            let former: HolderSet = holders_of(roster, epoch, key_hash);
            if former.names().is_empty() || former.is_same(&current) {
                continue;
            }
            let moved = self.earliest(former.names().iter(), epoch + 1, former.majority())?;
            ready_from = ready_from.max(moved);
        }
        Some(ready_from)
    }

    /// When `count` of the daemons had reached `epoch`.
    fn earliest<'a, I>(&self, names: I, epoch: u64, count: usize) -> Option<WallTime>
    where
        I: Iterator<Item = &'a DaemonName>,
    {
        if count == 0 {
            return Some(self.started_at);
        }
        let mut times: Vec<WallTime> = names
            .filter_map(|name| {
                let steps = self.reached.get(name)?;
                steps.iter().find(|(reached, _)| *reached >= epoch).map(|(_, at)| *at)
            })
            .collect();
        times.sort_unstable();
        times.get(count - 1).copied()
    }
}
