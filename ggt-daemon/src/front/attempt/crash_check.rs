//! Finds out whether the target of a send crashed while it ran the request.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::attempt::SentTarget;
use crate::front::attempt::UpstreamAttempts;
use crate::front::job::FrontJob;
use crate::front::state::FrontState;
use crate::upstream::ConnectError;
use crate::upstream::TargetConnection;
use ggt_core::silence::MAX_SOUND_SILENCE_MS;

/// Milliseconds without a reply to any request after which a silent target is checked for a crash.
const MIN_SILENCE_MS: u64 = 250;
/// Milliseconds between two probes of a silent target.
const PROBE_INTERVAL_MS: u64 = 500;
/// Pause between two checks of a target that does not respond.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

impl UpstreamAttempts {
    /// Records that the target of the last send was silent for too long. Checks whether it crashed,
    /// unless it has replied to other requests meanwhile; the caller waits for the check only if
    /// the result decides whether the request may be sent again.
    pub(super) async fn check_silent_target(&self, cause: &str) {
        let Some(target) = self.sent_target else { return };
        let Some(check) = check_silence(&self.state, &self.job, target, cause) else { return };
        let may_retry = mono_now() < self.job.deadline;
        if may_retry && self.state.is_next_crash_decisive(&self.job) {
            // The check only fails if the runtime shuts down.
            let _ = check.await;
        }
    }

    /// Whether the target of the last send is known to have ended. One that is leaving may refuse
    /// connections and still complete its replies.
    pub(super) fn has_target_ended(&self) -> bool {
        let Some(target) = self.sent_target else { return false };
        let pool = self.state.pool.borrow();
        let is_leaving = pool
            .target(target.key)
            .is_some_and(|state| state.record.is_leaving || state.remove_at.is_some());
        !is_leaving && self.state.losses.borrow().has_ended(target.crash)
    }

    /// Opens a connection to the target of the last send, to find out whether it has ended; at most one
    /// in `PROBE_INTERVAL_MS` for all requests, and none if it has replied to another lately.
    pub(super) async fn probe_target(&self) {
        let Some(target) = self.sent_target else { return };
        if !has_replied_lately(&self.state, target) && self.begin_probe(target) {
            // The outcome has been recorded.
            let _ = check_target(self.state.clone(), target).await;
        }
    }

    fn begin_probe(&self, target: SentTarget) -> bool {
        let now = mono_now();
        let mut probes = self.state.target_probes.borrow_mut();
        probes.retain(|_, next_at| now < *next_at);
        if probes.contains_key(&target.crash) {
            return false;
        }
        probes.insert(target.crash, now + PROBE_INTERVAL_MS);
        true
    }

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
        check.await.ok()?.ok()
    }

    /// Applies a failure to connect to the target of the present send: replies that other requests
    /// lost at it count as crashes if it has ended.
    pub(super) async fn record_connect_failure(&self, error: &ConnectError) {
        if let Some(target) = self.sent_target {
            judge_connect_failure(&self.state, target, error).await;
        }
    }
}

/// Records that a target was silent for too long. Begins a check whether it crashed, unless that is
/// known or it has replied to other requests meanwhile.
pub(super) fn check_silence(
    state: &Rc<FrontState>,
    job: &FrontJob,
    target: SentTarget,
    cause: &str,
) -> Option<JoinHandle<Result<TargetConnection, ConnectError>>> {
    if state.record_loss(job, target.crash, cause) || has_replied_lately(state, target) {
        return None;
    }
    Some(spawn_local(check_target(state.clone(), target)))
}

fn has_replied_lately(state: &FrontState, target: SentTarget) -> bool {
    let pool = state.pool.borrow();
    let last_reply_at = pool.target(target.key).map(|state| state.last_reply_at);
    last_reply_at.is_some_and(|at| mono_now().millis_since(at) < MIN_SILENCE_MS)
}

/// Opens a connection to a target, and records a failure.
pub(super) async fn check_target(
    state: Rc<FrontState>,
    target: SentTarget,
) -> Result<TargetConnection, ConnectError> {
    let opened = state.connect_target(target.key, target.address).await;
    if let Err(e) = &opened {
        state.record_outcome(target.key, e.outcome());
        state.connections.close_idle(target.key);
        judge_connect_failure(&state, target, e).await;
    }
    opened
}

/// Records the end of a target that refuses connections. One that does not respond may be sound, and is
/// checked again in the background.
async fn judge_connect_failure(state: &Rc<FrontState>, target: SentTarget, error: &ConnectError) {
    if error.is_refused() {
        record_end(state, target, error).await;
    } else if error.is_target_down()
        && !state.losses.borrow().has_ended(target.crash)
        && state.target_checks.borrow_mut().insert(target.crash)
    {
        spawn_local(check_again(state.clone(), target));
    }
}

/// Checks an unresponsive target until it accepts or refuses a connection, or has been unresponsive for
/// longer than a sound one may be: it has ended then.
async fn check_again(state: Rc<FrontState>, target: SentTarget) {
    let deadline = mono_now() + MAX_SOUND_SILENCE_MS;
    let error = loop {
        sleep(CHECK_INTERVAL).await;
        match state.connect_target(target.key, target.address).await {
            Ok(_) => break None,
            Err(e) if e.is_refused() || mono_now() >= deadline => break Some(e),
            Err(_) => {}
        }
    };
    state.target_checks.borrow_mut().remove(&target.crash);
    if let Some(error) = error.filter(ConnectError::is_target_down) {
        record_end(&state, target, &error).await;
    }
}

/// Records the end of a target that does not accept connections, unless its whole data centre seems
/// to be partitioned from this daemon, or this daemon from all targets.
async fn record_end(state: &Rc<FrontState>, target: SentTarget, error: &ConnectError) {
    if state.losses.borrow().has_ended(target.crash) {
        state.record_target_end(target.crash, &error.to_string());
        return;
    }
    state.record_outcome(target.key, error.outcome());
    if state.pool.borrow().is_centre_unreachable(target.key)
        || state.reaches_no_other(target.key).await
    {
        log::info!("event=crash-unclear death={:016x} cause=partition", target.crash.0);
        return;
    }
    state.record_target_end(target.crash, &error.to_string());
}
