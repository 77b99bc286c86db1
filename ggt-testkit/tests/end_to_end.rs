//! End-to-end tests with real processes: chats, streams, invalid requests and the operators' tools.

use std::io::Read;

use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::fleet::create_key;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::process::run_cli;
use ggt_testkit::wait::wait_for;
use ggt_testkit::wait::wait_until;

fn small_fleet() -> TestFleet {
    TestFleet::start(FleetOptions {
        settings: json!({ "limits": { "max_body_bytes": 20_000 } }),
        ..FleetOptions::default()
    })
}

#[test]
fn first_bytes_arrive_before_the_last_are_generated() {
    let fleet = small_fleet();
    let request =
        fleet.request(0, "POST", "/chat?tokens=4&hold_after=2&hold_as=held-1").body("prompt");
    let (head, mut reader) = request.open().expect("should respond");
    assert_eq!(head.status, 200);
    let mut text = String::new();
    let mut buffer = [0; 256];
    while text.matches("data:").count() < 2 {
        let length = reader.read(&mut buffer).expect("should read the first tokens");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    // The engine sends the other two tokens only after it is released.
    let engine = head.header("x-served-by").expect("response should have x-served-by").to_owned();
    let index = fleet
        .targets
        .iter()
        .position(|x| x.name == engine)
        .expect("x-served-by should name a target of the fleet");
    fleet.control_target(index, "release/held-1").expect("engine should respond");
    reader.read_to_string(&mut text).expect("should read the last tokens");
    assert_eq!(text.matches("data:").count(), 4);
}

#[test]
fn returning_chat_reaches_its_engine_through_any_daemon() {
    let fleet = small_fleet();
    for chat in 0..6 {
        let id = format!("chat-{chat}");
        let body = "the dossier ".repeat(40);
        let mut served = Vec::new();
        for daemon in 0..fleet.daemons.len() {
            let request = fleet.request(daemon, "POST", "/chat").header("x-chat-id", &id);
            let response = request.body(&body).send().expect("should respond");
            assert!(response.is_complete);
            served.push(response.header("x-served-by").unwrap_or_default().to_owned());
        }
        served.dedup();
        assert_eq!(served.len(), 1, "{id} was served by several targets: {served:?}");
    }
}

#[test]
fn invalid_requests_are_refused_before_reaching_a_target() {
    let fleet = small_fleet();
    let large = "x".repeat(30_000);
    let request_with_key = |key: &str| {
        HttpRequest::new("POST", fleet.daemons[0].callers, "/chat").bearer(key).body("x")
    };
    let submit = || fleet.request(0, "POST", "/filings").body("x");
    let cases = [
        (request_with_key("nobody"), 401, "unknown-key"),
        (HttpRequest::new("POST", fleet.daemons[0].callers, "/chat"), 401, "unknown-key"),
        (fleet.request(0, "POST", "/nowhere"), 404, "no-workload"),
        (fleet.request(0, "POST", "/chat").body(&large), 413, "too-large"),
        (fleet.request(0, "POST", "/chat").header("x-chat-id", "a b"), 400, "malformed-header"),
        (fleet.request(0, "POST", "/chat").header("x-chat-hint", "zz"), 400, "malformed-header"),
        (fleet.request(0, "POST", "/chat").header("x-deadline-ms", "-1"), 400, "malformed-header"),
        (submit(), 400, "missing-key"),
        (submit().header("idempotency-key", "order 1"), 400, "malformed-key"),
        (submit().header("idempotency-key", "order-1"), 400, "malformed-key"),
    ];
    for (request, status, cause) in cases {
        let response = request.send().expect("should respond");
        assert_eq!(response.status, status, "{}", response.body);
        assert_eq!(response.verdict(), "not-run");
        assert_eq!(response.json()["error"], cause);
        assert_eq!(response.json()["verdict"], "not-run");
    }
    for index in 0..fleet.targets.len() {
        let stats = HttpRequest::new("GET", fleet.targets[index].address, "/load").send();
        assert_eq!(stats.expect("target should report its load").json()["started_total"], 0);
    }
}

#[test]
fn expired_key_gets_the_verdict_unknown() {
    let fleet = small_fleet();
    // A UUIDv7 created in 2020: time, version 7, variant.
    let response =
        fleet.submit(0, "016f5e66-e800-7000-8000-000000000000", "x").expect("should respond");
    assert_eq!((response.status, response.verdict()), (410, "unknown"));
}

#[test]
fn forged_hint_is_ignored() {
    let fleet = small_fleet();
    let response = fleet
        .request(0, "POST", "/chat")
        .header("x-chat-id", "c")
        .header("x-chat-hint", &"ab".repeat(40))
        .body("prompt")
        .send()
        .expect("should respond");
    assert_eq!((response.status, response.is_complete), (200, true));
}

#[test]
fn requests_over_the_concurrency_limit_are_refused() {
    let fleet = TestFleet::start(FleetOptions {
        settings: json!({ "limits": { "max_concurrent": 2 } }),
        ..FleetOptions::default()
    });
    let held: Vec<_> = (0..2)
        .map(|number| {
            let path = format!("/chat?tokens=2&hold_after=1&hold_as=held-{number}");
            fleet.request(0, "POST", &path).body("held").open().expect("should respond")
        })
        .collect();
    let refused = fleet.request(0, "POST", "/chat").body("third").send().expect("should respond");
    assert_eq!((refused.status, refused.verdict()), (503, "not-run"));
    assert_eq!(refused.json()["error"], "too-many-requests");
    assert_eq!(refused.header("retry-after"), Some("1"));
    for index in fleet.targets_of("intake") {
        (0..2).for_each(|number| {
            fleet.control_target(index, &format!("release/held-{number}"));
        });
    }
    for (_, mut reader) in held {
        let mut text = String::new();
        reader.read_to_string(&mut text).expect("should read the rest of the response");
        assert_eq!(text.matches("data:").count(), 2);
    }
}

#[test]
fn request_is_cancelled_when_its_caller_disconnects() {
    let fleet = small_fleet();
    let request = fleet.request(0, "POST", "/chat?tokens=1000000&gap_ms=5").body("long");
    let (head, mut reader) = request.open().expect("should respond");
    let engine = head.header("x-served-by").expect("response should have x-served-by").to_owned();
    let index = fleet
        .targets
        .iter()
        .position(|x| x.name == engine)
        .expect("x-served-by should name a target of the fleet");
    reader.read_exact(&mut [0; 64]).expect("should read the first bytes");
    drop(reader);
    wait_until("the engine has cancelled the request", || {
        let response =
            fleet.control_target(index, "stats").expect("engine should report its stats");
        response.json()["cancelled"] == 1 && response.json()["finished"] == 1
    });
}

#[test]
fn operator_commands_report_the_active_state() {
    let mut fleet = small_fleet();
    let admin = fleet.daemons[0].admin.to_string();
    let (code, output, _) =
        run_cli(&["status", "--json", "--key", "operator-key", "--admin", &admin]);
    let status: serde_json::Value = serde_json::from_str(&output).expect("output should be JSON");
    assert_eq!((code, &status[&admin]["revision"]), (0, &json!(1)));
    let (code, _, errors) = run_cli(&["status", "--key", "wrong", "--admin", &admin]);
    assert_eq!((code, errors.as_str()), (3, ""));
    let explain = ["explain", "--key", "operator-key", "--admin", &admin];
    let query = ["--customer", "contabil", "--path", "/chat", "--chat", "c 1"];
    let (code, output, _) = run_cli(&[&explain[..], &query[..]].concat());
    assert_eq!(code, 0);
    assert!(output.starts_with("rule chat, workload intake, non-idempotent false\n"), "{output}");
    let metrics = HttpRequest::new("GET", fleet.daemons[0].admin, "/metrics");
    let response =
        metrics.bearer("operator-key").send().expect("admin address should return metrics");
    assert!(response.body.contains("ggt_control_traffic_bytes_total"), "{}", response.body);
    let (code, _, _) = run_cli(&["drain", "--key", "operator-key", "--admin", &admin]);
    assert_eq!(code, 0);
    assert_eq!(fleet.daemon_process(0).wait().code(), Some(0));
}

#[test]
fn routing_decision_and_outcome_are_logged() {
    let fleet = small_fleet();
    let request = fleet.request(0, "POST", "/chat").header("x-request-id", "logged-1");
    request.body("prompt").send().expect("should respond");
    let line = wait_for("the log line of the routing decision", || {
        let log = fleet.log(0);
        let mut lines = log.lines();
        lines
            .find(|line| line.contains("event=route ") && line.contains(" caller_id=logged-1 "))
            .map(str::to_owned)
    });
    for part in ["customer=contabil", "workload=intake", "target=", "reason=home", "revision=1"] {
        assert!(line.contains(part), "{line}");
    }
    let key = create_key();
    fleet.submit(0, &key, "x").expect("should respond");
    wait_until("the log line of the outcome", || fleet.log(0).contains("status=200 verdict=ran"));
}

#[test]
fn caller_deadline_ends_its_request() {
    let fleet = small_fleet();
    // The engine would send its first token after a minute.
    let response = fleet
        .request(0, "POST", "/chat?tokens=1&first_ms=60000")
        .header("x-deadline-ms", "400")
        .body("slow")
        .send()
        .expect("should respond");
    assert_eq!((response.status, response.verdict()), (504, "unknown"), "{}", response.body);
}

#[test]
fn customer_priority_replaces_that_of_the_caller() {
    let fleet = TestFleet::start(FleetOptions {
        config: json!({ "customers": { "contabil": { "priority": 7 } } }),
        ..FleetOptions::default()
    });
    let request = fleet.request(0, "POST", "/chat?tokens=1").header("x-priority", "99").body("x");
    let response = request.send().expect("should respond");
    assert_eq!(response.header("x-seen-priority"), Some("7"));
}
