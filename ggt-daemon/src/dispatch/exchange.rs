//! Steps shared by idempotent and non-idempotent requests: admission, choice of a target, one call,
//! the response to the caller, and feedback into the routing table.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::clock::time_until;
use crate::dispatch::Refusal;
use crate::dispatch::RequestJob;
use crate::dispatch::ResponseHead;
use crate::dispatch::ResponseSink;
use crate::lock::lock;
use crate::logging::quoted;
use crate::probes::announce_leaving;
use crate::state::ActiveConfig;
use crate::state::SharedState;
use crate::upstream::CallFailure;
use crate::upstream::CallOptions;
use crate::upstream::TargetCall;
use crate::upstream::TargetConnection;
use crate::upstream::TargetReply;
use crate::upstream::call_target;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashJudgement;
use ggt_core::crashes::CrashRefusal;
use ggt_core::ident::TargetName;
use ggt_core::ident::WorkloadName;
use ggt_core::limits::SharePermit;
use ggt_core::routing::RouteQuery;
use ggt_core::routing::RouteRefusal;
use ggt_core::routing::TargetKey;
use ggt_core::verdict::RunVerdict;
use ggt_wire::headers;
use ggt_wire::hint::ChatHint;
use ggt_wire::hint::encode_hint;

/// Interval at which a request checks whether published data is fresh again after a process pause.
const REFRESH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Target chosen for one attempt, copied from the routing table.
#[derive(Clone, Debug)]
pub(super) struct AttemptTarget {
    pub(super) key: TargetKey,
    pub(super) name: TargetName,
    pub(super) incarnation: u64,
    /// Hash that identifies the target in crash ids.
    pub(super) hash: u64,
    pub(super) address: std::net::SocketAddr,
    /// The first byte must be sent within `timing.send_ms` of this time.
    pub(super) chosen_at: MonoTime,
}

/// Admits a request, or refuses it with 429 when the workload is at capacity and the customer
/// already has its weighted share of requests in flight.
pub(super) fn admit(
    state: &SharedState,
    config: &ActiveConfig,
    job: &RequestJob,
) -> Result<SharePermit<WorkloadName>, Refusal> {
    let limits = &config.accepted.model.limits;
    let utilisation = lock(&state.routing).utilisation(&job.workload, &config.routing, mono_now());
    let weight = job.customer_section.weight;
    lock(&state.shares)
        .admit(&job.workload, &job.customer, weight, utilisation, limits.share_from)
        .map_err(|share| {
            let detail = format!(
                "the workload is full and the customer is over its share of {share:.1} requests \
                 on this daemon"
            );
            Refusal::not_run(429, "over-share", detail).retry_after(limits.retry_after_ms)
        })
}

/// The refusal of a request that is to blame for too many crashes of targets; `None` if it may be
/// sent.
pub(super) fn refuse_crashing(state: &SharedState, job: &RequestJob) -> Option<Refusal> {
    let now = mono_now();
    let suspects = job.suspects();
    let judgement = lock(&state.crashes).judge(suspects.keys(), now);
    let CrashJudgement::Refused(CrashRefusal { suspect, summary, until }) = judgement else {
        return None;
    };
    let what = if suspect == suspects.request() { "this request" } else { "requests of this chat" };
    let detail = format!("{} targets crashed while they ran {what}", summary.count);
    log::info!(
        "event=refuse-crashing request_id={} print={:016x} crashes={}",
        job.request_id,
        suspect.0,
        summary.count,
    );
    Some(Refusal::not_run(422, "crashing", detail).retry_after(until.millis_since(now)))
}

/// Records a complete reply, which clears the request and its chat: they did not crash the target.
pub(super) fn record_completion(state: &SharedState, job: &RequestJob) {
    let mut crashes = lock(&state.crashes);
    for suspect in job.suspects().keys() {
        crashes.record_completion(*suspect, mono_now());
    }
}

/// Waits for fresh data after a process pause, then chooses a target, logs the choice and adds the
/// request to the target's load.
pub(super) async fn choose(
    state: &SharedState,
    config: &ActiveConfig,
    job: &RequestJob,
    tried: &[TargetKey],
) -> Result<AttemptTarget, Refusal> {
    wait_until_fresh(state, job.deadline).await;
    let now = mono_now();
    let query = RouteQuery {
        workload: &job.workload,
        chat_hash: job.chat_hash,
        hint: job.hint.as_ref().map(|hint| (&hint.target, hint.incarnation)),
        is_new: job.is_new_chat,
        tried,
    };
    let mut routing = lock(&state.routing);
    let chosen = routing.choose(&query, &config.routing, now).map_err(|e| {
        let limits = &config.accepted.model.limits;
        let cause = match e {
            RouteRefusal::NoTarget => "no-target",
            RouteRefusal::Full => "full",
        };
        Refusal::not_run(503, cause, e.to_string()).retry_after(limits.retry_after_ms)
    })?;
    let entry = routing.target(chosen.key);
    let target = entry.map(|entry| AttemptTarget {
        key: chosen.key,
        name: entry.host.name.clone(),
        incarnation: entry.host.incarnation,
        hash: entry.hash(),
        address: entry.address(),
        chosen_at: now,
    });
    let removed = || Refusal::not_run(503, "no-target", "the chosen target is gone");
    let target = target.ok_or_else(removed)?;
    routing.record_sent(chosen.key);
    drop(routing);
    log::info!(
        "event=route request_id={} caller_id={} customer={} workload={} chat={:016x} target={} reason={} \
         load={:.1} bound={:.1} attempt={} revision={}",
        job.request_id,
        quoted(&job.caller_id),
        job.customer,
        job.workload,
        job.chat_hash,
        target.name,
        chosen.reason,
        chosen.load,
        chosen.bound,
        tried.len() + 1,
        config.revision,
    );
    state.metrics.record_route(job.workload.as_str(), &chosen.reason.to_string());
    Ok(target)
}

/// Waits after a process pause until published data is fresh, so that no target is chosen from
/// outdated data.
///
/// Bounded by `timing.refresh_ms` and by the request's deadline.
async fn wait_until_fresh(state: &SharedState, deadline: MonoTime) {
    while !state.pause_detector.is_fresh(mono_now()) && mono_now() < deadline {
        sleep(REFRESH_CHECK_INTERVAL).await;
    }
}

/// Sends the request to the target on a new connection and waits for the headers of its reply.
pub(super) async fn send(
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    head: &HeaderMap,
    send_deadline: MonoTime,
) -> Result<TargetReply, CallFailure> {
    send_on_connection(None, state, job, target, head, send_deadline).await
}

/// Sends an idempotent request on an idle connection, if there is one. Falls back to a new
/// connection when the target closed the idle one before any byte was sent.
pub(super) async fn send_on_idle(
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    head: &HeaderMap,
    send_deadline: MonoTime,
) -> Result<TargetReply, CallFailure> {
    let Some(connection) = state.connections.take(target.key) else {
        return send(state, job, target, head, send_deadline).await;
    };
    match send_on_connection(Some(connection), state, job, target, head, send_deadline).await {
        Err(CallFailure::NotSent { cause, .. }) => {
            log::debug!("event=stale-channel request_id={} cause=\"{cause}\"", job.request_id);
            send(state, job, target, head, send_deadline).await
        }
        sent => sent,
    }
}

async fn send_on_connection(
    idle_connection: Option<TargetConnection>,
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    head: &HeaderMap,
    send_deadline: MonoTime,
) -> Result<TargetReply, CallFailure> {
    let timing = &state.settings.timing;
    let section = &job.workload_section;
    let first_byte_timeout =
        Duration::from_millis(section.first_byte_timeout_ms).min(time_until(job.deadline));
    let options = CallOptions {
        connect_timeout: Duration::from_millis(timing.connect_ms),
        send_deadline: send_deadline.min(target.chosen_at + timing.send_ms),
        first_byte_timeout,
        idle_timeout: Duration::from_millis(section.idle_timeout_ms).max(first_byte_timeout),
    };
    let call = TargetCall {
        address: target.address,
        method: &job.method,
        path: &job.path,
        head,
        request_id: &job.request_id,
        body: &job.body,
    };
    let reply = call_target(idle_connection, &call, &options).await;
    if let Ok(reply) = &reply {
        record_reply(state, target, reply);
    }
    reply
}

/// Headers that are sent to the target.
pub(super) fn target_headers(job: &RequestJob) -> HeaderMap {
    let mut head = job.head.clone();
    set_header(&mut head, headers::REQUEST_ID, &job.request_id);
    if job.customer_section.priority != 0 {
        set_header(&mut head, headers::PRIORITY, &job.customer_section.priority.to_string());
    }
    head
}

/// Updates the routing table from the headers of a target's reply.
fn record_reply(state: &SharedState, target: &AttemptTarget, reply: &TargetReply) {
    let mut routing = lock(&state.routing);
    routing.record_reply(target.key, mono_now());
    let incarnation = reply
        .header(headers::INCARNATION)
        .and_then(|text| text.parse().ok())
        .unwrap_or(target.incarnation);
    if let Some(report) = reply.header(headers::LOAD).and_then(headers::parse_load) {
        routing.apply_report(target.key, incarnation, report);
    }
    drop(routing);
    if reply.header(headers::LEAVING).is_some() {
        announce_leaving(state, &target.name, incarnation);
    }
}

/// Status and headers of the response to the caller, derived from the target's reply.
pub(super) fn response_head(
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    reply: &TargetReply,
    verdict: RunVerdict,
) -> ResponseHead {
    let mut head = HeaderMap::new();
    let internal = [headers::LOAD, headers::INCARNATION, headers::LEAVING, headers::REQUEST_ID];
    for (name, value) in &reply.headers {
        if !is_hop_by_hop(name) && !internal.contains(&name.as_str()) {
            head.append(name.clone(), value.clone());
        }
    }
    set_header(&mut head, headers::REQUEST_ID, &job.caller_id);
    set_header(&mut head, headers::SERVED_BY, target.name.as_str());
    set_header(&mut head, headers::RUN_VERDICT, verdict.as_str());
    if job.has_chat {
        let cached = reply.header(headers::CACHED_TOKENS).and_then(|text| text.parse().ok());
        state.metrics.record_cached_tokens(job.workload.as_str(), cached.unwrap_or_default());
        let hint = ChatHint {
            target: target.name.clone(),
            incarnation: target.incarnation,
            warm_tokens: cached.unwrap_or_default(),
        };
        set_header(&mut head, headers::CHAT_HINT, &encode_hint(&state.keys, &job.customer, &hint));
    }
    ResponseHead { status: reply.status, headers: head }
}

/// Whether a header is hop-by-hop and must not be forwarded (RFC 9110, section 7.6.1).
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ]
    .contains(name)
        || name.as_str() == "keep-alive"
}

/// Sets a header; a value that is not a valid header value is ignored.
pub(crate) fn set_header(head: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        head.insert(HeaderName::from_static(name), value);
    }
}

/// Answers the caller with an error response of the daemon itself.
pub(super) async fn refuse(
    state: &SharedState,
    job: &RequestJob,
    sink: ResponseSink,
    refusal: &Refusal,
) {
    log::info!(
        "event=refuse request_id={} caller_id={} customer={} workload={} status={} cause={} verdict={} \
         detail={}",
        job.request_id,
        quoted(&job.caller_id),
        job.customer,
        job.workload,
        refusal.status,
        refusal.cause,
        refusal.verdict,
        quoted(&refusal.detail),
    );
    job.end.mark_logged();
    state.metrics.record_refusal(job.customer.as_str(), refusal.cause);
    state.metrics.record_request(job.workload.as_str(), refusal.verdict.as_str());
    let mut head = HeaderMap::new();
    set_header(&mut head, headers::REQUEST_ID, &job.caller_id);
    set_header(&mut head, headers::RUN_VERDICT, refusal.verdict.as_str());
    set_header(&mut head, "content-type", "application/json");
    if let Some(seconds) = refusal.retry_after_seconds() {
        set_header(&mut head, "retry-after", &seconds.to_string());
    }
    let body = refusal.to_json(&job.caller_id);
    let head = ResponseHead { status: refusal.status, headers: head };
    respond(sink, head, body.into(), job.deadline).await;
}

/// Answers the caller with a response whose body is complete.
pub(super) async fn respond(
    mut sink: ResponseSink,
    mut head: ResponseHead,
    body: Bytes,
    deadline: MonoTime,
) {
    set_header(&mut head.headers, "content-length", &body.len().to_string());
    sink.send_head(head);
    if body.is_empty() || sink.send_chunk(body, deadline).await {
        sink.finish();
    }
}

/// Counts and logs a request whose reply was forwarded completely.
pub(super) fn record_done(
    state: &SharedState,
    job: &RequestJob,
    target: &AttemptTarget,
    status: u16,
    verdict: RunVerdict,
    bytes: usize,
) {
    job.end.mark_logged();
    state.metrics.record_request(job.workload.as_str(), verdict.as_str());
    log::info!(
        "event=done request_id={} customer={} workload={} target={} status={status} \
         verdict={verdict} bytes={bytes}",
        job.request_id,
        job.customer,
        job.workload,
        target.name,
    );
}
