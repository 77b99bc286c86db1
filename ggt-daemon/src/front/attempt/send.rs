//! One send of a request to one target, and the check of its reply's head.

use http::Request;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::task::JoinError;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::clock::time_until;
use crate::front::attempt::FailureKind;
use crate::front::attempt::ReplyFailure;
use crate::front::attempt::SendError;
use crate::front::attempt::SentTarget;
use crate::front::attempt::TargetReply;
use crate::front::attempt::UpstreamAttempts;
use crate::front::job::SendGuard;
use crate::upstream::SendFailure;
use crate::upstream::TargetConnection;
use ggt_core::clock::MonoTime;
use ggt_core::prompts::PrefixChain;
use ggt_core::silence::ReplyStage;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetChoice;
use ggt_core::targets::TargetKey;
use ggt_platform::ForwardHeaders;
use ggt_platform::ReplyHeaders;
use ggt_platform::build_target_headers;
use ggt_platform::parse_reply_headers;

/// Milliseconds past the deadline for which a target's own error reply is awaited.
const REPLY_GRACE_MS: u64 = 40;
/// Urgency value sent to targets for priority 0; lower values are served first.
const HIGHEST_URGENCY: u32 = 3;
/// Urgency value of the lowest priorities.
const LOWEST_URGENCY: u32 = 9;

/// How a send ended, as far as the head of its reply.
pub enum SendEnd {
    /// The head of a valid reply has arrived.
    Replied(Box<TargetReply>),
    /// The target is silent, and a retry at another one is reserved.
    Silent(PendingSend),
    /// There is no usable reply.
    Failed(SendError),
}

/// A request that has been written to a target, with the head of the reply still to come.
pub struct PendingSend {
    pub(super) target: SentTarget,
    guard: SendGuard,
    task: SendTask,
}

/// The exchange of a request and the head of its reply; dropping it closes the connection.
struct SendTask {
    handle: JoinHandle<SendResult>,
    /// How the exchange ended, if that is known already.
    ended: Option<Box<Result<SendResult, JoinError>>>,
}

/// The head of a reply, and the connection on which it was awaited.
type SendResult = (Result<Response<Incoming>, SendFailure>, TargetConnection);

impl Drop for SendTask {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

impl SendTask {
    /// Waits until the exchange ends.
    async fn end(&mut self) -> Result<SendResult, JoinError> {
        match self.ended.take() {
            Some(ended) => *ended,
            None => (&mut self.handle).await,
        }
    }

    /// Returns once the head of a reply with success has arrived, which is kept.
    async fn wait_for_success(&mut self) {
        let ended = self.end().await;
        let ended = self.ended.insert(Box::new(ended));
        if !matches!(ended.as_ref(), Ok((Ok(response), _)) if response.status().is_success()) {
            std::future::pending().await
        }
    }
}

impl PendingSend {
    /// Returns once the head of a reply with success has arrived, which is kept.
    pub(super) async fn wait_for_success(&mut self) {
        self.task.wait_for_success().await;
    }
}

/// How waiting for the head of a reply ended.
enum HeadWait {
    /// The head has arrived.
    Arrived(Response<Incoming>, TargetConnection),
    /// The target is silent, and a retry at another one is reserved.
    Silent(SendTask),
}

impl UpstreamAttempts {
    /// Sends the request to the chosen target and waits for the head of a valid reply.
    pub(super) async fn send(&mut self, choice: &TargetChoice, last_event: Option<u64>) -> SendEnd {
        let Some(target) = self.sent_target else {
            return SendEnd::Failed(not_sent("target gone"));
        };
        let empty_chain = PrefixChain::default();
        let chain = self.job.chain.as_ref().unwrap_or(&empty_chain);
        let guard = SendGuard::new(self.state.clone(), choice.key, chain, choice.source.is_some());
        let waited = self.send_request(choice, last_event).await;
        self.end_send(target, guard, waited)
    }

    /// Waits on for the head of a silent target's reply.
    pub(super) async fn wait_on(&mut self, pending: PendingSend) -> SendEnd {
        let PendingSend { target, guard, task } = pending;
        self.sent_target = Some(target);
        let waited = self.wait_for_head(task).await;
        self.end_send(target, guard, waited)
    }

    fn end_send(
        &mut self,
        target: SentTarget,
        guard: SendGuard,
        waited: Result<HeadWait, SendError>,
    ) -> SendEnd {
        let accepted = match waited {
            Ok(HeadWait::Arrived(response, connection)) => {
                let decoded = self.decode_reply(target.key, guard.sent_at(), response);
                decoded.map(|decoded| (decoded, connection))
            }
            Ok(HeadWait::Silent(task)) => {
                self.may_have_run = true;
                return SendEnd::Silent(PendingSend { target, guard, task });
            }
            Err(error) => Err(error),
        };
        let ((parts, headers, body), connection) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                if matches!(error, SendError::NotSent { .. } | SendError::Refused { .. }) {
                    guard.undo_send();
                }
                if matches!(error, SendError::Refused { is_misdirected: false, .. }) {
                    let (sent_at, now) = (guard.sent_at(), mono_now());
                    self.state.pool.borrow_mut().record_rejection(target.key, sent_at, now);
                }
                return SendEnd::Failed(error);
            }
        };
        // A reply that is no refusal means that the target has started the request, whatever its
        // status.
        self.may_have_run = true;
        self.state.record_target_reply(target.crash, guard.sent_at());
        guard.record_start();
        SendEnd::Replied(Box::new(TargetReply {
            target,
            peer: None,
            status: parts.status,
            raw_headers: parts.headers,
            headers,
            body,
            next_frame: None,
            connection,
            guard,
        }))
    }

    /// Decodes a reply's head, checks that the reply belongs to this request, and applies what it states
    /// about the target.
    fn decode_reply(
        &self,
        key: TargetKey,
        sent_at: MonoTime,
        response: Response<Incoming>,
    ) -> Result<(Parts, ReplyHeaders, Incoming), SendError> {
        let (parts, body) = response.into_parts();
        let headers = parse_reply_headers(parts.status, &parts.headers);
        self.check_id(&headers)?;
        self.state.pool.borrow_mut().record_reply(key, headers.load, mono_now());
        self.state.apply_load_header(key, headers.load);
        self.state.apply_work_time_header(key, &headers);
        self.apply_statements(key, sent_at, &headers);
        check_content(parts.status, &headers)?;
        self.state.pool.borrow_mut().record_accepted(key, headers.load, mono_now());
        Ok((parts, headers, body))
    }

    /// Sends on an idle connection if there is one and the request is idempotent, otherwise on a
    /// new connection, also when the idle one turns out to be broken. Other requests never reuse
    /// connections: after a reset it would be unknown whether they have run.
    async fn send_request(
        &mut self,
        choice: &TargetChoice,
        last_event: Option<u64>,
    ) -> Result<HeadWait, SendError> {
        let key = choice.key;
        let sends_before = self.sends;
        if self.job.route.is_idempotent
            && let Some(connection) = self.state.connections.take(key)
        {
            match self.send_on_connection(choice, last_event, connection).await {
                // The target closed the connection while it was idle.
                Err(SendError::NotSent { .. }) => {}
                Err(SendError::Lost(failure)) if failure.kind == FailureKind::StaleConnection => {
                    let connection = self.replace_connection(key, failure).await?;
                    self.sends = sends_before;
                    return self.send_on_connection(choice, last_event, connection).await;
                }
                sent => return sent,
            }
            // The second send goes to the same target and counts as the same attempt.
            self.sends = sends_before;
        }
        self.connects += 1;
        let address = self.state.pool.borrow().target(key).map(|target| target.record.address);
        let address = address.ok_or(not_sent("target gone"))?;
        let opened = self.state.connect_target(key, address).await;
        let connection = match opened {
            Ok(connection) => connection,
            Err(e) => {
                self.record_connect_failure(&e).await;
                return Err(SendError::NotSent { cause: e.to_string(), outcome: e.outcome() });
            }
        };
        self.send_on_connection(choice, last_event, connection).await
    }

    /// Opens a new connection in place of a reused one that broke after the request had been
    /// written, for a second send to the same target within the same attempt. The target either
    /// closed the connection while it was idle or crashed; in the second case, or if no further send
    /// is allowed, returns the failure.
    async fn replace_connection(
        &mut self,
        key: TargetKey,
        failure: ReplyFailure,
    ) -> Result<TargetConnection, SendError> {
        self.may_have_run = true;
        let connection = self.check_crash(&failure.cause).await;
        match connection {
            Some(connection)
                if self.refuse_crashing().is_none()
                    && self.state.pool.borrow().may_resend(key, mono_now())
                    && self.state.try_retry(&self.job.service) =>
            {
                self.record_send(key, "stale-connection", &failure.cause);
                self.state.pool.borrow_mut().record_second_send(key, mono_now());
                Ok(connection)
            }
            _ => Err(SendError::Lost(failure)),
        }
    }

    async fn send_on_connection(
        &mut self,
        choice: &TargetChoice,
        last_event: Option<u64>,
        mut connection: TargetConnection,
    ) -> Result<HeadWait, SendError> {
        let request = self.build_request(choice, last_event)?;
        let deadline = self.job.deadline;
        self.sends += 1;
        self.job.has_begun_send.set(true);
        // A task of its own, so that the exchange goes on while another target is tried.
        let handle = spawn_local(async move {
            let sent = connection.send(request, deadline).await;
            (sent, connection)
        });
        self.wait_for_head(SendTask { handle, ended: None }).await
    }

    /// Waits until the head of a reply arrives, or the request should leave the silent target.
    async fn wait_for_head(&mut self, mut task: SendTask) -> Result<HeadWait, SendError> {
        let deadline = self.job.deadline + REPLY_GRACE_MS;
        self.is_awaiting_reply = true;
        let sent = tokio::select! {
            // A reply that has arrived goes before a silence that has been too long.
            biased;
            sent = task.end() => Some(sent),
            () = sleep(time_until(deadline)) => return Err(self.end_wait(SendError::Deadline)),
            () = self.wait_for_move(ReplyStage::Head) => None,
        };
        self.is_awaiting_reply = false;
        match sent {
            Some(sent) => sent_head(sent),
            None if self.is_moving() => Ok(HeadWait::Silent(task)),
            None => Err(SendError::Lost(ReplyFailure::new(FailureKind::Timeout, "silent"))),
        }
    }

    fn end_wait(&mut self, error: SendError) -> SendError {
        self.is_awaiting_reply = false;
        error
    }

    fn build_request(
        &self,
        choice: &TargetChoice,
        last_event: Option<u64>,
    ) -> Result<Request<Full<bytes::Bytes>>, SendError> {
        let job = &self.job;
        let pool = self.state.pool.borrow();
        let source = choice.source.and_then(|source| pool.target(source));
        let target = pool.target(choice.key).ok_or(not_sent("target gone"))?;
        let urgency =
            job.chain.is_some().then(|| (HIGHEST_URGENCY + job.priority).min(LOWEST_URGENCY));
        let headers = ForwardHeaders {
            target_id: &target.record.id,
            customer: job.customer.as_deref(),
            wait_ms: job.remaining_ms().max(1),
            urgency,
            last_event,
            copy_from: source.map(|source| source.record.address),
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.path.parse().map_err(|_| not_sent("malformed path"))?;
        *request.headers_mut() = build_target_headers(&job.raw_headers, &headers);
        Ok(request)
    }

    /// Checks that a reply names this request. A faulty target may write an earlier reply once more; taken
    /// for this request's, a refusal would say that it has not run.
    fn check_id(&self, headers: &ReplyHeaders) -> Result<(), SendError> {
        match &headers.attempt_id {
            Some(id) if *id == self.job.id => Ok(()),
            Some(_) => Err(invalid_reply("reply to another request")),
            None => Err(invalid_reply("reply without the request's id")),
        }
    }
}

/// Checks that a reply to this request can be forwarded.
fn check_content(status: StatusCode, headers: &ReplyHeaders) -> Result<(), SendError> {
    if headers.is_refusal && !headers.is_stamped {
        return Err(SendError::Refused { status, is_misdirected: headers.is_misdirected });
    }
    if !headers.is_stamped {
        return Err(invalid_reply("reply without stamp"));
    }
    if headers.is_encoded {
        return Err(invalid_reply("encoded reply"));
    }
    Ok(())
}

/// The head of a reply, or what its absence says about the request.
fn sent_head(sent: Result<SendResult, JoinError>) -> Result<HeadWait, SendError> {
    let (failure, connection) = match sent {
        Ok((Ok(response), connection)) => return Ok(HeadWait::Arrived(response, connection)),
        Ok((Err(failure), connection)) => (failure, connection),
        // The task panicked; whether the request was written is not known.
        Err(e) => return Err(invalid_reply(&e.to_string())),
    };
    let (kind, cause) = match failure {
        SendFailure::NotSent { cause } => return Err(not_sent(&cause)),
        SendFailure::TooLong { cause } => (FailureKind::TooLong, cause),
        SendFailure::Invalid { cause } => (FailureKind::InvalidReply, cause),
        SendFailure::Lost { cause } if connection.is_reused() => {
            (FailureKind::StaleConnection, cause)
        }
        SendFailure::Lost { cause } => (FailureKind::Reset, cause),
    };
    Err(SendError::Lost(ReplyFailure { kind, cause, received_bytes: connection.received_bytes() }))
}

fn invalid_reply(cause: &str) -> SendError {
    SendError::Lost(ReplyFailure::new(FailureKind::InvalidReply, cause))
}

fn not_sent(cause: &str) -> SendError {
    SendError::NotSent { cause: cause.to_owned(), outcome: SendOutcome::Unreachable }
}
