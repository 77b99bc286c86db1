//! When the platform was away, and for whom.

use crate::clock::MonoTime;

/// Time in which targets that lapsed while the platform was away register again.
const LAPSE_RETURN_MS: u64 = 2_200;
/// Time by which daemons may differ in when they notice that the platform left or returned.
const NOTICE_MS: u64 = 1_200;

/// One daemon's account of when the platform did not answer it.
///
/// Registrations lapse while the platform is away from everyone, so a target that is no longer listed
/// just after its return may only have been unable to renew. When the platform turned away this
/// daemon alone, targets went on renewing, and one that is not listed is gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutageRecord {
    lost_at: Option<MonoTime>,
    proved_at: MonoTime,
    doubt_until: MonoTime,
}

impl OutageRecord {
    /// Records that the platform did not answer; `true` when it did before.
    pub fn note_lost(&mut self, now: MonoTime) -> bool {
        let is_news = self.lost_at.is_none();
        self.lost_at.get_or_insert(now);
        is_news
    }

    /// Records that the platform answered another daemon at `at`.
    pub fn note_proof(&mut self, at: MonoTime) {
        self.proved_at = self.proved_at.max(at);
    }

    /// Records that the platform answered; `true` when it did not before.
    pub fn note_answer(&mut self, now: MonoTime) -> bool {
        let Some(lost_at) = self.lost_at.take() else { return false };
        let is_own = self.proved_at > lost_at && self.proved_at + NOTICE_MS < now;
        if !is_own {
            self.doubt_until = now + LAPSE_RETURN_MS;
        }
        true
    }

    /// From when on a target that is no longer listed is to be taken as gone.
    pub fn gone_at(&self, now: MonoTime) -> MonoTime {
        self.doubt_until.max(now)
    }
}
