//! Splits a stream of server-sent events into events, and drops those that the caller already has.

/// One complete event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of the `id` field; `None` if it is missing or not a number.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Vec<u8>,
}

impl StreamEvent {
    /// Whether it consists of comments only, as a server sends them to keep a connection open.
    pub fn is_comment(&self) -> bool {
        let lines = self.bytes.split(|byte| *byte == b'\n').map(|line| line.trim_ascii_end());
        lines.filter(|line| !line.is_empty()).all(|line| line.starts_with(b":"))
    }
}

/// Why a stream cannot be split further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitError {
    /// An event exceeds the maximum length of 1 MiB.
    TooLong,
}

/// Maximum length of an event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into events (HTML Standard, section 9.2.5).
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
}

impl EventSplitter {
    /// Appends bytes as they arrive and returns the events that they complete.
    ///
    /// # Errors
    /// [`SplitError`] when the incomplete event exceeds the maximum length.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, SplitError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let rest = self.buffer.split_off(end);
            let event = std::mem::replace(&mut self.buffer, rest);
            events.push(StreamEvent { id: event_id(&event), bytes: event });
        }
        if self.buffer.len() > MAX_EVENT_BYTES { Err(SplitError::TooLong) } else { Ok(events) }
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// End of the first event in `bytes`, after the blank line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if (line.is_empty() || line == b"\r") && line_start > 0 {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

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
    pub fn check(&mut self, event: &StreamEvent) -> EventAction {
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
