//! A validated request, and the guards that count it and its sends as in flight.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use crate::clock::mono_now;
use crate::front::forward::Handover;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::RequestSuspects;
use ggt_core::crashes::SuspectKey;
use ggt_core::prompts::PrefixChain;
use ggt_core::routes::RouteEntry;
use ggt_core::targets::SendRecord;
use ggt_core::targets::SlotDuration;
use ggt_core::targets::TargetKey;
use ggt_core::versions::StreamKey;
use ggt_platform::RequestHeaders;

/// A validated request with its route and service.
pub struct FrontJob {
    /// The platform's headers, decoded from `raw_headers`.
    pub headers: RequestHeaders,
    /// The caller's attempt id; identifies the request in logs and to targets.
    pub id: String,
    /// The matched route.
    pub route: RouteEntry,
    /// Version of the configuration that holds the route.
    pub version: u64,
    /// The service chosen from the route's weighted services.
    pub service: String,
    /// The customer's name, if its key is known.
    pub customer: Option<String>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// The only data centres in which the request may be processed; `None` if all are allowed.
    pub allowed_centres: Option<Vec<String>>,
    /// Prefix hashes of the prompt, if the route is sticky.
    pub chain: Option<PrefixChain>,
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// All headers of the caller.
    pub raw_headers: HeaderMap,
    pub body: Bytes,
    /// What may be to blame if a target crashes while it runs the request.
    pub suspects: RequestSuspects,
    /// What the daemon that forwarded the request said about it; `None` for a caller's request.
    pub handover: Option<Handover>,
    /// When the request's head was received.
    pub received_at: MonoTime,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: MonoTime,
    /// Whether a send to a target or a peer has begun.
    pub has_begun_send: Cell<bool>,
}

/// A request whose head has been validated, and whose body is still to be read. Its headers stay with the reader until
/// then, so that they are held once.
pub struct PendingJob {
    job: FrontJob,
}

impl PendingJob {
    /// Of a job that has everything but its body and its suspects.
    pub const fn new(job: FrontJob) -> Self {
        Self { job }
    }

    /// The caller's attempt id and the customer's name.
    pub fn owner(&self) -> (&str, Option<&str>) {
        (&self.job.id, self.job.customer.as_deref())
    }

    /// Sets what the peer that forwarded the request has decided: itself, the attempts that are left, and the
    /// deadline.
    pub fn hand_over(&mut self, handover: Handover, max_attempts: u32, deadline: MonoTime) {
        self.job.handover = Some(handover);
        self.job.route.max_attempts = max_attempts;
        self.job.deadline = deadline;
    }

    /// The job with the headers of its request and its body.
    pub fn with_body(self, raw_headers: HeaderMap, body: Bytes) -> FrontJob {
        let job = self.job;
        let caller = job.customer.as_deref().unwrap_or_default();
        let fingerprint = SuspectKey::of_request(&format!("{caller} {}", job.path), &body);
        let suspects = RequestSuspects::new(fingerprint).with_parts(&job.headers.parts);
        FrontJob { raw_headers, body, suspects, ..job }
    }
}

impl FrontJob {
    /// Whether the caller has events of the stream already and takes it up. Event 0 may be the first one, or stand
    /// for none; a caller that has it names the attempt that brought it.
    pub fn is_resumption(&self) -> bool {
        let has_events = match self.headers.last_event {
            None => false,
            Some(0) => self.headers.first_attempt.is_some(),
            Some(_) => true,
        };
        self.route.is_stream && has_events
    }

    /// Identifies the stream that the request begins or takes up; `None` if it takes one up without naming
    /// the attempt that brought its first event.
    pub fn stream_key(&self) -> Option<StreamKey> {
        let first_attempt = match self.is_resumption() {
            true => self.headers.first_attempt.as_deref()?,
            false => &self.id,
        };
        let customer = self.customer.as_deref().unwrap_or_default();
        Some(StreamKey::new(customer, &self.service, first_attempt))
    }

    /// Whether the request may have been sent to a target, by this daemon or by the one that forwarded it.
    pub fn may_have_been_sent(&self) -> bool {
        let may_have_run = self.handover.as_ref().is_some_and(|handover| handover.may_have_run);
        self.has_begun_send.get() || may_have_run
    }

    /// Milliseconds until the deadline.
    pub fn remaining_ms(&self) -> u64 {
        self.deadline.millis_since(mono_now())
    }
}

/// Counts a request as in flight until it is dropped; logs a disconnected caller, or a panic of the
/// request's task, if no other outcome was logged before.
pub struct JobGuard {
    state: Rc<FrontState>,
    id: String,
    received_at: MonoTime,
    /// Whether a peer forwarded the request, which logs and counts its end for the caller.
    is_forwarded: bool,
    is_finished: Cell<bool>,
}

impl JobGuard {
    pub fn new(state: Rc<FrontState>, id: &str, received_at: MonoTime) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        let is_finished = Cell::new(false);
        Self { state, id: id.to_owned(), received_at, is_forwarded: false, is_finished }
    }

    /// Guard of a request that a peer forwarded.
    pub fn forwarded(state: Rc<FrontState>, id: &str, received_at: MonoTime) -> Self {
        let mut guard = Self::new(state, id, received_at);
        guard.is_forwarded = true;
        guard
    }

    /// Logs and counts how the request ended; only the first call has an effect.
    pub fn end(&self, outcome: &'static str, status: u16, cause: &str) {
        if self.is_finished.replace(true) {
            return;
        }
        let millis = mono_now().millis_since(self.received_at);
        if self.is_forwarded {
            self.state.metrics.record_taken(outcome);
            log::info!(
                "event=taken request_id={} outcome={outcome} status={status} cause={} after_ms={millis}",
                quoted(&self.id),
                quoted(cause),
            );
            return;
        }
        self.state.metrics.record_end(outcome, millis);
        if outcome == "refused" {
            self.state.metrics.record_refusal(cause);
        }
        log::info!(
            "event=end request_id={} outcome={outcome} status={status} cause={} after_ms={millis}",
            quoted(&self.id),
            quoted(cause),
        );
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        match std::thread::panicking() {
            true => self.end("failed", 0, "panic"),
            false => self.end("caller-left", 0, "connection-closed"),
        }
        self.state.in_flight.set(self.state.in_flight.get().saturating_sub(1));
    }
}

/// Counts one send as in flight at its target until it is dropped, and its prompt as the target's
/// prefill backlog until the first event.
pub struct SendGuard {
    state: Rc<FrontState>,
    key: TargetKey,
    backlog_tokens: Cell<u32>,
    record: SendRecord,
    has_prompt: bool,
    has_started: Cell<bool>,
}

impl SendGuard {
    /// Counts a send; `is_copied` is whether the target copies the cached prefix from another
    /// target.
    pub fn new(
        state: Rc<FrontState>,
        key: TargetKey,
        chain: &PrefixChain,
        is_copied: bool,
    ) -> Self {
        let record = state.pool.borrow_mut().record_send(key, chain, is_copied, mono_now());
        let backlog_tokens = Cell::new(record.backlog_tokens);
        let has_prompt = !chain.prefixes().is_empty();
        Self { state, key, backlog_tokens, record, has_prompt, has_started: Cell::new(false) }
    }

    /// When the target was chosen for the send.
    pub fn sent_at(&self) -> MonoTime {
        self.record.sent_at
    }

    /// Records that the target started the request, so that its duration is recorded as slot time.
    pub fn record_start(&self) {
        self.has_started.set(true);
    }

    /// Removes the prompt's prefixes from the target's cache view: it did not run the request.
    pub fn undo_send(&self) {
        self.state.pool.borrow_mut().undo_send(self.key, &self.record);
    }

    /// Removes the prompt from the target's prefill backlog.
    pub fn record_prefill(&self) {
        let tokens = self.backlog_tokens.take();
        if tokens > 0 {
            self.state.pool.borrow_mut().record_prefill(self.key, tokens);
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.record_prefill();
        let mut pool = self.state.pool.borrow_mut();
        pool.record_end(self.key);
        if self.has_started.get() {
            let now = mono_now();
            let duration = SlotDuration {
                load: self.record.load,
                total_ms: now.millis_since(self.record.sent_at),
                has_prompt: self.has_prompt,
            };
            pool.record_slot_time(self.key, duration, now);
        }
    }
}
