//! Channel that carries a reply from the request's task to the caller's connection.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use crossbeam::channel::Sender;
use http::HeaderMap;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::until;
use crate::lock::lock;
use ggt_core::clock::MonoTime;

/// Maximum chunks buffered for a slow caller.
const MAX_WAITING_CHUNKS: usize = 16;

/// The reply is incomplete; the connection is aborted, so that the caller does not take the reply
/// for complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenReply;

impl fmt::Display for BrokenReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the reply ended early")
    }
}

impl std::error::Error for BrokenReply {}

/// Status line and headers of a reply to the caller.
#[derive(Debug)]
pub struct ReplyHead {
    /// HTTP status.
    pub status: u16,
    /// Headers in the form that the caller gets.
    pub headers: HeaderMap,
}

/// A running request to cancel at its target when the caller disconnects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancelTicket {
    /// Address of the target.
    pub address: SocketAddr,
    /// Request id that the target was given.
    pub request_id: String,
}

/// State of the caller's connection, and the request to cancel when it closes.
#[derive(Debug)]
pub struct CallerLink {
    is_gone: AtomicBool,
    is_finished: AtomicBool,
    ticket: Mutex<Option<CancelTicket>>,
    cancels: Sender<CancelTicket>,
}

impl CallerLink {
    /// Whether the caller has disconnected before the end of the reply.
    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::SeqCst)
    }

    /// Sets the request to cancel when the caller disconnects; `None` clears it.
    pub fn set_ticket(&self, ticket: Option<CancelTicket>) {
        *lock(&self.ticket) = ticket;
    }

    /// Records that the caller has disconnected, and queues the cancellation of its request.
    fn leave(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        if let Some(ticket) = lock(&self.ticket).take() {
            // If the queue is full, the target only notices that its connection closes.
            let _ = self.cancels.try_send(ticket);
        }
    }
}

/// Sending end, held by the request's task.
#[derive(Debug)]
pub struct ReplySink {
    link: Arc<CallerLink>,
    head: Option<oneshot::Sender<ReplyHead>>,
    chunks: mpsc::Sender<Bytes>,
}

/// Receiving end, which is the body of the reply on the caller's connection.
#[derive(Debug)]
pub struct ReplyBody {
    link: Arc<CallerLink>,
    chunks: mpsc::Receiver<Bytes>,
    is_over: bool,
}

/// Creates the channel between a request's task and the caller's connection.
pub fn reply_channel(
    cancels: Sender<CancelTicket>,
) -> (ReplySink, oneshot::Receiver<ReplyHead>, ReplyBody) {
    let link = Arc::new(CallerLink {
        is_gone: AtomicBool::new(false),
        is_finished: AtomicBool::new(false),
        ticket: Mutex::default(),
        cancels,
    });
    let (head, head_receiver) = oneshot::channel();
    let (chunks, chunk_receiver) = mpsc::channel(MAX_WAITING_CHUNKS);
    let sink = ReplySink { link: link.clone(), head: Some(head), chunks };
    let body = ReplyBody { link, chunks: chunk_receiver, is_over: false };
    (sink, head_receiver, body)
}

impl ReplySink {
    /// State of the caller's connection.
    pub fn link(&self) -> &CallerLink {
        &self.link
    }

    /// Whether status and headers have been forwarded.
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Forwards status and headers; later calls have no effect.
    pub fn begin(&mut self, head: ReplyHead) {
        if let Some(sender) = self.head.take() {
            // Fails when the caller has disconnected, which `CallerLink` records.
            let _ = sender.send(head);
        }
    }

    /// Forwards a chunk; `false` if the caller has disconnected or the deadline has passed.
    pub async fn push(&mut self, chunk: Bytes, deadline: MonoTime) -> bool {
        let sent = timeout(until(deadline), self.chunks.send(chunk)).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Marks the reply as complete.
    ///
    /// Dropping the sink without this call, also in a panic, aborts the caller's connection.
    pub fn finish(self) {
        self.link.is_finished.store(true, Ordering::SeqCst);
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenReply;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenReply>>> {
        let polled = self.chunks.poll_recv(context);
        polled.map(|chunk| match chunk {
            Some(chunk) => Some(Ok(Frame::data(chunk))),
            None => {
                self.is_over = true;
                let is_whole = self.link.is_finished.load(Ordering::SeqCst);
                (!is_whole).then_some(Err(BrokenReply))
            }
        })
    }
}

impl Drop for ReplyBody {
    fn drop(&mut self) {
        if !self.is_over {
            self.link.leave();
        }
    }
}
