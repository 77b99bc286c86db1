//! Detects requests that crash the targets that run them.

mod completions;
mod losses;
mod table;

pub use losses::LossTable;
pub use losses::LostReply;
pub use table::CrashOptions;
pub use table::CrashOutcome;
pub use table::CrashRecord;
pub use table::CrashReport;
pub use table::CrashSource;
pub use table::CrashSummary;
pub use table::CrashTable;
pub use table::DroppedRequest;

use crate::ident::mix_hash;
use crate::ident::stable_hash;

/// Fingerprint of a request: equal for requests with the same path and body.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a path and a body.
    pub fn of(path: &str, body: &[u8]) -> Self {
        Self(mix_hash(stable_hash(path.as_bytes()), stable_hash(body)))
    }
}

/// Identifies the crash of one incarnation of one target.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct CrashId(pub u64);

impl CrashId {
    /// The id for a target, given as the hash of its name, and its incarnation.
    pub fn of(target_hash: u64, incarnation: u64) -> Self {
        Self(mix_hash(target_hash, incarnation))
    }
}
