//! Chats whose requests crash the engines that run them, each with another body.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::layout::FleetOptions;

/// Number of crashes after which a request is refused.
const CRASH_LIMIT: usize = 3;
/// Number of engines that a chat may crash: the users' rule allows three after the fifth.
const MAX_CRASHES: usize = 8;
/// Time after a crash from which on the users' rule counts (their `StableMs`).
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Pause between two looks at the daemons' status.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of engines; crashed ones are not restarted.
const ENGINES: usize = 10;

fn start() -> TestFleet {
    TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 2), ("attica-b", 2)],
        engines: ENGINES,
        services: 0,
        // Periodic gossip would take minutes, so only immediate reports of a crash can help.
        settings: json!({ "timing": { "gossip_ms": 300_000 } }),
        config: json!({
            "routing": { "crash_limit": CRASH_LIMIT, "hold_down_ms": 50, "slow_start_ms": 50 }
        }),
        ..FleetOptions::default()
    })
}

fn send(fleet: &TestFleet, number: usize, chat: &str, body: &str) -> HttpResponse {
    let request = fleet.request(number % fleet.daemons.len(), "POST", "/chat?tokens=1&gap_ms=0");
    request.header("x-chat-id", chat).body(body).send().expect("should respond")
}

fn crashed_engines(fleet: &mut TestFleet) -> usize {
    let is_crashed = |fleet: &mut TestFleet, index| !fleet.target_process(index).is_running();
    (0..fleet.targets.len()).filter(|index| is_crashed(fleet, *index)).count()
}

/// Waits until each daemon counts this many crashes against a request and its chat, at most for the time
/// that the users' rule leaves them.
fn await_told(fleet: &TestFleet, crashed: usize) {
    let is_told = |daemon: usize| {
        let status = fleet.status(daemon).expect("daemon should report its status");
        status["suspect_crashes"].as_u64() >= Some(2 * crashed as u64)
    };
    let deadline = Instant::now() + STABLE_TIME;
    while Instant::now() < deadline && !(0..fleet.daemons.len()).all(is_told) {
        thread::sleep(POLL_INTERVAL);
    }
}

// Guards against a chat that crashes one engine after the other, since crashes counted against the
// body and path of a request only.
#[test]
fn chat_that_crashes_engines_is_refused_whatever_its_bodies() {
    let mut fleet = start();
    for number in 0..8 {
        let crashed_before = crashed_engines(&mut fleet);
        let body = format!("CRASH-THE-ENGINE, call {number}");
        let response = send(&fleet, number, "crashing-chat", &body);
        assert_ne!(response.status, 200, "{}", response.body);
        let crashed = crashed_engines(&mut fleet);
        assert!(crashed <= MAX_CRASHES, "{crashed} engines crashed");
        if crashed == crashed_before {
            assert_eq!((response.status, response.verdict()), (422, "not-run"));
        }
        await_told(&fleet, crashed);
    }
    let other = send(&fleet, 0, "other-chat", "a sound request");
    assert_eq!(other.status, 200, "{}", other.body);
}
