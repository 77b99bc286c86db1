//! Servers of the users' platform that stop in the middle of a reply's head and close: no caller gets a response
//! that looks complete, and a request that may run once only runs once.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::LinkKind;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::respond;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::wait::wait_until;

const KINDS: [(&str, &str); 4] =
    [("GET", "/read/"), ("POST", "/once/"), ("POST", "/chat/"), ("POST", "/talk/")];
/// Path of requests that are answered whole, which leave an open connection behind.
const WHOLE_PATH: &str = "/read/whole";

/// Where a head breaks off: after this text.
const BREAKS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-St",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: stamp\r\nContent-Len",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: stamp\r\nContent-Length: 1",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: stamp\r\nContent-Length: 5\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: stamp\r\n",
];

/// Makes a server break off each reply's head, except to `WHOLE_PATH`; counts the runs.
fn break_heads(server: &ServerStandin, text: &'static str, end: AfterResponse) -> Arc<AtomicUsize> {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    server.set_script(move |request: &WireRequest, stream: &mut TcpStream| {
        if request.path == WHOLE_PATH {
            return respond(request, stream, 200, "whole");
        }
        counted.fetch_add(1, Ordering::SeqCst);
        let head = text.replace("ID", request.attempt_id());
        // The daemon may have closed the connection already.
        let _ = stream.write_all(head.as_bytes());
        end
    });
    runs
}

/// Sends a request of each kind through a daemon for each break and end, and checks its response.
fn check_all(fleet: &FrontFleet, daemon: usize) {
    for (number, text) in BREAKS.into_iter().enumerate() {
        for end in [AfterResponse::Close, AfterResponse::Reset] {
            for (method, path) in KINDS {
                check(fleet, daemon, number, text, end, (method, path));
            }
        }
    }
}

fn check(
    fleet: &FrontFleet,
    daemon: usize,
    number: usize,
    text: &'static str,
    end: AfterResponse,
    (method, path): (&str, &str),
) {
    let id = format!("id-{daemon}-{number}-{end:?}{path}").replace('/', "-");
    let runs: Vec<_> = fleet.servers.iter().map(|server| break_heads(server, text, end)).collect();
    // Leaves an open connection, on which requests that may run twice are sent.
    wait_until("a request is answered whole", || {
        let whole = fleet.request(daemon, "GET", WHOLE_PATH, &format!("{id}-whole")).send();
        whole.is_some_and(|response| response.status == 200)
    });
    let response = fleet.request(daemon, method, path, &id).body("x").send();
    let response = response.expect("should respond");
    assert_eq!(response.status, 502, "{id}: {response:?}");
    let runs: usize = runs.iter().map(|runs| runs.load(Ordering::SeqCst)).sum();
    match path {
        "/once/" | "/talk/" => assert_eq!(runs, 1, "{id}"),
        _ => assert!(runs >= 1, "{id}"),
    }
}

// Guards against a reply whose head broke off and that reaches the caller as a success with an empty or short
// body.
#[test]
fn reply_whose_head_breaks_off_is_no_success() {
    let fleet = FrontFleet::start(1, 1);
    check_all(&fleet, 0);
}

// The same for a daemon that is cut off from the servers, whose requests a peer passes on.
#[test]
fn reply_whose_head_breaks_off_at_a_peer_is_no_success() {
    let fleet = FrontFleet::start_linked(2, 2);
    fleet.cut(0, LinkKind::Reset);
    check_all(&fleet, 0);
}

/// Statuses of replies that are no final ones: switching protocols, and what is no status.
const STATUSES: [&str; 6] = ["101", "000", "099", "0", "2000", "20x"];

fn check_statuses(fleet: &FrontFleet, daemon: usize) {
    for status in STATUSES {
        fleet.servers.iter().for_each(|server| {
            server.set_script(|request, stream| respond(request, stream, 200, "whole"));
        });
        wait_until("a request is answered whole", || {
            let whole = fleet.request(daemon, "GET", WHOLE_PATH, "whole").send();
            whole.is_some_and(|response| response.status == 200)
        });
        for server in &fleet.servers {
            server.set_script(move |request, stream| {
                let id = request.attempt_id();
                let head = format!(
                    "HTTP/1.1 {status} Odd\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: stamp-{id}\r\n\
                     Connection: upgrade\r\nUpgrade: other\r\nContent-Length: 0\r\n\r\n"
                );
                // The daemon may have closed the connection already.
                let _ = stream.write_all(head.as_bytes());
                AfterResponse::Keep
            });
        }
        for (method, path) in KINDS {
            let id = format!("id-{daemon}-{status}{path}").replace('/', "-");
            let response = fleet.request(daemon, method, path, &id).body("x").send();
            let response = response.expect("should respond");
            assert_eq!(response.status, 502, "{id}: {response:?}");
            assert_eq!(response.header("x-server-stamp"), None, "{id}");
        }
    }
}

// Guards against a reply with a status that is no final one, which reaches the caller as an answer.
#[test]
fn reply_without_a_final_status_is_no_reply() {
    let fleet = FrontFleet::start(1, 1);
    check_statuses(&fleet, 0);
}

// Guards against the same behind a peer.
#[test]
fn reply_without_a_final_status_is_no_reply_through_a_peer() {
    let fleet = FrontFleet::start_linked(2, 2);
    fleet.cut(0, LinkKind::Reset);
    check_statuses(&fleet, 0);
}
