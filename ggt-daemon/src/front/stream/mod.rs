//! Requests whose reply is a stream of server-sent events, resumed at another target if necessary.

mod queue;
mod received;

pub use queue::EventReceiver;
pub use queue::EventSender;
pub use queue::StreamInterrupted;

use std::pin::pin;
use std::rc::Rc;

use http::Response;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::clock::time_until;
use crate::front::attempt::CompleteEnd;
use crate::front::attempt::FailureKind;
use crate::front::attempt::MovedReply;
use crate::front::attempt::ReplyFailure;
use crate::front::attempt::TargetReply;
use crate::front::attempt::UpstreamAttempts;
use crate::front::attempt::WholeReply;
use crate::front::buffered::is_retryable;
use crate::front::job::FrontJob;
use crate::front::job::JobGuard;
use crate::front::origins::find_start;
use crate::front::response::FrontRefusal;
use crate::front::response::ResponseBody;
use crate::front::response::forwarded_response;
use crate::front::state::FrontState;
use crate::front::stopping::DRAINING_CAUSE;
use crate::front::stream::queue::event_queue;
use crate::front::stream::received::ReceivedEvents;
use crate::upstream::error_chain;
use ggt_core::silence::ReplyStage;
use ggt_core::targets::SendOutcome;

/// Number of bytes from which events that have arrived go into another batch.
const MAX_BATCH_BYTES: usize = 16 * 1024;
/// Result of reading from a target's reply.
enum ReadOutcome {
    /// Events to be forwarded; empty if the caller has them already.
    Events(Vec<u8>),
    /// The stream is complete.
    Complete(CompleteEnd),
    /// The reply has ended, and it has not been checked yet whether it is complete.
    Ended,
    /// The reply was interrupted or cannot be forwarded.
    Interrupted(ReplyFailure),
    /// The target sent nothing for too long, and a retry at another one is reserved.
    Timeout,
    /// The request's deadline passed.
    Deadline,
}

/// Serves a request whose reply is forwarded event by event.
pub async fn serve_stream(
    state: &Rc<FrontState>,
    job: Rc<FrontJob>,
    guard: Rc<JobGuard>,
) -> Response<ResponseBody> {
    let mut relay = StreamRelay::new(state, &job);
    match find_start(state, &job).await {
        Ok(start) => relay.attempts.go_on_with(start),
        Err(refusal) => {
            guard.end("refused", refusal.status.as_u16(), refusal.cause);
            return refusal.into_response(Some(&job.id));
        }
    }
    let (reply, first) = match relay.start().await {
        Ok(started) => started,
        Err(StartError::Refused(refusal)) => {
            guard.end("refused", refusal.status.as_u16(), refusal.cause);
            return refusal.into_response(Some(&job.id));
        }
        Err(StartError::ErrorReply(whole)) => {
            guard.end("answered", whole.status.as_u16(), "whole");
            return whole.into_response();
        }
    };
    let (status, raw_headers) = (reply.status, reply.raw_headers.clone());
    state.metrics.record_first_event(mono_now().millis_since(job.received_at));
    let (sender, receiver) = event_queue();
    let state = state.clone();
    let task = spawn_local(async move {
        tokio::select! {
            biased;
            () = relay.forward_events(reply, first, &sender, &guard) => {}
            () = state.edge.wait_for_cut() => {
                guard.end("broken-off", status.as_u16(), DRAINING_CAUSE);
                sender.interrupt(DRAINING_CAUSE);
            }
        }
    });
    forwarded_response(status, &raw_headers, ResponseBody::Events(receiver, task.abort_handle()))
}

/// Response in place of a stream.
enum StartError {
    /// The daemon's own final response.
    Refused(FrontRefusal),
    /// Error reply of a target.
    ErrorReply(WholeReply),
}

/// Relays a stream to the caller, resuming it at other targets where the route allows it.
struct StreamRelay {
    state: Rc<FrontState>,
    job: Rc<FrontJob>,
    attempts: UpstreamAttempts,
    events: ReceivedEvents,
}

impl StreamRelay {
    fn new(state: &Rc<FrontState>, job: &Rc<FrontJob>) -> Self {
        Self {
            state: state.clone(),
            job: job.clone(),
            attempts: UpstreamAttempts::new(state.clone(), job.clone()),
            events: ReceivedEvents::after(job.headers.last_event),
        }
    }

    /// Sends the request until a target's first events have arrived.
    async fn start(&mut self) -> Result<(TargetReply, ReadOutcome), StartError> {
        // Error reply of a target, forwarded if no other target succeeds.
        let mut error_reply = None;
        let mut next = None;
        loop {
            let reply = match next.take() {
                Some(reply) => Ok(reply),
                None => self.next_reply().await,
            };
            let mut reply = match reply {
                Ok(reply) => reply,
                Err(refusal) => return Err(error_reply.unwrap_or(StartError::Refused(refusal))),
            };
            if !reply.status.is_success() {
                error_reply = self.handle_error_reply(reply).await?;
                continue;
            }
            match self.read_checked(&mut reply).await {
                outcome @ (ReadOutcome::Events(_) | ReadOutcome::Complete(_)) => {
                    reply.guard.record_prefill();
                    self.keep_version();
                    return Ok((reply, outcome));
                }
                outcome => {
                    let moved = self.leave(reply, &outcome).await.map_err(StartError::Refused)?;
                    next = moved.into_reply();
                }
            }
        }
    }

    /// Requires the version of the target that has sent the first events for the rest of the stream, and
    /// records it for callers that take the stream up.
    fn keep_version(&self) {
        if let Some(version) = self.attempts.sent_version() {
            self.attempts.require_version(Some(version));
            if !self.attempts.has_settled_version() {
                self.state.record_origin(&self.job, version);
            }
            if let Some(handover) = &self.job.handover {
                handover.served_version.set(Some(version));
            }
        }
    }

    /// Returns a target's error reply as `Err`, or as `Ok` if the request may be sent to another
    /// target first; `Ok(None)` if the reply was interrupted and the request may be retried.
    async fn handle_error_reply(
        &mut self,
        reply: TargetReply,
    ) -> Result<Option<StartError>, StartError> {
        let key = reply.key();
        match self.attempts.read_whole(reply).await {
            Ok(whole) => {
                let may_retry = is_retryable(&self.job, whole.status);
                let error_reply = StartError::ErrorReply(whole);
                match may_retry && self.attempts.try_next_send() {
                    true => Ok(Some(error_reply)),
                    false => Err(error_reply),
                }
            }
            Err(failure) => {
                self.attempts.record_interruption(key, &failure).await;
                match self.attempts.try_next_send() {
                    true => Ok(None),
                    false => Err(StartError::Refused(self.attempts.send_failure_refusal())),
                }
            }
        }
    }

    async fn next_reply(&mut self) -> Result<TargetReply, FrontRefusal> {
        self.events.begin_reply();
        self.attempts.next_reply(self.events.last()).await
    }

    /// Forwards all events. If they end early, the body ends with an error, which closes the
    /// caller's connection.
    async fn forward_events(
        mut self,
        first_reply: TargetReply,
        first: ReadOutcome,
        sender: &EventSender,
        guard: &JobGuard,
    ) {
        let mut reply = first_reply;
        let mut outcome = first;
        loop {
            match outcome {
                ReadOutcome::Events(events) => {
                    if sender.send(&events).await.is_err() {
                        return;
                    }
                }
                ReadOutcome::Complete(end) => {
                    self.finish(reply);
                    guard.end("answered", 200, "whole");
                    sender.finish(end);
                    return;
                }
                interrupted => match self.resume(reply, &interrupted).await {
                    Ok(next) => reply = next,
                    Err(cause) => {
                        guard.end("broken-off", 200, cause);
                        sender.interrupt(cause);
                        return;
                    }
                },
            }
            outcome = self.read_checked(&mut reply).await;
        }
    }

    /// Goes on with the stream at another target, or at the same one if that was only silent and no other
    /// can take the stream over.
    async fn resume(
        &mut self,
        reply: TargetReply,
        outcome: &ReadOutcome,
    ) -> Result<TargetReply, &'static str> {
        let mut next = match self.leave(reply, outcome).await.map_err(|refusal| refusal.cause)? {
            MovedReply::Same(reply) => return Ok(reply),
            moved => moved.into_reply(),
        };
        loop {
            let reply = match next.take() {
                Some(reply) => reply,
                None => self.next_reply().await.map_err(|refusal| refusal.cause)?,
            };
            if reply.status.is_success() {
                log::info!(
                    "event=resume request_id={} after_event={} outcome=begun",
                    self.job.id,
                    self.events.last().unwrap_or_default()
                );
                return Ok(reply);
            }
            let key = reply.key();
            drop(reply);
            let cause = "error reply to resumption";
            let failure = ReplyFailure::new(FailureKind::InvalidReply, cause);
            self.attempts.record_interruption(key, &failure).await;
            if !self.attempts.try_next_send() {
                return Err("resumption-failed");
            }
        }
    }

    /// Leaves a reply that was interrupted or has fallen silent.
    async fn leave(
        &mut self,
        reply: TargetReply,
        outcome: &ReadOutcome,
    ) -> Result<MovedReply, FrontRefusal> {
        if !matches!(outcome, ReadOutcome::Timeout) || !self.attempts.is_moving() {
            self.handle_interruption(reply, outcome).await?;
            return Ok(MovedReply::None);
        }
        let moved = self.attempts.move_reply(reply, self.events.last()).await?;
        if matches!(moved, MovedReply::Next(_)) {
            self.events.begin_reply();
        }
        Ok(moved)
    }

    /// Drops an interrupted reply and records its failure. Returns `Ok` if the request may be sent
    /// to another target.
    async fn handle_interruption(
        &mut self,
        reply: TargetReply,
        outcome: &ReadOutcome,
    ) -> Result<(), FrontRefusal> {
        let key = reply.key();
        let received_bytes = reply.connection.received_bytes();
        drop(reply);
        let silence = ReplyFailure::new(FailureKind::Timeout, "silent").with_bytes(received_bytes);
        match outcome {
            ReadOutcome::Deadline => {
                self.attempts.record_interruption(key, &silence).await;
                return Err(self.attempts.send_failure_refusal());
            }
            ReadOutcome::Timeout => self.attempts.record_interruption(key, &silence).await,
            ReadOutcome::Interrupted(failure) => {
                let failure = failure.clone().with_bytes(received_bytes);
                self.attempts.record_interruption(key, &failure).await;
            }
            ReadOutcome::Events(_) | ReadOutcome::Complete(_) | ReadOutcome::Ended => {}
        }
        if self.attempts.try_next_send() {
            Ok(())
        } else {
            Err(self.attempts.send_failure_refusal())
        }
    }

    /// Reads like [`Self::read`]; the end of a reply without a length is its completion only if the
    /// caller has got an event and the target has not crashed.
    async fn read_checked(&mut self, reply: &mut TargetReply) -> ReadOutcome {
        let outcome = self.read(reply).await;
        if !matches!(outcome, ReadOutcome::Ended) {
            return outcome;
        }
        if !reply.headers.is_framed && self.events.last().is_none() {
            return interrupted(FailureKind::Reset, "ended before the first event");
        }
        let has_sent_all = reply.connection.has_written_all();
        match self.attempts.check_end(reply.headers.is_framed, has_sent_all).await {
            Ok(end) => ReadOutcome::Complete(end),
            Err(failure) => ReadOutcome::Interrupted(failure),
        }
    }

    fn finish(&self, reply: TargetReply) {
        let key = reply.key();
        let TargetReply { peer, status, headers, connection, guard, .. } = reply;
        self.state.record_outcome(key, SendOutcome::Good);
        if headers.is_framed && peer.is_none() {
            self.state.record_completion(&self.job, status);
        }
        let may_keep = self.job.route.is_idempotent && connection.has_written_all();
        if !headers.closes_connection && may_keep {
            self.state.keep_connection(key, peer, connection, headers.keep_alive_seconds);
        }
        drop(guard);
    }

    /// Reads until complete events have arrived or the reply has ended. Bytes that complete no event do not
    /// end the target's silence, since the caller gets nothing of them.
    async fn read(&mut self, reply: &mut TargetReply) -> ReadOutcome {
        let Self { state, job, attempts, events } = self;
        let mut forwarded = Vec::new();
        let mut silence = pin!(attempts.wait_for_move(ReplyStage::Event));
        while forwarded.is_empty() && !events.has_failed() {
            let frame = tokio::select! {
                // Bytes that have arrived go before a silence that has been too long.
                biased;
                () = sleep(time_until(job.deadline)) => return ReadOutcome::Deadline,
                frame = reply.frame() => frame,
                () = silence.as_mut() => return ReadOutcome::Timeout,
            };
            let bytes = match frame {
                None if events.has_partial_event() => {
                    return interrupted(FailureKind::Reset, "ended within an event");
                }
                None => return ReadOutcome::Ended,
                Some(Err(e)) => return interrupted(FailureKind::Reset, error_chain(&e)),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            state.pool.borrow_mut().record_reply(reply.key(), None, mono_now());
            events.take(&bytes, &mut forwarded);
        }
        // Events that have arrived with them go into the same batch.
        while forwarded.len() < MAX_BATCH_BYTES && !events.has_failed() {
            let Some(bytes) = reply.arrived_data().await else { break };
            events.take(&bytes, &mut forwarded);
        }
        if !forwarded.is_empty() {
            attempts.end_silence();
            return ReadOutcome::Events(forwarded);
        }
        match events.take_failure() {
            Some(failure) => ReadOutcome::Interrupted(failure),
            None => ReadOutcome::Events(forwarded),
        }
    }
}

fn interrupted<C>(kind: FailureKind, cause: C) -> ReadOutcome
where
    C: Into<String>,
{
    ReadOutcome::Interrupted(ReplyFailure::new(kind, cause))
}
