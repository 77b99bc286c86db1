//! The cases by their numbers.

mod ended_while_leaving;
mod late_write;
mod memory_at_burst;
mod power_at_release;
mod slow_client_at_stop;

use std::io;

use crate::record::Record;

/// Plays a case; returns how often the rule was broken.
pub fn run(number: &str, record: &Record, has_trouble: bool) -> io::Result<usize> {
    match number {
        "1" => ended_while_leaving::run(record, has_trouble),
        "2" => slow_client_at_stop::run(record, has_trouble),
        "3" => memory_at_burst::run(record, has_trouble),
        "4" => late_write::run(record, has_trouble),
        "5" => power_at_release::run(record, has_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}
