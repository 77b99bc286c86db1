//! A server of the users' platform, as a process of its own. What it answers is in the request's query.
//!
//! `events`, `gap_ms`, `size`, `first`: a stream's number of events, the pause between them, the bytes of
//! each and the id of the first one. `pause_ms`, `size`: the pause in the middle of another answer, and its
//! bytes. `frame=close`: the answer has no length and ends with its channel.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::Head;
use crate::http::read_head;
use crate::http::read_request_body;

struct Server {
    id: String,
    version: String,
    /// Whether answers say that the server leaves.
    is_leaving: AtomicBool,
}

/// Serves until the process is killed or its input ends.
pub fn run(address: &str, id: &str, version: &str) -> io::Result<()> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let listener = TcpListener::bind(address)?;
    let server = Arc::new(Server {
        id: id.to_owned(),
        version: version.to_owned(),
        is_leaving: AtomicBool::new(false),
    });
    say("listening");
    let accepting = server.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = accepting.clone();
            thread::spawn(move || server.serve(stream));
        }
    });
    for line in io::stdin().lines() {
        if line? == "leave" {
            server.is_leaving.store(true, Ordering::SeqCst);
            say("says that it leaves");
        }
    }
    Ok(())
}

fn say(text: &str) {
    let mut output = io::stdout().lock();
    // The process that reads it may have ended.
    let _ = writeln!(output, "{text}");
    let _ = output.flush();
}

impl Server {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            read_request_body(&mut reader, &head)?;
            if !self.answer(&head, &mut writer)? {
                writer.shutdown(std::net::Shutdown::Write)?;
                // The client closes its side, too; until then the socket stays open.
                while !reader.fill_buf()?.is_empty() {
                    let length = reader.buffer().len();
                    reader.consume(length);
                }
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request; returns whether the channel stays open.
    fn answer(&self, head: &Head, writer: &mut TcpStream) -> io::Result<bool> {
        let attempt = head.header("x-attempt-id");
        let (id, expected) = (&self.id, head.header("x-expect-instance"));
        if !expected.is_empty() && expected != id {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\n\
                 X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(text.as_bytes())?;
            return Ok(true);
        }
        if head.path() == "/health" {
            let text =
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(text.as_bytes())?;
            return Ok(true);
        }
        if attempt.is_empty() {
            let text = "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            writer.write_all(text.as_bytes())?;
            return Ok(true);
        }
        let last_event = head.header("last-event-id");
        say(&format!("runs {attempt} {} last-event={last_event}", head.path()));
        let result = match head.path().starts_with("/talk/") || head.path().starts_with("/chat/") {
            true => self.stream(head, writer),
            false => self.buffered(head, writer),
        };
        let outcome = if result.is_ok() { "whole" } else { "cut" };
        say(&format!("ends {attempt} {outcome}"));
        result
    }

    fn head_lines(&self, head: &Head, framing: &str) -> String {
        let attempt = head.header("x-attempt-id");
        let leaving = match self.is_leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\nConnection: close\r\n",
            false => "",
        };
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: {}.{attempt}\r\n{leaving}{framing}",
            self.id
        )
    }

    fn stream(&self, head: &Head, writer: &mut TcpStream) -> io::Result<bool> {
        let is_chunked = text(head, "frame") != "close";
        let framing =
            if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "Connection: close\r\n" };
        let first = number(head, "first", 1);
        let end = first + number(head, "events", 10);
        let next = match head.header("last-event-id").parse::<u64>() {
            Ok(last) => first.max(last + 1),
            Err(_) => first,
        };
        let padding = "x".repeat(number(head, "size", 30) as usize);
        let lines = self.head_lines(head, framing);
        let start = format!("{lines}Content-Type: text/event-stream\r\n\r\n");
        writer.write_all(start.as_bytes())?;
        let gap = Duration::from_millis(number(head, "gap_ms", 50));
        for event in next..end {
            let text = format!("id: {event}\ndata: {} {} {padding}\n\n", self.version, self.id);
            let text = match is_chunked {
                true => format!("{:x}\r\n{text}\r\n", text.len()),
                false => text,
            };
            writer.write_all(text.as_bytes())?;
            if !gap.is_zero() {
                thread::sleep(gap);
            }
        }
        if is_chunked {
            writer.write_all(b"0\r\n\r\n")?;
        }
        Ok(is_chunked && !self.is_leaving.load(Ordering::SeqCst))
    }

    fn buffered(&self, head: &Head, writer: &mut TcpStream) -> io::Result<bool> {
        let is_framed = text(head, "frame") != "close";
        let body = buffered_body(number(head, "size", 800) as usize);
        let framing = match is_framed {
            true => format!("Content-Length: {}\r\n", body.len()),
            false => "Connection: close\r\n".to_owned(),
        };
        let start = format!("{}\r\n", self.head_lines(head, &framing));
        writer.write_all(start.as_bytes())?;
        let (first, rest) = body.split_at(body.len() / 2);
        writer.write_all(first.as_bytes())?;
        thread::sleep(Duration::from_millis(number(head, "pause_ms", 0)));
        writer.write_all(rest.as_bytes())?;
        Ok(is_framed && !self.is_leaving.load(Ordering::SeqCst))
    }
}

/// The whole body of an answer that is no stream.
pub fn buffered_body(size: usize) -> String {
    format!("BEGIN {} END", "x".repeat(size))
}

fn text<'a>(head: &'a Head, name: &str) -> &'a str {
    let query = head.path().split_once('?').map_or("", |(_, query)| query);
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or_default()
}

fn number(head: &Head, name: &str, usual: u64) -> u64 {
    text(head, name).parse().unwrap_or(usual)
}
