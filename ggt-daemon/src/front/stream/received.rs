//! Events of a target's reply that have been received and are to be forwarded.

use crate::front::attempt::FailureKind;
use crate::front::attempt::ReplyFailure;
use ggt_core::events::EventRelay;
use ggt_core::events::RelayError;

/// The events of a stream, and what ends the present reply.
pub(super) struct ReceivedEvents {
    events: EventRelay,
    /// Why nothing of the reply can be forwarded after the events that have been.
    failure: Option<ReplyFailure>,
}

impl ReceivedEvents {
    /// Continues after the event with id `last`, if the caller has one.
    pub(super) fn after(last: Option<u64>) -> Self {
        Self { events: EventRelay::after(last), failure: None }
    }

    /// Id of the last event that was forwarded.
    pub(super) fn last(&self) -> Option<u64> {
        self.events.last()
    }

    /// Begins with the next reply.
    pub(super) fn begin_reply(&mut self) {
        self.events.begin_reply();
        self.failure = None;
    }

    /// Takes bytes of the reply, and appends the events that they complete to `forwarded`.
    pub(super) fn take(&mut self, bytes: &[u8], forwarded: &mut Vec<u8>) {
        self.failure = self.events.push(bytes, forwarded).map_err(into_failure).err();
    }

    /// Whether nothing more of the reply can be forwarded.
    pub(super) const fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    /// Takes the reason for that.
    pub(super) fn take_failure(&mut self) -> Option<ReplyFailure> {
        self.failure.take()
    }

    /// Whether the reply has ended within an event, if it ends here.
    pub(super) fn has_partial_event(&self) -> bool {
        self.events.has_partial_event()
    }
}

/// How a reply failed whose events cannot be forwarded any further.
fn into_failure(error: RelayError) -> ReplyFailure {
    let kind = match error {
        RelayError::Split { .. } | RelayError::Unnumbered => FailureKind::TooLong,
        RelayError::Gap => FailureKind::InvalidReply,
    };
    ReplyFailure::new(kind, error.to_string())
}
