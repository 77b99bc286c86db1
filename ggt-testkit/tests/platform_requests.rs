//! Requests with a single response on the users' platform: they are forwarded unchanged, idempotent ones
//! are retried on other servers, and others run at most once.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::respond;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::wait::wait_until;

fn refuse(request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    let id = request.attempt_id();
    let head = format!(
        "HTTP/1.1 503 Busy\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    match stream.write_all(head.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}

fn close(_: &WireRequest, _: &mut TcpStream) -> AfterResponse {
    AfterResponse::Close
}

#[test]
fn request_is_forwarded_with_system_headers_and_without_forged_ones() {
    let fleet = FrontFleet::start(1, 1);
    let request = fleet
        .request(0, "POST", "/once/a/b?x=1&y=%20z", "id-1")
        .header("x-tenant", "somebody-else")
        .header("x-hold", "forged")
        .header("kv-from", "forged")
        .header("x-custom", "kept")
        .body("the body");
    let response = request.send().expect("should respond");
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    assert_eq!(response.header("x-server-stamp"), Some("stamp-id-1"));
    let requests = fleet.servers[0].requests();
    let [received] = requests.as_slice() else {
        panic!("the server got {} requests", requests.len())
    };
    assert_eq!(
        (received.method.as_str(), received.path.as_str()),
        ("POST", "/once/a/b?x=1&y=%20z")
    );
    assert_eq!(received.body, b"the body");
    assert_eq!(received.header("x-attempt-id"), Some("id-1"));
    assert_eq!(received.header("x-tenant"), Some("c1"));
    assert_eq!(received.header("x-expect-instance"), Some("i-0"));
    assert_eq!(received.header("x-custom"), Some("kept"));
    for name in ["authorization", "x-hold", "kv-from"] {
        assert_eq!(received.header(name), None, "{name} was forwarded");
    }
    let remaining_ms: u64 = received
        .header("x-deadline-ms")
        .and_then(|x| x.parse().ok())
        .expect("x-deadline-ms should be a number");
    assert!((1..=20_000).contains(&remaining_ms), "{remaining_ms} ms");
}

#[test]
fn unknown_keys_and_paths_are_refused() {
    let fleet = FrontFleet::start(1, 1);
    let unknown = fleet.request(0, "GET", "/elsewhere/", "id-1").send().expect("should respond");
    assert_eq!(unknown.status, 404);
    let request = HttpRequest::new("GET", fleet.daemons[0].callers, "/read/");
    let request = request.header("host", "chat.example").header("x-attempt-id", "id-2");
    assert_eq!(request.clone().send().expect("should respond").status, 401);
    let wrong = request.header("authorization", "Token wrong").send().expect("should respond");
    assert_eq!(wrong.status, 401);
    assert!(fleet.servers[0].requests().is_empty());
}

#[test]
fn non_idempotent_request_is_not_resent_after_a_lost_reply() {
    let fleet = FrontFleet::start(2, 1);
    fleet.servers.iter().for_each(|server| server.set_script(close));
    let response =
        fleet.request(0, "POST", "/once/", "id-1").body("x").send().expect("should respond");
    assert_eq!(response.status, 502, "the status must not say that the request did not run");
    assert_eq!(fleet.request_count("id-1"), 1);
}

#[test]
fn refused_non_idempotent_request_gets_retry_after() {
    let fleet = FrontFleet::start(2, 1);
    fleet.servers.iter().for_each(|server| server.set_script(refuse));
    let response =
        fleet.request(0, "POST", "/once/", "id-1").body("x").send().expect("should respond");
    assert_eq!(response.status, 503);
    let after: f64 = response
        .header("retry-after")
        .and_then(|x| x.parse().ok())
        .expect("retry-after should be a number");
    assert!(after > 0.0 && after < 2.0, "{after} s");
}

#[test]
fn idempotent_request_is_retried_on_another_server() {
    let fleet = FrontFleet::start(3, 1);
    fleet.servers[0].set_script(close);
    fleet.servers[1].set_script(refuse);
    for number in 0..12 {
        let id = format!("id-{number}");
        let response = fleet.request(0, "GET", "/read/", &id).send().expect("should respond");
        assert_eq!((response.status, response.body.as_str()), (200, "whole"));
        assert!(fleet.request_count(&id) <= 3, "more attempts than the route allows");
    }
    assert!(!fleet.servers[0].requests().is_empty() && !fleet.servers[1].requests().is_empty());
}

#[test]
fn unreachable_server_does_not_fail_a_non_idempotent_request() {
    let fleet = FrontFleet::start(1, 1);
    let unused = fleet.unused_address();
    let registration = fleet.servers[0].registration("s", "a", "ready");
    let registration =
        registration.replace(&fleet.servers[0].address.to_string(), &unused.to_string());
    fleet.store.put("servers/i-dead", &registration);
    let mut number = 0;
    wait_until("the unreachable server was tried", || {
        number += 1;
        let id = format!("id-{number}");
        let response =
            fleet.request(0, "POST", "/once/", &id).body("x").send().expect("should respond");
        assert_eq!(response.status, 200);
        assert_eq!(fleet.request_count(&id), 1);
        let metrics = HttpRequest::new("GET", fleet.daemons[0].admin, "/metrics").send();
        let metrics = metrics.map(|response| response.body).unwrap_or_default();
        metrics.lines().any(|line| line.contains("sends_total") && line.contains("not-sent"))
    });
}

#[test]
fn reply_to_another_request_is_not_forwarded() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| {
        let other = WireRequest {
            headers: vec![("x-attempt-id".to_owned(), "id-other".to_owned())],
            ..request.clone()
        };
        respond(&other, stream, 200, "another's")
    });
    let response =
        fleet.request(0, "POST", "/once/", "id-1").body("x").send().expect("should respond");
    assert_eq!(response.status, 502);
    assert!(!response.body.contains("another's"));
}

#[test]
fn second_reply_on_a_reused_connection_is_not_forwarded() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| {
        respond(request, stream, 200, "first");
        thread::sleep(Duration::from_millis(20));
        respond(request, stream, 200, "second")
    });
    for number in 0..30 {
        let id = format!("id-{number}");
        let response = fleet.request(0, "GET", "/read/", &id).send().expect("should respond");
        if response.status == 200 {
            assert_eq!(response.header("x-attempt-id"), Some(id.as_str()));
            assert_eq!(response.body, "first");
        }
    }
}

#[test]
fn truncated_reply_is_answered_with_502() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n\
             Content-Length: 100\r\n\r\nonly this"
        );
        // The daemon may have closed the connection already.
        let _ = stream.write_all(text.as_bytes());
        AfterResponse::Close
    });
    let once = fleet.request(0, "POST", "/once/", "id-1").body("x").send().expect("should respond");
    assert_eq!(once.status, 502);
    let read = fleet.request(0, "GET", "/read/", "id-2").send().expect("should respond");
    assert_eq!(read.status, 502);
}

#[test]
fn success_without_a_server_stamp_is_answered_with_502() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let text = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nno");
        // The daemon may have closed the connection already.
        let _ = stream.write_all(text.as_bytes());
        AfterResponse::Keep
    });
    let response =
        fleet.request(0, "POST", "/once/", "id-1").body("x").send().expect("should respond");
    assert_eq!(response.status, 502);
}

#[test]
fn server_error_is_forwarded_unchanged() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| respond(request, stream, 500, "server error"));
    let response =
        fleet.request(0, "POST", "/once/", "id-1").body("x").send().expect("should respond");
    assert_eq!((response.status, response.body.as_str()), (500, "server error"));
    assert_eq!(response.header("x-server-stamp"), Some("stamp-id-1"));
}

#[test]
fn server_connection_is_closed_when_the_caller_disconnects() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|_, stream| {
        // Blocks until the daemon closes the connection.
        let _ = std::io::Read::read(stream, &mut [0; 1]);
        AfterResponse::Close
    });
    let mut caller = TcpStream::connect(fleet.daemons[0].callers).expect("should connect");
    let head = "GET /read/ HTTP/1.1\r\nHost: chat.example\r\nX-Attempt-Id: id-1\r\n\
                X-Deadline-Ms: 20000\r\nAuthorization: Token key-of-c1\r\n\r\n";
    caller.write_all(head.as_bytes()).expect("should send the request");
    wait_until("the server has the request", || fleet.request_count("id-1") == 1);
    drop(caller);
    wait_until("the server's connection is closed", || fleet.servers[0].closed_connections() == 1);
}

#[test]
fn request_gets_504_at_its_deadline() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|_, stream| {
        // Blocks until the daemon closes the connection.
        let _ = std::io::Read::read(stream, &mut [0; 1]);
        AfterResponse::Close
    });
    let request = ggt_testkit::http::HttpRequest::new("POST", fleet.daemons[0].callers, "/once/");
    let request = request
        .header("host", "chat.example")
        .header("x-attempt-id", "id-1")
        .header("x-deadline-ms", "300")
        .header("authorization", "Token key-of-c1");
    assert_eq!(request.body("x").send().expect("should respond").status, 504);
}

#[test]
fn server_error_of_an_idempotent_or_streaming_request_is_forwarded() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| respond(request, stream, 500, "server error"));
    // A status of the daemon's own, such as 503, could mean that the request did not run.
    for path in ["/read/", "/chat/"] {
        let response = fleet.request(0, "GET", path, "id-1").send().expect("should respond");
        assert_eq!((response.status, response.body.as_str()), (500, "server error"), "{path}");
    }
}

#[test]
fn server_that_resets_idle_connections_still_serves() {
    let fleet = FrontFleet::start(1, 1);
    // Each connection serves one request and is reset when the next one arrives on it.
    fleet.servers[0].set_script(|request, stream| {
        respond(request, stream, 200, "whole");
        let mut next = [0; 1];
        // Blocks until the daemon sends the next request or closes the connection.
        let _ = std::io::Read::read(stream, &mut next);
        AfterResponse::Close
    });
    for number in 0..20 {
        let id = format!("id-{number}");
        let response = fleet.request(0, "GET", "/read/", &id).send().expect("should respond");
        assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    }
}

/// Requests that are sent at the same time.
const REQUESTS: usize = 30;
/// Requests that the only server runs at the same time.
const SLOTS: usize = 8;

#[test]
fn overloaded_service_refuses_without_reaching_its_server() {
    let fleet = FrontFleet::start(1, 1);
    // From the first response the daemon measures a service time of 1.5 s, far above the latency
    // objective of 300 ms.
    fleet.servers[0].set_script(|request, stream| {
        thread::sleep(Duration::from_millis(1_500));
        respond(request, stream, 200, "whole")
    });
    let first = fleet.request(0, "POST", "/once/", "id-first").body("x").send();
    assert_eq!(first.map(|response| response.status), Some(200));
    let (release, gate) = crossbeam::channel::bounded::<()>(0);
    fleet.servers[0].set_script(move |request, stream| {
        // All requests continue when the sender is dropped.
        let _ = gate.recv();
        respond(request, stream, 200, "whole")
    });
    let (sender, responses) = crossbeam::channel::unbounded();
    for number in 0..REQUESTS {
        let request = fleet.request(0, "POST", "/once/", &format!("id-{number}")).body("x");
        let sender = sender.clone();
        thread::spawn(move || sender.send((number, request.send())));
    }
    // Until the sender is dropped, only refusals can arrive.
    let refused: Vec<_> = responses.iter().take(REQUESTS - SLOTS).collect();
    for (number, response) in &refused {
        let response = response.as_ref().expect("should respond");
        assert!(matches!(response.status, 429 | 503), "{number}: {}", response.status);
        assert!(response.header("retry-after").is_some(), "{number}: no retry-after");
        assert_eq!(
            fleet.request_count(&format!("id-{number}")),
            0,
            "a refused request reached the server"
        );
    }
    drop(release);
    let admitted: Vec<_> = responses.iter().take(SLOTS).collect();
    let statuses = admitted.iter().filter_map(|(_, response)| response.as_ref().map(|r| r.status));
    assert!(
        statuses.filter(|status| *status == 200).count() > SLOTS / 2,
        "at most half of the server's slots were used"
    );
}
