//! Replies that are buffered until they are complete, and the memory that they may use together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;
use snafu::Snafu;

use crate::front::attempt::FailureKind;
use crate::front::attempt::ReplyFailure;
use crate::upstream::error_chain;

/// Maximum size in bytes of one buffered reply.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size in bytes of all buffered replies; a fifth of the memory of the smallest hosts.
const MAX_TOTAL_BYTES: usize = 32 * 1024 * 1024;
/// Size in bytes up to which a reply is buffered also beyond that, so that a few long replies do not
/// make all others fail.
const MAX_SMALL_REPLY_BYTES: usize = 256 * 1024;

/// Why a reply cannot be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BufferError {
    /// The reply exceeds `MAX_REPLY_BYTES`.
    #[snafu(display("reply longer than {MAX_REPLY_BYTES} bytes"))]
    ReplyTooLong,
    /// All buffered replies together exceed `MAX_TOTAL_BYTES`, and this one is no small one.
    #[snafu(display("buffered replies longer than {MAX_TOTAL_BYTES} bytes"))]
    BudgetExhausted,
}

/// Counts the bytes of all buffered replies.
#[derive(Clone, Debug, Default)]
pub struct BufferBudget {
    used: Arc<AtomicUsize>,
}

impl BufferBudget {
    /// An empty buffer for one reply.
    pub fn new_buffer(&self) -> ReplyBuffer {
        ReplyBuffer { bytes: Vec::new(), used: self.used.clone() }
    }
}

/// The bytes of one reply so far; they count until it is dropped.
#[derive(Debug)]
pub struct ReplyBuffer {
    bytes: Vec<u8>,
    used: Arc<AtomicUsize>,
}

impl ReplyBuffer {
    /// Appends bytes of the reply.
    ///
    /// # Errors
    /// [`BufferError`] when the reply, or all buffered ones, become too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BufferError> {
        let length = self.bytes.len() + bytes.len();
        if length > MAX_REPLY_BYTES {
            return Err(BufferError::ReplyTooLong);
        }
        let total = self.used.load(Ordering::Relaxed) + bytes.len();
        if length > MAX_SMALL_REPLY_BYTES && total > MAX_TOTAL_BYTES {
            return Err(BufferError::BudgetExhausted);
        }
        self.used.fetch_add(bytes.len(), Ordering::Relaxed);
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// The complete reply; its bytes count until the last reference to them is dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ReplyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for ReplyBuffer {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

/// Why a reply's body cannot be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The connection broke.
    #[snafu(display("{}", error_chain(source)))]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The request's deadline passed.
    #[snafu(display("deadline"))]
    Deadline,
    /// The body is too long.
    #[snafu(display("{source}"), context(false))]
    TooLong {
        /// The bound that it exceeds.
        source: BufferError,
    },
}

impl ReadError {
    /// How the reply failed.
    pub fn into_failure(self) -> ReplyFailure {
        let kind = match &self {
            Self::Broken { .. } => FailureKind::Reset,
            Self::Deadline => FailureKind::Timeout,
            Self::TooLong { .. } => FailureKind::TooLong,
        };
        ReplyFailure::new(kind, self.to_string())
    }
}

/// Reads a body to its end; drops it as soon as it becomes too long, which closes its connection.
///
/// # Errors
/// [`ReadError`] when the connection breaks or the body is too long.
pub async fn read_body(budget: &BufferBudget, mut body: Incoming) -> Result<Bytes, ReadError> {
    let mut buffer = budget.new_buffer();
    while let Some(frame) = body.frame().await {
        let bytes = frame.context(BrokenSnafu)?.into_data().unwrap_or_default();
        buffer.push(&bytes)?;
    }
    Ok(buffer.into_bytes())
}
