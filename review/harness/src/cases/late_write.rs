//! During a release, the last server of the old version starts again under its id with the new version, as
//! planned. A heartbeat of its former lifetime, whose answer was lost, is done late: until the next heartbeat,
//! streams that the old version began are taken up there.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::Route;
use crate::fleet::events;
use crate::fleet::request;
use crate::http::FullSpeed;
use crate::http::exchange;
use crate::record::Record;

/// Servers, of which the first one starts again.
const SERVERS: usize = 4;
/// Streams that are followed.
const STREAMS: usize = 48;
/// Events of a stream, 60 ms apart.
const EVENTS: u64 = 80;
/// How long clients wait in all.
const DEADLINE: Duration = Duration::from_millis(12_000);
/// Tries of a client beyond the first one.
const RETRIES: usize = 3;
/// Time from the first stream until the server's last heartbeat before it leaves.
const BEAT_DELAY: Duration = Duration::from_millis(1_200);
/// Time from that heartbeat until the server reports that it drains.
const DRAIN_DELAY: Duration = Duration::from_millis(300);
/// Time from then until the server exits: `DrainMs` is 2,000, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_300);
/// Time until it starts again.
const DOWN: Duration = Duration::from_millis(300);
/// Time from its start until the late write is done: 3.3 s after it was sent; 1 to 6 s are allowed.
const LATE_DELAY: Duration = Duration::from_millis(400);
/// Time from then until the next heartbeat: `HeartbeatMs` is 1,200.
const NEXT_BEAT: Duration = Duration::from_millis(800);
/// Time in which the streams end.
const STREAM_TIME: Duration = Duration::from_millis(6_000);

/// Plays the case; returns the number of streams with events of two versions, beyond the two allowed.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<usize> {
    let routes = [Route {
        name: "chat",
        kind: "streaming",
        can_resume: true,
        attempts: 2,
        timeout_ms: 12_000,
    }];
    let mut fleet = Fleet::start(record, &routes)?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let version = if number == 0 { "v1" } else { "v2" };
        let server = fleet.start_server(&format!("i-{number}"), version, None)?;
        fleet.register(&server, "ready");
        servers.push(server);
    }
    let daemons = [fleet.start_daemon()?, fleet.start_daemon()?];
    let fronts = daemons.each_ref().map(|daemon| daemon.front);
    let mut clients = Vec::new();
    for client in 0..STREAMS {
        let record = record.clone();
        clients.push(thread::spawn(move || follow(&record, client, fronts)));
        thread::sleep(Duration::from_millis(5));
    }
    fleet.pause(&servers[1..], BEAT_DELAY);
    let late_entry = fleet.entry(&servers[0], "ready");
    if !has_trouble {
        fleet.write_entry(&servers[0], &late_entry);
    } else {
        record.add("server i-0 sends a heartbeat that is done late");
    }
    fleet.pause(&servers[1..], DRAIN_DELAY);
    servers[0].leave();
    fleet.register(&servers[0], "draining");
    fleet.pause(&servers[1..], DRAIN);
    let address = servers[0].address;
    servers[0].kill();
    record.add("server i-0 exits");
    fleet.pause(&servers[1..], DOWN);
    servers[0] = fleet.start_server("i-0", "v2", Some(address))?;
    fleet.register(&servers[0], "ready");
    fleet.pause(&servers[1..], LATE_DELAY);
    if has_trouble {
        fleet.write_entry(&servers[0], &late_entry);
        record.add("that was the late heartbeat of its former lifetime");
    }
    fleet.pause(&servers[1..], NEXT_BEAT);
    fleet.register(&servers[0], "ready");
    fleet.pause(&servers, STREAM_TIME);
    let mut joined = 0;
    for client in clients {
        joined += usize::from(client.join().map_err(|_| io::Error::other("a client failed"))?);
    }
    record.say(&format!("{joined} streams hold events of two versions; two are allowed"));
    Ok(joined.saturating_sub(2))
}

/// Reads a stream and takes it up again when it breaks off; returns whether it holds events of two versions.
fn follow(record: &Record, client: usize, fronts: [SocketAddr; 2]) -> bool {
    let begun = Instant::now();
    let mut versions = BTreeSet::new();
    let (mut last, mut first_attempt) = (0, String::new());
    for attempt in 0..=RETRIES {
        let id = format!("chat-{client}-{attempt}");
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let lines = match last {
            0 => String::new(),
            _ => format!("Last-Event-Id: {last}\r\nResumes: {first_attempt}\r\n"),
        };
        let left_ms = u64::try_from(left.as_millis()).unwrap_or_default();
        let path = format!("/chat/x?events={EVENTS}&gap_ms=60");
        let text = request("POST", &path, &id, left_ms, &lines);
        record.add(&format!("client sends {id}, last event {last}, resumes {first_attempt:?}"));
        let answer = exchange(fronts[(client + attempt) % 2], &text, left, FullSpeed);
        let events = events(&answer);
        let (came_from, is_complete) = (events.first().cloned(), answer.is_complete);
        record.add(&format!(
            "client got {id}: status {}, complete: {is_complete}, {} events from {} ({}) {}",
            answer.status,
            events.len(),
            events.first().map_or("-".to_owned(), |(id, version, server)| {
                format!("event {id} of {server} {version}")
            }),
            answer.cause,
            if answer.status == 200 { String::new() } else { answer.text() },
        ));
        if last == 0 && came_from.is_some() {
            first_attempt.clone_from(&id);
        }
        last = events.last().map_or(last, |(event, _, _)| *event);
        versions.extend(events.into_iter().map(|(_, version, _)| version));
        if answer.status == 200 && is_complete {
            break;
        }
        let seconds = answer.head.header("retry-after").parse::<f64>().unwrap_or(0.05);
        let left = DEADLINE.saturating_sub(begun.elapsed());
        thread::sleep(Duration::from_secs_f64(seconds).min(left / 3));
    }
    let is_joined = versions.len() > 1;
    if is_joined {
        record.add(&format!("client {client}: one stream with events of {versions:?}  <- BROKEN"));
    }
    is_joined
}
