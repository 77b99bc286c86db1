//! Channel that carries a response from the request's task to the caller's connection.

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

use crate::clock::time_until;
use crate::lock::lock;
use ggt_core::clock::MonoTime;

/// Maximum number of chunks buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// The response is incomplete; the connection is aborted, so that the caller does not take it
/// for complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteResponse;

impl fmt::Display for IncompleteResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response is incomplete")
    }
}

impl std::error::Error for IncompleteResponse {}

/// Status line and headers of a response to the caller.
#[derive(Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers as the caller gets them.
    pub headers: HeaderMap,
}

/// A running request to cancel at its target when the caller disconnects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancelRequest {
    /// Address of the target.
    pub address: SocketAddr,
    /// Request id that the target was given.
    pub request_id: String,
}

/// State of the caller's connection during one request, and the request to cancel at its target
/// when the connection closes.
#[derive(Debug)]
pub struct CallerConnection {
    is_closed: AtomicBool,
    is_complete: AtomicBool,
    cancel: Mutex<Option<CancelRequest>>,
    cancels: Sender<CancelRequest>,
}

impl CallerConnection {
    /// Whether the caller has disconnected before the end of the response.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    /// Sets the request to cancel when the caller disconnects; `None` clears it.
    pub fn set_cancel(&self, cancel: Option<CancelRequest>) {
        *lock(&self.cancel) = cancel;
    }

    /// Records that the caller has disconnected, and queues the cancellation of its request.
    fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        if let Some(cancel) = lock(&self.cancel).take() {
            // If the queue is full, the target only notices that its connection closes.
            let _ = self.cancels.try_send(cancel);
        }
    }
}

/// Sending end, held by the request's task.
#[derive(Debug)]
pub struct ResponseSink {
    caller: Arc<CallerConnection>,
    head: Option<oneshot::Sender<ResponseHead>>,
    chunks: mpsc::Sender<Bytes>,
}

/// Receiving end, which is the body of the response on the caller's connection.
#[derive(Debug)]
pub struct ResponseBody {
    caller: Arc<CallerConnection>,
    chunks: mpsc::Receiver<Bytes>,
    is_ended: bool,
}

/// Creates the channel between a request's task and the caller's connection.
pub fn response_channel(
    cancels: Sender<CancelRequest>,
) -> (ResponseSink, oneshot::Receiver<ResponseHead>, ResponseBody) {
    let caller = Arc::new(CallerConnection {
        is_closed: AtomicBool::new(false),
        is_complete: AtomicBool::new(false),
        cancel: Mutex::default(),
        cancels,
    });
    let (head, head_receiver) = oneshot::channel();
    let (chunks, chunk_receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let sink = ResponseSink { caller: caller.clone(), head: Some(head), chunks };
    let body = ResponseBody { caller, chunks: chunk_receiver, is_ended: false };
    (sink, head_receiver, body)
}

impl ResponseSink {
    /// State of the caller's connection.
    pub fn caller(&self) -> &CallerConnection {
        &self.caller
    }

    /// Whether status and headers have been forwarded.
    pub fn is_head_sent(&self) -> bool {
        self.head.is_none()
    }

    /// Forwards status and headers; later calls have no effect.
    pub fn send_head(&mut self, head: ResponseHead) {
        if let Some(sender) = self.head.take() {
            // Fails when the caller has disconnected, which `CallerConnection` records.
            let _ = sender.send(head);
        }
    }

    /// Forwards a chunk; `false` if the caller has disconnected or the deadline has passed.
    pub async fn send_chunk(&mut self, chunk: Bytes, deadline: MonoTime) -> bool {
        let sent = timeout(time_until(deadline), self.chunks.send(chunk)).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Marks the response as complete.
    ///
    /// Dropping the sink without this call, also in a panic, aborts the caller's connection.
    pub fn finish(self) {
        self.caller.is_complete.store(true, Ordering::SeqCst);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        let polled = self.chunks.poll_recv(context);
        polled.map(|chunk| match chunk {
            Some(chunk) => Some(Ok(Frame::data(chunk))),
            None => {
                self.is_ended = true;
                let is_complete = self.caller.is_complete.load(Ordering::SeqCst);
                (!is_complete).then_some(Err(IncompleteResponse))
            }
        })
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if !self.is_ended {
            self.caller.close();
        }
    }
}
