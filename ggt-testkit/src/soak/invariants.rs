//! Records which requests servers ran and which responses callers got, and checks that they agree.

use std::collections::BTreeMap;
use std::sync::Mutex;

use ggt_standin::server::lock;

use crate::soak::SoakOutcome;

/// Executions and not-executed responses by attempt id, and the outcome of the soak.
#[derive(Default)]
pub(super) struct InvariantChecker {
    runs: Mutex<BTreeMap<String, usize>>,
    not_executed: Mutex<BTreeMap<String, u16>>,
    outcome: Mutex<SoakOutcome>,
}

impl InvariantChecker {
    /// Records that a server began to run a request; `once` if the request must not run twice.
    pub(super) fn record_run(&self, id: &str, once: bool) {
        let count = {
            let mut runs = lock(&self.runs);
            let count = runs.entry(id.to_owned()).or_default();
            *count += 1;
            *count
        };
        if once && count > 1 {
            self.record_violation(format!("{id} ran {count} times"));
        }
        if once && let Some(status) = lock(&self.not_executed).get(id) {
            self.record_violation(format!("{id} ran after it was answered with status {status}"));
        }
    }

    /// Records a response that guarantees that the request has not run and will not run.
    pub(super) fn record_not_executed(&self, id: &str, status: u16) {
        lock(&self.not_executed).insert(id.to_owned(), status);
        if lock(&self.runs).contains_key(id) {
            self.record_violation(format!(
                "{id} was answered with status {status} although it had run"
            ));
        }
    }

    pub(super) fn record_request(&self) {
        lock(&self.outcome).requests += 1;
    }

    pub(super) fn record_answered(&self) {
        lock(&self.outcome).answered += 1;
    }

    pub(super) fn record_crash(&self) {
        lock(&self.outcome).crashes += 1;
    }

    pub(super) fn record_late_call(&self) {
        lock(&self.outcome).late_calls += 1;
    }

    pub(super) fn record_limited_request(&self) {
        lock(&self.outcome).limited_requests += 1;
    }

    pub(super) fn record_fault(&self, fault: String) {
        lock(&self.outcome).faults.push(fault);
    }

    pub(super) fn record_violation(&self, what: String) {
        lock(&self.outcome).violations.push(what);
    }

    pub(super) fn outcome(&self) -> SoakOutcome {
        lock(&self.outcome).clone()
    }
}
