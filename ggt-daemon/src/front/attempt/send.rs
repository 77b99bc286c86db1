//! One send of a request to one target, and the check of its reply's head.

use http::Request;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::clock::time_until;
use crate::front::attempt::FailureKind;
use crate::front::attempt::SendError;
use crate::front::attempt::TargetReply;
use crate::front::attempt::UpstreamAttempts;
use crate::front::job::SendGuard;
use crate::front::state::CONNECT_TIMEOUT;
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

impl UpstreamAttempts {
    /// Sends the request to the chosen target and waits for the head of a valid reply.
    pub(super) async fn send(
        &mut self,
        choice: &TargetChoice,
        last_event: Option<u64>,
    ) -> Result<TargetReply, SendError> {
        let key = choice.key;
        let empty_chain = PrefixChain::default();
        let chain = self.job.chain.as_ref().unwrap_or(&empty_chain);
        let guard = SendGuard::new(self.state.clone(), key, chain, choice.source.is_some());
        let result = match self.send_request(choice, last_event).await {
            Ok((response, connection)) => {
                let sent_at = guard.sent_at();
                self.decode_reply(key, sent_at, response).map(|reply| (reply, connection))
            }
            Err(error) => Err(error),
        };
        if let Err(SendError::NotSent { .. } | SendError::Refused { .. }) = &result {
            guard.undo_send();
        }
        if let Err(SendError::Refused { is_misdirected: false, .. }) = &result {
            let sent_at = guard.sent_at();
            self.state.pool.borrow_mut().record_rejection(key, sent_at, mono_now());
        }
        let ((parts, headers, body), connection) = result?;
        // A reply that is no refusal means that the target has started the request, whatever its
        // status.
        self.may_have_run = true;
        if let Some(target) = self.sent_target {
            self.state.record_target_reply(target.crash, guard.sent_at());
        }
        guard.record_start();
        Ok(TargetReply {
            key,
            status: parts.status,
            raw_headers: parts.headers,
            headers,
            body,
            connection,
            guard,
        })
    }

    /// Decodes a reply's head, records the load and the rate that it states, and checks that the reply
    /// belongs to this request.
    fn decode_reply(
        &self,
        key: TargetKey,
        sent_at: MonoTime,
        response: Response<Incoming>,
    ) -> Result<(Parts, ReplyHeaders, Incoming), SendError> {
        let (parts, body) = response.into_parts();
        let headers = parse_reply_headers(parts.status, &parts.headers);
        self.state.pool.borrow_mut().record_reply(key, headers.load, mono_now());
        if headers.attempt_id.as_ref() == Some(&self.job.id) && !headers.is_misdirected {
            self.state.apply_rate_header(key, headers.rate_limit, sent_at);
            self.state.apply_fragility_header(key, &headers);
        }
        self.check_reply(&parts.status, &headers)?;
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
    ) -> Result<(Response<Incoming>, TargetConnection), SendError> {
        let key = choice.key;
        let sends_before = self.sends;
        if self.job.route.is_idempotent
            && let Some(connection) = self.state.connections.take(key)
        {
            match self.send_on_connection(choice, last_event, connection).await {
                // The target closed the connection while it was idle.
                Err(SendError::NotSent { .. }) => {}
                Err(SendError::Lost { cause, kind: FailureKind::StaleConnection }) => {
                    let connection = self.replace_connection(key, cause).await?;
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
        let opened = TargetConnection::open(address, CONNECT_TIMEOUT).await;
        let connection = opened.map_err(|e| {
            self.record_connect_failure(&e);
            SendError::NotSent { cause: e.to_string(), outcome: e.outcome() }
        })?;
        self.send_on_connection(choice, last_event, connection).await
    }

    /// Opens a new connection in place of a reused one that broke after the request had been
    /// written, for a second send to the same target within the same attempt. The target either
    /// closed the connection while it was idle or crashed; in the second case, or if no further send
    /// is allowed, returns the failure.
    async fn replace_connection(
        &mut self,
        key: TargetKey,
        cause: String,
    ) -> Result<TargetConnection, SendError> {
        self.may_have_run = true;
        let connection = self.check_crash(&cause).await;
        match connection {
            Some(connection)
                if self.refuse_crashing().is_none() && self.state.try_retry(&self.job.service) =>
            {
                self.record_send(key, "stale-connection", &cause);
                self.state.pool.borrow_mut().record_second_send(key, mono_now());
                Ok(connection)
            }
            _ => Err(SendError::Lost { cause, kind: FailureKind::StaleConnection }),
        }
    }

    async fn send_on_connection(
        &mut self,
        choice: &TargetChoice,
        last_event: Option<u64>,
        mut connection: TargetConnection,
    ) -> Result<(Response<Incoming>, TargetConnection), SendError> {
        let request = self.build_request(choice, last_event)?;
        let deadline = self.job.deadline + REPLY_GRACE_MS;
        self.sends += 1;
        self.is_awaiting_reply = true;
        let sent = tokio::select! {
            // A reply that has arrived goes before a silence that has been too long.
            biased;
            sent = connection.send(request, self.job.deadline) => Ok(sent),
            () = sleep(time_until(deadline)) => Err(SendError::Deadline),
            () = self.wait_for_move(ReplyStage::Head) => {
                let cause = "silent".to_owned();
                Err(SendError::Lost { cause, kind: FailureKind::Timeout })
            }
        };
        self.is_awaiting_reply = false;
        match sent? {
            Ok(response) => Ok((response, connection)),
            Err(SendFailure::NotSent { cause }) => Err(not_sent(&cause)),
            Err(SendFailure::Lost { cause }) => {
                let kind = if connection.is_reused() {
                    FailureKind::StaleConnection
                } else {
                    FailureKind::Reset
                };
                Err(SendError::Lost { cause, kind })
            }
        }
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

    fn check_reply(&self, status: &StatusCode, headers: &ReplyHeaders) -> Result<(), SendError> {
        let failed = |cause: &str| SendError::Lost {
            cause: cause.to_owned(),
            kind: FailureKind::InvalidReply,
        };
        match &headers.attempt_id {
            Some(id) if *id != self.job.id => return Err(failed("reply to another request")),
            None if status.is_success() => return Err(failed("reply without the request's id")),
            _ => {}
        }
        if headers.is_refusal && !headers.is_stamped {
            let is_misdirected = headers.is_misdirected;
            return Err(SendError::Refused { status: *status, is_misdirected });
        }
        if !headers.is_stamped {
            return Err(failed("reply without stamp"));
        }
        if headers.is_encoded {
            return Err(failed("encoded reply"));
        }
        Ok(())
    }
}

fn not_sent(cause: &str) -> SendError {
    SendError::NotSent { cause: cause.to_owned(), outcome: SendOutcome::Unreachable }
}
