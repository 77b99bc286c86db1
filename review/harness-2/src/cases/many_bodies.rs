//! Clients send many large bodies of legal size at once, and stop just short of their end. The machine must stay within
//! its memory, and other clients must still get answers.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use ggt_standin::users_platform::respond;

use crate::CaseOptions;
use crate::Verdict;
use crate::client::connect;
use crate::client::head;
use crate::client::read_reply;
use crate::fleet::Fleet;
use crate::fleet::MEMORY_MB;
use crate::fleet::client_lines;
use crate::fleet::config;
use crate::fleet::unix_millis;
use crate::record::Record;

/// Maximum size of a body in the configuration, in bytes.
const MAX_BODY_BYTES: usize = 4_194_304;
/// Bytes of a body that its client does not send.
const MISSING_BYTES: usize = 16;
/// Clients with such bodies, if they state their length.
const LENGTH_CLIENTS: usize = 96;
/// The same, if they send them in chunks of one byte.
const CHUNK_CLIENTS: usize = 8;
/// Bytes that such a client writes at a time.
const PIECE_BYTES: usize = 64 * 1024;
/// Pause between two pieces.
const PIECE_INTERVAL: Duration = Duration::from_millis(30);
/// Ordinary clients, each with a channel that it keeps.
const ORDINARY_CLIENTS: usize = 24;
/// Time for which the server works on an ordinary request.
const WORK_TIME: Duration = Duration::from_millis(400);
/// Time for which the ordinary clients go on.
const RUN_TIME: Duration = Duration::from_secs(40);
/// Time before the large bodies begin.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Interval at which the platform checks the memory of a machine.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
/// Requests that may lose their answer.
const MAX_LOST: usize = 3;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// What the ordinary clients have seen.
#[derive(Default)]
struct OrdinaryCount {
    answered: usize,
    refused: usize,
    /// Read and passed on, and the channel closed without an answer.
    lost: Vec<String>,
    not_accepted: usize,
}

pub fn run(options: &CaseOptions, record: &Arc<Record>) -> Verdict {
    let mut fleet = Fleet::new(&config());
    for number in 0..2 {
        fleet.add_server(&format!("i-{number}"), "v1");
        fleet.register(number, "s", "ready", unix_millis());
        fleet.servers[number].set_script(|request, stream| {
            thread::sleep(WORK_TIME);
            respond(request, stream, 200, "whole")
        });
    }
    fleet.add_machines(1);
    fleet.start_machines();
    record.line("one daemon and two servers are ready");

    let machine = fleet.machines[0].front;
    let process = fleet.machines[0].process().expect("a process");
    let is_over = Arc::new(AtomicBool::new(false));
    let count = Arc::new(Mutex::new(OrdinaryCount::default()));
    let ordinary: Vec<_> = (0..ORDINARY_CLIENTS)
        .map(|number| spawn_ordinary(number, machine, is_over.clone(), count.clone()))
        .collect();
    thread::sleep(CALM_TIME);
    let large: Vec<_> = match (options.has_trouble, options.variant.as_str()) {
        (false, _) => Vec::new(),
        (true, "chunks") => (0..CHUNK_CLIENTS)
            .map(|number| spawn_chunks(number, machine, is_over.clone(), record.clone()))
            .collect(),
        (true, _) => (0..LENGTH_CLIENTS)
            .map(|number| spawn_length(number, machine, is_over.clone(), record.clone()))
            .collect(),
    };
    record.line(&format!("disruption: {} clients send large bodies", large.len()));
    let (peak, ended) = watch_memory(&mut fleet, process, record);
    is_over.store(true, Ordering::SeqCst);
    for client in ordinary.into_iter().chain(large) {
        client.join().expect("a client");
    }
    let runs: Vec<_> = fleet.servers.iter().flat_map(|server| server.requests()).collect();
    let has_run = |id: &String| runs.iter().any(|request| request.attempt_id() == id);
    let count = count.lock().unwrap_or_else(PoisonError::into_inner);
    let lost: Vec<_> = count.lost.iter().filter(|id| has_run(id)).collect();
    for id in &lost {
        record.line(&format!(
            "lost: {id} was run by a server, and its channel ended without an answer"
        ));
    }
    record.line(&format!(
        "ordinary clients: {} answered, {} refused, {} without an answer, {} not accepted; servers ran {} requests",
        count.answered,
        count.refused,
        count.lost.len(),
        count.not_accepted,
        runs.len(),
    ));
    record.line(&format!(
        "LOST: the machine took {} MB of {MEMORY_MB} MB{}; {} requests were passed on and lost, allowed are {MAX_LOST}",
        peak / BYTES_PER_MEGABYTE,
        if ended { ", and its process was ended for that" } else { "" },
        lost.len(),
    ));
    match lost.len() > MAX_LOST {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// The platform's part: a process that exceeds the memory of its machine is killed. Returns the largest memory, and
/// whether that happened.
fn watch_memory(fleet: &mut Fleet, process: u32, record: &Record) -> (u64, bool) {
    let ends_at = Instant::now() + RUN_TIME;
    let mut peak = 0;
    while Instant::now() < ends_at {
        peak = peak.max(resident_bytes(process));
        if peak > MEMORY_MB * BYTES_PER_MEGABYTE {
            fleet.machines[0].kill();
            record
                .line(&format!("platform: {peak} bytes exceed the memory; the process is killed"));
            thread::sleep(Duration::from_millis(500));
            return (peak, true);
        }
        thread::sleep(MEMORY_INTERVAL);
    }
    (peak, false)
}

/// Resident memory of a process in bytes; 0 if it has ended.
fn resident_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or_default() * 1_024
}

/// A client that sends one request after the other on a channel that it keeps.
fn spawn_ordinary(
    number: usize,
    machine: SocketAddr,
    is_over: Arc<AtomicBool>,
    count: Arc<Mutex<OrdinaryCount>>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        // Clients do not all send at the same moment.
        thread::sleep(WORK_TIME * number as u32 / ORDINARY_CLIENTS as u32);
        let mut channel = None;
        for turn in 0.. {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("ordinary-{number:02}-{turn:03}");
            let Some(stream) = channel.take().or_else(|| connect(machine)) else {
                count.lock().unwrap_or_else(PoisonError::into_inner).not_accepted += 1;
                thread::sleep(WORK_TIME);
                continue;
            };
            let text = head("POST", "/once/a", &client_lines(&id, 4_000));
            let text = format!("{text}Content-Length: 1\r\n\r\nx");
            let reply = (&stream).write_all(text.as_bytes()).ok();
            let reply = reply.and_then(|()| read_reply(&mut BufReader::new(&stream)));
            let mut count = count.lock().unwrap_or_else(PoisonError::into_inner);
            match reply {
                Some(reply) if reply.status == 200 && reply.is_complete => {
                    count.answered += 1;
                    channel = Some(stream);
                }
                Some(reply) if reply.status >= 400 => count.refused += 1,
                _ => count.lost.push(id),
            }
        }
    })
}

/// A client that states the length of its body, and stops short of its end.
fn spawn_length(
    number: usize,
    machine: SocketAddr,
    is_over: Arc<AtomicBool>,
    record: Arc<Record>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let text = head("POST", "/once/large", &client_lines(&format!("large-{number:02}"), 4_000));
        let text = format!("{text}Content-Length: {MAX_BODY_BYTES}\r\n\r\n");
        let body = vec![b'x'; MAX_BODY_BYTES - MISSING_BYTES];
        send_and_stay(number, machine, &text, &body, &is_over, &record);
    })
}

/// A client that sends its body in chunks of one byte, and stops short of its end.
fn spawn_chunks(
    number: usize,
    machine: SocketAddr,
    is_over: Arc<AtomicBool>,
    record: Arc<Record>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let text = head("POST", "/once/large", &client_lines(&format!("large-{number:02}"), 4_000));
        let text = format!("{text}Transfer-Encoding: chunked\r\n\r\n");
        let body = b"1\r\nx\r\n".repeat(MAX_BODY_BYTES - MISSING_BYTES);
        send_and_stay(number, machine, &text, &body, &is_over, &record);
    })
}

fn send_and_stay(
    number: usize,
    machine: SocketAddr,
    text: &str,
    body: &[u8],
    is_over: &AtomicBool,
    record: &Record,
) {
    let Some(mut stream) = connect(machine) else { return };
    let mut sent = 0;
    if stream.write_all(text.as_bytes()).is_ok() {
        for piece in body.chunks(PIECE_BYTES) {
            if is_over.load(Ordering::SeqCst) || !write_piece(&mut stream, piece) {
                break;
            }
            sent += piece.len();
            thread::sleep(PIECE_INTERVAL);
        }
    }
    record.line(&format!("sent: large-{number:02}, {sent} bytes after its head"));
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(MEMORY_INTERVAL);
    }
}

fn write_piece(stream: &mut TcpStream, piece: &[u8]) -> bool {
    stream.write_all(piece).is_ok()
}
