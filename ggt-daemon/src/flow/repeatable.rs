//! Idempotent requests: retried on another target until their reply has begun; a resumable reply
//! that breaks off is resumed on the same target.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use crate::clock::mono_now;
use crate::flow::Refusal;
use crate::flow::ReplySink;
use crate::flow::RequestJob;
use crate::flow::WorkContext;
use crate::flow::exchange;
use crate::flow::exchange::AttemptTarget;
use crate::flow::sink::CancelTicket;
use crate::lock::lock;
use crate::state::ForceConfig;
use crate::state::SharedState;
use crate::upstream::CallFailure;
use crate::upstream::TargetReply;
use ggt_core::retries::AttemptHistory;
use ggt_core::retries::FailedAttempt;
use ggt_core::routing::TargetKey;
use ggt_core::verdict::RunVerdict;

/// Maximum times that one reply is resumed.
const MAX_RESUMES: usize = 3;

/// How one attempt ended.
enum AttemptEnd {
    /// The complete reply was forwarded.
    Whole,
    /// The caller disconnected or stopped reading.
    CallerLeft,
    /// The reply broke off after its headers were forwarded; no retry is possible.
    Broken,
    /// Failed before any reply was forwarded.
    Failed(CallFailure),
}

/// Serves an idempotent request.
pub(super) async fn run_repeatable(context: &WorkContext, job: &RequestJob, sink: ReplySink) {
    let state = &context.state;
    let Some(config) = state.force() else {
        let refusal = Refusal::not_run(503, "not-ready", "no active configuration");
        return exchange::refuse(state, job, sink, &refusal.retry_after(1_000)).await;
    };
    if let Some(refusal) = refuse_crashing(state, job) {
        return exchange::refuse(state, job, sink, &refusal).await;
    }
    let ticket = match exchange::admit(state, &config, job) {
        Ok(ticket) => ticket,
        Err(refusal) => return exchange::refuse(state, job, sink, &refusal).await,
    };
    lock(&state.retries).earn(config.accepted.model.routing.retry_ratio);
    attempt_all(state, &config, job, sink).await;
    lock(&state.shares).release(&ticket);
}

fn refuse_crashing(state: &SharedState, job: &RequestJob) -> Option<Refusal> {
    let now = mono_now();
    let until = lock(&state.blame).refused_until(job.print(), now)?;
    let detail = "each target that ran this request crashed while running it";
    Some(Refusal::not_run(422, "crashing", detail).retry_after(until.millis_since(now)))
}

async fn attempt_all(
    state: &Arc<SharedState>,
    config: &ForceConfig,
    job: &RequestJob,
    mut sink: ReplySink,
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
        lock(&state.routing).note_done(target.key);
        let failure = match end {
            AttemptEnd::Whole => {
                lock(&state.blame).clear(job.print());
                return sink.finish();
            }
            AttemptEnd::CallerLeft => return,
            AttemptEnd::Broken => {
                exchange::learn_failure(state, config, job, &target, true).await;
                return;
            }
            AttemptEnd::Failed(failure) => failure,
        };
        let verdict = failure.verdict();
        history.note(verdict);
        exchange::learn_failure(state, config, job, &target, verdict != RunVerdict::NotRun).await;
        if let Some(refusal) = may_not_retry(state, job, &failure) {
            let refusal = Refusal { verdict: history.verdict(), ..refusal };
            return exchange::refuse(state, job, sink, &refusal).await;
        }
        state.metrics.note_retry(job.workload.as_str(), failure.as_str());
        log::info!(
            "event=retry request_id={} target={} cause={} verdict={verdict}",
            job.request_id,
            target.name,
            crate::logging::quoted(&failure.to_string()),
        );
    }
}

/// Returns `None` if another target may be tried, else the error for the caller. Its verdict is a
/// placeholder: [`attempt_all`] sets the verdict over all attempts.
fn may_not_retry(state: &SharedState, job: &RequestJob, failure: &CallFailure) -> Option<Refusal> {
    let attempt =
        FailedAttempt { verdict: failure.verdict(), non_idempotent: false, reply_begun: false };
    let refusal = |status, cause, detail: String| {
        Some(Refusal::unknown(status, cause, detail).retry_after(1_000))
    };
    if let Some(refusal) = refuse_crashing(state, job) {
        return Some(refusal);
    }
    if mono_now() >= job.deadline {
        return refusal(504, "deadline", failure.to_string());
    }
    if !attempt.may_retry() || !lock(&state.retries).spend() {
        return refusal(502, "target-failed", failure.to_string());
    }
    None
}

async fn attempt(
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    sink: &mut ReplySink,
) -> AttemptEnd {
    if sink.link().is_gone() {
        return AttemptEnd::CallerLeft;
    }
    let ticket = CancelTicket { address: target.address, request_id: job.request_id.clone() };
    sink.link().set_ticket(Some(ticket));
    let head = exchange::request_head(job);
    let reply = match exchange::send_on_kept(state, job, target, &head, job.deadline).await {
        Ok(reply) => reply,
        Err(failure) => {
            sink.link().set_ticket(None);
            return AttemptEnd::Failed(failure);
        }
    };
    let status = reply.status;
    sink.begin(exchange::reply_head(state, job, target, &reply, RunVerdict::Ran));
    let mut passed = 0;
    let mut end = pass_on(state, job, target, reply, sink, &mut passed).await;
    for _ in 0..MAX_RESUMES {
        if !matches!(end, AttemptEnd::Broken) || !job.workload_section.resumable {
            break;
        }
        end = match resume(state, job, target, passed).await {
            Some(reply) => pass_on(state, job, target, reply, sink, &mut passed).await,
            None => break,
        };
    }
    sink.link().set_ticket(None);
    if matches!(end, AttemptEnd::Whole) {
        exchange::note_done(state, job, target, status, RunVerdict::Ran, passed);
    } else {
        log::info!(
            "event=cut request_id={} target={} bytes={passed} caller_left={}",
            job.request_id,
            target.name,
            matches!(end, AttemptEnd::CallerLeft),
        );
    }
    end
}

/// Requests the rest of a reply that broke off after `passed` bytes from the same incarnation of
/// the target.
async fn resume(
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    passed: usize,
) -> Option<TargetReply> {
    let again = AttemptTarget { chosen_at: mono_now(), ..target.clone() };
    let resumed = RequestJob {
        method: Method::GET,
        path: format!("/resume/{}?from={passed}", job.request_id),
        head: HeaderMap::new(),
        body: Bytes::new(),
        request_id: job.request_id.clone(),
        shown_id: job.shown_id.clone(),
        customer: job.customer.clone(),
        customer_section: job.customer_section.clone(),
        workload: job.workload.clone(),
        workload_section: job.workload_section.clone(),
        hint: None,
        key: None,
        ..*job
    };
    let head = exchange::request_head(&resumed);
    let reply = exchange::send(state, &resumed, &again, &head, job.deadline).await.ok()?;
    let is_same = reply
        .header(ggt_wire::headers::INCARNATION)
        .is_some_and(|text| text.parse() == Ok(target.incarnation));
    let is_usable = reply.status == 200 && is_same;
    log::info!(
        "event=resume request_id={} target={} from={passed} usable={is_usable}",
        job.request_id,
        target.name,
    );
    is_usable.then_some(reply)
}

/// Forwards a reply's body to the caller and keeps the target's connection for later requests.
async fn pass_on(
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    mut reply: TargetReply,
    sink: &mut ReplySink,
    passed: &mut usize,
) -> AttemptEnd {
    loop {
        if sink.link().is_gone() {
            return AttemptEnd::CallerLeft;
        }
        if mono_now() >= job.deadline {
            return AttemptEnd::Broken;
        }
        match reply.next_chunk().await {
            Ok(None) => {
                if let Some(channel) = reply.into_channel() {
                    state.channels.keep(target.key, channel, None);
                }
                return AttemptEnd::Whole;
            }
            Ok(Some(chunk)) => {
                let length = chunk.len();
                if !sink.push(chunk, job.deadline).await {
                    return AttemptEnd::CallerLeft;
                }
                *passed += length;
            }
            Err(_) => return AttemptEnd::Broken,
        }
    }
}
