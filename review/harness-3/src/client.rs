//! Stand-in for a client: one request on a new channel.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http::BodyEnd;
use crate::http::Reader;
use crate::http::read_body;
use crate::http::read_head;

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The final status; `None` if there was none within the time.
    pub status: Option<u16>,
    pub after: Duration,
}

impl Outcome {
    /// The status as written in records.
    pub fn status_text(&self) -> String {
        self.status.map_or("no answer".to_owned(), |status| status.to_string())
    }
}

/// Sends a request, and waits for its whole answer for `limit`.
pub fn request(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Outcome {
    let began_at = Instant::now();
    let none = |after| Outcome { status: None, after };
    // Clients allow a new channel one second to be established.
    let connected = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit));
    let Ok(mut stream) = connected else { return none(began_at.elapsed()) };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let sent = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body));
    if sent.is_err() {
        return none(began_at.elapsed());
    }
    let mut reader = Reader::new(stream);
    let Some(response) = read_head(&mut reader) else { return none(began_at.elapsed()) };
    let (_, end) = read_body(&mut reader, &response);
    let status = (end != BodyEnd::Broken).then(|| response.status());
    Outcome { status, after: began_at.elapsed() }
}
