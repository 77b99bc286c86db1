//! The targets of all services as one daemon sees them: registration, load and health.
//!
//! Load is this daemon's own requests in flight, counted exactly, plus those of its peers: what the
//! target has just stated in a reply to one of the daemons, else what the peers last reported. Health is
//! derived from the outcomes of requests, not from reports of the targets.

mod access;
mod admission;
mod candidates;
mod choice;
mod closing;
mod cold_start;
mod fragile;
mod health;
mod lifetime;
mod placement;
mod pool;
mod prefix_rates;
mod prefixes;
mod rate;
mod registrations;
mod replacement;
mod stated_load;
mod work_time;

pub use access::AccessDenial;
pub use access::DenialReason;
pub use admission::OverloadEstimate;
pub use admission::SlotDuration;
pub use candidates::ReachCounts;
pub use choice::ChoiceError;
pub use choice::ChoiceFigures;
pub use choice::ChoiceQuery;
pub use choice::ChoiceReason;
pub use choice::TargetChoice;
pub use closing::TargetClosing;
pub use cold_start::ColdStartLimit;
pub use cold_start::ColdStartStatement;
pub use cold_start::TargetColdStart;
pub use fragile::DaemonRank;
pub use fragile::FragilityRecord;
pub use fragile::FragilityStatement;
pub use fragile::InFlightLimit;
pub use health::HealthState;
pub use health::SendOutcome;
pub use lifetime::StatedStart;
pub use lifetime::TargetLifetime;
pub use pool::SendRecord;
pub use pool::TargetKey;
pub use pool::TargetPool;
pub use pool::TargetState;
pub use prefix_rates::ReportPace;
pub use rate::RateLimit;
pub use rate::RateShare;
pub use rate::RateStatement;
pub use rate::TargetRate;
pub use replacement::TargetReplacement;
pub use stated_load::LoadStatement;
pub use stated_load::StatedLoad;
pub use work_time::TargetWorkTime;
pub use work_time::WORK_TIME_TTL_MS;
pub use work_time::WorkTimeStatement;

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::versions::SoftwareVersion;

/// Registration of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Id of the target, which may stay the same over restarts.
    pub id: String,
    /// Increases with each start of the target.
    pub incarnation: u64,
    /// Service that the target belongs to.
    pub service: String,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub is_leaving: bool,
    /// How much longer it stays cold, as it stated when it was registered.
    pub cold_start: ColdStartStatement,
}

/// Load that a target reported with a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual time; more than 0. `None` if it is not stated.
    pub work_time_percent: Option<u32>,
}

impl LoadReport {
    /// Requests running and queued.
    pub const fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Load of one daemon's requests in flight at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightLoad {
    /// Number of requests sent and not yet ended.
    pub requests: u32,
    /// Uncached prompt tokens of these requests that are not yet prefilled.
    pub backlog_tokens: u32,
}
