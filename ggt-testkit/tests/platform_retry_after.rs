//! Servers that turn requests away with 503 and say for how long they want none, on the users' platform.

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
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::respond_with;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Time for which the servers want no requests.
const CLOSED_TIME: Duration = Duration::from_millis(3_500);
/// The same as a header line.
const CLOSED_LINE: &str = "Retry-After: 3.5\r\n";
/// Time from a response on within which the users' rule counts no request.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Pause of each caller before a request.
const CALL_INTERVAL: Duration = Duration::from_millis(15);
/// Daemons of the fleet.
const DAEMONS: usize = 2;

/// Numbers of the daemons that sent requests to one server, and when each was turned away.
type Rejections = Arc<Mutex<Vec<(usize, Instant)>>>;

/// Rejects the request without the server's stamp and with this header line.
fn reject(request: &WireRequest, stream: &mut TcpStream, line: &str) -> AfterResponse {
    let id = request.attempt_id();
    let text = format!(
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n{line}\
         Content-Length: 0\r\n\r\n"
    );
    match stream.write_all(text.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}

/// Lets a server turn all requests away, with its stamp or without, and records them.
fn turn_away(fleet: &FrontFleet, server: usize, is_stamped: bool) -> Rejections {
    let rejections = Rejections::default();
    let recorded = rejections.clone();
    fleet.servers[server].set_script(move |request, stream| {
        let daemon = request.attempt_id().split('-').nth(1).and_then(|text| text.parse().ok());
        let after = match is_stamped {
            true => respond_with(request, stream, 503, CLOSED_LINE, "full"),
            false => reject(request, stream, CLOSED_LINE),
        };
        lock(&recorded).push((daemon.expect("a daemon's number"), Instant::now()));
        after
    });
    rejections
}

fn send(fleet: &FrontFleet, daemon: usize, path: &str, number: usize) -> HttpResponse {
    let request = fleet.request(daemon, "POST", path, &format!("call-{daemon}-{number}"));
    request.body("body").send().expect("should respond")
}

/// Sends requests through all daemons for this time.
fn press(fleet: &FrontFleet, path: &str, time: Duration) {
    let (numbers, end) = (AtomicUsize::new(0), Instant::now() + time);
    thread::scope(|scope| {
        for daemon in 0..DAEMONS {
            let numbers = &numbers;
            scope.spawn(move || {
                while Instant::now() < end {
                    thread::sleep(CALL_INTERVAL);
                    send(fleet, daemon, path, numbers.fetch_add(1, Ordering::SeqCst));
                }
            });
        }
    });
}

/// Checks that no daemon has sent a request within the time that one of its requests was answered with.
fn check_closed(rejections: &Rejections) {
    let rejections = lock(rejections);
    for daemon in 0..DAEMONS {
        let times = rejections.iter().filter(|(sender, _)| *sender == daemon);
        let times: Vec<_> = times.map(|(_, at)| *at).collect();
        let first = *times.first().expect("each daemon should have sent a request");
        let counted = first + SETTLE_TIME..first + CLOSED_TIME;
        let count = times.iter().filter(|at| counted.contains(at)).count();
        assert_eq!(count, 0, "requests of daemon {daemon} at a server that wanted none");
    }
}

// Guards against requests to a server that has said that it wants none for some time, whether it has not
// run the request that it turned away, or responds with 503 itself.
#[test]
fn server_that_turns_a_request_away_for_some_time_gets_none_meanwhile() {
    let fleet = FrontFleet::start(3, DAEMONS);
    let refused = turn_away(&fleet, 0, false);
    let stamped = turn_away(&fleet, 1, true);
    press(&fleet, "/read/", CLOSED_TIME + SETTLE_TIME);
    check_closed(&refused);
    check_closed(&stamped);
}

// Guards against callers that are told to come back too early, or wait, while all servers of a service want
// no requests, and against servers that are left out for good.
#[test]
fn requests_are_refused_until_the_first_server_takes_them_again() {
    let fleet = FrontFleet::start(1, DAEMONS);
    let rejections = turn_away(&fleet, 0, false);
    let first = (0..DAEMONS).map(|daemon| (send(&fleet, daemon, "/once/", 0), Instant::now()));
    let first: Vec<_> = first.collect();
    // The server notes a rejection after it has written the response.
    wait_until("all rejections are noted", || lock(&rejections).len() >= DAEMONS);
    assert_eq!(lock(&rejections).len(), DAEMONS);
    let ends: Vec<_> = lock(&rejections).iter().map(|(_, at)| *at + CLOSED_TIME).collect();
    let check_refusal = |response: &HttpResponse, received_at: Instant, end: Instant| {
        assert_eq!(response.status, 503, "{}", response.body);
        let seconds = response.header("retry-after").expect("header").parse().expect("number");
        // The daemon may read the response a moment before the server notes its time.
        let retry_at = received_at + Duration::from_secs_f64(seconds) + CALL_INTERVAL;
        assert!(retry_at >= end, "{seconds} s");
    };
    first.iter().zip(&ends).for_each(|((response, at), end)| check_refusal(response, *at, *end));
    fleet.servers[0].set_script(|request, stream| respond(request, stream, 200, "whole"));
    for (daemon, end) in ends.iter().enumerate() {
        let response = send(&fleet, daemon, "/once/", 1);
        if Instant::now() >= *end {
            // The machine was too busy to ask in time.
            continue;
        }
        check_refusal(&response, Instant::now(), *end);
    }
    let mut count = 1;
    wait_until("both daemons are served again", || {
        count += 1;
        (0..DAEMONS).all(|daemon| send(&fleet, daemon, "/once/", count).status == 200)
    });
    assert!(
        fleet.servers[0].requests().len() > DAEMONS && Instant::now() + CALL_INTERVAL >= ends[0]
    );
}

// Guards against the second send of a request whose reused connection broke, to a server that has turned
// another request away meanwhile.
#[test]
fn request_on_a_broken_connection_is_not_sent_again_to_a_closed_server() {
    let fleet = FrontFleet::start(1, 1);
    assert_eq!(send(&fleet, 0, "/read/", 0).status, 200);
    let is_over = Arc::new(AtomicBool::new(false));
    let script_over = is_over.clone();
    fleet.servers[0].set_script(move |request, stream| {
        if request.path == "/once/" {
            return reject(request, stream, CLOSED_LINE);
        }
        while !script_over.load(Ordering::SeqCst) {
            thread::sleep(CALL_INTERVAL);
        }
        AfterResponse::Close
    });
    thread::scope(|scope| {
        let held = scope.spawn(|| send(&fleet, 0, "/read/", 1));
        wait_until("the request is at the server", || fleet.request_count("call-0-1") == 1);
        assert_eq!(send(&fleet, 0, "/once/", 2).status, 503);
        is_over.store(true, Ordering::SeqCst);
        let response = held.join().expect("should not panic");
        assert_eq!(response.status, 502, "{}", response.body);
    });
    assert_eq!(fleet.request_count("call-0-1"), 1);
}

// Guards against malformed values that close a server for all requests.
#[test]
fn malformed_times_leave_the_server_in_use() {
    let fleet = FrontFleet::start(1, 1);
    for (number, value) in ["-1", "soon", "NaN", "inf", "0"].into_iter().enumerate() {
        let line = format!("Retry-After: {value}\r\n");
        fleet.servers[0].set_script(move |request, stream| reject(request, stream, &line));
        let before = fleet.servers[0].requests().len();
        wait_until("the server gets another request", || {
            send(&fleet, 0, "/once/", number);
            fleet.servers[0].requests().len() >= before + 2
        });
    }
}
