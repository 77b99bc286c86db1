//! Human-readable output.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde_json::Value;

use ggt_core::config::MergedFolder;

/// Formats a merged folder: one line per value, with the file that set it.
pub fn effective_lines(folder: &MergedFolder) -> String {
    let mut lines = String::new();
    for (pointer, file) in &folder.sources {
        let value = folder.value.pointer(pointer).unwrap_or(&Value::Null);
        // Writing to a string cannot fail.
        let _ = writeln!(lines, "{pointer} = {value}  ({file})");
    }
    lines
}

/// Formats the status reports of the daemons as tables. `reports` holds the admin address and the
/// report or error of each.
pub fn status_screen(reports: &[(String, Result<Value, String>)]) -> String {
    let mut screen = String::new();
    let _ = writeln!(
        screen,
        "{:<16} {:<12} {:<9} {:>8} {:>6} {:>8} {:>6} {:>15} {:>10}",
        "daemon",
        "data centre",
        "state",
        "revision",
        "hosts",
        "in flight",
        "claims",
        "peers (not up)",
        "control B"
    );
    for (admin, report) in reports {
        match report {
            Ok(report) => write_daemon(&mut screen, report),
            Err(cause) => {
                let _ = writeln!(screen, "{admin:<16} unreachable: {cause}");
            }
        }
    }
    write_notes(&mut screen, reports);
    write_targets(&mut screen, reports);
    write_customers(&mut screen, reports);
    screen
}

fn text<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().unwrap_or("-")
}

fn number(value: &Value, name: &str) -> u64 {
    value[name].as_u64().unwrap_or_default()
}

fn items<'a>(value: &'a Value, name: &str) -> &'a [Value] {
    value[name].as_array().map(Vec::as_slice).unwrap_or_default()
}

fn state_of(report: &Value) -> &'static str {
    if report["draining"] == true {
        "draining"
    } else if report["ready"] == true {
        "ready"
    } else {
        "not ready"
    }
}

fn write_daemon(screen: &mut String, report: &Value) {
    let peers = items(report, "peers");
    let not_up = peers.iter().filter(|peer| text(peer, "status") != "alive").count();
    let bytes: u64 = items(report, "traffic")
        .iter()
        .map(|kind| number(kind, "sent_bytes") + number(kind, "received_bytes"))
        .sum();
    let _ = writeln!(
        screen,
        "{:<16} {:<12} {:<9} {:>8} {:>6} {:>8} {:>6} {:>15} {:>10}",
        text(report, "daemon"),
        text(report, "data_centre"),
        state_of(report),
        report["revision"].as_u64().map_or_else(|| "-".to_owned(), |x| x.to_string()),
        number(report, "hosts_version"),
        number(report, "in_flight"),
        number(&report["claims"], "claims"),
        format!("{} ({not_up})", peers.len()),
        bytes,
    );
}

fn write_notes(screen: &mut String, reports: &[(String, Result<Value, String>)]) {
    for (_, report) in reports {
        let Ok(report) = report else { continue };
        for name in ["rejected", "hosts_rejected"] {
            if let Some(cause) = report[name].as_str() {
                let _ = writeln!(screen, "rejected on {}: {cause}", text(report, "daemon"));
            }
        }
    }
}

/// Writes the targets, sorted by data centre. Statuses that differ between daemons are joined by
/// `/`; the load is the range over the daemons.
fn write_targets(screen: &mut String, reports: &[(String, Result<Value, String>)]) {
    let mut seen: BTreeMap<(String, String), Vec<&Value>> = BTreeMap::new();
    for report in reports.iter().filter_map(|(_, report)| report.as_ref().ok()) {
        for target in items(report, "targets") {
            let place = (text(target, "data_centre").to_owned(), text(target, "name").to_owned());
            seen.entry(place).or_default().push(target);
        }
    }
    let _ = writeln!(
        screen,
        "{:<24} {:<12} {:<10} {:<10} {:>11} {:>8}",
        "target", "data centre", "workload", "status", "load", "capacity"
    );
    for ((centre, name), views) in &seen {
        let Some(first) = views.first() else { continue };
        let mut statuses: Vec<&str> = views.iter().map(|view| text(view, "status")).collect();
        statuses.sort_unstable();
        statuses.dedup();
        let loads: Vec<f64> = views.iter().filter_map(|view| view["load"].as_f64()).collect();
        let least = loads.iter().copied().fold(f64::INFINITY, f64::min);
        let most = loads.iter().copied().fold(0.0, f64::max);
        let _ = writeln!(
            screen,
            "{name:<24} {centre:<12} {:<10} {:<10} {:>11} {:>8}",
            text(first, "workload"),
            statuses.join("/"),
            format!("{least:.0}-{most:.0}"),
            number(first, "capacity"),
        );
    }
}

fn write_customers(screen: &mut String, reports: &[(String, Result<Value, String>)]) {
    let mut totals: BTreeMap<(String, String), u64> = BTreeMap::new();
    for report in reports.iter().filter_map(|(_, report)| report.as_ref().ok()) {
        for (workload, customers) in report["customers"].as_object().into_iter().flatten() {
            for (customer, count) in customers.as_object().into_iter().flatten() {
                let key = (workload.clone(), customer.clone());
                *totals.entry(key).or_default() += count.as_u64().unwrap_or_default();
            }
        }
    }
    for ((workload, customer), count) in totals {
        let _ = writeln!(screen, "in flight: workload {workload}, customer {customer}: {count}");
    }
}
