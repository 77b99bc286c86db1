//! Servers that write an earlier refusal once more where the reply to the next request is due, and run that
//! request: callers must not be told that it has not run, and it must not run at a second server.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::stream_head;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::wait::wait_until;

const SERVERS: usize = 4;
/// Requests of each kind.
const REQUESTS: usize = 40;
/// Each request with a number that is a multiple of this is turned away by a server.
const REFUSED_EACH: usize = 3;

/// How a repeated refusal names a request.
#[derive(Clone, Copy)]
enum RepeatedId {
    /// Not at all.
    None,
    /// As the refusal did that it repeats.
    Earlier,
}

fn write_refusal(stream: &mut TcpStream, id: Option<&str>) -> AfterResponse {
    let id = id.map(|id| format!("X-Attempt-Id: {id}\r\n")).unwrap_or_default();
    let text = format!(
        "HTTP/1.1 503 Full\r\n{id}X-Not-Executed: 1\r\nServer-Leaving: 1\r\nRetry-After: 30\r\n\
         X-Server-Load: 9,9,8\r\nContent-Length: 0\r\n\r\n"
    );
    // The daemon may have closed the connection already.
    let _ = stream.write_all(text.as_bytes());
    AfterResponse::Keep
}

fn complete(request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    if !request.path.starts_with("/chat/") && !request.path.starts_with("/talk/") {
        return respond(request, stream, 200, "whole");
    }
    let text = format!("{}{}0\r\n\r\n", stream_head(request), event_chunk(1));
    // The daemon may have closed the connection already.
    let _ = stream.write_all(text.as_bytes());
    AfterResponse::Keep
}

/// Makes a server write an earlier refusal before the reply to each request that it runs.
fn set_script(server: &ServerStandin, repeated: RepeatedId, runs: Arc<AtomicUsize>) {
    server.set_script(move |request, stream| {
        runs.fetch_add(1, Ordering::SeqCst);
        write_refusal(
            stream,
            match repeated {
                RepeatedId::None => None,
                RepeatedId::Earlier => Some("an-earlier-request"),
            },
        );
        complete(request, stream)
    });
}

/// Sends requests of each kind: what has run is neither refused nor sent again unless it may run twice, and
/// no target is left out for what a repeated refusal says.
fn check_requests(repeated: RepeatedId) {
    let fleet = FrontFleet::start(SERVERS, 1);
    let runs = Arc::new(AtomicUsize::new(0));
    for (method, path) in
        [("POST", "/once/"), ("POST", "/talk/"), ("GET", "/read/"), ("POST", "/chat/")]
    {
        for number in 0..REQUESTS {
            let id = format!("{}{number}", path.replace('/', "-"));
            // One server in turn repeats a refusal; the others reply as usual.
            for (index, server) in fleet.servers.iter().enumerate() {
                match index == number % REFUSED_EACH {
                    true => set_script(server, repeated, runs.clone()),
                    false => server.set_script(complete),
                }
            }
            let response =
                fleet.request(0, method, path, &id).body("x").send().expect("should respond");
            let sends = fleet.request_count(&id);
            assert!(sends > 0, "{id}: {}", response.status);
            assert!(!matches!(response.status, 408 | 421 | 429 | 503), "{id}: {}", response.status);
            if path == "/once/" || path == "/talk/" {
                assert_eq!(sends, 1, "{id} reached {sends} servers");
            } else {
                assert_eq!(response.status, 200, "{id}, which another server can serve");
            }
        }
    }
    assert!(runs.load(Ordering::SeqCst) > SERVERS, "refusals were repeated");
    for server in &fleet.servers {
        server.set_script(complete);
    }
    let before: Vec<_> = fleet.servers.iter().map(|server| server.requests().len()).collect();
    let has_got_some =
        |(server, before): (&ServerStandin, &usize)| server.requests().len() > *before;
    let mut number = 0;
    wait_until("each server gets requests again", || {
        number += 1;
        let response = fleet.request(0, "GET", "/read/", &format!("after-{number}")).send();
        assert_eq!(response.map(|response| response.status), Some(200));
        fleet.servers.iter().zip(&before).all(has_got_some)
    });
}

// Guards against requests that are said not to have run, or run at a second server, for a repeated refusal that
// names no request.
#[test]
fn repeated_refusal_without_an_id_is_not_believed() {
    check_requests(RepeatedId::None);
}

// Guards against the same for one that names the earlier request, and against what it says of the server.
#[test]
fn repeated_refusal_of_an_earlier_request_is_not_believed() {
    check_requests(RepeatedId::Earlier);
}
