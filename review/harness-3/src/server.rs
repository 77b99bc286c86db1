//! Stand-ins for servers: they read whole requests and leave the answer to their case.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use crate::http::Head;
use crate::http::Reader;
use crate::http::read_body;
use crate::http::read_head;

/// Whether the connection stays open after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
}

/// A request that a server has read.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    /// The client's attempt id.
    pub fn id(&self) -> &str {
        self.head.get("x-attempt-id").unwrap_or_default()
    }

    /// Whether the request expects another server.
    pub fn is_misdirected(&self, own_id: &str) -> bool {
        self.head.get("x-expect-instance").is_some_and(|expected| expected != own_id)
    }
}

/// Listens on an address of its own and answers each request with `answer`.
pub fn serve<A>(answer: A) -> SocketAddr
where
    A: Fn(&Request, &mut TcpStream) -> Next + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("server: bind");
    let address = listener.local_addr().expect("server: address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve_connection(stream, answer.as_ref()));
        }
    });
    address
}

/// Answers the requests of one connection until it is closed.
pub fn serve_connection<A>(stream: TcpStream, answer: &A)
where
    A: Fn(&Request, &mut TcpStream) -> Next,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    while let Some(head) = read_head(&mut reader) {
        let (body, _) = read_body(&mut reader, &head);
        let request = Request { head, body };
        if answer(&request, &mut writer) == Next::Close {
            return;
        }
    }
}

/// Writes a whole answer with a server's stamp and load.
pub fn write_answer(
    writer: &mut TcpStream,
    request: &Request,
    server: &str,
    status: u16,
    body: &str,
) -> Next {
    let text = format!(
        "HTTP/1.1 {status} Server\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: {server}\r\n\
         X-Instance-Id: {server}\r\nContent-Length: {}\r\n\r\n{body}",
        request.id(),
        body.len()
    );
    match writer.write_all(text.as_bytes()) {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    }
}

/// Writes that another server has the address.
pub fn write_misdirected(writer: &mut TcpStream, request: &Request, server: &str) -> Next {
    let text = format!(
        "HTTP/1.1 421 Server\r\nX-Attempt-Id: {}\r\nX-Instance-Id: {server}\r\n\
         X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        request.id()
    );
    match writer.write_all(text.as_bytes()) {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    }
}
