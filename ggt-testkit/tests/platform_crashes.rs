//! Requests that crash the servers which run them, on the users' platform: they are refused after
//! the third crash, on every daemon, and the response never denies that they ran.

use std::cell::Cell;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::respond_with_event;
use ggt_standin::users_platform::stream_head;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Number of crashes after which a request is refused.
const CRASH_LIMIT: usize = 3;
/// Attempts that the routes of the test configuration allow.
const ROUTE_ATTEMPTS: usize = 3;
/// Time for which servers hold other requests, so that concurrent ones open several connections.
const HOLD: Duration = Duration::from_millis(150);

/// Crashes the server on paths that contain `crash`, and responds to all others.
fn crash_or_respond(request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    if request.path.contains("crash") {
        return AfterResponse::Crash;
    }
    thread::sleep(HOLD);
    match request.path.starts_with("/chat/") || request.path.starts_with("/talk/") {
        true => respond_with_event(request, stream),
        false => respond(request, stream, 200, "whole"),
    }
}

fn start(servers: usize, daemons: usize) -> FrontFleet {
    let fleet = FrontFleet::start(servers, daemons);
    fleet.servers.iter().for_each(|server| server.set_script(crash_or_respond));
    fleet
}

/// Sends concurrent requests until the daemon has a reused connection to each server.
fn open_idle_connections(fleet: &FrontFleet, daemon: usize) {
    thread::scope(|scope| {
        for number in 0..8 * fleet.servers.len() {
            let request =
                fleet.request(daemon, "GET", "/read/", &format!("warm-{daemon}-{number}"));
            scope.spawn(move || request.send());
        }
    });
    let is_warm = fleet.servers.iter().all(|server| {
        server.requests().iter().any(|request| request.attempt_id().starts_with("warm"))
    });
    assert!(is_warm, "a server got none of the concurrent requests");
}

fn send_crashing(fleet: &FrontFleet, daemon: usize, path: &str, number: usize) -> HttpResponse {
    let request = fleet.request(daemon, "POST", path, &format!("crash-{number}"));
    request.body("the same body").send().expect("should respond")
}

/// Sends a crashing request again and again through one daemon that has idle connections to all
/// servers. Crashed servers are not restarted.
fn check_idle_connections(path: &str) {
    let fleet = start(8, 1);
    open_idle_connections(&fleet, 0);
    for number in 0..6 {
        let before = fleet.path_count(path);
        let response = send_crashing(&fleet, 0, path, number);
        let runs = fleet.path_count(path) - before;
        assert!(runs <= ROUTE_ATTEMPTS, "{runs} servers ran call {number} of {path}");
        let denies_run = matches!(response.status, 408 | 421 | 429 | 503);
        assert!(
            !denies_run || runs == 0,
            "call {number} of {path}: {} after it ran",
            response.status
        );
    }
    assert_eq!(fleet.path_count(path), CRASH_LIMIT, "servers crashed by {path}");
}

// Guards against crashes that go unnoticed when the crashing request was sent on a reused
// connection: the failure was taken for a connection closed while idle.
#[test]
fn crashing_request_on_reused_connections_is_refused_after_three_crashes() {
    check_idle_connections("/read/crash");
}

// Guards against the same fault for streams that can be resumed.
#[test]
fn crashing_stream_on_reused_connections_is_refused_after_three_crashes() {
    check_idle_connections("/chat/crash");
}

/// Holds requests on paths that contain `crash` until the connection is closed.
fn hold_or_respond(request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    if !request.path.contains("crash") {
        return respond(request, stream, 200, "whole");
    }
    // Blocks until the daemon or the server closes the connection.
    let _ = std::io::Read::read(stream, &mut [0; 1]);
    AfterResponse::Close
}

/// One server and one daemon; requests on paths that contain `crash` wait for the server to end.
fn start_holding() -> FrontFleet {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(hold_or_respond);
    fleet
}

/// Waits until the daemon sends requests to the present instance of the only server.
fn await_served(fleet: &FrontFleet, round: usize) {
    let mut number = 0;
    wait_until("the present instance serves", || {
        number += 1;
        let request = fleet.request(0, "POST", "/once/", &format!("other-{round}-{number}"));
        request.body("x").send().is_some_and(|response| response.status == 200)
    });
}

/// Sends a crashing request in `CRASH_LIMIT` rounds, in each of which `end_server` ends the server
/// that holds it and `start_next` starts the next instance; then checks that the next request is
/// refused without reaching the server.
fn check_refused_after<E, S>(path: &str, end_server: E, start_next: S)
where
    E: Fn(&FrontFleet),
    S: Fn(&FrontFleet, &str),
{
    let fleet = start_holding();
    for round in 0..CRASH_LIMIT {
        thread::scope(|scope| {
            let caller = scope.spawn(|| send_crashing(&fleet, 0, path, round));
            wait_until("the server has the request", || fleet.path_count(path) == round + 1);
            end_server(&fleet);
            let response = caller.join().expect("thread should not panic");
            assert!(matches!(response.status, 502 | 504), "round {round}: {}", response.status);
        });
        start_next(&fleet, &format!("next-{round}"));
        await_served(&fleet, round);
    }
    let response = send_crashing(&fleet, 0, path, CRASH_LIMIT);
    assert_eq!((response.status, fleet.path_count(path)), (503, CRASH_LIMIT), "{}", response.body);
    assert!(response.header("retry-after").is_some());
}

fn restart(fleet: &FrontFleet, next_id: &str) {
    fleet.restart_server(0, next_id);
}

// Guards against crashes that go unnoticed because the server accepts connections again, as another
// instance, by the time of the check.
#[test]
fn crash_of_a_server_that_restarts_at_once_counts() {
    let next_id = Cell::new(0);
    let end_server = |fleet: &FrontFleet| {
        next_id.set(next_id.get() + 1);
        fleet.servers[0].restart_at_once(&format!("at-once-{}", next_id.get()));
    };
    check_refused_after("/once/crash", end_server, |fleet, _| fleet.register_only(0));
}

// Guards against crashes that go unnoticed because the store stopped listing the server while it
// still ran the request.
#[test]
fn crash_of_a_server_that_is_no_longer_listed_counts() {
    let end_server = |fleet: &FrontFleet| {
        fleet.remove_registration(&fleet.servers[0].id());
        wait_until("the server is gone", || {
            let request = fleet.request(0, "POST", "/once/", "none").body("x");
            request.send().is_some_and(|response| response.status == 503)
        });
        fleet.servers[0].crash();
    };
    check_refused_after("/once/crash", end_server, restart);
}

// Guards against crashes that go unnoticed because the connections of the crashed server are never
// reset.
#[test]
fn crash_of_a_server_that_falls_silent_counts() {
    check_refused_after("/read/crash", |fleet| fleet.servers[0].fall_silent(), restart);
}

// Guards against crashes that go unnoticed because the caller disconnected before the server ended.
#[test]
fn crash_after_the_caller_disconnected_counts() {
    let path = "/once/crash";
    let fleet = start_holding();
    for round in 0..CRASH_LIMIT {
        let caller = open_crashing(&fleet, path, round);
        wait_until("the server has the request", || fleet.path_count(path) == round + 1);
        drop(caller);
        wait_until("the daemon has noticed", || {
            fleet.metric(0, "front_requests_total", "caller-left") == (round + 1) as f64
        });
        fleet.servers[0].crash();
        fleet.restart_server(0, &format!("next-{round}"));
        await_served(&fleet, round);
    }
    let response = send_crashing(&fleet, 0, path, CRASH_LIMIT);
    assert_eq!((response.status, fleet.path_count(path)), (503, CRASH_LIMIT), "{}", response.body);
}

/// Sends a crashing request on a connection that the test can close.
fn open_crashing(fleet: &FrontFleet, path: &str, number: usize) -> TcpStream {
    let mut caller = TcpStream::connect(fleet.daemons[0].callers).expect("should connect");
    let body = "the same body";
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: chat.example\r\nX-Attempt-Id: crash-{number}\r\n\
         X-Deadline-Ms: 20000\r\nAuthorization: Token key-of-c1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(text.as_bytes()).expect("should send the request");
    caller
}

// Guards against further sends of calls that were already on their way when the request reached
// its limit of crashes.
#[test]
fn calls_in_progress_stop_at_the_limit_of_crashes() {
    let fleet = FrontFleet::start(9, 1);
    let arrivals = Arc::new(AtomicUsize::new(0));
    for server in &fleet.servers {
        let arrivals = arrivals.clone();
        server.set_script(move |_, _| {
            arrivals.fetch_add(1, Ordering::SeqCst);
            // Crashes only once each of the concurrent calls is on a server.
            while arrivals.load(Ordering::SeqCst) < CRASH_LIMIT {
                thread::sleep(Duration::from_millis(5));
            }
            AfterResponse::Crash
        });
    }
    let path = "/read/crash";
    thread::scope(|scope| {
        for number in 0..CRASH_LIMIT {
            let fleet = &fleet;
            scope.spawn(move || {
                let response = send_crashing(fleet, 0, path, number);
                assert_eq!(response.status, 502, "call {number}");
            });
        }
    });
    // Calls that retried before the last of the first crashes was detected may reach a server more.
    let reached = fleet.path_count(path);
    assert!(reached < 2 * CRASH_LIMIT, "{reached} servers reached by {CRASH_LIMIT} calls");
}

/// Ends `CRASH_LIMIT` servers with a request, each time through the next of `daemons`.
fn crash_servers(fleet: &FrontFleet, path: &str, daemons: &[usize]) {
    for (number, daemon) in daemons.iter().cycle().take(CRASH_LIMIT).enumerate() {
        assert_eq!(send_crashing(fleet, *daemon, path, number).status, 502);
    }
}

/// Waits until a daemon knows this number of crashes of one request.
fn await_crashes(fleet: &FrontFleet, daemon: usize, count: usize) {
    wait_until("the daemon has been told of the crashes", || {
        let change = |change| fleet.metric(daemon, "front_crashes_total", change);
        change("change=\"seen\"") + change("change=\"told\"") >= count as f64
    });
}

fn check_refused(fleet: &FrontFleet, daemon: usize, path: &str, number: usize) {
    let before = fleet.path_count(path);
    let response = send_crashing(fleet, daemon, path, number);
    assert_eq!((response.status, fleet.path_count(path)), (503, before), "{}", response.body);
}

// Guards against daemons that each count only the crashes that they saw themselves.
#[test]
fn crashes_seen_by_different_daemons_add_up_on_all() {
    let fleet = start(8, 4);
    let path = "/once/crash";
    crash_servers(&fleet, path, &[0, 1, 2]);
    for daemon in 0..fleet.daemons.len() {
        await_crashes(&fleet, daemon, CRASH_LIMIT);
        check_refused(&fleet, daemon, path, CRASH_LIMIT + daemon);
    }
}

// Guards against a restarted daemon that serves before it has been told of any crash.
#[test]
fn restarted_daemon_refuses_a_crashing_request_from_the_start() {
    let mut fleet = start(8, 2);
    let path = "/once/crash";
    crash_servers(&fleet, path, &[0]);
    for number in 0..5 {
        fleet.restart(1);
        check_refused(&fleet, 1, path, CRASH_LIMIT + number);
    }
}

/// Crashes the server after the first event of the stream.
fn crash_after_first_event(request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    let text = format!("{}{}", stream_head(request), event_chunk(1));
    // The daemon may have closed the connection already.
    let _ = stream.write_all(text.as_bytes());
    AfterResponse::Crash
}

fn check_crash_within_stream(path: &str) {
    let fleet = FrontFleet::start(8, 1);
    fleet.servers.iter().for_each(|server| server.set_script(crash_after_first_event));
    for number in 0..6 {
        let before = fleet.path_count(path);
        let request = fleet.request(0, "POST", path, &format!("crash-{number}")).body("same");
        let response = request.send().expect("should respond");
        match fleet.path_count(path) - before {
            0 => assert_eq!(response.status, 503, "{}", response.body),
            _ => assert!(!response.is_complete, "call {number} of {path} looks complete"),
        }
    }
    assert_eq!(fleet.path_count(path), CRASH_LIMIT, "servers crashed by {path}");
}

// Guards against crashes that go unnoticed because the reply had begun.
#[test]
fn crash_within_a_resumable_stream_counts() {
    check_crash_within_stream("/chat/crash");
}

// Guards against the same for streams that cannot be resumed.
#[test]
fn crash_within_a_stream_that_cannot_be_resumed_counts() {
    check_crash_within_stream("/talk/crash");
}

// Guards against a daemon that goes on sending after a time in which no digest reached it.
#[test]
fn daemon_that_was_paused_during_the_crashes_is_told_when_it_resumes() {
    let fleet = start(8, 2);
    let path = "/once/crash";
    fleet.daemons[1].process.pause();
    crash_servers(&fleet, path, &[0]);
    fleet.daemons[1].process.resume();
    await_crashes(&fleet, 1, CRASH_LIMIT);
    check_refused(&fleet, 1, path, CRASH_LIMIT);
}

// Guards against a cut between daemons behind which a request ends more servers than the limit: each
// side must count the crashes that it sees.
#[test]
fn daemons_that_cannot_reach_each_other_end_three_servers_each() {
    let mut fleet = start(9, 1);
    fleet.add_isolated_daemon(1);
    let path = "/once/crash";
    for number in 0..12 {
        send_crashing(&fleet, number % 2, path, number);
    }
    assert_eq!(fleet.path_count(path), 2 * CRASH_LIMIT);
    (0..2).for_each(|daemon| check_refused(&fleet, daemon, path, 12 + daemon));
}
