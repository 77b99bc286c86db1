//! Servers of the users' platform that are silent for a second or so and then continue: no response ends
//! sooner for that, and no stream runs twice.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::respond_with_event;
use ggt_standin::users_platform::stream_head;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Silence of a sound server.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Silence after which a stream should go on at another server, since its caller would soon give up.
const LONG_SILENCE: Duration = Duration::from_millis(2_200);
/// Time that a server takes to refuse a request, shorter than it is kept at two servers.
const SLOW_REFUSAL: Duration = Duration::from_millis(150);
/// Events of each stream.
const EVENTS: u64 = 12;
/// Event after which a server falls silent.
const SILENT_AFTER: u64 = 4;
/// Pause between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Streams in flight at the same time, fewer than the slots of one server.
const STREAMS: usize = 6;

fn events_text() -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

/// Sends all events after the caller's last one, with [`SILENCE`] after event `silent_after`; 0 is
/// before the response's head.
fn send_with_silence(
    request: &WireRequest,
    stream: &mut TcpStream,
    silent_after: u64,
) -> std::io::Result<()> {
    send_with_pause(request, stream, silent_after, SILENCE)
}

/// Sends all events, with [`LONG_SILENCE`] after event [`SILENT_AFTER`].
fn send_with_long_silence(request: &WireRequest, stream: &mut TcpStream) -> std::io::Result<()> {
    send_with_pause(request, stream, SILENT_AFTER, LONG_SILENCE)
}

fn send_with_pause(
    request: &WireRequest,
    stream: &mut TcpStream,
    silent_after: u64,
    silence: Duration,
) -> std::io::Result<()> {
    if silent_after == 0 {
        thread::sleep(silence);
    }
    stream.write_all(stream_head(request).as_bytes())?;
    for id in request.last_event_id().unwrap_or(0) + 1..=EVENTS {
        stream.write_all(event_chunk(id).as_bytes())?;
        thread::sleep(if id == silent_after { silence } else { EVENT_INTERVAL });
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Makes a server fall silent after event `silent_after` of each stream.
fn set_silent_script(server: &ServerStandin, silent_after: u64) {
    server.set_script(move |request, stream| {
        match send_with_silence(request, stream, silent_after) {
            Ok(()) => AfterResponse::Keep,
            // The daemon closed the connection.
            Err(_) => AfterResponse::Close,
        }
    });
}

/// Sends streams at the same time and returns their responses.
fn send_streams(fleet: &FrontFleet) -> Vec<HttpResponse> {
    thread::scope(|scope| {
        let send = |number| {
            let id = format!("id-{number}");
            let request = fleet.request(0, "POST", "/chat/", &id).body("x");
            scope.spawn(move || request.send().expect("should respond"))
        };
        let callers: Vec<_> = (0..STREAMS).map(send).collect();
        callers.into_iter().map(|caller| caller.join().expect("should not panic")).collect()
    })
}

fn check_whole(responses: &[HttpResponse]) {
    for response in responses {
        assert!(response.is_complete, "cut short: {} {}", response.status, response.body);
        assert_eq!((response.status, response.body.as_str()), (200, events_text().as_str()));
    }
}

// Guards against a stream that is cut although its server would have gone on, because the daemon gives
// up a silent reply without knowing that another server may take the stream.
#[test]
fn stream_of_the_only_server_is_complete_after_a_silence() {
    let fleet = FrontFleet::start(1, 1);
    set_silent_script(&fleet.servers[0], SILENT_AFTER);
    let responses = thread::scope(|scope| {
        let publisher = scope.spawn(|| {
            for version in 2..7 {
                fleet.publish(&test_config(version));
                thread::sleep(Duration::from_millis(300));
            }
        });
        let responses = send_streams(&fleet);
        publisher.join().expect("should not panic");
        responses
    });
    check_whole(&responses);
}

// Guards against streams that are all sent to a second server because the first is silent for a second
// or so.
#[test]
fn stream_of_a_sound_silent_server_is_sent_once() {
    let fleet = FrontFleet::start(3, 1);
    fleet.servers.iter().for_each(|server| set_silent_script(server, SILENT_AFTER));
    check_whole(&send_streams(&fleet));
    let sends: usize = (0..STREAMS).map(|n| fleet.request_count(&format!("id-{n}"))).sum();
    assert_eq!(sends, STREAMS);
}

// Guards against a refusal in place of a stream whose server is silent before its response's head while
// no other server can take the stream.
#[test]
fn stream_of_the_only_server_is_complete_after_a_silence_before_its_head() {
    let fleet = FrontFleet::start(1, 1);
    set_silent_script(&fleet.servers[0], 0);
    check_whole(&send_streams(&fleet));
}

// Guards against an error in place of the response of a server that is at work, because the daemon gives
// up a silent request before it knows that the retry budget allows to send it again.
#[test]
fn idempotent_request_of_a_silent_server_is_answered_without_a_retry_budget() {
    let settings = json!({ "retries": { "ratio": 0.0, "slack": 0.0, "window_s": 10.0 } });
    let fleet = FrontFleet::start_with(2, 1, settings);
    for server in &fleet.servers {
        server.set_script(|request, stream| {
            thread::sleep(SILENCE);
            respond(request, stream, 200, "whole")
        });
    }
    let response = fleet.request(0, "GET", "/read/", "id-1").send().expect("should respond");
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    assert_eq!(fleet.request_count("id-1"), 1);
}

// Guards against a stream that is cut while its server goes on with it, because the server accepts no new
// connections.
#[test]
fn stream_of_a_server_that_refuses_connections_is_complete_after_a_pause() {
    let fleet = FrontFleet::start(1, 1);
    set_silent_script(&fleet.servers[0], SILENT_AFTER);
    let response = thread::scope(|scope| {
        let request = fleet.request(0, "POST", "/chat/", "id-1").body("x");
        let caller = scope.spawn(move || request.send().expect("should respond"));
        wait_until("the server has the stream", || fleet.request_count("id-1") == 1);
        fleet.servers[0].fall_silent();
        let other = fleet.request(0, "POST", "/once/", "id-2").body("x").send();
        assert_eq!(other.map(|response| response.status), Some(503));
        caller.join().expect("should not panic")
    });
    check_whole(&[response]);
}

// Guards against a stream that waits for its first event at a hung server because that has answered
// another request since.
#[test]
fn stream_leaves_a_server_that_hangs_after_a_reply_to_another_request() {
    let fleet = FrontFleet::start(2, 1);
    for server in &fleet.servers {
        server.set_script(|request, stream| {
            if request.path != "/chat/" || request.attempt_id() == "warm" {
                return respond_with_event(request, stream);
            }
            AfterResponse::Keep
        });
    }
    thread::scope(|scope| {
        let request = fleet.request(0, "POST", "/chat/", "id-1").body("x");
        let caller = scope.spawn(move || request.send().expect("should respond"));
        wait_until("a server has the stream", || fleet.request_count("id-1") == 1);
        let hung = fleet.servers.iter().position(|server| !server.requests().is_empty());
        for (number, server) in fleet.servers.iter().enumerate() {
            if Some(number) != hung {
                server.set_script(respond_with_event);
            }
        }
        // Replies of the hung server to other requests, before it hangs for good.
        for number in 0..8 {
            let other = fleet.request(0, "POST", "/talk/", &format!("other-{number}")).body("x");
            assert_eq!(other.send().map(|response| response.status), Some(200));
        }
        let response = caller.join().expect("should not panic");
        assert_eq!(response.status, 200);
        assert!(response.is_complete);
        assert_eq!(fleet.request_count("id-1"), 2);
    });
}

/// Interval between two bytes of a server that stalls.
const BYTE_INTERVAL: Duration = Duration::from_millis(300);
/// Bytes that a stalled server sends, one by one, of an event that it does not complete.
const STALLED_BYTES: usize = 20;

// Guards against a stream that waits until its deadline at a server that sends a byte now and then, but completes
// no event.
#[test]
fn stream_leaves_a_server_that_completes_no_event_though_it_sends_bytes() {
    let fleet = FrontFleet::start(2, 1);
    for server in &fleet.servers {
        server.set_script(|request, stream| {
            if request.last_event_id().is_some() {
                return match send_with_pause(request, stream, EVENTS, Duration::ZERO) {
                    Ok(()) => AfterResponse::Keep,
                    Err(_) => AfterResponse::Close,
                };
            }
            let started = format!("{}{}", stream_head(request), event_chunk(1));
            // The daemon closes the connection once it has left.
            let mut has_left = stream.write_all(started.as_bytes()).is_err();
            for _ in 0..STALLED_BYTES {
                thread::sleep(BYTE_INTERVAL);
                has_left = has_left || stream.write_all(b"1\r\n:\r\n").is_err();
            }
            AfterResponse::Close
        });
    }
    let started_at = Instant::now();
    let response = fleet.request(0, "POST", "/chat/", "id-1").body("x").send();
    let response = response.expect("should respond");
    let stalled = BYTE_INTERVAL * u32::try_from(STALLED_BYTES).expect("a small number");
    assert!(started_at.elapsed() < stalled, "{:?}", started_at.elapsed());
    assert!(response.is_complete);
    assert_eq!(response.body, events_text());
}

/// Response with which a server states that it has no capacity for a request.
fn refuse(request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    let text = format!(
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: {}\r\nX-Not-Executed: 1\r\nX-Server-Load: 8,4,8\r\n\
         Content-Length: 0\r\n\r\n",
        request.attempt_id()
    );
    match stream.write_all(text.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}

/// Makes each server serve, with `serve`, the request for which it is the first, and refuse it if another
/// server has it already.
fn set_refusing_scripts<S>(fleet: &FrontFleet, serve: S)
where
    S: Fn(&WireRequest, &mut TcpStream) -> AfterResponse + Clone + Send + Sync + 'static,
{
    let begun: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    for server in &fleet.servers {
        let (begun, serve) = (begun.clone(), serve.clone());
        server.set_script(move |request, stream| {
            let is_first = begun.lock().expect("no panic").insert(request.attempt_id().to_owned());
            if is_first { serve(request, stream) } else { refuse(request, stream) }
        });
    }
}

// Guards against a stream that is cut because it leaves a silent server for one that accepts the
// connection and then refuses the request for lack of capacity.
#[test]
fn stream_of_a_silent_server_is_complete_if_the_next_server_refuses_it() {
    let fleet = FrontFleet::start(3, 1);
    set_refusing_scripts(&fleet, |request, stream| match send_with_long_silence(request, stream) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    });
    check_whole(&send_streams(&fleet));
}

// Guards against an error in place of a response for the same cause, before the response's head.
#[test]
fn idempotent_request_of_a_silent_server_is_answered_if_the_next_server_refuses_it() {
    let fleet = FrontFleet::start(3, 1);
    set_refusing_scripts(&fleet, |request, stream| {
        thread::sleep(SILENCE);
        respond(request, stream, 200, "whole")
    });
    let response = fleet.request(0, "GET", "/read/", "id-1").send().expect("should respond");
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
}

// Guards against a stream without its first event for the same cause.
#[test]
fn stream_of_a_server_silent_before_its_head_is_complete_if_the_next_server_refuses_it() {
    let fleet = FrontFleet::start(3, 1);
    set_refusing_scripts(&fleet, |request, stream| match send_with_silence(request, stream, 0) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    });
    check_whole(&send_streams(&fleet));
}

// Guards against a stream that is sent elsewhere a second time although its server went on while another
// one refused the stream.
#[test]
fn stream_stays_at_a_server_that_goes_on_while_the_next_one_refuses_it() {
    let fleet = FrontFleet::start(3, 1);
    let (begun, refused) = (Arc::new(Mutex::new(false)), Arc::new(AtomicBool::new(false)));
    for server in &fleet.servers {
        let (begun, refused) = (begun.clone(), refused.clone());
        server.set_script(move |request, stream| {
            if std::mem::replace(&mut *begun.lock().expect("no panic"), true) {
                refused.store(true, Ordering::SeqCst);
                thread::sleep(SLOW_REFUSAL);
                return refuse(request, stream);
            }
            // The caller or the daemon may have closed the connection.
            let _ = stream.write_all([stream_head(request), event_chunk(1)].concat().as_bytes());
            wait_until("the next server has the stream", || refused.load(Ordering::SeqCst));
            for id in 2..=EVENTS {
                let _ = stream.write_all(event_chunk(id).as_bytes());
                thread::sleep(if id < 4 { SLOW_REFUSAL * 3 } else { EVENT_INTERVAL });
            }
            let _ = stream.write_all(b"0\r\n\r\n");
            AfterResponse::Keep
        });
    }
    let request = fleet.request(0, "POST", "/chat/", "id-1").body("x");
    check_whole(&[request.send().expect("should respond")]);
    assert_eq!(fleet.request_count("id-1"), 2);
}

/// Time for which a server works on a request before its response's head, longer than it is kept at two
/// servers.
const LONG_WORK: Duration = Duration::from_millis(400);

/// Makes the server that gets the first request serve it with `serve`, which gets the number of requests
/// so far; the others refuse the request, after [`LONG_WORK`].
fn set_slowly_refusing_scripts<S>(fleet: &FrontFleet, serve: S)
where
    S: Fn(&AtomicUsize, &WireRequest, &mut TcpStream) -> AfterResponse
        + Clone
        + Send
        + Sync
        + 'static,
{
    let count: Arc<AtomicUsize> = Arc::default();
    for server in &fleet.servers {
        let (count, serve) = (count.clone(), serve.clone());
        server.set_script(move |request, stream| {
            if count.fetch_add(1, Ordering::SeqCst) == 0 {
                return serve(&count, request, stream);
            }
            thread::sleep(LONG_WORK);
            refuse(request, stream)
        });
    }
}

/// Sends the stream's head and the first events, waits until another server has the stream, and goes on.
fn go_on_once_sent_elsewhere(
    count: &AtomicUsize,
    request: &WireRequest,
    stream: &mut TcpStream,
) -> AfterResponse {
    let first: String = (1..=SILENT_AFTER).map(event_chunk).collect();
    let rest: String = (SILENT_AFTER + 1..=EVENTS).map(event_chunk).collect();
    // The daemon may have closed the connection.
    let _ = stream.write_all([stream_head(request), first].concat().as_bytes());
    wait_until("another server has the stream", || count.load(Ordering::SeqCst) > 1);
    let _ = stream.write_all([rest, "0\r\n\r\n".to_owned()].concat().as_bytes());
    AfterResponse::Keep
}

// Guards against a stream that is cut because its server goes on while another one is tried, and is left
// nevertheless for that one, which then refuses the stream.
#[test]
fn stream_of_a_server_that_goes_on_while_the_next_one_hesitates_is_complete() {
    let fleet = FrontFleet::start(3, 1);
    set_slowly_refusing_scripts(&fleet, go_on_once_sent_elsewhere);
    let request = fleet.request(0, "POST", "/chat/", "id-1").body("x");
    check_whole(&[request.send().expect("should respond")]);
}

// Guards against an error in place of a response for the same cause, before the response's head.
#[test]
fn idempotent_request_answered_while_the_next_server_hesitates_gets_its_response() {
    let fleet = FrontFleet::start(3, 1);
    set_slowly_refusing_scripts(&fleet, |count, request, stream| {
        wait_until("another server has the request", || count.load(Ordering::SeqCst) > 1);
        respond(request, stream, 200, "whole")
    });
    let response = fleet.request(0, "GET", "/read/", "id-1").send().expect("should respond");
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
}
