//! The operators' API, on an address and with a key of its own.

mod explain;
mod report;
mod serve;

pub use explain::ExplainReport;
pub use explain::ExplainedTarget;
pub use report::StatusReport;
pub use report::build_report;
pub use serve::serve_admin;
