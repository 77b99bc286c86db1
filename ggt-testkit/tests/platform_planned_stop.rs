//! A planned stop of a daemon on the users' platform: requests that come during it, and those that outlast it.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::caller_headers;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::send_events;
use ggt_standin::users_platform::stream_head;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::await_ready;
use ggt_testkit::front::ready_status;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Seconds from the stop signal to the daemon's end.
const GRACE_S: f64 = 4.0;
/// Time for which the server works on each request: longer than the daemon lives.
const WORK: Duration = Duration::from_secs(8);
/// Length of an event of callers that do not read their streams.
const EVENT_BYTES: usize = 60_000;
/// Callers that do not read their streams.
const STALLED_CALLERS: usize = 6;
/// Deadline of callers that wait for longer than the daemon lives.
const LONG_DEADLINE_MS: u64 = 20_000;
/// Deadline of callers that have their response before the daemon ends.
const SHORT_DEADLINE_MS: u64 = 1_000;

fn fleet() -> FrontFleet {
    FrontFleet::start_with(1, 1, json!({ "grace_s": GRACE_S }))
}

fn stop(fleet: &FrontFleet) {
    fleet.daemons[0].process.signal(Signal::TERM);
    wait_until("the daemon is not ready", || ready_status(&fleet.daemons[0]) == Some(503));
}

fn request(
    fleet: &FrontFleet,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
) -> HttpRequest {
    let request = HttpRequest::new(method, fleet.daemons[0].callers, path);
    let headers = caller_headers(id, deadline_ms);
    headers.iter().fold(request, |request, (name, value)| request.header(name, value))
}

fn work(
    request: &ggt_standin::users_platform::WireRequest,
    stream: &mut TcpStream,
) -> AfterResponse {
    if request.path.starts_with("/chat/") || request.path.starts_with("/talk/") {
        let begun = format!("{}{}", stream_head(request), event_chunk(1));
        // The daemon may have ended already.
        let _ = stream.write_all(begun.as_bytes());
    }
    thread::sleep(WORK);
    respond(request, stream, 200, "late")
}

// Guards against a one-time action that is passed on during a planned stop and cut at its end, so that its
// caller does not know whether it has run.
#[test]
fn one_time_request_that_would_outlast_the_stop_is_refused_as_not_run() {
    let fleet = fleet();
    stop(&fleet);
    let long = request(&fleet, "POST", "/once/", "id-long", LONG_DEADLINE_MS).body("x");
    let response = long.send().expect("should respond");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some(), "says when to come back");
    assert_eq!(fleet.request_count("id-long"), 0);
    let short = request(&fleet, "POST", "/once/", "id-short", SHORT_DEADLINE_MS).body("x");
    assert_eq!(short.send().map(|response| response.status), Some(200));
    let repeatable = request(&fleet, "GET", "/read/", "id-read", LONG_DEADLINE_MS);
    assert_eq!(repeatable.send().map(|response| response.status), Some(200));
}

// Guards against requests that are still in flight at the end of a planned stop and end without an answer.
#[test]
fn requests_that_outlast_a_stop_get_a_final_response_that_does_not_say_not_run() {
    let mut fleet = fleet();
    fleet.servers[0].set_script(work);
    let kinds = [("POST", "/once/"), ("GET", "/read/"), ("POST", "/talk/")];
    let callers: Vec<_> = kinds
        .iter()
        .map(|(method, path)| {
            let request = request(&fleet, method, path, &format!("id{path}"), LONG_DEADLINE_MS);
            thread::spawn(move || request.send())
        })
        .collect();
    wait_until("the server has all requests", || fleet.servers[0].requests().len() == kinds.len());
    stop(&fleet);
    let responses: Vec<Option<HttpResponse>> =
        callers.into_iter().map(|caller| caller.join().expect("should not panic")).collect();
    let statuses: Vec<_> = responses.iter().map(|r| r.as_ref().map(|r| r.status)).collect();
    assert_eq!(statuses, [Some(502), Some(502), Some(200)]);
    let stream = responses[2].as_ref().expect("the stream has begun");
    assert!(!stream.is_complete, "a stream that is cut does not look complete");
    assert!(fleet.daemons[0].process.wait().success());
}

// Guards against a stream that looks complete although a planned stop has cut it: the error that ends it was lost if
// its caller, behind a slow link, had events waiting.
#[test]
fn stream_that_a_stop_cuts_looks_incomplete_to_a_caller_that_has_events_waiting() {
    let mut fleet = FrontFleet::start_with(1, 0, json!({ "grace_s": GRACE_S }));
    let log_book = fleet.keep_logs();
    fleet.add_daemon(0, None);
    await_ready(&fleet.daemons[0]);
    fleet.servers[0].set_script(|request, stream| {
        send_events(request, stream, EVENT_BYTES);
        AfterResponse::Close
    });
    let callers: Vec<_> = (0..STALLED_CALLERS)
        .map(|number| {
            let id = format!("id-{number}");
            let request = request(&fleet, "POST", "/talk/", &id, LONG_DEADLINE_MS).body("x");
            let log_book = log_book.clone();
            thread::spawn(move || {
                let (response, mut reader) = request.open().expect("a response");
                assert_eq!(response.status, 200, "{id}");
                wait_until("the stream is cut", || {
                    log_book.lines_of(&id).iter().any(|line| line.contains("outcome=broken-off"))
                });
                let mut events = Vec::new();
                let is_complete = reader.read_to_end(&mut events).is_ok();
                assert!(!is_complete, "{id} looks complete after {} bytes", events.len());
            })
        })
        .collect();
    wait_until("all streams have begun", || fleet.servers[0].requests().len() == STALLED_CALLERS);
    stop(&fleet);
    callers.into_iter().for_each(|caller| caller.join().expect("a stream that looks incomplete"));
    assert!(fleet.daemons[0].process.wait().success());
}

// Guards against a request that is read late in a planned stop, since its body was slow, and is passed on though
// little time is left.
#[test]
fn request_that_is_read_late_in_a_stop_is_refused_as_not_run() {
    let fleet = fleet();
    fleet.servers[0].set_script(work);
    let address = fleet.daemons[0].callers;
    let mut callers: Vec<_> = [("POST", "/once/"), ("PUT", "/read/"), ("POST", "/chat/")]
        .into_iter()
        .map(|(method, path)| {
            let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: 4\r\n");
            for (name, value) in caller_headers(&format!("id{path}"), LONG_DEADLINE_MS) {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
            let mut stream = TcpStream::connect(address).expect("should connect");
            stream.write_all(format!("{head}\r\nab").as_bytes()).expect("should write");
            stream
        })
        .collect();
    stop(&fleet);
    wait_until("the daemon accepts no more", || TcpStream::connect(address).is_err());
    // The connections are told a moment after the listener has been closed.
    thread::sleep(Duration::from_millis(200));
    for caller in &mut callers {
        caller.write_all(b"cd").expect("should write");
        let mut response = Vec::new();
        // The connection may be reset once the response has been read.
        let _ = caller.read_to_end(&mut response);
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    }
    assert_eq!(fleet.servers[0].requests().len(), 0);
}
