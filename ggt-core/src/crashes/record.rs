//! What is recorded about crashes, and what becomes of a record.

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::crashes::SuspectKey;

/// The crashes that count against one suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSummary {
    /// Number of crashes.
    pub count: usize,
    /// When the first of them was noticed.
    pub first_at: MonoTime,
    /// When the last of them was noticed.
    pub last_at: MonoTime,
    /// When it is no longer suspected.
    pub expires_at: MonoTime,
}

/// Who noticed a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSource {
    /// This daemon, which reports it to its peers at once.
    Own,
    /// Another daemon, which has reported it to all.
    Peer,
}

/// A suspect of a request that was in flight when a target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// The suspect.
    pub suspect: SuspectKey,
    /// Identifies the crash.
    pub crash: CrashId,
    /// When the crash was noticed.
    pub noticed_at: MonoTime,
    /// When it is no longer suspected because of the crash.
    pub expires_at: MonoTime,
    /// Who noticed it.
    pub source: CrashSource,
}

/// A suspect that a full table no longer stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedSuspect {
    /// The suspect.
    pub suspect: SuspectKey,
    /// Number of crashes that counted against it.
    pub crashes: usize,
}

/// What became of a [`CrashRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashOutcome {
    /// It counts against the suspect now. The table was full if another one was dropped for it.
    New {
        /// The dropped suspect.
        dropped: Option<DroppedSuspect>,
    },
    /// It was stored already, or has been cleared.
    Known,
    /// A request with it completed shortly before the crash or after it, so it is not to blame.
    Completed,
}

impl CrashOutcome {
    /// Whether the crash counts against the suspect since this record.
    pub const fn is_new(self) -> bool {
        matches!(self, Self::New { .. })
    }

    /// The outcome's name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::New { .. } => "new",
            Self::Known => "known",
            Self::Completed => "completed",
        }
    }
}

/// A crash to report to other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashReport {
    /// The suspect that was present.
    pub suspect: SuspectKey,
    /// Identifies the crash.
    pub crash: CrashId,
    /// When the crash was noticed.
    pub noticed_at: MonoTime,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashRefusal {
    /// The suspect that is blamed.
    pub suspect: SuspectKey,
    /// The crashes that count against it.
    pub summary: CrashSummary,
    /// The time until which requests with it are refused.
    pub until: MonoTime,
}

/// Whether a request may be sent, by the crashes at which its suspects were present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashJudgement {
    /// It may be sent: none of its suspects has reached the limit of crashes.
    Clear,
    /// It may be sent: a suspect of its reached the limit, but another one, which it does not have,
    /// explains the crashes.
    Explained {
        /// The suspect of the request that reached the limit.
        suspect: SuspectKey,
        /// The suspect that explains its crashes.
        by: SuspectKey,
    },
    /// It is refused.
    Refused(CrashRefusal),
    /// The refusal has ended: one request may be sent as a trial, and others are refused until its
    /// outcome is known.
    Trial(CrashRefusal),
}
