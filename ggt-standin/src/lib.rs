//! Stand-ins for the platform, model engines and plain services, and a fault-injection proxy.
//!
//! They are used in tests and the quick start only. Each implements just enough of the real
//! system to expose a daemon to its behaviour; requests to `/control/` paths inject faults.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod engine;
pub mod platform;
pub mod proxy;
pub mod server;
pub mod service;
pub mod users_platform;
