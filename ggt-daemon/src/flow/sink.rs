//! Carries a reply from the task that serves a request to the caller's connection.

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

/// Chunks that wait for a slow caller at most.
const MAX_WAITING_CHUNKS: usize = 16;

/// The reply ended early: the caller's connection must not end as if it were whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenReply;

impl fmt::Display for BrokenReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the reply ended early")
    }
}

impl std::error::Error for BrokenReply {}

/// The head of a reply.
#[derive(Debug)]
pub struct ReplyHead {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
}

/// A request on a target that need not go on because its caller has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancelTicket {
    /// The target.
    pub address: SocketAddr,
    /// The request.
    pub request_id: String,
}

/// Whether the caller is still there, and what to cancel when it leaves.
#[derive(Debug)]
pub struct CallerLink {
    is_gone: AtomicBool,
    is_finished: AtomicBool,
    ticket: Mutex<Option<CancelTicket>>,
    cancels: Sender<CancelTicket>,
}

impl CallerLink {
    /// Whether the caller has left.
    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::SeqCst)
    }

    /// Names the request to cancel when the caller leaves, or none.
    pub fn set_ticket(&self, ticket: Option<CancelTicket>) {
        *lock(&self.ticket) = ticket;
    }

    /// Records that the caller has left, and cancels its request.
    fn leave(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        if let Some(ticket) = lock(&self.ticket).take() {
            // A full queue means that the target hears of it by its closed connection only.
            let _ = self.cancels.try_send(ticket);
        }
    }
}

/// The serving task's end.
#[derive(Debug)]
pub struct ReplySink {
    link: Arc<CallerLink>,
    head: Option<oneshot::Sender<ReplyHead>>,
    chunks: mpsc::Sender<Bytes>,
}

/// The connection's end.
#[derive(Debug)]
pub struct ReplyBody {
    link: Arc<CallerLink>,
    chunks: mpsc::Receiver<Bytes>,
    is_over: bool,
}

/// Connects a serving task with a caller's connection.
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
    /// Whether the caller is still there.
    pub fn link(&self) -> &CallerLink {
        &self.link
    }

    /// Whether the head has been passed on.
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Passes the head on, once.
    pub fn begin(&mut self, head: ReplyHead) {
        if let Some(sender) = self.head.take() {
            // Without a receiver the caller has left, which its link tells.
            let _ = sender.send(head);
        }
    }

    /// Passes a chunk on; `false` when the caller has left or took too long.
    pub async fn push(&mut self, chunk: Bytes, deadline: MonoTime) -> bool {
        let sent = timeout(until(deadline), self.chunks.send(chunk)).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Ends the reply as whole.
    ///
    /// A sink that is dropped without it, be it by a panic, leaves a broken reply, and the
    /// connection is aborted.
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
