//! All daemons are killed just after the servers of the old version have left, and the store has discarded its
//! history: the daemons take the version that is left for the only one, and streams go on there.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::Route;
use crate::fleet::Server;
use crate::fleet::events;
use crate::fleet::request;
use crate::http::FullSpeed;
use crate::http::exchange;
use crate::record::Record;

/// Streams that are followed.
const STREAMS: usize = 24;
/// Events of a stream, 100 ms apart.
const EVENTS: u64 = 90;
/// `HeartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Heartbeats before the first stream: the servers are older than the history that the store keeps (20 s).
const CALM_BEATS: usize = 18;
/// Time from the first stream until the entries of the old version's servers are removed.
const LEAVE_DELAY: Duration = Duration::from_millis(1_500);
/// Time from then until the store discards its history.
const DISCARD_DELAY: Duration = Duration::from_millis(700);
/// Time from then until all daemons are killed: the old servers still serve, for `DrainMs` and a little longer.
const KILL_DELAY: Duration = Duration::from_millis(500);
/// Time until they start again.
const DOWN: Duration = Duration::from_millis(500);
/// How long clients wait in all.
const DEADLINE: Duration = Duration::from_millis(12_000);
/// Tries of a client beyond the first one.
const RETRIES: usize = 3;

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
    for (id, version) in [("i-0", "v1"), ("i-1", "v1"), ("i-2", "v2"), ("i-3", "v2")] {
        let server = fleet.start_server(id, version, None)?;
        fleet.register(&server, "ready");
        servers.push(server);
    }
    let (old, new) = servers.split_at(2);
    let mut daemons = [fleet.start_daemon()?, fleet.start_daemon()?];
    for _ in 0..CALM_BEATS {
        thread::sleep(HEARTBEAT);
        beat(&fleet, &servers);
    }
    let fronts = daemons.each_ref().map(|daemon| daemon.front);
    let clients: Vec<_> = (0..STREAMS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || follow(&record, client, fronts))
        })
        .collect();
    thread::sleep(LEAVE_DELAY);
    beat(&fleet, new);
    old.iter().for_each(|server| fleet.unregister(server));
    thread::sleep(DISCARD_DELAY);
    if has_trouble {
        fleet.store.discard_history();
        record.add("the store discards its history");
    }
    thread::sleep(KILL_DELAY);
    beat(&fleet, new);
    if has_trouble {
        daemons.iter_mut().for_each(|daemon| daemon.kill());
        record.add("all daemons are killed");
        thread::sleep(DOWN);
        for daemon in &mut daemons {
            daemon.restart()?;
        }
        record.add("all daemons are ready again");
    }
    let mut joined = 0;
    for client in clients {
        joined += usize::from(client.join().map_err(|_| io::Error::other("a client failed"))?);
    }
    record.say(&format!("{joined} streams hold events of two versions; two are allowed"));
    Ok(joined.saturating_sub(2))
}

/// Writes the heartbeats of servers.
fn beat(fleet: &Fleet, servers: &[Server]) {
    servers.iter().for_each(|server| fleet.register(server, "ready"));
}

/// Reads a stream and takes it up again when it breaks off; returns whether it holds events of two versions.
fn follow(record: &Record, client: usize, fronts: [SocketAddr; 2]) -> bool {
    let begun = Instant::now();
    let mut versions = BTreeSet::new();
    let (mut last, mut first_attempt) = (0, String::new());
    let mut attempt = 0;
    while attempt <= RETRIES && begun.elapsed() < DEADLINE {
        let id = format!("chat-{client}-{attempt}");
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let lines = match last {
            0 => String::new(),
            _ => format!("Last-Event-Id: {last}\r\nResumes: {first_attempt}\r\n"),
        };
        let left_ms = u64::try_from(left.as_millis()).unwrap_or_default();
        let path = format!("/chat/x?events={EVENTS}&gap_ms=100");
        let text = request("POST", &path, &id, left_ms, &lines);
        let front = fronts[(client + attempt) % 2];
        let answer = exchange(front, &text, left, FullSpeed);
        if answer.status == 0 {
            // No daemon listens; the platform lets clients connect once one does.
            thread::sleep(Duration::from_millis(50));
            continue;
        }
        let events = events(&answer);
        record.add(&format!(
            "client got {id} (last event {last}): status {}, complete: {}, {} events from {} ({}) {}",
            answer.status,
            answer.is_complete,
            events.len(),
            events.first().map_or("-".to_owned(), |(id, version, server)| {
                format!("event {id} of {server} {version}")
            }),
            answer.cause,
            if answer.status == 200 { String::new() } else { answer.text() },
        ));
        if last == 0 && !events.is_empty() {
            first_attempt.clone_from(&id);
        }
        last = events.last().map_or(last, |(event, _, _)| *event);
        versions.extend(events.into_iter().map(|(_, version, _)| version));
        if answer.status == 200 && answer.is_complete {
            break;
        }
        let seconds = answer.head.header("retry-after").parse::<f64>().unwrap_or(0.05);
        let left = DEADLINE.saturating_sub(begun.elapsed());
        thread::sleep(Duration::from_secs_f64(seconds).min(left / 3));
        attempt += 1;
    }
    let is_joined = versions.len() > 1;
    if is_joined {
        record.add(&format!("client {client}: one stream with events of {versions:?}  <- BROKEN"));
    }
    is_joined
}
