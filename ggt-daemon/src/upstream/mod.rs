//! Blocking HTTP towards targets and the platform, on connections that are never reused.

mod call;
mod watch;

pub use call::CallFailure;
pub use call::CallOptions;
pub use call::TargetReply;
pub use call::call_target;
pub use call::simple_call;
pub use watch::CallWatch;
