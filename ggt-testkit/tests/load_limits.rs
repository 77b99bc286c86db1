//! Load limits with real processes: a surge of one customer, a chat that gets all requests, and a flapping
//! engine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Read;
use std::sync::Barrier;
use std::thread;

use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::layout::bearer_key;
use ggt_testkit::wait::wait_until;

fn status_of(fleet: &TestFleet, daemon: usize, target: &str) -> String {
    let status = fleet.status(daemon).unwrap_or_default();
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    let found = targets.iter().find(|entry| entry["name"] == target).cloned().unwrap_or_default();
    found["status"].as_str().unwrap_or("absent").to_owned()
}

#[test]
fn surging_customer_is_refused_and_others_are_not() {
    // Two engines with a capacity of ten requests each; the only daemon may use all of it.
    let fleet = TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 1)],
        engines: 2,
        services: 0,
        capacity: 10,
        ..FleetOptions::default()
    });
    let send_held = |customer: &str, number: usize| {
        let path = format!("/chat?tokens=2&hold_after=1&hold_as={customer}-{number}");
        HttpRequest::new("POST", fleet.daemons[0].callers, &path)
            .bearer(&bearer_key(customer))
            .body("held")
            .open()
            .expect("should respond")
    };
    let surge: Vec<_> = (0..30).map(|number| send_held("contabil", number)).collect();
    let admitted = surge.iter().filter(|(head, _)| head.status == 200).count();
    let refused: BTreeSet<u16> =
        surge.iter().map(|(head, _)| head.status).filter(|status| *status != 200).collect();
    assert!(admitted <= 20, "{admitted} requests admitted on engines with a capacity of 20");
    assert!(admitted >= 16, "only {admitted} admitted");
    assert_eq!(
        refused,
        BTreeSet::from([429]),
        "requests over the customer's share must be refused with 429"
    );
    for (head, _) in surge.iter().filter(|(head, _)| head.status == 429) {
        assert_eq!(head.verdict(), "not-run");
        assert!(head.header("retry-after").is_some());
    }
    // A customer with little load still gets the capacity that is left.
    let within_share: Vec<_> = (0..2).map(|number| send_held("ekthetis", number)).collect();
    for (head, _) in &within_share {
        assert_eq!(head.status, 200, "a customer within its share was refused");
    }
    for index in fleet.targets_of("intake") {
        for number in 0..30 {
            fleet.control_target(index, &format!("release/contabil-{number}"));
            fleet.control_target(index, &format!("release/ekthetis-{number}"));
        }
    }
    for (head, mut reader) in surge.into_iter().chain(within_share) {
        let mut text = String::new();
        let is_complete = reader.read_to_string(&mut text).is_ok();
        assert!(head.status != 200 || (is_complete && text.matches("data:").count() == 2));
    }
}

#[test]
fn load_stays_within_the_bound_when_one_chat_gets_all_requests() {
    let fleet = TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 1)],
        engines: 4,
        services: 0,
        ..FleetOptions::default()
    });
    let barrier = Barrier::new(40);
    let served: Vec<String> = thread::scope(|scope| {
        let tasks: Vec<_> = (0..40)
            .map(|number| {
                let (fleet, barrier) = (&fleet, &barrier);
                scope.spawn(move || {
                    let path = "/chat?tokens=2&hold_after=1";
                    let request = fleet.request(0, "POST", path).header("x-chat-id", "one");
                    let id = format!("r{number}");
                    let (head, reader) = request
                        .header("x-request-id", &id)
                        .body("x")
                        .open()
                        .expect("should respond");
                    // All 40 requests are in flight before the first one ends.
                    barrier.wait();
                    drop(reader);
                    head.header("x-served-by").unwrap_or_default().to_owned()
                })
            })
            .collect();
        tasks.into_iter().map(|task| task.join().expect("thread should not panic")).collect()
    });
    let mut loads: BTreeMap<&str, usize> = BTreeMap::new();
    for target in &served {
        *loads.entry(target).or_default() += 1;
    }
    // The bound is 1.25 times the mean load of 10, rounded up.
    assert!(loads.values().all(|load| *load <= 13), "{loads:?}");
}

#[test]
fn flapping_engine_is_held_down_and_chats_keep_one_target() {
    let mut fleet = TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 2), ("attica-b", 2)],
        engines: 2,
        services: 0,
        config: json!({ "routing": { "hold_down_ms": 60_000, "slow_start_ms": 10 } }),
        ..FleetOptions::default()
    });
    let flapping = 0;
    let name = fleet.targets[flapping].name.clone();
    for incarnation in 2..=4 {
        fleet.targets[flapping].incarnation = incarnation;
        fleet.target_process(flapping).kill();
        fleet.start_target(flapping);
        let version = fleet.publish_hosts();
        for daemon in 0..4 {
            fleet.await_status("the host list is applied", daemon, |status| {
                status["hosts_version"] == version
            });
        }
    }
    for daemon in 0..4 {
        wait_until("the target is held down", || status_of(&fleet, daemon, &name) == "held");
    }
    // While it is held down, each chat is routed to one other target, the same through all daemons.
    let mut targets_by_chat: BTreeMap<usize, BTreeSet<String>> = BTreeMap::new();
    for chat in 0..12 {
        for daemon in 0..4 {
            let request = fleet.request(daemon, "POST", "/chat?tokens=1");
            let response: HttpResponse = request
                .header("x-chat-id", &format!("c{chat}"))
                .body("x")
                .send()
                .expect("should respond");
            assert_eq!(response.status, 200);
            let served = response.header("x-served-by").unwrap_or_default().to_owned();
            assert_ne!(served, name, "a target in hold-down got a request");
            targets_by_chat.entry(chat).or_default().insert(served);
        }
    }
    let split_chats = targets_by_chat.values().filter(|served| served.len() > 1).count();
    assert_eq!(split_chats, 0, "{targets_by_chat:?}");
}
