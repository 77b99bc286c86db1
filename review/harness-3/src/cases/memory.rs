//! A crowd of unfinished bodies of legal size: does the process stay within the memory of its machine?

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::Stage;
use crate::Verdict;
use crate::crowd::Crowd;
use crate::crowd::CrowdRequest;
use crate::daemon::Daemon;
use crate::daemon::MAX_FILES;
use crate::daemon::MEMORY_MB;
use crate::daemon::Plan;
use crate::desk;
use crate::http::BodyEnd;
use crate::http::Reader;
use crate::http::read_body;
use crate::http::read_head;
use crate::record::Record;
use crate::store::Store;

/// Channels of the crowd: a machine has 3,900 descriptors for channels.
const CROWD: usize = 3_600;
/// Heads of 15.6 kB.
const REQUEST: CrowdRequest = CrowdRequest { pads: 85, body_bytes: 12_500 };
/// Ordinary clients, each with a channel that it keeps.
const CLIENTS: usize = 12;
/// How long the server works on a request.
const WORK: Duration = Duration::from_millis(400);
/// For how long the clients send.
const LENGTH: Duration = Duration::from_secs(40);
/// Pause between two looks at the memory.
const LOOK: Duration = Duration::from_millis(20);
/// Channels that a machine may close without an answer after it has passed a request on.
const ALLOWED: usize = 3;

#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    refused: AtomicUsize,
    /// Requests whose channels ended without an answer.
    closed: Mutex<Vec<String>>,
    has_ended: AtomicBool,
}

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    let run_ids = desk::open(&store, WORK, record);
    let mut plan = Plan::new(&stage.folder, store.address, &["127.0.0.1"], &["z1"]);
    plan.max_files = Some(MAX_FILES);
    let mut daemon = plan.start(0);
    if !daemon.wait_until_ready(Duration::from_secs(10)) || !daemon.has_files(MAX_FILES) {
        return Verdict::Unplayed;
    }
    sleep(Duration::from_secs(3));
    let (front, counts) = (daemon.front, Arc::new(Counts::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (counts, record) = (counts.clone(), record.clone());
            thread::spawn(move || send_until_the_end(front, number, &counts, &record))
        })
        .collect();
    let crowd = stage.has_trouble.then(|| {
        thread::spawn(move || {
            sleep(Duration::from_secs(2));
            Crowd::start(front, CROWD, REQUEST)
        })
    });
    let most = watch_memory(&mut daemon, LENGTH, record);
    counts.has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let is_running = daemon.is_running();
    drop(daemon);
    drop(crowd.and_then(|crowd| crowd.join().ok()));
    let [answered, refused] =
        [&counts.answered, &counts.refused].map(|count| count.load(Ordering::SeqCst));
    let run_ids = run_ids.lock().expect("server");
    let closed = counts.closed.lock().expect("clients");
    let closed = closed.iter().filter(|id| run_ids.contains(*id)).count();
    record.say(&format!(
        "memory at most {} MB of {MEMORY_MB} MiB ({} MB); process kept: {is_running}",
        most / 1_000_000,
        memory_limit() / 1_000_000,
    ));
    record.say(&format!(
        "ordinary requests: {answered} answered, {refused} refused, {closed} passed on to the server and \
         ended without an answer (allowed: {ALLOWED})"
    ));
    if answered == 0 {
        return Verdict::Unplayed;
    }
    if closed > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

fn memory_limit() -> u64 {
    MEMORY_MB * 1_024 * 1_024
}

/// Looks at the memory of a daemon, and kills it as the platform does once it takes more than its machine has.
/// Returns the most that it took.
fn watch_memory(daemon: &mut Daemon, length: Duration, record: &Record) -> u64 {
    let ends_at = Instant::now() + length;
    let mut most = 0;
    while Instant::now() < ends_at {
        let bytes = daemon.resident_bytes();
        most = most.max(bytes);
        if bytes > memory_limit() {
            record.say(&format!(
                "{}: {bytes} bytes of memory, {} descriptors: over the limit, killed",
                daemon.name,
                daemon.open_files()
            ));
            daemon.kill();
            sleep(Duration::from_millis(500));
            return most;
        }
        sleep(LOOK);
    }
    most
}

/// Sends one request after the other on a channel that it keeps, and opens another one only if it is told to.
fn send_until_the_end(front: SocketAddr, number: usize, counts: &Counts, record: &Record) {
    let mut requests = 0;
    while !counts.has_ended.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else { return };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1_500)));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        loop {
            if counts.has_ended.load(Ordering::SeqCst) {
                return;
            }
            requests += 1;
            let id = format!("ordinary-{number}-{requests}");
            let text = format!(
                "POST /file/{number} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
                 X-Deadline-Ms: 1500\r\nAuthorization: Token key2\r\nContent-Length: 4\r\n\r\nform"
            );
            if writer.write_all(text.as_bytes()).is_err() {
                break;
            }
            let Some(head) = read_head(&mut reader) else {
                counts.closed.lock().expect("clients").push(id.clone());
                record.add(&format!("client {id}: the channel ended without an answer"));
                break;
            };
            let (_, end) = read_body(&mut reader, &head);
            let count = match (head.status(), end) {
                (200, BodyEnd::Complete) => &counts.answered,
                _ => &counts.refused,
            };
            count.fetch_add(1, Ordering::SeqCst);
            record.add(&format!("client {id}: {}", head.status()));
            if head.get("connection") == Some("close") {
                break;
            }
        }
    }
}
