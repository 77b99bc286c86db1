//! Reads and writes the little HTTP/1.1 that clients, servers and the store need.

use std::collections::BTreeMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Time that clients allow a new channel.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub first_line: String,
    /// Headers by their names in lower case.
    pub headers: BTreeMap<String, String>,
}

impl Head {
    /// A header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").eq_ignore_ascii_case("chunked")
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match (head.first_line.is_empty(), line.is_empty()) {
            (true, true) => {}
            (true, false) => head.first_line = line.to_owned(),
            (false, true) => return Ok(Some(head)),
            (false, false) => {
                if let Some((name, value)) = line.split_once(':') {
                    head.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
                }
            }
        }
    }
}

/// Reads the body of a request, which has a length or none.
pub fn read_request_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = vec![0; head.header("content-length").parse().unwrap_or_default()];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status, or 0 without a head.
    pub status: u16,
    /// Headers of the answer.
    pub head: Head,
    /// The body as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the body has ended as its framing says: by its length or by the last chunk.
    pub is_complete: bool,
    /// Why reading ended, if the answer is not complete.
    pub cause: String,
}

impl Answer {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// How a client reads its answer.
pub trait Pace {
    /// Called after each piece of the body, with the number of bytes that have arrived in all.
    fn after_piece(&mut self, total: usize);
}

/// Reads as fast as possible.
pub struct FullSpeed;

impl Pace for FullSpeed {
    fn after_piece(&mut self, _total: usize) {}
}

/// Sends a request on a new connection and reads the answer to its end.
pub fn exchange<P>(address: SocketAddr, request: &str, timeout: Duration, pace: P) -> Answer
where
    P: Pace,
{
    exchange_on(TcpStream::connect_timeout(&address, CONNECT_TIMEOUT), request, timeout, pace)
}

/// Does the same on a connection that has been opened.
pub fn exchange_on<P>(
    opened: io::Result<TcpStream>,
    request: &str,
    timeout: Duration,
    pace: P,
) -> Answer
where
    P: Pace,
{
    let mut answer = Answer::default();
    let read = opened.and_then(|stream| read_answer(stream, request, timeout, pace, &mut answer));
    if let Err(e) = read {
        answer.cause = e.to_string();
    }
    answer
}

fn read_answer<P>(
    mut stream: TcpStream,
    request: &str,
    timeout: Duration,
    mut pace: P,
    answer: &mut Answer,
) -> io::Result<()>
where
    P: Pace,
{
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    io::Write::write_all(&mut stream, request.as_bytes())?;
    let mut reader = BufReader::with_capacity(16 * 1024, stream);
    let Some(head) = read_head(&mut reader)? else {
        return Err(io::Error::other("closed without an answer"));
    };
    answer.status = head.status();
    answer.head = head.clone();
    if head.is_chunked() {
        return read_chunks(&mut reader, &mut pace, answer);
    }
    let length = head.header("content-length").parse().unwrap_or(u64::MAX);
    reader.take(length).read_to_end(&mut answer.body)?;
    answer.is_complete = answer.body.len() as u64 == length;
    Ok(())
}

fn read_chunks<P>(reader: &mut impl BufRead, pace: &mut P, answer: &mut Answer) -> io::Result<()>
where
    P: Pace,
{
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::Error::other("closed before the last chunk"));
        }
        let size = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            answer.is_complete = true;
            return Ok(());
        }
        answer.body.extend_from_slice(&chunk[..size]);
        pace.after_piece(answer.body.len());
    }
}
