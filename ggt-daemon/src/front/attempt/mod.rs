//! Choice of a target, one send, and what follows from how it ends.

mod admission;
mod lessons;
mod sending;

use std::rc::Rc;

use http::HeaderMap;
use http::StatusCode;
use hyper::body::Incoming;

use crate::clock::mono_now;
use crate::front::answer::FrontRefusal;
use crate::front::job::FrontJob;
use crate::front::job::SendGuard;
use crate::front::state::FrontState;
use crate::logging::quoted;
use crate::upstream::TargetChannel;
use ggt_core::limits::ShareTicket;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetChoice;
use ggt_core::targets::TargetKey;
use ggt_platform::ReplyFacts;

/// Connections that one request tries to open at most.
const MAX_CONNECTS: u32 = 5;
/// Milliseconds after which a caller should come back when its request did not get to a target.
const LOST_RETRY_MS: u64 = 150;

/// A reply whose head has come.
pub struct TargetReply {
    /// The target.
    pub key: TargetKey,
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub head: HeaderMap,
    /// What the headers say.
    pub facts: ReplyFacts,
    /// The body, still to be read.
    pub body: Incoming,
    /// The connection.
    pub channel: TargetChannel,
    /// Counts the send as in flight.
    pub guard: SendGuard,
}

/// How a request was lost at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossKind {
    /// The target said nothing for too long.
    Silent,
    /// A kept connection broke: the target may have closed it while it was idle.
    Stale,
    /// A new connection broke, so that the target may have died.
    Reset,
    /// The target answered with what cannot be passed on.
    Unusable,
}

/// Why one send brought no reply.
enum SendError {
    /// Nothing left this daemon.
    NotSent { cause: String },
    /// The target states that it did not run the request.
    Refused { status: StatusCode, is_misdirected: bool },
    /// The request left; it may have run.
    Lost { cause: String, kind: LossKind },
    /// The deadline came; the request may have run.
    TimedOut,
}

/// The targets that one request has been sent to, and whether it may have run.
pub struct AttemptRun {
    state: Rc<FrontState>,
    job: Rc<FrontJob>,
    tried: Vec<TargetKey>,
    sends: u32,
    connects: u32,
    may_have_run: bool,
    ticket: Option<ShareTicket<(String, u32)>>,
}

impl Drop for AttemptRun {
    fn drop(&mut self) {
        if let Some(ticket) = &self.ticket {
            self.state.shares.borrow_mut().release(ticket);
        }
    }
}

impl AttemptRun {
    /// The run of a request that has not been sent yet.
    pub fn new(state: Rc<FrontState>, job: Rc<FrontJob>) -> Self {
        Self {
            state,
            job,
            tried: Vec::new(),
            sends: 0,
            connects: 0,
            may_have_run: false,
            ticket: None,
        }
    }

    /// Whether the request may be sent to another target after one that failed; counts the retry.
    pub fn may_go_on(&self) -> bool {
        let job = &self.job;
        let is_allowed = !self.may_have_run || job.route.is_idempotent;
        is_allowed
            && self.sends < job.route.max_attempts
            && mono_now() < job.deadline
            && self.state.try_retry(&job.service)
    }

    /// Sends the request until a target's reply begins.
    ///
    /// # Errors
    /// [`FrontRefusal`] is the final answer when none does.
    pub async fn next_reply(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<TargetReply, FrontRefusal> {
        loop {
            if mono_now() >= self.job.deadline {
                return Err(self.timed_out());
            }
            let choice = self.choose()?;
            match self.send(&choice, last_event).await {
                Ok(reply) => return Ok(reply),
                Err(error) => self.after_failure(choice.key, error).await?,
            }
        }
    }

    /// Records that the reply of a target broke off or was of no use.
    pub async fn note_broken(&mut self, key: TargetKey, cause: &str, kind: LossKind) {
        self.may_have_run = true;
        self.note_lost(key, cause, kind).await;
    }

    /// The final answer when no further send is allowed after a loss.
    pub fn lost(&self) -> FrontRefusal {
        if mono_now() >= self.job.deadline {
            return self.timed_out();
        }
        match self.may_have_run {
            true => FrontRefusal::new(StatusCode::BAD_GATEWAY, "target-lost"),
            false => FrontRefusal::not_run("target-lost", LOST_RETRY_MS),
        }
    }

    fn timed_out(&self) -> FrontRefusal {
        match self.may_have_run {
            true => FrontRefusal::new(StatusCode::GATEWAY_TIMEOUT, "deadline"),
            false => FrontRefusal::not_run("deadline", LOST_RETRY_MS),
        }
    }

    fn choose(&mut self) -> Result<TargetChoice, FrontRefusal> {
        self.admit()?;
        let (state, job) = (&self.state, &self.job);
        let settings = state.settings();
        let now = mono_now();
        let query = self.query(&settings);
        let chosen = state.pool.borrow().choose(&query, now);
        let choice = chosen.map_err(|e| self.no_choice(e))?;
        let pool = state.pool.borrow();
        let Some(target) = pool.target(choice.key) else {
            return Err(self.no_choice(ChoiceError::NoTarget));
        };
        let report = target.report.unwrap_or_default();
        let source = choice.source.and_then(|source| pool.target(source));
        log::info!(
            "event=route request_id={} route={} version={} customer={} service={} target={} \
             incarnation={} reason={} load={:.1} bound={:.1} own={} peers={} told={} told_age_ms={} \
             copy_from={} send={} left_ms={}",
            quoted(&job.id),
            job.route.name,
            job.version,
            job.customer.as_deref().unwrap_or("-"),
            job.service,
            target.record.id,
            target.record.incarnation,
            choice.reason.as_str(),
            choice.load,
            choice.bound,
            target.own.requests,
            target.peers.requests,
            report.0.running + report.0.waiting,
            now.millis_since(report.1),
            source.map_or("-", |source| source.record.id.as_str()),
            self.sends + 1,
            job.wait_ms(),
        );
        drop(pool);
        state.metrics.note_choice(choice.reason.as_str());
        self.tried.push(choice.key);
        Ok(choice)
    }

    /// Draws the conclusions of a failed send; goes on with another target when it returns.
    async fn after_failure(
        &mut self,
        key: TargetKey,
        error: SendError,
    ) -> Result<(), FrontRefusal> {
        match error {
            SendError::NotSent { cause } => {
                self.note_send(key, "not-sent", &cause);
                self.note_outcome(key, SendOutcome::Unreachable);
                if self.connects < MAX_CONNECTS { Ok(()) } else { Err(self.lost()) }
            }
            SendError::Refused { status, is_misdirected } => {
                self.note_send(key, "refused", status.as_str());
                self.note_refused(key, is_misdirected);
                if self.may_go_on() { Ok(()) } else { Err(self.full()) }
            }
            SendError::Lost { cause, kind } => {
                self.may_have_run = true;
                self.note_lost(key, &cause, kind).await;
                if self.may_go_on() { Ok(()) } else { Err(self.lost()) }
            }
            SendError::TimedOut => {
                self.may_have_run = true;
                self.note_send(key, "timed-out", "deadline");
                Err(self.timed_out())
            }
        }
    }

    fn full(&self) -> FrontRefusal {
        match self.may_have_run {
            true => FrontRefusal::new(StatusCode::BAD_GATEWAY, "targets-full"),
            false => self.not_run_full("targets-full"),
        }
    }
}
