//! Whole events of a stream, each passed on once and in rising order.

/// One whole event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's id.
    pub id: Option<u64>,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Vec<u8>,
}

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitError {
    /// An event is longer than any that a target sends.
    TooLong,
}

/// Longest event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a stream's bytes into whole events (HTML Standard, section 9.2.5).
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    held: Vec<u8>,
}

impl EventSplitter {
    /// Takes bytes as they arrive and returns the events that they complete.
    ///
    /// # Errors
    /// [`SplitError`] when an event grows beyond all bounds.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, SplitError> {
        self.held.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.held) {
            let rest = self.held.split_off(end);
            let whole = std::mem::replace(&mut self.held, rest);
            events.push(StreamEvent { id: event_id(&whole), bytes: whole });
        }
        if self.held.len() > MAX_EVENT_BYTES { Err(SplitError::TooLong) } else { Ok(events) }
    }

    /// Whether bytes of an unfinished event are held.
    pub fn is_torn(&self) -> bool {
        !self.held.is_empty()
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if (line.is_empty() || line == b"\r") && line_start > 0 {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

/// What becomes of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// It is the next one.
    Pass,
    /// The caller has it already.
    Skip,
    /// One before it is missing, so that the stream must be broken off.
    Gap,
}

/// Which event is due next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// An order that goes on after `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// The last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Judges the event with this id; one without an id is passed on.
    pub fn judge(&mut self, id: Option<u64>) -> EventVerdict {
        let Some(id) = id else { return EventVerdict::Pass };
        match self.last {
            Some(last) if id <= last => EventVerdict::Skip,
            Some(last) if id > last + 1 => EventVerdict::Gap,
            _ => {
                self.last = Some(id);
                EventVerdict::Pass
            }
        }
    }
}
