//! Processor time, memory and control traffic of one process.

use std::collections::BTreeMap;
use std::fs;

use serde_json::Value;

/// Clock ticks per second in `/proc/PID/stat`, fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
const BYTES_PER_KIB: u64 = 1_024;

/// Processor time and resident memory of one process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProcessUsage {
    pub(super) cpu_seconds: f64,
    pub(super) resident_bytes: u64,
}

/// Reads the usage of a process from `/proc`; zero if there is no such process.
pub(super) fn usage_of(pid: u32) -> ProcessUsage {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The second field, the program name in parentheses, may contain spaces: count fields after it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|x| x.parse::<f64>().ok()).unwrap_or(0.0);
    ProcessUsage {
        cpu_seconds: (ticks(12) + ticks(13)) / TICKS_PER_SECOND,
        resident_bytes: status_bytes(pid, "VmRSS:"),
    }
}

/// Resident memory that a process has allocated, without the pages of files; zero if there is no such process.
pub fn allocated_bytes_of(pid: u32) -> u64 {
    status_bytes(pid, "RssAnon:")
}

fn status_bytes(pid: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kib = line.and_then(|text| text.split_ascii_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or_default() * BYTES_PER_KIB
}

/// Bytes of control traffic by kind in a status report, sent and received summed.
pub(super) fn traffic_of(status: &Value) -> BTreeMap<String, u64> {
    let kinds = status["traffic"].as_array().map(Vec::as_slice).unwrap_or_default();
    kinds
        .iter()
        .map(|kind| {
            let number = |name: &str| kind[name].as_u64().unwrap_or_default();
            let bytes = number("sent_bytes") + number("received_bytes");
            (kind["kind"].as_str().unwrap_or_default().to_owned(), bytes)
        })
        .collect()
}
