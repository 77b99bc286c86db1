//! The shape of the published configuration.

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
    /// Rules by name, tried in the order of `order` and then of their names.
    pub rules: BTreeMap<String, RuleSection>,
    /// How targets are chosen.
    pub routing: RoutingSection,
    /// How customers share a workload that is full.
    pub limits: LimitSection,
    /// How one-time actions are claimed.
    pub claims: ClaimSection,
}

/// The daemons of the fleet and the epochs in which they hold claims.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RosterSection {
    /// Rises with each change of the roster.
    pub epoch: u64,
    /// Daemons by name.
    pub daemons: BTreeMap<DaemonName, DaemonSection>,
}

/// One daemon of the roster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSection {
    /// The data centre that the daemon stands in.
    pub data_centre: CentreName,
    /// Where other daemons reach it, by TCP and by UDP.
    pub peer: SocketAddr,
    /// The roster epoch that added the daemon.
    #[serde(default)]
    pub added: u64,
    /// The roster epoch that removed the daemon, if one has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub removed: Option<u64>,
}

impl DaemonSection {
    /// Whether the daemon belongs to the roster of `epoch`.
    pub fn belongs_to(&self, epoch: u64) -> bool {
        self.added <= epoch && self.removed.is_none_or(|removed| epoch < removed)
    }
}

/// One customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSection {
    /// SHA-256 of each bearer key in force, as 64 hexadecimal digits.
    pub key_sha256: Vec<String>,
    /// The customer's share of a full workload, relative to the others.
    #[serde(default = "one")]
    pub weight: f64,
    /// Passed on to engines that honour priorities; higher goes first.
    #[serde(default)]
    pub priority: i32,
}

/// One workload: what its targets are and how long its requests may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadSection {
    /// Milliseconds that a target may take to its first byte.
    #[serde(default = "default_first_byte_ms")]
    pub first_byte_timeout_ms: u64,
    /// Milliseconds that a target may stay silent within a reply.
    #[serde(default = "default_idle_ms")]
    pub idle_timeout_ms: u64,
    /// Whether the targets offer to resume a broken reply.
    #[serde(default)]
    pub resumable: bool,
    /// Whether the targets refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// One rule: which requests go to which workload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSection {
    /// Rules with a lower order are tried first.
    #[serde(default)]
    pub order: i64,
    /// Customers that the rule serves; all when empty.
    #[serde(default)]
    pub customers: Vec<CustomerName>,
    /// The request's method.
    pub method: String,
    /// The request's path; a trailing `*` matches any rest.
    pub path: String,
    /// The workload that serves the request.
    pub workload: WorkloadName,
    /// Whether the request must not run twice.
    #[serde(default)]
    pub non_idempotent: bool,
}

/// How targets are chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSection {
    /// The most load a target may carry, as a multiple of the mean.
    pub max_load_ratio: f64,
    /// How late the targets' load reports reach the daemons, in milliseconds.
    pub load_lag_ms: u64,
    /// First hold-down of a flapping target, in milliseconds; doubles with each flap.
    pub hold_down_ms: u64,
    /// Longest hold-down, in milliseconds.
    pub hold_down_max_ms: u64,
    /// Milliseconds over which a returning target takes up its full share.
    pub slow_start_ms: u64,
    /// Retries allowed for each first attempt.
    pub retry_ratio: f64,
    /// Deaths of distinct targets after which a request is refused.
    pub crash_limit: u32,
    /// Milliseconds for which a crashing request stays refused.
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

/// How customers share a workload that is full.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSection {
    /// Utilisation of a workload's targets from which customers are held to their shares.
    pub share_from: f64,
    /// Milliseconds after which a refused caller is told to come back.
    pub retry_after_ms: u64,
}

impl Default for LimitSection {
    fn default() -> Self {
        Self { share_from: 0.85, retry_after_ms: 1_000 }
    }
}

/// What a key without a minting time gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlainKeys {
    /// A clear refusal: keys must be UUIDs of version 7.
    #[default]
    Refuse,
    /// Remembered for the resend window only; a restarted holder abstains for as long.
    Window,
}

/// How one-time actions are claimed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSection {
    /// Milliseconds for which a key may be sent again.
    pub resend_window_ms: u64,
    /// Milliseconds after a grant within which the action must leave.
    pub grant_ms: u64,
    /// Largest difference between any two wall clocks, in milliseconds.
    pub max_clock_error_ms: u64,
    /// Milliseconds that a daemon waits for a holder's answer.
    pub holder_timeout_ms: u64,
    /// What a key without a minting time gets.
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
