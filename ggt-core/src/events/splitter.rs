//! Splits the bytes of a stream into events.

use snafu::Snafu;

/// Maximum length of an event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Capacity in bytes that an empty buffer keeps for the next event.
const KEPT_CAPACITY: usize = 4 * 1024;

/// One complete event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEvent<'a> {
    /// Value of the `id` field; `None` if it is missing or not a number.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: &'a [u8],
}

impl<'a> StreamEvent<'a> {
    /// The event with these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { id: event_id(bytes), bytes }
    }

    /// Whether it consists of comments only, as a server sends them to keep a connection open.
    pub fn is_comment(&self) -> bool {
        let lines = self.bytes.split(|byte| *byte == b'\n').map(|line| line.trim_ascii_end());
        lines.filter(|line| !line.is_empty()).all(|line| line.starts_with(b":"))
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

/// Why a stream cannot be split further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SplitError {
    /// An event exceeds the maximum length of 1 MiB.
    #[snafu(display("event longer than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
}

/// Splits a byte stream into events (HTML Standard, section 9.2.5).
///
/// Each byte is copied and examined a fixed number of times, however the stream is divided into pieces.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// Bytes of events that have been returned, and then those of the next ones.
    buffer: Vec<u8>,
    /// Where the next event begins.
    event_start: usize,
    /// Where the line begins whose end has not been found yet.
    line_start: usize,
    /// Up to where line ends have been looked for.
    scanned_to: usize,
}

impl EventSplitter {
    /// Appends bytes as they arrive; [`Self::next_event`] returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) {
        self.discard_returned();
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event.
    ///
    /// # Errors
    /// [`SplitError`] when the incomplete event exceeds the maximum length.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent<'_>>, SplitError> {
        let Some(end) = self.find_event_end() else {
            let partial_bytes = self.buffer.len() - self.event_start;
            return if partial_bytes > MAX_EVENT_BYTES {
                Err(SplitError::TooLong)
            } else {
                Ok(None)
            };
        };
        let start = std::mem::replace(&mut self.event_start, end);
        self.line_start = end;
        Ok(Some(StreamEvent::new(&self.buffer[start..end])))
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        self.event_start < self.buffer.len()
    }

    /// Bytes of memory that the buffer takes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// End of the next event, after the blank line that ends it. A blank line at the start of an event belongs
    /// to it.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(length) =
            self.buffer[self.scanned_to..].iter().position(|byte| *byte == b'\n')
        {
            let line_end = self.scanned_to + length;
            let line = &self.buffer[self.line_start..line_end];
            let is_blank = line.is_empty() || line == b"\r";
            let is_first = self.line_start == self.event_start;
            self.line_start = line_end + 1;
            self.scanned_to = self.line_start;
            if is_blank && !is_first {
                return Some(self.line_start);
            }
        }
        self.scanned_to = self.buffer.len();
        None
    }

    /// Removes the bytes of events that have been returned, and frees memory that a long event has left.
    fn discard_returned(&mut self) {
        if self.event_start == 0 {
            return;
        }
        self.buffer.drain(..self.event_start);
        self.line_start -= self.event_start;
        self.scanned_to -= self.event_start;
        self.event_start = 0;
        self.buffer.shrink_to(KEPT_CAPACITY);
    }
}
