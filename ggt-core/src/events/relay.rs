//! Takes the bytes of a target's replies and returns the events of the stream that its caller does not have yet.

use snafu::Snafu;

use crate::events::EventAction;
use crate::events::EventOrder;
use crate::events::EventSplitter;
use crate::events::SplitError;

/// Why the events of a reply cannot be forwarded any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RelayError {
    /// An event is too long.
    #[snafu(display("{source}"), context(false))]
    Split {
        /// The bound that it exceeds.
        source: SplitError,
    },
    /// An event is missing, or may be.
    #[snafu(display("an event is missing"))]
    Gap,
    /// The reply has too many bytes of comments or events without an id in a row.
    #[snafu(display("no numbered event within {MAX_UNNUMBERED_BYTES} bytes"))]
    Unnumbered,
}

/// Maximum number of bytes of comments and events without an id in a row. Servers send comments of a few bytes
/// every few seconds to keep a connection open.
const MAX_UNNUMBERED_BYTES: usize = 1024 * 1024;

/// The events of one stream, from one reply after the other.
#[derive(Clone, Debug, Default)]
pub struct EventRelay {
    splitter: EventSplitter,
    order: EventOrder,
    /// Bytes of comments and events without an id since the last numbered one of the reply.
    unnumbered_bytes: usize,
}

impl EventRelay {
    /// Continues after the event with id `last`; with `None` the first event may have any id.
    pub fn after(last: Option<u64>) -> Self {
        Self { order: EventOrder::after(last), ..Self::default() }
    }

    /// Id of the last event that was forwarded.
    pub fn last(&self) -> Option<u64> {
        self.order.last()
    }

    /// Begins with the next reply; a partial event of the one before is dropped.
    pub fn begin_reply(&mut self) {
        self.splitter = EventSplitter::default();
        self.unnumbered_bytes = 0;
    }

    /// Takes bytes of the reply, and appends the events that they complete to `forwarded`, also if an error
    /// follows them.
    ///
    /// # Errors
    /// [`RelayError`] when no further event of the reply can be forwarded.
    pub fn push(&mut self, bytes: &[u8], forwarded: &mut Vec<u8>) -> Result<(), RelayError> {
        self.splitter.push(bytes);
        while let Some(event) = self.splitter.next_event()? {
            self.unnumbered_bytes = match event.id {
                Some(_) => 0,
                None => self.unnumbered_bytes + event.bytes.len(),
            };
            if self.unnumbered_bytes > MAX_UNNUMBERED_BYTES {
                return Err(RelayError::Unnumbered);
            }
            match self.order.check(event) {
                EventAction::Pass => forwarded.extend_from_slice(event.bytes),
                EventAction::Skip => {}
                EventAction::Gap => return Err(RelayError::Gap),
            }
        }
        Ok(())
    }

    /// Whether the reply has ended within an event, if it ends here.
    pub fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }
}
