//! Choice of the crashes and completions that a daemon reports to its peers.

use std::cmp::Reverse;

use crate::crashes::CrashReport;
use crate::crashes::CrashTable;
use crate::crashes::SuspectKey;
use crate::crashes::table::CrashState;

/// Number of digests in which a crash that this daemon noticed goes before others.
pub(super) const URGENT_REPORTS: u32 = 3;
/// Maximum number of exonerated requests that wait for digests.
const MAX_EXONERATED: usize = 256;

impl CrashTable {
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
            let entry = self.entries.get_mut(&report.suspect);
            if let Some(state) = entry.and_then(|entry| entry.crashes.get_mut(&report.crash)) {
                state.reports = state.reports.saturating_add(1);
            }
        }
        reports
    }

    /// At most `count` requests for the next digest that peers suspect, or were told to, and that
    /// completed here.
    pub fn next_exonerated(&mut self, count: usize) -> Vec<SuspectKey> {
        let due = count.min(self.exonerated.len());
        let reported: Vec<_> = self.exonerated.drain(..due).collect();
        let repeated = reported.iter().filter(|(_, reports_left)| *reports_left > 1);
        self.exonerated.extend(repeated.map(|(suspect, left)| (*suspect, left - 1)));
        reported.into_iter().map(|(suspect, _)| suspect).collect()
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
        self.entries.iter().flat_map(|(suspect, entry)| {
            entry.crashes.iter().map(|(crash, state)| {
                let noticed_at = state.noticed_at;
                let report = CrashReport { suspect: *suspect, crash: *crash, noticed_at };
                (report, *state, entry.crashes.len())
            })
        })
    }

    pub(super) fn exonerate(&mut self, suspect: SuspectKey) {
        let is_queued = self.exonerated.iter().any(|(queued, _)| *queued == suspect);
        if !is_queued && self.exonerated.len() < MAX_EXONERATED {
            self.exonerated.push_back((suspect, URGENT_REPORTS));
        }
    }
}
