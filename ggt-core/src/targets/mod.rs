//! The targets of all services as one daemon sees them: who is there, how loaded, how healthy.
//!
//! Load is what this daemon has in flight itself, exactly, and what its peers last told of theirs.
//! Health follows the outcomes of requests, not the targets' own word.

mod admission;
mod choice;
mod health;
mod pool;

pub use admission::FullNote;
pub use choice::ChoiceError;
pub use choice::ChoiceQuery;
pub use choice::ChoiceReason;
pub use choice::TargetChoice;
pub use health::HealthState;
pub use health::SendOutcome;
pub use pool::SentNote;
pub use pool::TargetKey;
pub use pool::TargetPool;
pub use pool::TargetState;

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// What a target's registration says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The target's id; a target that starts again may keep it.
    pub id: String,
    /// Rises with each start of the target.
    pub incarnation: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub is_leaving: bool,
}

/// Load that a target told with a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// What one daemon has in flight at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlightLoad {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens of these that are still to be read.
    pub backlog_tokens: u32,
}
