//! A server that leaves is gone before its answers are whole, which have no length: clients are told that
//! they are complete.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::Route;
use crate::fleet::events;
use crate::fleet::request;
use crate::http::Answer;
use crate::http::FullSpeed;
use crate::http::exchange;
use crate::record::Record;
use crate::server::buffered_body;

/// Servers, of which one leaves: a quarter.
const SERVERS: usize = 4;
/// Streams and other requests that each daemon gets.
const REQUESTS: usize = 12;
/// Events of a stream, 70 ms apart: about 4.2 s.
const EVENTS: u64 = 60;
/// Bytes in the body of an answer that is no stream.
const BODY_BYTES: usize = 800;
/// Time from the first requests until the server gives notice.
const NOTICE_DELAY: Duration = Duration::from_millis(500);
/// Time from the notice until the server is gone: a little over `DrainMs`.
const NOTICE: Duration = Duration::from_millis(2_200);
/// How long clients wait.
const DEADLINE_MS: u64 = 12_000;

/// Plays the case; returns the number of answers that looked complete and were not.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<usize> {
    let route =
        |name, kind| Route { name, kind, can_resume: false, attempts: 1, timeout_ms: DEADLINE_MS };
    let routes = [route("talk", "streaming"), route("once", "non_idempotent")];
    let mut fleet = Fleet::start(record, &routes)?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = fleet.start_server(&format!("i-{number}"), "v1", None)?;
        fleet.register(&server, "ready");
        servers.push(server);
    }
    let daemons = [fleet.start_daemon()?, fleet.start_daemon()?];
    let mut clients = Vec::new();
    for (number, daemon) in daemons.iter().enumerate() {
        for client in 0..REQUESTS {
            let id = format!("talk-{number}-{client}");
            let path = format!("/talk/x?events={EVENTS}&gap_ms=70&frame=close");
            clients.push(send(record, daemon.front, path, id));
            let id = format!("once-{number}-{client}");
            let path = format!("/once/x?size={BODY_BYTES}&pause_ms=4000&frame=close");
            clients.push(send(record, daemon.front, path, id));
        }
    }
    fleet.pause(&servers, NOTICE_DELAY);
    if has_trouble {
        servers[0].leave();
        fleet.register(&servers[0], "draining");
        fleet.pause(&servers[1..], NOTICE);
        servers[0].kill();
        record.add(&format!("server {} is gone", servers[0].id));
    }
    let mut faults = 0;
    for client in clients {
        let (id, answer) = client.join().map_err(|_| io::Error::other("a client failed"))?;
        faults += usize::from(is_cut_off_unnoticed(record, &id, &answer));
    }
    Ok(faults)
}

fn send(
    record: &Record,
    address: SocketAddr,
    path: String,
    id: String,
) -> JoinHandle<(String, Answer)> {
    let record = record.clone();
    thread::spawn(move || {
        record.add(&format!("client sends {id} {path}"));
        let text = request("POST", &path, &id, DEADLINE_MS, "");
        let answer = exchange(address, &text, Duration::from_millis(DEADLINE_MS), FullSpeed);
        (id, answer)
    })
}

/// Whether a client got an answer that looks complete, with a part of what the server would have sent.
fn is_cut_off_unnoticed(record: &Record, id: &str, answer: &Answer) -> bool {
    let is_whole = match id.starts_with("talk") {
        true => events(answer).last().is_some_and(|(event, _, _)| *event == EVENTS),
        false => answer.text() == buffered_body(BODY_BYTES),
    };
    let is_fault = answer.status == 200 && answer.is_complete && !is_whole;
    record.add(&format!(
        "client got {id}: status {}, looks complete: {}, {} bytes, {} events, is whole: {is_whole}{}{}",
        answer.status,
        answer.is_complete,
        answer.body.len(),
        events(answer).len(),
        if answer.cause.is_empty() { String::new() } else { format!(" ({})", answer.cause) },
        if is_fault { "  <- BROKEN" } else { "" },
    ));
    is_fault
}
