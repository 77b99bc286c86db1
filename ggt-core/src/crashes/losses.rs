//! Lost replies that may turn out to be crashes of their targets.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::crashes::RequestSuspects;
use crate::crashes::SuspectKey;

/// A request whose reply was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostReply {
    /// Id of the request in logs.
    pub request_id: String,
    /// What may be to blame if its target has crashed.
    pub suspects: RequestSuspects,
}

/// A lost reply, and the crash that would explain it.
#[derive(Clone, Debug)]
struct LossEntry {
    reply: LostReply,
    crash: CrashId,
    expires_at: MonoTime,
}

/// Requests whose reply was lost recently, and targets that are known to have ended.
///
/// A lost reply alone is no crash: the connection may have been reset, or the caller may have
/// disconnected first. It becomes one when the target turns out to have ended within a short time,
/// whichever of the two is noticed first.
#[derive(Clone, Debug)]
pub struct LossTable {
    losses: VecDeque<LossEntry>,
    /// Ends of targets, and until when a lost reply still counts as caused by them.
    ends: BTreeMap<CrashId, MonoTime>,
    capacity: usize,
}

impl LossTable {
    /// A table that stores at most `capacity` lost replies; beyond it, the oldest are dropped.
    pub fn new(capacity: usize) -> Self {
        Self { losses: VecDeque::new(), ends: BTreeMap::new(), capacity }
    }

    /// Records a lost reply, which counts as a crash if the target's end is recorded before
    /// `expires_at`. Returns `true` if the end has been recorded already.
    pub fn record_loss(&mut self, reply: LostReply, crash: CrashId, expires_at: MonoTime) -> bool {
        if self.ends.contains_key(&crash) {
            return true;
        }
        if self.losses.len() >= self.capacity {
            self.losses.pop_front();
        }
        self.losses.push_back(LossEntry { reply, crash, expires_at });
        false
    }

    /// Records that a target has ended; replies that are lost at it until `expires_at` count as
    /// lost by this. Returns those that have been lost at it already.
    pub fn record_end(
        &mut self,
        crash: CrashId,
        now: MonoTime,
        expires_at: MonoTime,
    ) -> Vec<LostReply> {
        self.ends.insert(crash, expires_at);
        let lost = self.losses.iter().filter(|loss| loss.crash == crash && now < loss.expires_at);
        let replies = lost.map(|loss| loss.reply.clone()).collect();
        self.losses.retain(|loss| loss.crash != crash);
        replies
    }

    /// Records that a target has replied, so that it has not ended.
    pub fn record_reply(&mut self, crash: CrashId) {
        self.ends.remove(&crash);
    }

    /// Drops the lost replies of a request that completed.
    pub fn clear(&mut self, request: SuspectKey) {
        self.losses.retain(|loss| loss.reply.suspects.request() != request);
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: MonoTime) {
        self.losses.retain(|loss| now < loss.expires_at);
        self.ends.retain(|_, expires_at| now < *expires_at);
    }
}
