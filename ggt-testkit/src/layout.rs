//! Composition of a test fleet, and the settings, configuration and host list files generated from it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

/// Composition of a fleet, with overlays for its settings and configuration.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Name of each data centre and the number of its daemons.
    pub centres: Vec<(&'static str, usize)>,
    /// Engines in each data centre, one process each.
    pub engines: usize,
    /// Further engines in each data centre, all simulated by one process.
    pub shared_process_engines: u16,
    /// Services in each data centre.
    pub services: usize,
    /// Capacity of each target, in concurrent requests.
    pub capacity: u32,
    /// Whether traffic between daemons, to the platform and to targets passes through the fault proxy.
    pub proxied: bool,
    /// Whether each daemon gets the peer addresses of all others as seeds.
    pub seeded: bool,
    /// Overlay that is merged over the settings of each daemon.
    pub settings: Value,
    /// Overlay of the configuration, published as the file `90-overlay.json`.
    pub config: Value,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            centres: vec![("recife-a", 2), ("recife-b", 2)],
            engines: 1,
            shared_process_engines: 0,
            services: 1,
            capacity: 64,
            proxied: false,
            seeded: true,
            settings: json!({}),
            config: json!({}),
        }
    }
}

/// Customers of the test configuration; the bearer key of each is its name with the suffix `-key`.
pub const CUSTOMERS: [&str; 3] = ["contabil", "ekthetis", "balcao"];

/// The bearer key of a test customer.
pub fn bearer_key(customer: &str) -> String {
    format!("{customer}-key")
}

/// Name and addresses of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    /// Daemon name in the roster.
    pub name: String,
    /// Data centre of the daemon.
    pub centre: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Peer address that the daemon binds.
    pub peer: SocketAddr,
    /// Peer address in the roster; a proxy route if the fleet is proxied.
    pub advertised_peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address at which this daemon reaches the platform; a proxy route if the fleet is proxied.
    pub platform: SocketAddr,
}

/// Name, addresses and host list state of one target.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Target name in the host list.
    pub name: String,
    /// Data centre of the target.
    pub centre: String,
    /// Workload of the target: `intake` for engines, `filings` for services.
    pub workload: &'static str,
    /// Address that the target binds.
    pub address: SocketAddr,
    /// Address in the host list; a proxy route if the fleet is proxied.
    pub advertised_address: SocketAddr,
    /// Incarnation for the next start and for the host list.
    pub incarnation: u64,
    /// Capacity in the host list, in concurrent requests.
    pub capacity: u32,
    /// Whether the host list has the state `leaving`.
    pub leaving: bool,
}

/// The configuration files by name: the base configuration and `overlay`.
pub fn config_files(daemons: &[DaemonSpec], overlay: &Value) -> BTreeMap<String, String> {
    let roster: BTreeMap<&str, Value> = daemons
        .iter()
        .map(|daemon| {
            let entry = json!({ "data_centre": daemon.centre, "peer": daemon.advertised_peer });
            (daemon.name.as_str(), entry)
        })
        .collect();
    let customers: BTreeMap<&str, Value> = CUSTOMERS
        .iter()
        .map(|name| (*name, json!({ "key_sha256": [sha256_hex(&bearer_key(name))] })))
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
        // All processes use the clock of this machine.
        "claims": { "max_clock_error_ms": 20 },
        "routing": { "hold_down_ms": 300, "slow_start_ms": 500 },
    });
    let files = [("10-base.json", &base), ("90-overlay.json", overlay)];
    files.into_iter().map(|(name, value)| (name.to_owned(), value.to_string())).collect()
}

/// The host list files by name, one for each data centre.
pub fn host_files(targets: &[TargetSpec]) -> BTreeMap<String, String> {
    let mut by_centre: BTreeMap<&str, Vec<Value>> = BTreeMap::new();
    for target in targets {
        by_centre.entry(&target.centre).or_default().push(json!({
            "name": target.name,
            "address": target.advertised_address,
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

/// The settings of one daemon, with `overlay` merged over them.
pub fn daemon_settings(
    daemon: &DaemonSpec,
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
        // Tests ping ten times as often as production, which needs ten times the gossip budget.
        "limits": { "gossip_bytes": 10_000 },
        "timing": {
            "gossip_ms": 100, "probe_ms": 200, "watch_ms": 5_000, "backoff_ms": 50,
            "backoff_max_ms": 400, "drain_announce_ms": 300,
        },
    });
    merge(&mut settings, overlay);
    settings
}

/// Merges `overlay` into `base`: objects key by key, all other values are replaced.
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

fn sha256_hex(bearer: &str) -> String {
    Sha256::digest(bearer.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
