//! Requests whose reply is a stream of server-sent events, resumed at another target if necessary.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::channel;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::clock::until;
use crate::front::answer::AnswerBody;
use crate::front::answer::StreamBroken;
use crate::front::answer::passed_on;
use crate::front::attempt::AttemptRun;
use crate::front::attempt::LossKind;
use crate::front::attempt::TargetReply;
use crate::front::job::FrontJob;
use crate::front::job::JobGuard;
use crate::front::state::FrontState;
use ggt_core::events::EventOrder;
use ggt_core::events::EventSplitter;
use ggt_core::events::EventVerdict;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetKey;

/// Batches of events that are buffered for a slow caller.
const MAX_WAITING_BATCHES: usize = 16;
/// Shortest silence within a stream, in milliseconds, after which it is resumed at another target.
const MIN_PAUSE_MS: u64 = 1_200;
/// Multiple of the route's `max_gap_ms` after which a silent stream is resumed at another target.
const SILENT_PAUSES: u64 = 4;

/// The same limit in milliseconds for a target that accepts no new connections.
const LOST_PAUSE_MS: u64 = 400;
/// Interval between checks for a silent target.
const SILENCE_STEP: Duration = Duration::from_millis(200);

/// Result of reading from a target's reply.
enum ReadEnd {
    /// Events to be forwarded; empty if the caller has them already.
    Events(Bytes),
    /// The stream is complete.
    Complete,
    /// The stream was interrupted, or sent what cannot be forwarded.
    Broken(String),
    /// The target sent nothing for too long.
    Silent,
    /// The request's deadline passed.
    Deadline,
}

/// Serves a request whose reply is forwarded event by event.
pub async fn run_stream(
    state: &Rc<FrontState>,
    job: Rc<FrontJob>,
    guard: JobGuard,
) -> Response<AnswerBody> {
    let mut relay = StreamRelay::new(state, &job);
    let (reply, first) = match relay.first_events().await {
        Ok(begun) => begun,
        Err(FirstError::Refused(refusal)) => {
            guard.end("refused", refusal.status.as_u16(), refusal.cause);
            return refusal.into_response(Some(&job.id));
        }
        Err(FirstError::Answered(reply, body)) => {
            guard.end("answered", reply.0.as_u16(), "whole");
            return passed_on(reply.0, &reply.1, AnswerBody::Whole(Some(body)));
        }
    };
    let (status, head) = (reply.status, reply.head.clone());
    state.metrics.note_first_event(mono_now().millis_since(job.received_at));
    let (sender, receiver) = channel(MAX_WAITING_BATCHES);
    let task = spawn_local(async move { relay.pass_on(reply, first, sender, guard).await });
    passed_on(status, &head, AnswerBody::Events(receiver, task.abort_handle()))
}

/// Response in place of a stream.
enum FirstError {
    /// The daemon's own final response.
    Refused(crate::front::answer::FrontRefusal),
    /// Error response of a target: status, headers and complete body.
    Answered((http::StatusCode, http::HeaderMap), Bytes),
}

/// Relays a stream to the caller, resuming it at other targets where the route allows it.
struct StreamRelay {
    state: Rc<FrontState>,
    job: Rc<FrontJob>,
    run: AttemptRun,
    splitter: EventSplitter,
    order: EventOrder,
}

impl StreamRelay {
    fn new(state: &Rc<FrontState>, job: &Rc<FrontJob>) -> Self {
        Self {
            state: state.clone(),
            job: job.clone(),
            run: AttemptRun::new(state.clone(), job.clone()),
            splitter: EventSplitter::default(),
            order: EventOrder::after(job.headers.last_event),
        }
    }

    /// Sends the request until a target's first events have arrived.
    async fn first_events(&mut self) -> Result<(TargetReply, ReadEnd), FirstError> {
        // Error response of a target, forwarded if no other target succeeds.
        let mut failure = None;
        loop {
            let mut reply = match self.next_reply().await {
                Ok(reply) => reply,
                Err(refusal) => return Err(failure.unwrap_or(FirstError::Refused(refusal))),
            };
            if !reply.status.is_success() {
                failure = self.after_error_reply(reply).await?;
                continue;
            }
            match self.read(reply.key, &mut reply.body).await {
                end @ (ReadEnd::Events(_) | ReadEnd::Complete) => {
                    reply.guard.note_read();
                    return Ok((reply, end));
                }
                end => self.after_break(reply, &end).await.map_err(FirstError::Refused)?,
            }
        }
    }

    /// Returns a target's error response as `Err`, or as `Ok` if the request may be sent to another
    /// target first; `Ok(None)` if the response was interrupted and the request may be retried.
    async fn after_error_reply(
        &mut self,
        reply: TargetReply,
    ) -> Result<Option<FirstError>, FirstError> {
        let TargetReply { key, status, head, body, .. } = reply;
        let outcome = if status.is_server_error() { SendOutcome::Bad } else { SendOutcome::Good };
        self.state.pool.borrow_mut().note_outcome(key, outcome, mono_now());
        let limit = until(self.job.deadline);
        let whole = tokio::time::timeout(limit, body.collect()).await;
        let may_repeat = status.is_server_error() && self.job.route.is_idempotent;
        match whole {
            Ok(Ok(body)) => {
                let failure = FirstError::Answered((status, head), body.to_bytes());
                if may_repeat && self.run.may_go_on() { Ok(Some(failure)) } else { Err(failure) }
            }
            _ => {
                self.run.note_broken(key, "failure broke off", LossKind::Unusable).await;
                match self.run.may_go_on() {
                    true => Ok(None),
                    false => Err(FirstError::Refused(self.run.lost())),
                }
            }
        }
    }

    async fn next_reply(&mut self) -> Result<TargetReply, crate::front::answer::FrontRefusal> {
        self.splitter = EventSplitter::default();
        self.run.next_reply(self.order.last()).await
    }

    /// Forwards all events. If they end early, the body ends with an error, which closes the caller's
    /// connection.
    async fn pass_on(
        mut self,
        first_reply: TargetReply,
        first: ReadEnd,
        sender: Sender<Result<Bytes, StreamBroken>>,
        guard: JobGuard,
    ) {
        let mut reply = first_reply;
        let mut end = first;
        loop {
            match end {
                ReadEnd::Events(events) => {
                    if sender.send(Ok(events)).await.is_err() {
                        return;
                    }
                }
                ReadEnd::Complete => {
                    self.finish(reply);
                    guard.end("answered", 200, "whole");
                    return;
                }
                broken => match self.resume(reply, &broken).await {
                    Ok(next) => reply = next,
                    Err(cause) => {
                        guard.end("broken-off", 200, cause);
                        // The caller may have disconnected.
                        let _ = sender.send(Err(StreamBroken { cause })).await;
                        return;
                    }
                },
            }
            end = self.read(reply.key, &mut reply.body).await;
        }
    }

    /// Resumes the stream at another target, after the reply of the old one has been dropped.
    async fn resume(
        &mut self,
        reply: TargetReply,
        end: &ReadEnd,
    ) -> Result<TargetReply, &'static str> {
        self.after_break(reply, end).await.map_err(|refusal| refusal.cause)?;
        loop {
            let reply = self.next_reply().await.map_err(|refusal| refusal.cause)?;
            if reply.status.is_success() {
                log::info!(
                    "event=resume request_id={} after_event={} outcome=begun",
                    self.job.id,
                    self.order.last().unwrap_or_default()
                );
                return Ok(reply);
            }
            let key = reply.key;
            drop(reply);
            self.run.note_broken(key, "failure on resumption", LossKind::Unusable).await;
            if !self.run.may_go_on() {
                return Err("resumption-failed");
            }
        }
    }

    /// Drops an interrupted reply and records its failure. Returns `Ok` if the request may be sent to
    /// another target.
    async fn after_break(
        &mut self,
        reply: TargetReply,
        end: &ReadEnd,
    ) -> Result<(), crate::front::answer::FrontRefusal> {
        let key = reply.key;
        drop(reply);
        match end {
            ReadEnd::Deadline => {
                self.run.note_broken(key, "silent", LossKind::Silent).await;
                return Err(self.run.lost());
            }
            ReadEnd::Silent => self.run.note_broken(key, "silent", LossKind::Silent).await,
            ReadEnd::Broken(cause) => self.run.note_broken(key, cause, LossKind::Reset).await,
            ReadEnd::Events(_) | ReadEnd::Complete => {}
        }
        if self.run.may_go_on() { Ok(()) } else { Err(self.run.lost()) }
    }

    fn finish(&self, reply: TargetReply) {
        let TargetReply { key, headers, channel, guard, .. } = reply;
        self.state.pool.borrow_mut().note_outcome(key, SendOutcome::Good, mono_now());
        self.state.blame.borrow_mut().clear(self.job.print());
        if !headers.closes && self.job.route.is_idempotent {
            self.state.channels.keep(key, channel, headers.keep_alive_seconds);
        }
        drop(guard);
    }

    /// Reads until complete events have arrived or the reply has ended.
    async fn read(&mut self, key: TargetKey, body: &mut Incoming) -> ReadEnd {
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sleep(until(self.job.deadline)) => return ReadEnd::Deadline,
                () = self.silence(key) => return ReadEnd::Silent,
            };
            let bytes = match frame {
                None if self.splitter.is_torn() => {
                    return ReadEnd::Broken("ended within an event".to_owned());
                }
                None => return ReadEnd::Complete,
                Some(Err(e)) => return ReadEnd::Broken(e.to_string()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            self.state.pool.borrow_mut().note_heard(key, None, mono_now());
            match self.take(&bytes) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return ReadEnd::Events(events),
                Err(cause) => return ReadEnd::Broken(cause.to_owned()),
            }
        }
    }

    /// Adds `bytes` to the stream and returns the completed events that the caller does not have yet.
    fn take(&mut self, bytes: &[u8]) -> Result<Bytes, &'static str> {
        let events = self.splitter.push(bytes).map_err(|_| "event too long")?;
        let mut passed = Vec::new();
        for event in events {
            match self.order.judge(event.id) {
                EventVerdict::Pass => passed.extend_from_slice(&event.bytes),
                EventVerdict::Skip => {}
                EventVerdict::Gap => return Err("an event is missing"),
            }
        }
        Ok(passed.into())
    }

    /// Returns once the target has been silent for so long that the stream should be resumed at another
    /// target; sooner if the target is unreachable, never if the stream cannot be resumed.
    async fn silence(&self, key: TargetKey) {
        let route = &self.job.route;
        if !route.is_idempotent {
            return std::future::pending().await;
        }
        let began_at = mono_now();
        let limit_ms = (route.max_gap_ms * SILENT_PAUSES).max(MIN_PAUSE_MS);
        loop {
            sleep(SILENCE_STEP).await;
            let is_lost = self.state.is_unreachable(key);
            let pause_ms = if is_lost { LOST_PAUSE_MS } else { limit_ms };
            if mono_now().millis_since(began_at) >= pause_ms {
                return;
            }
        }
    }
}
