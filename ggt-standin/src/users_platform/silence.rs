//! A silent time of a sound server, after which it continues.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;

use crate::server::lock;

/// Backlog of a listener that accepts connections, as the standard library sets it.
const BACKLOG: i32 = 128;
/// Time after which a connection attempt to a saturated listener is given up.
const FILLER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of connections that saturate a listener; its queue holds one or two.
const MAX_FILLERS: usize = 8;

/// What a silent server still does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceKind {
    /// It accepts connections and reads requests, and sends nothing.
    AcceptsConnections,
    /// It accepts no connections either; attempts to connect time out.
    AcceptsNothing,
}

/// Gate that a server passes before it writes, and before it accepts a connection where those are
/// kept out too.
#[derive(Debug, Default)]
pub struct SilenceGate {
    state: Mutex<GateState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct GateState {
    ends_at: Option<Instant>,
    keeps_connections_out: bool,
    /// Whether the acceptor holds a connection back until the gate opens.
    is_acceptor_blocked: bool,
}

impl SilenceGate {
    /// Blocks while the server is silent.
    pub fn pass(&self) {
        self.pass_if(|_| true);
    }

    /// Blocks while the server is silent and accepts no connections.
    pub(super) fn pass_acceptor(&self) {
        lock(&self.state).is_acceptor_blocked = true;
        self.changed.notify_all();
        self.pass_if(|state| state.keeps_connections_out);
        lock(&self.state).is_acceptor_blocked = false;
    }

    /// Waits until the acceptor takes no further connection, or the gate opens.
    fn wait_for_blocked_acceptor(&self) {
        self.pass_if(|state| !state.is_acceptor_blocked);
    }

    /// Closes the gate for this time; false if it is closed already.
    pub(super) fn close(&self, time: Duration, kind: SilenceKind) -> bool {
        let mut state = lock(&self.state);
        let now = Instant::now();
        if state.ends_at.is_some_and(|ends_at| now < ends_at) {
            return false;
        }
        state.ends_at = Some(now + time);
        state.keeps_connections_out = kind == SilenceKind::AcceptsNothing;
        state.is_acceptor_blocked = false;
        true
    }

    /// Opens the gate before its time.
    pub(super) fn open(&self) {
        *lock(&self.state) = GateState::default();
        self.changed.notify_all();
    }

    fn pass_if<B>(&self, blocks: B)
    where
        B: Fn(&GateState) -> bool,
    {
        let mut state = lock(&self.state);
        while let Some(ends_at) = state.ends_at.filter(|_| blocks(&state)) {
            let Some(time_left) = ends_at.checked_duration_since(Instant::now()) else { return };
            let waited = self.changed.wait_timeout(state, time_left);
            (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Saturates the queue of a listener that accepts no connections, so that further attempts to
/// connect time out; returns the connections that do so, to be dropped at the end.
pub(super) fn saturate(
    listener: &TcpListener,
    address: SocketAddr,
    gate: &SilenceGate,
) -> Vec<TcpStream> {
    set_backlog(listener, 0);
    let connect = |_| TcpStream::connect_timeout(&address, FILLER_TIMEOUT).ok();
    let first = connect(0);
    gate.wait_for_blocked_acceptor();
    first.into_iter().chain((0..MAX_FILLERS).map_while(connect)).collect()
}

/// Lets a listener accept connections again.
pub(super) fn set_usual_backlog(listener: &TcpListener) {
    set_backlog(listener, BACKLOG);
}

fn set_backlog(listener: &TcpListener, backlog: i32) {
    SockRef::from(listener).listen(backlog).expect("a listener should take another backlog");
}
