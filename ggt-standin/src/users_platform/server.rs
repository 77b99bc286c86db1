//! Server of the users' platform whose responses are scripted by a test.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::server::lock;
use crate::users_platform::request::WireRequest;
use crate::users_platform::request::read_request;

/// What happens to a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    /// It stays open for the next request.
    Keep,
    /// It is closed; unread bytes from the client cause a TCP reset.
    Close,
}

/// Writes the response to a request.
type ResponseScript = Arc<dyn Fn(&WireRequest, &mut TcpStream) -> AfterResponse + Send + Sync>;

/// Server that records all requests and responds to them by a script.
pub struct ServerStandin {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Instance id under which it registers.
    pub id: String,
    requests: Arc<Mutex<Vec<WireRequest>>>,
    closed_connections: Arc<Mutex<usize>>,
    script: Arc<Mutex<ResponseScript>>,
}

impl ServerStandin {
    /// Starts a server that responds to all requests with status 200.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(address: SocketAddr, id: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let script: ResponseScript =
            Arc::new(|request, stream| respond(request, stream, 200, "whole"));
        let server = Self {
            address,
            id: id.to_owned(),
            requests: Arc::default(),
            closed_connections: Arc::default(),
            script: Arc::new(Mutex::new(script)),
        };
        let (requests, closed_connections) =
            (server.requests.clone(), server.closed_connections.clone());
        let (script, id) = (server.script.clone(), server.id.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (requests, closed_connections) = (requests.clone(), closed_connections.clone());
                let (script, id) = (script.clone(), id.clone());
                thread::spawn(move || {
                    serve(stream, &id, &requests, &script);
                    *lock(&closed_connections) += 1;
                });
            }
        });
        Ok(server)
    }

    /// Sets the script for requests that arrive from now on.
    pub fn set_script<F>(&self, script: F)
    where
        F: Fn(&WireRequest, &mut TcpStream) -> AfterResponse + Send + Sync + 'static,
    {
        *lock(&self.script) = Arc::new(script);
    }

    /// Requests that arrived, without those rejected with status 421 because their
    /// `x-expect-instance` header names another instance.
    pub fn requests(&self) -> Vec<WireRequest> {
        lock(&self.requests).clone()
    }

    /// Number of connections that have ended.
    pub fn closed_connections(&self) -> usize {
        *lock(&self.closed_connections)
    }

    /// JSON value of the server's registration in the store.
    pub fn registration(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            r#"{{"Service":"{service}","Address":"{}","Zone":"{zone}","Version":"v1","Slots":8,"State":"{state}","ColdLeftMs":0,"Seq":1,"born":1}}"#,
            self.address
        )
    }
}

fn serve(
    stream: TcpStream,
    id: &str,
    requests: &Mutex<Vec<WireRequest>>,
    script: &Mutex<ResponseScript>,
) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        lock(requests).push(request.clone());
        let script = lock(script).clone();
        if script(&request, &mut writer) == AfterResponse::Close {
            // Ignored: the peer may have closed the connection already.
            let _ = writer.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Writes a complete response with the attempt id, server stamp and load headers, and keeps the
/// connection open.
pub fn respond(
    request: &WireRequest,
    stream: &mut TcpStream,
    status: u16,
    body: &str,
) -> AfterResponse {
    let id = request.header("x-attempt-id").unwrap_or("-");
    let text = format!(
        "HTTP/1.1 {status} Scripted\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: stamp-{id}\r\n\
         X-Server-Load: 1,0,8\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    match stream.write_all(text.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}

/// Status line and headers of a chunked event stream.
pub fn stream_head(request: &WireRequest) -> String {
    let id = request.header("x-attempt-id").unwrap_or("-");
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
         X-Server-Stamp: stamp-{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Event with the given id, as one chunk of a chunked body.
pub fn event_chunk(id: u64) -> String {
    let text = format!("id: {id}\ndata: piece {id}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}
