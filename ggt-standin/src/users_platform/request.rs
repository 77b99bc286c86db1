//! Minimal HTTP/1.1 request parser on a blocking socket.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// Maximum length of a header line, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// HTTP request as received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WireRequest {
    /// Request method.
    pub method: String,
    /// Request target: path and query.
    pub path: String,
    /// Headers in the order received; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// Body of the length that `content-length` gives.
    pub body: Vec<u8>,
}

impl WireRequest {
    /// Value of the first header with a name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Id of the caller's attempt (`x-attempt-id`); empty if absent.
    pub fn attempt_id(&self) -> &str {
        self.header("x-attempt-id").unwrap_or_default()
    }

    /// Ids of the parts of the prompt, in order.
    pub fn prompt_parts(&self) -> Vec<&str> {
        let list = self.header("x-prompt-prefix").unwrap_or_default();
        list.split(',').filter_map(|part| part.split_once(':')).map(|(id, _)| id).collect()
    }

    /// Number of the last event that the caller received (`last-event-id`).
    pub fn last_event_id(&self) -> Option<u64> {
        self.header("last-event-id").and_then(|text| text.parse().ok())
    }

    /// Value of a query parameter, not percent-decoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Value of a query parameter, percent-decoded.
    pub fn decoded_query(&self, name: &str) -> String {
        let text = self.query(name).unwrap_or_default();
        let mut bytes = Vec::with_capacity(text.len());
        let mut rest = text.as_bytes();
        while let [first, tail @ ..] = rest {
            let code = tail.get(..2).filter(|_| *first == b'%');
            let code = code.and_then(|code| std::str::from_utf8(code).ok());
            match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
                Some(byte) => {
                    bytes.push(byte);
                    rest = &tail[2..];
                }
                None => {
                    bytes.push(if *first == b'+' { b' ' } else { *first });
                    rest = tail;
                }
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Numeric query parameter; zero if it is absent or not a number.
    pub fn number(&self, name: &str) -> u64 {
        self.query(name).and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

/// Reads the next request; `None` if the connection ends or the request is malformed.
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
