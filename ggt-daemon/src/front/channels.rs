//! Connections to targets: opened, used by one request at a time, and kept for the next.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::clock::mono_now;
use crate::upstream::ConnectError;
use crate::upstream::connect_tcp;
use ggt_core::clock::MonoTime;
use ggt_core::targets::TargetKey;

/// Longest time to connect to a target, a peer or the platform.
const CONNECT_WAIT: Duration = Duration::from_millis(200);
/// Longest time that a connection waits for its next request, in milliseconds.
const MAX_IDLE_MS: u64 = 3_000;
/// Time by which a connection is given up before its target would close it, in milliseconds.
const IDLE_MARGIN_MS: u64 = 700;
/// Connections kept for one target at most.
const MAX_KEPT: usize = 8;

/// One connection; dropping it closes the socket.
pub struct TargetChannel {
    /// Takes the next request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub is_kept: bool,
    task: AbortHandle,
}

impl Drop for TargetChannel {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection for requests.
///
/// # Errors
/// [`ConnectError`] names the address and the cause.
pub async fn open_channel(address: SocketAddr) -> Result<TargetChannel, ConnectError> {
    let stream = connect_tcp(address, CONNECT_WAIT).await?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) =
        handshake.map_err(|source| ConnectError::Handshake { address, source })?;
    let task = tokio::task::spawn_local(async move {
        // A failure of the connection reaches the request that it carries.
        if let Err(e) = connection.await {
            log::debug!("event=channel address={address} cause=\"{e}\"");
        }
    });
    Ok(TargetChannel { sender, is_kept: false, task: task.abort_handle() })
}

struct KeptChannel {
    channel: TargetChannel,
    expires_at: MonoTime,
}

/// Connections that wait for a request.
#[derive(Default)]
pub struct TargetChannels {
    kept: RefCell<HashMap<TargetKey, Vec<KeptChannel>>>,
}

impl TargetChannels {
    /// A connection that waits for a request to this target.
    pub fn take(&self, key: TargetKey) -> Option<TargetChannel> {
        let now = mono_now();
        let mut kept = self.kept.borrow_mut();
        let waiting = kept.get_mut(&key)?;
        while let Some(KeptChannel { channel, expires_at }) = waiting.pop() {
            if now < expires_at && channel.sender.is_ready() {
                return Some(channel);
            }
        }
        None
    }

    /// Keeps a connection whose reply has been read to its end.
    pub fn keep(&self, key: TargetKey, mut channel: TargetChannel, idle_seconds: Option<u64>) {
        let told_ms = idle_seconds.map(|seconds| (seconds * 1_000).saturating_sub(IDLE_MARGIN_MS));
        let idle_ms = told_ms.unwrap_or(MAX_IDLE_MS).min(MAX_IDLE_MS);
        channel.is_kept = true;
        let mut kept = self.kept.borrow_mut();
        let waiting = kept.entry(key).or_default();
        if waiting.len() < MAX_KEPT && idle_ms > 0 {
            waiting.push(KeptChannel { channel, expires_at: mono_now() + idle_ms });
        }
    }

    /// Closes all connections to a target.
    pub fn forget(&self, key: TargetKey) {
        self.kept.borrow_mut().remove(&key);
    }

    /// Closes connections that have waited too long or were closed by their targets.
    pub fn sweep(&self) {
        let now = mono_now();
        self.kept.borrow_mut().retain(|_, waiting| {
            waiting.retain(|kept| now < kept.expires_at && !kept.channel.sender.is_closed());
            !waiting.is_empty()
        });
    }
}
