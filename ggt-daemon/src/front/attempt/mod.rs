//! Choice of a target, one send, and what follows from how it ends.

mod lessons;

use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::clock::until;
use crate::front::answer::FrontRefusal;
use crate::front::job::FrontJob;
use crate::front::job::SendGuard;
use crate::front::settings::FrontSettings;
use crate::front::state::CONNECT_WAIT;
use crate::front::state::FrontState;
use crate::logging::quoted;
use crate::upstream::SendFailure;
use crate::upstream::TargetChannel;
use ggt_core::limits::ShareTicket;
use ggt_core::prompts::PromptChain;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetChoice;
use ggt_core::targets::TargetKey;
use ggt_platform::ReplyFacts;
use ggt_platform::SendFacts;
use ggt_platform::read_reply;
use ggt_platform::target_head;

/// Connections that one request tries to open at most.
const MAX_CONNECTS: u32 = 5;
/// Milliseconds after which a caller should come back when no target can be used.
const NO_TARGET_RETRY_MS: u64 = 400;
/// Milliseconds after which a caller should come back when its request did not get to a target.
const LOST_RETRY_MS: u64 = 150;
/// Part of its targets' places from which on a service's customers are held to their shares.
const SHARE_FROM: f64 = 0.9;
/// Time past the deadline for which a target's own last word is awaited.
const LAST_WORD_MS: u64 = 40;
/// Shortest silence in milliseconds after which an idempotent request moves to another target.
const MIN_SILENCE_MS: u64 = 250;
/// Goals that a target may let pass in silence before the request moves.
const SILENT_GOALS: u64 = 3;
/// Silence in milliseconds after which an idempotent request moves when its target cannot be reached
/// by new connections.
const LOST_SILENCE_MS: u64 = 300;
/// Time between looks at whether a silent target should be left.
const SILENCE_STEP: Duration = Duration::from_millis(50);
/// Urgency towards targets of the highest priority.
const FIRST_URGENCY: u32 = 3;
/// Least urgency towards targets.
const LAST_URGENCY: u32 = 9;

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

    fn query<'a>(&'a self, settings: &'a FrontSettings) -> ChoiceQuery<'a> {
        let job = &self.job;
        ChoiceQuery {
            service: &job.service,
            chain: job.chain.as_ref(),
            spread_hash: ggt_core::routes::share_hash(&job.id),
            goal_ms: job.route.goal_ms,
            priority: job.priority,
            data_centre: &settings.data_centre,
            tried: &self.tried,
            has_begun: self.may_have_run,
            is_idempotent: job.route.is_idempotent,
        }
    }

    /// Counts the request against its customer's share of the service, once; while the service is nearly
    /// full, customers over their fair share are refused.
    fn admit(&mut self) -> Result<(), FrontRefusal> {
        if self.ticket.is_some() || self.may_have_run {
            return Ok(());
        }
        let settings = self.state.settings();
        let utilisation = self.state.pool.borrow().utilisation(&self.query(&settings));
        let customer = self.job.customer.clone().unwrap_or_default();
        let mut shares = self.state.shares.borrow_mut();
        let pool = (self.job.service.clone(), self.job.priority);
        let admitted = shares.admit(&pool, &customer, 1.0, utilisation, SHARE_FROM);
        drop(shares);
        match admitted {
            Ok(ticket) => {
                self.ticket = Some(ticket);
                Ok(())
            }
            Err(share) => {
                log::info!(
                    "event=over-share request_id={} customer={} service={} share={share:.1} \
                     utilisation={utilisation:.2}",
                    quoted(&self.job.id),
                    quoted(&customer),
                    self.job.service,
                );
                let status = StatusCode::TOO_MANY_REQUESTS;
                Err(FrontRefusal { status, ..self.not_run_full("over-share") })
            }
        }
    }

    /// A refusal for want of room, with the time after which there may be some.
    fn not_run_full(&self, cause: &'static str) -> FrontRefusal {
        let settings = self.state.settings();
        let mut pool = self.state.pool.borrow_mut();
        FrontRefusal::not_run(cause, pool.note_full(&self.query(&settings), mono_now()))
    }

    /// The final answer when there is no target to send to.
    fn no_choice(&self, error: ChoiceError) -> FrontRefusal {
        match (self.may_have_run, error) {
            (true, _) => FrontRefusal::new(StatusCode::BAD_GATEWAY, "no-target"),
            (false, ChoiceError::NoTarget) => {
                FrontRefusal::not_run("no-target", NO_TARGET_RETRY_MS)
            }
            (false, ChoiceError::Full) => self.not_run_full("no-room"),
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
            return Err(FrontRefusal::not_run("no-target", NO_TARGET_RETRY_MS));
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

    async fn send(
        &mut self,
        choice: &TargetChoice,
        last_event: Option<u64>,
    ) -> Result<TargetReply, SendError> {
        let key = choice.key;
        let none = PromptChain::default();
        let chain = self.job.chain.as_ref().unwrap_or(&none);
        let guard = SendGuard::new(self.state.clone(), key, chain, choice.source.is_some());
        let answered = match self.send_on_any(choice, last_event).await {
            Ok((response, channel)) => self.judge(key, response).map(|reply| (reply, channel)),
            Err(error) => Err(error),
        };
        if let Err(SendError::NotSent { .. } | SendError::Refused { .. }) = &answered {
            guard.take_back();
        }
        let ((parts, facts, body), channel) = answered?;
        // Whatever it says, the target has begun to run the request.
        self.may_have_run = true;
        guard.note_run();
        Ok(TargetReply {
            key,
            status: parts.status,
            head: parts.headers,
            facts,
            body,
            channel,
            guard,
        })
    }

    /// Takes what a reply's head says of its target, and whether the reply is this request's.
    fn judge(
        &self,
        key: TargetKey,
        response: Response<Incoming>,
    ) -> Result<(Parts, ReplyFacts, Incoming), SendError> {
        let (parts, body) = response.into_parts();
        let facts = read_reply(parts.status, &parts.headers);
        self.state.pool.borrow_mut().note_heard(key, facts.load, mono_now());
        self.check(&parts.status, &facts)?;
        Ok((parts, facts, body))
    }

    /// Sends on a kept connection if the request may run more than once, since a reset on it does not
    /// tell whether it has run, and else, or when that one breaks, on a new connection.
    async fn send_on_any(
        &mut self,
        choice: &TargetChoice,
        last_event: Option<u64>,
    ) -> Result<(Response<Incoming>, TargetChannel), SendError> {
        let key = choice.key;
        if self.job.route.is_idempotent
            && let Some(channel) = self.state.channels.take(key)
        {
            match self.send_on(choice, last_event, channel).await {
                // The target closed the connection while it was idle.
                Err(SendError::NotSent { .. }) => {}
                Err(SendError::Lost { cause, kind: LossKind::Stale })
                    if self.state.try_retry(&self.job.service) =>
                {
                    self.note_send(key, "stale-connection", &cause);
                }
                sent => return sent,
            }
            // The second send goes to the same target.
            self.sends -= 1;
        }
        self.connects += 1;
        let address = self.state.pool.borrow().target(key).map(|target| target.record.address);
        let address = address.ok_or(SendError::NotSent { cause: "target gone".to_owned() })?;
        let channel = TargetChannel::open(address, CONNECT_WAIT)
            .await
            .map_err(|e| SendError::NotSent { cause: e.to_string() })?;
        self.send_on(choice, last_event, channel).await
    }

    async fn send_on(
        &mut self,
        choice: &TargetChoice,
        last_event: Option<u64>,
        mut channel: TargetChannel,
    ) -> Result<(Response<Incoming>, TargetChannel), SendError> {
        let request = self.request(choice, last_event)?;
        let deadline = self.job.deadline + LAST_WORD_MS;
        self.sends += 1;
        let sent = tokio::select! {
            sent = channel.send(request, self.job.deadline) => sent,
            () = sleep(until(deadline)) => return Err(SendError::TimedOut),
            () = self.silence(choice.key) => {
                let cause = "silent".to_owned();
                return Err(SendError::Lost { cause, kind: LossKind::Silent });
            }
        };
        match sent {
            Ok(response) => Ok((response, channel)),
            Err(SendFailure::NotSent { cause }) => Err(SendError::NotSent { cause }),
            Err(SendFailure::Lost { cause }) => {
                let kind = if channel.is_kept() { LossKind::Stale } else { LossKind::Reset };
                Err(SendError::Lost { cause, kind })
            }
        }
    }

    fn request(
        &self,
        choice: &TargetChoice,
        last_event: Option<u64>,
    ) -> Result<Request<Full<bytes::Bytes>>, SendError> {
        let job = &self.job;
        let pool = self.state.pool.borrow();
        let source = choice.source.and_then(|source| pool.target(source));
        let target =
            pool.target(choice.key).ok_or(SendError::NotSent { cause: "gone".to_owned() })?;
        let urgency = job.chain.is_some().then(|| (FIRST_URGENCY + job.priority).min(LAST_URGENCY));
        let facts = SendFacts {
            target_id: &target.record.id,
            customer: job.customer.as_deref(),
            wait_ms: job.wait_ms().max(1),
            urgency,
            last_event,
            copy_from: source.map(|source| source.record.address),
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job
            .path
            .parse()
            .map_err(|_| SendError::NotSent { cause: "malformed path".to_owned() })?;
        *request.headers_mut() = target_head(&job.head, &facts);
        Ok(request)
    }

    /// Ends when the target has been silent for so long that an idempotent request should move.
    async fn silence(&self, key: TargetKey) {
        let job = &self.job;
        let may_move = job.route.is_idempotent && self.sends < job.route.max_attempts;
        if !may_move {
            return std::future::pending().await;
        }
        let sent_at = mono_now();
        let limit_ms = (job.route.goal_ms * SILENT_GOALS).max(MIN_SILENCE_MS);
        loop {
            sleep(SILENCE_STEP).await;
            let silent_ms = mono_now().millis_since(sent_at);
            let is_lost = self.state.is_unreachable(key) && silent_ms >= LOST_SILENCE_MS;
            // A target that answers others is busy, not silent.
            let heard_at = self.state.pool.borrow().target(key).map(|target| target.heard_at);
            let is_busy = job.route.is_stream && heard_at.is_some_and(|at| at > sent_at);
            if is_lost || (silent_ms >= limit_ms && !is_busy) {
                return;
            }
        }
    }

    fn check(&self, status: &StatusCode, facts: &ReplyFacts) -> Result<(), SendError> {
        let lost =
            |cause: &str| SendError::Lost { cause: cause.to_owned(), kind: LossKind::Unusable };
        match &facts.attempt_id {
            Some(id) if *id != self.job.id => return Err(lost("answer to another request")),
            None if status.is_success() => return Err(lost("answer without the request's id")),
            _ => {}
        }
        if facts.is_refusal && !facts.is_signed {
            let is_misdirected = facts.is_misdirected;
            return Err(SendError::Refused { status: *status, is_misdirected });
        }
        if !facts.is_signed {
            return Err(lost("unsigned answer"));
        }
        if facts.is_encoded {
            return Err(lost("encoded answer"));
        }
        Ok(())
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
