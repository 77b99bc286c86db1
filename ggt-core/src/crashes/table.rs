//! Requests suspected of crashing targets, with the crashes that count against them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::crashes::RequestFingerprint;
use crate::crashes::completions::CompletionTable;

/// Milliseconds after a completion of a request in which it is not blamed for a crash.
const COMPLETION_WINDOW_MS: u64 = 10_000;
/// Maximum number of exonerated requests that wait for digests.
const MAX_EXONERATED: usize = 256;
/// Number of digests in which a crash that this daemon noticed goes before others.
const URGENT_REPORTS: u32 = 3;

/// The crashes that count against one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSummary {
    /// Number of crashes.
    pub count: usize,
    /// When the first of them was noticed.
    pub first_at: MonoTime,
    /// When the last of them was noticed.
    pub last_at: MonoTime,
    /// When the request is no longer suspected.
    pub expires_at: MonoTime,
}

/// Who noticed a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSource {
    /// This daemon, which reports it to its peers at once.
    Own,
    /// Another daemon, which has reported it to all.
    Peer,
}

/// A request that was in flight when a target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Identifies the crash.
    pub crash: CrashId,
    /// When the crash was noticed.
    pub noticed_at: MonoTime,
    /// When the request is no longer suspected because of it.
    pub expires_at: MonoTime,
    /// Who noticed it.
    pub source: CrashSource,
}

/// A suspected request that a full table no longer stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedRequest {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Number of crashes that counted against it.
    pub crashes: usize,
}

/// What became of a [`CrashRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashOutcome {
    /// It counts against the request now. The table was full if another request was dropped for it.
    New {
        /// The dropped request.
        dropped: Option<DroppedRequest>,
    },
    /// It was stored already, or has been cleared.
    Known,
    /// The request completed shortly before the crash or after it, so it is not to blame.
    Completed,
}

impl CrashOutcome {
    /// Whether the crash counts against the request since this record.
    pub const fn is_new(self) -> bool {
        matches!(self, Self::New { .. })
    }

    /// The outcome's name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::New { .. } => "new",
            Self::Known => "known",
            Self::Completed => "completed",
        }
    }
}

/// A crash to report to other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashReport {
    /// Fingerprint of the request that was in flight.
    pub fingerprint: RequestFingerprint,
    /// Identifies the crash.
    pub crash: CrashId,
    /// When the crash was noticed.
    pub noticed_at: MonoTime,
}

/// One crash that counts against a request.
#[derive(Clone, Copy, Debug)]
struct CrashState {
    noticed_at: MonoTime,
    /// Number of digests that have reported it.
    reports: u32,
}

/// What is stored about one request.
#[derive(Clone, Debug)]
struct CrashEntry {
    /// Crashes at which the request was in flight and that count against it.
    crashes: BTreeMap<CrashId, CrashState>,
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
/// each crash reaches the limit. Nor is a request blamed for crashes shortly after its completion:
/// of requests that many callers send alike, some are in flight at any crash.
#[derive(Clone, Debug)]
pub struct CrashTable {
    entries: BTreeMap<RequestFingerprint, CrashEntry>,
    completions: CompletionTable,
    /// Requests that peers may suspect although they completed here, and the number of digests still
    /// to report each.
    exonerated: VecDeque<(RequestFingerprint, u32)>,
    options: CrashOptions,
}

/// Limits of a [`CrashTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashOptions {
    /// Number of crashes after which a request is refused.
    pub limit: u32,
    /// Maximum number of suspected requests stored, and of recent completions.
    pub capacity: usize,
    /// Milliseconds for which a request is refused after the crash that reached the limit; they
    /// double with each crash after it. A refusal ends with the entry at the latest.
    pub first_refusal_ms: u64,
    /// Maximum of these milliseconds.
    pub max_refusal_ms: u64,
}

impl Default for CrashOptions {
    /// Requests are refused until their entries expire.
    fn default() -> Self {
        Self { limit: 3, capacity: 4_096, first_refusal_ms: u64::MAX, max_refusal_ms: u64::MAX }
    }
}

impl CrashTable {
    /// An empty table.
    pub fn new(options: CrashOptions) -> Self {
        let completions = CompletionTable::new(options.capacity);
        Self { entries: BTreeMap::new(), completions, exonerated: VecDeque::new(), options }
    }

    /// Changes the number of crashes after which a request is refused.
    pub fn set_limit(&mut self, limit: u32) {
        self.options.limit = limit;
    }

    /// Records that a request was in flight when a target crashed. A full table drops the entry with
    /// the fewest crashes, of these the one that expires first.
    pub fn record_crash(&mut self, record: CrashRecord) -> CrashOutcome {
        let CrashRecord { fingerprint, crash, noticed_at, expires_at, source } = record;
        let blameless_from = noticed_at.as_millis().saturating_sub(COMPLETION_WINDOW_MS);
        let blameless_from = MonoTime::from_millis(blameless_from);
        if self.completions.has_completed_since(fingerprint, blameless_from) {
            if source == CrashSource::Peer {
                self.exonerate(fingerprint);
            }
            return CrashOutcome::Completed;
        }
        let is_full = self.entries.len() >= self.options.capacity;
        let dropped = match is_full && !self.entries.contains_key(&fingerprint) {
            true => self.drop_least_suspected(),
            false => None,
        };
        let entry = self.entries.entry(fingerprint).or_insert_with(|| CrashEntry {
            crashes: BTreeMap::new(),
            cleared: BTreeSet::new(),
            expires_at,
        });
        if entry.cleared.contains(&crash) {
            return CrashOutcome::Known;
        }
        entry.expires_at = entry.expires_at.max(expires_at);
        if entry.crashes.contains_key(&crash) {
            return CrashOutcome::Known;
        }
        let reports = match source {
            CrashSource::Own => 0,
            CrashSource::Peer => URGENT_REPORTS,
        };
        entry.crashes.insert(crash, CrashState { noticed_at, reports });
        CrashOutcome::New { dropped }
    }

    /// Records that a request completed, and clears it; returns the number of crashes that no
    /// longer count.
    pub fn record_completion(&mut self, fingerprint: RequestFingerprint, now: MonoTime) -> usize {
        let count = self.record_peer_completion(fingerprint, now);
        if count > 0 {
            self.exonerate(fingerprint);
        }
        count
    }

    /// Records that a request completed on another daemon, and clears it; returns the number of
    /// crashes that no longer count.
    pub fn record_peer_completion(
        &mut self,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) -> usize {
        self.completions.record(fingerprint, now);
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
            first_at: entry.crashes.values().map(|crash| crash.noticed_at).min()?,
            last_at: entry.crashes.values().map(|crash| crash.noticed_at).max()?,
            expires_at: entry.expires_at,
        })
    }

    /// The time until which the request is refused; `None` if it is not refused.
    ///
    /// After a refusal the request may be sent again: if it crashes another target, it is refused for
    /// longer, and if it completes, it is cleared.
    pub fn refused_until(
        &self,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let entry = self.entries.get(&fingerprint)?;
        let last_at = entry.crashes.values().map(|crash| crash.noticed_at).max()?;
        let CrashOptions { limit, first_refusal_ms, max_refusal_ms, .. } = self.options;
        let crashes_beyond = entry.crashes.len().checked_sub(limit as usize)?;
        let doublings = u32::try_from(crashes_beyond).unwrap_or(u32::MAX);
        let refusal_ms = first_refusal_ms.saturating_mul(2_u64.saturating_pow(doublings));
        let ends_ms = last_at.as_millis().saturating_add(refusal_ms.min(max_refusal_ms));
        let until = entry.expires_at.min(MonoTime::from_millis(ends_ms));
        (now < until).then_some(until)
    }

    /// At most `count` crashes for the next digest, which counts as having reported them.
    ///
    /// Crashes that this daemon noticed come first until a few digests have reported them, those of
    /// the requests with most crashes before others; then all crashes in turn, so that daemons which
    /// missed a digest are told, too.
    pub fn next_reports(&mut self, count: usize) -> Vec<CrashReport> {
        let mut queue: Vec<_> = self
            .states()
            .map(|(report, state, crashes)| {
                let turn = state.reports.saturating_sub(URGENT_REPORTS - 1);
                ((turn, Reverse(crashes), state.reports), report)
            })
            .collect();
        if count < queue.len() {
            queue.select_nth_unstable(count);
            queue.truncate(count);
        }
        let reports: Vec<_> = queue.into_iter().map(|(_, report)| report).collect();
        for report in &reports {
            let entry = self.entries.get_mut(&report.fingerprint);
            if let Some(state) = entry.and_then(|entry| entry.crashes.get_mut(&report.crash)) {
                state.reports = state.reports.saturating_add(1);
            }
        }
        reports
    }

    /// At most `count` requests for the next digest that peers suspect, or were told to, and that
    /// completed here.
    pub fn next_exonerated(&mut self, count: usize) -> Vec<RequestFingerprint> {
        let due = count.min(self.exonerated.len());
        let reported: Vec<_> = self.exonerated.drain(..due).collect();
        let repeated = reported.iter().filter(|(_, reports_left)| *reports_left > 1);
        self.exonerated.extend(repeated.map(|(fingerprint, left)| (*fingerprint, left - 1)));
        reported.into_iter().map(|(fingerprint, _)| fingerprint).collect()
    }

    fn exonerate(&mut self, fingerprint: RequestFingerprint) {
        let is_queued = self.exonerated.iter().any(|(queued, _)| *queued == fingerprint);
        if !is_queued && self.exonerated.len() < MAX_EXONERATED {
            self.exonerated.push_back((fingerprint, URGENT_REPORTS));
        }
    }

    /// At most `count` crashes for a daemon that knows none: those of the requests with most
    /// crashes.
    pub fn most_suspected(&self, count: usize) -> Vec<CrashReport> {
        let mut queue: Vec<_> =
            self.states().map(|(report, _, crashes)| (Reverse(crashes), report)).collect();
        queue.sort_unstable();
        queue.into_iter().map(|(_, report)| report).take(count).collect()
    }

    /// All crashes that count, each with the number that count against its request.
    fn states(&self) -> impl Iterator<Item = (CrashReport, CrashState, usize)> + '_ {
        self.entries.iter().flat_map(|(fingerprint, entry)| {
            entry.crashes.iter().map(|(crash, state)| {
                let noticed_at = state.noticed_at;
                let report = CrashReport { fingerprint: *fingerprint, crash: *crash, noticed_at };
                (report, *state, entry.crashes.len())
            })
        })
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

    /// Number of crashes that count against the stored requests.
    pub fn crash_count(&self) -> usize {
        self.entries.values().map(|entry| entry.crashes.len()).sum()
    }

    /// Whether no request is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn drop_least_suspected(&mut self) -> Option<DroppedRequest> {
        let suspicion = |entry: &CrashEntry| (entry.crashes.len(), entry.expires_at);
        let least = self.entries.iter().min_by_key(|(_, entry)| suspicion(entry));
        let fingerprint = *least?.0;
        let entry = self.entries.remove(&fingerprint)?;
        Some(DroppedRequest { fingerprint, crashes: entry.crashes.len() })
    }
}
