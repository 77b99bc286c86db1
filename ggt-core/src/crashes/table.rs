//! Suspects of crashes of targets, with the crashes that count against them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::crashes::CrashOutcome;
use crate::crashes::CrashRecord;
use crate::crashes::CrashSource;
use crate::crashes::CrashSummary;
use crate::crashes::DroppedSuspect;
use crate::crashes::SuspectKey;
use crate::crashes::completions::CompletionTable;
use crate::crashes::reports::URGENT_REPORTS;

/// Milliseconds after the completion of a request in which its suspects are not blamed for a crash.
const COMPLETION_WINDOW_MS: u64 = 10_000;

/// One crash that counts against a suspect.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashState {
    pub(super) noticed_at: MonoTime,
    /// Number of digests that have reported it.
    pub(super) reports: u32,
}

/// A request that is sent after the end of a refusal.
#[derive(Clone, Copy, Debug)]
struct CrashTrial {
    /// Hash of the id of its call.
    call_hash: u64,
    /// Until when it may be in flight.
    ends_at: MonoTime,
}

/// What is stored about one suspect.
#[derive(Clone, Debug)]
pub(super) struct CrashEntry {
    /// Crashes at which it was present and that count against it.
    pub(super) crashes: BTreeMap<CrashId, CrashState>,
    /// Crashes from before a request with it completed, which peers may still report; they no longer
    /// count.
    cleared: BTreeSet<CrashId>,
    /// When it is no longer suspected.
    expires_at: MonoTime,
    /// When the last of its crashes was noticed, cleared ones included.
    last_recorded_at: MonoTime,
    /// The request that is sent as a trial.
    trial: Option<CrashTrial>,
}

impl CrashEntry {
    fn last_at(&self) -> Option<MonoTime> {
        self.crashes.values().map(|crash| crash.noticed_at).max()
    }

    /// Number of times that crashes followed after a pause of at least `pause_ms`.
    fn pauses(&self, pause_ms: u64) -> u32 {
        let mut times: Vec<_> = self.crashes.values().map(|crash| crash.noticed_at).collect();
        times.sort_unstable();
        let is_pause = |pair: &&[MonoTime]| pair[1].millis_since(pair[0]) >= pause_ms;
        times.windows(2).filter(is_pause).count() as u32
    }
}

/// Suspects of crashes: the requests that were in flight on a target when it crashed, and what they
/// share with others.
///
/// A request is refused once a suspect of its was present at `limit` crashes, if nothing else explains
/// these. The suspects of a request that completes are cleared, since they did not crash its target. So
/// other requests that were in flight on a crashed target are cleared when they complete on the next
/// one, and only a suspect that is present at each crash reaches the limit. Nor is a suspect blamed for
/// crashes shortly after a completion: of requests that many callers send alike, some are in flight at
/// any crash.
#[derive(Clone, Debug)]
pub struct CrashTable {
    pub(super) entries: BTreeMap<SuspectKey, CrashEntry>,
    completions: CompletionTable,
    /// Suspects of peers that completed here, and the number of digests still to report each.
    pub(super) exonerated: VecDeque<(SuspectKey, u32)>,
    pub(super) options: CrashOptions,
}

/// Limits of a [`CrashTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashOptions {
    /// Number of crashes after which a request is refused.
    pub limit: u32,
    /// Maximum number of suspected requests stored, and of recent completions.
    pub capacity: usize,
    /// Milliseconds for which a request is refused after the crash that reached the limit. A refusal
    /// ends with the entry at the latest.
    pub first_refusal_ms: u64,
    /// Factor by which these milliseconds grow with each crash after the end of a refusal.
    pub refusal_factor: u64,
    /// Maximum of these milliseconds.
    pub max_refusal_ms: u64,
    /// Number of crashes after ends of refusals from which on a request is refused until its entry
    /// expires.
    pub max_failed_trials: u32,
    /// Milliseconds after its last crash for which a request below the limit is suspected, if its
    /// entry does not expire before.
    pub below_limit_ms: u64,
}

impl Default for CrashOptions {
    /// Requests are refused until their entries expire.
    fn default() -> Self {
        Self {
            limit: 3,
            capacity: 4_096,
            first_refusal_ms: u64::MAX,
            refusal_factor: 2,
            max_refusal_ms: u64::MAX,
            max_failed_trials: u32::MAX,
            below_limit_ms: u64::MAX,
        }
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
        let CrashRecord { suspect, crash, noticed_at, expires_at, source } = record;
        let blameless_from = noticed_at.as_millis().saturating_sub(COMPLETION_WINDOW_MS);
        let blameless_from = MonoTime::from_millis(blameless_from);
        if self.completions.has_completed_since(suspect, blameless_from) {
            if source == CrashSource::Peer {
                self.exonerate(suspect);
            }
            return CrashOutcome::Completed;
        }
        let is_full = self.entries.len() >= self.options.capacity;
        let dropped = match is_full && !self.entries.contains_key(&suspect) {
            true => self.drop_least_suspected(),
            false => None,
        };
        let entry = self.entries.entry(suspect).or_insert_with(|| CrashEntry {
            crashes: BTreeMap::new(),
            cleared: BTreeSet::new(),
            expires_at,
            last_recorded_at: noticed_at,
            trial: None,
        });
        if entry.cleared.contains(&crash) {
            return CrashOutcome::Known;
        }
        entry.expires_at = entry.expires_at.max(expires_at);
        entry.last_recorded_at = entry.last_recorded_at.max(noticed_at);
        if entry.crashes.contains_key(&crash) {
            return CrashOutcome::Known;
        }
        let reports = match source {
            CrashSource::Own => 0,
            CrashSource::Peer => URGENT_REPORTS,
        };
        entry.crashes.insert(crash, CrashState { noticed_at, reports });
        entry.trial = None;
        CrashOutcome::New { dropped }
    }

    /// Records that a request completed, and clears it; returns the number of crashes that no
    /// longer count.
    pub fn record_completion(&mut self, suspect: SuspectKey, now: MonoTime) -> usize {
        let count = self.record_peer_completion(suspect, now);
        if count > 0 {
            self.exonerate(suspect);
        }
        count
    }

    /// Records that a request completed on another daemon, and clears it; returns the number of
    /// crashes that no longer count.
    pub fn record_peer_completion(&mut self, suspect: SuspectKey, now: MonoTime) -> usize {
        self.completions.record(suspect, now);
        let Some(entry) = self.entries.get_mut(&suspect) else { return 0 };
        let crashes = std::mem::take(&mut entry.crashes);
        let count = crashes.len();
        entry.cleared.extend(crashes.into_keys());
        count
    }

    /// The crashes that count against the request; `None` if there are none.
    pub fn summary(&self, suspect: SuspectKey) -> Option<CrashSummary> {
        let entry = self.entries.get(&suspect)?;
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
    pub fn refused_until(&self, suspect: SuspectKey, now: MonoTime) -> Option<MonoTime> {
        let until = self.refusal_end(self.entries.get(&suspect)?)?;
        (now < until).then_some(until)
    }

    /// The end of the latest refusal; `None` if the entry is below the limit of crashes.
    pub(super) fn refusal_end(&self, entry: &CrashEntry) -> Option<MonoTime> {
        let last_at = entry.last_at()?;
        let options = &self.options;
        if entry.crashes.len() < options.limit as usize {
            return None;
        }
        let failed_trials = entry.pauses(options.first_refusal_ms);
        if failed_trials >= options.max_failed_trials {
            return Some(entry.expires_at);
        }
        let growth = options.refusal_factor.saturating_pow(failed_trials);
        let refusal_ms = options.first_refusal_ms.saturating_mul(growth);
        let ends_ms = last_at.as_millis().saturating_add(refusal_ms.min(options.max_refusal_ms));
        Some(entry.expires_at.min(MonoTime::from_millis(ends_ms)))
    }

    /// Begins a trial: the call with this hash is sent, and others with the suspect are refused until
    /// its outcome is known, `ends_at` at the latest. Returns `false` while another call's trial is in
    /// progress here.
    pub fn begin_trial(
        &mut self,
        suspect: SuspectKey,
        call_hash: u64,
        now: MonoTime,
        ends_at: MonoTime,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&suspect) else { return false };
        let is_other = |trial: CrashTrial| now < trial.ends_at && trial.call_hash != call_hash;
        if entry.trial.is_some_and(is_other) {
            return false;
        }
        entry.trial = Some(CrashTrial { call_hash, ends_at });
        true
    }

    /// Drops expired entries; returns the requests among them that were still suspected, with the
    /// number of their crashes.
    pub fn expire(&mut self, now: MonoTime) -> Vec<(SuspectKey, usize)> {
        let CrashOptions { limit, below_limit_ms, .. } = self.options;
        let is_expired = |entry: &CrashEntry| {
            let is_below_limit = entry.crashes.len() < limit as usize;
            let last_ms = entry.last_recorded_at.as_millis();
            let is_old = now.as_millis() >= last_ms.saturating_add(below_limit_ms);
            now >= entry.expires_at || (is_below_limit && is_old)
        };
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let suspects = expired.filter(|(_, entry)| !entry.crashes.is_empty());
        let suspects = suspects.map(|(suspect, entry)| (*suspect, entry.crashes.len()));
        let suspects = suspects.collect();
        self.entries.retain(|_, entry| !is_expired(entry));
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

    fn drop_least_suspected(&mut self) -> Option<DroppedSuspect> {
        let suspicion = |entry: &CrashEntry| (entry.crashes.len(), entry.expires_at);
        let least = self.entries.iter().min_by_key(|(_, entry)| suspicion(entry));
        let suspect = *least?.0;
        let entry = self.entries.remove(&suspect)?;
        Some(DroppedSuspect { suspect, crashes: entry.crashes.len() })
    }
}
