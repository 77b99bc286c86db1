//! Admin API for operators, with its own address and bearer key.

mod explain;
mod report;
mod serve;

pub use explain::ExplainReport;
pub use explain::ExplainedTarget;
pub use report::StatusReport;
pub use report::build_report;
pub use serve::serve_admin;
