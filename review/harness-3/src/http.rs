//! The parts of HTTP/1.1 that the stand-ins speak: heads, bodies with a length or in chunks.

use std::io::BufRead;
use std::io::Read;
use std::net::TcpStream;

/// A connection that is read through a buffer.
pub type Reader = std::io::BufReader<TcpStream>;

/// First line and headers of a message; names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// A parameter of the query, as it stands there.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path().split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads a head; `None` at the end of the connection or after an error.
pub fn read_head(reader: &mut Reader) -> Option<Head> {
    let first_line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(Head { first_line, headers });
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_line(reader: &mut Reader) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) | Err(_) => None,
        Ok(_) if !line.ends_with('\n') => None,
        Ok(_) => Some(line.trim_end().to_owned()),
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// At its length or its last chunk.
    Complete,
    /// With its connection, and it states neither a length nor chunks.
    Closed,
    /// Before its length or its last chunk.
    Broken,
}

/// Reads a body that has a length or chunks; one of a response may end with its connection.
pub fn read_body(reader: &mut Reader, head: &Head) -> (Vec<u8>, BodyEnd) {
    let is_response = head.first_line.starts_with("HTTP/");
    if head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        return read_chunks(reader);
    }
    match head.get("content-length").and_then(|value| value.parse::<usize>().ok()) {
        Some(length) => {
            let mut body = vec![0; length];
            match reader.read_exact(&mut body) {
                Ok(()) => (body, BodyEnd::Complete),
                Err(_) => (Vec::new(), BodyEnd::Broken),
            }
        }
        None if is_response => {
            let mut body = Vec::new();
            let end = match reader.read_to_end(&mut body) {
                Ok(_) => BodyEnd::Closed,
                Err(_) => BodyEnd::Broken,
            };
            (body, end)
        }
        None => (Vec::new(), BodyEnd::Complete),
    }
}

fn read_chunks(reader: &mut Reader) -> (Vec<u8>, BodyEnd) {
    let mut body = Vec::new();
    loop {
        let size = read_line(reader).and_then(|line| usize::from_str_radix(line.trim(), 16).ok());
        let Some(size) = size else { return (body, BodyEnd::Broken) };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return (body, BodyEnd::Broken);
        }
        if size == 0 {
            return (body, BodyEnd::Complete);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
