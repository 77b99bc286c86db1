//! Idempotent requests: retried on another target until the response has begun; a resumable reply
//! that breaks off is resumed on the same target.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use crate::clock::mono_now;
use crate::dispatch::Refusal;
use crate::dispatch::RequestContext;
use crate::dispatch::RequestEnd;
use crate::dispatch::RequestJob;
use crate::dispatch::ResponseSink;
use crate::dispatch::exchange;
use crate::dispatch::exchange::AttemptTarget;
use crate::dispatch::failure;
use crate::dispatch::sink::CancelRequest;
use crate::lock::lock;
use crate::state::ActiveConfig;
use crate::state::SharedState;
use crate::upstream::CallFailure;
use crate::upstream::TargetReply;
use ggt_core::retries::AttemptHistory;
use ggt_core::retries::FailedAttempt;
use ggt_core::routing::TargetKey;
use ggt_core::verdict::RunVerdict;

/// Maximum number of times that the rest of one reply is requested.
const MAX_RESUMES: usize = 3;

/// How one attempt ended.
enum AttemptEnd {
    /// The complete response was forwarded.
    Complete,
    /// The caller disconnected or stopped reading.
    CallerDisconnected,
    /// The reply broke off or the deadline passed after the reply's headers were forwarded; no retry
    /// is possible.
    Interrupted,
    /// Failed before any reply was forwarded.
    Failed(CallFailure),
}

/// Why the rest of a reply is not to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResumeFailure {
    /// The target did not respond in time.
    Silent,
    /// The target has ended or restarted, or no longer has the reply; or the deadline has passed.
    Refused,
}

/// Serves an idempotent request.
pub(super) async fn serve_idempotent(
    context: &RequestContext,
    job: &RequestJob,
    sink: ResponseSink,
) {
    let state = &context.state;
    let Some(config) = state.active_config() else {
        let refusal = Refusal::not_run(503, "not-ready", "no configuration is in force");
        return exchange::refuse(state, job, sink, &refusal.retry_after(1_000)).await;
    };
    if let Some(refusal) = exchange::refuse_crashing(state, job) {
        return exchange::refuse(state, job, sink, &refusal).await;
    }
    let permit = match exchange::admit(state, &config, job) {
        Ok(permit) => permit,
        Err(refusal) => return exchange::refuse(state, job, sink, &refusal).await,
    };
    lock(&state.retry_budget).deposit(config.accepted.model.routing.retry_ratio);
    try_targets(state, &config, job, sink).await;
    lock(&state.shares).release(&permit);
}

async fn try_targets(
    state: &Arc<SharedState>,
    config: &ActiveConfig,
    job: &RequestJob,
    mut sink: ResponseSink,
) {
    let mut tried: Vec<TargetKey> = Vec::new();
    let mut history = AttemptHistory::default();
    loop {
        let target = match exchange::choose(state, config, job, &tried).await {
            Ok(target) => target,
            Err(refusal) => {
                let refusal = Refusal { verdict: history.verdict(), ..refusal };
                return exchange::refuse(state, job, sink, &refusal).await;
            }
        };
        tried.push(target.key);
        let end = attempt(state, job, &target, &mut sink).await;
        lock(&state.routing).record_done(target.key);
        let failure = match end {
            AttemptEnd::Complete => {
                exchange::record_completion(state, job);
                return sink.finish();
            }
            AttemptEnd::CallerDisconnected => return,
            AttemptEnd::Interrupted => {
                failure::record_failure(state, config, job, &target).await;
                return;
            }
            AttemptEnd::Failed(failure) => failure,
        };
        let verdict = failure.verdict();
        history.record(verdict);
        match verdict {
            RunVerdict::NotRun => {
                failure::record_unreached(state, config, &target, failure.is_silence());
            }
            _ => failure::record_failure(state, config, job, &target).await,
        }
        if let Some(refusal) = refuse_retry(state, job, &failure) {
            let refusal = Refusal { verdict: history.verdict(), ..refusal };
            return exchange::refuse(state, job, sink, &refusal).await;
        }
        state.metrics.record_retry(job.workload.as_str(), failure.as_str());
        log::info!(
            "event=retry request_id={} target={} cause={} verdict={verdict}",
            job.request_id,
            target.name,
            crate::logging::quoted(&failure.to_string()),
        );
    }
}

/// Returns `None` if another target may be tried, else the error for the caller. Its verdict is a
/// placeholder: [`try_targets`] sets the verdict over all attempts.
fn refuse_retry(state: &SharedState, job: &RequestJob, failure: &CallFailure) -> Option<Refusal> {
    let attempt =
        FailedAttempt { verdict: failure.verdict(), non_idempotent: false, reply_begun: false };
    let refusal = |status, cause, detail: String| {
        Some(Refusal::unknown(status, cause, detail).retry_after(1_000))
    };
    if let Some(refusal) = exchange::refuse_crashing(state, job) {
        return Some(refusal);
    }
    if mono_now() >= job.deadline {
        return refusal(504, "deadline", failure.to_string());
    }
    if !attempt.may_retry() || !lock(&state.retry_budget).withdraw() {
        return refusal(502, "target-failed", failure.to_string());
    }
    None
}

async fn attempt(
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    sink: &mut ResponseSink,
) -> AttemptEnd {
    if sink.caller().is_closed() {
        log_cut(job, target, 0, true);
        return AttemptEnd::CallerDisconnected;
    }
    let cancel = CancelRequest { address: target.address, request_id: job.request_id.clone() };
    sink.caller().set_cancel(Some(cancel));
    let head = exchange::target_headers(job);
    let reply = match exchange::send_on_idle(state, job, target, &head, job.deadline).await {
        Ok(reply) => reply,
        Err(failure) => {
            sink.caller().set_cancel(None);
            return AttemptEnd::Failed(failure);
        }
    };
    let status = reply.status;
    sink.send_head(exchange::response_head(state, job, target, &reply, RunVerdict::Ran));
    let mut forwarded = 0;
    let mut end = forward_body(state, job, target, reply, sink, &mut forwarded).await;
    for _ in 0..MAX_RESUMES {
        if !matches!(end, AttemptEnd::Interrupted) || !job.workload_section.resumable {
            break;
        }
        end = match resume(state, job, target, forwarded).await {
            Ok(reply) => forward_body(state, job, target, reply, sink, &mut forwarded).await,
            // The target may be sound and go on.
            Err(ResumeFailure::Silent) => continue,
            Err(ResumeFailure::Refused) => break,
        };
    }
    sink.caller().set_cancel(None);
    if matches!(end, AttemptEnd::Complete) {
        exchange::record_done(state, job, target, status, RunVerdict::Ran, forwarded);
    } else {
        let caller_left = matches!(end, AttemptEnd::CallerDisconnected);
        log_cut(job, target, forwarded, caller_left);
    }
    end
}

/// Logs the end of a request whose response was not forwarded to its end.
fn log_cut(job: &RequestJob, target: &AttemptTarget, forwarded: usize, caller_left: bool) {
    job.end.mark_logged();
    log::info!(
        "event=cut request_id={} target={} bytes={forwarded} caller_left={caller_left}",
        job.request_id,
        target.name,
    );
}

/// Requests the rest of a reply that broke off after `forwarded` bytes, from the same incarnation of
/// the target.
async fn resume(
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    forwarded: usize,
) -> Result<TargetReply, ResumeFailure> {
    let chosen_now = AttemptTarget { chosen_at: mono_now(), ..target.clone() };
    let resume_job = RequestJob {
        method: Method::GET,
        path: format!("/resume/{}?from={forwarded}", job.request_id),
        head: HeaderMap::new(),
        body: Bytes::new(),
        request_id: job.request_id.clone(),
        caller_id: job.caller_id.clone(),
        customer: job.customer.clone(),
        customer_section: job.customer_section.clone(),
        workload: job.workload.clone(),
        workload_section: job.workload_section.clone(),
        hint: None,
        key: None,
        end: RequestEnd::default(),
        ..*job
    };
    let head = exchange::target_headers(&resume_job);
    let reply = exchange::send(state, &resume_job, &chosen_now, &head, job.deadline).await;
    let reply =
        reply.map_err(|failure| match failure.is_silence() && mono_now() < job.deadline {
            true => ResumeFailure::Silent,
            false => ResumeFailure::Refused,
        })?;
    let is_same_incarnation = reply
        .header(ggt_wire::headers::INCARNATION)
        .is_some_and(|text| text.parse() == Ok(target.incarnation));
    let is_usable = reply.status == 200 && is_same_incarnation;
    log::info!(
        "event=resume request_id={} target={} from={forwarded} usable={is_usable}",
        job.request_id,
        target.name,
    );
    if is_usable { Ok(reply) } else { Err(ResumeFailure::Refused) }
}

/// Forwards a reply's body to the caller; after its end, keeps the target's connection for later
/// requests.
async fn forward_body(
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    mut reply: TargetReply,
    sink: &mut ResponseSink,
    forwarded: &mut usize,
) -> AttemptEnd {
    loop {
        if sink.caller().is_closed() {
            return AttemptEnd::CallerDisconnected;
        }
        if mono_now() >= job.deadline {
            return AttemptEnd::Interrupted;
        }
        match reply.next_chunk().await {
            Ok(None) => {
                if let Some(connection) = reply.into_connection() {
                    state.connections.keep(target.key, connection, None);
                }
                return AttemptEnd::Complete;
            }
            Ok(Some(chunk)) => {
                let length = chunk.len();
                if !sink.send_chunk(chunk, job.deadline).await {
                    return AttemptEnd::CallerDisconnected;
                }
                *forwarded += length;
            }
            Err(_) => return AttemptEnd::Interrupted,
        }
    }
}
