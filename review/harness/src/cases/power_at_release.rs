//! One machine of ten loses power, and a release begins before its clients notice. No other daemon knows the
//! streams that it had begun, and all refuse to go on with them.
//!
//! A machine without power sends nothing: its daemon is stopped, and killed and started again when the power is
//! back.

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

/// Daemons, of which one loses power: a tenth.
const DAEMONS: usize = 10;
/// Servers of the old version, which all serve to the end.
const SERVERS: usize = 4;
/// Time for which all is calm before the first stream: longer than a stream can last.
const CALM: Duration = Duration::from_millis(20_000);
/// Streams through the daemon that loses power.
const STREAMS: usize = 24;
/// Time from the last stream's begin until the power is lost.
const LOSS_DELAY: Duration = Duration::from_millis(1_500);
/// Time from then until the first server of the new version joins.
const RELEASE_DELAY: Duration = Duration::from_millis(700);
/// Gap after which clients give a stream up: four times `GoalMs`, eight times `GapTargetMs`.
const PATIENCE: Duration = Duration::from_millis(2_400);
/// Time for which the machine is dark.
const DARK: Duration = Duration::from_millis(3_000);
/// How long clients wait in all.
const DEADLINE: Duration = Duration::from_millis(12_000);
/// Tries of a client beyond the first one.
const RETRIES: usize = 3;
/// New streams that are begun at the other daemons meanwhile.
const NEW_STREAMS: usize = 24;
/// Streams that have to be taken up for the rule to apply.
const MIN_TAKEN_UP: usize = 12;

/// Plays the case; returns 1 if the streams that go on are under half of those that begin, by their shares.
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
        let server = fleet.start_server(&format!("i-{number}"), "v1", None)?;
        fleet.register(&server, "ready");
        servers.push(server);
    }
    let mut daemons = Vec::new();
    for _ in 0..DAEMONS {
        daemons.push(fleet.start_daemon()?);
    }
    fleet.pause(&servers, CALM);
    let mut lost = daemons.remove(0);
    let others: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let mut clients = Vec::new();
    for client in 0..STREAMS {
        let (record, fronts) = (record.clone(), (lost.front, others.clone()));
        clients.push(thread::spawn(move || follow(&record, client, &fronts)));
        thread::sleep(Duration::from_millis(5));
    }
    fleet.pause(&servers, LOSS_DELAY);
    if has_trouble {
        lost.signal("STOP")?;
        record.add("the machine of daemon 1 loses power");
    }
    let lost_at = Instant::now();
    fleet.pause(&servers, RELEASE_DELAY);
    servers.push(fleet.start_server("i-new", "v2", None)?);
    fleet.register(&servers[SERVERS], "ready");
    fleet.pause(&servers, PATIENCE.saturating_sub(lost_at.elapsed()));
    let (mut new, mut begun) = (0, 0);
    for number in 0..NEW_STREAMS {
        let id = format!("new-{number}");
        let text = request("POST", "/chat/y?events=2&gap_ms=5", &id, 2_500, "");
        let front = others[number % others.len()];
        let answer = exchange(front, &text, Duration::from_millis(2_500), FullSpeed);
        record.add(&format!("client got {id}: status {}", answer.status));
        new += 1;
        begun += usize::from(!events(&answer).is_empty());
    }
    fleet.pause(&servers, DARK.saturating_sub(lost_at.elapsed()));
    if has_trouble {
        lost.kill();
        lost.start_again()?;
        record.add("the machine has power again, and daemon 1 starts");
    }
    let (mut taken_up, mut went_on) = (0, 0);
    for client in clients {
        let outcome = client.join().map_err(|_| io::Error::other("a client failed"))?;
        taken_up += usize::from(outcome.is_some());
        went_on += usize::from(outcome == Some(true));
    }
    record.say(&format!(
        "{went_on} of {taken_up} streams that were taken up went on; {begun} of {new} new ones began"
    ));
    // Half of the share of new streams that begin: went_on / taken_up < begun / new / 2.
    let is_broken = taken_up >= MIN_TAKEN_UP && went_on * new * 2 < begun * taken_up;
    Ok(usize::from(is_broken))
}

/// Reads a stream and, if it falls silent or breaks off, takes it up at other daemons; returns whether it went
/// on there, or `None` if it was complete.
fn follow(
    record: &Record,
    client: usize,
    (front, others): &(SocketAddr, Vec<SocketAddr>),
) -> Option<bool> {
    let begun = Instant::now();
    let path = "/chat/x?events=100&gap_ms=70";
    let first = format!("chat-{client}-0");
    let text = request("POST", path, &first, 12_000, "");
    let answer = exchange(*front, &text, PATIENCE, FullSpeed);
    let got = events(&answer);
    let (last, _, _) = got.last()?.clone();
    record.add(&format!(
        "client got {first}: status {}, complete: {}, events to {last} of {} ({})",
        answer.status, answer.is_complete, got[0].1, answer.cause
    ));
    if answer.is_complete {
        return None;
    }
    for attempt in 1..=RETRIES {
        let id = format!("chat-{client}-{attempt}");
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let lines = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        let left_ms = u64::try_from(left.as_millis()).unwrap_or_default();
        let text = request("POST", path, &id, left_ms, &lines);
        let answer =
            exchange(others[(client + attempt) % others.len()], &text, PATIENCE, FullSpeed);
        let events = events(&answer);
        record.add(&format!(
            "client got {id}: status {}, {} events {}",
            answer.status,
            events.len(),
            if answer.status == 200 { String::new() } else { answer.text() },
        ));
        if !events.is_empty() {
            return Some(true);
        }
        let seconds = answer.head.header("retry-after").parse::<f64>().unwrap_or(0.05);
        thread::sleep(Duration::from_secs_f64(seconds));
    }
    Some(false)
}
