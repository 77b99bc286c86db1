//! Detects requests that crash the targets that run them.

mod blame;
mod completions;
mod losses;
mod record;
mod reports;
mod suspects;
mod table;

pub use losses::LossTable;
pub use losses::LostReply;
pub use record::CrashJudgement;
pub use record::CrashOutcome;
pub use record::CrashRecord;
pub use record::CrashRefusal;
pub use record::CrashReport;
pub use record::CrashSource;
pub use record::CrashSummary;
pub use record::DroppedSuspect;
pub use suspects::RequestSuspects;
pub use suspects::SuspectKey;
pub use table::CrashOptions;
pub use table::CrashTable;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::mix_hash;

/// Identifies the crash of one incarnation of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// The id for a target, given as the hash of its name, and its incarnation.
    pub fn of(target_hash: u64, incarnation: u64) -> Self {
        Self(mix_hash(target_hash, incarnation))
    }
}
