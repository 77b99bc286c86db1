//! Behind a network with faults, each caller gets the complete response to its own request or can see that
//! the response is incomplete, and never gets bytes of another caller's response.

use std::io::Read;
use std::thread;

use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::wait::wait_until;

const TOKENS: usize = 30;

fn fleet() -> TestFleet {
    TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 1), ("attica-b", 1)],
        engines: 2,
        services: 0,
        proxied: true,
        config: json!({ "workloads": {
            "intake": { "first_byte_timeout_ms": 1_500, "idle_timeout_ms": 1_500 },
        } }),
        ..FleetOptions::default()
    })
}

/// Body of the engine stand-in's complete response to a prompt.
fn expected(prompt: &str) -> String {
    let hash = ggt_core::ident::stable_hash(prompt.as_bytes());
    (0..TOKENS).map(|number| format!("data: {hash:016x} {number}\n\n")).collect()
}

fn chat(fleet: &TestFleet, caller: usize, round: usize) -> (String, Option<HttpResponse>) {
    let prompt = format!("caller {caller} asks question {round} of their own");
    let daemon = caller % fleet.daemons.len();
    let path = format!("/chat?tokens={TOKENS}&gap_ms=1");
    let request = fleet.request(daemon, "POST", &path).header("x-chat-id", &format!("c{caller}"));
    let response = request.body(&prompt).send();
    (prompt, response)
}

/// Sends `rounds` requests from each of `callers` concurrent callers and checks that each body is, or begins,
/// the caller's own response; returns the number of complete responses and of all requests.
fn send_concurrently(fleet: &TestFleet, callers: usize, rounds: usize) -> (usize, usize) {
    let outcomes: Vec<(String, Option<HttpResponse>)> = thread::scope(|scope| {
        let tasks: Vec<_> = (0..callers)
            .map(|caller| {
                scope.spawn(move || {
                    (0..rounds).map(|round| chat(fleet, caller, round)).collect::<Vec<_>>()
                })
            })
            .collect();
        tasks.into_iter().flat_map(|task| task.join().expect("thread should not panic")).collect()
    });
    let mut complete = 0;
    for (prompt, response) in &outcomes {
        let Some(response) = response else { continue };
        if response.status != 200 {
            assert!(
                response.json()["error"].is_string(),
                "a refusal must give an error: {}",
                response.body
            );
            continue;
        }
        let expected = expected(prompt);
        if response.is_complete {
            assert_eq!(
                response.body, expected,
                "a complete response differs from the caller's own"
            );
            complete += 1;
        } else {
            assert!(
                expected.starts_with(&response.body),
                "an incomplete response is not the beginning of the caller's own"
            );
        }
    }
    (complete, outcomes.len())
}

fn set_engine_plans(fleet: &TestFleet, plan: &str) {
    for target in &fleet.targets {
        fleet.set_fault_plan(target.advertised_address, plan);
    }
}

#[test]
fn concurrent_callers_get_their_own_responses() {
    let fleet = fleet();
    let (complete, total) = send_concurrently(&fleet, 24, 4);
    assert_eq!(complete, total);
}

#[test]
fn interrupted_response_is_resumed_and_completed() {
    let fleet = fleet();
    // The first six connections of each engine are cut within the response; later ones, which resume it, are
    // not.
    set_engine_plans(&fleet, "cut_down=700&cuts=6");
    let (complete, total) = send_concurrently(&fleet, 8, 2);
    assert_eq!(complete, total, "some responses were incomplete");
    let resumed: u64 = (0..fleet.targets.len())
        .filter_map(|index| fleet.control_target(index, "stats")?.json()["resumed"].as_u64())
        .sum();
    assert!(resumed > 0, "no response was resumed");
}

#[test]
fn callers_with_the_same_request_id_get_their_own_responses() {
    let fleet = TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 2)],
        engines: 1,
        services: 0,
        proxied: true,
        ..FleetOptions::default()
    });
    // A cut response is resumed by request id at an engine that runs the requests of all callers, so equal
    // ids of two callers must not be confused there.
    set_engine_plans(&fleet, "cut_down=700&cuts=8");
    let responses: Vec<(String, Option<HttpResponse>)> = thread::scope(|scope| {
        let tasks: Vec<_> = (0..8)
            .map(|caller| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let prompt = format!("caller {caller} asks under the same id");
                    let path = format!("/chat?tokens={TOKENS}&gap_ms=5");
                    let request = fleet.request(caller % 2, "POST", &path);
                    let response = request.header("x-request-id", "1").body(&prompt).send();
                    (prompt, response)
                })
            })
            .collect();
        tasks.into_iter().map(|task| task.join().expect("thread should not panic")).collect()
    });
    for (prompt, response) in responses {
        let response = response.expect("should respond");
        assert_eq!(
            response.header("x-request-id"),
            Some("1"),
            "the response must carry the caller's request id"
        );
        assert!(response.is_complete);
        assert_eq!(response.body, expected(&prompt), "the response belongs to another caller");
    }
}

#[test]
fn response_that_cannot_be_resumed_is_visibly_incomplete() {
    let fleet = fleet();
    // Four attempts of 400 bytes each, of which about 270 are the head, carry less than the 800 bytes of the
    // complete body.
    set_engine_plans(&fleet, "cut_down=400");
    for caller in 0..4 {
        let (prompt, response) = chat(&fleet, caller, 0);
        let response = response.expect("should receive a response head");
        assert!(
            !response.is_complete,
            "the response was cut but looks complete: {}",
            response.body
        );
        assert!(expected(&prompt).starts_with(&response.body));
    }
}

// Guards against a reply whose head broke off and that reaches the caller as a success with an empty or short body.
#[test]
fn reply_whose_head_breaks_off_is_no_success() {
    let fleet = fleet();
    for cut_down in (0..280).step_by(20) {
        set_engine_plans(&fleet, &format!("cut_down={cut_down}"));
        let (prompt, response) = chat(&fleet, 0, cut_down);
        let Some(response) = response.filter(|response| response.status == 200) else { continue };
        assert!(!response.is_complete, "cut_down={cut_down}: {}", response.body);
        assert!(expected(&prompt).starts_with(&response.body), "cut_down={cut_down}");
    }
}

#[test]
fn requests_move_to_another_target_before_the_first_byte() {
    let fleet = fleet();
    let (faulty, healthy) = fleet.targets.split_at(2);
    for plan in ["refuse=1", "cut_up=10", "cut_down=0", "cut_down=40"] {
        for target in faulty {
            fleet.set_fault_plan(target.advertised_address, plan);
        }
        let (complete, total) = send_concurrently(&fleet, 6, 2);
        assert_eq!(complete, total, "{plan}");
        for target in faulty.iter().chain(healthy) {
            fleet.set_fault_plan(target.advertised_address, "");
        }
    }
}

#[test]
fn requests_move_away_from_stalled_targets() {
    let fleet = fleet();
    fleet.set_fault_plan(fleet.targets[0].advertised_address, "stall=1");
    fleet.set_fault_plan(fleet.targets[2].advertised_address, "stall=1");
    let (complete, total) = send_concurrently(&fleet, 8, 1);
    assert_eq!(complete, total);
}

#[test]
fn callers_get_their_own_responses_when_replies_have_a_wrong_request_id() {
    let fleet = fleet();
    for index in 0..fleet.targets.len() {
        fleet.control_target(index, "wrong-echo?count=2");
    }
    let (complete, total) = send_concurrently(&fleet, 6, 3);
    assert!(complete > 0 && complete <= total);
}

#[test]
fn responses_stay_correct_when_the_network_cuts_and_delays() {
    let fleet = fleet();
    for (index, target) in fleet.targets.iter().enumerate() {
        let plan = ["delay_ms=5", "cut_down=900&cuts=10", "cut_up=60&cuts=10", "delay_ms=1"];
        fleet.set_fault_plan(target.advertised_address, plan[index]);
    }
    let (complete, total) = send_concurrently(&fleet, 24, 3);
    println!("{complete} of {total} responses were complete");
    assert!(complete * 10 >= total * 9, "{complete} of {total} responses were complete");
}

#[test]
fn engine_crash_interrupts_only_its_own_responses() {
    let mut fleet = fleet();
    thread::scope(|scope| {
        let running = scope.spawn(|| send_concurrently(&fleet, 16, 6));
        fleet.control_target(1, "die");
        let (complete, total) = running.join().expect("thread should not panic");
        // Responses that had begun on the killed engine are visibly incomplete.
        assert!(complete + 16 >= total, "{complete} of {total}");
    });
    fleet.targets[1].incarnation = 2;
    fleet.start_target(1);
    fleet.publish_hosts();
    fleet.await_status("the new host list is applied", 0, |status| status["hosts_version"] == 2);
    let (complete, total) = send_concurrently(&fleet, 8, 2);
    assert_eq!(complete, total);
}

#[test]
fn crashing_request_is_refused_and_other_requests_succeed() {
    let mut fleet = TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 2), ("attica-b", 2)],
        engines: 4,
        services: 0,
        // Periodic gossip would take minutes, so only immediate reports of a crash can help.
        settings: json!({ "timing": { "gossip_ms": 300_000 } }),
        config: json!({ "routing": { "crash_limit": 3, "hold_down_ms": 50, "slow_start_ms": 50 } }),
        ..FleetOptions::default()
    });
    let body = "please CRASH-THE-ENGINE now";
    let other_failures = thread::scope(|scope| {
        let other_failures = scope.spawn(|| send_short_requests(&fleet));
        let first = fleet.request(0, "POST", "/chat").body(body).send().expect("should respond");
        assert_ne!(first.status, 200);
        for daemon in 0..fleet.daemons.len() {
            fleet.await_status("the daemon has the suspected request", daemon, |status| {
                status["suspects"] != 0
            });
        }
        for resend in 0..8 {
            let daemon = resend % fleet.daemons.len();
            let last =
                fleet.request(daemon, "POST", "/chat").body(body).send().expect("should respond");
            assert_eq!((last.status, last.verdict()), (422, "not-run"), "{}", last.body);
            assert!(last.header("retry-after").is_some());
        }
        other_failures.join().expect("thread should not panic")
    });
    assert_eq!(other_failures, 0, "requests that crash no engine failed");
    let crashed: usize = (0..fleet.targets.len())
        .map(|index| usize::from(!fleet.target_process(index).is_running()))
        .sum();
    assert!((1..=3).contains(&crashed), "{crashed} engines crashed");
}

#[test]
fn slow_caller_gets_its_complete_response() {
    let fleet = fleet();
    let path = "/chat?tokens=1500000&gap_ms=0";
    let request = fleet.request(0, "POST", path).body("slow");
    let (head, mut reader) = request.open().expect("should respond");
    let engine = head.header("x-served-by").expect("response should have x-served-by").to_owned();
    let index = fleet
        .targets
        .iter()
        .position(|x| x.name == engine)
        .expect("x-served-by should name a target of the fleet");
    // Nothing is read until the engine has finished and every buffer on the path is full.
    wait_until("the engine has finished", || {
        fleet.control_target(index, "stats").expect("engine should report its stats").json()["finished"]
            == 1
    });
    thread::sleep(std::time::Duration::from_millis(500));
    let mut text = String::new();
    reader.read_to_string(&mut text).expect("should read the whole response");
    assert_eq!(text.matches("data:").count(), 1_500_000);
}

/// Sends 60 short requests one after the other through all daemons; returns how many failed.
fn send_short_requests(fleet: &TestFleet) -> usize {
    (0..60)
        .filter(|number| {
            let path = "/chat?tokens=1&gap_ms=0&first_ms=20";
            let request: HttpRequest = fleet.request(number % fleet.daemons.len(), "POST", path);
            let response = request.body(&format!("innocent {number}")).send();
            response.is_none_or(|response| response.status != 200)
        })
        .count()
}
