//! Servers that say in their responses that they leave, on the users' platform: their registration in the
//! store stays as it was.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::respond_with;
use ggt_standin::users_platform::stream_head_with;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Header line of a server that leaves.
const LEAVING_LINE: &str = "Server-Leaving: 1\r\n";
/// Header line of a server that has not run the request.
const NOT_RUN_LINE: &str = "X-Not-Executed: 1\r\n";
/// End of a chunked body.
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Requests that each daemon gets once it knows.
const LATER_REQUESTS: usize = 40;

/// Responds with status 200 and these header lines.
fn respond_whole(request: &WireRequest, stream: &mut TcpStream, lines: &str) -> AfterResponse {
    if request.path != "/chat/" {
        return respond_with(request, stream, 200, lines, "whole");
    }
    let text = format!("{}{}{LAST_CHUNK}", stream_head_with(request, lines), event_chunk(1));
    write_text(stream, &text)
}

/// Rejects the request without the server's stamp and with these header lines.
fn reject(request: &WireRequest, stream: &mut TcpStream, lines: &str) -> AfterResponse {
    let id = request.attempt_id();
    let text = format!(
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\n{NOT_RUN_LINE}{lines}Content-Length: 0\r\n\r\n"
    );
    write_text(stream, &text)
}

fn write_text(stream: &mut TcpStream, text: &str) -> AfterResponse {
    match stream.write_all(text.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}

fn send(fleet: &FrontFleet, daemon: usize, number: usize) -> HttpResponse {
    let path = if number.is_multiple_of(2) { "/read/" } else { "/chat/" };
    let request = fleet.request(daemon, "POST", path, &format!("call-{daemon}-{number}"));
    request.body("body").send().expect("should respond")
}

/// The daemons that have sent requests to a server.
fn daemons_seen_by(fleet: &FrontFleet, server: usize) -> BTreeSet<String> {
    let ids = fleet.servers[server].requests().into_iter().map(|r| r.attempt_id().to_owned());
    ids.filter_map(|id| id.split('-').nth(1).map(str::to_owned)).collect()
}

// Guards against requests to a server that says in any kind of response that it leaves, while its
// registration says that it is ready.
#[test]
fn server_that_says_that_it_leaves_gets_no_further_request() {
    let fleet = FrontFleet::start(4, 2);
    fleet.servers[0].set_script(|request, stream| respond_whole(request, stream, LEAVING_LINE));
    fleet.servers[1].set_script(|request, stream| reject(request, stream, LEAVING_LINE));
    fleet.servers[2]
        .set_script(|request, stream| respond_with(request, stream, 500, LEAVING_LINE, "failed"));
    fleet.servers[3].set_script(|request, stream| respond_whole(request, stream, ""));
    let mut count = 0;
    for server in 0..3 {
        wait_until("each daemon has got a response of the server", || {
            (0..2).for_each(|daemon| drop(send(&fleet, daemon, count)));
            count += 1;
            daemons_seen_by(&fleet, server).len() == 2
        });
    }
    let counts = || [0, 1, 2].map(|server: usize| fleet.servers[server].requests().len());
    let before = counts();
    for server in &fleet.servers[..3] {
        let registration = server.registration("s", "a", "ready").replace("\"Seq\":1", "\"Seq\":2");
        fleet.store.put(&format!("{TARGET_PREFIX}{}", server.id()), &registration);
    }
    for number in count..count + LATER_REQUESTS {
        for daemon in 0..2 {
            assert_eq!(send(&fleet, daemon, number).status, 200);
        }
    }
    assert_eq!(counts(), before, "requests at the servers that leave");
}

// Guards against streams that a server ends or loses because it has said that it leaves, and against requests
// that go there, or wait, when all servers of a service say so.
#[test]
fn stream_of_the_only_server_ends_well_and_new_requests_are_refused_at_once() {
    let fleet = FrontFleet::start(1, 1);
    let is_over = Arc::new(AtomicBool::new(false));
    let script_over = is_over.clone();
    fleet.servers[0].set_script(move |request, stream| {
        if request.attempt_id() != "held" {
            return respond_whole(request, stream, "");
        }
        let begin = [stream_head_with(request, LEAVING_LINE), event_chunk(1)].concat();
        write_text(stream, &begin);
        while !script_over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        write_text(stream, &format!("{}{LAST_CHUNK}", event_chunk(2)))
    });
    thread::scope(|scope| {
        let stream = scope.spawn(|| {
            let request = fleet.request(0, "POST", "/chat/", "held").body("body");
            request.send().expect("should respond")
        });
        let mut count = LATER_REQUESTS;
        wait_until("the daemon refuses requests", || {
            count += 1;
            send(&fleet, 0, count).status == 503
        });
        let before = fleet.servers[0].requests().len();
        for number in 0..LATER_REQUESTS {
            let response = send(&fleet, 0, number);
            assert_eq!(response.status, 503, "{}", response.body);
            let seconds = response.header("retry-after").expect("header").parse::<f64>();
            assert!(seconds.expect("number") > 0.0);
        }
        assert_eq!(fleet.servers[0].requests().len(), before);
        is_over.store(true, Ordering::SeqCst);
        let response = stream.join().expect("should not panic");
        assert_eq!(response.status, 200);
        assert!(response.is_complete && response.body.contains("piece 2"), "{}", response.body);
    });
}

// Guards against a server that is used again after its registration was removed and has come back.
#[test]
fn server_that_has_left_is_not_used_when_it_is_listed_again() {
    let mut fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| respond_whole(request, stream, LEAVING_LINE));
    assert_eq!(send(&fleet, 0, 0).status, 200);
    fleet.remove_registration("i-0");
    fleet.add_server("i-1");
    // Even numbers are plain requests, which the other servers answer by their usual script.
    let mut count = 0;
    wait_until("the other server is used", || {
        count += 2;
        send(&fleet, 0, count).status == 200
    });
    let before = fleet.servers[0].requests().len();
    let registration = fleet.servers[0].registration("s", "a", "ready");
    fleet.store.put(&format!("{TARGET_PREFIX}i-0"), &registration);
    fleet.add_server("i-2");
    wait_until("the last server is used", || {
        count += 2;
        send(&fleet, 0, count);
        !fleet.servers[2].requests().is_empty()
    });
    for number in 0..LATER_REQUESTS {
        assert_eq!(send(&fleet, 0, count + 2 * number).status, 200);
    }
    assert_eq!(fleet.servers[0].requests().len(), before);
}
