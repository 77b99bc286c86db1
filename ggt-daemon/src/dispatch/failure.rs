//! What a failed attempt shows about its target: its health, and whether it crashed.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::mono_now;
use crate::dispatch::RequestJob;
use crate::dispatch::exchange::AttemptTarget;
use crate::lock::lock;
use crate::peers::broadcast_crash;
use crate::probes::ProbeFailure;
use crate::probes::ProbeReply;
use crate::probes::probe;
use crate::state::ActiveConfig;
use crate::state::SharedState;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::SuspectKey;
use ggt_core::silence::MAX_SOUND_SILENCE_MS;

/// Pause between two probes of a silent target.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Records a failure to reach a target, which may have been only silent.
pub(super) fn record_unreached(
    state: &SharedState,
    config: &ActiveConfig,
    target: &AttemptTarget,
    is_silence: bool,
) {
    let mut routing = lock(&state.routing);
    let hold = &config.routing.hold;
    let is_newly_down = match is_silence {
        true => routing.record_silence(target.key, hold, mono_now()),
        false => routing.record_failure(target.key, hold, mono_now()),
    };
    if is_newly_down {
        log::info!("event=target target={} status=down cause=call", target.name);
    }
}

/// Records a failed attempt whose request was sent, and probes the target. One that has ended or
/// restarted counts as a crash that this request may have caused; one that is silent is probed
/// again in the background.
pub(super) async fn record_failure(
    state: &Arc<SharedState>,
    config: &ActiveConfig,
    job: &RequestJob,
    target: &AttemptTarget,
) {
    match probe_async(state, target.address).await {
        Ok(reply) => {
            let mut routing = lock(&state.routing);
            routing.apply_report(target.key, reply.incarnation, reply.report);
            drop(routing);
            if reply.incarnation != target.incarnation {
                report_crash(state, target, job.suspects().keys(), &job.request_id);
            }
        }
        Err(failure) => {
            record_unreached(state, config, target, failure.is_silence);
            match failure.is_silence {
                true => check_silent_target(state, job, target),
                false => report_crash(state, target, job.suspects().keys(), &job.request_id),
            }
        }
    }
}

/// Suspects a request and its chat of a crash of the target, at all daemons.
fn report_crash(
    state: &SharedState,
    target: &AttemptTarget,
    suspects: &[SuspectKey],
    request_id: &str,
) {
    let crash = CrashId::of(target.hash, target.incarnation);
    for suspect in suspects {
        broadcast_crash(state, *suspect, crash);
        log::warn!(
            "event=crash request_id={request_id} target={} incarnation={} print={:016x}",
            target.name,
            target.incarnation,
            suspect.0,
        );
    }
}

/// Probes a silent target until it replies or has been silent for longer than a sound one may be,
/// which counts as a crash like any other end. A target is probed by one task at a time, also when
/// several requests wait for the result.
fn check_silent_target(state: &Arc<SharedState>, job: &RequestJob, target: &AttemptTarget) {
    let crash = CrashId::of(target.hash, target.incarnation);
    let waiting = (job.request_id.clone(), job.suspects().keys().to_vec());
    let mut silent = lock(&state.silent_targets);
    let is_checked = silent.contains_key(&crash);
    silent.entry(crash).or_default().push(waiting);
    drop(silent);
    if is_checked {
        return;
    }
    let (state, target) = (state.clone(), target.clone());
    tokio::spawn(async move {
        let has_crashed = has_silent_target_crashed(&state, &target).await;
        let waiting = lock(&state.silent_targets).remove(&crash).unwrap_or_default();
        for (request_id, suspects) in waiting.iter().filter(|_| has_crashed) {
            report_crash(&state, &target, suspects, request_id);
        }
    });
}

async fn has_silent_target_crashed(state: &Arc<SharedState>, target: &AttemptTarget) -> bool {
    let silent_until = mono_now() + MAX_SOUND_SILENCE_MS;
    loop {
        sleep(SILENCE_CHECK_INTERVAL).await;
        match probe_async(state, target.address).await {
            Ok(reply) => return reply.incarnation != target.incarnation,
            Err(failure) if !failure.is_silence || mono_now() >= silent_until => return true,
            Err(_) => {}
        }
    }
}

/// Runs the blocking probe outside the async threads.
async fn probe_async(
    state: &Arc<SharedState>,
    address: std::net::SocketAddr,
) -> Result<ProbeReply, ProbeFailure> {
    let state = state.clone();
    let probed = tokio::task::spawn_blocking(move || probe(&state, address)).await;
    // A probe that could not be carried out shows nothing about the target.
    probed.unwrap_or_else(|e| Err(ProbeFailure { cause: e.to_string(), is_silence: true }))
}
