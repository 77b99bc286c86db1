//! What a fleet consists of, and the files that describe it to its daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Data centres with the number of daemons in each.
    pub centres: Vec<(&'static str, usize)>,
    /// Engines in each data centre.
    pub engines: usize,
    /// Engines in each data centre that one process plays.
    pub farmed_engines: u16,
    /// Services in each data centre.
    pub services: usize,
    /// Requests that each target can run at once.
    pub capacity: u32,
    /// Whether all traffic passes through the faulty network.
    pub proxied: bool,
    /// Whether the daemons are given addresses of others to ask at the start.
    pub seeded: bool,
    /// Merged over the daemons' settings.
    pub settings: Value,
    /// Merged over the configuration, as a file of its own.
    pub config: Value,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            centres: vec![("recife-a", 2), ("recife-b", 2)],
            engines: 1,
            farmed_engines: 0,
            services: 1,
            capacity: 64,
            proxied: false,
            seeded: true,
            settings: json!({}),
            config: json!({}),
        }
    }
}

/// A customer of the test configuration, whose bearer key is its name with `-key`.
pub const CUSTOMERS: [&str; 3] = ["contabil", "ekthetis", "balcao"];

/// The bearer key of a customer.
pub fn bearer_of(customer: &str) -> String {
    format!("{customer}-key")
}

/// One daemon of a fleet.
#[derive(Clone, Debug)]
pub struct DaemonPlace {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// The peer address that it binds.
    pub peer: SocketAddr,
    /// The peer address that the roster names.
    pub public_peer: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where it finds the platform.
    pub platform: SocketAddr,
}

/// One target of a fleet.
#[derive(Clone, Debug)]
pub struct TargetPlace {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// The workload that it serves.
    pub workload: &'static str,
    /// The address that it binds.
    pub address: SocketAddr,
    /// The address that the host list names.
    pub public_address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Requests that it can run at once.
    pub capacity: u32,
    /// Whether the host list says that it is leaving.
    pub leaving: bool,
}

/// The configuration's files.
pub fn config_files(daemons: &[DaemonPlace], overlay: &Value) -> BTreeMap<String, String> {
    let roster: BTreeMap<&str, Value> = daemons
        .iter()
        .map(|daemon| {
            let entry = json!({ "data_centre": daemon.centre, "peer": daemon.public_peer });
            (daemon.name.as_str(), entry)
        })
        .collect();
    let customers: BTreeMap<&str, Value> = CUSTOMERS
        .iter()
        .map(|name| (*name, json!({ "key_sha256": [digest(&bearer_of(name))] })))
        .collect();
    let rules = json!({
        "chat": { "method": "POST", "path": "/chat*", "workload": "intake" },
        "lookup": { "method": "GET", "path": "/filings/*", "workload": "filings" },
        "submit": {
            "method": "POST", "path": "/filings", "workload": "filings", "non_idempotent": true,
        },
    });
    let base = json!({
        "roster": { "epoch": 1, "daemons": roster },
        "customers": customers,
        "workloads": { "intake": { "resumable": true }, "filings": {} },
        "rules": rules,
        // All clocks are this machine's.
        "claims": { "max_clock_error_ms": 20 },
        "routing": { "hold_down_ms": 300, "slow_start_ms": 500 },
    });
    let files = [("10-base.json", &base), ("90-overlay.json", overlay)];
    files.into_iter().map(|(name, value)| (name.to_owned(), value.to_string())).collect()
}

/// The host list's files, one for each data centre.
pub fn host_files(targets: &[TargetPlace]) -> BTreeMap<String, String> {
    let mut by_centre: BTreeMap<&str, Vec<Value>> = BTreeMap::new();
    for target in targets {
        by_centre.entry(&target.centre).or_default().push(json!({
            "name": target.name,
            "address": target.public_address,
            "data_centre": target.centre,
            "workload": target.workload,
            "incarnation": target.incarnation,
            "capacity": target.capacity,
            "state": if target.leaving { "leaving" } else { "live" },
        }));
    }
    by_centre
        .into_iter()
        .map(|(centre, targets)| {
            (format!("{centre}.json"), json!({ "targets": targets }).to_string())
        })
        .collect()
}

/// The settings of one daemon.
pub fn settings_of(
    daemon: &DaemonPlace,
    seeds: &[SocketAddr],
    log_file: &str,
    overlay: &Value,
) -> Value {
    let mut settings = json!({
        "name": daemon.name,
        "data_centre": daemon.centre,
        "callers": daemon.callers,
        "peer": daemon.peer,
        "admin": daemon.admin,
        "admin_key": "operator-key",
        "platform": [daemon.platform],
        "seeds": seeds,
        "fleet_keys": ["a-fleet-key-for-tests"],
        "log_file": log_file,
        // Ten times the pings of production need ten times its budget.
        "limits": { "gossip_bytes": 10_000 },
        "timing": {
            "gossip_ms": 100, "probe_ms": 200, "watch_ms": 5_000, "backoff_ms": 50,
            "backoff_max_ms": 400, "drain_announce_ms": 300,
        },
    });
    merge(&mut settings, overlay);
    settings
}

/// Merges `overlay` over `base`, objects by key.
pub fn merge(base: &mut Value, overlay: &Value) {
    match (base, overlay) {
        (Value::Object(base), Value::Object(overlay)) => {
            for (name, value) in overlay {
                merge(base.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (base, overlay) => *base = overlay.clone(),
    }
}

fn digest(bearer: &str) -> String {
    Sha256::digest(bearer.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
