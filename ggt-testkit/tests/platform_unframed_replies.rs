//! Replies without a length: one that ends since its server is gone is not taken for complete, and one that a leaving
//! server completes is.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::LinkKind;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::await_ready;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::log_book::LogBook;
use ggt_testkit::wait::wait_until;

/// Routes whose requests run once: buffered replies and streams.
const ROUTES: [&str; 2] = ["once", "talk"];
/// Requests in flight on each route.
const REQUESTS: usize = 4;
/// Time from the end of a server's connections to that of its listener.
const LISTENER_DELAY: Duration = Duration::from_millis(5);
/// Time for which a server that reads nothing more keeps its connection.
const UPLOAD_HOLD: Duration = Duration::from_secs(3);
/// Interval at which a held reply checks whether it may end.
const HOLD_INTERVAL: Duration = Duration::from_millis(10);

/// A reply without a length: half of a body, or an event of a stream.
fn unframed_reply(request: &WireRequest) -> String {
    let id = request.attempt_id();
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s-{id}\r\n");
    match request.path.starts_with("/talk/") {
        true => format!("{head}\r\nid: 1\ndata: one\n\n"),
        false => format!("{head}\r\nhalf of it"),
    }
}

/// How a server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// Not at all: it stays registered as ready.
    None,
    /// It registers as draining.
    Announced,
    /// Its registration is removed.
    Unlisted,
}

/// A server that begins replies without a length and holds their ends back, and a daemon.
struct LeavingCase {
    fleet: FrontFleet,
    log: Arc<LogBook>,
    begun: Arc<AtomicUsize>,
    may_end: Arc<AtomicBool>,
}

impl LeavingCase {
    fn start() -> Self {
        let mut fleet = FrontFleet::start(1, 0);
        let log = fleet.keep_logs();
        fleet.add_daemon(0, None);
        fleet.daemons.iter().for_each(await_ready);
        let (begun, may_end): (Arc<AtomicUsize>, Arc<AtomicBool>) = Default::default();
        let (begins, ends) = (begun.clone(), may_end.clone());
        fleet.servers[0].set_script(move |request, stream| {
            // The daemon may have closed the connection already.
            let _ = stream.write_all(unframed_reply(request).as_bytes());
            begins.fetch_add(1, Ordering::SeqCst);
            while !ends.load(Ordering::SeqCst) {
                thread::sleep(HOLD_INTERVAL);
            }
            AfterResponse::Close
        });
        Self { fleet, log, begun, may_end }
    }

    /// Lets the server leave while requests are in flight, and end as `end` says; returns the responses.
    fn responses<E>(&self, departure: Departure, end: E) -> Vec<HttpResponse>
    where
        E: Fn(&Self),
    {
        thread::scope(|scope| {
            let send = |route: &'static str, number: usize| {
                let (path, id) = (format!("/{route}/"), format!("{route}-{number}"));
                let request = self.fleet.request(0, "POST", &path, &id).body("x");
                scope.spawn(move || request.send().expect("should respond"))
            };
            let requests = ROUTES.iter().flat_map(|route| (0..REQUESTS).map(move |n| (*route, n)));
            let requests: Vec<_> = requests.map(|(route, n)| send(route, n)).collect();
            let all = requests.len();
            wait_until("all replies have begun", || self.begun.load(Ordering::SeqCst) == all);
            self.leave(departure);
            end(self);
            let responses = requests.into_iter().map(|request| request.join());
            responses.map(|response| response.expect("should not panic")).collect()
        })
    }

    fn leave(&self, departure: Departure) {
        let status = match departure {
            Departure::None => return,
            Departure::Announced => {
                self.fleet.register_in_state(0, "draining");
                "leaving"
            }
            Departure::Unlisted => {
                self.fleet.remove_registration(&self.fleet.servers[0].id());
                "unlisted"
            }
        };
        wait_until("the daemon knows that the server leaves", || {
            self.log.count("target", status) > 0
        });
    }

    fn end_replies(&self) {
        self.may_end.store(true, Ordering::SeqCst);
    }
}

/// Lets a server leave and be gone before its replies are whole; `crash` ends it.
fn check_cut_replies<C>(departure: Departure, crash: C)
where
    C: Fn(&ServerStandin),
{
    let case = LeavingCase::start();
    let responses = case.responses(departure, |case| {
        crash(&case.fleet.servers[0]);
        case.end_replies();
    });
    for response in responses {
        let looks_whole = response.status == 200 && response.is_complete;
        assert!(!looks_whole, "{departure:?}: {response:?}");
    }
}

// Guards against half of a reply that its caller takes for the whole, as its server was gone early.
#[test]
fn replies_without_length_that_end_with_a_leaving_server_are_not_complete() {
    check_cut_replies(Departure::Announced, ServerStandin::crash);
}

// Guards against the same at a server that never said that it leaves.
#[test]
fn replies_without_length_that_end_with_an_unlisted_server_are_not_complete() {
    check_cut_replies(Departure::Unlisted, ServerStandin::crash);
}

// Guards against the same at a process whose listener accepts connections for some moments after its end.
#[test]
fn replies_without_length_are_not_complete_if_the_listener_of_their_server_is_closed_last() {
    let crash_late = |server: &ServerStandin| server.crash_listener_last(LISTENER_DELAY);
    for departure in [Departure::None, Departure::Announced, Departure::Unlisted] {
        check_cut_replies(departure, crash_late);
    }
}

// Guards against whole replies of a leaving server that are rejected, since it might have been gone.
#[test]
fn replies_without_length_that_a_leaving_server_completes_are_complete() {
    for departure in [Departure::Announced, Departure::Unlisted] {
        let case = LeavingCase::start();
        for response in case.responses(departure, LeavingCase::end_replies) {
            let seen = (response.status, response.is_complete);
            assert_eq!(seen, (200, true), "{departure:?}: {response:?}");
        }
    }
}

/// Routes of all kinds.
const ALL_ROUTES: [&str; 4] = ["read", "once", "chat", "talk"];
/// An error reply's body, and how much of it is sent before the server crashes.
const ERROR_BODY: &str = "the model could not be loaded: step 1 of 2 failed; nothing was written";
const SENT_BYTES: usize = 40;

/// Sends the beginning of an error reply, and crashes.
fn crash_within_error(request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    let id = request.attempt_id();
    let head = format!("X-Attempt-Id: {id}\r\nX-Server-Stamp: s-{id}\r\n");
    let text = format!("HTTP/1.1 500 Failed\r\n{head}\r\n{}", &ERROR_BODY[..SENT_BYTES]);
    // The daemon may have closed the connection already.
    let _ = stream.write_all(text.as_bytes());
    thread::sleep(HOLD_INTERVAL);
    AfterResponse::Crash
}

// Guards against the part of an error reply that looks whole on some kinds of route, as its server crashed in the
// middle of it.
#[test]
fn error_replies_without_length_that_a_crash_cuts_are_not_complete() {
    for route in ALL_ROUTES {
        let fleet = FrontFleet::start(3, 1);
        fleet.servers.iter().for_each(|server| server.set_script(crash_within_error));
        let response = fleet.request(0, "POST", &format!("/{route}/"), "id").body("x").send();
        let response = response.expect("should respond");
        assert_eq!(response.header("x-server-stamp"), None, "{route}: {response:?}");
    }
}

/// Three servers and two daemons, of which the first is cut off from the servers. The second one reaches them without
/// a link, which would accept connections for a server that has crashed.
fn start_with_peer() -> FrontFleet {
    let mut fleet = FrontFleet::start(3, 0);
    let addresses: Vec<_> = fleet.servers.iter().map(|server| server.address).collect();
    fleet.link_daemons(1, &addresses);
    fleet.publish(&test_config(2));
    (0..addresses.len()).for_each(|number| fleet.register_in_state(number, "ready"));
    (0..2).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(await_ready);
    fleet.cut(0, LinkKind::Reset);
    fleet
}

// Guards against the same, and against half of a success, behind a peer.
#[test]
fn parts_of_replies_are_not_complete_through_a_peer() {
    for route in ALL_ROUTES {
        for is_error in [true, false] {
            let fleet = start_with_peer();
            wait_until("a peer serves the request", || {
                let response = fleet.request(0, "POST", "/read/", "whole").body("x").send();
                response.is_some_and(|response| response.status == 200)
            });
            for server in &fleet.servers {
                server.set_script(move |request, stream| match is_error {
                    true => crash_within_error(request, stream),
                    false => {
                        // The daemon may have closed the connection already.
                        let _ = stream.write_all(unframed_reply(request).as_bytes());
                        thread::sleep(HOLD_INTERVAL);
                        AfterResponse::Crash
                    }
                });
            }
            let response = fleet.request(0, "POST", &format!("/{route}/"), "id").body("x").send();
            let Some(response) = response else { continue };
            let has_stamp = response.header("x-server-stamp").is_some();
            assert!(!(has_stamp && response.is_complete), "{route}: {response:?}");
        }
    }
}

/// Bytes of an upload that no server reads whole: more than all buffers on its way.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;

/// How a server ends a reply to an upload that it has not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UploadEnd {
    /// It closes, which resets the connection.
    Close,
    /// It sends no more, and reads nothing.
    Finish,
}

/// Serves connections at a listener: reads the beginning of each request, and replies with a part of a body.
fn serve_uploads(listener: TcpListener, end: UploadEnd) {
    for mut stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let mut beginning = [0; 4096];
            let length = stream.read(&mut beginning).unwrap_or(0);
            let text = String::from_utf8_lossy(&beginning[..length]).to_ascii_lowercase();
            let lines = text.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
            let id = lines.unwrap_or("-").trim();
            let head = format!("X-Attempt-Id: {id}\r\nX-Server-Stamp: s-{id}\r\n");
            let event = "id: 1\ndata: one\n\n";
            // The daemon may have closed the connection already.
            let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n{event}").as_bytes());
            if end == UploadEnd::Finish {
                // Ignored: the daemon may have closed it.
                let _ = stream.shutdown(Shutdown::Write);
                thread::sleep(UPLOAD_HOLD);
            }
        });
    }
}

// Guards against the part of a reply without a length that looks whole though its server stopped reading the upload.
#[test]
fn replies_without_length_to_uploads_that_are_not_read_are_not_complete() {
    for end in [UploadEnd::Close, UploadEnd::Finish] {
        let mut fleet = FrontFleet::start(1, 0);
        let mut config = test_config(2);
        config["Limits"]["MaxBodyBytes"] = json!(UPLOAD_BYTES);
        fleet.publish(&config);
        let listener = TcpListener::bind(fleet.unused_address()).expect("a free address");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || serve_uploads(listener, end));
        let server = &fleet.servers[0];
        let entry = server.registration("s", "a", "ready");
        let entry = entry.replace(&server.address.to_string(), &address.to_string());
        fleet.store.put(&format!("{TARGET_PREFIX}{}", server.id()), &entry);
        fleet.add_daemon(0, None);
        fleet.daemons.iter().for_each(await_ready);
        for route in ALL_ROUTES {
            let request = fleet.request(0, "POST", &format!("/{route}/"), &format!("id-{route}"));
            let response = request.body(&"x".repeat(UPLOAD_BYTES)).send();
            let response = response.expect("should respond");
            let looks_whole = response.status == 200 && response.is_complete;
            assert!(!looks_whole, "{end:?} {route}: {response:?}");
        }
    }
}
