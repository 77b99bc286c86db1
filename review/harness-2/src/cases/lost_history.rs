//! Servers of an old software version leave, the store discards its history sooner than it states, and all daemons
//! are killed at once. Streams that clients take up then may go on at the old version only.

use std::collections::BTreeSet;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::CaseOptions;
use crate::Verdict;
use crate::client::Reply;
use crate::client::connect;
use crate::client::head;
use crate::client::read_reply;
use crate::engine::LONG_STREAM;
use crate::engine::prompt_lines;
use crate::engine::set_engine;
use crate::fleet::Fleet;
use crate::fleet::client_lines;
use crate::fleet::config;
use crate::fleet::unix_millis;
use crate::fleet::wait_until;
use crate::record::Record;

/// Versions of the servers, which serve side by side.
const VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];
/// Servers of the old version.
const OLD_SERVERS: usize = 2;
const MACHINES: usize = 3;
/// Streams, one for each client.
const STREAMS: usize = 18;
/// Time budget of a client, in milliseconds.
const DEADLINE_MS: u64 = 12_000;
/// Milliseconds for which all servers have run before.
const SERVER_AGE_MS: u64 = 60_000;
/// Time from the start of the streams until the old servers' entries are removed.
const UNTIL_LEAVING: Duration = Duration::from_millis(800);
/// Time from then until the store discards its history, and from then until the daemons are killed.
const UNTIL_TROUBLE: Duration = Duration::from_millis(400);
/// Time for which the daemons are down.
const DOWN_TIME: Duration = Duration::from_millis(1_200);
/// Time from the removal of their entries until the old servers end; longer than `DrainMs`.
const LEAVING_TIME: Duration = Duration::from_millis(2_600);
/// Time after the daemons are ready until clients take their streams up.
const UNTIL_TAKEN_UP: Duration = Duration::from_millis(700);
/// Streams that may hold events of two versions.
const MAX_MIXED: usize = 2;

/// What a client has received over its tries.
struct StreamResult {
    id: String,
    replies: Vec<Option<Reply>>,
}

impl StreamResult {
    /// Versions of the servers whose events the client has.
    fn versions(&self) -> BTreeSet<String> {
        let events = self.replies.iter().flatten().flat_map(Reply::events);
        events.map(|(_, version)| version).collect()
    }
}

pub fn run(options: &CaseOptions, record: &Arc<Record>) -> Verdict {
    let mut fleet = Fleet::new(&config());
    for (number, version) in VERSIONS.into_iter().enumerate() {
        fleet.add_server(&format!("i-{version}-{number}"), version);
        let born = unix_millis() - SERVER_AGE_MS;
        fleet.register(number, "s", "ready", born);
        set_engine(&fleet.servers[number], version, born);
    }
    // The entries were written a minute ago: the store keeps 20 s of history.
    fleet.store.compact();
    fleet.add_machines(MACHINES);
    fleet.start_machines();
    fleet.end_first_start();
    record.line("three daemons are ready; two servers of v1 and two of v2 serve side by side");

    let may_take_up = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let first = fleet.machines[number % MACHINES].front;
            let second = fleet.machines[(number + 1) % MACHINES].front;
            spawn_client(number, [first, second], may_take_up.clone(), record.clone())
        })
        .collect();
    thread::sleep(UNTIL_LEAVING);
    (0..OLD_SERVERS).for_each(|server| fleet.remove_entry(server));
    record.line("planned: the entries of the v1 servers are removed; they go on serving for 2.6 s");
    thread::sleep(UNTIL_TROUBLE);
    if options.has_trouble {
        if options.variant == "history-kept" {
            record.line("variant: the store keeps its history");
        } else {
            fleet.store.compact();
            record.line("disruption: the store discards its history");
        }
        thread::sleep(UNTIL_TROUBLE);
        fleet.kill_machines();
        record.line("disruption: all daemons are killed at once");
        thread::sleep(DOWN_TIME);
        fleet.start_machines();
        record.line("all daemons have been started again and are ready");
        thread::sleep(LEAVING_TIME.saturating_sub(2 * UNTIL_TROUBLE + DOWN_TIME));
    } else {
        thread::sleep(LEAVING_TIME);
    }
    fleet.servers[..OLD_SERVERS].iter().for_each(|server| server.crash());
    record.line("planned: the v1 servers have ended");
    thread::sleep(UNTIL_TAKEN_UP);
    may_take_up.store(true, Ordering::SeqCst);
    let results: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("a client")).collect();
    for (number, server) in fleet.servers.iter().enumerate() {
        for request in server.requests().iter().filter(|request| !request.attempt_id().is_empty()) {
            record.line(&format!(
                "run: server {number} ({}) attempt {} last-event-id {:?} resumes {:?}",
                VERSIONS[number],
                request.attempt_id(),
                request.last_event_id(),
                request.header("resumes"),
            ));
        }
    }
    judge(&results, record)
}

fn judge(results: &[StreamResult], record: &Record) -> Verdict {
    let mut mixed = 0;
    for result in results {
        let versions = result.versions();
        mixed += usize::from(versions.len() > 1);
        record.line(&format!("stream {}: events of {versions:?}", result.id));
    }
    record.line(&format!(
        "ORDER: {mixed} of {} streams hold events of two versions; allowed are {MAX_MIXED}",
        results.len()
    ));
    match mixed > MAX_MIXED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// A client that begins a stream at one machine, and takes it up once at another if its channel breaks.
fn spawn_client(
    number: usize,
    machines: [SocketAddr; 2],
    may_take_up: Arc<AtomicBool>,
    record: Arc<Record>,
) -> JoinHandle<StreamResult> {
    thread::spawn(move || {
        let id = format!("stream-{number:02}");
        let first = request(machines[0], number, &id, None);
        log_reply(&record, &id, first.as_ref());
        let mut replies = vec![first];
        let last = replies[0].as_ref().and_then(|reply| Some(reply.events().last()?.0));
        let is_complete = replies[0].as_ref().is_some_and(|reply| reply.is_complete);
        if let Some(last) = last.filter(|_| !is_complete) {
            wait_until("clients take their streams up", || may_take_up.load(Ordering::SeqCst));
            let second = request(machines[1], number, &format!("{id}-again"), Some((&id, last)));
            log_reply(&record, &format!("{id}-again after event {last}"), second.as_ref());
            replies.push(second);
        }
        StreamResult { id, replies }
    })
}

/// Sends one attempt; `origin` is the attempt that brought the first event, with the last event.
fn request(
    machine: SocketAddr,
    number: usize,
    id: &str,
    origin: Option<(&str, u64)>,
) -> Option<Reply> {
    let mut lines = client_lines(id, DEADLINE_MS);
    lines.extend(prompt_lines(number, LONG_STREAM));
    if let Some((origin, last)) = origin {
        lines.push(("Last-Event-Id", last.to_string()));
        lines.push(("Resumes", origin.to_owned()));
    }
    let stream = connect(machine)?;
    let text = format!("{}Content-Length: 1\r\n\r\nx", head("POST", "/chat/a", &lines));
    (&stream).write_all(text.as_bytes()).ok()?;
    read_reply(&mut BufReader::new(&stream))
}

fn log_reply(record: &Record, id: &str, reply: Option<&Reply>) {
    match reply {
        Some(reply) => record.line(&format!(
            "answered: {id} status {} events {} whole {}{}",
            reply.status,
            reply.events().len(),
            reply.is_complete,
            if reply.status == 200 { String::new() } else { format!(" {}", reply.body) },
        )),
        None => record.line(&format!("answered: {id} no answer")),
    }
}
