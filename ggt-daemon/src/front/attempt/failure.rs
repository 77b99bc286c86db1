//! How sends and their replies fail.

use http::StatusCode;

use ggt_core::targets::SendOutcome;

/// How a request failed after it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The target sent nothing for too long.
    Timeout,
    /// A reused connection broke, and no second send on a new one followed; the target has been
    /// checked for a crash.
    StaleConnection,
    /// A new connection broke; the target may have crashed.
    Reset,
    /// The reply cannot be forwarded to the caller.
    InvalidReply,
    /// The target sends more than a reply, or a part of one, may have.
    TooLong,
}

impl FailureKind {
    /// The kind as written in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::StaleConnection => "stale-connection",
            Self::Reset => "reset",
            Self::InvalidReply => "invalid",
            Self::TooLong => "too-long",
        }
    }
}

/// A request that was sent, without a reply that can be forwarded to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyFailure {
    pub kind: FailureKind,
    /// Cause as written in logs.
    pub cause: String,
    /// Bytes of the reply that were received.
    pub received_bytes: u64,
}

impl ReplyFailure {
    /// A failure of which `received_bytes` are set later, if any were received.
    pub fn new<C>(kind: FailureKind, cause: C) -> Self
    where
        C: Into<String>,
    {
        Self { kind, cause: cause.into(), received_bytes: 0 }
    }

    /// The same with the number of bytes that were received of the reply.
    pub fn with_bytes(self, received_bytes: u64) -> Self {
        Self { received_bytes, ..self }
    }
}

/// Why a send produced no usable reply.
pub enum SendError {
    /// No byte of the request was written to a socket; the outcome is what that says about the target.
    NotSent { cause: String, outcome: SendOutcome },
    /// The target states that it did not run the request.
    Refused { status: StatusCode, is_misdirected: bool },
    /// The request was sent and may have run.
    Lost(ReplyFailure),
    /// The deadline passed; the request may have run.
    Deadline,
}
