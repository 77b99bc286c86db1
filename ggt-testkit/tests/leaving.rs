//! Targets that leave, graceful shutdown of daemons, and daemons that were paused.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use serde_json::Value;
use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::fleet::create_key;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::wait::wait_until;

fn fleet() -> TestFleet {
    TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 2), ("attica-b", 1)],
        engines: 2,
        services: 1,
        ..FleetOptions::default()
    })
}

fn status_of<'a>(status: &'a Value, target: &str) -> &'a str {
    let targets = status["targets"].as_array().map(Vec::as_slice).unwrap_or_default();
    let found = targets.iter().find(|entry| entry["name"] == target);
    found.and_then(|entry| entry["status"].as_str()).unwrap_or("absent")
}

/// Waits until each daemon gives a target this status.
fn await_target_status(fleet: &TestFleet, index: usize, expected: &str) {
    let name = &fleet.targets[index].name;
    for daemon in 0..fleet.daemons.len() {
        fleet.await_status(&format!("the target is {expected}"), daemon, |status| {
            status_of(status, name) == expected
        });
    }
}

fn started(fleet: &TestFleet, index: usize) -> u64 {
    fleet.control_target(index, "stats").expect("engine should report its stats").json()["started"]
        .as_u64()
        .unwrap_or(0)
}

fn chat_everywhere(fleet: &TestFleet, rounds: usize) {
    for number in 0..rounds {
        let daemon = number % fleet.daemons.len();
        let request = fleet.request(daemon, "POST", "/chat?tokens=1");
        let response = request.header("x-chat-id", &format!("c{number}")).body("x").send();
        assert_eq!(response.expect("should respond").status, 200);
    }
}

#[test]
fn target_that_reports_leaving_gets_no_new_requests_despite_a_stale_host_list() {
    let mut fleet = fleet();
    let index = fleet.targets_of("intake")[0];
    // The host list still shows it as live; only the target's own responses report that it leaves.
    fleet.control_target(index, "leave");
    await_target_status(&fleet, index, "leaving");
    // A newly published list that still shows it as live does not make it ready again.
    let version = fleet.publish_hosts();
    for daemon in 0..fleet.daemons.len() {
        fleet.await_status("the host list is applied", daemon, |status| {
            status["hosts_version"] == version
        });
    }
    let before = started(&fleet, index);
    chat_everywhere(&fleet, 40);
    assert_eq!(started(&fleet, index), before, "the leaving target got new requests");
    // A new incarnation of the target gets requests again.
    fleet.targets[index].incarnation = 2;
    fleet.target_process(index).kill();
    fleet.start_target(index);
    fleet.publish_hosts();
    await_target_status(&fleet, index, "ready");
    wait_until("the new incarnation gets requests", || {
        chat_everywhere(&fleet, 20);
        started(&fleet, index) > 0
    });
}

#[test]
fn late_host_list_does_not_revive_a_leaving_target() {
    let mut fleet = fleet();
    let index = fleet.targets_of("intake")[0];
    let name = fleet.targets[index].name.clone();
    // A list from before the target left is delivered 400 ms late, after the newer one.
    fleet.publish_hosts_delayed(400);
    fleet.targets[index].leaving = true;
    let version = fleet.publish_hosts();
    await_target_status(&fleet, index, "leaving");
    for daemon in 0..fleet.daemons.len() {
        fleet.await_status("the late list is applied", daemon, |status| {
            status["hosts_version"].as_u64() > Some(version)
        });
        let status = fleet.status(daemon).expect("daemon should report its status");
        assert_eq!(status_of(&status, &name), "leaving");
    }
}

#[test]
fn daemon_with_a_stale_host_list_gets_leaving_state_from_peers() {
    let mut fleet = TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 2), ("attica-b", 1)],
        engines: 2,
        services: 0,
        proxied: true,
        ..FleetOptions::default()
    });
    let index = fleet.targets_of("intake")[0];
    // Daemon 0 reaches the platform at once, daemon 1 with a delay, daemon 2 not at all.
    for (daemon, plan) in ["", "delay_ms=700", "refuse=1&cut_down=0"].iter().enumerate() {
        fleet.set_fault_plan(fleet.daemons[daemon].platform, plan);
    }
    fleet.targets[index].leaving = true;
    fleet.publish_hosts();
    await_target_status(&fleet, index, "leaving");
    let before = started(&fleet, index);
    chat_everywhere(&fleet, 40);
    assert_eq!(started(&fleet, index), before, "the leaving target got new requests");
}

#[test]
fn target_listed_as_leaving_gets_no_new_requests() {
    let mut fleet = fleet();
    let index = fleet.targets_of("intake")[1];
    fleet.targets[index].leaving = true;
    fleet.publish_hosts();
    await_target_status(&fleet, index, "leaving");
    let before = started(&fleet, index);
    chat_everywhere(&fleet, 40);
    assert_eq!(started(&fleet, index), before);
}

#[test]
fn graceful_shutdown_completes_all_requests() {
    let mut fleet = fleet();
    let is_over = AtomicBool::new(false);
    let (answered, lost) = thread::scope(|scope| {
        let (borrowed, is_over) = (&fleet, &is_over);
        let keep_alive: Vec<_> = (0..4)
            .map(|caller| scope.spawn(move || send_until(borrowed, is_over, caller)))
            .collect();
        let streams: Vec<_> = (0..6)
            .map(|number| {
                let path = "/chat?tokens=150&gap_ms=10";
                let request = borrowed.request(0, "POST", path).body(&format!("stream {number}"));
                scope.spawn(move || {
                    let (head, mut reader) = request.open().expect("should respond");
                    let mut text = String::new();
                    let is_complete = reader.read_to_string(&mut text).is_ok();
                    (head.status, is_complete, text.matches("data:").count())
                })
            })
            .collect();
        let submits: Vec<_> = (0..4)
            .map(|_| {
                let request = borrowed.request(0, "POST", "/filings?after_ms=900");
                let request = request.header("idempotency-key", &create_key()).body("filing");
                scope.spawn(move || request.send().expect("should respond").verdict().to_owned())
            })
            .collect();
        borrowed.await_status("all requests are in flight", 0, |status| {
            status["in_flight"].as_u64().is_some_and(|count| count >= 10)
        });
        borrowed.terminate_daemon(0);
        for stream in streams {
            assert_eq!(stream.join().expect("thread should not panic"), (200, true, 150));
        }
        for submit in submits {
            assert_eq!(submit.join().expect("thread should not panic"), "ran");
        }
        wait_until("the daemon has stopped", || borrowed.status(0).is_none());
        is_over.store(true, Ordering::SeqCst);
        keep_alive
            .into_iter()
            .map(|caller| caller.join().expect("thread should not panic"))
            .fold((0, Vec::new()), |(answered, lost), (more, gone)| {
                (answered + more, [lost, gone].concat())
            })
    });
    assert_eq!(
        fleet.daemon_process(0).wait().code(),
        Some(0),
        "the daemon cut requests at its drain deadline, or failed"
    );
    assert!(answered > 0);
    assert!(lost.is_empty(), "requests on reused connections got no complete response: {lost:#?}");
}

/// Sends requests on a keep-alive connection until `is_over` or until the daemon accepts no new
/// connection, when a load balancer would use another daemon. A request that was written on an open
/// connection and got no complete response is lost. Returns the count of responses and a description
/// of each loss.
fn send_until(fleet: &TestFleet, is_over: &AtomicBool, caller: usize) -> (usize, Vec<String>) {
    let address = fleet.daemons[0].callers;
    let body = format!("caller {caller}");
    let request = format!(
        "POST /chat?tokens=1&gap_ms=1 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer \
         contabil-key\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let (mut answered, mut lost) = (0, Vec::new());
    while let Ok(mut stream) = TcpStream::connect(address) {
        for number in 0.. {
            if is_over.load(Ordering::SeqCst) {
                return (answered, lost);
            }
            let response = exchange(&mut stream, &request);
            if !response.starts_with("HTTP/1.1 200") || !response.ends_with("0\r\n\r\n") {
                lost.push(format!(
                    "caller {caller}, request {number} of a connection: {response:?}"
                ));
                break;
            }
            answered += 1;
            if response.contains("connection: close") {
                break;
            }
            // Some callers send often, others at longer intervals than the drain announcement lasts,
            // but none so rarely that the daemon closes its connection as idle.
            thread::sleep(std::time::Duration::from_millis(20 + 140 * caller as u64));
        }
    }
    (answered, lost)
}

/// Writes a request and reads up to the end of its chunked response.
fn exchange(stream: &mut TcpStream, request: &str) -> String {
    let mut response = String::new();
    if stream.write_all(request.as_bytes()).is_err() {
        return response;
    }
    let mut buffer = [0; 4_096];
    while !response.ends_with("0\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(length) => response.push_str(&String::from_utf8_lossy(&buffer[..length])),
        }
    }
    response
}

// Guards against a request without a response on a reused connection, since the response before it began
// before the shutdown, did not name the end of the connection, and outlasted the announcement.
#[test]
fn connection_of_a_response_that_outlasts_the_announcement_serves_the_next_request() {
    let fleet = fleet();
    let address = fleet.daemons[0].callers;
    let request_for = |path: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer \
             contabil-key\r\ncontent-length: 1\r\n\r\nx"
        )
    };
    let short = request_for("/chat?tokens=1&gap_ms=1");
    let mut idle = TcpStream::connect(address).expect("should connect");
    assert!(exchange(&mut idle, &short).starts_with("HTTP/1.1 200"));
    let mut stream = TcpStream::connect(address).expect("should connect");
    let long = request_for("/chat?tokens=2&hold_after=1&hold_as=long");
    stream.write_all(long.as_bytes()).expect("should write");
    let mut buffer = [0; 4_096];
    let mut response = String::new();
    while !response.contains("data:") {
        let length = stream.read(&mut buffer).expect("should read");
        response.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    fleet.terminate_daemon(0);
    // The daemon closes idle connections after the announcement.
    assert_eq!(idle.read(&mut buffer).expect("should be closed"), 0);
    for index in fleet.targets_of("intake") {
        fleet.control_target(index, "release/long");
    }
    let rest = exchange(&mut stream, "");
    assert!(rest.ends_with("0\r\n\r\n") && !response.contains("connection: close"), "{rest:?}");
    let next = exchange(&mut stream, &short);
    assert!(next.starts_with("HTTP/1.1 200") && next.ends_with("0\r\n\r\n"), "{next:?}");
    assert!(next.contains("connection: close"), "{next:?}");
}

#[test]
fn requests_cut_at_the_drain_deadline_are_logged() {
    let mut fleet = TestFleet::start(FleetOptions {
        settings: json!({ "timing": { "drain_ms": 800, "drain_announce_ms": 100 } }),
        ..FleetOptions::default()
    });
    let request = fleet.request(0, "POST", "/chat?tokens=2&hold_after=1");
    let (_, _reader) =
        request.header("x-request-id", "endless-1").body("x").open().expect("should respond");
    fleet.terminate_daemon(0);
    assert_eq!(fleet.daemon_process(0).wait().code(), Some(3));
    assert!(fleet.log(0).contains("event=cut-by-drain request_id=recife-a-1-"));
}

#[test]
fn draining_daemon_is_not_ready_and_is_reported_to_peers() {
    let fleet = TestFleet::start(FleetOptions {
        settings: json!({ "timing": { "drain_announce_ms": 3_000 } }),
        ..FleetOptions::default()
    });
    let name = fleet.daemons[0].name.clone();
    fleet.terminate_daemon(0);
    fleet.await_status("the daemon is draining", 0, |status| status["draining"] == true);
    let response = fleet.request(0, "GET", "/healthz").send().expect("should respond");
    assert_eq!(response.status, 503);
    let late =
        fleet.request(0, "POST", "/chat?tokens=1").body("still").send().expect("should respond");
    assert_eq!((late.status, late.header("connection")), (200, Some("close")));
    fleet.await_status("a peer shows the daemon as left", 1, |status| {
        let peers = status["peers"].as_array().map(Vec::as_slice).unwrap_or_default();
        peers.iter().any(|peer| peer["name"] == name.as_str() && peer["status"] == "left")
    });
}

#[test]
fn resumed_daemon_refreshes_its_state_before_routing() {
    let mut fleet = TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 2), ("attica-b", 1)],
        engines: 2,
        services: 0,
        proxied: true,
        // Neither gossip nor the platform updates the resumed daemon in time; it has to query its peers.
        settings: json!({ "timing": { "gossip_ms": 300_000, "refresh_ms": 60_000 } }),
        ..FleetOptions::default()
    });
    let index = fleet.targets_of("intake")[0];
    let before = started(&fleet, index);
    fleet.set_fault_plan(fleet.daemons[2].platform, "stall=1");
    fleet.daemon_process(2).pause();
    fleet.targets[index].leaving = true;
    let version = fleet.publish_hosts();
    for daemon in 0..2 {
        fleet.await_status("the other daemons have the new host list", daemon, |status| {
            status["hosts_version"] == version
        });
    }
    let requests: Vec<_> = (0..12)
        .map(|number| {
            let request = fleet.request(2, "POST", "/chat?tokens=1").body("x");
            let request = request.header("x-chat-id", &format!("paused-{number}"));
            thread::spawn(move || request.send().map(|response| response.status))
        })
        .collect();
    // Longer than 1.5 s, from which the daemon counts a gap in its execution as a pause.
    thread::sleep(std::time::Duration::from_millis(2_500));
    fleet.daemon_process(2).resume();
    for request in requests {
        assert_eq!(request.join().expect("thread should not panic"), Some(200));
    }
    assert!(fleet.log(2).contains("event=pause "));
    assert_eq!(started(&fleet, index), before, "the daemon routed by its outdated host list");
}

// Guards against a planned stop that takes a one-time action and cuts it, and against requests that end without a
// response when the stop ends.
#[test]
fn stop_refuses_one_time_actions_that_would_outlast_it_and_answers_what_it_cuts() {
    let mut fleet = TestFleet::start(FleetOptions {
        proxied: true,
        settings: json!({ "timing": { "drain_ms": 3_000, "drain_announce_ms": 1_500 } }),
        ..FleetOptions::default()
    });
    let engines = fleet.targets_of("intake");
    for index in &engines {
        fleet.set_fault_plan(fleet.targets[*index].advertised_address, "stall_down=1");
    }
    let unanswered = fleet.request(0, "POST", "/chat?tokens=1").body("x");
    let caller = thread::spawn(move || unanswered.send());
    wait_until("an engine has the request", || {
        engines.iter().any(|index| started(&fleet, *index) > 0)
    });
    fleet.terminate_daemon(0);
    fleet.await_status("the daemon is draining", 0, |status| status["draining"] == true);
    let filing = |deadline_ms: &str| {
        let request = fleet.request(0, "POST", "/filings").header("x-deadline-ms", deadline_ms);
        let request = request.header("idempotency-key", &create_key()).body("a filing");
        request.send().expect("should respond")
    };
    let long = filing("60000");
    assert_eq!((long.status, long.json()["error"].as_str()), (503, Some("draining")));
    assert!(long.header("retry-after").is_some(), "says when to come back");
    assert_eq!(filing("1000").status, 200);
    let cut = caller.join().expect("should not panic").expect("should respond");
    assert_eq!((cut.status, cut.verdict()), (502, "unknown"));
    assert_eq!(fleet.daemon_process(0).wait().code(), Some(3));
}
