//! Messages between daemons, and with the platform, targets and callers.
//!
//! This crate encodes and decodes the types of `ggt-core`, authenticates the messages between
//! daemons and names the HTTP headers in use. It opens no socket.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod auth;
pub mod datagram;
pub mod digest;
pub mod forward;
pub mod headers;
pub mod hint;
pub mod lifetimes;
pub mod marked;
pub mod origins;
pub mod platform;
pub mod rpc;
