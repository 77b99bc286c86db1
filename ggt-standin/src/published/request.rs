//! Requests as they arrive on a socket.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// Longest line of a head in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// One request as it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WireRequest {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl WireRequest {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The id of the caller's attempt.
    pub fn attempt_id(&self) -> &str {
        self.header("x-attempt-id").unwrap_or_default()
    }

    /// The last event that the caller has.
    pub fn last_event(&self) -> Option<u64> {
        self.header("last-event-id").and_then(|text| text.parse().ok())
    }

    /// A value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// A number of the query, zero when it is missing.
    pub fn number(&self, name: &str) -> u64 {
        self.query(name).and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

/// Reads the next request; `None` when the connection ended.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<WireRequest> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next()?.to_owned();
    let path = words.next()?.to_owned();
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut request = WireRequest { method, path, headers, body: Vec::new() };
    let length = request.header("content-length").and_then(|text| text.parse().ok());
    request.body = vec![0; length.unwrap_or_default()];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = reader.by_ref().take(MAX_LINE_BYTES).read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}
