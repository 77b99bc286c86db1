//! Answers to callers: those of targets, passed on, and those of the daemon itself.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::sync::mpsc::Receiver;
use tokio::task::AbortHandle;

use ggt_platform::ATTEMPT_HEADER;

/// A stream that ends before its last event; the caller's connection is closed without an end.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("stream broken off: {cause}"))]
pub struct StreamBroken {
    /// The cause.
    pub cause: &'static str,
}

/// The body of an answer.
pub enum AnswerBody {
    /// A whole body.
    Whole(Option<Bytes>),
    /// Events as they arrive; dropping the body ends the task that brings them.
    Events(Receiver<Result<Bytes, StreamBroken>>, AbortHandle),
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Self::Events(_, task) = self {
            task.abort();
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match &mut *self {
            Self::Whole(body) => Poll::Ready(body.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events, _) => {
                events.poll_recv(context).map(|event| event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            Self::Events(..) => SizeHint::default(),
        }
    }
}

/// Why the daemon itself answers a request.
///
/// Statuses 429, 503, 408 and 421 promise that the request has not run and will not run; 502 and 504
/// promise nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontRefusal {
    /// The status.
    pub status: StatusCode,
    /// The cause, as it stands in logs.
    pub cause: &'static str,
    /// When the caller should come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl FrontRefusal {
    /// A refusal that tells nothing about coming back.
    pub const fn new(status: StatusCode, cause: &'static str) -> Self {
        Self { status, cause, retry_after_ms: None }
    }

    /// A refusal of a request that has not run, with the time after which to come back.
    pub const fn not_run(cause: &'static str, retry_after_ms: u64) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, cause, retry_after_ms: Some(retry_after_ms) }
    }

    /// The answer to the caller.
    pub fn into_response(self, attempt_id: Option<&str>) -> Response<AnswerBody> {
        let text = format!("{{\"cause\":\"{}\"}}", self.cause);
        let mut response = Response::new(AnswerBody::Whole(Some(text.into())));
        *response.status_mut() = self.status;
        let head = response.headers_mut();
        set(head, "content-type", "application/json");
        if let Some(id) = attempt_id {
            set(head, ATTEMPT_HEADER, id);
        }
        if let Some(millis) = self.retry_after_ms {
            set(head, "retry-after", &format!("{}.{:03}", millis / 1_000, millis % 1_000));
        }
        response
    }
}

/// An answer with a target's status and headers.
pub fn passed_on(status: StatusCode, target: &HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let own =
        ["connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade"];
    let kept = target.iter().filter(|(name, _)| !own.contains(&name.as_str()));
    for (name, value) in kept {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}

fn set(head: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        head.insert(HeaderName::from_static(name), value);
    }
}
