//! Requests whose prompts share a part that crashes each server which begins to answer it, on the
//! users' platform: no two are alike, so what they have in common must be found and refused.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::prompt_headers_of;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::respond_with_event;
use ggt_standin::users_platform::stream_head;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::http::HttpResponse;

/// Number of requests with the part that may crash a server: the users' rule allows three after the
/// fifth crash.
const MAX_CRASHES: usize = 8;
/// Number of servers; crashed ones are not restarted.
const SERVERS: usize = 12;
/// Number of requests with the part.
const CRASHING_REQUESTS: usize = 14;
/// Records of one crash by a request with two shared parts: its own and one for each part.
const SUSPECTS: usize = 3;
/// Time after a crash from which on the users' rule counts (their `StableMs`).
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Pause between two looks at the daemons' counters.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The part that crashes servers.
const CRASHING_PART: &str = "bad0";
/// A part that both the crashing and the sound requests begin with.
const SHARED_PART: &str = "a1";

/// What a server writes before it crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashPoint {
    /// Nothing.
    BeforeHead,
    /// A head without a body, which neither has a length nor is chunked.
    AfterUnframedHead,
    /// Half of a body with a length.
    WithinBody,
    /// Half of a body that has neither a length nor chunks.
    WithinUnframedBody,
    /// One event of a chunked stream.
    AfterEvent,
    /// One event of a stream that has neither a length nor chunks.
    AfterUnframedEvent,
    /// One and a half events of a stream that has neither a length nor chunks.
    WithinUnframedEvent,
}

impl CrashPoint {
    fn text(self, request: &WireRequest) -> String {
        let id = request.attempt_id();
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s-{id}\r\n");
        match self {
            Self::BeforeHead => String::new(),
            Self::AfterUnframedHead => format!("{head}\r\n"),
            Self::WithinBody => format!("{head}Content-Length: 100\r\n\r\nhalf of it"),
            Self::WithinUnframedBody => format!("{head}\r\nhalf of it"),
            Self::AfterEvent => format!("{}{}", stream_head(request), event_chunk(1)),
            Self::AfterUnframedEvent => format!("{head}\r\nid: 1\ndata: one\n\n"),
            Self::WithinUnframedEvent => {
                format!("{head}\r\nid: 1\ndata: one\n\nid: 2\ndata: tw")
            }
        }
    }
}

fn has_crashing_part(request: &WireRequest) -> bool {
    request.prompt_parts().contains(&CRASHING_PART)
}

/// Crashes the server on requests with the crashing part, and responds to all others.
fn crash_or_respond(
    point: CrashPoint,
    request: &WireRequest,
    stream: &mut TcpStream,
) -> AfterResponse {
    if has_crashing_part(request) {
        // The daemon may have closed the connection already.
        let _ = stream.write_all(point.text(request).as_bytes());
        return AfterResponse::Crash;
    }
    if !request.path.starts_with("/chat/") && !request.path.starts_with("/talk/") {
        return respond(request, stream, 200, "whole");
    }
    respond_with_event(request, stream)
}

fn start(daemons: usize, point: CrashPoint) -> FrontFleet {
    let fleet = FrontFleet::start(SERVERS, daemons);
    for server in &fleet.servers {
        server.set_script(move |request, stream| crash_or_respond(point, request, stream));
    }
    fleet
}

/// Sends a request with a path, a body and a last part of its own.
fn send(
    fleet: &FrontFleet,
    daemon: usize,
    route: &str,
    shared: &[&str],
    number: usize,
) -> HttpResponse {
    let own_part = format!("{:x}", 0x1_0000 + number);
    let parts: Vec<_> = shared.iter().copied().chain([own_part.as_str()]).collect();
    let path = format!("/{route}/{number}");
    let request = fleet.request(daemon, "POST", &path, &format!("{route}-{number}"));
    let headers = prompt_headers_of(&parts);
    let request =
        headers.iter().fold(request, |request, (name, value)| request.header(name, value));
    request.body(&format!("body {number}")).send().expect("should respond")
}

/// Number of requests with the crashing part that reached any server.
fn crashing_count(fleet: &FrontFleet) -> usize {
    let requests = fleet.servers.iter().flat_map(|server| server.requests());
    requests.filter(has_crashing_part).count()
}

/// Sends requests with the crashing part, each through the next daemon once all have been told of the
/// crashes, and checks how many servers crash.
fn send_crashing(fleet: &FrontFleet, route: &str, parts: &[&str]) -> usize {
    for number in 0..CRASHING_REQUESTS {
        send(fleet, number % fleet.daemons.len(), route, parts, number);
        let crashes = crashing_count(fleet);
        assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed");
        await_told(fleet, crashes);
    }
    crashing_count(fleet)
}

/// Requests with the part stop reaching servers, and responses never deny that they ran.
fn check_crash_point(route: &str, point: CrashPoint) {
    let fleet = start(1, point);
    for number in 0..CRASHING_REQUESTS {
        let before = crashing_count(&fleet);
        let response = send(&fleet, 0, route, &[SHARED_PART, CRASHING_PART], number);
        let denies_run = matches!(response.status, 408 | 421 | 429 | 503);
        let runs = crashing_count(&fleet) - before;
        assert!(!denies_run || runs == 0, "request {number}: {} after it ran", response.status);
    }
    let crashes = crashing_count(&fleet);
    assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed on /{route}/, {point:?}");
    let last = send(&fleet, 0, route, &[SHARED_PART, CRASHING_PART], CRASHING_REQUESTS);
    assert_eq!((last.status, crashing_count(&fleet)), (503, crashes), "{}", last.body);
}

// Guards against requests with one crashing part, otherwise all different, that crash one server
// after the other, since crashes counted against the path and body only.
#[test]
fn prompt_part_that_crashes_servers_is_refused_whatever_else_the_request_holds() {
    check_crash_point("read", CrashPoint::BeforeHead);
    check_crash_point("once", CrashPoint::BeforeHead);
    check_crash_point("chat", CrashPoint::BeforeHead);
    check_crash_point("talk", CrashPoint::BeforeHead);
}

// Guards against the same for servers that crash while they write their response.
#[test]
fn prompt_part_that_crashes_servers_within_their_response_is_refused() {
    check_crash_point("read", CrashPoint::WithinBody);
    check_crash_point("once", CrashPoint::WithinBody);
    check_crash_point("chat", CrashPoint::AfterEvent);
    check_crash_point("talk", CrashPoint::AfterEvent);
}

// Guards against a crash that is taken for the end of a response without length and chunks, and so
// clears the part that caused it.
#[test]
fn prompt_part_that_crashes_servers_within_a_response_without_length_is_refused() {
    check_crash_point("read", CrashPoint::WithinUnframedBody);
    check_crash_point("once", CrashPoint::WithinUnframedBody);
    check_crash_point("chat", CrashPoint::AfterUnframedEvent);
    check_crash_point("chat", CrashPoint::WithinUnframedEvent);
    check_crash_point("talk", CrashPoint::AfterUnframedEvent);
    check_crash_point("talk", CrashPoint::AfterUnframedHead);
}

/// Responds without a length or chunks, and closes the connection.
fn respond_unframed(request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    let point = match request.path.starts_with("/chat/") || request.path.starts_with("/talk/") {
        true => CrashPoint::AfterUnframedEvent,
        false => CrashPoint::WithinUnframedBody,
    };
    // The daemon may have closed the connection already.
    let _ = stream.write_all(point.text(request).as_bytes());
    AfterResponse::Close
}

// Guards against complete responses that are rejected since a crash could have cut them off.
#[test]
fn response_without_length_of_a_server_that_lives_on_is_complete() {
    let fleet = FrontFleet::start(2, 1);
    fleet.servers.iter().for_each(|server| server.set_script(respond_unframed));
    for (number, route) in ["read", "once", "chat", "talk"].into_iter().enumerate() {
        let response = send(&fleet, 0, route, &[SHARED_PART], number);
        let body = if number < 2 { "half of it" } else { "id: 1\ndata: one\n\n" };
        let seen = (response.status, response.is_complete, response.body.as_str());
        assert_eq!(seen, (200, true, body), "/{route}/");
    }
}

/// Servers that crash on the part, and a daemon that refuses it for half a second at first; sends
/// requests until the part is refused, and waits until that has ended.
fn start_refused() -> FrontFleet {
    let fleet = FrontFleet::start_with(SERVERS, 1, json!({ "crash_refusal_s": 0.5 }));
    for server in &fleet.servers {
        server.set_script(|request, stream| {
            crash_or_respond(CrashPoint::BeforeHead, request, stream)
        });
    }
    let parts = [SHARED_PART, CRASHING_PART];
    let is_refused = |number| send(&fleet, 0, "once", &parts, number).status == 503;
    assert!((0..CRASHING_REQUESTS).any(is_refused), "the part should be refused");
    thread::sleep(Duration::from_millis(700));
    fleet
}

// Guards against concurrent requests that each crash a server when a refusal ends, and against a daemon
// that fails in the attempt to send one of them.
#[test]
fn one_request_with_a_crashing_part_is_tried_after_its_refusal() {
    let fleet = start_refused();
    let crashes = crashing_count(&fleet);
    thread::scope(|scope| {
        for number in 0..6 {
            let fleet = &fleet;
            scope.spawn(move || {
                let response = send(fleet, 0, "once", &[SHARED_PART, CRASHING_PART], 50 + number);
                assert!(matches!(response.status, 502 | 503), "{}", response.body);
            });
        }
    });
    assert_eq!(crashing_count(&fleet), crashes + 1);
    assert_eq!(send(&fleet, 0, "once", &[SHARED_PART, CRASHING_PART], 90).status, 503);
}

// Guards against a part that stays refused although it no longer crashes servers.
#[test]
fn part_whose_trial_completes_is_served_again() {
    let fleet = start_refused();
    for server in &fleet.servers {
        server.set_script(|request, stream| respond(request, stream, 200, "whole"));
    }
    for number in 0..4 {
        let response = send(&fleet, 0, "once", &[SHARED_PART, CRASHING_PART], 50 + number);
        assert_eq!(response.status, 200, "{}", response.body);
    }
}

// Guards against daemons that each count only the crashes that they saw themselves.
#[test]
fn crashes_by_a_prompt_part_add_up_over_the_daemons() {
    let fleet = start(4, CrashPoint::BeforeHead);
    let parts = [SHARED_PART, CRASHING_PART];
    send_crashing(&fleet, "once", &parts);
    for daemon in 0..4 {
        let response = send(&fleet, daemon, "once", &parts, CRASHING_REQUESTS + daemon);
        assert_eq!(response.status, 503, "daemon {daemon}: {}", response.body);
    }
}

/// Waits until each daemon has a record for each suspect of this many crashes, at most for the time that
/// the users' rule leaves them.
fn await_told(fleet: &FrontFleet, crashes: usize) {
    let is_told = |daemon: usize| {
        let change = |change| fleet.metric(daemon, "front_crashes_total", change);
        change("change=\"seen\"") + change("change=\"told\"") >= (crashes * SUSPECTS) as f64
    };
    let deadline = Instant::now() + STABLE_TIME;
    while Instant::now() < deadline && !(0..fleet.daemons.len()).all(is_told) {
        thread::sleep(POLL_INTERVAL);
    }
}

// Guards against a restarted daemon that sends on what the others refuse.
#[test]
fn restarted_daemon_refuses_a_crashing_prompt_part_from_the_start() {
    let mut fleet = start(2, CrashPoint::BeforeHead);
    let parts = [SHARED_PART, CRASHING_PART];
    let crashes = send_crashing(&fleet, "once", &parts);
    fleet.restart(1);
    for number in CRASHING_REQUESTS..CRASHING_REQUESTS + 3 {
        let response = send(&fleet, 1, "once", &parts, number);
        assert_eq!((response.status, crashing_count(&fleet)), (503, crashes), "{}", response.body);
    }
}

// Guards against daemons on two sides of a cut that together crash more servers than the rule allows.
#[test]
fn daemons_that_cannot_reach_each_other_refuse_a_crashing_prompt_part_each_for_itself() {
    let mut fleet = start(1, CrashPoint::BeforeHead);
    fleet.add_isolated_daemon(1);
    let parts = [SHARED_PART, CRASHING_PART];
    for number in 0..CRASHING_REQUESTS {
        send(&fleet, number % 2, "once", &parts, number);
    }
    let crashes = crashing_count(&fleet);
    assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed");
    for daemon in 0..2 {
        let response = send(&fleet, daemon, "once", &parts, CRASHING_REQUESTS + daemon);
        assert_eq!(response.status, 503, "daemon {daemon}: {}", response.body);
    }
}

// Guards against sound requests that are refused since a part that they share with crashing ones was
// present at each crash, and completes so rarely that nothing clears it.
#[test]
fn sound_requests_that_share_other_parts_with_crashing_ones_are_served() {
    for position in 0..2 {
        let fleet = start(2, CrashPoint::BeforeHead);
        let mut parts = [SHARED_PART; 2];
        parts[position] = CRASHING_PART;
        send_crashing(&fleet, "chat", &parts);
        for number in 0..6 {
            let mut sound = [SHARED_PART, "c2"];
            sound.swap(0, position ^ 1);
            let response = send(&fleet, number % 2, "chat", &sound, 100 + number);
            assert_eq!(response.status, 200, "sound request {number}: {}", response.body);
        }
    }
}

// Guards against a crashing first part that is not found because the parts below it differ.
#[test]
fn crashing_part_with_different_parts_below_it_is_refused() {
    let fleet = start(1, CrashPoint::BeforeHead);
    for number in 0..CRASHING_REQUESTS {
        let below = format!("{:x}", 0x2_0000 + number);
        send(&fleet, 0, "chat", &[CRASHING_PART, &below], number);
    }
    let crashes = crashing_count(&fleet);
    assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed");
    let response = send(&fleet, 0, "chat", &[CRASHING_PART, "e5"], 100);
    assert_eq!(response.status, 503, "{}", response.body);
}
