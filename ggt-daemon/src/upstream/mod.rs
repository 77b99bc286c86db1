//! HTTP client for targets, other daemons and the platform.

mod call;
mod channel;
mod connect;
mod watch;

pub use call::CallFailure;
pub use call::CallOptions;
pub use call::TargetCall;
pub use call::TargetReply;
pub use call::call_target;
pub use call::simple_call;
pub use channel::KeptChannels;
pub use channel::SendFailure;
pub use channel::TargetChannel;
pub use connect::ConnectError;
pub use connect::connect_tcp;
pub use watch::CallWatch;
