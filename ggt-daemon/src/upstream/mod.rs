//! HTTP towards targets and the platform.

mod call;
mod connect;
mod watch;

pub use call::CallFailure;
pub use call::CallOptions;
pub use call::TargetReply;
pub use call::call_target;
pub use call::simple_call;
pub use connect::ConnectError;
pub use connect::connect_tcp;
pub use watch::CallWatch;
