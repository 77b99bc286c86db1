//! Library of the `greengageturn` command: configuration folders, admin API client, text output.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod admin;
pub mod folder;
pub mod format;
