//! Servers that name in their responses how many requests a second they take from all daemons
//! together, on the users' platform.

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

use ggt_standin::server::lock;
use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::limit_line;
use ggt_standin::users_platform::prompt_headers_of;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Time from a server's first naming of its limit until the users' rule counts (their `StableMs`).
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Span in which the rule counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor by which a server may get more than it named.
const EXCESS_FACTOR: f64 = 1.5;
/// Requests that a server may get on top in a window.
const EXCESS_REQUESTS: f64 = 5.0;
/// Time for which callers send.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Pause of each caller before a request.
const CALL_INTERVAL: Duration = Duration::from_millis(15);
/// Callers of each daemon.
const CALLERS: usize = 2;

/// When requests arrived at one server.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Responds with this value of the limit header, or without it if it is empty.
fn respond(request: &WireRequest, stream: &mut TcpStream, limit: &str) -> AfterResponse {
    let id = request.attempt_id();
    let named = if limit.is_empty() { String::new() } else { limit_line(limit) };
    let (kind, body) = match request.path.starts_with("/chat/") {
        true => ("text/event-stream", "id: 1\ndata: one\n\n"),
        false => ("text/plain", "whole"),
    };
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s-{id}\r\n{named}\
         X-Server-Load: 0,0,8\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    match stream.write_all(text.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}

/// Lets a server name this limit, or none if it is empty, and records the arrivals from now on.
fn set_limit(fleet: &FrontFleet, server: usize, limit: &'static str) -> Arrivals {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    fleet.servers[server].set_script(move |request, stream| {
        lock(&recorded).push(Instant::now());
        respond(request, stream, limit)
    });
    arrivals
}

fn send(fleet: &FrontFleet, daemon: usize, number: usize) -> HttpResponse {
    let (own, shared) = (format!("{:x}", 0x1000 + number), format!("{:x}", 0xa0 + number % 7));
    let path = if number.is_multiple_of(2) { "/read/" } else { "/chat/" };
    let request = fleet.request(daemon, "POST", path, &format!("call-{daemon}-{number}"));
    let headers = prompt_headers_of(&[shared.as_str(), own.as_str()]);
    let request =
        headers.iter().fold(request, |request, (name, value)| request.header(name, value));
    request.body("body").send().expect("should respond")
}

/// Sends requests through all daemons until `is_over`; returns all responses but those that a server
/// has given.
fn press(fleet: &FrontFleet, is_over: &AtomicBool) -> Vec<HttpResponse> {
    let refused = Mutex::new(Vec::new());
    let numbers = AtomicUsize::new(0);
    thread::scope(|scope| {
        for caller in 0..CALLERS * fleet.daemons.len() {
            let (refused, numbers) = (&refused, &numbers);
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    thread::sleep(CALL_INTERVAL);
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    let response = send(fleet, caller % fleet.daemons.len(), number);
                    if response.header("x-server-stamp").is_none() {
                        lock(refused).push(response);
                    }
                }
            });
        }
    });
    refused.into_inner().expect("no thread should panic")
}

fn press_for_a_while(fleet: &FrontFleet) -> Vec<HttpResponse> {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(LOAD_TIME);
            is_over.store(true, Ordering::SeqCst);
        });
        press(fleet, &is_over)
    })
}

/// Checks the users' rule for a server that named `limit` from its first response on.
fn check_limit(arrivals: &Arrivals, limit: f64) {
    let arrivals = lock(arrivals);
    let first = *arrivals.first().expect("the server should have got requests");
    let allowed = EXCESS_FACTOR * limit * WINDOW.as_secs_f64() + EXCESS_REQUESTS;
    let counted: Vec<_> = arrivals.iter().filter(|at| **at >= first + STABLE_TIME).collect();
    for start in &counted {
        let within = counted.iter().filter(|at| ***at >= **start && ***at < **start + WINDOW);
        let count = within.count();
        assert!(count as f64 <= allowed, "{count} requests in 4 s, limit {limit} a second");
    }
}

// Guards against daemons that send a server more than it says it takes from all together.
#[test]
fn named_limit_holds_for_all_daemons_together() {
    let fleet = FrontFleet::start(3, 3);
    let limited: Vec<_> = (0..2).map(|server| set_limit(&fleet, server, "4.0")).collect();
    let other = set_limit(&fleet, 2, "");
    let refused = press_for_a_while(&fleet);
    limited.iter().for_each(|arrivals| check_limit(arrivals, 4.0));
    assert_eq!(refused.len(), 0, "the unlimited server has room: {:?}", refused.first());
    assert!(lock(&other).len() > lock(&limited[0]).len(), "the unlimited server takes the rest");
}

// Guards against a limit below one request a second, of which each daemon alone sends one at once.
#[test]
fn limit_of_less_than_one_request_a_second_holds() {
    let fleet = FrontFleet::start(2, 4);
    let limited = set_limit(&fleet, 0, "0.3");
    let _other = set_limit(&fleet, 1, "");
    press_for_a_while(&fleet);
    check_limit(&limited, 0.3);
}

// Guards against requests that wait, or are sent nevertheless, when all servers of a service are at
// their limits; and against servers at their limits that are taken for failing.
#[test]
fn requests_beyond_the_limits_of_all_servers_are_refused_at_once() {
    let fleet = FrontFleet::start(2, 2);
    let limited: Vec<_> = (0..2).map(|server| set_limit(&fleet, server, "5")).collect();
    let refused = press_for_a_while(&fleet);
    limited.iter().for_each(|arrivals| check_limit(arrivals, 5.0));
    assert!(!refused.is_empty());
    for response in &refused {
        assert!(matches!(response.status, 429 | 503), "{}: {}", response.status, response.body);
        let seconds: f64 = response.header("retry-after").expect("header").parse().expect("number");
        assert!(seconds > 0.0);
    }
    for arrivals in &limited {
        let arrivals = lock(arrivals);
        let last = arrivals.last().expect("the server should have got requests");
        let late = arrivals.iter().filter(|at| **at + WINDOW >= *last).count();
        assert!(late >= 5, "{late} requests in the last 4 s");
    }
}

// Guards against a limit that is kept after the server has stopped naming it.
#[test]
fn limit_ends_when_the_server_no_longer_names_it() {
    let fleet = FrontFleet::start(1, 2);
    set_limit(&fleet, 0, "2");
    wait_until("the limit refuses a request", || {
        (0..20).any(|number| send(&fleet, number % 2, number).status == 503)
    });
    set_limit(&fleet, 0, "");
    wait_until("both daemons serve all requests", || {
        (0..20).all(|number| send(&fleet, number % 2, number).status == 200)
    });
}
