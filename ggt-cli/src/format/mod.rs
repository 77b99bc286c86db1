//! Human-readable output.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde_json::Value;

use ggt_core::config::MergedFolder;

/// Formats a merged folder: one line per value, with the file that set it.
pub fn format_effective(folder: &MergedFolder) -> String {
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
pub fn format_status(reports: &[(String, Result<Value, String>)]) -> String {
    let mut output = String::new();
    let _ = writeln!(
        output,
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
            Ok(report) => write_daemon(&mut output, report),
            Err(cause) => {
                let _ = writeln!(output, "{admin:<16} unreachable: {cause}");
            }
        }
    }
    write_rejections(&mut output, reports);
    write_targets(&mut output, reports);
    write_customers(&mut output, reports);
    output
}

fn text_field<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().unwrap_or("-")
}

fn number_field(value: &Value, name: &str) -> u64 {
    value[name].as_u64().unwrap_or_default()
}

fn array_field<'a>(value: &'a Value, name: &str) -> &'a [Value] {
    value[name].as_array().map(Vec::as_slice).unwrap_or_default()
}

fn daemon_state(report: &Value) -> &'static str {
    if report["draining"] == true {
        "draining"
    } else if report["ready"] == true {
        "ready"
    } else {
        "not ready"
    }
}

fn write_daemon(output: &mut String, report: &Value) {
    let peers = array_field(report, "peers");
    let not_alive = peers.iter().filter(|peer| text_field(peer, "status") != "alive").count();
    let bytes: u64 = array_field(report, "traffic")
        .iter()
        .map(|kind| number_field(kind, "sent_bytes") + number_field(kind, "received_bytes"))
        .sum();
    let _ = writeln!(
        output,
        "{:<16} {:<12} {:<9} {:>8} {:>6} {:>8} {:>6} {:>15} {:>10}",
        text_field(report, "daemon"),
        text_field(report, "data_centre"),
        daemon_state(report),
        report["revision"].as_u64().map_or_else(|| "-".to_owned(), |x| x.to_string()),
        number_field(report, "hosts_version"),
        number_field(report, "in_flight"),
        number_field(&report["claims"], "claims"),
        format!("{} ({not_alive})", peers.len()),
        bytes,
    );
}

fn write_rejections(output: &mut String, reports: &[(String, Result<Value, String>)]) {
    for (_, report) in reports {
        let Ok(report) = report else { continue };
        for name in ["rejected", "hosts_rejected"] {
            if let Some(cause) = report[name].as_str() {
                let _ = writeln!(output, "rejected on {}: {cause}", text_field(report, "daemon"));
            }
        }
    }
}

/// Writes the targets, sorted by data centre. Statuses that differ between daemons are joined by
/// `/`; the load is the range over the daemons.
fn write_targets(output: &mut String, reports: &[(String, Result<Value, String>)]) {
    let mut views_by_target: BTreeMap<(String, String), Vec<&Value>> = BTreeMap::new();
    for report in reports.iter().filter_map(|(_, report)| report.as_ref().ok()) {
        for target in array_field(report, "targets") {
            let key = (
                text_field(target, "data_centre").to_owned(),
                text_field(target, "name").to_owned(),
            );
            views_by_target.entry(key).or_default().push(target);
        }
    }
    let _ = writeln!(
        output,
        "{:<24} {:<12} {:<10} {:<10} {:>11} {:>8}",
        "target", "data centre", "workload", "status", "load", "capacity"
    );
    for ((centre, name), views) in &views_by_target {
        let Some(first) = views.first() else { continue };
        let mut statuses: Vec<&str> = views.iter().map(|view| text_field(view, "status")).collect();
        statuses.sort_unstable();
        statuses.dedup();
        let loads: Vec<f64> = views.iter().filter_map(|view| view["load"].as_f64()).collect();
        let min_load = loads.iter().copied().fold(f64::INFINITY, f64::min);
        let max_load = loads.iter().copied().fold(0.0, f64::max);
        let _ = writeln!(
            output,
            "{name:<24} {centre:<12} {:<10} {:<10} {:>11} {:>8}",
            text_field(first, "workload"),
            statuses.join("/"),
            format!("{min_load:.0}-{max_load:.0}"),
            number_field(first, "capacity"),
        );
    }
}

fn write_customers(output: &mut String, reports: &[(String, Result<Value, String>)]) {
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
        let _ = writeln!(output, "in flight: workload {workload}, customer {customer}: {count}");
    }
}
