//! Changes of the configuration, reloads and shutdowns on the users' platform: a request that has been read
//! gets a complete response.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::caller_headers;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::stream_head;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::wait::wait_until;

/// Time in which a change without a visible effect reaches the daemon.
const SETTLE: Duration = Duration::from_millis(300);
const PATHS: [&str; 4] = ["/read/", "/once/", "/chat/", "/talk/"];

/// Makes the servers work on each request of an id that begins with `id/` until `is_over`: before a plain
/// response, and in the middle of a stream. They respond to all others at once.
fn set_holding_scripts(fleet: &FrontFleet, is_over: &Arc<AtomicBool>) {
    for server in &fleet.servers {
        let is_over = is_over.clone();
        server.set_script(move |request, stream| {
            let hold = || {
                let is_held = request.attempt_id().starts_with("id/");
                while is_held && !is_over.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                }
            };
            if !["/chat/", "/talk/"].contains(&request.path.as_str()) {
                hold();
                return respond(request, stream, 200, "whole");
            }
            let begin = [stream_head(request), event_chunk(1)].concat();
            // The daemon may have closed the connection already.
            let _ = stream.write_all(begin.as_bytes());
            hold();
            let _ = stream.write_all([event_chunk(2), "0\r\n\r\n".to_owned()].concat().as_bytes());
            AfterResponse::Keep
        });
    }
}

/// Sends a request of each kind, makes `change` once all have reached a server, lets the servers finish, and
/// checks that each request gets its complete response.
fn check_answered_across<C>(fleet: &FrontFleet, change: C)
where
    C: FnOnce(&FrontFleet),
{
    let is_over = Arc::new(AtomicBool::new(false));
    set_holding_scripts(fleet, &is_over);
    thread::scope(|scope| {
        let send = |path: &'static str| {
            let request = fleet.request(0, "POST", path, &format!("id{path}")).body("x");
            scope.spawn(move || (path, request.send().expect("should respond")))
        };
        let callers: Vec<_> = PATHS.into_iter().map(send).collect();
        wait_until("all requests have reached a server", || {
            PATHS.into_iter().all(|path| fleet.request_count(&format!("id{path}")) >= 1)
        });
        change(fleet);
        is_over.store(true, Ordering::SeqCst);
        for caller in callers {
            let (path, response) = caller.join().expect("should not panic");
            assert!(response.is_complete, "{path}: {}", response.body);
            assert_eq!(response.status, 200, "{path}: {}", response.body);
        }
    });
}

/// Waits until a new request gets this status.
fn await_status(fleet: &FrontFleet, body: &str, status: u16) {
    let mut count = 0;
    wait_until("the change is in force", || {
        count += 1;
        let request = fleet.request(0, "POST", "/once/", &format!("probe-{count}")).body(body);
        request.send().is_some_and(|response| response.status == status)
    });
}

/// The test configuration with one field replaced.
fn config_with(version: u64, field: &str, value: Value) -> Value {
    let mut config = test_config(version);
    config[field] = value;
    config
}

// Guards against requests that end with the route by which they came.
#[test]
fn requests_in_flight_are_answered_when_their_routes_are_removed() {
    let fleet = FrontFleet::start(2, 1);
    check_answered_across(&fleet, |fleet| {
        fleet.publish(&config_with(2, "Routes", json!([])));
        await_status(fleet, "x", 404);
    });
}

// Guards against requests that end with the key by which they were admitted.
#[test]
fn requests_in_flight_are_answered_when_their_key_is_removed() {
    let fleet = FrontFleet::start(2, 1);
    let other = json!([{ "Name": "c1", "ApiKeys": ["another-key"], "Priority": 1 }]);
    check_answered_across(&fleet, |fleet| {
        fleet.publish(&config_with(2, "Tenants", other));
        await_status(fleet, "x", 401);
    });
}

// Guards against requests that end with a change of the timeouts and sizes for connections of callers.
#[test]
fn requests_in_flight_are_answered_when_the_limits_shrink() {
    let fleet = FrontFleet::start(2, 1);
    let limits = json!({
        "MaxHeaderBytes": 8_192, "MaxBodyBytes": 1, "HeaderTimeoutMs": 50, "IdleTimeoutMs": 50,
    });
    check_answered_across(&fleet, |fleet| {
        fleet.publish(&config_with(2, "Limits", limits));
        await_status(fleet, "too long", 413);
    });
}

// Guards against requests that end with a reload of the settings.
#[test]
fn requests_in_flight_are_answered_across_a_reload() {
    let fleet = FrontFleet::start(2, 1);
    check_answered_across(&fleet, |fleet| {
        fleet.daemons[0].process.signal(Signal::HUP);
        thread::sleep(SETTLE);
    });
}

// Guards against requests that end with the registration of their server.
#[test]
fn requests_in_flight_are_answered_when_their_servers_are_no_longer_listed() {
    let fleet = FrontFleet::start(2, 1);
    check_answered_across(&fleet, |fleet| {
        for server in &fleet.servers {
            fleet.remove_registration(&server.id());
        }
        await_status(fleet, "x", 503);
        // Longer than the silence for which streams of servers that have ended are waited for.
        thread::sleep(2 * SETTLE);
    });
}

// Guards against a request whose body is still being sent when the configuration changes.
#[test]
fn request_whose_body_arrives_across_a_change_is_answered() {
    let fleet = FrontFleet::start(1, 1);
    let mut stream = TcpStream::connect(fleet.daemons[0].callers).expect("should connect");
    let mut head = "POST /once/ HTTP/1.1\r\ncontent-length: 8\r\nconnection: close\r\n".to_owned();
    for (name, value) in caller_headers("slow-body", 20_000) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    stream.write_all(format!("{head}\r\nhalf").as_bytes()).expect("should write");
    fleet.publish(&test_config(2));
    thread::sleep(SETTLE);
    stream.write_all(b"half").expect("should write");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("should respond");
    assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("whole"), "{response}");
}
