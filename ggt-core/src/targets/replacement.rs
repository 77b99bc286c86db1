//! Targets at whose address another instance replies: they have ended, and the platform still lists them.

use crate::clock::MonoTime;
use crate::targets::TargetKey;
use crate::targets::TargetPool;

/// Milliseconds for which such a target gets no request; its registration lapses earlier.
const REPLACED_TTL_MS: u64 = 10_000;
/// Milliseconds for which this daemon reports what it was told to its peers.
const REPORT_MS: u64 = 3_000;

/// Until when a target counts as replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetReplacement {
    ends_at: MonoTime,
    /// Until when peers are told; in the past unless this daemon was told by the other instance.
    reported_until: MonoTime,
}

impl TargetReplacement {
    /// Whether another instance has the target's address.
    pub fn is_in_force(&self, now: MonoTime) -> bool {
        now < self.ends_at
    }
}

impl TargetPool {
    /// Records that another instance replied at a target's address, to this daemon or to a peer; `true` if that
    /// was not known.
    pub fn record_replacement(&mut self, key: TargetKey, is_own: bool, now: MonoTime) -> bool {
        let Some(state) = self.targets.get_mut(key) else { return false };
        let replacement = &mut state.replacement;
        let is_news = !replacement.is_in_force(now);
        if is_news {
            replacement.ends_at = now + REPLACED_TTL_MS;
        }
        if is_news && is_own {
            replacement.reported_until = now + REPORT_MS;
        }
        is_news
    }

    /// Short hashes of the targets that other instances have lately told this daemon to have ended.
    pub fn replaced_targets(&self, now: MonoTime) -> impl Iterator<Item = u32> {
        let states = self.targets.values();
        let reported = states.filter(move |state| now < state.replacement.reported_until);
        reported.map(|state| state.short_hash)
    }
}
