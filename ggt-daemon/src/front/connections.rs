//! Connections of callers: counted with what they take, and closed when others need their places.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use rustix::process::Resource;
use rustix::process::getrlimit;
use slotmap::SecondaryMap;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::response::ResponseBody;
use crate::front::stream::StreamInterrupted;
use ggt_core::clock::MonoTime;
use ggt_core::connections::ConnectionKey;
use ggt_core::connections::ConnectionLimits;
use ggt_core::connections::ConnectionTable;
use ggt_core::connections::RevokedConnection;
use ggt_core::connections::RevokedState;
use ggt_core::connections::RoomOutcome;

/// Longest pause between two looks for room.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Milliseconds between two log lines about connections that have to wait or end.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Number of files that the process may have open; `None` if it is not limited.
pub fn max_files() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// The connections of callers, and what they may take.
#[derive(Debug)]
pub struct ConnectionBudget {
    table: RefCell<ConnectionTable>,
    /// Notified when a connection has to end.
    revocations: RefCell<SecondaryMap<ConnectionKey, Rc<Revocation>>>,
    /// Notified when connections have ended or take less.
    freed: Notify,
    log: RefCell<ConnectionLog>,
}

/// What a connection was doing when it had to end.
#[derive(Debug, Default)]
struct Revocation {
    state: Cell<Option<RevokedState>>,
    notify: Notify,
}

/// Counts since the last log line.
#[derive(Debug, Default)]
struct ConnectionLog {
    logged_at: MonoTime,
    /// Connections that had to end, by what they were doing.
    revoked: [usize; 3],
    /// Whether new connections had to wait.
    has_waited: bool,
}

impl ConnectionBudget {
    /// A budget with these limits.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            table: RefCell::new(ConnectionTable::new(limits)),
            revocations: RefCell::default(),
            freed: Notify::new(),
            log: RefCell::default(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&self, limits: ConnectionLimits) {
        self.table.borrow_mut().set_limits(limits);
    }

    /// Number of connections, and the bytes that count for them.
    pub fn usage(&self) -> (usize, usize) {
        let table = self.table.borrow();
        (table.count(), table.bytes())
    }

    /// Returns once there is room for one more connection.
    pub async fn wait_for_room(&self) {
        loop {
            let freed = self.freed.notified();
            let outcome = self.table.borrow_mut().make_room(mono_now());
            if self.settle(outcome) {
                return;
            }
            self.log.borrow_mut().has_waited = true;
            self.log_pressure();
            tokio::select! {
                () = freed => {}
                () = sleep(ROOM_CHECK_INTERVAL) => {}
            }
        }
    }

    /// Counts a connection that has been accepted.
    pub fn accept(self: &Rc<Self>) -> CallerConnection {
        let key = self.table.borrow_mut().insert(mono_now());
        let revocation = Rc::<Revocation>::default();
        self.revocations.borrow_mut().insert(key, revocation.clone());
        CallerConnection(Rc::new(ConnectionEntry { budget: self.clone(), key, revocation }))
    }

    /// Has revoked connections end; returns whether there is room.
    fn settle(&self, outcome: RoomOutcome) -> bool {
        let RoomOutcome { has_room, revoked } = outcome;
        for RevokedConnection { key, state } in &revoked {
            if let Some(revocation) = self.revocations.borrow().get(*key) {
                revocation.state.set(Some(*state));
                revocation.notify.notify_waiters();
            }
            self.log.borrow_mut().revoked[*state as usize] += 1;
        }
        if !revoked.is_empty() {
            self.log_pressure();
        }
        has_room
    }

    /// Logs that connections had to wait or end, now and then.
    fn log_pressure(&self) {
        let (now, mut log) = (mono_now(), self.log.borrow_mut());
        if now < log.logged_at + LOG_INTERVAL_MS {
            return;
        }
        let ConnectionLog { revoked: [idle, slow_heads, slow_bodies], has_waited, .. } = *log;
        *log = ConnectionLog { logged_at: now, ..ConnectionLog::default() };
        let (connections, bytes) = self.usage();
        log::warn!(
            "event=connections outcome={} open={connections} bytes={bytes} closed_idle={idle} \
             closed_slow_heads={slow_heads} closed_slow_bodies={slow_bodies}",
            if has_waited { "full" } else { "closed" },
        );
    }
}

#[derive(Debug)]
struct ConnectionEntry {
    budget: Rc<ConnectionBudget>,
    key: ConnectionKey,
    revocation: Rc<Revocation>,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.budget.table.borrow_mut().remove(self.key);
        self.budget.revocations.borrow_mut().remove(self.key);
        self.budget.freed.notify_waiters();
    }
}

/// A connection of a caller, which counts until the last handle is dropped.
#[derive(Clone, Debug)]
pub struct CallerConnection(Rc<ConnectionEntry>);

impl CallerConnection {
    /// Records that the head of a request of this length is whole.
    pub fn finish_head(&self, head_bytes: usize) {
        let ConnectionEntry { budget, key, .. } = &*self.0;
        budget.table.borrow_mut().finish_head(*key, head_bytes, mono_now());
        budget.freed.notify_waiters();
    }

    /// Records that a request is whole.
    pub fn begin_service(&self) {
        self.0.budget.table.borrow_mut().begin_service(self.0.key);
    }

    /// A guard of the request in progress.
    pub fn begin_request(&self) -> RequestGuard {
        RequestGuard(self.clone())
    }

    /// Returns what the connection was doing once it has to end.
    pub async fn revoked(&self) -> RevokedState {
        loop {
            let revoked = self.0.revocation.notify.notified();
            if let Some(state) = self.0.revocation.state.get() {
                return state;
            }
            revoked.await;
        }
    }

    /// Begins to read what may be the head of a request.
    fn begin_read(&self) -> ReadPermit {
        let ConnectionEntry { budget, key, .. } = &*self.0;
        let (was_idle, outcome) = {
            let mut table = budget.table.borrow_mut();
            (table.is_idle(*key), table.begin_head(*key, mono_now()))
        };
        match (budget.settle(outcome), was_idle) {
            (false, _) => ReadPermit::NoRoom,
            (true, true) => ReadPermit::Begun,
            (true, false) => ReadPermit::InProgress,
        }
    }

    /// Records that no byte of a head has arrived after all.
    fn cancel_read(&self) {
        self.0.budget.table.borrow_mut().end_request(self.0.key, mono_now());
    }

    fn record_bytes(&self, bytes: usize) {
        self.0.budget.table.borrow_mut().record_bytes(self.0.key, bytes, mono_now());
    }
}

/// Whether a connection may be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadPermit {
    /// A request is in progress.
    InProgress,
    /// There is room for the head of the next one.
    Begun,
    /// There is none.
    NoRoom,
}

/// Counts a request as in progress on its connection until the response has been sent or dropped.
#[derive(Debug)]
pub struct RequestGuard(CallerConnection);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let ConnectionEntry { budget, key, .. } = &*self.0.0;
        budget.table.borrow_mut().end_request(*key, mono_now());
        budget.freed.notify_waiters();
    }
}

/// Body of a response to a caller, whose request is in progress until it has been sent or dropped.
pub struct CallerBody {
    body: ResponseBody,
    _guard: RequestGuard,
}

impl CallerBody {
    /// The body of the response to the request of this guard.
    pub const fn new(body: ResponseBody, guard: RequestGuard) -> Self {
        Self { body, _guard: guard }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The stream of a caller's connection, which records what arrives and reads no head while there is no room for it.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    connection: CallerConnection,
    /// Until when there was no room for a head.
    pause: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// The stream of this connection.
    pub const fn new(stream: TcpStream, connection: CallerConnection) -> Self {
        Self { stream, connection, pause: None }
    }

    /// The connection as it is counted.
    pub fn connection(&self) -> CallerConnection {
        self.connection.clone()
    }

    /// Has small pieces sent at once: streams consist of them.
    ///
    /// # Errors
    /// The I/O error of a connection that has ended.
    pub fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay(true)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let permit = loop {
            if let Some(pause) = &mut this.pause {
                ready!(pause.as_mut().poll(context));
                this.pause = None;
            }
            ready!(this.stream.poll_read_ready(context))?;
            match this.connection.begin_read() {
                ReadPermit::NoRoom => this.pause = Some(Box::pin(sleep(ROOM_CHECK_INTERVAL))),
                permit => break permit,
            }
        };
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(context, buffer);
        // The stream may only have seemed to be ready.
        if read.is_pending() && permit == ReadPermit::Begun {
            this.connection.cancel_read();
        }
        ready!(read)?;
        this.connection.record_bytes(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
