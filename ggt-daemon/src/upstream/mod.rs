//! HTTP client for targets, other daemons and the platform.

mod call;
mod connect;
mod connection;
mod tracker;

pub use call::CallFailure;
pub use call::CallOptions;
pub use call::TargetCall;
pub use call::TargetReply;
pub use call::call_target;
pub use call::simple_call;
pub use connect::ConnectError;
pub use connect::connect_tcp;
pub use connection::KeptChannels;
pub use connection::SendFailure;
pub use connection::TargetChannel;
pub use tracker::SendTracker;
