//! JSON-RPC client for other daemons, over WebSocket connections.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::net::TcpSocket;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::clock::wall_now;
use crate::metrics::TrafficKind;
use crate::peers::stream::CountedStream;
use crate::state::SharedState;
use ggt_wire::rpc::CallError;
use ggt_wire::rpc::SignedReply;
use ggt_wire::rpc::sign_call;
use ggt_wire::rpc::verify_reply;

/// Maximum size in bytes of an RPC message; one published file may have a megabyte.
pub(super) const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// Error of a call to a peer.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The call or the connection attempt timed out.
    #[snafu(display("peer {peer}: timed out"))]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The peer is unreachable or refused the call.
    #[snafu(display("peer {peer}: {cause}"))]
    Failed {
        /// Address of the peer.
        peer: SocketAddr,
        /// Text of the connection or JSON-RPC error.
        cause: String,
    },
    /// The call could not be signed, or the signature of the reply is not valid.
    #[snafu(display("{source}"), context(false))]
    Signature {
        /// Underlying signature error.
        source: CallError,
    },
}

/// Pool of connections to other daemons, one per address, opened on first use.
pub struct PeerLinks {
    state: Arc<SharedState>,
    clients: Mutex<BTreeMap<SocketAddr, Arc<WsClient>>>,
}

impl PeerLinks {
    /// Creates a pool without connections.
    pub fn new(state: Arc<SharedState>) -> Self {
        Self { state, clients: Mutex::default() }
    }

    /// Calls a method of a peer.
    ///
    /// A call that fails on a reused connection is repeated once on a new one, so the peer may
    /// receive it twice.
    ///
    /// # Errors
    /// [`LinkError`] if no correctly signed reply arrives within `call_timeout`.
    pub async fn call<P, R>(
        &self,
        peer: SocketAddr,
        method: &str,
        params: &P,
        call_timeout: Duration,
    ) -> Result<R, LinkError>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        timeout(call_timeout, self.call_with_retry(peer, method, params))
            .await
            .unwrap_or(Err(LinkError::Timeout { peer }))
    }

    async fn call_with_retry<P, R>(
        &self,
        peer: SocketAddr,
        method: &str,
        params: &P,
    ) -> Result<R, LinkError>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let state = &self.state;
        let call = sign_call(&state.keys, &state.settings.name, wall_now(), method, params)?;
        let failed = |e: ClientError| LinkError::Failed { peer, cause: e.to_string() };
        let (client, is_new) = self.client(peer).await?;
        let reply: SignedReply = match client.request(method, [&call]).await {
            Ok(reply) => reply,
            Err(e @ ClientError::Call(_)) => return Err(failed(e)),
            Err(e) => {
                self.remove_client(peer, &client).await;
                if is_new {
                    return Err(failed(e));
                }
                let (client, _) = self.client(peer).await?;
                client.request(method, [&call]).await.map_err(failed)?
            }
        };
        Ok(verify_reply(&state.keys, &call.tag, &reply)?)
    }

    async fn client(&self, peer: SocketAddr) -> Result<(Arc<WsClient>, bool), LinkError> {
        let existing = self.clients.lock().await.get(&peer).cloned();
        if let Some(client) = existing.filter(|client| client.is_connected()) {
            return Ok((client, false));
        }
        let client = Arc::new(self.connect(peer).await?);
        self.clients.lock().await.insert(peer, client.clone());
        Ok((client, true))
    }

    async fn connect(&self, peer: SocketAddr) -> Result<WsClient, LinkError> {
        let failed = |cause: String| LinkError::Failed { peer, cause };
        let settings = &self.state.settings;
        let connect_timeout = Duration::from_millis(settings.timing.connect_ms);
        let stream = timeout(connect_timeout, connect_from(settings.peer.ip(), peer))
            .await
            .map_err(|_| LinkError::Timeout { peer })?
            .map_err(|e| failed(e.to_string()))?;
        let stream = CountedStream::new(stream, self.state.metrics.traffic(TrafficKind::Call));
        WsClientBuilder::new()
            .connection_timeout(connect_timeout)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build_with_stream(format!("ws://{peer}"), stream)
            .await
            .map_err(|e| failed(e.to_string()))
    }

    async fn remove_client(&self, peer: SocketAddr, client: &Arc<WsClient>) {
        let mut clients = self.clients.lock().await;
        if clients.get(&peer).is_some_and(|existing| Arc::ptr_eq(existing, client)) {
            clients.remove(&peer);
        }
    }
}

/// Connects from the daemon's own peer address, so that firewall rules can match it.
async fn connect_from(source: IpAddr, peer: SocketAddr) -> std::io::Result<tokio::net::TcpStream> {
    let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(source, 0))?;
    let stream = socket.connect(peer).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
