//! Requests that crash the servers which run them, on the users' platform: they are refused after
//! the third crash, on every daemon, and the response never denies that they ran.

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::stream_head;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::http::HttpResponse;

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
        true => send_stream(request, stream),
        false => respond(request, stream, 200, "whole"),
    }
}

fn send_stream(request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    let text = format!("{}{}0\r\n\r\n", stream_head(request), event_chunk(1));
    match std::io::Write::write_all(stream, text.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
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
