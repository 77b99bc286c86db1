//! Requests to targets: asynchronous ones with a streamed reply, and short blocking ones.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::time::timeout;
use ureq::Agent;
use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::TcpConnector;

use crate::clock::mono_now;
use crate::metrics::ByteCounter;
use crate::upstream::ConnectError;
use crate::upstream::SendFailure;
use crate::upstream::SendTracker;
use crate::upstream::TargetConnection;
use crate::upstream::tracker::TrackingConnector;
use ggt_core::clock::MonoTime;
use ggt_core::verdict::RunVerdict;
use ggt_wire::headers;

/// Maximum size in bytes of the body of the reply to a blocking request.
const MAX_BLOCKING_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Why a request to a target failed.
#[derive(Debug, Snafu)]
pub enum CallFailure {
    /// No byte of the request was written.
    #[snafu(display("not sent: {cause}"))]
    NotSent {
        /// Text of the underlying error.
        cause: String,
        /// Whether the target was only silent for the time given to it.
        is_silence: bool,
    },
    /// The request was sent and no complete reply arrived.
    #[snafu(display("no reply: {cause}"))]
    NoReply {
        /// Text of the underlying error.
        cause: String,
        /// Whether the target was only silent for the time given to it.
        is_silence: bool,
    },
    /// The reply has the id of another request, has no marked end, so that a truncated one could not be
    /// detected, or is longer than a reply may be.
    #[snafu(display("reply dropped: {cause}"))]
    WrongReply {
        /// Which check failed.
        cause: String,
    },
}

impl CallFailure {
    /// Whether the request may have run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::NotSent { .. } => RunVerdict::NotRun,
            Self::NoReply { .. } | Self::WrongReply { .. } => RunVerdict::Unknown,
        }
    }

    /// Whether the target was only silent for the time given to it, so that it may be sound.
    pub const fn is_silence(&self) -> bool {
        match self {
            Self::NotSent { is_silence, .. } | Self::NoReply { is_silence, .. } => *is_silence,
            Self::WrongReply { .. } => false,
        }
    }

    /// The failure's name in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::NotSent { .. } => "not-sent",
            Self::NoReply { .. } => "no-reply",
            Self::WrongReply { .. } => "wrong-reply",
        }
    }
}

impl From<SendFailure> for CallFailure {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::NotSent { cause } => Self::NotSent { cause, is_silence: false },
            SendFailure::Lost { cause } => Self::NoReply { cause, is_silence: false },
            SendFailure::TooLong { cause } | SendFailure::Invalid { cause } => {
                Self::WrongReply { cause }
            }
        }
    }
}

/// A request to a target.
#[derive(Clone, Debug)]
pub struct TargetCall<'a> {
    /// Address of the target; also sent as `host` header.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: &'a str,
    /// Request headers; `host` is replaced.
    pub head: &'a HeaderMap,
    /// Id of the request; a reply with another id is dropped.
    pub request_id: &'a str,
    /// Request body.
    pub body: &'a Bytes,
}

impl TargetCall<'_> {
    fn request(&self) -> Result<Request<Full<Bytes>>, CallFailure> {
        let not_sent = |cause: String| CallFailure::NotSent { cause, is_silence: false };
        let mut request = Request::builder().method(self.method).uri(self.path);
        if let Some(headers) = request.headers_mut() {
            headers.extend(self.head.clone());
            let host = HeaderValue::from_str(&self.address.to_string());
            headers.insert(header::HOST, host.map_err(|e| not_sent(e.to_string()))?);
        }
        request.body(Full::new(self.body.clone())).map_err(|e| not_sent(e.to_string()))
    }
}

/// Timeouts of a request.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Deadline for writing the request's first byte.
    pub send_deadline: MonoTime,
    /// Timeout for the head of the reply, from the start of sending.
    pub first_byte_timeout: Duration,
    /// Timeout for each chunk of the reply's body.
    pub idle_timeout: Duration,
}

/// A reply whose body is still to be read; dropping it closes the connection.
pub struct TargetReply {
    /// HTTP status code.
    pub status: u16,
    /// Reply headers.
    pub headers: HeaderMap,
    body: Incoming,
    idle_timeout: Duration,
    connection: TargetConnection,
}

impl TargetReply {
    /// The connection, if the reply has been read to its end and the connection may be reused. That
    /// requires that the target echoes request ids; otherwise a surplus reply could be taken for
    /// the reply to the next request.
    pub fn into_connection(self) -> Option<TargetConnection> {
        let echoes_id = self.headers.contains_key(headers::REQUEST_ID);
        (echoes_id && self.body.is_end_stream()).then_some(self.connection)
    }

    /// The next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    /// [`CallFailure::NoReply`] when the body is interrupted or the next chunk takes too long.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, CallFailure> {
        let failed = |cause: String, is_silence| CallFailure::NoReply { cause, is_silence };
        let frame = timeout(self.idle_timeout, self.body.frame()).await;
        match frame.map_err(|_| failed("the reply's body is silent".to_owned(), true))? {
            None => Ok(None),
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(e)) => Err(failed(e.to_string(), false)),
        }
    }

    /// A header's value as text; `None` if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

fn blocking_agent(
    tracker: &Arc<SendTracker>,
    connect_timeout: Duration,
    reply_timeout: Duration,
) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(connect_timeout))
        .timeout_recv_response(Some(reply_timeout))
        .build();
    let connector = TcpConnector::default().chain(TrackingConnector { tracker: tracker.clone() });
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Sends a request to a target and waits for the head of its reply.
///
/// It uses the given idle connection, or opens a new one. A connection carries one request at a
/// time and is reused only for idempotent requests. So a late reply cannot reach another caller,
/// and no request is sent twice without the dispatcher's decision.
///
/// # Errors
/// [`CallFailure`]; its verdict is whether the request may have run.
pub async fn call_target(
    idle_connection: Option<TargetConnection>,
    call: &TargetCall<'_>,
    options: &CallOptions,
) -> Result<TargetReply, CallFailure> {
    let request = call.request()?;
    let mut connection = match idle_connection {
        Some(connection) => connection,
        None => {
            TargetConnection::open(call.address, options.connect_timeout).await.map_err(|e| {
                let is_silence = matches!(e, ConnectError::Timeout { .. });
                CallFailure::NotSent { cause: e.to_string(), is_silence }
            })?
        }
    };
    let result =
        timeout(options.first_byte_timeout, connection.send(request, options.send_deadline)).await;
    let result = result.map(|sent| sent.map_err(CallFailure::from)).unwrap_or_else(|_| {
        let (cause, is_silence) = ("no answer in time".to_owned(), true);
        Err(match connection.has_written() {
            true => CallFailure::NoReply { cause, is_silence },
            false => CallFailure::NotSent { cause, is_silence },
        })
    });
    let (parts, body) = result?.into_parts();
    let reply = TargetReply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
        idle_timeout: options.idle_timeout,
        connection,
    };
    check_reply(&reply, call.request_id)?;
    Ok(reply)
}

fn check_reply(reply: &TargetReply, request_id: &str) -> Result<(), CallFailure> {
    let echo = reply.header(headers::REQUEST_ID);
    if let Some(echo) = echo.filter(|echo| *echo != request_id) {
        return Err(CallFailure::WrongReply { cause: format!("echoed request id {echo:?}") });
    }
    if echo.is_none() && reply.connection.is_reused() {
        return Err(CallFailure::WrongReply { cause: "no request id on a kept connection".into() });
    }
    let has_length = reply.headers.contains_key(http::header::CONTENT_LENGTH)
        || reply.headers.contains_key(http::header::TRANSFER_ENCODING)
        || matches!(reply.status, 204 | 304);
    if has_length {
        Ok(())
    } else {
        Err(CallFailure::WrongReply { cause: "the reply's end is not marked".to_owned() })
    }
}

/// Sends a request without a body and reads the complete reply, blocking the thread.
///
/// `reply_timeout` bounds the wait for the reply's headers and each wait for further bytes;
/// `counter` counts the bytes on the socket.
///
/// # Errors
/// [`CallFailure`] when no complete reply arrives.
pub fn blocking_call(
    address: SocketAddr,
    method: &Method,
    path: &str,
    connect_timeout: Duration,
    reply_timeout: Duration,
    counter: Option<Arc<ByteCounter>>,
) -> Result<(u16, String), CallFailure> {
    let send_deadline = mono_now()
        + u64::try_from((connect_timeout + reply_timeout).as_millis()).unwrap_or(u64::MAX);
    let tracker = SendTracker::new(send_deadline, reply_timeout, counter);
    let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    let request = request
        .body(())
        .map_err(|e| CallFailure::NotSent { cause: e.to_string(), is_silence: false })?;
    let failed = |error: ureq::Error| {
        let (cause, is_silence) = (error.to_string(), is_timeout(&error));
        match tracker.has_written() {
            true => CallFailure::NoReply { cause, is_silence },
            false => CallFailure::NotSent { cause, is_silence },
        }
    };
    let response =
        blocking_agent(&tracker, connect_timeout, reply_timeout).run(request).map_err(failed)?;
    let (parts, mut body) = response.into_parts();
    let text =
        body.with_config().limit(MAX_BLOCKING_BODY_BYTES).read_to_string().map_err(failed)?;
    Ok((parts.status.as_u16(), text))
}

fn is_timeout(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Timeout(_) => true,
        ureq::Error::Io(e) => {
            matches!(e.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock)
        }
        _ => false,
    }
}
