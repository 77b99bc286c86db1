//! Decides which suspect is to blame for crashes, and which requests are refused for it.

use crate::clock::MonoTime;
use crate::crashes::CrashJudgement;
use crate::crashes::CrashRefusal;
use crate::crashes::CrashTable;
use crate::crashes::SuspectKey;
use crate::crashes::table::CrashEntry;

/// Maximum number of a suspect's crashes at which the suspect that explains the others was absent:
/// targets also crash for other reasons.
const MAX_UNEXPLAINED: usize = 1;

impl CrashTable {
    /// Judges a request with these suspects.
    ///
    /// It is refused if one of them was present at `limit` crashes, unless another suspect, which the
    /// request does not have, was present at nearly all of these crashes. A part that many prompts
    /// begin with is present whenever a part below it crashes a target: the prompts without the latter
    /// are not refused. A part that is itself to blame crashes targets together with different parts,
    /// none of which was present at all of the crashes.
    ///
    /// After the refusals of all of its suspects, a request may be sent as a trial.
    pub fn judge(&self, suspects: &[SuspectKey], now: MonoTime) -> CrashJudgement {
        let mut judgement = CrashJudgement::Clear;
        for suspect in suspects {
            let Some(entry) = self.entries.get(suspect) else { continue };
            let Some(until) = self.refusal_end(entry) else { continue };
            let Some(summary) = self.summary(*suspect) else { continue };
            if let Some(by) = self.explanation(entry, suspects) {
                if judgement == CrashJudgement::Clear {
                    judgement = CrashJudgement::Explained { suspect: *suspect, by };
                }
                continue;
            }
            let refusal = CrashRefusal { suspect: *suspect, summary, until };
            if now < until {
                return CrashJudgement::Refused(refusal);
            }
            judgement = CrashJudgement::Trial(refusal);
        }
        judgement
    }

    /// A suspect other than these that reached the limit and was present at nearly all crashes of
    /// `entry`.
    fn explanation(&self, entry: &CrashEntry, suspects: &[SuspectKey]) -> Option<SuspectKey> {
        let limit = self.options.limit as usize;
        let explains = |other: &CrashEntry| {
            let is_absent = |crash| !other.crashes.contains_key(crash);
            let unexplained = entry.crashes.keys().filter(|crash| is_absent(*crash)).count();
            other.crashes.len() >= limit && unexplained <= MAX_UNEXPLAINED
        };
        let mut others = self.entries.iter().filter(|(key, _)| !suspects.contains(key));
        others.find(|(_, other)| explains(other)).map(|(key, _)| *key)
    }
}
