//! What a failed attempt shows about its target: its health, and whether it crashed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
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

/// Pause between two probes of a target of which it is not known whether it has crashed.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Pause before a crash is confirmed, in which the connections to the other targets are lost as well
/// if this daemon is being cut off.
const CONFIRM_DELAY: Duration = Duration::from_millis(50);
/// Milliseconds after which such a target is no longer probed.
const CRASH_CHECK_MS: u64 = 60_000;

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
/// restarted counts as a crash that this request may have caused; one that is silent, or that cannot
/// be reached while no other target can, is probed again in the background.
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
            if !failure.is_silence && is_crash_confirmed(state, target).await {
                report_crash(state, target, job.suspects().keys(), &job.request_id);
            } else {
                check_target(state, job, target);
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

/// Whether a target that refused a probe is found to have crashed twice in a row.
async fn is_crash_confirmed(state: &Arc<SharedState>, target: &AttemptTarget) -> bool {
    if find_crash(state, target).await != Some(true) {
        return false;
    }
    sleep(CONFIRM_DELAY).await;
    find_crash(state, target).await == Some(true)
}

/// Whether a target that refused a probe has crashed; `None` if no other target is reached either,
/// since this daemon is then more likely cut off.
async fn find_crash(state: &Arc<SharedState>, target: &AttemptTarget) -> Option<bool> {
    let witnesses: Vec<SocketAddr> = {
        let routing = lock(&state.routing);
        let keys = routing.witnesses_of(target.key, mono_now()).into_iter();
        keys.filter_map(|key| Some(routing.target(key)?.address())).collect()
    };
    let is_only_target = witnesses.is_empty();
    let mut probes: JoinSet<bool> = JoinSet::new();
    for address in witnesses {
        let state = state.clone();
        probes.spawn(async move { probe_async(&state, address).await.is_ok() });
    }
    let mut is_reached = is_only_target;
    while !is_reached && let Some(probed) = probes.join_next().await {
        is_reached = probed.unwrap_or(false);
    }
    if !is_reached {
        return None;
    }
    // Probed again, as the connections may have been restored since the first probe.
    match probe_async(state, target.address).await {
        Ok(reply) => Some(reply.incarnation != target.incarnation),
        Err(failure) => (!failure.is_silence).then_some(true),
    }
}

/// Probes a target in the background until it is known whether it has crashed: it replies, it has
/// been silent for longer than a sound one may be, or it refuses probes while another target replies.
/// A target is probed by one task at a time, also when several requests wait for the result.
fn check_target(state: &Arc<SharedState>, job: &RequestJob, target: &AttemptTarget) {
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
        let has_crashed = has_target_crashed(&state, &target).await;
        let waiting = lock(&state.silent_targets).remove(&crash).unwrap_or_default();
        for (request_id, suspects) in waiting.iter().filter(|_| has_crashed) {
            report_crash(&state, &target, suspects, request_id);
        }
    });
}

async fn has_target_crashed(state: &Arc<SharedState>, target: &AttemptTarget) -> bool {
    let silent_until = mono_now() + MAX_SOUND_SILENCE_MS;
    let checked_until = mono_now() + CRASH_CHECK_MS;
    while mono_now() < checked_until {
        sleep(CRASH_CHECK_INTERVAL).await;
        match probe_async(state, target.address).await {
            Ok(reply) => return reply.incarnation != target.incarnation,
            Err(failure) if failure.is_silence && mono_now() >= silent_until => return true,
            Err(failure) if failure.is_silence => {}
            Err(_) if is_crash_confirmed(state, target).await => return true,
            Err(_) => {}
        }
    }
    false
}

/// Runs the blocking probe outside the async threads.
async fn probe_async(
    state: &Arc<SharedState>,
    address: SocketAddr,
) -> Result<ProbeReply, ProbeFailure> {
    let state = state.clone();
    let probed = tokio::task::spawn_blocking(move || probe(&state, address)).await;
    // A probe that could not be carried out shows nothing about the target.
    probed.unwrap_or_else(|e| Err(ProbeFailure { cause: e.to_string(), is_silence: true }))
}
