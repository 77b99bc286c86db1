//! HTTP/1 connections to targets, each for one request at a time, and a pool of idle ones.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::task::AbortHandle;

use crate::clock::mono_now;
use crate::lock::lock;
use crate::upstream::ConnectError;
use crate::upstream::SendTracker;
use crate::upstream::connect_tcp;
use crate::upstream::error_chain;
use crate::upstream::errors::is_caused_by;
use crate::upstream::tracker::HeadTooLong;
use crate::upstream::tracker::TrackedStream;
use ggt_core::clock::MonoTime;

/// Maximum time in milliseconds that an idle connection is kept open.
const MAX_IDLE_MS: u64 = 3_000;
/// Time in milliseconds before the target's own idle timeout at which a connection is dropped.
const IDLE_MARGIN_MS: u64 = 700;
/// Maximum number of idle connections per target.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Maximum size in bytes of a reply's head, and of what is read of a reply at a time.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Why a request on a connection got no reply.
#[derive(Debug, Snafu)]
pub enum SendFailure {
    /// No byte of the request was written.
    #[snafu(display("{cause}"))]
    NotSent {
        /// Text of the underlying error.
        cause: String,
    },
    /// The request was written, at least in part; it may have run.
    #[snafu(display("{cause}"))]
    Lost {
        /// Text of the underlying error.
        cause: String,
    },
    /// The same, and the target has sent more bytes than the head of a reply may have.
    #[snafu(display("{cause}"))]
    TooLong {
        /// Text of the underlying error.
        cause: String,
    },
    /// The same, and what the target has sent is no final reply.
    #[snafu(display("{cause}"))]
    Invalid {
        /// What it has sent.
        cause: String,
    },
}

impl SendFailure {
    /// What an error of the HTTP layer means, if any byte of the request has been written.
    fn of_written(error: &hyper::Error) -> Self {
        let cause = error_chain(error);
        match error.is_parse_too_large() || is_caused_by::<HeadTooLong>(error) {
            true => Self::TooLong { cause },
            false => Self::Lost { cause },
        }
    }
}

/// A connection to a target; dropping it closes the socket.
pub struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    tracker: Arc<SendTracker>,
    is_reused: bool,
    /// Least number of bytes that the last request takes on the connection.
    request_bytes: u64,
    task: AbortHandle,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TargetConnection {
    /// Opens a connection and starts HTTP/1 on it.
    ///
    /// # Errors
    /// [`ConnectError`] when the address does not accept the connection within `connect_timeout`.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, ConnectError> {
        let stream = connect_tcp(address, connect_timeout).await?;
        let tracker = SendTracker::new(mono_now(), Duration::MAX, None);
        let stream = TokioIo::new(TrackedStream::new(stream, tracker.clone()));
        let handshake =
            http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(stream).await;
        let (sender, driver) =
            handshake.map_err(|source| ConnectError::Handshake { address, source })?;
        let task = tokio::spawn(async move {
            // The request on the connection gets its own error.
            if let Err(e) = driver.await {
                log::debug!("event=channel address={address} cause=\"{e}\"");
            }
        });
        Ok(Self { sender, tracker, is_reused: false, request_bytes: 0, task: task.abort_handle() })
    }

    /// Whether the connection has carried a request before.
    pub const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether any byte of the last request may have been written.
    pub fn has_written(&self) -> bool {
        self.tracker.has_written()
    }

    /// Whether the last request has been written to its end.
    pub fn has_written_all(&self) -> bool {
        self.tracker.written_bytes() >= self.request_bytes
    }

    /// Waits until the last reply has been read to its end.
    ///
    /// # Errors
    /// [`SendFailure::NotSent`] when the connection is closed.
    pub async fn ready(&mut self) -> Result<(), SendFailure> {
        let ready = self.sender.ready().await;
        ready.map_err(|e| SendFailure::NotSent { cause: error_chain(&e) })
    }

    /// Bytes of the reply to the last request that have been received.
    pub fn received_bytes(&self) -> u64 {
        self.tracker.received_bytes()
    }

    /// Sends a request and waits for the head of the reply. Nothing is sent if the first byte
    /// cannot be written before `send_deadline`.
    ///
    /// # Errors
    /// [`SendFailure`] distinguishes requests that may have run. If the future is dropped before it
    /// completes, [`TargetConnection::has_written`] does.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        send_deadline: MonoTime,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.tracker.begin(send_deadline);
        self.request_bytes = least_bytes(&request);
        let result = self.sender.send_request(request).await;
        self.tracker.record_head();
        match result {
            // Nobody has asked for another protocol, so what follows is no reply.
            Ok(response) if response.status().is_informational() => Err(SendFailure::Invalid {
                cause: format!("status {}", response.status().as_u16()),
            }),
            Ok(response) => Ok(response),
            Err(e) if self.has_written() => Err(SendFailure::of_written(&e)),
            Err(e) => Err(SendFailure::NotSent { cause: error_chain(&e) }),
        }
    }
}

/// Least number of bytes that a request takes on a connection: the HTTP layer may add headers.
fn least_bytes(request: &Request<Full<Bytes>>) -> u64 {
    let headers = request.headers().iter();
    let head: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    let body = request.body().size_hint().exact().unwrap_or_default();
    head as u64 + body
}

struct IdleConnection {
    connection: TargetConnection,
    expires_at: MonoTime,
}

/// Pool of idle connections, by target.
pub struct ConnectionPool<K> {
    idle: Mutex<HashMap<K, Vec<IdleConnection>>>,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> Self {
        Self { idle: Mutex::default() }
    }
}

impl<K> ConnectionPool<K>
where
    K: Copy + Eq + Hash,
{
    /// Takes an idle connection to a target out of the pool, discarding expired and closed ones.
    pub fn take(&self, key: K) -> Option<TargetConnection> {
        let now = mono_now();
        let mut pool = lock(&self.idle);
        let idle = pool.get_mut(&key)?;
        while let Some(IdleConnection { connection, expires_at }) = idle.pop() {
            if now < expires_at && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection whose last reply has been read to its end into the pool. `idle_seconds` is
    /// the target's own idle timeout, if it is known. A connection beyond `MAX_IDLE_CONNECTIONS`
    /// is closed instead.
    pub fn keep(&self, key: K, mut connection: TargetConnection, idle_seconds: Option<u64>) {
        let target_idle_ms = idle_seconds
            .map(|seconds| seconds.saturating_mul(1_000).saturating_sub(IDLE_MARGIN_MS));
        let idle_ms = target_idle_ms.unwrap_or(MAX_IDLE_MS).min(MAX_IDLE_MS);
        connection.is_reused = true;
        let mut pool = lock(&self.idle);
        let idle = pool.entry(key).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS && idle_ms > 0 {
            idle.push(IdleConnection { connection, expires_at: mono_now() + idle_ms });
        }
    }

    /// Closes the idle connections to a target.
    pub fn close_idle(&self, key: K) {
        lock(&self.idle).remove(&key);
    }

    /// Drops connections that have been idle for too long or were closed by their targets.
    pub fn sweep(&self) {
        let now = mono_now();
        lock(&self.idle).retain(|_, idle| {
            idle.retain(|entry| now < entry.expires_at && !entry.connection.is_closed());
            !idle.is_empty()
        });
    }
}
