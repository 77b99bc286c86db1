//! Daemons on the users' platform: how they get configuration and server entries from the store and from
//! peers, and how they start and stop.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use ggt_platform::CONFIG_KEY;
use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::await_ready;
use ggt_testkit::front::ready_status;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::wait::wait_until;

/// More watches than one of the two daemons opens, so that each has opened at least one.
const MIN_WATCHES: usize = 4;

fn status(fleet: &FrontFleet, daemon: usize, path: &str) -> Option<u16> {
    fleet.request(daemon, "GET", path, "id-status").send().map(|response| response.status)
}

#[test]
fn newer_configuration_becomes_active_and_an_older_one_is_ignored() {
    let fleet = FrontFleet::start(1, 2);
    let mut newer = test_config(5);
    newer["Routes"][0]["PathPrefix"] = "/moved/".into();
    fleet.publish(&newer);
    for daemon in 0..2 {
        wait_until("the new route is active", || status(&fleet, daemon, "/moved/") == Some(200));
    }
    fleet.publish(&test_config(4));
    let revision = fleet.store.revision();
    // A daemon has processed the older configuration when it watches for changes after its revision.
    wait_until("both daemons have processed the older configuration", || {
        fleet.store.watch_count_after(CONFIG_KEY, revision) >= MIN_WATCHES
    });
    for daemon in 0..2 {
        assert_eq!(status(&fleet, daemon, "/read/"), Some(404));
        assert_eq!(status(&fleet, daemon, "/moved/"), Some(200));
    }
}

#[test]
fn daemon_without_store_gets_its_state_from_peers() {
    let mut fleet = FrontFleet::start(1, 1);
    let unused = fleet.unused_address();
    fleet.add_daemon(1, Some(unused));
    await_ready(&fleet.daemons[1]);
    assert_eq!(status(&fleet, 1, "/read/"), Some(200));
    let mut newer = test_config(2);
    newer["Tenants"][0]["ApiKeys"] = serde_json::json!(["another-key"]);
    fleet.publish(&newer);
    wait_until("the removed key is refused", || status(&fleet, 1, "/read/") == Some(401));
}

#[test]
fn daemon_without_configuration_is_not_ready_and_answers_503() {
    let mut fleet = FrontFleet::start(1, 0);
    let unused = fleet.unused_address();
    fleet.add_daemon(0, Some(unused));
    wait_until("the daemon responds", || ready_status(&fleet.daemons[0]) == Some(503));
    assert_eq!(status(&fleet, 0, "/read/"), Some(503));
    assert_eq!(fleet.request_count("id-status"), 0);
}

#[test]
fn draining_or_removed_server_gets_no_new_requests() {
    let fleet = FrontFleet::start(3, 1);
    fleet.store.put("servers/i-0", &fleet.servers[0].registration("s", "a", "draining"));
    fleet.store.remove("servers/i-1");
    wait_until("only the third server gets requests", || {
        let before: Vec<_> = fleet.servers.iter().map(|server| server.requests().len()).collect();
        (0..10).for_each(|_| assert_eq!(status(&fleet, 0, "/read/"), Some(200)));
        let after: Vec<_> = fleet.servers.iter().map(|server| server.requests().len()).collect();
        before[0] == after[0] && before[1] == after[1] && after[2] == before[2] + 10
    });
}

#[test]
fn invalid_server_entries_are_ignored() {
    let fleet = FrontFleet::start(1, 1);
    fleet.store.put("servers/i-odd", "{\"Service\": 7}");
    fleet.store.put("servers/i-odder", "\u{0}not json");
    fleet.store.put("servers/i-state", &fleet.servers[0].registration("s", "a", "sleeping"));
    fleet.store.put("op/other", "not a configuration");
    fleet.publish(&test_config(3));
    for _ in 0..10 {
        assert_eq!(status(&fleet, 0, "/read/"), Some(200));
    }
}

#[test]
fn invalid_configuration_leaves_the_active_one() {
    let fleet = FrontFleet::start(1, 1);
    fleet.store.put("op/config", "{\"Version\": 8, \"Routes\": 3}");
    fleet.store.put("op/config", "no json");
    assert_eq!(status(&fleet, 0, "/read/"), Some(200));
}

/// Pages after the first that 1200 entries take in a listing.
const CONTINUATION_PAGES: u64 = 2;

#[test]
fn starting_daemons_load_a_large_folder_from_a_seed() {
    let mut fleet = FrontFleet::start(1, 0);
    let registration = fleet.servers[0].registration("crowd", "a", "ready");
    (0..1_200).for_each(|number| fleet.store.put(&format!("servers/c-{number}"), &registration));
    fleet.add_daemon(0, None);
    await_ready(&fleet.daemons[0]);
    assert_eq!(fleet.store.continuation_pages(), CONTINUATION_PAGES);
    (1..4).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(await_ready);
    for daemon in 0..4 {
        assert_eq!(status(&fleet, daemon, "/read/"), Some(200));
    }
    assert_eq!(
        fleet.store.continuation_pages(),
        CONTINUATION_PAGES,
        "a daemon read all pages from the store instead of a seed"
    );
    assert_eq!(fleet.store.linearizable_pages(), 0, "a start needs no linearizable read");
}

#[test]
fn starting_daemon_loads_a_large_folder_from_the_store_without_a_seed() {
    let mut fleet = FrontFleet::start(1, 1);
    let registration = fleet.servers[0].registration("crowd", "a", "ready");
    (0..1_200).for_each(|number| fleet.store.put(&format!("servers/c-{number}"), &registration));
    fleet.daemons[0].process.kill();
    fleet.add_daemon(1, None);
    await_ready(&fleet.daemons[1]);
    assert_eq!(status(&fleet, 1, "/read/"), Some(200));
    assert_eq!(fleet.store.continuation_pages(), CONTINUATION_PAGES);
}

#[test]
fn snapshot_is_read_after_the_store_dropped_its_history() {
    let mut fleet = FrontFleet::start(1, 1);
    fleet.store.set_failure(Some(503));
    thread::sleep(Duration::from_millis(300));
    fleet.add_server("i-late");
    fleet.store.compact();
    fleet.store.set_failure(None);
    let mut number = 0;
    wait_until("the server added during the outage gets requests", || {
        number += 1;
        let response = fleet.request(0, "GET", "/read/", &format!("id-{number}")).send();
        assert_eq!(response.map(|response| response.status), Some(200));
        !fleet.servers[1].requests().is_empty()
    });
}

#[test]
fn silent_store_connections_are_replaced() {
    let fleet = FrontFleet::start(1, 1);
    fleet.store.stop_responding();
    let mut newer = test_config(5);
    newer["Routes"][0]["PathPrefix"] = "/moved/".into();
    fleet.publish(&newer);
    wait_until("the new route is active", || status(&fleet, 0, "/moved/") == Some(200));
}

#[test]
fn stopping_daemon_completes_read_requests_and_accepts_no_more() {
    let mut fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| {
        thread::sleep(Duration::from_millis(4_500));
        respond(request, stream, 200, "whole")
    });
    let request = fleet.request(0, "POST", "/once/", "id-1").body("x");
    let caller = thread::spawn(move || request.send());
    wait_until("the server has the request", || fleet.request_count("id-1") == 1);
    let mut idle = TcpStream::connect(fleet.daemons[0].callers).expect("should connect");
    fleet.daemons[0].process.signal(Signal::TERM);
    wait_until("the daemon is not ready", || ready_status(&fleet.daemons[0]) != Some(200));
    // It still serves, as the platform may not have polled its readiness yet.
    assert_eq!(status(&fleet, 0, "/elsewhere/"), Some(404));
    let response = caller.join().expect("caller thread should not panic").expect("should respond");
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    assert!(fleet.daemons[0].process.wait().success());
    let mut byte = [0; 1];
    assert!(matches!(idle.read(&mut byte), Ok(0) | Err(_)));
}

#[test]
fn stopping_daemon_closes_connections_after_its_responses() {
    let fleet = FrontFleet::start(1, 1);
    fleet.daemons[0].process.signal(Signal::TERM);
    wait_until("the daemon is not ready", || ready_status(&fleet.daemons[0]) == Some(503));
    let response = fleet.request(0, "GET", "/read/", "id-1").send().expect("should respond");
    assert_eq!((response.status, response.header("connection")), (200, Some("close")));
}

#[test]
fn restarted_daemon_serves_while_the_store_is_unavailable() {
    let mut fleet = FrontFleet::start(1, 2);
    fleet.store.set_failure(Some(503));
    fleet.restart(1);
    assert_eq!(status(&fleet, 1, "/read/"), Some(200));
}

#[test]
fn metrics_count_requests_by_outcome() {
    let fleet = FrontFleet::start(1, 1);
    assert_eq!(status(&fleet, 0, "/read/"), Some(200));
    let metrics = HttpRequest::new("GET", fleet.daemons[0].admin, "/metrics").send();
    let text = metrics.expect("admin address should return metrics").body;
    assert!(text.contains("front_requests_total"), "{text}");
    assert!(text.contains("outcome=\"answered\""), "{text}");
    assert!(text.contains("front_reply_milliseconds_bucket"), "{text}");
}

#[test]
fn malformed_requests_and_replies_do_not_stop_a_daemon() {
    let fleet = FrontFleet::start(1, 1);
    for bytes in ["\u{0}\u{1}\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/1.1\r\nHost : x\r\n\r\n"] {
        let mut caller = TcpStream::connect(fleet.daemons[0].callers).expect("should connect");
        // The daemon may close the connection before everything is written.
        let _ = caller.write_all(bytes.as_bytes());
        let mut received = Vec::new();
        let _ = caller.read_to_end(&mut received);
    }
    fleet.servers[0].set_script(|_, stream| {
        // The daemon may have closed the connection already.
        let _ = stream.write_all(b"\x00\x01 this is no answer \r\n\r\n");
        AfterResponse::Close
    });
    let response =
        fleet.request(0, "POST", "/once/", "id-1").body("x").send().expect("should respond");
    assert_eq!(response.status, 502);
    assert_eq!(ready_status(&fleet.daemons[0]), Some(200));
}
