//! Short HTTP requests to the store, to peers and to targets.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use snafu::ResultExt;
use snafu::Snafu;

use crate::clock::mono_now;
use crate::upstream::ConnectError;
use crate::upstream::SendFailure;
use crate::upstream::TargetConnection;
use ggt_platform::StoreError;

/// Maximum size in bytes of a reply body.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;
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
    /// The reply body is too long or incomplete, or the request is malformed.
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
    let request = Request::get(path).header(http::header::HOST, address.to_string());
    let request =
        request.body(Full::default()).map_err(|e| CallError::Body { cause: e.to_string() })?;
    connection.ready().await.context(BrokenSnafu)?;
    let send_deadline = mono_now() + SEND_TIMEOUT_MS;
    let response = connection.send(request, send_deadline).await.context(BrokenSnafu)?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
    let body = body.map_err(|e| CallError::Body { cause: e.to_string() })?;
    Ok(CallReply { status: parts.status.as_u16(), headers: parts.headers, body: body.to_bytes() })
}
