//! Finds out whether the target of a send crashed while it ran the request.

use std::rc::Rc;

use tokio::task::spawn_local;

use crate::front::attempt::SentTarget;
use crate::front::attempt::UpstreamAttempts;
use crate::front::state::CONNECT_TIMEOUT;
use crate::front::state::FrontState;
use crate::upstream::ConnectError;
use crate::upstream::TargetConnection;
use ggt_core::targets::SendOutcome;

impl UpstreamAttempts {
    /// Records that the reply of the last send was lost, and opens a new connection to its target.
    /// If the target does not accept it, the loss counts as a crash; otherwise returns the
    /// connection.
    pub(super) async fn check_crash(&self, cause: &str) -> Option<TargetConnection> {
        let target = self.sent_target?;
        if self.state.record_loss(&self.job, target.crash, cause) {
            return None;
        }
        // A task of its own, so that the check ends also if the caller disconnects.
        let check = spawn_local(check_target(self.state.clone(), target));
        check.await.ok().flatten()
    }

    /// Applies a failure to connect to the target of the present send: replies that other requests
    /// lost at it count as crashes.
    pub(super) fn record_connect_failure(&self, error: &ConnectError) {
        if let Some(target) = self.sent_target {
            judge_connect_failure(&self.state, target, error);
        }
    }
}

async fn check_target(state: Rc<FrontState>, target: SentTarget) -> Option<TargetConnection> {
    match TargetConnection::open(target.address, CONNECT_TIMEOUT).await {
        Ok(connection) => Some(connection),
        Err(e) => {
            state.record_outcome(target.key, SendOutcome::Unreachable);
            state.connections.close_idle(target.key);
            judge_connect_failure(&state, target, &e);
            None
        }
    }
}

/// Records the end of a target that does not accept connections, unless its whole data centre seems
/// to be partitioned from this daemon.
fn judge_connect_failure(state: &FrontState, target: SentTarget, error: &ConnectError) {
    if !error.is_target_down() {
        return;
    }
    if state.pool.borrow().is_centre_unreachable(target.key) {
        log::info!("event=crash-unclear death={:016x} cause=partition", target.crash.0);
        return;
    }
    state.record_target_end(target.crash, &error.to_string());
}
