//! Callers that send many large bodies, or bodies that do not end: the daemon stays within its memory and serves the
//! others.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use ggt_standin::users_platform::caller_headers;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::wait::wait_until;

/// Maximum length of a body in the test's configuration.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Callers whose bodies stop just short of their end.
const UNFINISHED_CALLERS: usize = 96;
/// Callers that send their bodies in chunks of one byte.
const CHUNK_CALLERS: usize = 8;
/// Bytes that an unfinished body lacks.
const MISSING_BYTES: usize = 16;
/// Memory in bytes that the daemon may take beside unfinished bodies, 96 MiB in all.
const MAX_MEMORY: u64 = 72 * 1024 * 1024;
/// The same beside bodies in chunks of one byte, 8 MiB in all.
const MAX_CHUNK_MEMORY: u64 = 48 * 1024 * 1024;
/// Callers with long heads whose bodies do not end, and the memory in bytes that their daemon has.
const LONG_HEAD_CALLERS: usize = 900;
const LONG_HEAD_MEMORY_MB: u64 = 48;
/// Headers of such a head beside the usual ones, and the length of each value.
const LONG_HEAD_LINES: usize = 85;
const LONG_HEAD_VALUE_BYTES: usize = 165;
/// Length of the bodies of callers that take many connections.
const SHORT_BODY_BYTES: usize = 1_000;
/// Bytes that such a body lacks, and the pause between two of them.
const SLOW_BYTES: usize = 200;
const SLOW_PAUSE: Duration = Duration::from_secs(2);
/// Descriptors that a process may have open where callers take more connections, and these callers.
const MAX_FILES: u64 = 160;
const MANY_CALLERS: usize = 240;
/// Descriptors that the daemon may have open beside the callers' connections.
const MAX_OTHER_FDS: usize = 100;
const DEADLINE_MS: u64 = 20_000;
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Checks without more memory after which the daemon is taken to have read what was sent.
const CALM_CHECKS: usize = 50;
const PIECE_BYTES: usize = 64 * 1024;

/// The tests measure the memory of their daemons, so they run one after the other.
fn run_alone() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn config() -> Value {
    let mut config = test_config(2);
    config["Limits"]["MaxBodyBytes"] = json!(MAX_BODY_BYTES);
    config["Limits"]["MaxHeaderBytes"] = json!(16 * 1024);
    config["Limits"]["IdleTimeoutMs"] = json!(15_000);
    config
}

fn start(settings: Value) -> FrontFleet {
    let mut fleet = FrontFleet::start_with(2, 0, settings);
    fleet.publish(&config());
    fleet.add_daemon(0, None);
    fleet.daemons.iter().for_each(ggt_testkit::front::await_ready);
    fleet
}

/// Sends the head of a request with these lines and as much of its body as the daemon takes.
fn send_body<P>(callers: SocketAddr, id: &str, lines: &str, pieces: P) -> TcpStream
where
    P: Iterator<Item = Vec<u8>>,
{
    let mut stream = TcpStream::connect(callers).expect("should connect");
    stream.set_write_timeout(Some(Duration::from_secs(5))).expect("a time limit");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time limit");
    let mut head = "POST /read/ HTTP/1.1\r\n".to_owned();
    for (name, value) in caller_headers(id, DEADLINE_MS) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("{lines}\r\n"));
    stream.write_all(head.as_bytes()).expect("should send a head");
    for piece in pieces {
        // A daemon that has refused the request may have closed the connection.
        if stream.write_all(&piece).is_err() {
            break;
        }
    }
    stream
}

/// Pieces of a body of this length.
fn pieces(bytes: usize) -> impl Iterator<Item = Vec<u8>> {
    (0..bytes.div_ceil(PIECE_BYTES))
        .map(move |number| vec![b'x'; PIECE_BYTES.min(bytes - number * PIECE_BYTES)])
}

/// Begins a body of a stated length that stops just short of its end.
fn send_unfinished(callers: SocketAddr, id: &str) -> TcpStream {
    let lines = format!("content-length: {MAX_BODY_BYTES}\r\n");
    send_body(callers, id, &lines, pieces(MAX_BODY_BYTES - MISSING_BYTES))
}

/// Connections whose bodies do not end, though a byte of each arrives now and then, until this is dropped.
struct SlowCrowd {
    size: usize,
    has_ended: Arc<AtomicBool>,
    sender: Option<thread::JoinHandle<()>>,
}

impl SlowCrowd {
    fn start(connections: Vec<TcpStream>) -> Self {
        let (size, has_ended) = (connections.len(), Arc::new(AtomicBool::new(false)));
        let ended = has_ended.clone();
        let sender = thread::spawn(move || {
            for _ in 0..SLOW_BYTES - 1 {
                // The daemon may have closed some.
                connections.iter().for_each(|mut stream| drop(stream.write_all(b"x")));
                let pauses = SLOW_PAUSE.as_millis() / CHECK_INTERVAL.as_millis();
                for _ in 0..pauses {
                    thread::sleep(CHECK_INTERVAL);
                    if ended.load(Ordering::SeqCst) {
                        return;
                    }
                }
            }
        });
        Self { size, has_ended, sender: Some(sender) }
    }
}

impl Drop for SlowCrowd {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.sender.take().into_iter().for_each(|sender| drop(sender.join()));
    }
}

/// Begins short bodies that stop just short of their ends, with these lines in their heads, one after the other. A
/// connection that the daemon does not accept in time is left out.
fn send_many_unfinished(callers: SocketAddr, count: usize, lines: &str) -> SlowCrowd {
    let text = |number: usize| {
        let headers = caller_headers(&format!("m-{number}"), DEADLINE_MS);
        let headers = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
        let body = "x".repeat(SHORT_BODY_BYTES - SLOW_BYTES);
        format!(
            "POST /read/ HTTP/1.1\r\n{}{lines}content-length: {SHORT_BODY_BYTES}\r\n\r\n{body}",
            headers.collect::<String>()
        )
    };
    let send = |number| {
        let mut stream = TcpStream::connect_timeout(&callers, Duration::from_secs(1)).ok()?;
        stream.set_write_timeout(Some(Duration::from_secs(1))).ok()?;
        // A daemon that has no room for the connection may have closed it.
        let _ = stream.write_all(text(number).as_bytes());
        Some(stream)
    };
    SlowCrowd::start((0..count).filter_map(send).collect())
}

/// Runs one caller for each number at the same time; returns their connections.
fn send_all<S>(count: usize, send: S) -> Vec<TcpStream>
where
    S: Fn(usize) -> TcpStream + Sync,
{
    thread::scope(|scope| {
        let send = &send;
        let callers: Vec<_> = (0..count).map(|n| scope.spawn(move || send(n))).collect();
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect()
    })
}

/// Memory that a daemon has allocated, in bytes.
fn memory(fleet: &FrontFleet) -> u64 {
    let status = format!("/proc/{}/status", fleet.daemons[0].process.id());
    let status = std::fs::read_to_string(status).expect("a running process");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.expect("a size") * 1024
}

/// The most memory that a daemon takes, until it has taken no more for some time: it reads what has been sent to it.
fn peak_memory(fleet: &FrontFleet) -> u64 {
    let (mut peak, mut calm_checks) = (0, 0);
    while calm_checks < CALM_CHECKS {
        let now = memory(fleet);
        calm_checks = if now > peak { 0 } else { calm_checks + 1 };
        peak = peak.max(now);
        thread::sleep(CHECK_INTERVAL);
    }
    peak
}

fn descriptors(fleet: &FrontFleet) -> usize {
    let folder = format!("/proc/{}/fd", fleet.daemons[0].process.id());
    std::fs::read_dir(folder).expect("a running process").count()
}

/// Checks that the daemon lives, that its memory and descriptors are bounded, and that it serves an ordinary request.
fn check(fleet: &mut FrontFleet, callers: usize, max_memory: u64) {
    assert!(fleet.daemons[0].process.is_running());
    let (memory, descriptors) = (peak_memory(fleet), descriptors(fleet));
    assert!(fleet.daemons[0].process.is_running());
    println!("peak memory {memory} bytes, {descriptors} descriptors");
    assert!(memory < max_memory, "{memory} bytes");
    assert!(descriptors < callers + MAX_OTHER_FDS, "{descriptors} descriptors");
    let response = fleet.request(0, "POST", "/once/", "ordinary").body("x").send();
    let response = response.expect("should respond");
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
}

/// The status of the response on a connection; `None` if it was closed without one.
fn status_on(mut stream: &TcpStream) -> Option<u16> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1024];
    while !bytes.ends_with(b"}") && !bytes.ends_with(b"whole") {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
        }
    }
    String::from_utf8_lossy(&bytes).split(' ').nth(1)?.parse().ok()
}

// Guards against a daemon that is killed for its memory while many callers' bodies do not end, with the requests of
// all others.
#[test]
fn daemon_stays_within_its_memory_beside_many_unfinished_bodies() {
    let _turn = run_alone();
    let mut fleet = start(json!({}));
    let callers = fleet.daemons[0].callers;
    let connections =
        send_all(UNFINISHED_CALLERS, |number| send_unfinished(callers, &format!("u-{number}")));
    check(&mut fleet, connections.len(), MAX_MEMORY);
}

// Guards against the same for bodies in very small chunks, which took some ten times their bytes.
#[test]
fn daemon_stays_within_its_memory_beside_bodies_in_chunks_of_one_byte() {
    let _turn = run_alone();
    let mut fleet = start(json!({}));
    let callers = fleet.daemons[0].callers;
    let connections = send_all(CHUNK_CALLERS, |number| {
        let chunks = (0..MAX_BODY_BYTES / PIECE_BYTES).map(|_| b"1\r\nx\r\n".repeat(PIECE_BYTES));
        send_body(callers, &format!("c-{number}"), "transfer-encoding: chunked\r\n", chunks)
    });
    check(&mut fleet, connections.len(), MAX_CHUNK_MEMORY);
}

// Guards against the same for many requests with long heads whose bodies do not end: each took some 80 kB beside its body,
// and nothing bounded their number.
#[test]
fn daemon_stays_within_its_memory_beside_many_long_heads() {
    let _turn = run_alone();
    let mut fleet = start(json!({ "memory_mb": LONG_HEAD_MEMORY_MB }));
    let callers = fleet.daemons[0].callers;
    let line = |number| format!("x-pad-{number}: {}\r\n", "p".repeat(LONG_HEAD_VALUE_BYTES));
    let lines: String = (0..LONG_HEAD_LINES).map(line).collect();
    let crowd = send_many_unfinished(callers, LONG_HEAD_CALLERS, &lines);
    check(&mut fleet, crowd.size, LONG_HEAD_MEMORY_MB * 1024 * 1024);
}

// Guards against a daemon that has no descriptor left for ordinary callers, its targets and the store, since requests
// whose bodies do not end take all.
#[test]
fn ordinary_callers_are_served_beside_more_connections_than_the_daemon_may_have() {
    let _turn = run_alone();
    let mut fleet = FrontFleet::start_with(2, 0, json!({}));
    fleet.publish(&config());
    fleet.max_files = Some(MAX_FILES);
    fleet.add_daemon(0, None);
    fleet.daemons.iter().for_each(ggt_testkit::front::await_ready);
    let callers = fleet.daemons[0].callers;
    let crowd = send_many_unfinished(callers, MANY_CALLERS, "");
    check(&mut fleet, crowd.size, MAX_MEMORY);
}

// Guards against bodies over the limit that take more than a buffer, announced or just sent.
#[test]
fn bodies_over_the_limit_are_refused_and_take_no_memory() {
    let _turn = run_alone();
    let mut fleet = start(json!({}));
    let callers = fleet.daemons[0].callers;
    let connections = send_all(UNFINISHED_CALLERS, |number| {
        let id = format!("o-{number}");
        let sent = pieces(2 * MAX_BODY_BYTES);
        match number % 2 {
            0 => send_body(callers, &id, "content-length: 1000000000\r\n", sent),
            _ => {
                let chunks = sent.map(|piece| {
                    let size = format!("{:x}\r\n", piece.len());
                    [size.as_bytes(), &piece, b"\r\n"].concat()
                });
                send_body(callers, &id, "transfer-encoding: chunked\r\n", chunks)
            }
        }
    });
    check(&mut fleet, connections.len(), MAX_MEMORY);
    // A caller that goes on sending may find the connection closed before it has read the response.
    for status in connections.iter().filter_map(status_on) {
        assert!([413, 503].contains(&status), "{status}");
    }
}

// Guards against a limit that a single request meets, and against a body that keeps its room though it does not go on
// while another one needs it.
#[test]
fn whole_body_of_the_greatest_length_is_served_beside_one_that_does_not_go_on() {
    let _turn = run_alone();
    let fleet = start(json!({ "request_bodies_mb": 1.0 }));
    let callers = fleet.daemons[0].callers;
    let stalled = send_unfinished(callers, "stalled");
    let lines = format!("content-length: {MAX_BODY_BYTES}\r\n");
    let mut turn = 0;
    wait_until("the stalled body gives way", || {
        turn += 1;
        let whole = send_body(callers, &format!("whole-{turn}"), &lines, pieces(MAX_BODY_BYTES));
        match status_on(&whole) {
            Some(200) => true,
            status => {
                assert_eq!(status, Some(503));
                false
            }
        }
    });
    assert_eq!(status_on(&stalled), Some(503));
    assert_eq!(fleet.request_count("stalled"), 0);
}

// Guards against a body that is read before its request is known to be refused, or asked for although it is.
#[test]
fn request_that_is_refused_by_its_head_is_not_asked_for_its_body() {
    let _turn = run_alone();
    let fleet = start(json!({}));
    let callers = fleet.daemons[0].callers;
    let mut stream = TcpStream::connect(callers).expect("should connect");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time limit");
    let head = format!(
        "POST /read/ HTTP/1.1\r\nhost: chat.example\r\nx-attempt-id: a\r\nauthorization: Token none\r\n\
         expect: 100-continue\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("should send a head");
    assert_eq!(status_on(&stream), Some(401));
    // One that may be served is asked for it.
    let lines = "expect: 100-continue\r\ncontent-length: 5\r\n";
    let asked = send_body(callers, "asked", lines, std::iter::empty());
    let mut buffer = [0; 1024];
    let length = (&asked).read(&mut buffer).expect("an interim response");
    assert!(buffer[..length].starts_with(b"HTTP/1.1 100 "), "{:?}", &buffer[..length]);
    (&asked).write_all(b"12345").expect("should send the body");
    assert_eq!(status_on(&asked), Some(200));
}
