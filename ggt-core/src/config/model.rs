//! Schema of the published configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::CentreName;
use crate::ident::CustomerName;
use crate::ident::DaemonName;
use crate::ident::WorkloadName;

/// The whole merged configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigModel {
    /// The daemons of the fleet.
    pub roster: RosterSection,
    /// Customers by name.
    pub customers: BTreeMap<CustomerName, CustomerSection>,
    /// Workloads by name.
    pub workloads: BTreeMap<WorkloadName, WorkloadSection>,
    /// Rules by name, matched by ascending `order` and then by name.
    pub rules: BTreeMap<String, RuleSection>,
    /// Choice of targets.
    pub routing: RoutingSection,
    /// Fair shares of customers in an overloaded workload.
    pub limits: LimitSection,
    /// Claims on the keys of non-idempotent requests.
    pub claims: ClaimSection,
}

/// The daemons of the fleet, with the epochs in which they belong to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RosterSection {
    /// Version of the roster; must rise with each change of it.
    pub epoch: u64,
    /// Daemons by name.
    pub daemons: BTreeMap<DaemonName, DaemonSection>,
}

/// One daemon of the roster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSection {
    /// Data centre in which the daemon runs.
    pub data_centre: CentreName,
    /// Address for other daemons, on TCP and UDP.
    pub peer: SocketAddr,
    /// The roster epoch that added the daemon.
    #[serde(default)]
    pub added: u64,
    /// The roster epoch that removed the daemon, `None` while it belongs to the roster.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub removed: Option<u64>,
}

impl DaemonSection {
    /// Whether the daemon belongs to the roster of `epoch`.
    pub fn belongs_to(&self, epoch: u64) -> bool {
        self.added <= epoch && self.removed.is_none_or(|removed| epoch < removed)
    }
}

/// A customer's bearer keys and its weight among the customers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSection {
    /// SHA-256 of each valid bearer key, as 64 hexadecimal digits.
    pub key_sha256: Vec<String>,
    /// Share of an overloaded workload, relative to the other customers.
    #[serde(default = "one")]
    pub weight: f64,
    /// Priority that is sent to engines that support priorities; a higher one is served first.
    #[serde(default)]
    pub priority: i32,
}

/// A workload's timeouts and the features that its targets support.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadSection {
    /// Maximum time to the first byte of a reply, in milliseconds.
    #[serde(default = "default_first_byte_ms")]
    pub first_byte_timeout_ms: u64,
    /// Maximum time between two chunks of a reply, in milliseconds.
    #[serde(default = "default_idle_ms")]
    pub idle_timeout_ms: u64,
    /// Whether the targets can resume an interrupted reply.
    #[serde(default)]
    pub resumable: bool,
    /// Whether the targets refuse requests with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A rule that assigns matching requests to a workload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSection {
    /// Rules with a lower order are matched first.
    #[serde(default)]
    pub order: i64,
    /// Customers to which the rule applies; all if empty.
    #[serde(default)]
    pub customers: Vec<CustomerName>,
    /// HTTP method of the request.
    pub method: String,
    /// Path of the request; a trailing `*` matches any suffix.
    pub path: String,
    /// Workload that serves the request.
    pub workload: WorkloadName,
    /// Whether the request must run at most once.
    #[serde(default)]
    pub non_idempotent: bool,
}

/// Settings for the choice of targets, retries and requests that crash targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSection {
    /// Load bound for a target, as a multiple of the mean load.
    pub max_load_ratio: f64,
    /// Delay with which load reports of targets reach the daemons, in milliseconds.
    pub load_lag_ms: u64,
    /// First hold-down of a flapping target, in milliseconds; doubles with each flap.
    pub hold_down_ms: u64,
    /// Maximum hold-down, in milliseconds.
    pub hold_down_max_ms: u64,
    /// Duration of the slow start of a target that joined, restarted or recovered, in milliseconds.
    pub slow_start_ms: u64,
    /// Retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Crashes of distinct targets after which a request is refused.
    pub crash_limit: u32,
    /// Time for which such a request is refused, in milliseconds.
    pub crash_refusal_ms: u64,
}

impl Default for RoutingSection {
    fn default() -> Self {
        Self {
            max_load_ratio: 1.25,
            load_lag_ms: 1_000,
            hold_down_ms: 5_000,
            hold_down_max_ms: 300_000,
            slow_start_ms: 10_000,
            retry_ratio: 0.2,
            crash_limit: 3,
            crash_refusal_ms: 600_000,
        }
    }
}

/// Fair shares of customers in an overloaded workload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSection {
    /// Utilisation of a workload's targets from which the shares are enforced.
    pub share_from: f64,
    /// Delay after which a refused caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl Default for LimitSection {
    fn default() -> Self {
        Self { share_from: 0.85, retry_after_ms: 1_000 }
    }
}

/// Treatment of idempotency keys without a creation time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlainKeys {
    /// Such keys are refused: keys must be UUIDs of version 7.
    #[default]
    Refuse,
    /// Such keys are accepted and their claims stored for one resend window; a restarted holder
    /// abstains from them for as long.
    Window,
}

/// Claims on the keys of non-idempotent requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSection {
    /// Time for which a key may be sent again, in milliseconds.
    pub resend_window_ms: u64,
    /// Time after a grant within which the action must be sent, in milliseconds.
    pub grant_ms: u64,
    /// Largest difference between any two wall clocks, in milliseconds.
    pub max_clock_error_ms: u64,
    /// Timeout of a request to a holder, in milliseconds.
    pub holder_timeout_ms: u64,
    /// Treatment of keys without a creation time.
    pub plain_keys: PlainKeys,
}

impl Default for ClaimSection {
    fn default() -> Self {
        Self {
            resend_window_ms: 3_600_000,
            grant_ms: 5_000,
            max_clock_error_ms: 2_000,
            holder_timeout_ms: 1_000,
            plain_keys: PlainKeys::Refuse,
        }
    }
}

fn one() -> f64 {
    1.0
}

fn default_first_byte_ms() -> u64 {
    30_000
}

fn default_idle_ms() -> u64 {
    30_000
}
