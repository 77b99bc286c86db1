//! Measures the routing decisions of `ggt-core` against other ways on one trace.
//!
//! A trace of returning chats is replayed through several copies of the decision core, with load
//! reports that come late and get lost, and host lists that differ from daemon to daemon. It
//! measures decisions; it does not model a cluster.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod engines;
pub mod replay;
pub mod report;
pub mod trace;
pub mod ways;
