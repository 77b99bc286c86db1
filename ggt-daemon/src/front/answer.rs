//! Responses to callers: forwarded replies of targets, and the daemon's own errors.

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

/// A stream that ends before its last event. The caller's connection is closed without the final
/// chunk, so that the caller notices.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("stream broken off: {cause}"))]
pub struct StreamBroken {
    /// Cause as logged in `event=end`.
    pub cause: &'static str,
}

/// Body of a response.
pub enum AnswerBody {
    /// A complete body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// Events as they arrive; dropping the body aborts the task that relays them.
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

/// Error response that the daemon generates itself.
///
/// Statuses 429, 503, 408 and 421 guarantee that the request has not run and will not run; after 502
/// and 504 it may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontRefusal {
    pub status: StatusCode,
    /// Cause in the response body, logs and metrics.
    pub cause: &'static str,
    /// `retry-after` in milliseconds, sent as seconds with three decimals.
    pub retry_after_ms: Option<u64>,
}

impl FrontRefusal {
    /// A refusal without `retry-after`.
    pub const fn new(status: StatusCode, cause: &'static str) -> Self {
        Self { status, cause, retry_after_ms: None }
    }

    /// A 503 refusal of a request that has not run, with `retry-after`.
    pub const fn not_run(cause: &'static str, retry_after_ms: u64) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, cause, retry_after_ms: Some(retry_after_ms) }
    }

    /// Builds the response, with the cause as JSON body.
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

/// A response with a target's status and headers, without those of its connection.
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
