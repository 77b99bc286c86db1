//! Requests that wait for a place, and customers' shares of a whole fleet, on the users' platform.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use ggt_standin::server::lock;
use ggt_standin::users_platform::caller_headers;
use ggt_standin::users_platform::limit_line;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::respond_with;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::await_ready;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Latency objective of the routes, so that requests may wait for half of it.
const GOAL_MS: u64 = 4_000;
/// Requests a second that the server says it takes.
const LIMIT: &str = "10";
/// Time after which callers that leave do so.
const LEAVE_TIME: Duration = Duration::from_millis(50);
/// Key of the customer that presses.
const LARGE_KEY: &str = "key-of-the-large-customer";
/// Time for which it does.
const PRESS_TIME: Duration = Duration::from_secs(4);
/// Its callers at each daemon.
const LARGE_CALLERS: usize = 30;
/// Daemons that share the service.
const DAEMONS: usize = 3;

fn config(goal_ms: u64) -> Value {
    let mut config = test_config(2);
    let routes = config["Routes"].as_array_mut().expect("routes");
    routes.iter_mut().for_each(|route| route["GoalMs"] = goal_ms.into());
    let tenants = config["Tenants"].as_array_mut().expect("tenants");
    tenants.push(json!({ "Name": "large", "ApiKeys": [LARGE_KEY], "Priority": 1 }));
    config
}

/// One server that states its limit, and a daemon that knows it.
fn limited_fleet(wait_for_room: bool) -> FrontFleet {
    let settings = json!({ "wait_for_room": wait_for_room });
    let mut fleet = FrontFleet::start_with(1, 0, settings);
    fleet.publish(&config(GOAL_MS));
    let log = fleet.keep_logs();
    fleet.add_daemon(0, None);
    fleet.daemons.iter().for_each(await_ready);
    fleet.servers[0]
        .set_script(|request, stream| respond_with(request, stream, 200, &limit_line(LIMIT), "x"));
    wait_until("the daemon knows the limit", || {
        fleet.request(0, "POST", "/read/", "first").body("x").send();
        log.count("config", "in-force") > 0 && fleet.metric(0, "front_requests", "answered") > 0.0
    });
    fleet
}

/// Responses to this many requests that callers send at the same moment.
fn burst(fleet: &FrontFleet, count: usize) -> Vec<HttpResponse> {
    thread::scope(|scope| {
        let send = |number: usize| {
            scope.spawn(move || {
                let request = fleet.request(0, "POST", "/once/", &format!("burst-{number}"));
                request.body("x").send().expect("should respond")
            })
        };
        let sending: Vec<_> = (0..count).map(send).collect();
        sending.into_iter().map(|request| request.join().expect("should not panic")).collect()
    })
}

fn served(responses: &[HttpResponse]) -> usize {
    responses.iter().filter(|response| response.status == 200).count()
}

/// Sends a request and returns its connection; the caller leaves when that is dropped.
fn send_half(fleet: &FrontFleet, number: usize) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.daemons[0].callers).expect("should connect");
    let headers = caller_headers(&format!("leaving-{number}"), 20_000);
    let lines = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    let head =
        format!("POST /read/ HTTP/1.1\r\n{}Content-Length: 1\r\n\r\nx", lines.collect::<String>());
    stream.write_all(head.as_bytes()).expect("should send");
    stream
}

// Guards against requests that are refused although the server takes them well within their objective, and against
// requests that wait in vain.
#[test]
fn burst_waits_for_what_the_server_takes_in_time_and_the_rest_is_refused() {
    let fleet = limited_fleet(true);
    let small = burst(&fleet, 6);
    assert_eq!(served(&small), 6, "{small:?}");
    let large = burst(&fleet, 90);
    // In the two seconds in which they may begin, the server takes 20.
    assert!((10..=30).contains(&served(&large)), "{} of 90 served", served(&large));
    for response in large.iter().filter(|response| response.status != 200) {
        // Both say that the request has not run: for want of room, or since the customer is over its share.
        assert!([429, 503].contains(&response.status), "{response:?}");
        assert!(response.header("retry-after").is_some(), "{response:?}");
    }
}

// Guards against a change of fleets whose settings do not ask for waiting.
#[test]
fn burst_is_refused_at_once_without_the_setting() {
    let fleet = limited_fleet(false);
    let responses = burst(&fleet, 6);
    assert!(served(&responses) <= 2, "{} of 6 served", served(&responses));
}

// Guards against a caller that leaves and whose request runs later all the same, in the place of another one.
#[test]
fn request_of_a_caller_that_leaves_the_queue_does_not_run() {
    let fleet = limited_fleet(true);
    let leaving: Vec<_> = (0..8).map(|number| send_half(&fleet, number)).collect();
    thread::sleep(LEAVE_TIME);
    drop(leaving);
    let before = fleet.path_count("/read/");
    assert_eq!(served(&burst(&fleet, 6)), 6, "their places are free");
    assert!(fleet.path_count("/read/") <= before + 1, "requests of callers that had left");
}

// Guards against a small customer that is refused for its share while a large one presses through all daemons.
#[test]
fn small_customer_is_within_its_share_of_the_fleet_while_a_large_one_presses() {
    let mut fleet = FrontFleet::start_with(2, 0, json!({ "fleet_shares": true }));
    fleet.publish(&config(300));
    let log = fleet.keep_logs();
    (0..DAEMONS).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(await_ready);
    for server in &fleet.servers {
        server.set_script(|request, stream| {
            thread::sleep(Duration::from_millis(100));
            respond(request, stream, 200, "whole")
        });
    }
    let (end, statuses) = (Instant::now() + PRESS_TIME, Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for caller in 0..DAEMONS * LARGE_CALLERS {
            let fleet = &fleet;
            scope.spawn(move || {
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let id = format!("large-{caller}-{number}");
                    let request = fleet.request(caller % DAEMONS, "POST", "/read/", &id);
                    request.token(LARGE_KEY).body("x").send();
                    thread::sleep(Duration::from_millis(5));
                }
            });
        }
        for caller in 0..DAEMONS {
            let (fleet, statuses) = (&fleet, &statuses);
            scope.spawn(move || {
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let id = format!("small-{caller}-{number}");
                    let response = fleet.request(caller, "POST", "/read/", &id).body("x").send();
                    lock(statuses).push(response.map_or(0, |response| response.status));
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    let statuses = lock(&statuses).clone();
    assert!(!statuses.contains(&429), "of {} requests of the small customer", statuses.len());
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(log.count("share", "over") > 0, "the large customer is never over its share");
}
