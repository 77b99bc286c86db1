//! Accepts connections, and stops without cutting any.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// Pause after the listener failed, as when no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Tells an edge to stop, and counts its connections.
#[derive(Clone)]
pub struct EdgeHandle {
    phase: watch::Sender<EdgePhase>,
    open: Arc<AtomicUsize>,
}

/// How far an edge has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EdgePhase {
    /// Connections are accepted.
    Open,
    /// No connection is accepted any more.
    Closed,
    /// Idle connections are closed.
    Ending,
}

/// Counts a connection as open until it is dropped.
pub struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Default for EdgeHandle {
    fn default() -> Self {
        Self { phase: watch::Sender::new(EdgePhase::Open), open: Arc::default() }
    }
}

impl EdgeHandle {
    /// Stops accepting connections.
    pub fn close(&self) {
        self.phase.send_replace(EdgePhase::Closed);
    }

    /// Closes idle connections, and each other one after its request.
    pub fn end(&self) {
        self.phase.send_replace(EdgePhase::Ending);
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Counts a connection as open.
    pub fn note_open(&self) -> OpenGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        OpenGuard(self.open.clone())
    }

    /// Waits until idle connections are to be closed.
    pub async fn ending(&self) {
        self.reach(EdgePhase::Ending).await;
    }

    async fn reach(&self, phase: EdgePhase) {
        // Without a sender the edge is gone, which is as good as any phase.
        let _ = self.phase.subscribe().wait_for(|current| *current >= phase).await;
    }
}

/// Gives accepted connections to `serve` until the edge is closed.
pub async fn accept_callers<F>(handle: &EdgeHandle, listener: TcpListener, serve: F)
where
    F: Fn(TcpStream, SocketAddr),
{
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => serve(stream, peer),
                Err(e) => {
                    log::warn!("event=accept cause=\"{e}\"");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            () = handle.reach(EdgePhase::Closed) => break,
        }
    }
    serve_backlog(listener, serve);
}

/// Takes the connections that the kernel has already accepted; closing the listener at once would
/// reset them with their requests.
fn serve_backlog<F>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream, SocketAddr),
{
    let Ok(listener) = listener.into_std() else { return };
    // The listener does not block, so this ends with the last waiting connection.
    while let Ok((stream, peer)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => serve(stream, peer),
            Err(e) => log::warn!("event=accept peer={peer} cause=\"{e}\""),
        }
    }
}
