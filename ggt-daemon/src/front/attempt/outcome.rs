//! Applies the outcome of each send to its target's health, and logs it.

use crate::clock::mono_now;
use crate::front::attempt::FailureKind;
use crate::front::attempt::SentTarget;
use crate::front::attempt::UpstreamAttempts;
use crate::front::state::CONNECT_TIMEOUT;
use crate::logging::quoted;
use crate::upstream::TargetConnection;
use ggt_core::clock::MonoTime;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetKey;

impl UpstreamAttempts {
    /// Applies a target's statement that it did not run the request.
    ///
    /// A refusal counts against the target only if this daemon and its peers have fewer requests
    /// there than it has slots.
    pub(super) fn record_refusal(&self, key: TargetKey, is_misdirected: bool) {
        if is_misdirected {
            // Another target has taken over the address.
            self.state.connections.close_idle(key);
            self.record_outcome(key, SendOutcome::Unreachable);
            return;
        }
        let has_free_slots = {
            let pool = self.state.pool.borrow();
            pool.target(key).is_some_and(|target| target.requests() < target.record.slots)
        };
        if has_free_slots {
            self.record_outcome(key, SendOutcome::Bad);
        }
    }

    /// Applies the failure of a request that may have run.
    pub(super) async fn record_failure(&self, key: TargetKey, cause: &str, kind: FailureKind) {
        self.record_send(key, "lost", cause);
        self.record_outcome(key, SendOutcome::Bad);
        if kind == FailureKind::Reset {
            self.check_crash().await;
        }
    }

    /// Opens a new connection to find out whether the target of the last send crashed while it ran
    /// the request; if that fails, a crash is recorded against the request's fingerprint. Returns
    /// the connection.
    pub(super) async fn check_crash(&self) -> Option<TargetConnection> {
        let SentTarget { key, address, crash } = self.sent_target?;
        let e = match TargetConnection::open(address, CONNECT_TIMEOUT).await {
            Ok(connection) => return Some(connection),
            Err(e) => e,
        };
        self.record_outcome(key, SendOutcome::Unreachable);
        self.state.connections.close_idle(key);
        self.state.record_crash(&self.job, crash, &e.to_string());
        None
    }

    /// Applies an outcome to the target's health, and logs a hold-down that starts with it.
    pub(super) fn record_outcome(&self, key: TargetKey, outcome: SendOutcome) {
        let held_until = self.state.pool.borrow_mut().record_outcome(key, outcome, mono_now());
        if let Some(held_until) = held_until {
            self.log_hold_down(key, held_until);
        }
    }

    fn log_hold_down(&self, key: TargetKey, held_until: MonoTime) {
        let pool = self.state.pool.borrow();
        let Some(target) = pool.target(key) else { return };
        log::warn!(
            "event=hold target={} data_centre={} incarnation={} for_ms={} unreachable={} \
             bad_share={:.2}",
            target.record.id,
            target.record.data_centre,
            target.record.incarnation,
            held_until.millis_since(mono_now()),
            target.health.is_unreachable(),
            target.health.bad_share(),
        );
    }

    /// Counts and logs a send that produced no usable reply.
    pub(super) fn record_send(&self, key: TargetKey, outcome: &'static str, cause: &str) {
        self.state.metrics.record_send(outcome);
        let pool = self.state.pool.borrow();
        let id = pool.target(key).map_or("gone", |target| target.record.id.as_str());
        log::info!(
            "event=send request_id={} target={id} outcome={outcome} cause={} send={} after_ms={}",
            quoted(&self.job.id),
            quoted(cause),
            self.sends,
            mono_now().millis_since(self.job.received_at),
        );
    }
}
