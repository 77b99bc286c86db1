//! How much a stream had generated when it broke off, as far as the last event that its caller has shows.

use std::cmp::Ordering;
use std::fmt;

/// Maximum number of events that a target generates beyond the last one that its caller has: those on the way, and those
/// until it notices that its connection is closed.
const MAX_UNSEEN_EVENTS: u64 = 3;

/// Bounds of the tokens that a stream had generated when it broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamProgress {
    min_tokens: u64,
    max_tokens: u64,
}

impl StreamProgress {
    /// The bounds of a stream whose caller has the events up to `last_event`, each of `event_tokens` tokens.
    pub const fn after_event(last_event: u64, event_tokens: u32) -> Self {
        let event_tokens = event_tokens as u64;
        let max_events = last_event.saturating_add(MAX_UNSEEN_EVENTS);
        Self {
            min_tokens: last_event.saturating_mul(event_tokens),
            max_tokens: max_events.saturating_mul(event_tokens),
        }
    }

    /// Compares a number of generated tokens with these bounds; `Equal` is within them.
    pub fn compare(self, generated: u32) -> Ordering {
        let generated = u64::from(generated);
        match generated {
            _ if generated < self.min_tokens => Ordering::Less,
            _ if generated > self.max_tokens => Ordering::Greater,
            _ => Ordering::Equal,
        }
    }
}

impl fmt::Display for StreamProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.min_tokens, self.max_tokens)
    }
}
