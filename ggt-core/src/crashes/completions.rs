//! Requests that completed recently and so did not crash their targets.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::clock::MonoTime;
use crate::crashes::SuspectKey;

/// The last completions, one for each request.
#[derive(Clone, Debug)]
pub(super) struct CompletionTable {
    /// When each request last completed.
    completed_at: HashMap<SuspectKey, MonoTime>,
    /// All completions in order; a request occurs once for each.
    queue: VecDeque<(SuspectKey, MonoTime)>,
    capacity: usize,
}

impl CompletionTable {
    /// A table of the last `capacity` completions.
    pub(super) fn new(capacity: usize) -> Self {
        Self { completed_at: HashMap::new(), queue: VecDeque::new(), capacity }
    }

    /// Records a completion.
    pub(super) fn record(&mut self, suspect: SuspectKey, now: MonoTime) {
        self.completed_at.insert(suspect, now);
        self.queue.push_back((suspect, now));
        if self.queue.len() <= self.capacity {
            return;
        }
        let Some((oldest, completed_at)) = self.queue.pop_front() else { return };
        if self.completed_at.get(&oldest) == Some(&completed_at) {
            self.completed_at.remove(&oldest);
        }
    }

    /// Whether the request has completed since `since`.
    pub(super) fn has_completed_since(&self, suspect: SuspectKey, since: MonoTime) -> bool {
        self.completed_at.get(&suspect).is_some_and(|completed_at| *completed_at >= since)
    }
}
