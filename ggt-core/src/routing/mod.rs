//! Chooses the target of a request: by prefix cache reuse, within a load bound.

mod choice;
mod entry;
mod hold;
mod load;
mod options;
mod rendezvous;
mod table;

pub use choice::ChoiceReason;
pub use choice::ChosenTarget;
pub use choice::RouteQuery;
pub use choice::RouteRefusal;
pub use entry::TargetEntry;
pub use entry::TargetStatus;
pub use hold::HoldDown;
pub use hold::HoldOptions;
pub use load::LoadEstimate;
pub use load::LoadReport;
pub use options::RoutingOptions;
pub use rendezvous::rendezvous_score;
pub use table::HostChange;
pub use table::RoutingTable;
pub use table::TargetKey;
