//! Non-idempotent requests: a claim on the idempotency key is won before the request is sent, and
//! the request is sent at most once.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::dispatch::Refusal;
use crate::dispatch::RequestContext;
use crate::dispatch::RequestJob;
use crate::dispatch::ResponseHead;
use crate::dispatch::ResponseSink;
use crate::dispatch::exchange;
use crate::dispatch::exchange::AttemptTarget;
use crate::dispatch::exchange::set_header;
use crate::dispatch::failure;
use crate::lock::lock;
use crate::peers::LinkError;
use crate::peers::handle_claim;
use crate::peers::handle_seal;
use crate::peers::handle_settle;
use crate::state::ActiveConfig;
use crate::upstream::CallFailure;
use crate::upstream::TargetReply;
use ggt_core::claims::ActionKey;
use ggt_core::claims::ActionOutcome;
use ggt_core::claims::ClaimDecision;
use ggt_core::claims::ClaimReply;
use ggt_core::claims::ClaimRequest;
use ggt_core::claims::HolderSet;
use ggt_core::claims::SealDecision;
use ggt_core::claims::SettleRequest;
use ggt_core::claims::StoredReply;
use ggt_core::claims::holders_of;
use ggt_core::claims::tally_claims;
use ggt_core::claims::tally_seals;
use ggt_core::clock::MonoTime;
use ggt_core::ident::mix_hash;
use ggt_core::ident::stable_hash;
use ggt_core::routing::TargetKey;
use ggt_core::verdict::RunVerdict;
use ggt_wire::headers;
use ggt_wire::rpc;

/// Maximum number of targets tried for one request; the next one is tried only if no byte was sent.
const MAX_TARGETS: usize = 3;
/// Maximum size of a reply body that is stored with the claim.
const MAX_STORED_BODY_BYTES: usize = 4 * 1024;
/// Maximum number of attempts to deliver an outcome to one claim holder.
const MAX_SETTLE_ATTEMPTS: usize = 3;

/// Maximum time for which the response to a lost request waits until a crash of its target has been
/// reported to the other daemons.
const CRASH_REPORT_WAIT: Duration = Duration::from_millis(100);

/// Call that is sent to all holders of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderCall {
    /// Requests the exclusive right to send.
    Claim,
    /// Gives up the key, and asks the holder never to grant it to any attempt.
    Seal,
}

/// One attempt to run a non-idempotent request.
struct ActionAttempt<'a> {
    context: &'a RequestContext,
    config: Arc<ActiveConfig>,
    job: &'a RequestJob,
    holders: HolderSet,
    request: ClaimRequest,
}

/// Serves a non-idempotent request.
pub(super) async fn serve_non_idempotent(
    context: &RequestContext,
    job: &RequestJob,
    key: &ActionKey,
    sink: ResponseSink,
) {
    let state = &context.state;
    let Some(config) = state.active_config() else {
        let refusal = Refusal::unknown(503, "not-ready", "no configuration is in force");
        return exchange::refuse(state, job, sink, &refusal.retry_after(1_000)).await;
    };
    let roster = &config.accepted.model.roster;
    let operation_hash = stable_hash(format!("{} {}", job.method, job.path).as_bytes());
    let request = ClaimRequest {
        key: key.clone(),
        content_hash: mix_hash(operation_hash, stable_hash(&job.body)),
        attempt: state.new_attempt(),
        epoch: roster.epoch,
    };
    let holders = holders_of(roster, roster.epoch, key.hash());
    let attempt = ActionAttempt { context, config: config.clone(), job, holders, request };
    if let Some(refusal) = exchange::refuse_crashing(state, job) {
        return attempt.conclude_unsent(sink, refusal).await;
    }
    match exchange::admit(state, &config, job) {
        Ok(permit) => {
            attempt.claim_and_send(sink).await;
            lock(&state.shares).release(&permit);
        }
        Err(refusal) => attempt.conclude_unsent(sink, refusal).await,
    }
}

impl ActionAttempt<'_> {
    async fn claim_and_send(&self, sink: ResponseSink) {
        // Counted from before the calls, so it ends no later than the grant at any holder.
        let send_deadline = mono_now() + self.config.accepted.model.claims.grant_ms;
        let replies = self.call_holders(HolderCall::Claim).await;
        let has_majority = replies.len() >= self.holders.majority();
        match tally_claims(&self.holders, &replies) {
            ClaimDecision::Won => {
                log::info!(
                    "event=claimed request_id={} key={} attempt={}",
                    self.job.request_id,
                    self.request.key.text,
                    self.request.attempt,
                );
                self.send(sink, send_deadline).await;
            }
            ClaimDecision::Ran(stored) => self.replay(sink, &stored).await,
            ClaimDecision::Conflict => self.refuse_conflict(sink).await,
            ClaimDecision::OutcomeUnknown => self.refuse_outcome_unknown(sink).await,
            ClaimDecision::NotWon => {
                let limits = &self.config.accepted.model.limits;
                let detail = "the key's holders cannot be reached or cannot tell";
                let refusal = Refusal::not_run(503, "not-claimed", detail);
                let refusal = refusal.retry_after(limits.retry_after_ms);
                match has_majority {
                    true => self.conclude_unsent(sink, refusal).await,
                    false => self.conclude_unreachable(sink, refusal).await,
                }
            }
        }
    }

    /// Sends the request, trying the next target as long as no byte was sent to the previous one.
    async fn send(&self, sink: ResponseSink, send_deadline: MonoTime) {
        let state = &self.context.state;
        let mut tried: Vec<TargetKey> = Vec::new();
        let mut last_refusal = Refusal::not_run(503, "no-target", "no target could be reached");
        while tried.len() < MAX_TARGETS && mono_now() < send_deadline.min(self.job.deadline) {
            let target = match exchange::choose(state, &self.config, self.job, &tried).await {
                Ok(target) => target,
                Err(refusal) => {
                    last_refusal = refusal;
                    break;
                }
            };
            tried.push(target.key);
            let reply =
                exchange::send(state, self.job, &target, &self.target_headers(), send_deadline)
                    .await;
            let outcome = match reply {
                Ok(reply) => self.read_reply(&target, reply).await,
                Err(failure) => Err(failure),
            };
            lock(&state.routing).record_done(target.key);
            match outcome {
                Ok((head, body)) => return self.finish(sink, &target, head, body).await,
                Err(CallFailure::NotSent { cause, is_silence }) => {
                    failure::record_unreached(state, &self.config, &target, is_silence);
                    last_refusal = Refusal::not_run(503, "not-sent", cause);
                }
                Err(failure) => return self.fail_unknown(sink, &target, &failure).await,
            }
        }
        // Only the winner of the claim may send, and this attempt will not: the request never ran.
        self.settle(ActionOutcome::NotRun).await;
        state.metrics.record_claim("not-run");
        let millis = self.config.accepted.model.limits.retry_after_ms;
        exchange::refuse(state, self.job, sink, &last_refusal.retry_after(millis)).await;
    }

    fn target_headers(&self) -> HeaderMap {
        let mut head = exchange::target_headers(self.job);
        set_header(&mut head, headers::IDEMPOTENCY_KEY, &self.request.key.text);
        if self.job.workload_section.checks_fencing {
            let fencing_number = self.request.key.minted_at.unwrap_or_default().as_millis();
            set_header(&mut head, headers::FENCING_NUMBER, &fencing_number.to_string());
        }
        head
    }

    async fn read_reply(
        &self,
        target: &AttemptTarget,
        mut reply: TargetReply,
    ) -> Result<(ResponseHead, Vec<u8>), CallFailure> {
        let state = &self.context.state;
        let head = exchange::response_head(state, self.job, target, &reply, RunVerdict::Ran);
        let limit = state.settings.limits.max_action_reply_bytes;
        let mut body = Vec::new();
        while let Some(chunk) = reply.next_chunk().await? {
            body.extend_from_slice(&chunk);
            if body.len() > limit {
                let cause = format!("more than {limit} bytes");
                return Err(CallFailure::NoReply { cause, is_silence: false });
            }
        }
        Ok((head, body))
    }

    async fn finish(
        &self,
        sink: ResponseSink,
        target: &AttemptTarget,
        head: ResponseHead,
        body: Vec<u8>,
    ) {
        let state = &self.context.state;
        let content_type = head.headers.get(http::header::CONTENT_TYPE);
        let stored = StoredReply {
            status: head.status,
            content_type: content_type.and_then(|x| x.to_str().ok()).map(str::to_owned),
            body: String::from_utf8(body.clone())
                .ok()
                .filter(|text| text.len() <= MAX_STORED_BODY_BYTES),
        };
        let status = head.status;
        let length = body.len();
        exchange::respond(sink, head, body.into(), self.job.deadline).await;
        exchange::record_done(state, self.job, target, status, RunVerdict::Ran, length);
        state.metrics.record_claim("ran");
        exchange::record_completion(state, self.job);
        self.settle(ActionOutcome::Ran(stored)).await;
    }

    async fn fail_unknown(
        &self,
        sink: ResponseSink,
        target: &AttemptTarget,
        failure: &CallFailure,
    ) {
        let state = &self.context.state;
        // The caller may submit the request again under another key as soon as it has the response,
        // so a crash is reported first; a target that is only slow must not delay the response.
        let report = failure::record_failure(state, &self.config, self.job, target);
        let mut report = pin!(report);
        let is_reported = timeout(CRASH_REPORT_WAIT, report.as_mut()).await.is_ok();
        let refusal = Refusal::unknown(502, "answer-lost", failure.to_string());
        exchange::refuse(state, self.job, sink, &refusal).await;
        state.metrics.record_claim("unknown");
        self.settle(ActionOutcome::Unknown).await;
        if !is_reported {
            report.await;
        }
    }

    /// Ends an attempt that will not send by sealing the key. The holders' replies decide whether
    /// the caller gets a stored reply or the verdict `not-run`, `in-progress` or `unknown`.
    async fn conclude_unsent(&self, sink: ResponseSink, refusal: Refusal) {
        let state = &self.context.state;
        let replies = self.call_holders(HolderCall::Seal).await;
        match tally_claims(&self.holders, &replies) {
            ClaimDecision::Ran(stored) => return self.replay(sink, &stored).await,
            ClaimDecision::Conflict => return self.refuse_conflict(sink).await,
            ClaimDecision::OutcomeUnknown => return self.refuse_outcome_unknown(sink).await,
            ClaimDecision::Won | ClaimDecision::NotWon => (),
        }
        let refusal = match tally_seals(&self.holders, &replies) {
            SealDecision::NotRun => {
                state.metrics.record_claim("not-run");
                refusal
            }
            SealDecision::InProgress => {
                state.metrics.record_claim("in-progress");
                let detail = "another request with this key is being served";
                let millis = self.config.accepted.model.limits.retry_after_ms;
                Refusal::unknown(409, "in-progress", detail).retry_after(millis)
            }
            SealDecision::Unknown => {
                state.metrics.record_claim("unknown");
                Refusal { verdict: RunVerdict::Unknown, ..refusal }
            }
        };
        exchange::refuse(state, self.job, sink, &refusal).await;
    }

    /// Ends an attempt that reached no majority of holders. The caller is answered at once, as a
    /// second round of calls would only delay it. Afterwards the key is sealed at the holders that
    /// can be reached.
    async fn conclude_unreachable(&self, sink: ResponseSink, refusal: Refusal) {
        let state = &self.context.state;
        state.metrics.record_claim("unknown");
        let refusal = Refusal { verdict: RunVerdict::Unknown, ..refusal };
        exchange::refuse(state, self.job, sink, &refusal).await;
        self.call_holders(HolderCall::Seal).await;
    }

    async fn refuse_conflict(&self, sink: ResponseSink) {
        let detail = "the idempotency key was used for another request";
        self.context.state.metrics.record_claim("conflict");
        let refusal = Refusal::unknown(422, "key-conflict", detail);
        exchange::refuse(&self.context.state, self.job, sink, &refusal).await;
    }

    async fn refuse_outcome_unknown(&self, sink: ResponseSink) {
        let detail = "the action was sent and its answer was lost; it will not be sent again";
        self.context.state.metrics.record_claim("unknown");
        let refusal = Refusal::unknown(502, "answer-lost", detail);
        exchange::refuse(&self.context.state, self.job, sink, &refusal).await;
    }

    /// Answers with the stored reply of an earlier attempt.
    async fn replay(&self, sink: ResponseSink, stored: &StoredReply) {
        let state = &self.context.state;
        state.metrics.record_claim("replayed");
        let Some(body) = &stored.body else {
            let detail = "the action ran; its answer was too large to be kept";
            let base = Refusal::not_run(409, "answer-not-kept", detail);
            let refusal = Refusal { verdict: RunVerdict::Ran, ..base };
            return exchange::refuse(state, self.job, sink, &refusal).await;
        };
        let mut head = HeaderMap::new();
        set_header(&mut head, headers::REQUEST_ID, &self.job.caller_id);
        set_header(&mut head, headers::RUN_VERDICT, RunVerdict::Ran.as_str());
        if let Some(content_type) = &stored.content_type {
            set_header(&mut head, "content-type", content_type);
        }
        log::info!(
            "event=replay request_id={} customer={} workload={} key={} status={} verdict=ran",
            self.job.request_id,
            self.job.customer,
            self.job.workload,
            self.request.key.text,
            stored.status,
        );
        self.job.end.mark_logged();
        state.metrics.record_request(self.job.workload.as_str(), RunVerdict::Ran.as_str());
        let head = ResponseHead { status: stored.status, headers: head };
        exchange::respond(sink, head, body.clone().into(), self.job.deadline).await;
    }

    /// Calls all holders concurrently and returns once the replies decide the outcome.
    ///
    /// Failed calls are left out of the result. Calls still in progress continue in the background,
    /// so that the key is recorded at as many holders as possible.
    async fn call_holders(&self, call: HolderCall) -> Vec<ClaimReply> {
        let state = &self.context.state;
        let model = &self.config.accepted.model;
        let call_timeout = Duration::from_millis(model.claims.holder_timeout_ms);
        let mut replies = Vec::new();
        let mut calls = JoinSet::new();
        for name in self.holders.names() {
            if *name == state.settings.name {
                replies.push(match call {
                    HolderCall::Claim => handle_claim(state, &self.request),
                    HolderCall::Seal => handle_seal(state, &self.request),
                });
                continue;
            }
            let Some(daemon) = model.roster.daemons.get(name) else { continue };
            let (peer, links, request) =
                (daemon.peer, self.context.links.clone(), self.request.clone());
            let method = if call == HolderCall::Claim { rpc::CLAIM } else { rpc::SEAL };
            let holder_call = async move {
                links.call::<_, ClaimReply>(peer, method, &request, call_timeout).await
            };
            calls.spawn(holder_call);
        }
        while !self.is_decided(call, &replies) {
            match calls.join_next().await {
                None => break,
                Some(Ok(Ok(reply))) => replies.push(reply),
                Some(Ok(Err(e))) => log::info!(
                    "event=holder-silent request_id={} key={} cause=\"{e}\"",
                    self.job.request_id,
                    self.request.key.text,
                ),
                Some(Err(e)) => log::error!("event=task-failed cause=\"{e}\""),
            }
        }
        calls.detach_all();
        replies
    }

    /// Whether further replies cannot change the decision.
    fn is_decided(&self, call: HolderCall, replies: &[ClaimReply]) -> bool {
        match tally_claims(&self.holders, replies) {
            ClaimDecision::Won | ClaimDecision::Ran(_) | ClaimDecision::Conflict => true,
            ClaimDecision::OutcomeUnknown | ClaimDecision::NotWon => {
                call == HolderCall::Seal
                    && tally_seals(&self.holders, replies) == SealDecision::NotRun
            }
        }
    }

    /// Reports the outcome of the attempt to all holders and waits for the calls to end.
    async fn settle(&self, outcome: ActionOutcome) {
        let state = &self.context.state;
        let model = &self.config.accepted.model;
        let call_timeout = Duration::from_millis(model.claims.holder_timeout_ms);
        let request = SettleRequest {
            key: self.request.key.clone(),
            attempt: self.request.attempt.clone(),
            outcome,
        };
        let mut tasks = Vec::new();
        for name in self.holders.names() {
            if *name == state.settings.name {
                handle_settle(state, request.clone());
                continue;
            }
            let Some(daemon) = model.roster.daemons.get(name) else { continue };
            let (peer, links, request) = (daemon.peer, self.context.links.clone(), request.clone());
            tasks.push(tokio::spawn(async move {
                for _ in 0..MAX_SETTLE_ATTEMPTS {
                    let settled: Result<bool, LinkError> =
                        links.call(peer, rpc::SETTLE, &request, call_timeout).await;
                    if settled.is_ok() {
                        break;
                    }
                }
            }));
        }
        for task in tasks {
            // A holder that missed the outcome keeps the key granted, so nobody can send again.
            let _ = task.await;
        }
    }
}
