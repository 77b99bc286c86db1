//! Decisions of the greengageturn router fleet, without input or output.
//!
//! Everything in this crate is driven by method calls that carry the time and the facts learned:
//! no function opens a socket, reads a file or asks a clock. The daemon puts sockets and timers
//! round it; tests and measurements replay it from a seed.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod blame;
pub mod claims;
pub mod clock;
pub mod config;
pub mod events;
pub mod facts;
pub mod fleet;
pub mod hosts;
pub mod ident;
pub mod limits;
pub mod membership;
pub mod prompts;
pub mod retries;
pub mod routes;
pub mod routing;
pub mod spend;
pub mod targets;
pub mod verdict;
