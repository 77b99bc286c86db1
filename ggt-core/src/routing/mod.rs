//! Chooses the target of a request: cache reuse first, bounded by load.

mod choice;
mod hold;
mod load;
mod rendezvous;
mod table;

pub use choice::ChoiceReason;
pub use choice::ChosenTarget;
pub use choice::RouteQuery;
pub use choice::RouteRefusal;
pub use hold::HoldDown;
pub use hold::HoldOptions;
pub use load::LoadEstimate;
pub use load::LoadReport;
pub use rendezvous::rendezvous_score;
pub use table::HostChange;
pub use table::RoutingOptions;
pub use table::RoutingTable;
pub use table::TargetEntry;
pub use table::TargetKey;
pub use table::TargetStatus;
