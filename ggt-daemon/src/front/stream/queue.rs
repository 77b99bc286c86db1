//! Queue of events between the task that relays a stream and the body of its caller's response.
//!
//! A stream is complete only by an explicit end: the queue ends with an error when the relay says so, whatever it
//! still holds, and when the relay is dropped.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use snafu::Snafu;

use crate::front::attempt::CompleteEnd;

/// Number of queued bytes from which the relay waits for the caller.
const MAX_QUEUED_BYTES: usize = 32 * 1024;

/// A stream that ends before its last event. The caller's connection is closed without the final
/// chunk, so that the caller notices.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("stream interrupted: {cause}"))]
pub struct StreamInterrupted {
    /// Cause as logged in `event=end`.
    pub cause: &'static str,
}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

#[derive(Debug, Default)]
struct QueueState {
    batches: VecDeque<Bytes>,
    queued_bytes: usize,
    /// How the stream ends after the queued events.
    end: Option<Result<(), StreamInterrupted>>,
    is_caller_gone: bool,
    relay: Option<Waker>,
    caller: Option<Waker>,
}

impl QueueState {
    fn end(&mut self, end: Result<(), StreamInterrupted>) {
        self.end.get_or_insert(end);
        self.caller.take().into_iter().for_each(Waker::wake);
    }
}

/// The relay's end of a queue.
#[derive(Debug)]
pub struct EventSender {
    state: Rc<RefCell<QueueState>>,
}

/// The end of a queue that is the body of the caller's response.
#[derive(Debug)]
pub struct EventReceiver {
    state: Rc<RefCell<QueueState>>,
}

/// Creates a queue.
pub fn event_queue() -> (EventSender, EventReceiver) {
    let state = Rc::new(RefCell::new(QueueState::default()));
    let sender = EventSender { state: state.clone() };
    (sender, EventReceiver { state })
}

impl EventSender {
    /// Queues events once the caller has received enough of those before.
    ///
    /// # Errors
    /// [`CallerGone`] when the caller has disconnected.
    pub async fn send(&self, events: &[u8]) -> Result<(), CallerGone> {
        poll_fn(|context| self.poll_room(context)).await?;
        let mut state = self.state.borrow_mut();
        state.queued_bytes += events.len();
        state.batches.push_back(Bytes::copy_from_slice(events));
        state.caller.take().into_iter().for_each(Waker::wake);
        Ok(())
    }

    /// Ends the stream as complete after the queued events, since the reply has ended so.
    pub fn finish(&self, _end: CompleteEnd) {
        self.state.borrow_mut().end(Ok(()));
    }

    /// Ends the stream as incomplete after the queued events; only the first end counts.
    pub fn interrupt(&self, cause: &'static str) {
        self.state.borrow_mut().end(Err(StreamInterrupted { cause }));
    }

    fn poll_room(&self, context: &Context<'_>) -> Poll<Result<(), CallerGone>> {
        let mut state = self.state.borrow_mut();
        if state.is_caller_gone {
            return Poll::Ready(Err(CallerGone));
        }
        if state.queued_bytes < MAX_QUEUED_BYTES {
            return Poll::Ready(Ok(()));
        }
        state.relay = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Drop for EventSender {
    fn drop(&mut self) {
        self.interrupt("relay-ended");
    }
}

impl EventReceiver {
    /// The next events, the error that ends the stream, or `None` at its completion.
    pub fn poll_next(
        &mut self,
        context: &Context<'_>,
    ) -> Poll<Option<Result<Bytes, StreamInterrupted>>> {
        let mut state = self.state.borrow_mut();
        if let Some(events) = state.batches.pop_front() {
            state.queued_bytes -= events.len();
            state.relay.take().into_iter().for_each(Waker::wake);
            return Poll::Ready(Some(Ok(events)));
        }
        match &state.end {
            Some(Ok(())) => Poll::Ready(None),
            Some(Err(interrupted)) => Poll::Ready(Some(Err(interrupted.clone()))),
            None => {
                state.caller = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for EventReceiver {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.is_caller_gone = true;
        state.batches.clear();
        state.relay.take().into_iter().for_each(Waker::wake);
    }
}
