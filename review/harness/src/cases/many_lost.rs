//! Most daemons of a larger fleet are killed at once while servers of two versions serve. Those that are left know
//! which version began few of the streams, and refuse the others.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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

/// Daemons of the zone in which all are killed.
const LOST_DAEMONS: usize = 14;
/// Daemons of the other zone.
const OTHER_DAEMONS: usize = 2;
/// Streams through each of the daemons that are killed.
const STREAMS: usize = 4;
/// Time in which the daemons get to know each other.
const CALM: Duration = Duration::from_millis(4_000);
/// Time from the last stream's begin until the daemons are killed.
const LOSS_DELAY: Duration = Duration::from_millis(2_000);
/// Time from then until they are started again. By then two readiness checks have failed, and the platform sends
/// clients to the other zone.
const ROTATION: Duration = Duration::from_millis(2_000);
/// How long clients wait in all.
const DEADLINE: Duration = Duration::from_millis(12_000);
/// Tries of a client at the other zone.
const TRIES: usize = 3;
/// New streams that are begun at the other zone meanwhile.
const NEW_STREAMS: usize = 24;
/// Streams that have to be taken up for the rule to apply.
const MIN_TAKEN_UP: usize = 12;

/// What became of streams: how many there were, and how many went on or began.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    all: usize,
    served: usize,
}

impl Share {
    fn value(self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

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
    for (id, version) in [("i-0", "v1"), ("i-1", "v1"), ("i-2", "v2"), ("i-3", "v2")] {
        let server = fleet.start_server(id, version, None)?;
        fleet.register(&server, "ready");
        servers.push(server);
    }
    let mut lost = Vec::new();
    for _ in 0..LOST_DAEMONS {
        lost.push(fleet.start_daemon_in("recife-a")?);
    }
    let mut others = Vec::new();
    for _ in 0..OTHER_DAEMONS {
        others.push(fleet.start_daemon_in("recife-b")?);
    }
    thread::sleep(CALM);
    let other_fronts: Vec<_> = others.iter().map(|daemon| daemon.front).collect();
    let is_rotated = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..LOST_DAEMONS * STREAMS {
        let (record, is_rotated) = (record.clone(), is_rotated.clone());
        let fronts = (lost[client % LOST_DAEMONS].front, other_fronts.clone());
        clients.push(thread::spawn(move || follow(&record, client, &fronts, &is_rotated)));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(LOSS_DELAY);
    if has_trouble {
        lost.iter_mut().for_each(|daemon| daemon.kill());
        record.add("all daemons of zone recife-a are killed");
    }
    thread::sleep(ROTATION);
    is_rotated.store(true, Ordering::SeqCst);
    if has_trouble {
        for daemon in &mut lost {
            daemon.start_again()?;
        }
        record.add("they are started again");
    }
    let mut new = Share::default();
    for number in 0..NEW_STREAMS {
        let id = format!("new-{number}");
        let text = request("POST", "/chat/y?events=2&gap_ms=5", &id, 2_500, "");
        let front = other_fronts[number % OTHER_DAEMONS];
        let answer = exchange(front, &text, Duration::from_millis(2_500), FullSpeed);
        record.add(&format!("client got {id}: status {}", answer.status));
        new.all += 1;
        new.served += usize::from(!events(&answer).is_empty());
    }
    let mut taken_up = Share::default();
    for client in clients {
        let went_on = client.join().map_err(|_| io::Error::other("a client failed"))?;
        taken_up.all += usize::from(went_on.is_some());
        taken_up.served += usize::from(went_on == Some(true));
    }
    record.say(&format!(
        "{} of {} streams that were taken up went on; {} of {} new ones began",
        taken_up.served, taken_up.all, new.served, new.all
    ));
    let is_broken = taken_up.all >= MIN_TAKEN_UP && taken_up.value() < new.value() / 2.0;
    Ok(usize::from(is_broken))
}

/// Reads a stream and, if it breaks off, takes it up at the other zone; returns whether it went on then, or
/// `None` if it did not break off.
fn follow(
    record: &Record,
    client: usize,
    (front, others): &(SocketAddr, Vec<SocketAddr>),
    is_rotated: &AtomicBool,
) -> Option<bool> {
    let begun = Instant::now();
    let path = "/chat/x?events=100&gap_ms=70";
    let first = format!("chat-{client}-0");
    let text = request("POST", path, &first, 12_000, "");
    let answer = exchange(*front, &text, DEADLINE, FullSpeed);
    let got = events(&answer);
    let (last, _, _) = got.last()?.clone();
    record.add(&format!(
        "client got {first}: status {}, complete: {}, events to {last} of {} ({})",
        answer.status, answer.is_complete, got[0].1, answer.cause
    ));
    if answer.is_complete {
        return None;
    }
    while !is_rotated.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
    for attempt in 1..=TRIES {
        let id = format!("chat-{client}-{attempt}");
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let lines = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        let left_ms = u64::try_from(left.as_millis()).unwrap_or_default();
        let text = request("POST", path, &id, left_ms, &lines);
        let front = others[(client + attempt) % others.len()];
        let answer = exchange(front, &text, left, FullSpeed);
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
