//! Requests to the store on one connection, which is replaced after a failure.

use std::net::SocketAddr;

use crate::front::call::CallError;
use crate::front::call::CallReply;
use crate::front::call::get_within;
use crate::front::state::CONNECT_TIMEOUT;
use crate::upstream::TargetConnection;
use ggt_core::store_watch::WatchRequest;
use ggt_platform::StoreReply;
use ggt_platform::is_same_history;
use ggt_platform::parse_era;
use ggt_platform::parse_watch;
use ggt_platform::watch_path;

/// Client of the store.
pub(super) struct StoreClient {
    address: SocketAddr,
    connection: Option<TargetConnection>,
}

impl StoreClient {
    /// A client of the store at this address, not connected yet.
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Closes the connection; the next request opens another one.
    pub(super) fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Waits for changes of any key after a revision.
    ///
    /// # Errors
    /// [`CallError::StoreRestored`] if the store has come back from an older copy since that revision: it
    /// has given out the revisions after it anew.
    pub(super) async fn watch(
        &mut self,
        after: u64,
        request: WatchRequest,
    ) -> Result<StoreReply, CallError> {
        let path = watch_path(after, request.hold_ms);
        let reply = self.call(&path, request.timeout_ms).await?;
        let reply = parse_watch(&reply.body, parse_era(&reply.headers))?;
        match is_same_history(reply.revision, after) {
            true => Ok(reply),
            false => Err(CallError::StoreRestored),
        }
    }

    /// Sends a request and waits for the head of the reply, for at most `timeout_ms` once connected, and for its
    /// body for as long as it arrives.
    pub(super) async fn call(
        &mut self,
        path: &str,
        timeout_ms: u64,
    ) -> Result<CallReply, CallError> {
        let mut connection = match self.connection.take() {
            Some(connection) if !connection.is_closed() => connection,
            _ => TargetConnection::open(self.address, CONNECT_TIMEOUT).await?,
        };
        // A failure closes the connection, so that a late reply is not taken for the next one.
        let reply = get_within(&mut connection, self.address, path, timeout_ms).await?;
        self.connection = Some(connection);
        match reply.status {
            200 => Ok(reply),
            status => Err(CallError::Status { status }),
        }
    }
}
