//! Accept loop and graceful shutdown of a listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// Pause after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Controls the shutdown of an edge (a listener with its connections) and counts the open
/// connections.
#[derive(Clone)]
pub struct EdgeHandle {
    phase: watch::Sender<EdgePhase>,
    open_connections: Arc<AtomicUsize>,
    /// Listeners whose accept queue has not been served to its end.
    open_listeners: Arc<AtomicUsize>,
}

/// Shutdown phase of an edge, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EdgePhase {
    /// Accepting connections.
    Open,
    /// Listener closed; existing connections are served.
    Closed,
    /// Each connection is closed once it has no request in progress.
    Ending,
    /// Requests that are still in progress are ended.
    Cut,
}

/// Counts a connection, or a listener, as open until it is dropped.
pub struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Default for EdgeHandle {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(EdgePhase::Open),
            open_connections: Arc::default(),
            open_listeners: Arc::default(),
        }
    }
}

impl EdgeHandle {
    /// Stops accepting connections.
    pub fn close(&self) {
        self.phase.send_replace(EdgePhase::Closed);
    }

    /// Closes idle connections at once and the others after their current request.
    pub fn end(&self) {
        self.phase.send_replace(EdgePhase::Ending);
    }

    /// Ends the requests that are still in progress.
    pub fn cut(&self) {
        self.phase.send_replace(EdgePhase::Cut);
    }

    /// Whether [`EdgeHandle::end`] has been called.
    pub fn is_ending(&self) -> bool {
        *self.phase.borrow() >= EdgePhase::Ending
    }

    /// Number of open connections. Once the edge is closed, a listener counts as one until the
    /// connections in its accept queue have been accepted.
    pub fn open_connections(&self) -> usize {
        let is_closed = *self.phase.borrow() >= EdgePhase::Closed;
        let listeners = if is_closed { self.open_listeners.load(Ordering::SeqCst) } else { 0 };
        listeners + self.open_connections.load(Ordering::SeqCst)
    }

    /// Counts a connection as open until the guard is dropped.
    pub fn track_connection(&self) -> ConnectionGuard {
        self.open_connections.fetch_add(1, Ordering::SeqCst);
        ConnectionGuard(self.open_connections.clone())
    }

    /// Waits until [`EdgeHandle::end`] is called.
    pub async fn wait_for_end(&self) {
        self.wait_for_phase(EdgePhase::Ending).await;
    }

    /// Waits until [`EdgeHandle::cut`] is called.
    pub async fn wait_for_cut(&self) {
        self.wait_for_phase(EdgePhase::Cut).await;
    }

    async fn wait_for_phase(&self, phase: EdgePhase) {
        // Cannot fail, as `self` holds the sender.
        let _ = self.phase.subscribe().wait_for(|current| *current >= phase).await;
    }
}

/// Passes accepted connections to `serve` until the edge is closed. `serve` should call
/// [`EdgeHandle::track_connection`] before it returns, so that each connection counts as open.
pub async fn accept_connections<F>(handle: &EdgeHandle, listener: TcpListener, serve: F)
where
    F: Fn(TcpStream, SocketAddr),
{
    accept_with_room(handle, listener, serve, async || ()).await;
}

/// The same, but each connection is accepted only once `wait_for_room` has ended; at the end all are.
pub async fn accept_with_room<F, W>(
    handle: &EdgeHandle,
    listener: TcpListener,
    serve: F,
    wait_for_room: W,
) where
    F: Fn(TcpStream, SocketAddr),
    W: AsyncFn(),
{
    handle.open_listeners.fetch_add(1, Ordering::SeqCst);
    let _listener_guard = ConnectionGuard(handle.open_listeners.clone());
    let accept = async || {
        wait_for_room().await;
        listener.accept().await
    };
    loop {
        tokio::select! {
            accepted = accept() => match accepted {
                Ok((stream, peer)) => serve(stream, peer),
                Err(e) => {
                    log::warn!("event=accept cause=\"{e}\"");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = handle.wait_for_phase(EdgePhase::Closed) => break,
        }
    }
    serve_accept_queue(listener, serve);
}

/// Serves the connections in the kernel's accept queue, which closing the listener would reset.
fn serve_accept_queue<F>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream, SocketAddr),
{
    let Ok(listener) = listener.into_std() else { return };
    // The listener is non-blocking, so `accept` fails when the queue is empty.
    while let Ok((stream, peer)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => serve(stream, peer),
            Err(e) => log::warn!("event=accept peer={peer} cause=\"{e}\""),
        }
    }
}
