//! Requests suspected of crashing targets, with the crashes that count against them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::crashes::RequestFingerprint;

/// The crashes that count against one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSummary {
    /// Number of crashes.
    pub count: usize,
    /// When the first of them was recorded.
    pub first_at: MonoTime,
    /// When the last of them was recorded.
    pub last_at: MonoTime,
    /// When the request is no longer suspected.
    pub expires_at: MonoTime,
}

/// What is stored about one request.
#[derive(Clone, Debug)]
struct CrashEntry {
    /// Crashes at which the request was in flight and that count against it, and when each was
    /// recorded.
    crashes: BTreeMap<CrashId, MonoTime>,
    /// Crashes from before the request completed, which peers may still report; they no longer
    /// count.
    cleared: BTreeSet<CrashId>,
    /// When the request is no longer suspected.
    expires_at: MonoTime,
}

/// Requests suspected of crashing targets: those in flight on a target when it crashed.
///
/// A request is refused once it has been in flight at `limit` crashes. A request that completes is
/// cleared, since it did not crash its target. So other requests that were in flight on a crashed
/// target are cleared when they complete on the next one, and only a request that is present at
/// each crash reaches the limit.
#[derive(Clone, Debug)]
pub struct CrashTable {
    entries: BTreeMap<RequestFingerprint, CrashEntry>,
    limit: u32,
    capacity: usize,
}

impl CrashTable {
    /// A table that refuses a request after `limit` crashes and stores at most `capacity` requests.
    pub fn new(limit: u32, capacity: usize) -> Self {
        Self { entries: BTreeMap::new(), limit, capacity }
    }

    /// Changes the number of crashes after which a request is refused.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Records at `now` that the request was in flight when a target crashed; `true` when this is
    /// new. A full table drops the entry with the fewest crashes, of these the one that expires
    /// first.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: CrashId,
        now: MonoTime,
        expires_at: MonoTime,
    ) -> bool {
        if !self.entries.contains_key(&fingerprint) && self.entries.len() >= self.capacity {
            self.drop_least_suspected();
        }
        let entry = self.entries.entry(fingerprint).or_insert_with(|| CrashEntry {
            crashes: BTreeMap::new(),
            cleared: BTreeSet::new(),
            expires_at,
        });
        if entry.cleared.contains(&crash) {
            return false;
        }
        entry.expires_at = entry.expires_at.max(expires_at);
        let is_new = !entry.crashes.contains_key(&crash);
        entry.crashes.entry(crash).or_insert(now);
        is_new
    }

    /// Clears a request that completed; returns the number of crashes that no longer count.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> usize {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return 0 };
        let crashes = std::mem::take(&mut entry.crashes);
        let count = crashes.len();
        entry.cleared.extend(crashes.into_keys());
        count
    }

    /// The crashes that count against the request; `None` if there are none.
    pub fn summary(&self, fingerprint: RequestFingerprint) -> Option<CrashSummary> {
        let entry = self.entries.get(&fingerprint)?;
        Some(CrashSummary {
            count: entry.crashes.len(),
            first_at: *entry.crashes.values().min()?,
            last_at: *entry.crashes.values().max()?,
            expires_at: entry.expires_at,
        })
    }

    /// The time until which the request is refused; `None` if it is not refused.
    pub fn refused_until(
        &self,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let entry = self.entries.get(&fingerprint)?;
        let is_refused = entry.crashes.len() >= self.limit as usize && now < entry.expires_at;
        is_refused.then_some(entry.expires_at)
    }

    /// At most `count` crashes to report to peers: first those of the requests with most crashes,
    /// then those that expire last.
    pub fn most_suspected(&self, count: usize) -> Vec<(RequestFingerprint, CrashId)> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries
            .sort_by_key(|(_, entry)| std::cmp::Reverse((entry.crashes.len(), entry.expires_at)));
        let crashes = entries.into_iter().flat_map(|(fingerprint, entry)| {
            entry.crashes.keys().map(|crash| (*fingerprint, *crash))
        });
        crashes.take(count).collect()
    }

    /// Drops expired entries; returns the requests among them that were still suspected, with the
    /// number of their crashes.
    pub fn expire(&mut self, now: MonoTime) -> Vec<(RequestFingerprint, usize)> {
        let expired = self.entries.iter().filter(|(_, entry)| now >= entry.expires_at);
        let suspects = expired.filter(|(_, entry)| !entry.crashes.is_empty());
        let suspects = suspects.map(|(fingerprint, entry)| (*fingerprint, entry.crashes.len()));
        let suspects = suspects.collect();
        self.entries.retain(|_, entry| now < entry.expires_at);
        suspects
    }

    /// Number of stored requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn drop_least_suspected(&mut self) {
        let suspicion = |entry: &CrashEntry| (entry.crashes.len(), entry.expires_at);
        let least = self.entries.iter().min_by_key(|(_, entry)| suspicion(entry));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}
