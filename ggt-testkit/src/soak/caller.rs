//! A soak caller: sends requests on a keep-alive connection and checks each response.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use ggt_platform::ATTEMPT_HEADER;
use ggt_standin::published::caller_head;
use ggt_standin::published::prompt_head;

use crate::soak::ledger::RunLedger;
use crate::soak::world::DaemonHealth;
use crate::soak::world::EVENTS;
use crate::soak::world::body_of;
use crate::soak::world::events_of;

/// Read timeout; longer than the deadline of a request.
const READ_WAIT: Duration = Duration::from_secs(4);
/// Deadline that callers send with each request.
const WAIT_MS: u64 = 3_000;
/// Pause before each request.
const PAUSE: Duration = Duration::from_millis(8);

/// A response, of which the body may be incomplete.
struct SoakAnswer {
    status: u16,
    id: Option<String>,
    closes: bool,
    body: Vec<u8>,
    is_whole: bool,
}

/// Sends requests of random kinds to random daemons until `is_over`.
pub(super) fn run_caller(
    number: usize,
    seed: u64,
    daemons: &[(SocketAddr, Arc<DaemonHealth>)],
    ledger: &RunLedger,
    is_over: &AtomicBool,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut connection: Option<BufReader<TcpStream>> = None;
    let (mut daemon, mut life) = (0, 0);
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(PAUSE);
        if connection.is_none() {
            daemon = random.random_range(0..daemons.len());
            life = daemons[daemon].1.life();
            connection = connect(daemons[daemon].0);
        }
        let health = &daemons[daemon].1;
        let mark = health.mark();
        let Some(open) = &mut connection else { continue };
        count += 1;
        let kind = ["read", "once", "chat", "talk"][random.random_range(0..4)];
        let id = format!("c{number}-{count}-{kind}");
        ledger.note_request();
        let asked_at = Instant::now();
        let answer = ask(open, kind, &id);
        // A stream may break off together with its server. Every other request gets a complete response
        // unless its daemon was paused or killed meanwhile.
        let is_cut = answer.as_ref().is_none_or(|answer| !answer.is_whole);
        let is_unharmed = mark.is_some() && mark == health.mark() && life == health.life();
        if is_cut && matches!(kind, "read" | "once") && is_unharmed {
            let status = answer.as_ref().map(|answer| answer.status);
            let millis = asked_at.elapsed().as_millis();
            ledger.note_broken(format!(
                "{id}: daemon {daemon}, neither paused nor killed, cut the response after {millis} ms, \
                 status {status:?}"
            ));
        }
        let is_kept = answer.as_ref().is_some_and(|answer| answer.is_whole && !answer.closes);
        if let Some(answer) = answer {
            check(&answer, kind, &id, ledger);
        }
        if !is_kept {
            connection = None;
        }
    }
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, READ_WAIT).ok()?;
    stream.set_read_timeout(Some(READ_WAIT)).ok()?;
    Some(BufReader::new(stream))
}

fn ask(connection: &mut BufReader<TcpStream>, kind: &str, id: &str) -> Option<SoakAnswer> {
    let (method, body) = if kind == "read" { ("GET", "") } else { ("POST", "prompt") };
    let mut text = format!("{method} /{kind}/ HTTP/1.1\r\n");
    for (name, value) in caller_head(id, WAIT_MS).into_iter().chain(prompt_head()) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    connection.get_mut().write_all(text.as_bytes()).ok()?;
    read_answer(connection)
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<SoakAnswer> {
    let first = read_line(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut answer = SoakAnswer { status, id: None, closes: false, body: vec![], is_whole: false };
    let (mut length, mut is_chunked) = (0, false);
    loop {
        let line = read_line(reader)?.to_ascii_lowercase();
        let Some((name, value)) = line.split_once(':') else { break };
        match (name, value.trim()) {
            (ATTEMPT_HEADER, id) => answer.id = Some(id.to_owned()),
            ("connection", value) => answer.closes = value == "close",
            ("content-length", value) => length = value.parse().ok()?,
            ("transfer-encoding", value) => is_chunked = value == "chunked",
            _ => {}
        }
    }
    answer.is_whole = if is_chunked {
        read_chunks(reader, &mut answer.body).is_some()
    } else {
        answer.body.resize(length, 0);
        reader.read_exact(&mut answer.body).is_ok()
    };
    Some(answer)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let length = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}

/// Checks that a response is one that its request allows.
fn check(answer: &SoakAnswer, kind: &str, id: &str, ledger: &RunLedger) {
    if answer.id.as_deref().is_some_and(|other| other != id) {
        ledger.note_broken(format!("{id} got the response to {:?}", answer.id));
    }
    if matches!(answer.status, 408 | 421 | 429 | 503) && matches!(kind, "once" | "talk") {
        ledger.note_promise(id, answer.status);
    }
    if matches!(answer.status, 401 | 403 | 404) {
        ledger.note_broken(format!("{id} was refused with status {}", answer.status));
    }
    if answer.status != 200 {
        return;
    }
    let is_stream = matches!(kind, "chat" | "talk");
    let expected = if is_stream { events_of(id, EVENTS) } else { body_of(id) };
    let body = String::from_utf8_lossy(&answer.body);
    if !expected.starts_with(body.as_ref()) {
        ledger.note_broken(format!("{id} got a wrong body: {body:?}"));
    }
    if answer.is_whole && body != expected {
        ledger.note_broken(format!(
            "{id} got {} of {} bytes as a complete body",
            body.len(),
            expected.len()
        ));
    }
    if answer.is_whole {
        ledger.note_answered();
    }
}
