//! Short calls to the store, to peers and to targets.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use snafu::ResultExt;
use snafu::Snafu;

use crate::clock::mono_now;
use crate::upstream::ConnectError;
use crate::upstream::SendFailure;
use crate::upstream::TargetChannel;
use ggt_platform::StoreError;

/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Longest time in milliseconds until a call's first byte leaves.
const SEND_WAIT_MS: u64 = 1_000;

/// Why a short call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// There is no connection.
    #[snafu(display("{source}"), context(false))]
    Connect {
        /// The cause.
        source: ConnectError,
    },
    /// The connection broke.
    #[snafu(display("store call: {source}"))]
    Broken {
        /// The cause.
        source: SendFailure,
    },
    /// The answer is too long, or broke off.
    #[snafu(display("store answer: {cause}"))]
    Body {
        /// The cause.
        cause: String,
    },
    /// There was no answer in time.
    #[snafu(display("store call: no answer in time"))]
    Silent,
    /// The store refused.
    #[snafu(display("store call: status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// The answer cannot be read.
    #[snafu(display("{source}"), context(false))]
    Answer {
        /// The cause.
        source: StoreError,
    },
}

/// Sends a `GET` on a connection and reads the whole answer.
///
/// # Errors
/// [`CallError`] when the connection broke or the answer is too long.
pub async fn get(
    channel: &mut TargetChannel,
    address: SocketAddr,
    path: &str,
) -> Result<(u16, Bytes), CallError> {
    let request = Request::get(path).header(http::header::HOST, address.to_string());
    let request =
        request.body(Full::default()).map_err(|e| CallError::Body { cause: e.to_string() })?;
    channel.ready().await.context(BrokenSnafu)?;
    let send_by = mono_now() + SEND_WAIT_MS;
    let response = channel.send(request, send_by).await.context(BrokenSnafu)?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|e| CallError::Body { cause: e.to_string() })?;
    Ok((status, body.to_bytes()))
}
