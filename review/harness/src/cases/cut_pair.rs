//! A zone with two daemons is cut off while a server of another software version joins elsewhere. Streams that
//! began there are taken up in the cut zone: each of its daemons confirms what the other one no longer knows.

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
use crate::relay::Relay;
use crate::store::Store;

/// The zone that is cut off, with two daemons.
const CUT_ZONE: &str = "attica-a";
/// The other zone, with one daemon.
const OTHER_ZONE: &str = "attica-c";
/// Streams that are followed.
const STREAMS: usize = 24;
/// Time before the cut: daemons take a service for one with a single version only if they have seen it for
/// longer than a stream can last.
const CALM: Duration = Duration::from_millis(19_000);
/// Time from the cut until a server of the new version joins.
const JOIN_DELAY: Duration = Duration::from_millis(300);
/// Time that the other daemon has to learn of it.
const LEARN_TIME: Duration = Duration::from_millis(400);
/// Time from the first stream until the daemon of the other zone is killed.
const KILL_DELAY: Duration = Duration::from_millis(800);
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
    // What daemons of the zone that is cut off read: the same, with links between the zones.
    let behind_link = Store::start()?;
    behind_link.put("op/config", &fleet.config);
    let store_link = Relay::start(behind_link.address)?;
    let near = [fleet.start_server("i-0", "v1", None)?, fleet.start_server("i-1", "v1", None)?];
    let far = fleet.start_server("i-2", "v1", None)?;
    let mut links = vec![store_link];
    for server in &near {
        let link = Relay::start(server.address)?;
        fleet.register_at(&behind_link, server, server.address, CUT_ZONE, "ready");
        fleet.register_at(&fleet.store, server, link.address, CUT_ZONE, "ready");
        links.push(link);
    }
    let link = Relay::start(far.address)?;
    fleet.register_at(&behind_link, &far, link.address, OTHER_ZONE, "ready");
    fleet.register_at(&fleet.store, &far, far.address, OTHER_ZONE, "ready");
    links.push(link);
    let cut = [
        fleet.start_daemon_in(CUT_ZONE, links[0].address, 1)?,
        fleet.start_daemon_in(CUT_ZONE, links[0].address, 1)?,
    ];
    let store = fleet.store.address;
    let mut other = fleet.start_daemon_in(OTHER_ZONE, store, 3)?;
    thread::sleep(CALM);
    if has_trouble {
        links.iter().for_each(Relay::cut);
        record.add("zone attica-a is cut off from the store and the other zone");
    }
    thread::sleep(JOIN_DELAY);
    let new = fleet.start_server("i-3", "v2", None)?;
    let link = Relay::start(new.address)?;
    fleet.register_at(&fleet.store, &new, new.address, OTHER_ZONE, "ready");
    fleet.register_at(&behind_link, &new, link.address, OTHER_ZONE, "ready");
    record.add("store: servers/i-3 is ready, version v2");
    if has_trouble {
        link.cut();
    }
    thread::sleep(LEARN_TIME);
    let fronts = [other.front, cut[0].front, cut[1].front];
    let clients: Vec<_> = (0..STREAMS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || follow(&record, client, fronts))
        })
        .collect();
    thread::sleep(KILL_DELAY);
    if has_trouble {
        other.kill();
        record.add("the daemon of attica-c is killed");
    }
    let mut joined = 0;
    for client in clients {
        joined += usize::from(client.join().map_err(|_| io::Error::other("a client failed"))?);
    }
    record.say(&format!("{joined} streams hold events of two versions; two are allowed"));
    Ok(joined.saturating_sub(2))
}

/// Reads a stream at the first daemon, and takes it up again at the others when it breaks off; returns whether
/// it holds events of two versions.
fn follow(record: &Record, client: usize, fronts: [SocketAddr; 3]) -> bool {
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
        let text = request("POST", "/chat/x?events=50&gap_ms=60", &id, left_ms, &lines);
        let front = if attempt == 0 { fronts[0] } else { fronts[1 + (client + attempt) % 2] };
        record.add(&format!("client sends {id} to {front}, last event {last}"));
        let answer = exchange(front, &text, left, FullSpeed);
        let events = events(&answer);
        record.add(&format!(
            "client got {id}: status {}, complete: {}, {} events from {} ({}) {}",
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
    }
    let is_joined = versions.len() > 1;
    if is_joined {
        record.add(&format!("client {client}: one stream with events of {versions:?}  <- BROKEN"));
    }
    is_joined
}
