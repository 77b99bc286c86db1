//! TCP connections with keepalive, so that the kernel detects an unresponsive peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

use ggt_core::targets::SendOutcome;

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum time that sent bytes may remain unacknowledged (`TCP_USER_TIMEOUT`).
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a connection could not be opened.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The connection was refused, the address is unreachable, or a socket option could not be set.
    #[snafu(display("connect to {address}: {source}"))]
    Refused {
        /// Address of the server.
        address: SocketAddr,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The connection was not established in time.
    #[snafu(display("connect to {address}: no answer within {timeout_ms} ms"))]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
        /// Connect timeout in milliseconds.
        timeout_ms: u128,
    },
    /// HTTP could not be started on the connection.
    #[snafu(display("connect to {address}: {source}"))]
    Handshake {
        /// Address of the server.
        address: SocketAddr,
        /// Underlying HTTP error.
        source: hyper::Error,
    },
}

impl ConnectError {
    /// Whether the server's host refused the connection: no process listens at the address.
    pub fn is_refused(&self) -> bool {
        let Self::Refused { source, .. } = self else { return false };
        matches!(source.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
    }

    /// What the failure says about the health of the server.
    pub fn outcome(&self) -> SendOutcome {
        match self {
            Self::Timeout { .. } => SendOutcome::Unresponsive,
            Self::Refused { .. } | Self::Handshake { .. } => SendOutcome::Unreachable,
        }
    }

    /// Whether the server's host refused the connection or did not reply, as if the server had
    /// ended; `false` for errors of this process.
    pub fn is_target_down(&self) -> bool {
        match self {
            Self::Refused { source, .. } => matches!(
                source.kind(),
                io::ErrorKind::ConnectionRefused
                    | io::ErrorKind::ConnectionReset
                    | io::ErrorKind::HostUnreachable
                    | io::ErrorKind::TimedOut
            ),
            Self::Timeout { .. } => true,
            Self::Handshake { .. } => false,
        }
    }
}

/// Opens a TCP connection with `TCP_NODELAY`, keepalive and `TCP_USER_TIMEOUT`.
///
/// # Errors
/// [`ConnectError`] when it is not established within `connect_timeout`.
pub async fn connect_tcp(
    address: SocketAddr,
    connect_timeout: Duration,
) -> Result<TcpStream, ConnectError> {
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Err(_) => {
            return Err(ConnectError::Timeout { address, timeout_ms: connect_timeout.as_millis() });
        }
        Ok(Err(source)) => return Err(ConnectError::Refused { address, source }),
        Ok(Ok(stream)) => stream,
    };
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(&stream);
    let options = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    options.map_err(|source| ConnectError::Refused { address, source })?;
    Ok(stream)
}
