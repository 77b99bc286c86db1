//! Many users come at once, with bodies that the configuration allows. The daemon keeps all of them in memory, exceeds
//! what its machine has, and is killed with the requests that servers are running for it.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Daemon;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::KEY;
use crate::fleet::Route;
use crate::http::read_head;
use crate::record::Record;

/// Servers, with 48 slots each.
const SERVERS: usize = 3;
/// `MaxBodyBytes`, and the bytes of a body.
const BODY_BYTES: usize = 4_194_304;
/// Pieces in which a client sends a body, and the pause after each: 4 s for a body, 8.4 Mbit/s.
const PIECES: usize = 64;
const PIECE_PAUSE: Duration = Duration::from_millis(62);
/// Clients that send such bodies, one after the other: some 16 requests a second.
const CLIENTS: usize = 68;
/// Clients that come in the burst, with one such body each, evenly within `BURST`: 1.6 times the traffic.
const BURST_CLIENTS: usize = 29;
const BURST: Duration = Duration::from_millis(3_000);
/// Clients that send small requests on kept channels, one after the other.
const KEPT_CHANNELS: usize = 8;
/// Time that a server takes for a request.
const WORK_MS: u64 = 400;
/// Time within which the clients begin.
const SPREAD: Duration = Duration::from_millis(4_400);
/// Time before the burst and after it begins.
const CALM: Duration = Duration::from_millis(10_000);
const REST: Duration = Duration::from_millis(9_000);
/// `MemoryMb`, in kB.
const MEMORY_KB: u64 = 260 * 1024;
/// How often the platform looks at a process.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);
/// How long clients wait.
const DEADLINE_MS: u64 = 12_000;
/// Channels that may be closed so.
const ALLOWED: usize = 3;

/// What the clients of a case share.
struct Play {
    record: Record,
    front: SocketAddr,
    is_over: AtomicBool,
}

/// Plays the case; returns the number of requests on kept channels that were passed on and got no answer, beyond
/// the three allowed.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<usize> {
    let routes = [Route {
        name: "once",
        kind: "non_idempotent",
        can_resume: false,
        attempts: 1,
        timeout_ms: DEADLINE_MS,
    }];
    let mut fleet = Fleet::start(record, &routes)?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = fleet.start_server(&format!("i-{number}"), "v1", None)?;
        fleet.register(&server, "ready");
        servers.push(server);
    }
    let daemon = fleet.start_daemon()?;
    let play = Arc::new(Play {
        record: record.clone(),
        front: daemon.front,
        is_over: AtomicBool::new(false),
    });
    let most_kb = Arc::new(AtomicU64::new(0));
    let platform = watch_memory(&play, daemon, most_kb.clone());
    let kept: Vec<_> = (0..KEPT_CHANNELS)
        .map(|client| {
            let play = play.clone();
            thread::spawn(move || play.use_channel(client))
        })
        .collect();
    let mut clients = start_uploads(&play, 0..CLIENTS, SPREAD, usize::MAX);
    fleet.pause(&servers, CALM);
    record.say(&format!("most memory before: {} MB", most_kb.load(Ordering::SeqCst) / 1024));
    if has_trouble {
        record.add("the burst begins");
        let numbers = CLIENTS..CLIENTS + BURST_CLIENTS;
        clients.extend(start_uploads(&play, numbers, BURST, 1));
    }
    fleet.pause(&servers, REST);
    play.is_over.store(true, Ordering::SeqCst);
    let mut unanswered = 0;
    for client in kept {
        let last = client.join().map_err(|_| io::Error::other("a client failed"))?;
        unanswered += usize::from(last.is_some_and(|id| record.has_run(&id)));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(platform.join());
    record.say(&format!(
        "most memory: {} MB; {unanswered} requests on kept channels ran and got no answer; {ALLOWED} are allowed",
        most_kb.load(Ordering::SeqCst) / 1024
    ));
    Ok(unanswered.saturating_sub(ALLOWED))
}

/// Does what the platform does: kills a process that exceeds the memory of its machine. Only memory that the
/// process has allocated counts here, and not what its sockets hold.
fn watch_memory(play: &Arc<Play>, mut daemon: Daemon, most_kb: Arc<AtomicU64>) -> JoinHandle<()> {
    let play = play.clone();
    thread::spawn(move || {
        while !play.is_over.load(Ordering::SeqCst) {
            let used_kb = daemon.memory_kb();
            most_kb.fetch_max(used_kb, Ordering::SeqCst);
            if used_kb > MEMORY_KB {
                daemon.kill();
                let used_mb = used_kb / 1024;
                play.record.say(&format!("the daemon has {used_mb} MB: the platform kills it"));
                play.is_over.store(true, Ordering::SeqCst);
            }
            thread::sleep(WATCH_INTERVAL);
        }
        // The daemon serves until all requests have ended.
        thread::sleep(Duration::from_millis(DEADLINE_MS / 2));
    })
}

/// Starts clients evenly within `spread`, each of which sends up to `count` bodies.
fn start_uploads(
    play: &Arc<Play>,
    clients: Range<usize>,
    spread: Duration,
    count: usize,
) -> Vec<JoinHandle<()>> {
    let pause = spread / u32::try_from(clients.len()).unwrap_or(1);
    let begins_at = Instant::now();
    clients
        .zip(0_u32..)
        .map(|(client, index)| {
            let play = play.clone();
            let begins_at = begins_at + pause * index;
            thread::spawn(move || {
                thread::sleep(begins_at.saturating_duration_since(Instant::now()));
                for number in 0..count {
                    if play.is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("upload-{client}-{number}");
                    let status = play.upload(&id).unwrap_or_default();
                    play.record.add(&format!("client got {id}: status {status}"));
                }
            })
        })
        .collect()
}

impl Play {
    /// Sends a large body on a new channel; returns the status of the answer.
    fn upload(&self, id: &str) -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&self.front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
        let path = format!("/once/x?size=100&pause_ms={WORK_MS}");
        stream.write_all(head(&path, id, BODY_BYTES).as_bytes())?;
        let piece = vec![b'x'; BODY_BYTES / PIECES];
        let begun = Instant::now();
        for number in 1..=PIECES {
            stream.write_all(&piece)?;
            let due = PIECE_PAUSE * u32::try_from(number).unwrap_or_default();
            thread::sleep(due.saturating_sub(begun.elapsed()));
        }
        read_status(&mut BufReader::new(stream))
    }

    /// Sends small requests on one channel until the end; returns the id of the last one if the channel was closed without an
    /// answer to it.
    fn use_channel(&self, client: usize) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.front, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut number = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("kept-{client}-{number}");
            let path = format!("/once/x?size=100&pause_ms={WORK_MS}");
            let text = format!("{}form", head(&path, &id, 4));
            let sent = stream.write_all(text.as_bytes());
            match sent.and_then(|()| read_status(&mut reader)) {
                Ok(200) => {}
                Ok(status) => self.record.add(&format!("client got {id}: status {status}")),
                Err(e) => {
                    let has_run = self.record.has_run(&id);
                    self.record
                        .add(&format!("client got no answer to {id} ({e}), which ran: {has_run}"));
                    return Some(id);
                }
            }
        }
        None
    }
}

fn head(path: &str, id: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\
         Authorization: Token {KEY}\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Reads an answer, which has a length, and returns its status.
fn read_status(reader: &mut BufReader<TcpStream>) -> io::Result<u16> {
    let Some(head) = read_head(reader)? else {
        return Err(io::Error::other("the channel was closed"));
    };
    let mut body = vec![0; head.header("content-length").parse().unwrap_or_default()];
    reader.read_exact(&mut body)?;
    Ok(head.status())
}
