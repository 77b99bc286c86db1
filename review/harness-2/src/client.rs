//! A caller that writes requests byte for byte and reads responses as they arrive.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Longest wait for bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that callers allow for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A response, or the part of it that has arrived.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body up to its end, or as far as it arrived.
    pub body: String,
    /// Whether the body has arrived whole.
    pub is_complete: bool,
}

impl Reply {
    /// Value of a header with a name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Ids and texts of the events in the body that are whole.
    pub fn events(&self) -> Vec<(u64, String)> {
        let whole = self.body.rfind("\n\n").map_or("", |end| &self.body[..end]);
        let events = whole.split("\n\n").filter_map(|event| {
            let id = event.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
            let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
            Some((id, data.to_owned()))
        });
        events.collect()
    }
}

/// Connects to a daemon.
pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Head of a request with these header lines, without the length of a body.
pub fn head(method: &str, path: &str, lines: &[(&str, String)]) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in lines {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text
}

/// Sends a request with a body on a connection, and reads the response; `None` without the head of one.
pub fn exchange(stream: &TcpStream, head: &str, body: &str) -> Option<Reply> {
    let mut writer = stream.try_clone().ok()?;
    let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    writer.write_all(text.as_bytes()).ok()?;
    read_reply(&mut BufReader::new(stream))
}

/// Reads a response; `None` without its head.
pub fn read_reply(reader: &mut BufReader<&TcpStream>) -> Option<Reply> {
    let mut reply = Reply::default();
    let line = read_line(reader)?;
    reply.status = line.split(' ').nth(1)?.parse().ok()?;
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        reply.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let is_chunked = reply.header("transfer-encoding").is_some();
    let length = reply.header("content-length").and_then(|text| text.parse::<usize>().ok());
    let mut bytes = Vec::new();
    reply.is_complete = match (is_chunked, length) {
        (true, _) => read_chunks(reader, &mut bytes).is_some(),
        (false, Some(length)) => {
            reader.take(length as u64).read_to_end(&mut bytes).is_ok() && bytes.len() == length
        }
        (false, None) => reader.read_to_end(&mut bytes).is_ok(),
    };
    reply.body = String::from_utf8_lossy(&bytes).into_owned();
    Some(reply)
}

/// Reads chunks to the last one; `None` if they end before it.
fn read_chunks(reader: &mut BufReader<&TcpStream>, bytes: &mut Vec<u8>) -> Option<()> {
    loop {
        let line = read_line(reader)?;
        let length = u64::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        if length == 0 {
            return read_line(reader).map(drop);
        }
        let before = bytes.len() as u64;
        reader.by_ref().take(length).read_to_end(bytes).ok()?;
        if bytes.len() as u64 != before + length || !read_line(reader)?.is_empty() {
            return None;
        }
    }
}

fn read_line(reader: &mut BufReader<&TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}
