//! Compares the routing decisions of `ggt-core` with other routing policies on one trace.
//!
//! A trace of returning chats is replayed through the routing tables of several daemons, with
//! delayed and lost load reports and host lists that differ between daemons. Only decisions are
//! measured; the replay is no model of a cluster.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod engines;
pub mod policies;
pub mod replay;
pub mod report;
pub mod trace;
