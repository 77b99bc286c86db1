//! The last server of an old software version crashes, and is back under its id with the new version. Streams of the old
//! version must not go on there, also before its first heartbeat.

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
use std::time::Instant;

use crate::CaseOptions;
use crate::Verdict;
use crate::client::Reply;
use crate::client::connect;
use crate::client::head;
use crate::client::read_reply;
use crate::engine::LONG_STREAM;
use crate::engine::SHORT_STREAM;
use crate::engine::prompt_lines;
use crate::engine::set_engine;
use crate::fleet::Fleet;
use crate::fleet::client_lines;
use crate::fleet::config;
use crate::fleet::unix_millis;
use crate::record::Record;

/// Versions of the servers; the first one is the last of the old version.
const VERSIONS: [&str; 4] = ["v1", "v2", "v2", "v2"];
const MACHINES: usize = 3;
/// Streams that are at work when the server crashes.
const STREAMS: usize = 40;
/// Time budget of a client, in milliseconds.
const DEADLINE_MS: u64 = 12_000;
/// Tries of a client after the first one.
const MAX_RETRIES: usize = 3;
/// Shortest pause before the first retry; it doubles with each.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Milliseconds for which all servers have run before.
const SERVER_AGE_MS: u64 = 60_000;
/// Time from the start of the streams until the server crashes.
const UNTIL_CRASH: Duration = Duration::from_millis(1_500);
/// Time for which the server is down.
const DOWN_TIME: Duration = Duration::from_millis(400);
/// Time from the start of the server until its first heartbeat; shorter than `HeartbeatMs`, 1,200.
const UNTIL_HEARTBEAT: Duration = Duration::from_millis(1_100);
/// Time between two new streams of other clients.
const NEW_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which these begin.
const NEW_TIME: Duration = Duration::from_secs(5);
/// Streams that may hold events of two versions.
const MAX_MIXED: usize = 2;

/// Tries of one client, with the names of the attempts.
type Tries = Vec<(String, Option<Reply>)>;

pub fn run(options: &CaseOptions, record: &Arc<Record>) -> Verdict {
    let mut fleet = Fleet::new(&config());
    for (number, version) in VERSIONS.into_iter().enumerate() {
        fleet.add_server(&format!("i-{number}"), version);
        let born = unix_millis() - SERVER_AGE_MS;
        fleet.register(number, "s", "ready", born);
        set_engine(&fleet.servers[number], version, born);
    }
    // The entries were written a minute ago: the store keeps 20 s of history.
    fleet.store.compact();
    fleet.add_machines(MACHINES);
    fleet.start_machines();
    fleet.end_first_start();
    record.line("three daemons are ready; i-0 is the last server of v1, three others serve v2");

    let fronts: Vec<_> = fleet.machines.iter().map(|machine| machine.front).collect();
    let clients: Vec<_> = (0..STREAMS).map(|number| spawn_client(number, fronts.clone())).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let others = spawn_others(fronts, is_over.clone());
    thread::sleep(UNTIL_CRASH);
    if options.has_trouble {
        fleet.servers[0].crash();
        record.line("disruption: i-0 crashes");
        thread::sleep(DOWN_TIME);
        let born = unix_millis();
        set_engine(&fleet.servers[0], "v2", born);
        fleet.servers[0].set_version("v2");
        fleet.servers[0].restart("i-0").expect("the server should start again");
        record.line("i-0 is back under its id with v2");
        thread::sleep(UNTIL_HEARTBEAT);
        fleet.register(0, "s", "ready", born);
        record.line("i-0 writes its entry with its first heartbeat");
    }
    let results: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("a client")).collect();
    is_over.store(true, Ordering::SeqCst);
    let new = others.join().expect("the other clients");
    record.line(&format!("{new} streams of other clients began meanwhile"));
    judge(&results, record)
}

fn judge(results: &[Tries], record: &Record) -> Verdict {
    let mut mixed = 0;
    for tries in results {
        let events = tries.iter().filter_map(|(_, reply)| reply.as_ref()).flat_map(Reply::events);
        let versions: BTreeSet<_> = events.map(|(_, version)| version).collect();
        mixed += usize::from(versions.len() > 1);
        let answers: Vec<_> = tries
            .iter()
            .map(|(id, reply)| match reply {
                Some(reply) if reply.status == 200 => {
                    format!("{id}: {} events", reply.events().len())
                }
                Some(reply) => format!("{id}: {} {}", reply.status, reply.body),
                None => format!("{id}: no answer"),
            })
            .collect();
        record.line(&format!("events of {versions:?}: {}", answers.join(", ")));
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

/// A client that takes its stream up at the next machine if its channel breaks, a few times.
fn spawn_client(number: usize, fronts: Vec<SocketAddr>) -> JoinHandle<Tries> {
    thread::spawn(move || {
        let id = format!("stream-{number:02}");
        let mut tries: Tries = Vec::new();
        let mut last = None;
        for turn in 0..=MAX_RETRIES {
            let own_id = if turn == 0 { id.clone() } else { format!("{id}-again-{turn}") };
            let machine = fronts[(number + turn) % fronts.len()];
            let reply = attempt(machine, number, &own_id, last.map(|last| (id.as_str(), last)));
            let is_complete =
                reply.as_ref().is_some_and(|reply| reply.status == 200 && reply.is_complete);
            let newest =
                reply.as_ref().and_then(|reply| reply.events().last().map(|event| event.0));
            last = newest.or(last);
            let pause = reply.as_ref().and_then(|reply| reply.header("retry-after")?.parse().ok());
            tries.push((own_id, reply));
            if is_complete {
                break;
            }
            let pause = pause.map_or(Duration::ZERO, Duration::from_secs_f64);
            thread::sleep(pause.max(RETRY_PAUSE * 2_u32.pow(turn as u32)));
        }
        tries
    })
}

/// Other clients, who begin short streams; returns how many began.
fn spawn_others(fronts: Vec<SocketAddr>, is_over: Arc<AtomicBool>) -> JoinHandle<usize> {
    thread::spawn(move || {
        let ends_at = Instant::now() + NEW_TIME;
        let mut begun = 0;
        for number in 0.. {
            if Instant::now() >= ends_at || is_over.load(Ordering::SeqCst) {
                return begun;
            }
            let id = format!("other-{number:03}");
            let text = text_of(STREAMS + number, &id, SHORT_STREAM, None);
            if let Some(stream) = connect(fronts[number % fronts.len()])
                && (&stream).write_all(text.as_bytes()).is_ok()
            {
                begun += 1;
                thread::spawn(move || read_reply(&mut BufReader::new(&stream)));
            }
            thread::sleep(NEW_INTERVAL);
        }
        begun
    })
}

fn attempt(
    machine: SocketAddr,
    number: usize,
    id: &str,
    origin: Option<(&str, u64)>,
) -> Option<Reply> {
    let stream = connect(machine)?;
    (&stream).write_all(text_of(number, id, LONG_STREAM, origin).as_bytes()).ok()?;
    read_reply(&mut BufReader::new(&stream))
}

fn text_of(number: usize, id: &str, events: u64, origin: Option<(&str, u64)>) -> String {
    let mut lines = client_lines(id, DEADLINE_MS);
    lines.extend(prompt_lines(number, events));
    if let Some((origin, last)) = origin {
        lines.push(("Last-Event-Id", last.to_string()));
        lines.push(("Resumes", origin.to_owned()));
    }
    format!("{}Content-Length: 1\r\n\r\nx", head("POST", "/chat/a", &lines))
}
