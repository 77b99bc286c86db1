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
use tokio::task::AbortHandle;

use crate::front::stream::EventReceiver;
use crate::front::stream::StreamInterrupted;
use ggt_platform::ATTEMPT_HEADER;

/// Body of a response.
pub enum ResponseBody {
    /// A complete body; `None` once it has been sent.
    Complete(Option<Bytes>),
    /// Events as they arrive; dropping the body aborts the task that relays them.
    Events(EventReceiver, AbortHandle),
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Self::Events(_, task) = self {
            task.abort();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match &mut *self {
            Self::Complete(body) => Poll::Ready(body.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events, _) => {
                events.poll_next(context).map(|event| event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(body) => body.is_none(),
            Self::Events(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Events(..) => SizeHint::default(),
        }
    }
}

/// Marks a response of the daemon's own, with what its text says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalNote {
    pub cause: &'static str,
    pub retry_after_ms: Option<u64>,
}

/// Causes of refusals that a peer may state.
const PEER_CAUSES: [&str; 19] = [
    "body-broke-off",
    "body-too-long",
    "body-too-slow",
    "crashes-targets",
    "deadline",
    "evacuated",
    "malformed-header",
    "no-attempt-id",
    "no-memory",
    "no-room",
    "no-route",
    "no-version",
    "not-allowed",
    "over-memory-share",
    "over-share",
    "rate-limited",
    "target-lost",
    "targets-full",
    "unknown-key",
];

/// The known cause with this text; a peer of another build may state others.
pub fn known_cause(text: &str) -> &'static str {
    PEER_CAUSES.into_iter().find(|cause| *cause == text).unwrap_or("peer-refused")
}

/// Error response that the daemon generates itself.
///
/// Statuses 429, 503, 408 and 421 guarantee that the request has not run and will not run; after
/// 502 and 504 it may have run.
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
    pub fn into_response(self, attempt_id: Option<&str>) -> Response<ResponseBody> {
        let text = format!("{{\"cause\":\"{}\"}}", self.cause);
        let mut response = Response::new(ResponseBody::Complete(Some(text.into())));
        *response.status_mut() = self.status;
        let Self { cause, retry_after_ms, .. } = self;
        response.extensions_mut().insert(RefusalNote { cause, retry_after_ms });
        let head = response.headers_mut();
        set_header(head, "content-type", "application/json");
        if let Some(id) = attempt_id {
            set_header(head, ATTEMPT_HEADER, id);
        }
        if let Some(millis) = self.retry_after_ms {
            set_header(head, "retry-after", &format!("{}.{:03}", millis / 1_000, millis % 1_000));
        }
        response
    }
}

/// A response with a target's status and headers, without those of its connection.
pub fn forwarded_response(
    status: StatusCode,
    target_headers: &HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let connection_headers =
        ["connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade"];
    let forwarded =
        target_headers.iter().filter(|(name, _)| !connection_headers.contains(&name.as_str()));
    for (name, value) in forwarded {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}

fn set_header(head: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        head.insert(HeaderName::from_static(name), value);
    }
}
