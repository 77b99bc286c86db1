//! Drops the events of a stream that its caller already has, and detects missing ones.

use crate::events::StreamEvent;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// Forward it: it is the next one.
    Pass,
    /// Drop it: the caller has it already.
    Skip,
    /// Interrupt the stream: an event before this one is missing, or may be.
    Gap,
}

/// Tracks which event of a stream is next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// Continues after the event with id `last`; with `None` the first event may have any id.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Id of the last event that was forwarded.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Decides on an event. One without an id has no place in a stream whose events have ids, and may stand for
    /// events that are missing; before the first id, and if it is only a comment, it is forwarded.
    pub fn check(&mut self, event: StreamEvent<'_>) -> EventAction {
        let Some(id) = event.id else {
            return match self.last {
                Some(_) if !event.is_comment() => EventAction::Gap,
                _ => EventAction::Pass,
            };
        };
        match self.last {
            Some(last) if id <= last => EventAction::Skip,
            Some(last) if id > last + 1 => EventAction::Gap,
            _ => {
                self.last = Some(id);
                EventAction::Pass
            }
        }
    }
}
