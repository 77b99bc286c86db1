//! Replies whose bytes do not end until the client closes the connection.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::users_platform::request::WireRequest;
use crate::users_platform::server::stream_head;

/// Bytes of a repeated block, at least.
const BLOCK_BYTES: usize = 60 * 1024;
/// Length that a reply states which has one and does not end within it.
const STATED_BYTES: u64 = 100_000_000_000;

/// Part of a reply that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessKind {
    /// Bytes that are no reply.
    Garbage,
    /// The status line.
    StatusLine,
    /// One header line.
    HeaderLine,
    /// The list of header lines.
    HeaderList,
    /// Empty lines before the status line.
    EmptyLines,
    /// Interim replies (`100 Continue`) before the reply.
    InterimReplies,
    /// A body without a length or chunks.
    Body,
    /// A body of 100 GB that states its length.
    LongBody,
    /// The list of chunks of a body.
    Chunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailers after the last chunk.
    Trailers,
    /// The body of a reply with status 500.
    ErrorBody,
    /// The body of a reply with status 503.
    UnavailableBody,
    /// Bytes after a complete reply.
    Surplus,
    /// One event of a stream.
    Event,
    /// One line of an event.
    EventLine,
    /// Events that consist of comments, in large chunks.
    Comments,
    /// Events without an id, in large chunks.
    EventsWithoutId,
}

impl EndlessKind {
    /// All kinds.
    pub const ALL: [Self; 18] = [
        Self::Garbage,
        Self::StatusLine,
        Self::HeaderLine,
        Self::HeaderList,
        Self::EmptyLines,
        Self::InterimReplies,
        Self::Body,
        Self::LongBody,
        Self::Chunks,
        Self::ChunkExtension,
        Self::Trailers,
        Self::ErrorBody,
        Self::UnavailableBody,
        Self::Surplus,
        Self::Event,
        Self::EventLine,
        Self::Comments,
        Self::EventsWithoutId,
    ];

    /// Whether a client may have got a complete reply before the bytes that do not end.
    pub const fn has_complete_reply(self) -> bool {
        matches!(self, Self::Surplus)
    }

    /// What the server sends first, and what it repeats until the connection is closed.
    fn text(self, request: &WireRequest) -> (String, Vec<u8>) {
        let id = request.attempt_id();
        let headers = format!("X-Attempt-Id: {id}\r\nX-Server-Stamp: s-{id}\r\n");
        let head = format!("HTTP/1.1 200 OK\r\n{headers}");
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Self::Garbage => (String::new(), repeat("0123456789abcdef")),
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), repeat("0123456789abcdef")),
            Self::HeaderLine => (format!("{head}X-Long: "), repeat("0123456789abcdef")),
            Self::HeaderList => (head, repeat("X-Other: 0123456789\r\n")),
            Self::EmptyLines => (String::new(), repeat("\r\n")),
            Self::InterimReplies => (String::new(), repeat("HTTP/1.1 100 Continue\r\n\r\n")),
            Self::Body => (format!("{head}\r\n"), repeat("0123456789abcdef")),
            Self::LongBody => {
                (format!("{head}Content-Length: {STATED_BYTES}\r\n\r\n"), repeat("0123456789"))
            }
            Self::Chunks => (chunked, as_chunk(&repeat("0123456789abcdef"))),
            Self::ChunkExtension => (format!("{chunked}5;"), repeat("0123456789abcdef")),
            Self::Trailers => {
                (format!("{chunked}5\r\nwhole\r\n0\r\n"), repeat("X-Other: 0123456789\r\n"))
            }
            Self::ErrorBody => {
                (format!("HTTP/1.1 500 Error\r\n{headers}\r\n"), repeat("0123456789abcdef"))
            }
            Self::UnavailableBody => {
                (format!("HTTP/1.1 503 Error\r\n{headers}\r\n"), repeat("0123456789abcdef"))
            }
            Self::Surplus => {
                let event = "id: 1\ndata: a\n\n";
                let length = event.len();
                (format!("{head}Content-Length: {length}\r\n\r\n{event}"), repeat("0123456789"))
            }
            Self::Event => {
                (format!("{chunked}{}", text_chunk("id: 1\n")), as_chunk(&repeat("data: a\n")))
            }
            Self::EventLine => (
                format!("{chunked}{}", text_chunk("id: 1\ndata: ")),
                as_chunk(&repeat("0123456789")),
            ),
            Self::Comments => (chunked, as_chunk(&repeat(": c\n\n"))),
            Self::EventsWithoutId => (chunked, as_chunk(&repeat("data: noid\n\n"))),
        }
    }
}

/// As many copies of a text as fill a block.
fn repeat(text: &str) -> Vec<u8> {
    text.repeat(BLOCK_BYTES.div_ceil(text.len())).into_bytes()
}

/// The bytes as one chunk of a chunked body.
fn as_chunk(bytes: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", bytes.len());
    [size.as_bytes(), bytes, b"\r\n"].concat()
}

/// A text as one chunk of a chunked body.
fn text_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends a stream of numbered events of `event_bytes` bytes, or a few more, in a chunk each, as fast as the client
/// reads, until that closes the connection.
pub fn send_events(request: &WireRequest, stream: &mut TcpStream, event_bytes: usize) {
    let mut is_open = stream.write_all(stream_head(request).as_bytes()).is_ok();
    let mut id = request.last_event_id().unwrap_or_default();
    while is_open {
        id += 1;
        let text = "x".repeat(event_bytes.saturating_sub(16));
        is_open =
            stream.write_all(text_chunk(&format!("id: {id}\ndata: {text}\n\n")).as_bytes()).is_ok();
    }
}

/// Sends a reply that does not end until the client closes the connection, at `bytes_per_second` at most; returns the
/// number of bytes written.
pub fn send_without_end(
    kind: EndlessKind,
    request: &WireRequest,
    stream: &mut TcpStream,
    bytes_per_second: u64,
) -> u64 {
    let (first, repeated) = kind.text(request);
    let block_time =
        Duration::from_secs(repeated.len() as u64).div_f64(bytes_per_second.max(1) as f64);
    let mut sent_bytes = first.len() as u64;
    let mut is_open = stream.write_all(first.as_bytes()).is_ok();
    let mut next_at = Instant::now();
    while is_open {
        is_open = stream.write_all(&repeated).is_ok();
        sent_bytes += repeated.len() as u64;
        next_at += block_time;
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    sent_bytes
}
