//! Connections whose silence the kernel notices.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Silence of a connection after which the kernel asks whether the other side is there.
const KEEPALIVE_WAIT: Duration = Duration::from_secs(1);
/// Questions that go unanswered before the kernel gives a connection up.
const KEEPALIVE_TRIES: u32 = 2;
/// Longest time that sent bytes may go unacknowledged.
const UNACKED_WAIT: Duration = Duration::from_secs(3);

/// Why there is no connection.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The address refused, or cannot be reached.
    #[snafu(display("connect to {address}: {source}"))]
    Refused {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The address did not answer in time.
    #[snafu(display("connect to {address}: no answer within {wait_ms} ms"))]
    Silent {
        /// The address.
        address: SocketAddr,
        /// The time that was allowed.
        wait_ms: u128,
    },
    /// The HTTP layer refused the connection.
    #[snafu(display("connect to {address}: {source}"))]
    Handshake {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
}

/// Opens a TCP connection whose silence the kernel notices.
///
/// # Errors
/// [`ConnectError`] names the address and the cause.
pub async fn connect_tcp(address: SocketAddr, wait: Duration) -> Result<TcpStream, ConnectError> {
    let stream = match timeout(wait, TcpStream::connect(address)).await {
        Err(_) => return Err(ConnectError::Silent { address, wait_ms: wait.as_millis() }),
        Ok(Err(source)) => return Err(ConnectError::Refused { address, source }),
        Ok(Ok(stream)) => stream,
    };
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_WAIT)
        .with_interval(KEEPALIVE_WAIT)
        .with_retries(KEEPALIVE_TRIES);
    let socket = SockRef::from(&stream);
    let options = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_WAIT)));
    options.map_err(|source| ConnectError::Refused { address, source })?;
    Ok(stream)
}
