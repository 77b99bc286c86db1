//! A server sends an error answer that has no length and ends with its channel, and crashes in the middle of it. The
//! part must not look like a complete answer.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::WireRequest;

use crate::CaseOptions;
use crate::Verdict;
use crate::client::connect;
use crate::client::exchange;
use crate::client::head;
use crate::fleet::Fleet;
use crate::fleet::client_lines;
use crate::fleet::config;
use crate::fleet::unix_millis;
use crate::record::Record;

/// Servers; a request may crash two of them, a quarter.
const SERVERS: usize = 8;
/// Routes of the requests.
const ROUTES: [&str; 4] = ["talk", "chat", "once", "read"];
/// Whole text of the error answer.
const WHOLE: &str =
    "the model could not be loaded: step 1 of 2 failed; step 2 of 2 failed; nothing was written\n";
/// Bytes of it that are sent before the crash.
const SENT_BYTES: usize = 40;
/// Time between the two halves.
const HALF_TIME: Duration = Duration::from_millis(100);

pub fn run(options: &CaseOptions, record: &Arc<Record>) -> Verdict {
    let mut broken = 0;
    for route in ROUTES {
        broken += run_route(route, options, record);
    }
    record.line(&format!(
        "MIXED: {broken} answers of {} ended early and looked complete; allowed are 0",
        ROUTES.len()
    ));
    match broken > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends one request on a route; returns the number of answers that ended early and looked complete.
fn run_route(route: &str, options: &CaseOptions, record: &Record) -> usize {
    let mut fleet = Fleet::new(&config());
    let has_trouble = options.has_trouble;
    for number in 0..SERVERS {
        fleet.add_server(&format!("i-{number}"), "v1");
        fleet.register(number, "s", "ready", unix_millis());
        fleet.servers[number]
            .set_script(move |request, stream| send_error(has_trouble, request, stream));
    }
    fleet.add_machines(1);
    fleet.start_machines();
    let id = format!("request-{route}");
    let channel = connect(fleet.machines[0].front).expect("a channel");
    let text = head("POST", &format!("/{route}/a"), &client_lines(&id, 4_000));
    let reply = exchange(&channel, &text, "x");
    for (number, server) in fleet.servers.iter().enumerate() {
        for request in server.requests() {
            record.line(&format!("run: server {number} attempt {}", request.attempt_id()));
        }
    }
    let Some(reply) = reply else {
        record.line(&format!("answered: {id} no answer"));
        return 0;
    };
    let has_stamp = reply.header("x-server-stamp").is_some();
    record.line(&format!(
        "answered: {id} status {} stamp {has_stamp} length {:?} whole {} body {:?}",
        reply.status,
        reply.header("content-length"),
        reply.is_complete,
        reply.body,
    ));
    usize::from(has_stamp && reply.is_complete && reply.body != WHOLE)
}

fn send_error(has_trouble: bool, request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    let id = request.attempt_id();
    let text = format!(
        "HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\nX-Attempt-Id: {id}\r\n\
         X-Server-Stamp: stamp-{id}\r\nConnection: close\r\n\r\n{}",
        &WHOLE[..SENT_BYTES]
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return AfterResponse::Close;
    }
    thread::sleep(HALF_TIME);
    if has_trouble {
        return AfterResponse::Crash;
    }
    // The client may have left.
    let _ = stream.write_all(&WHOLE.as_bytes()[SENT_BYTES..]);
    AfterResponse::Close
}
