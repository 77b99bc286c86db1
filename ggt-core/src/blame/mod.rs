//! Finds requests that crash the targets that run them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::MonoTime;
use crate::ident::mix_hash;
use crate::ident::stable_hash;

/// Identifies requests with the same path and body.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RequestPrint(pub u64);

impl RequestPrint {
    /// The fingerprint of a path and a body.
    pub fn of(path: &str, body: &[u8]) -> Self {
        Self(mix_hash(stable_hash(path.as_bytes()), stable_hash(body)))
    }
}

/// Identifies the death of one incarnation of one target.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct DeathMark(pub u64);

impl DeathMark {
    /// The mark of a target, by the hash of its name, and its incarnation.
    pub fn of(target_hash: u64, incarnation: u64) -> Self {
        Self(mix_hash(target_hash, incarnation))
    }
}

#[derive(Clone, Debug)]
struct BlameEntry {
    deaths: BTreeSet<DeathMark>,
    /// Deaths before the request ran to its end, which others may go on telling.
    forgiven: BTreeSet<DeathMark>,
    expires_at: MonoTime,
}

/// Requests that were in flight on targets when these died.
///
/// A request is refused once it was in flight on `limit` deaths. A request that completes is
/// cleared: what ran to its end did not crash its target. So the innocent requests of a failed
/// host clear themselves on their next target, and only a request that is there at each death
/// reaches the limit.
#[derive(Clone, Debug)]
pub struct BlameTable {
    entries: BTreeMap<RequestPrint, BlameEntry>,
    limit: u32,
    capacity: usize,
}

impl BlameTable {
    /// A table that refuses a request after `limit` deaths and keeps at most `capacity` requests.
    pub fn new(limit: u32, capacity: usize) -> Self {
        Self { entries: BTreeMap::new(), limit, capacity }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Records that the request was in flight when a target died; `true` when that was news.
    pub fn note_death(
        &mut self,
        print: RequestPrint,
        death: DeathMark,
        expires_at: MonoTime,
    ) -> bool {
        if !self.entries.contains_key(&print) && self.entries.len() >= self.capacity {
            self.drop_earliest();
        }
        let entry = self.entries.entry(print).or_insert_with(|| BlameEntry {
            deaths: BTreeSet::new(),
            forgiven: BTreeSet::new(),
            expires_at,
        });
        if entry.forgiven.contains(&death) {
            return false;
        }
        entry.expires_at = entry.expires_at.max(expires_at);
        entry.deaths.insert(death)
    }

    /// Clears a request that ran to its end; `true` when it was under suspicion.
    pub fn clear(&mut self, print: RequestPrint) -> bool {
        let Some(entry) = self.entries.get_mut(&print) else { return false };
        let deaths = std::mem::take(&mut entry.deaths);
        let was_suspect = !deaths.is_empty();
        entry.forgiven.extend(deaths);
        was_suspect
    }

    /// The deaths on which the request was in flight.
    pub fn deaths(&self, print: RequestPrint) -> impl Iterator<Item = DeathMark> + '_ {
        self.entries.get(&print).into_iter().flat_map(|entry| entry.deaths.iter().copied())
    }

    /// Until when the request is refused, if it is.
    pub fn refused_until(&self, print: RequestPrint, now: MonoTime) -> Option<MonoTime> {
        let entry = self.entries.get(&print)?;
        let is_refused = entry.deaths.len() >= self.limit as usize && now < entry.expires_at;
        is_refused.then_some(entry.expires_at)
    }

    /// Deaths of the requests under suspicion that expire last, at most `count`.
    pub fn latest(&self, count: usize) -> Vec<(RequestPrint, DeathMark)> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by_key(|(_, entry)| std::cmp::Reverse((entry.deaths.len(), entry.expires_at)));
        let deaths = entries
            .into_iter()
            .flat_map(|(print, entry)| entry.deaths.iter().map(|death| (*print, *death)));
        deaths.take(count).collect()
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: MonoTime) {
        self.entries.retain(|_, entry| now < entry.expires_at);
    }

    /// Requests under suspicion.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn drop_earliest(&mut self) {
        let earliest = self.entries.iter().min_by_key(|(_, entry)| entry.expires_at);
        if let Some(print) = earliest.map(|(print, _)| *print) {
            self.entries.remove(&print);
        }
    }
}
