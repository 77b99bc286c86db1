//! A crowd of unfinished bodies takes all descriptors of a daemon: do ordinary clients still get answers?

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::Stage;
use crate::Verdict;
use crate::client::Outcome;
use crate::client::request;
use crate::crowd::Crowd;
use crate::crowd::CrowdRequest;
use crate::daemon::MAX_FILES;
use crate::daemon::Plan;
use crate::desk;
use crate::desk::TIMEOUT_MS;
use crate::http::Reader;
use crate::http::read_body;
use crate::http::read_head;
use crate::store::Store;

/// Channels of the crowd.
const CROWD: usize = 4_400;
const REQUEST: CrowdRequest = CrowdRequest { pads: 0, body_bytes: 4_000 };
/// Time within which the crowd opens its channels.
const FILL_LIMIT: Duration = Duration::from_secs(60);
/// Ordinary clients, and the requests that each sends, on a new channel each.
const CLIENTS: usize = 8;
const REQUESTS: usize = 4;
/// How long the server works on a request.
const WORK: Duration = Duration::from_millis(15);
/// A request must have its final answer so long after its route's timeout.
const SLACK_MS: u64 = 500;
/// Requests without a final answer by then from which on the rule is broken, if they are over a quarter.
const LEAST: usize = 8;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    desk::open(&store, WORK, record);
    let mut plan = Plan::new(&stage.folder, store.address, &["127.0.0.1"], &["z1"]);
    plan.max_files = Some(MAX_FILES);
    let mut daemon = plan.start(0);
    if !daemon.wait_until_ready(Duration::from_secs(10)) || !daemon.has_files(MAX_FILES) {
        return Verdict::Unplayed;
    }
    sleep(Duration::from_secs(3));
    let Ok(mut ready) = ReadyChannel::open(daemon.ready) else { return Verdict::Unplayed };
    record.say(&format!("ready: {}, {} descriptors", ready.ask(), daemon.open_files()));
    let crowd = match stage.has_trouble {
        true => match Crowd::start(daemon.front, CROWD, REQUEST) {
            Some(crowd) => Some(crowd),
            None => return Verdict::Unplayed,
        },
        false => None,
    };
    let deadline = Instant::now() + FILL_LIMIT;
    while crowd.is_some() && daemon.open_files() < MAX_FILES as usize && Instant::now() < deadline {
        sleep(Duration::from_millis(100));
    }
    record.say(&format!(
        "crowd: {}; {} descriptors and {} MB of memory in use",
        crowd.is_some(),
        daemon.open_files(),
        daemon.resident_bytes() / 1_000_000
    ));
    let front = daemon.front;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                let mut outcomes = Vec::new();
                for number in 0..REQUESTS {
                    let outcome = send(front, client, number);
                    record.add(&format!(
                        "client ordinary-{client}-{number}: {} after {} ms",
                        outcome.status_text(),
                        outcome.after.as_millis()
                    ));
                    outcomes.push(outcome);
                    sleep(Duration::from_millis(100));
                }
                outcomes
            })
        })
        .collect();
    let outcomes: Vec<_> =
        clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    record.say(&format!(
        "ready: {}, {} descriptors, process runs: {}",
        ready.ask(),
        daemon.open_files(),
        daemon.is_running()
    ));
    drop(crowd);
    let long = outcomes.iter().filter(|outcome| outcome.after.as_millis() as u64 > TIMEOUT_MS);
    let long = long.count();
    let unanswered = outcomes.iter().filter(|outcome| outcome.status.is_none()).count();
    record.say(&format!(
        "{} ordinary requests: {long} lasted longer than their route's timeout of {TIMEOUT_MS} ms, {unanswered} had \
         no final answer {SLACK_MS} ms after it",
        outcomes.len()
    ));
    match unanswered >= LEAST && 4 * unanswered > long {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn send(front: SocketAddr, client: usize, number: usize) -> Outcome {
    let head = format!(
        "POST /file/{client} HTTP/1.1\r\nHost: desk.example\r\n\
         X-Attempt-Id: ordinary-{client}-{number}\r\nX-Deadline-Ms: 1500\r\n\
         Authorization: Token key2\r\nContent-Length: 4\r\n\r\n"
    );
    request(front, &head, b"form", Duration::from_millis(TIMEOUT_MS + SLACK_MS))
}

/// The channel on which the platform asks whether the daemon is ready.
struct ReadyChannel {
    writer: TcpStream,
    reader: Reader,
}

impl ReadyChannel {
    fn open(address: SocketAddr) -> std::io::Result<Self> {
        let writer = TcpStream::connect(address)?;
        writer.set_read_timeout(Some(Duration::from_secs(1)))?;
        let reader = Reader::new(writer.try_clone()?);
        Ok(Self { writer, reader })
    }

    fn ask(&mut self) -> String {
        let text = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        if self.writer.write_all(text.as_bytes()).is_err() {
            return "no answer".to_owned();
        }
        let Some(head) = read_head(&mut self.reader) else { return "no answer".to_owned() };
        read_body(&mut self.reader, &head);
        head.status().to_string()
    }
}
