//! Lost replies, and replies that may be cut off, which may turn out to be crashes of their targets.

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
    /// When the reply ended, if it was complete unless the target crashed.
    ended_at: Option<MonoTime>,
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
        self.insert(LossEntry { reply, crash, expires_at, ended_at: None })
    }

    /// Records a reply that ended at `ended_at` with its connection and without stating its length: a
    /// crash of the target looks the same. It counts as a crash like a lost reply, and as complete
    /// once the target replies to a later request. Returns `true` if the target's end has been
    /// recorded already.
    pub fn record_unframed_end(
        &mut self,
        reply: LostReply,
        crash: CrashId,
        ended_at: MonoTime,
        expires_at: MonoTime,
    ) -> bool {
        self.insert(LossEntry { reply, crash, expires_at, ended_at: Some(ended_at) })
    }

    fn insert(&mut self, entry: LossEntry) -> bool {
        if self.ends.contains_key(&entry.crash) {
            return true;
        }
        if self.losses.len() >= self.capacity {
            self.losses.pop_front();
        }
        self.losses.push_back(entry);
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

    /// Whether a target is known to have ended.
    pub fn has_ended(&self, crash: CrashId) -> bool {
        self.ends.contains_key(&crash)
    }

    /// Records that a target has replied to a request sent at `sent_at`, so that it has not ended.
    /// Returns the replies that ended with their connection before that, which are complete.
    pub fn record_reply(&mut self, crash: CrashId, sent_at: MonoTime) -> Vec<LostReply> {
        self.ends.remove(&crash);
        let is_complete = |loss: &LossEntry| {
            loss.crash == crash && loss.ended_at.is_some_and(|ended_at| ended_at < sent_at)
        };
        let complete = self.losses.iter().filter(|loss| is_complete(loss));
        let replies = complete.map(|loss| loss.reply.clone()).collect();
        self.losses.retain(|loss| !is_complete(loss));
        replies
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
