//! Requests that completed recently and so did not crash their targets.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::clock::MonoTime;
use crate::crashes::RequestFingerprint;

/// The last completions, one for each request.
#[derive(Clone, Debug)]
pub(super) struct CompletionTable {
    /// When each request last completed.
    completed_at: HashMap<RequestFingerprint, MonoTime>,
    /// All completions in order; a request occurs once for each.
    queue: VecDeque<(RequestFingerprint, MonoTime)>,
    capacity: usize,
}

impl CompletionTable {
    /// A table of the last `capacity` completions.
    pub(super) fn new(capacity: usize) -> Self {
        Self { completed_at: HashMap::new(), queue: VecDeque::new(), capacity }
    }

    /// Records a completion.
    pub(super) fn record(&mut self, fingerprint: RequestFingerprint, now: MonoTime) {
        self.completed_at.insert(fingerprint, now);
        self.queue.push_back((fingerprint, now));
        if self.queue.len() <= self.capacity {
            return;
        }
        let Some((oldest, completed_at)) = self.queue.pop_front() else { return };
        if self.completed_at.get(&oldest) == Some(&completed_at) {
            self.completed_at.remove(&oldest);
        }
    }

    /// Whether the request has completed since `since`.
    pub(super) fn has_completed_since(
        &self,
        fingerprint: RequestFingerprint,
        since: MonoTime,
    ) -> bool {
        self.completed_at.get(&fingerprint).is_some_and(|completed_at| *completed_at >= since)
    }
}
