//! The greengageturn entry daemon: sockets, timers, threads, logs and metrics around the decisions
//! of `ggt-core`.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod admin;
pub mod clock;
pub mod daemon;
pub mod dispatch;
pub mod edge;
pub mod front;
pub mod lifecycle;
pub mod lock;
pub mod logging;
pub mod metrics;
pub mod peers;
pub mod probes;
pub mod settings;
pub mod state;
pub mod sync;
pub mod upstream;
