//! Sends one request to targets: choice of a target, the send itself, its outcome, and retries.

mod admission;
mod choose;
mod crash_check;
mod failure;
mod forward;
mod liveness;
mod move_on;
mod outcome;
mod send;
mod shares;
mod silence;
mod statements;
mod waiting;
mod whole;

pub use failure::FailureKind;
pub use failure::ReplyFailure;
pub use failure::SendError;
pub use liveness::CompleteEnd;
pub use move_on::MovedReply;
pub use whole::WholeReply;

use std::cell::Cell;
use std::future::ready;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;

use crate::clock::mono_now;
use crate::front::attempt::shares::ShareState;
use crate::front::job::FrontJob;
use crate::front::job::SendGuard;
use crate::front::origins::StreamStart;
use crate::front::response::FrontRefusal;
use crate::front::state::FrontState;
use crate::logging::quoted;
use crate::upstream::TargetConnection;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashId;
use ggt_core::limits::SharePermit;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetState;
use ggt_core::versions::SoftwareVersion;
use ggt_platform::ReplyHeaders;

/// Maximum number of connections that one request may try to open.
const MAX_CONNECTS: u32 = 5;
/// Maximum number of sends of one request to addresses at which other instances reply, beyond its attempts.
const MAX_MISDIRECTED_SENDS: u32 = 2;
/// `retry-after` in milliseconds for a request that no target has run.
const NOT_RUN_RETRY_MS: u64 = 150;

/// A frame of a body; `None` at its end.
type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// A reply whose head has been received and checked, with its body still to be read.
pub struct TargetReply {
    /// The target; of no use if a peer forwards the reply.
    target: SentTarget,
    /// The peer that forwards the target's reply, if the request was forwarded.
    pub peer: Option<SocketAddr>,
    pub status: StatusCode,
    pub raw_headers: HeaderMap,
    /// The platform's headers, decoded from `raw_headers`.
    pub headers: ReplyHeaders,
    pub body: Incoming,
    /// The next frame of the body, or its end, if it was read while another target was tried.
    next_frame: Option<BodyFrame>,
    /// Connection that carries the body; it can be reused once the body has been read.
    pub connection: TargetConnection,
    /// Counts the send as in flight until it is dropped.
    pub guard: SendGuard,
}

impl TargetReply {
    /// The target that sent it.
    pub const fn key(&self) -> TargetKey {
        self.target.key
    }

    /// The next frame of the body, or `None` at its end.
    pub async fn frame(&mut self) -> BodyFrame {
        match self.next_frame.take() {
            Some(frame) => frame,
            None => self.body.frame().await,
        }
    }

    /// The next bytes of the body if they have arrived already.
    pub async fn arrived_data(&mut self) -> Option<Bytes> {
        let frame = tokio::select! {
            biased;
            frame = self.frame() => frame,
            () = ready(()) => return None,
        };
        match frame {
            Some(Ok(frame)) => Some(frame.into_data().unwrap_or_default()),
            end => {
                self.next_frame = Some(end);
                None
            }
        }
    }

    /// Returns once a frame of the body has arrived, which is kept.
    async fn wait_for_frame(&mut self) {
        let frame = self.frame().await;
        let frame = self.next_frame.insert(frame);
        if !matches!(frame, Some(Ok(_))) {
            std::future::pending().await
        }
    }
}

/// Why a request may not be sent to another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryDenial {
    /// It may have run and must not run twice.
    NotIdempotent,
    /// The route's maximum number of attempts is reached.
    Attempts,
    /// The deadline has passed.
    Deadline,
    /// This daemon's part of the service's retry budget is spent.
    Budget,
    /// No other target can take it now.
    NoTarget,
    /// It is to blame for too many crashes.
    Crashing,
}

impl RetryDenial {
    /// The cause as written in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not-idempotent",
            Self::Attempts => "attempts",
            Self::Deadline => "deadline",
            Self::Budget => "budget",
            Self::NoTarget => "no-target",
            Self::Crashing => "crashes-targets",
        }
    }
}

/// The target of a send, as it was when it was chosen.
#[derive(Clone, Copy, Debug)]
struct SentTarget {
    key: TargetKey,
    address: SocketAddr,
    crash: CrashId,
    version: SoftwareVersion,
}

/// Retry state of one request: the targets tried so far, and whether the request may have run.
pub struct UpstreamAttempts {
    state: Rc<FrontState>,
    job: Rc<FrontJob>,
    tried: Vec<TargetKey>,
    sent_target: Option<SentTarget>,
    sends: u32,
    /// Sends that another instance turned away and that do not count as attempts.
    misdirected_sends: u32,
    connects: u32,
    may_have_run: bool,
    /// Whether the request goes on with a stream that is known to have begun.
    has_begun_before: bool,
    /// Whether a request has been sent and the head of its reply has not arrived.
    is_awaiting_reply: bool,
    /// Since when the last target has been silent, if the request is to leave it for another one and
    /// has a retry reserved.
    moving_since: Cell<Option<MonoTime>>,
    /// The same, if the other target did not take the request over.
    stayed_since: Cell<Option<MonoTime>>,
    /// Whether a retry is reserved since the request is to leave a silent target for a peer.
    has_reserved_forward: Cell<bool>,
    /// The only version that may serve the request, which goes on with a stream.
    version: Cell<Option<SoftwareVersion>>,
    /// Whether the stream began at a target that was in doubt then, and that has been settled.
    has_settled_version: bool,
    /// The last peer that took the request.
    last_peer: Option<SocketAddr>,
    /// Version of the target that has served the request at a peer.
    forwarded_version: Option<SoftwareVersion>,
    permit: Option<SharePermit<(String, u32)>>,
    share_state: ShareState,
}

impl Drop for UpstreamAttempts {
    fn drop(&mut self) {
        // The target may have crashed without closing the connection.
        if let Some(target) = self.sent_target.filter(|_| self.is_awaiting_reply) {
            self.state.record_loss(&self.job, target.crash, "caller disconnected");
        }
        if let Some(permit) = &self.permit {
            self.state.shares.borrow_mut().release(permit);
        }
    }
}

impl UpstreamAttempts {
    /// State of a request that has not been sent yet.
    pub fn new(state: Rc<FrontState>, job: Rc<FrontJob>) -> Self {
        let may_have_run = job.handover.as_ref().is_some_and(|handover| handover.may_have_run);
        Self {
            state,
            job,
            tried: Vec::new(),
            sent_target: None,
            sends: 0,
            misdirected_sends: 0,
            connects: 0,
            may_have_run,
            has_begun_before: false,
            is_awaiting_reply: false,
            moving_since: Cell::default(),
            stayed_since: Cell::default(),
            has_reserved_forward: Cell::default(),
            version: Cell::default(),
            has_settled_version: false,
            last_peer: None,
            forwarded_version: None,
            permit: None,
            share_state: ShareState::default(),
        }
    }

    /// Sets the only version that may serve the request from now on.
    pub fn require_version(&self, version: Option<SoftwareVersion>) {
        self.version.set(version);
    }

    /// Whether the stream is known to other daemons by another version than that of the last send: it began at a target
    /// that was in doubt then.
    pub const fn has_settled_version(&self) -> bool {
        self.has_settled_version
    }

    /// Goes on with a stream that may have begun before.
    pub fn go_on_with(&mut self, start: StreamStart) {
        self.version.set(start.version);
        self.has_begun_before = start.has_begun;
    }

    /// The version of the target of the last send. If it was in doubt when the target was chosen, that may have been
    /// settled since.
    pub fn sent_version(&self) -> Option<SoftwareVersion> {
        let Some(sent) = self.sent_target else { return self.forwarded_version };
        let pool = self.state.pool.borrow();
        let target = pool.target(sent.key).filter(|target| target.crash_id() == sent.crash);
        let settled = target.filter(|target| target.record.version != sent.version);
        Some(settled.map_or(sent.version, TargetState::version))
    }

    /// Whether the request may be sent to another target after a failure. Takes the retry from the
    /// service's retry budget; logs what denies it.
    pub fn try_next_send(&self) -> bool {
        if self.moving_since.get().is_some() || self.has_reserved_forward.take() {
            return true;
        }
        let denial = self
            .retry_denial()
            .or_else(|| (!self.state.try_retry(&self.job.service)).then_some(RetryDenial::Budget));
        let Some(denial) = denial else { return true };
        log::info!(
            "event=retry-denied request_id={} cause={} sends={} left_ms={}",
            quoted(&self.job.id),
            denial.as_str(),
            self.sends,
            self.job.remaining_ms(),
        );
        false
    }

    /// What denies a retry, apart from the retry budget.
    fn retry_denial(&self) -> Option<RetryDenial> {
        let job = &self.job;
        if self.may_have_run && !job.route.is_idempotent {
            return Some(RetryDenial::NotIdempotent);
        }
        if self.sends >= job.route.max_attempts {
            return Some(RetryDenial::Attempts);
        }
        (mono_now() >= job.deadline).then_some(RetryDenial::Deadline)
    }

    /// Sends the request to one target after another until the head of a reply arrives.
    /// `last_event` is the last event that the caller has of a resumed stream.
    ///
    /// # Errors
    /// [`FrontRefusal`], the final response, when no target replies.
    pub async fn next_reply(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<TargetReply, FrontRefusal> {
        loop {
            if mono_now() >= self.job.deadline {
                return Err(self.timeout_refusal());
            }
            if let Some(refusal) = self.refuse_crashing() {
                return Err(refusal);
            }
            if let Some(result) = self.forward(last_event).await {
                return result;
            }
            if self.connects >= MAX_CONNECTS && self.must_forward() {
                return Err(self.send_failure_refusal());
            }
            if let Some(version) = self.version.get() {
                let settled = self.state.settle_version(&self.job.service, version, &self.tried);
                let settled = settled.await;
                self.has_settled_version |= settled != version;
                self.version.set(Some(settled));
            }
            let choice = self.choose_in_time().await?;
            let end = self.send(&choice, last_event).await;
            if let Some(reply) = self.finish_send(choice.key, end, last_event).await? {
                return Ok(reply);
            }
        }
    }

    /// Records that a target's reply was interrupted or cannot be forwarded.
    pub async fn record_interruption(&mut self, key: TargetKey, failure: &ReplyFailure) {
        self.may_have_run = true;
        self.record_failure(key, failure).await;
    }

    /// Final response when a send failed and no retry is allowed.
    pub fn send_failure_refusal(&self) -> FrontRefusal {
        if mono_now() >= self.job.deadline {
            return self.timeout_refusal();
        }
        match self.may_have_run {
            true => FrontRefusal::new(StatusCode::BAD_GATEWAY, "target-lost"),
            false => FrontRefusal::not_run("target-lost", NOT_RUN_RETRY_MS),
        }
    }

    /// Final response if the request was in flight at too many crashes, also of other calls.
    fn refuse_crashing(&self) -> Option<FrontRefusal> {
        let refusal = self.state.refuse_crashing(&self.job)?;
        Some(match self.may_have_run {
            true => FrontRefusal::new(StatusCode::BAD_GATEWAY, refusal.cause),
            false => refusal,
        })
    }

    fn timeout_refusal(&self) -> FrontRefusal {
        match self.may_have_run {
            true => FrontRefusal::new(StatusCode::GATEWAY_TIMEOUT, "deadline"),
            false => FrontRefusal::not_run("deadline", NOT_RUN_RETRY_MS),
        }
    }

    /// Records a failed send. Returns `Ok` if the request may be sent to another target, otherwise
    /// the final response.
    async fn handle_failure(
        &mut self,
        key: TargetKey,
        error: SendError,
    ) -> Result<(), FrontRefusal> {
        match error {
            SendError::NotSent { cause, outcome } => {
                self.record_send(key, "not-sent", &cause);
                self.state.record_outcome(key, outcome);
                let may_continue = self.connects < MAX_CONNECTS || self.can_forward();
                if may_continue { Ok(()) } else { Err(self.send_failure_refusal()) }
            }
            SendError::Refused { status, is_misdirected } => {
                self.record_send(key, "refused", status.as_str());
                self.record_refusal(key, is_misdirected);
                if is_misdirected && self.misdirected_sends < MAX_MISDIRECTED_SENDS {
                    // It reached no target of the service, so it is no attempt of the route's maximum.
                    self.misdirected_sends += 1;
                    self.sends = self.sends.saturating_sub(1);
                }
                if self.is_service_fragile() {
                    return Err(self.fragile_refusal());
                }
                if self.try_next_send() { Ok(()) } else { Err(self.targets_full_refusal()) }
            }
            SendError::Lost(failure) => {
                self.may_have_run = true;
                self.record_failure(key, &failure).await;
                if self.try_next_send() { Ok(()) } else { Err(self.send_failure_refusal()) }
            }
            SendError::Deadline => {
                self.may_have_run = true;
                self.record_send(key, "timed-out", "deadline");
                self.check_silent_target("deadline").await;
                Err(self.timeout_refusal())
            }
        }
    }

    /// Whether the targets fall over if they turn away too many: one of them may be as full as the next.
    fn is_service_fragile(&self) -> bool {
        self.state.pool.borrow().max_rejections(&self.job.service).is_some()
    }

    /// Final response when a fragile target refused the request.
    fn fragile_refusal(&self) -> FrontRefusal {
        match self.may_have_run {
            true => FrontRefusal::new(StatusCode::BAD_GATEWAY, "targets-fragile"),
            false => self.overload_refusal("targets-fragile"),
        }
    }

    /// Final response when a target refused the request and no retry is allowed.
    fn targets_full_refusal(&self) -> FrontRefusal {
        match self.may_have_run {
            true => FrontRefusal::new(StatusCode::BAD_GATEWAY, "targets-full"),
            false => self.overload_refusal("targets-full"),
        }
    }
}
