//! One request to one target.

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
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use ureq::Agent;
use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::TcpConnector;

use crate::clock::mono_now;
use crate::metrics::ByteCounter;
use crate::upstream::CallWatch;
use crate::upstream::connect::connect_tcp;
use crate::upstream::watch::WatchConnector;
use crate::upstream::watch::WatchStream;
use ggt_core::clock::MonoTime;
use ggt_core::verdict::RunVerdict;
use ggt_wire::headers;

/// Largest body of a short reply that is read whole.
const MAX_SIMPLE_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Why a call failed before its reply began.
#[derive(Debug, Snafu)]
pub enum CallFailure {
    /// No byte of the request left.
    #[snafu(display("not sent: {cause}"))]
    NotSent {
        /// The cause.
        cause: String,
    },
    /// The request left and no usable reply came.
    #[snafu(display("no reply: {cause}"))]
    NoReply {
        /// The cause.
        cause: String,
    },
    /// The reply bears the id of another request, or cannot be told whole from cut.
    #[snafu(display("reply dropped: {cause}"))]
    WrongReply {
        /// The cause.
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

    /// The cause as it stands in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::NotSent { .. } => "not-sent",
            Self::NoReply { .. } => "no-reply",
            Self::WrongReply { .. } => "wrong-reply",
        }
    }
}

/// The points in time that bound a call.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Longest time to connect.
    pub connect: Duration,
    /// The first byte must leave before this point.
    pub send_by: MonoTime,
    /// The reply's head must come within this time.
    pub first_byte: Duration,
    /// Longest silence within the reply.
    pub idle: Duration,
}

/// The head of a reply, with its body still to be read; dropping it closes the connection.
pub struct TargetReply {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    body: Incoming,
    idle: Duration,
    _connection: ConnectionTask,
}

impl TargetReply {
    /// The next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    /// [`CallFailure::NoReply`] when the body breaks off or is silent for too long.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, CallFailure> {
        let failed = |cause: String| CallFailure::NoReply { cause };
        let frame = timeout(self.idle, self.body.frame()).await;
        match frame.map_err(|_| failed("the reply's body is silent".to_owned()))? {
            None => Ok(None),
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(e)) => Err(failed(e.to_string())),
        }
    }

    /// A header's value as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// The task that drives a connection; dropping it closes the socket.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn agent(watch: &Arc<CallWatch>, connect: Duration, first_byte: Duration) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(connect))
        .timeout_recv_response(Some(first_byte))
        .build();
    let connector = TcpConnector::default().chain(WatchConnector { watch: watch.clone() });
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Sends a request to a target and waits for the head of its reply.
///
/// The connection serves this request alone, so a late answer reaches nobody else and nothing is
/// sent twice behind the caller's back.
///
/// # Errors
/// [`CallFailure`] tells whether the request may have run.
pub async fn call_target(
    address: SocketAddr,
    method: &Method,
    path: &str,
    head: &HeaderMap,
    request_id: &str,
    body: &Bytes,
    options: &CallOptions,
) -> Result<TargetReply, CallFailure> {
    let not_sent = |cause: String| CallFailure::NotSent { cause };
    let watch = CallWatch::new(options.send_by, options.idle, None);
    let mut request = Request::builder().method(method).uri(path);
    if let Some(headers) = request.headers_mut() {
        headers.extend(head.clone());
        let host = HeaderValue::from_str(&address.to_string());
        headers.insert(header::HOST, host.map_err(|e| not_sent(e.to_string()))?);
    }
    let request = request.body(Full::new(body.clone())).map_err(|e| not_sent(e.to_string()))?;
    let stream =
        connect_tcp(address, options.connect).await.map_err(|e| not_sent(e.to_string()))?;
    let stream = WatchStream::new(TokioIo::new(stream), watch.clone());
    let (mut sender, connection) =
        http1::handshake(stream).await.map_err(|e| not_sent(e.to_string()))?;
    let task = tokio::spawn(async move {
        // A failure of the connection reaches the call.
        if let Err(e) = connection.await {
            log::debug!("event=channel address={address} cause=\"{e}\"");
        }
    });
    let task = ConnectionTask(task.abort_handle());
    let failed = |cause: String| match watch.has_left() {
        true => CallFailure::NoReply { cause },
        false => CallFailure::NotSent { cause },
    };
    let answered = timeout(options.first_byte, sender.send_request(request)).await;
    let answered = answered.map_err(|_| failed("no answer in time".to_owned()))?;
    let response = answered.map_err(|e| failed(e.to_string()))?;
    let (parts, body) = response.into_parts();
    let reply = TargetReply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
        idle: options.idle,
        _connection: task,
    };
    check_reply(&reply, request_id)?;
    Ok(reply)
}

fn check_reply(reply: &TargetReply, request_id: &str) -> Result<(), CallFailure> {
    if let Some(echo) = reply.header(headers::REQUEST_ID).filter(|echo| *echo != request_id) {
        return Err(CallFailure::WrongReply { cause: format!("echoed request id {echo:?}") });
    }
    let has_end = reply.headers.contains_key(http::header::CONTENT_LENGTH)
        || reply.headers.contains_key(http::header::TRANSFER_ENCODING)
        || matches!(reply.status, 204 | 304);
    if has_end {
        Ok(())
    } else {
        Err(CallFailure::WrongReply { cause: "the reply's end is not marked".to_owned() })
    }
}

/// Sends a short request and reads the whole reply, counting bytes on the socket.
///
/// # Errors
/// [`CallFailure`] when there is no whole reply.
pub fn simple_call(
    address: SocketAddr,
    method: &Method,
    path: &str,
    connect: Duration,
    wait: Duration,
    counter: Option<Arc<ByteCounter>>,
) -> Result<(u16, String), CallFailure> {
    let send_by = mono_now() + u64::try_from((connect + wait).as_millis()).unwrap_or(u64::MAX);
    let watch = CallWatch::new(send_by, wait, counter);
    let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    let request = request.body(()).map_err(|e| CallFailure::NotSent { cause: e.to_string() })?;
    let failed = |cause: String| match watch.has_left() {
        true => CallFailure::NoReply { cause },
        false => CallFailure::NotSent { cause },
    };
    let response = agent(&watch, connect, wait).run(request).map_err(|e| failed(e.to_string()))?;
    let (parts, mut body) = response.into_parts();
    let text = body
        .with_config()
        .limit(MAX_SIMPLE_BODY_BYTES)
        .read_to_string()
        .map_err(|e| failed(e.to_string()))?;
    Ok((parts.status.as_u16(), text))
}
