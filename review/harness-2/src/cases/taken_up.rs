//! All daemons are killed at once while servers of two software versions serve. Streams that clients take up when the
//! daemons are in touch again have to go on, as most new streams begin.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
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
use crate::record::Record;

/// Versions of the servers, which serve side by side all the time.
const VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];
const MACHINES: usize = 3;
/// Streams that are taken up; the rule asks for 12 or more.
const STREAMS: usize = 18;
/// Time budget of a client, in milliseconds.
const DEADLINE_MS: u64 = 12_000;
/// Milliseconds for which all servers have run before.
const SERVER_AGE_MS: u64 = 60_000;
/// Time from the start of the streams until the daemons are killed, or the clients break their channels.
const UNTIL_TROUBLE: Duration = Duration::from_millis(1_500);
/// Time for which the daemons are down.
const DOWN_TIME: Duration = Duration::from_millis(1_200);
/// Time from the start of the daemons until clients take their streams up: more than `StableMs`.
const UNTIL_TAKEN_UP: Duration = Duration::from_millis(3_600);

pub fn run(options: &CaseOptions, record: &Arc<Record>) -> Verdict {
    let mut fleet = Fleet::new(&config());
    for (number, mut version) in VERSIONS.into_iter().enumerate() {
        if options.variant == "one-version" {
            version = VERSIONS[0];
        }
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

    let is_broken = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let machine = fleet.machines[number % MACHINES].front;
            let is_broken = is_broken.clone();
            let id = format!("stream-{number:02}");
            thread::spawn(move || (id.clone(), begin(machine, number, &id, &is_broken)))
        })
        .collect();
    thread::sleep(UNTIL_TROUBLE);
    if options.has_trouble {
        fleet.kill_machines();
        record.line("disruption: all daemons are killed at once");
    }
    is_broken.store(true, Ordering::SeqCst);
    let begun: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("a client")).collect();
    thread::sleep(DOWN_TIME);
    if options.has_trouble {
        fleet.start_machines();
        record.line("all daemons have been started again and are ready");
    }
    thread::sleep(UNTIL_TAKEN_UP);
    record.line("the daemons have run for more than StableMs; clients take their streams up, and others begin new ones");
    let fronts: Vec<_> = fleet.machines.iter().map(|machine| machine.front).collect();
    let attempts: Vec<_> = begun
        .into_iter()
        .enumerate()
        .flat_map(|(number, (id, last))| {
            let machine = fronts[(number + 1) % MACHINES];
            let new_id = format!("new-{number:02}");
            let new = thread::spawn(move || {
                (new_id.clone(), false, attempt(machine, STREAMS + number, &new_id, None))
            });
            let again = last.map(|last| {
                let again_id = format!("{id}-again");
                thread::spawn(move || {
                    let reply = attempt(machine, number, &again_id, Some((&id, last)));
                    (format!("{again_id} after event {last}"), true, reply)
                })
            });
            again.into_iter().chain([new])
        })
        .collect();
    let results: Vec<_> =
        attempts.into_iter().map(|attempt| attempt.join().expect("a client")).collect();
    judge(&results, record)
}

fn judge(results: &[(String, bool, Option<Reply>)], record: &Record) -> Verdict {
    let (mut taken_up, mut went_on, mut new, mut began) = (0, 0, 0, 0);
    for (id, is_again, reply) in results {
        let has_events = reply.as_ref().is_some_and(|reply| !reply.events().is_empty());
        let (status, body) = match reply {
            Some(reply) if reply.status == 200 => (200, format!("{} events", reply.events().len())),
            Some(reply) => (reply.status, reply.body.clone()),
            None => (0, "no answer".to_owned()),
        };
        record.line(&format!("answered: {id} status {status} {body}"));
        let counts = if *is_again { (&mut taken_up, &mut went_on) } else { (&mut new, &mut began) };
        *counts.0 += 1;
        *counts.1 += usize::from(has_events);
    }
    record.line(&format!(
        "LOST: {went_on} of {taken_up} streams that were taken up went on; {began} of {new} new ones began"
    ));
    // The share that goes on is under half of the share that begins.
    match taken_up >= 12 && 2 * went_on * new < began * taken_up {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Begins a stream and reads it until its channel breaks, or is to be broken by the client; returns the last event.
fn begin(machine: SocketAddr, number: usize, id: &str, is_broken: &AtomicBool) -> Option<u64> {
    let stream = connect(machine)?;
    let mut lines = client_lines(id, DEADLINE_MS);
    lines.extend(prompt_lines(number, LONG_STREAM));
    let text = head("POST", "/chat/a", &lines);
    (&stream).write_all(format!("{text}Content-Length: 1\r\n\r\nx").as_bytes()).ok()?;
    let closer = stream.try_clone().ok()?;
    thread::scope(|scope| {
        scope.spawn(move || {
            while !is_broken.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
            // It may be closed already.
            let _ = closer.shutdown(std::net::Shutdown::Both);
        });
        let reply = read_reply(&mut BufReader::new(&stream))?;
        reply.events().last().map(|(last, _)| *last)
    })
}

fn attempt(
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
