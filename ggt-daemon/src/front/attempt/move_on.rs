//! Moves a request from a silent target to another one. The silent send is kept until the other target
//! has taken the request over: that one may refuse it, and the silent one may be sound.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::attempt::SendError;
use crate::front::attempt::SentTarget;
use crate::front::attempt::TargetReply;
use crate::front::attempt::UpstreamAttempts;
use crate::front::attempt::crash_check::check_silence;
use crate::front::attempt::send::PendingSend;
use crate::front::attempt::send::SendEnd;
use crate::front::job::FrontJob;
use crate::front::response::FrontRefusal;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetChoice;
use ggt_core::targets::TargetKey;

/// Maximum time for which a request may be at two targets: one at capacity refuses well within it.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// A send to a silent target that can be waited for while another target is tried.
trait SilentSend {
    /// The silent target.
    fn target(&self) -> SentTarget;

    /// Returns once the silent target has gone on with the request.
    async fn wait_until_it_goes_on(&mut self);
}

impl SilentSend for PendingSend {
    fn target(&self) -> SentTarget {
        self.target
    }

    async fn wait_until_it_goes_on(&mut self) {
        self.wait_for_success().await;
    }
}

impl SilentSend for TargetReply {
    fn target(&self) -> SentTarget {
        self.target
    }

    async fn wait_until_it_goes_on(&mut self) {
        self.wait_for_frame().await;
    }
}

/// Where a request is after an attempt to move it.
enum MoveEnd<S> {
    /// At another target, of which this became.
    Moved(TargetKey, SendEnd),
    /// Still at the silent target.
    Stayed(S),
}

/// How a send beside a silent one ended.
enum BesideEnd<S> {
    /// The silent send had to be dropped, as the other target had not replied within `MAX_OVERLAP`.
    Left(SendEnd),
    /// The other send has ended; the silent one is kept.
    Replied(S, SendEnd),
    /// The silent target went on with the request, and the other send was dropped.
    WentOn(S),
}

/// The reply to read on from after an attempt to move a request.
pub enum MovedReply {
    /// Another target's reply, which begins after the caller's last event.
    Next(TargetReply),
    /// The silent target's reply.
    Same(TargetReply),
    /// Neither: the request may be sent again.
    None,
}

impl MovedReply {
    /// The reply, if there is one.
    pub fn into_reply(self) -> Option<TargetReply> {
        match self {
            Self::Next(reply) | Self::Same(reply) => Some(reply),
            Self::None => None,
        }
    }
}

impl UpstreamAttempts {
    /// Whether a retry at another target is reserved because the last one is silent.
    pub fn is_moving(&self) -> bool {
        self.moving_since.get().is_some()
    }

    /// Records that the target that was silent has sent bytes of its reply.
    pub fn end_silence(&self) {
        self.stayed_since.take();
    }

    /// Moves a request on whose reply the target has fallen silent.
    ///
    /// # Errors
    /// [`FrontRefusal`] when no target goes on with the request.
    pub async fn move_reply(
        &mut self,
        reply: TargetReply,
        last_event: Option<u64>,
    ) -> Result<MovedReply, FrontRefusal> {
        match self.move_send(reply, last_event).await {
            MoveEnd::Stayed(reply) => Ok(MovedReply::Same(reply)),
            MoveEnd::Moved(key, end) => {
                let reply = self.finish_send(key, end, last_event).await?;
                Ok(reply.map_or(MovedReply::None, MovedReply::Next))
            }
        }
    }

    /// Waits for the reply of a send, also at other targets if this one is silent. Returns `None` if the
    /// request may be sent again.
    pub(super) async fn finish_send(
        &mut self,
        first_key: TargetKey,
        first_end: SendEnd,
        last_event: Option<u64>,
    ) -> Result<Option<TargetReply>, FrontRefusal> {
        let (mut key, mut end) = (first_key, first_end);
        loop {
            match end {
                SendEnd::Replied(reply) => return Ok(Some(*reply)),
                SendEnd::Silent(pending) => match self.move_send(pending, last_event).await {
                    MoveEnd::Moved(next_key, next) => (key, end) = (next_key, next),
                    MoveEnd::Stayed(pending) => {
                        key = pending.target.key;
                        end = self.wait_on(pending).await;
                    }
                },
                SendEnd::Failed(error) => {
                    self.handle_failure(key, error).await?;
                    return Ok(None);
                }
            }
        }
    }

    /// Sends the request to another target. Drops the silent send once that has taken the request over,
    /// or has neither done so nor refused it within `MAX_OVERLAP`. Drops the other send if the silent target
    /// goes on first.
    async fn move_send<S>(&mut self, silent: S, last_event: Option<u64>) -> MoveEnd<S>
    where
        S: SilentSend,
    {
        let silent_since = self.moving_since.get();
        let target = silent.target();
        let Ok(choice) = self.choose_now() else {
            return self.stay(silent, silent_since, "no-target");
        };
        match self.send_beside(silent, &choice, last_event).await {
            BesideEnd::Left(end) => MoveEnd::Moved(choice.key, end),
            BesideEnd::WentOn(silent) => {
                self.is_awaiting_reply = false;
                self.record_send(choice.key, "dropped", "the silent target went on");
                self.stay(silent, silent_since, "went-on")
            }
            BesideEnd::Replied(silent, end) if has_taken_over(&end) => {
                drop(silent);
                leave_silent(&self.state, &self.job, target);
                MoveEnd::Moved(choice.key, end)
            }
            BesideEnd::Replied(silent, end) => {
                let cause = self.record_failed_move(choice.key, end).await;
                self.stay(silent, silent_since, &cause)
            }
        }
    }

    /// Chooses another target for a request that is at a silent one; it does not wait for room.
    fn choose_now(&mut self) -> Result<TargetChoice, ChoiceError> {
        let choice = self.try_choose();
        self.moving_since.take();
        choice.map(|choice| self.begin_send(choice))
    }

    /// Sends the request to the chosen target while the silent send is kept.
    async fn send_beside<S>(
        &mut self,
        mut silent: S,
        choice: &TargetChoice,
        last_event: Option<u64>,
    ) -> BesideEnd<S>
    where
        S: SilentSend,
    {
        let target = silent.target();
        let (state, job) = (self.state.clone(), self.job.clone());
        let mut sending = pin!(self.send(choice, last_event));
        tokio::select! {
            biased;
            end = sending.as_mut() => return BesideEnd::Replied(silent, end),
            () = silent.wait_until_it_goes_on() => return BesideEnd::WentOn(silent),
            () = sleep(MAX_OVERLAP) => {}
        }
        drop(silent);
        leave_silent(&state, &job, target);
        BesideEnd::Left(sending.await)
    }

    /// Waits on for the silent target, as no other one has taken the request over.
    fn stay<S>(&mut self, silent: S, silent_since: Option<MonoTime>, cause: &str) -> MoveEnd<S>
    where
        S: SilentSend,
    {
        self.moving_since.take();
        self.stayed_since.set(silent_since);
        self.sent_target = Some(silent.target());
        self.record_silence();
        self.log_silence(silent_since.unwrap_or_else(mono_now), "stayed", cause);
        MoveEnd::Stayed(silent)
    }

    /// Records what another target did instead of taking the request over; returns the cause.
    async fn record_failed_move(&mut self, key: TargetKey, end: SendEnd) -> String {
        match end {
            SendEnd::Replied(reply) => {
                let status = reply.status;
                if status.is_server_error() {
                    self.state.record_outcome(key, SendOutcome::Bad);
                }
                self.record_send(key, "error-reply", status.as_str());
                status.to_string()
            }
            SendEnd::Silent(_) => "silent".to_owned(),
            SendEnd::Failed(SendError::Refused { status, is_misdirected }) => {
                self.record_send(key, "refused", status.as_str());
                self.record_refusal(key, is_misdirected);
                status.to_string()
            }
            SendEnd::Failed(SendError::NotSent { cause, outcome }) => {
                self.record_send(key, "not-sent", &cause);
                self.state.record_outcome(key, outcome);
                cause
            }
            SendEnd::Failed(SendError::Lost(failure)) => {
                self.record_failure(key, &failure).await;
                failure.cause
            }
            SendEnd::Failed(SendError::Deadline) => "deadline".to_owned(),
        }
    }
}

/// Whether a target goes on with a request that another one had.
fn has_taken_over(end: &SendEnd) -> bool {
    matches!(end, SendEnd::Replied(reply) if reply.status.is_success())
}

/// Records that a request has left a silent target.
fn leave_silent(state: &Rc<FrontState>, job: &FrontJob, target: SentTarget) {
    state.metrics.record_send("lost");
    state.record_outcome(target.key, SendOutcome::Bad);
    log::info!(
        "event=send request_id={} target={} outcome=lost cause=silent after_ms={}",
        quoted(&job.id),
        state.pool.borrow().target(target.key).map_or("gone", |target| target.record.id.as_str()),
        mono_now().millis_since(job.received_at),
    );
    // The check goes on in the background: no further crash decides about this request.
    drop(check_silence(state, job, target, "silent"));
}
