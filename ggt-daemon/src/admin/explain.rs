//! Routing decision for a request, computed without sending it.

use serde::Serialize;
use snafu::Snafu;

use crate::clock::mono_now;
use crate::lock::lock;
use crate::state::SharedState;
use ggt_core::ident::CustomerName;
use ggt_core::ident::mix_hash;
use ggt_core::ident::stable_hash;
use ggt_core::routing::RouteQuery;
use ggt_core::routing::rendezvous_score;

/// Why no routing decision can be computed.
#[derive(Debug, Snafu)]
pub enum ExplainError {
    /// No configuration is active yet.
    #[snafu(display("no configuration is in force"))]
    NotReady,
    /// No rule of the configuration matches.
    #[snafu(display("no rule matches {method} {path} for customer {customer}"))]
    NoRule {
        /// HTTP method.
        method: String,
        /// Path without query.
        path: String,
        /// Name of the customer.
        customer: String,
    },
}

/// Routing decision for a request.
#[derive(Clone, Debug, Serialize)]
pub struct ExplainReport {
    /// Name of the matching rule.
    pub rule: String,
    /// Workload of the rule.
    pub workload: String,
    /// Whether the rule marks requests as non-idempotent.
    pub non_idempotent: bool,
    /// Name of the chosen target, or `-` if there is none.
    pub choice: String,
    /// Reason for the choice, or why there is none.
    pub reason: String,
    /// Targets of the workload in the chat's rendezvous order, best first.
    pub order: Vec<ExplainedTarget>,
}

/// One target in a chat's rendezvous order.
#[derive(Clone, Debug, Serialize)]
pub struct ExplainedTarget {
    /// Name of the target.
    pub name: String,
    /// `ready`, `leaving`, `held`, `down` or `cut-off`; only a `ready` target gets new requests.
    pub status: &'static str,
    /// Estimated load, on the scale of `capacity`.
    pub load: f64,
}

/// Computes the routing decision for a request of a chat without sending anything.
pub(super) fn explain(
    state: &SharedState,
    customer: &str,
    method: &str,
    path: &str,
    chat: &str,
) -> Result<ExplainReport, ExplainError> {
    let config = state.active_config().ok_or(ExplainError::NotReady)?;
    let name = CustomerName::from(customer);
    let (rule_name, rule) =
        config.accepted.find_rule(&name, method, path).ok_or_else(|| ExplainError::NoRule {
            method: method.to_owned(),
            path: path.to_owned(),
            customer: customer.to_owned(),
        })?;
    let chat_hash = mix_hash(stable_hash(customer.as_bytes()), stable_hash(chat.as_bytes()));
    let now = mono_now();
    let routing = lock(&state.routing);
    let mut order: Vec<(f64, ExplainedTarget)> = routing
        .iter()
        .filter(|(_, entry)| entry.host.workload == rule.workload)
        .map(|(_, entry)| {
            let weight = f64::from(entry.host.capacity);
            let target = ExplainedTarget {
                name: entry.host.name.to_string(),
                status: routing.status(entry, now).as_str(),
                load: entry.load.value(config.routing.peer_scale),
            };
            (rendezvous_score(chat_hash, entry.hash(), weight), target)
        })
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    let query =
        RouteQuery { workload: &rule.workload, chat_hash, hint: None, is_new: false, tried: &[] };
    let (choice, reason) = match routing.choose(&query, &config.routing, now) {
        Ok(chosen) => {
            let entry = routing.target(chosen.key);
            let name = entry.map_or_else(String::new, |entry| entry.host.name.to_string());
            (name, chosen.reason.to_string())
        }
        Err(e) => ("-".to_owned(), e.to_string()),
    };
    Ok(ExplainReport {
        rule: rule_name.to_owned(),
        workload: rule.workload.to_string(),
        non_idempotent: rule.non_idempotent,
        choice,
        reason,
        order: order.into_iter().map(|(_, target)| target).collect(),
    })
}
