//! Short HTTP requests to the store, to peers and to targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::upstream::ConnectError;
use crate::upstream::SendFailure;
use crate::upstream::TargetConnection;
use ggt_platform::StoreError;

/// Maximum size in bytes of a reply body.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;
/// Longest pause between two pieces of a reply body.
const MAX_BODY_GAP: Duration = Duration::from_millis(1_000);
/// Time in milliseconds within which the first byte of a request must be written.
const SEND_TIMEOUT_MS: u64 = 1_000;

/// Why a short request failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be opened.
    #[snafu(display("{source}"), context(false))]
    Connect { source: ConnectError },
    /// The connection broke.
    #[snafu(display("request: {source}"))]
    Broken { source: SendFailure },
    /// The reply body is larger than [`MAX_REPLY_BYTES`].
    #[snafu(display("reply body: more than {MAX_REPLY_BYTES} bytes"))]
    TooLarge,
    /// The reply body is incomplete, or the request is malformed.
    #[snafu(display("reply body: {cause}"))]
    Body { cause: String },
    /// No reply arrived in time.
    #[snafu(display("request timed out"))]
    Timeout,
    /// The server replied with an error status.
    #[snafu(display("status {status}"))]
    Status { status: u16 },
    /// The store has come back from an older copy since the last reply.
    #[snafu(display("the store came back from an older copy"))]
    StoreRestored,
    /// The store's reply cannot be decoded.
    #[snafu(display("{source}"), context(false))]
    Decode { source: StoreError },
}

/// A complete reply.
#[derive(Debug)]
pub struct CallReply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Sends a `GET` request on a connection and reads the complete reply.
///
/// # Errors
/// [`CallError`] when the connection breaks or the reply is too long.
pub async fn get(
    connection: &mut TargetConnection,
    address: SocketAddr,
    path: &str,
) -> Result<CallReply, CallError> {
    let response = request(connection, address, path).await?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_REPLY_BYTES).collect().await.map_err(body_error)?;
    Ok(CallReply { status: parts.status.as_u16(), headers: parts.headers, body: body.to_bytes() })
}

/// Does the same, but waits for the head of the reply for at most `head_timeout_ms`, and then for as long as
/// its body arrives: a large one may take long on a slow link.
///
/// # Errors
/// As [`get`], and [`CallError::Timeout`].
pub async fn get_within(
    connection: &mut TargetConnection,
    address: SocketAddr,
    path: &str,
    head_timeout_ms: u64,
) -> Result<CallReply, CallError> {
    let head = request(connection, address, path);
    let head = timeout(Duration::from_millis(head_timeout_ms), head).await;
    let (parts, body) = head.unwrap_or(Err(CallError::Timeout))?.into_parts();
    let mut body = Limited::new(body, MAX_REPLY_BYTES);
    let mut received = BytesMut::new();
    while let Some(frame) =
        timeout(MAX_BODY_GAP, body.frame()).await.map_err(|_| CallError::Timeout)?
    {
        if let Ok(data) = frame.map_err(body_error)?.into_data() {
            received.extend_from_slice(&data);
        }
    }
    let status = parts.status.as_u16();
    Ok(CallReply { status, headers: parts.headers, body: received.freeze() })
}

async fn request(
    connection: &mut TargetConnection,
    address: SocketAddr,
    path: &str,
) -> Result<Response<Incoming>, CallError> {
    let request = Request::get(path).header(http::header::HOST, address.to_string());
    let request =
        request.body(Full::default()).map_err(|e| CallError::Body { cause: e.to_string() })?;
    connection.ready().await.context(BrokenSnafu)?;
    let send_deadline = mono_now() + SEND_TIMEOUT_MS;
    connection.send(request, send_deadline).await.context(BrokenSnafu)
}

fn body_error(error: Box<dyn std::error::Error + Send + Sync>) -> CallError {
    match error.is::<LengthLimitError>() {
        true => CallError::TooLarge,
        false => CallError::Body { cause: error.to_string() },
    }
}
