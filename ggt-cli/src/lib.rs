//! The operators' command line, as a library: reads folders, asks daemons and prints.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod admin;
pub mod folder;
pub mod show;
