//! Decision logic of the greengageturn router fleet, without I/O.
//!
//! Callers pass the current time and all inputs as arguments: no function opens a socket, reads a
//! file or reads a clock. The daemon adds sockets and timers; tests and measurements replay the
//! logic from a seed.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod arrival;
pub mod bodies;
pub mod claims;
pub mod clock;
pub mod config;
pub mod connections;
pub mod crashes;
pub mod evacuation;
pub mod events;
pub mod fleet;
pub mod hosts;
pub mod ident;
pub mod limits;
pub mod membership;
pub mod partition;
pub mod prompts;
pub mod retries;
pub mod retry_window;
pub mod routes;
pub mod routing;
pub mod silence;
pub mod store_cache;
pub mod store_watch;
pub mod targets;
pub mod verdict;
pub mod versions;
pub mod waiting;
