//! News that spreads among the daemons.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::WallTime;
use crate::crashes::CrashId;
use crate::crashes::RequestFingerprint;
use crate::ident::stable_hash;
use crate::membership::PeerStatus;
use crate::routing::LoadReport;

/// Times that a fresh item is sent, for each doubling of the number of peers.
const SENDS_FOR_EACH_DOUBLING: u32 = 2;
/// Old items sent again with each datagram, so that those who missed them catch up.
const REFRESHED_ITEMS: usize = 2;
/// The least key of a load; all other kinds sort before it.
const FIRST_LOAD: ItemKey = ItemKey::Load(0);

/// Shortens a name to the 32 bits by which items refer to it.
pub fn short_hash(name: &str) -> u32 {
    stable_hash(name.as_bytes()) as u32
}

/// Identifies what an item is about; a later item replaces an earlier one with the same key.
///
/// The order of the variants is the order of importance, the most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKey {
    /// A target that is leaving.
    Leaving(u32),
    /// A request in flight on the death of a target.
    Crash(RequestFingerprint, CrashId),
    /// The state of a daemon.
    Peer(u32),
    /// The load of a target.
    Load(u32),
}

/// One piece of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipItem {
    /// An incarnation of a target is leaving.
    Leaving {
        /// Short hash of the target's name.
        target: u32,
        /// The incarnation that is leaving.
        incarnation: u64,
    },
    /// A request was in flight when a target died.
    Crash {
        /// The request.
        print: RequestFingerprint,
        /// The death.
        death: CrashId,
        /// When the blame ends; the same on every daemon, so that old blame is not passed round.
        expires_at: WallTime,
    },
    /// What is believed of a daemon.
    Peer {
        /// Short hash of the daemon's name.
        daemon: u32,
        /// The daemon's incarnation.
        incarnation: u64,
        /// Its status.
        status: PeerStatus,
    },
    /// The load of a target, as its prober heard it.
    Load {
        /// Short hash of the target's name.
        target: u32,
        /// The target's incarnation.
        incarnation: u64,
        /// The report.
        report: LoadReport,
        /// Whether the prober could not reach the target.
        is_down: bool,
    },
}

impl GossipItem {
    /// What the item is about.
    pub fn key(&self) -> ItemKey {
        match *self {
            Self::Leaving { target, .. } => ItemKey::Leaving(target),
            Self::Crash { print, death, .. } => ItemKey::Crash(print, death),
            Self::Peer { daemon, .. } => ItemKey::Peer(daemon),
            Self::Load { target, .. } => ItemKey::Load(target),
        }
    }

    /// Orders items with the same key; the higher one is newer.
    fn version(&self) -> (u64, u64) {
        match self {
            Self::Leaving { incarnation, .. } => (*incarnation, 0),
            Self::Crash { expires_at, .. } => (expires_at.as_millis(), 0),
            Self::Peer { incarnation, status, .. } => (*incarnation, *status as u64),
            Self::Load { incarnation, report, is_down, .. } => {
                (*incarnation, 2 * report.version() + u64::from(*is_down))
            }
        }
    }
}

#[derive(Clone, Debug)]
struct ItemSlot {
    item: GossipItem,
    sends_left: u32,
}

/// The newest item for each key, and how often each was passed on.
#[derive(Clone, Debug, Default)]
pub struct ItemTable {
    slots: BTreeMap<ItemKey, ItemSlot>,
    refreshed: Option<ItemKey>,
}

impl ItemTable {
    /// Items kept.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no item is kept.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Takes an item unless a newer one is known; returns whether it was news.
    ///
    /// `peer_count` sets how often news is passed on.
    pub fn take(&mut self, item: GossipItem, peer_count: usize) -> bool {
        let key = item.key();
        let is_old = self.slots.get(&key).is_some_and(|slot| slot.item.version() >= item.version());
        if is_old {
            return false;
        }
        let doublings = usize::BITS - peer_count.leading_zeros();
        let sends_left = SENDS_FOR_EACH_DOUBLING * doublings.max(1);
        self.slots.insert(key, ItemSlot { item, sends_left });
        true
    }

    /// Has an item sent once more unless a newer one is known.
    pub fn remind(&mut self, item: GossipItem) {
        let slot = self.slots.entry(item.key()).or_insert(ItemSlot { item, sends_left: 0 });
        if slot.item.version() <= item.version() {
            *slot = ItemSlot { item, sends_left: slot.sends_left.max(1) };
        }
    }

    /// Drops items that `keep` refuses.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&GossipItem) -> bool,
    {
        self.slots.retain(|_, slot| keep(&slot.item));
    }

    /// Picks the items for one datagram: fresh ones by importance, and some old ones in turn for
    /// those who missed them.
    ///
    /// Loads come last and are never repeated: they change all the time, and would leave no room for
    /// anything else. `fits` is asked for each item whether it still fits; once it says no to a
    /// fresh item, the less important ones are left for later. Returns the items and how many fresh
    /// ones were left.
    pub fn pick<F>(&mut self, mut fits: F) -> (Vec<GossipItem>, usize)
    where
        F: FnMut(&GossipItem) -> bool,
    {
        let mut picked = Vec::new();
        let left = self.pick_fresh(false, &mut picked, &mut fits);
        if left == 0 {
            self.pick_old(&mut picked, &mut fits);
        }
        let left_loads = match left {
            0 => self.pick_fresh(true, &mut picked, &mut fits),
            _ => self.fresh(true).len(),
        };
        (picked, left + left_loads)
    }

    /// Fresh items, the most important and among these the least often sent first.
    fn fresh(&self, loads: bool) -> Vec<ItemKey> {
        let mut fresh: Vec<(u8, u32, ItemKey)> = self
            .slots
            .iter()
            .filter(|(key, slot)| slot.sends_left > 0 && is_load(key) == loads)
            .map(|(key, slot)| (rank_of(key), u32::MAX - slot.sends_left, *key))
            .collect();
        fresh.sort_unstable();
        fresh.into_iter().map(|(_, _, key)| key).collect()
    }

    fn pick_fresh<F>(&mut self, loads: bool, picked: &mut Vec<GossipItem>, fits: &mut F) -> usize
    where
        F: FnMut(&GossipItem) -> bool,
    {
        let mut left = 0;
        for key in self.fresh(loads) {
            let Some(slot) = self.slots.get_mut(&key) else { continue };
            if left == 0 && fits(&slot.item) {
                slot.sends_left -= 1;
                picked.push(slot.item);
            } else {
                left += 1;
            }
        }
        left
    }

    fn pick_old<F>(&mut self, picked: &mut Vec<GossipItem>, fits: &mut F)
    where
        F: FnMut(&GossipItem) -> bool,
    {
        for _ in 0..REFRESHED_ITEMS {
            let start = self.refreshed.map_or(Bound::Unbounded, Bound::Excluded);
            let mut after = self.slots.range((start, Bound::Excluded(FIRST_LOAD)));
            let next = after.next().or_else(|| self.slots.range(..FIRST_LOAD).next());
            let Some((key, slot)) = next else { return };
            let (key, item) = (*key, slot.item);
            if picked.contains(&item) || !fits(&item) {
                return;
            }
            self.refreshed = Some(key);
            picked.push(item);
        }
    }
}

fn is_load(key: &ItemKey) -> bool {
    matches!(key, ItemKey::Load(_))
}

fn rank_of(key: &ItemKey) -> u8 {
    match key {
        ItemKey::Leaving(_) => 0,
        ItemKey::Crash(..) => 1,
        ItemKey::Peer(_) => 2,
        ItemKey::Load(_) => 3,
    }
}
