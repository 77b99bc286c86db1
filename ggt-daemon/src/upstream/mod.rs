//! HTTP client for targets, other daemons and the platform.

mod call;
mod connect;
mod connection;
mod errors;
mod tracker;

pub use call::CallFailure;
pub use call::CallOptions;
pub use call::TargetCall;
pub use call::TargetReply;
pub use call::blocking_call;
pub use call::call_target;
pub use connect::ConnectError;
pub use connect::connect_tcp;
pub use connection::ConnectionPool;
pub use connection::SendFailure;
pub use connection::TargetConnection;
pub use errors::error_chain;
pub use tracker::SendTracker;
