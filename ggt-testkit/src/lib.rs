//! Starts fleets of real processes on loopback addresses, for tests, benchmarks, soaks and the quick start.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod address;
pub mod bench;
pub mod fleet;
pub mod front;
pub mod http;
pub mod layout;
pub mod log_book;
pub mod process;
pub mod soak;
pub mod wait;
