//! Applies the outcome of each send to its target's health, and logs it.

use crate::clock::mono_now;
use crate::front::attempt::FailureKind;
use crate::front::attempt::ReplyFailure;
use crate::front::attempt::UpstreamAttempts;
use crate::logging::quoted;
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
            self.state.record_replacement(key);
            self.state.record_outcome(key, SendOutcome::Unreachable);
            if let Some(target) = self.sent_target {
                self.state.record_target_end(target.crash, "another instance replied");
            }
            return;
        }
        let has_free_slots = {
            let pool = self.state.pool.borrow();
            pool.target(key).is_some_and(|target| target.requests(mono_now()) < target.record.slots)
        };
        if has_free_slots {
            self.state.record_outcome(key, SendOutcome::Bad);
        }
    }

    /// Applies the failure of a request that may have run.
    pub(super) async fn record_failure(&self, key: TargetKey, failure: &ReplyFailure) {
        let ReplyFailure { kind, cause, received_bytes } = failure;
        let detail = format!(" kind={} bytes={received_bytes}", kind.as_str());
        self.log_send(key, "lost", cause, &detail);
        self.state.record_outcome(key, SendOutcome::Bad);
        match kind {
            FailureKind::Reset => drop(self.check_crash(cause).await),
            FailureKind::Timeout => self.check_silent_target(cause).await,
            FailureKind::StaleConnection | FailureKind::InvalidReply | FailureKind::TooLong => {}
        }
    }

    /// Counts and logs a send that produced no usable reply.
    pub(super) fn record_send(&self, key: TargetKey, outcome: &'static str, cause: &str) {
        self.log_send(key, outcome, cause, "");
    }

    fn log_send(&self, key: TargetKey, outcome: &'static str, cause: &str, detail: &str) {
        self.state.metrics.record_send(outcome);
        let pool = self.state.pool.borrow();
        let id = pool.target(key).map_or("gone", |target| target.record.id.as_str());
        log::info!(
            "event=send request_id={} target={id} outcome={outcome} cause={} send={} after_ms={}{detail}",
            quoted(&self.job.id),
            quoted(cause),
            self.sends,
            mono_now().millis_since(self.job.received_at),
        );
    }
}
