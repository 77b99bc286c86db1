//! Server of the users' platform whose responses are scripted by a test.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use socket2::SockRef;

use crate::server::lock;
use crate::users_platform::request::WireRequest;
use crate::users_platform::request::read_request;
use crate::users_platform::silence::SilenceGate;
use crate::users_platform::silence::SilenceKind;
use crate::users_platform::silence::saturate;
use crate::users_platform::silence::set_usual_backlog;

/// Version of a server's software unless a test sets another one.
const USUAL_VERSION: &str = "v1";
/// Slots that a server registers unless a test sets another number.
const USUAL_SLOTS: usize = 8;

/// What happens to a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    /// It stays open for the next request.
    Keep,
    /// It is closed; unread bytes from the client cause a TCP reset.
    Close,
    /// It is reset, also if all bytes from the client have been read.
    Reset,
    /// The server crashes: it closes its listener and then all of its connections.
    Crash,
}

/// Writes the response to a request.
type ResponseScript = Arc<dyn Fn(&WireRequest, &mut TcpStream) -> AfterResponse + Send + Sync>;

/// State shared by the threads of one server.
struct ServerState {
    address: SocketAddr,
    id: Mutex<String>,
    /// Version of its software.
    version: Mutex<String>,
    /// Number of requests that it runs at a time, as registered.
    slots: AtomicUsize,
    /// Number of times that it was started; the registration names it as the time of its start.
    starts: AtomicU64,
    requests: Mutex<Vec<WireRequest>>,
    closed_connections: Mutex<usize>,
    script: Mutex<ResponseScript>,
    /// Open connections by the address of the client.
    open_connections: Mutex<HashMap<SocketAddr, TcpStream>>,
    is_down: AtomicBool,
    acceptor: Mutex<Option<JoinHandle<()>>>,
    /// Copy of the listener while it is open.
    listener: Mutex<Option<TcpListener>>,
    gate: Arc<SilenceGate>,
}

/// Server that records all requests and responds to them by a script.
pub struct ServerStandin {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<ServerState>,
}

impl ServerStandin {
    /// Starts a server that responds to all requests with status 200.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(address: SocketAddr, id: &str) -> std::io::Result<Self> {
        let script: ResponseScript =
            Arc::new(|request, stream| respond(request, stream, 200, "whole"));
        let state = Arc::new(ServerState {
            address,
            id: Mutex::new(id.to_owned()),
            version: Mutex::new(USUAL_VERSION.to_owned()),
            slots: AtomicUsize::new(USUAL_SLOTS),
            starts: AtomicU64::new(1),
            requests: Mutex::default(),
            closed_connections: Mutex::default(),
            script: Mutex::new(script),
            open_connections: Mutex::default(),
            is_down: AtomicBool::new(false),
            acceptor: Mutex::default(),
            listener: Mutex::default(),
            gate: Arc::default(),
        });
        listen(&state)?;
        Ok(Self { address, state })
    }

    /// Instance id under which it registers.
    pub fn id(&self) -> String {
        lock(&self.state.id).clone()
    }

    /// Version of its software.
    pub fn version(&self) -> String {
        lock(&self.state.version).clone()
    }

    /// Sets the version that its next registrations name, before it is started again.
    pub fn set_version(&self, version: &str) {
        version.clone_into(&mut lock(&self.state.version));
    }

    /// Sets the number of slots that its next registrations name.
    pub fn set_slots(&self, slots: usize) {
        self.state.slots.store(slots, Ordering::SeqCst);
    }

    /// Sets the script for requests that arrive from now on.
    pub fn set_script<F>(&self, script: F)
    where
        F: Fn(&WireRequest, &mut TcpStream) -> AfterResponse + Send + Sync + 'static,
    {
        *lock(&self.state.script) = Arc::new(script);
    }

    /// Requests that arrived, without those rejected with status 421 because their
    /// `x-expect-instance` header names another instance.
    pub fn requests(&self) -> Vec<WireRequest> {
        lock(&self.state.requests).clone()
    }

    /// Number of connections that have ended.
    pub fn closed_connections(&self) -> usize {
        *lock(&self.state.closed_connections)
    }

    /// Whether the server has crashed and has not been restarted.
    pub fn is_down(&self) -> bool {
        self.state.is_down.load(Ordering::SeqCst)
    }

    /// Closes the listener and then all connections, as the end of a process does.
    pub fn crash(&self) {
        crash(&self.state);
    }

    /// Closes all connections and then, after this time, the listener, in whose queue others wait until then: the
    /// sockets of a process that has ended are not closed at the same moment.
    pub fn crash_listener_last(&self, delay: Duration) {
        self.state.gate.close(10 * delay, SilenceKind::AcceptsNothing);
        close_connections(&self.state);
        thread::sleep(delay);
        crash(&self.state);
    }

    /// Closes the listener and leaves all connections open without ever sending on them, as a host
    /// that lost power does.
    pub fn fall_silent(&self) {
        close_listener(&self.state);
    }

    /// Sends nothing for this time, and continues; false if the server is down or silent already. A
    /// script that writes a response in several parts has to pass the gate before each of them.
    pub fn pause(&self, time: Duration, kind: SilenceKind) -> bool {
        let state = self.state.clone();
        if self.is_down() || !state.gate.close(time, kind) {
            return false;
        }
        if kind == SilenceKind::AcceptsNothing {
            let fillers =
                with_listener(&state, |listener| saturate(listener, state.address, &state.gate));
            thread::spawn(move || {
                state.gate.pass();
                with_listener(&state, set_usual_backlog);
                drop(fillers);
            });
        }
        true
    }

    /// Gate that is closed while the server is silent.
    pub fn gate(&self) -> Arc<SilenceGate> {
        self.state.gate.clone()
    }

    /// Crashes and starts again as another instance, so quickly that no connection is refused.
    pub fn restart_at_once(&self, id: &str) {
        id.clone_into(&mut lock(&self.state.id));
        self.state.starts.fetch_add(1, Ordering::SeqCst);
        close_connections(&self.state);
    }

    /// Starts a crashed server again on its address, as another instance.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub fn restart(&self, id: &str) -> std::io::Result<()> {
        id.clone_into(&mut lock(&self.state.id));
        self.state.starts.fetch_add(1, Ordering::SeqCst);
        self.state.is_down.store(false, Ordering::SeqCst);
        listen(&self.state)
    }

    /// JSON value of the server's registration in the store.
    pub fn registration(&self, service: &str, zone: &str, state: &str) -> String {
        let (version, starts) = (self.version(), self.state.starts.load(Ordering::SeqCst));
        let slots = self.state.slots.load(Ordering::SeqCst);
        format!(
            r#"{{"Service":"{service}","Address":"{}","Zone":"{zone}","Version":"{version}","Slots":{slots},"State":"{state}","ColdLeftMs":0,"Seq":1,"born":{starts}}}"#,
            self.address
        )
    }
}

fn listen(state: &Arc<ServerState>) -> std::io::Result<()> {
    let listener = TcpListener::bind(state.address)?;
    *lock(&state.listener) = Some(listener.try_clone()?);
    let server = state.clone();
    let acceptor = thread::spawn(move || accept_connections(&server, &listener));
    *lock(&state.acceptor) = Some(acceptor);
    Ok(())
}

fn accept_connections(state: &Arc<ServerState>, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        state.gate.pass_acceptor();
        if state.is_down.load(Ordering::SeqCst) {
            // A process that another thread starts at this moment has a copy of the listener until it
            // executes its program, and the kernel would accept connections for that long.
            // Ignored: the listener is closed in any case.
            let _ = SockRef::from(listener).shutdown(Shutdown::Both);
            return;
        }
        let state = state.clone();
        thread::spawn(move || {
            serve_connection(stream, &state);
            *lock(&state.closed_connections) += 1;
        });
    }
}

fn crash(state: &ServerState) {
    close_listener(state);
    close_connections(state);
}

fn close_listener(state: &ServerState) {
    if state.is_down.swap(true, Ordering::SeqCst) {
        return;
    }
    state.gate.open();
    with_listener(state, set_usual_backlog);
    drop(lock(&state.listener).take());
    // Wakes the acceptor, which then closes the listener.
    drop(TcpStream::connect(state.address));
    let acceptor = lock(&state.acceptor).take();
    acceptor.map(JoinHandle::join);
}

fn with_listener<R, A>(state: &ServerState, act: A) -> Option<R>
where
    A: FnOnce(&TcpListener) -> R,
{
    lock(&state.listener).as_ref().map(act)
}

fn close_connections(state: &ServerState) {
    for (_, connection) in lock(&state.open_connections).drain() {
        // Ignored: the peer may have closed the connection already.
        let _ = connection.shutdown(Shutdown::Both);
    }
}

fn serve_connection(stream: TcpStream, state: &ServerState) {
    let (Ok(client), Ok(connection)) = (stream.peer_addr(), stream.try_clone()) else { return };
    lock(&state.open_connections).insert(client, connection);
    serve_requests(stream, state);
    lock(&state.open_connections).remove(&client);
}

fn serve_requests(stream: TcpStream, state: &ServerState) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let id = lock(&state.id).clone();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            state.gate.pass();
            let attempt = request.attempt_id();
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        lock(&state.requests).push(request.clone());
        let script = lock(&state.script).clone();
        state.gate.pass();
        match script(&request, &mut writer) {
            AfterResponse::Keep => {}
            AfterResponse::Close => {
                // Ignored: the peer may have closed the connection already.
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
            AfterResponse::Reset => {
                // With no time to linger, closing the socket resets the connection.
                let _ = SockRef::from(&writer).set_linger(Some(Duration::ZERO));
                return;
            }
            AfterResponse::Crash => return crash(state),
        }
    }
}

/// Name of the header that states a server's load.
const LOAD_NAME: &str = "X-Server-Load";
/// The load that servers state unless a script states another one.
const USUAL_LOAD_LINE: &str = "X-Server-Load: 1,0,8\r\n";

/// Writes a complete response with the attempt id, server stamp and load headers, and keeps the
/// connection open.
pub fn respond(
    request: &WireRequest,
    stream: &mut TcpStream,
    status: u16,
    body: &str,
) -> AfterResponse {
    respond_with(request, stream, status, "", body)
}

/// Writes a complete response like [`respond`], with additional header lines, which may state another load.
pub fn respond_with(
    request: &WireRequest,
    stream: &mut TcpStream,
    status: u16,
    lines: &str,
    body: &str,
) -> AfterResponse {
    let id = request.header("x-attempt-id").unwrap_or("-");
    let load = if lines.contains(LOAD_NAME) { "" } else { USUAL_LOAD_LINE };
    let text = format!(
        "HTTP/1.1 {status} Scripted\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: stamp-{id}\r\n\
         {load}{lines}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    match stream.write_all(text.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}

/// Status line and headers of a chunked event stream.
pub fn stream_head(request: &WireRequest) -> String {
    stream_head_with(request, "")
}

/// Status line and headers like [`stream_head`], with additional header lines.
pub fn stream_head_with(request: &WireRequest, lines: &str) -> String {
    let id = request.header("x-attempt-id").unwrap_or("-");
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
         X-Server-Stamp: stamp-{id}\r\n{lines}Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// Header line that names how many requests a second a server takes from all daemons together.
pub fn limit_line(per_second: &str) -> String {
    format!("Server-Limit: {per_second}\r\n")
}

/// Writes a complete stream of one event, and keeps the connection open.
pub fn respond_with_event(request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    let text = format!("{}{}0\r\n\r\n", stream_head(request), event_chunk(1));
    match stream.write_all(text.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}

/// Event with the given id, as one chunk of a chunked body.
pub fn event_chunk(id: u64) -> String {
    let text = format!("id: {id}\ndata: piece {id}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}
