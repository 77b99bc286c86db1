//! Gossip items and the table that schedules their retransmission.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::WallTime;
use crate::crashes::CrashId;
use crate::crashes::SuspectKey;
use crate::ident::stable_hash;
use crate::membership::PeerStatus;
use crate::routing::LoadReport;

/// Times that a new item is sent, for each doubling of the number of peers.
const SENDS_PER_DOUBLING: u32 = 2;
/// Items sent again with each datagram, so that peers that missed them catch up.
const REPEATED_ITEMS: usize = 2;
/// Lower bound of all load keys; every other kind sorts before it.
const MIN_LOAD_KEY: ItemKey = ItemKey::Load(0);

/// Shortens a name to the 32 bits by which items refer to it.
pub fn short_hash(name: &str) -> u32 {
    stable_hash(name.as_bytes()) as u32
}

/// Key of an item; a newer item replaces an older one with the same key.
///
/// Variants are listed by decreasing send priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKey {
    /// Departure of a target, by the short hash of its name.
    Leaving(u32),
    /// A request that was in flight when a target crashed.
    Crash(SuspectKey, CrashId),
    /// Membership status of a daemon, by the short hash of its name.
    Peer(u32),
    /// Load of a target, by the short hash of its name.
    Load(u32),
}

/// One update that daemons pass on to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipItem {
    /// An incarnation of a target is leaving.
    Leaving {
        /// Short hash of the target's name.
        target: u32,
        /// The incarnation that is leaving.
        incarnation: u64,
    },
    /// A request was in flight when a target crashed.
    Crash {
        /// What the request has in common with others that may crash targets.
        #[serde(rename = "print")]
        suspect: SuspectKey,
        /// Identifies the crash.
        #[serde(rename = "death")]
        crash: CrashId,
        /// When the request stops counting as a crash suspect; the same on every daemon, so that
        /// expired items are not passed on.
        expires_at: WallTime,
    },
    /// Membership status of a daemon, as the sender has it.
    Peer {
        /// Short hash of the daemon's name.
        daemon: u32,
        /// The daemon's incarnation.
        incarnation: u64,
        /// The status at that incarnation.
        status: PeerStatus,
    },
    /// The load that a target reported to its prober.
    Load {
        /// Short hash of the target's name.
        target: u32,
        /// The target's incarnation.
        incarnation: u64,
        /// The target's request counters.
        report: LoadReport,
        /// Whether the prober failed to reach the target.
        is_down: bool,
    },
}

impl GossipItem {
    /// The key under which the item is stored.
    pub fn key(&self) -> ItemKey {
        match *self {
            Self::Leaving { target, .. } => ItemKey::Leaving(target),
            Self::Crash { suspect, crash, .. } => ItemKey::Crash(suspect, crash),
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
    /// Times that the item is still to be sent before it is only repeated in turn.
    sends_left: u32,
}

/// The newest item for each key, with the number of times each is still to be sent.
#[derive(Clone, Debug, Default)]
pub struct ItemTable {
    slots: BTreeMap<ItemKey, ItemSlot>,
    /// Key of the item that was repeated last; the next one in key order follows.
    last_repeated: Option<ItemKey>,
}

impl ItemTable {
    /// Number of items stored.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no item is stored.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Stores an item unless one as new is stored already; returns whether it was stored.
    ///
    /// A new item is sent a number of times that grows with the logarithm of `peer_count`.
    pub fn insert(&mut self, item: GossipItem, peer_count: usize) -> bool {
        let key = item.key();
        let is_stored =
            self.slots.get(&key).is_some_and(|slot| slot.item.version() >= item.version());
        if is_stored {
            return false;
        }
        let doublings = usize::BITS - peer_count.leading_zeros();
        let sends_left = SENDS_PER_DOUBLING * doublings.max(1);
        self.slots.insert(key, ItemSlot { item, sends_left });
        true
    }

    /// Schedules an item for one more transmission unless a newer one is stored.
    pub fn resend(&mut self, item: GossipItem) {
        let slot = self.slots.entry(item.key()).or_insert(ItemSlot { item, sends_left: 0 });
        if slot.item.version() <= item.version() {
            *slot = ItemSlot { item, sends_left: slot.sends_left.max(1) };
        }
    }

    /// Drops the items for which `keep` returns false.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&GossipItem) -> bool,
    {
        self.slots.retain(|_, slot| keep(&slot.item));
    }

    /// Selects the items for one datagram: items with sends left by priority, then some older items
    /// in turn for peers that missed them.
    ///
    /// Loads come last and are never repeated: they change all the time and would crowd out
    /// everything else. `fits` returns whether an item still fits into the datagram; once it rejects
    /// an item with sends left, those of lower priority wait for a later datagram. Returns the
    /// selected items and the number of items with sends left that were not selected.
    pub fn select<F>(&mut self, mut fits: F) -> (Vec<GossipItem>, usize)
    where
        F: FnMut(&GossipItem) -> bool,
    {
        let mut selected = Vec::new();
        let unsent = self.select_pending(false, &mut selected, &mut fits);
        if unsent == 0 {
            self.select_repeated(&mut selected, &mut fits);
        }
        let unsent_loads = match unsent {
            0 => self.select_pending(true, &mut selected, &mut fits),
            _ => self.pending(true).len(),
        };
        (selected, unsent + unsent_loads)
    }

    /// Keys with sends left, by priority and, within one priority, the least often sent first.
    fn pending(&self, loads: bool) -> Vec<ItemKey> {
        let mut pending: Vec<(u8, u32, ItemKey)> = self
            .slots
            .iter()
            .filter(|(key, slot)| slot.sends_left > 0 && is_load(key) == loads)
            .map(|(key, slot)| (priority_of(key), u32::MAX - slot.sends_left, *key))
            .collect();
        pending.sort_unstable();
        pending.into_iter().map(|(_, _, key)| key).collect()
    }

    fn select_pending<F>(
        &mut self,
        loads: bool,
        selected: &mut Vec<GossipItem>,
        fits: &mut F,
    ) -> usize
    where
        F: FnMut(&GossipItem) -> bool,
    {
        let mut unsent = 0;
        for key in self.pending(loads) {
            let Some(slot) = self.slots.get_mut(&key) else { continue };
            if unsent == 0 && fits(&slot.item) {
                slot.sends_left -= 1;
                selected.push(slot.item);
            } else {
                unsent += 1;
            }
        }
        unsent
    }

    fn select_repeated<F>(&mut self, selected: &mut Vec<GossipItem>, fits: &mut F)
    where
        F: FnMut(&GossipItem) -> bool,
    {
        for _ in 0..REPEATED_ITEMS {
            let start = self.last_repeated.map_or(Bound::Unbounded, Bound::Excluded);
            let mut after = self.slots.range((start, Bound::Excluded(MIN_LOAD_KEY)));
            let next = after.next().or_else(|| self.slots.range(..MIN_LOAD_KEY).next());
            let Some((key, slot)) = next else { return };
            let (key, item) = (*key, slot.item);
            if selected.contains(&item) || !fits(&item) {
                return;
            }
            self.last_repeated = Some(key);
            selected.push(item);
        }
    }
}

fn is_load(key: &ItemKey) -> bool {
    matches!(key, ItemKey::Load(_))
}

fn priority_of(key: &ItemKey) -> u8 {
    match key {
        ItemKey::Leaving(_) => 0,
        ItemKey::Crash(..) => 1,
        ItemKey::Peer(_) => 2,
        ItemKey::Load(_) => 3,
    }
}
