//! Stand-ins for the platform, model engines, plain services and a faulty network.
//!
//! They serve tests and the quick start only: each does just enough for a daemon to meet the
//! behaviour that the real system may show, and takes orders to misbehave under `/control/`.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod engine;
pub mod platform;
pub mod proxy;
pub mod published;
pub mod server;
pub mod service;
