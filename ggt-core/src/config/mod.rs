//! The published configuration: merging, validation and the active revision.

mod accept;
mod merge;
mod model;
mod revision_gate;

pub use accept::AcceptError;
pub use accept::AcceptedConfig;
pub use accept::accept_files;
pub use merge::MergeError;
pub use merge::MergedFolder;
pub use merge::merge_files;
pub use model::ClaimSection;
pub use model::ConfigModel;
pub use model::CustomerSection;
pub use model::DaemonSection;
pub use model::LimitSection;
pub use model::PlainKeys;
pub use model::RosterSection;
pub use model::RoutingSection;
pub use model::RuleSection;
pub use model::WorkloadSection;
pub use revision_gate::OfferOutcome;
pub use revision_gate::RevisionGate;
