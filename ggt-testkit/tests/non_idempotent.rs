//! Non-idempotent requests run at most once, and a request answered `not-run` did not run, with real
//! processes under failures.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::fleet::create_key;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::wait::wait_until;

fn fleet_of(centres: Vec<(&'static str, usize)>) -> TestFleet {
    TestFleet::start(FleetOptions {
        centres,
        engines: 0,
        proxied: true,
        config: json!({
            "claims": { "holder_timeout_ms": 400, "grant_ms": 1_500 },
            "workloads": { "filings": { "first_byte_timeout_ms": 2_000, "idle_timeout_ms": 1_000 } },
        }),
        ..FleetOptions::default()
    })
}

fn three_centre_fleet() -> TestFleet {
    fleet_of(vec![("recife-a", 2), ("recife-b", 2), ("fortaleza", 1)])
}

/// Checks that no key ran twice and that the verdicts `ran` and `not-run` are true.
fn check_runs(fleet: &TestFleet, responses: &[(String, Option<HttpResponse>)]) {
    let runs = fleet.runs();
    for (key, count) in &runs {
        assert!(*count <= 1, "key {key} ran {count} times");
    }
    for (key, response) in responses {
        let verdict = response.as_ref().map_or("", HttpResponse::verdict);
        let count = runs.get(key).copied().unwrap_or_default();
        assert!(verdict != "not-run" || count == 0, "key {key} was answered not-run and ran");
        assert!(verdict != "ran" || count == 1, "key {key} was answered ran and did not run");
    }
}

#[test]
fn resend_gets_the_first_response() {
    let fleet = three_centre_fleet();
    let key = create_key();
    let first = fleet.submit(0, &key, "filing 1").expect("should respond");
    assert_eq!((first.status, first.verdict()), (200, "ran"));
    for daemon in 0..fleet.daemons.len() {
        let again = fleet.submit(daemon, &key, "filing 1").expect("should respond");
        assert_eq!((again.status, again.verdict()), (200, "ran"));
        assert_eq!(again.body, first.body);
    }
    assert_eq!(fleet.runs().get(&key), Some(&1));
}

#[test]
fn key_is_bound_to_one_request_of_one_customer() {
    let fleet = three_centre_fleet();
    let key = create_key();
    let first = fleet.submit(0, &key, "filing 1").expect("should respond");
    let other_body = fleet.submit(1, &key, "filing 2").expect("should respond");
    assert_eq!((other_body.status, other_body.verdict()), (422, "unknown"));
    let other = HttpRequest::new("POST", fleet.daemons[2].callers, "/filings")
        .bearer("ekthetis-key")
        .header("idempotency-key", &key)
        .body("filing 9")
        .send()
        .expect("should respond");
    assert_eq!((other.status, other.verdict()), (200, "ran"));
    assert_ne!(other.body, first.body, "the response belongs to another customer");
}

#[test]
fn resends_during_the_first_run_do_not_run() {
    let fleet = three_centre_fleet();
    for target in fleet.targets_of("filings") {
        fleet.control_target(target, "hold");
    }
    let key = create_key();
    thread::scope(|scope| {
        let first = scope.spawn(|| fleet.submit(0, &key, "held"));
        wait_until("the service runs the request", || fleet.runs().contains_key(&key));
        for daemon in 0..fleet.daemons.len() {
            let again = fleet.submit(daemon, &key, "held").expect("should respond");
            assert_eq!((again.status, again.verdict()), (409, "unknown"));
            assert!(again.header("retry-after").is_some());
        }
        for target in fleet.targets_of("filings") {
            fleet.control_target(target, "release");
        }
        let first = first.join().expect("thread should not panic").expect("should respond");
        assert_eq!((first.status, first.verdict()), (200, "ran"));
    });
    let again = fleet.submit(1, &key, "held").expect("should respond");
    assert_eq!(again.verdict(), "ran");
    assert_eq!(fleet.runs().get(&key), Some(&1));
}

#[test]
fn request_completes_after_its_caller_disconnects() {
    let fleet = three_centre_fleet();
    for target in fleet.targets_of("filings") {
        fleet.control_target(target, "hold");
    }
    let key = create_key();
    let callers = fleet.daemons[0].callers;
    let head = format!(
        "POST /filings HTTP/1.1\r\nhost: x\r\nauthorization: Bearer contabil-key\r\n\
         idempotency-key: {key}\r\ncontent-length: 4\r\n\r\nbody"
    );
    let mut stream = std::net::TcpStream::connect(callers).expect("should connect");
    std::io::Write::write_all(&mut stream, head.as_bytes()).expect("should send the request");
    wait_until("the service runs the request", || fleet.runs().contains_key(&key));
    drop(stream);
    for target in fleet.targets_of("filings") {
        fleet.control_target(target, "release");
    }
    wait_until("the resend gets the stored response", || {
        fleet.submit(1, &key, "body").is_some_and(|response| response.verdict() == "ran")
    });
    assert_eq!(fleet.runs().get(&key), Some(&1));
}

#[test]
fn request_with_a_truncated_body_does_not_run() {
    let fleet = three_centre_fleet();
    let key = create_key();
    let head = format!(
        "POST /filings HTTP/1.1\r\nhost: x\r\nauthorization: Bearer contabil-key\r\n\
         idempotency-key: {key}\r\ncontent-length: 400\r\n\r\nonly the beginning"
    );
    let mut stream =
        std::net::TcpStream::connect(fleet.daemons[0].callers).expect("should connect");
    std::io::Write::write_all(&mut stream, head.as_bytes()).expect("should send the request");
    drop(stream);
    let complete = fleet.submit(1, &key, "the whole of it").expect("should respond");
    assert_eq!(complete.verdict(), "ran");
    assert_eq!(fleet.runs().get(&key), Some(&1));
}

#[test]
fn connection_cuts_at_various_offsets_do_not_run_a_key_twice() {
    let fleet = three_centre_fleet();
    let mut responses = Vec::new();
    let plans: Vec<String> = [0, 1, 20, 100, 150, 200, 300, 400]
        .iter()
        .flat_map(|at| [format!("cut_up={at}"), format!("cut_down={at}")])
        .chain(["refuse=1".to_owned()])
        .collect();
    for plan in &plans {
        for target in fleet.targets_of("filings") {
            fleet.set_fault_plan(fleet.targets[target].advertised_address, plan);
        }
        let key = create_key();
        responses.push((key.clone(), fleet.submit(0, &key, plan)));
        for target in fleet.targets_of("filings") {
            fleet.set_fault_plan(fleet.targets[target].advertised_address, "");
        }
        // The resend after the fault must not run the request a second time either.
        responses.push((key.clone(), fleet.submit(1, &key, plan)));
        let verdicts: Vec<&str> = responses
            .iter()
            .rev()
            .take(2)
            .map(|x| x.1.as_ref().map_or("", |y| y.verdict()))
            .collect();
        println!("{plan}: resend {} first {}", verdicts[0], verdicts[1]);
    }
    assert!(responses.iter().all(|(_, response)| response.is_some()));
    check_runs(&fleet, &responses);
}

#[test]
fn late_target_reply_leaves_the_verdict_unknown() {
    let fleet = three_centre_fleet();
    let late = create_key();
    let path = "/filings?after_ms=2600";
    let request = |daemon: usize, key: &str| {
        fleet.request(daemon, "POST", path).header("idempotency-key", key).body("late").send()
    };
    // The rule matches the path only, so the query reaches the service, which then responds after 2.6 s,
    // later than the first byte timeout of 2 s.
    let first = request(0, &late).expect("should respond");
    assert_eq!((first.status, first.verdict()), (502, "unknown"));
    let again = request(1, &late).expect("should respond");
    assert_eq!((again.status, again.verdict()), (502, "unknown"));
    assert_eq!(fleet.runs().get(&late), Some(&1));
}

#[test]
fn reply_with_a_wrong_echo_is_not_forwarded() {
    let fleet = three_centre_fleet();
    for target in fleet.targets_of("filings") {
        fleet.control_target(target, "wrong-echo?count=1");
    }
    let key = create_key();
    let response = fleet.submit(0, &key, "mine").expect("should respond");
    assert_eq!((response.status, response.verdict()), (502, "unknown"));
    assert!(!response.body.contains("receipt"));
    let again = fleet.submit(0, &key, "mine").expect("should respond");
    assert_eq!(again.verdict(), "unknown");
    check_runs(&fleet, &[(key, Some(response))]);
}

#[test]
fn keys_submitted_on_both_sides_of_a_partition_run_once() {
    let fleet = three_centre_fleet();
    let (left, right) = ([0, 1], [2, 3, 4]);
    fleet.partition(&left, &right);
    let mut responses = Vec::new();
    for number in 0..12 {
        let key = create_key();
        let body = format!("filing {number}");
        let sides = thread::scope(|scope| {
            let tasks = [0, 2, 4].map(|daemon| {
                let (fleet, key, body) = (&fleet, &key, &body);
                scope.spawn(move || fleet.submit(daemon, key, body))
            });
            tasks.map(|task| task.join().expect("thread should not panic"))
        });
        responses.extend(sides.into_iter().map(|response| (key.clone(), response)));
    }
    check_runs(&fleet, &responses);
    let ran =
        responses.iter().filter(|x| x.1.as_ref().is_some_and(|y| y.verdict() == "ran")).count();
    let ends = responses.iter().map(|(_, response)| response.as_ref().map(|x| x.body.as_str()));
    let ends: Vec<_> = ends.collect();
    assert!(ran > 0, "no request ran on the side with the majority of holders: {ends:#?}");
    fleet.heal();
    // After the partition, the verdicts of all daemons for each key must agree with what ran.
    let keys: Vec<String> = responses.iter().step_by(3).map(|(key, _)| key.clone()).collect();
    for (number, key) in keys.iter().enumerate() {
        for daemon in 0..fleet.daemons.len() {
            let response = fleet.submit(daemon, key, &format!("filing {number}"));
            responses.push((key.clone(), response));
        }
    }
    check_runs(&fleet, &responses);
}

#[test]
fn keys_run_once_while_daemons_restart_without_state() {
    let mut fleet = three_centre_fleet();
    let mut responses = Vec::new();
    for round in 0..8 {
        let victim = round % fleet.daemons.len();
        let key = create_key();
        let body = format!("round {round}");
        for target in fleet.targets_of("filings") {
            fleet.control_target(target, "hold");
        }
        let first = thread::scope(|scope| {
            let (borrowed, key, body) = (&fleet, &key, &body);
            let first = scope.spawn(move || borrowed.submit(victim, key, body));
            wait_until("the service runs the request", || borrowed.runs().contains_key(key));
            // A resend reaches another daemon while the first request runs.
            let other = (victim + 1) % borrowed.daemons.len();
            let again = borrowed.submit(other, key, body).expect("should respond");
            assert_eq!(again.verdict(), "unknown");
            for target in borrowed.targets_of("filings") {
                borrowed.control_target(target, "release");
            }
            first.join().expect("thread should not panic")
        });
        responses.push((key.clone(), first));
        fleet.daemon_process(victim).kill();
        fleet.start_daemon(victim);
        for daemon in 0..fleet.daemons.len() {
            if let Some(response) = fleet.submit(daemon, &key, &body) {
                responses.push((key.clone(), Some(response)));
            }
        }
        fleet.await_ready(victim);
    }
    check_runs(&fleet, &responses);
}

#[test]
fn daemon_killed_before_its_response_leaves_the_verdict_unknown() {
    let mut fleet = three_centre_fleet();
    for target in fleet.targets_of("filings") {
        fleet.control_target(target, "hold");
    }
    let key = create_key();
    let request = fleet.request(0, "POST", "/filings").header("idempotency-key", &key).body("x");
    let caller = thread::spawn(move || request.send());
    wait_until("the service runs the request", || fleet.runs().contains_key(&key));
    fleet.daemon_process(0).kill();
    assert!(caller.join().expect("thread should not panic").is_none());
    for target in fleet.targets_of("filings") {
        fleet.control_target(target, "release");
    }
    fleet.start_daemon(0);
    fleet.await_ready(0);
    for daemon in 0..fleet.daemons.len() {
        let response = fleet.submit(daemon, &key, "x").expect("should respond");
        assert_eq!(response.verdict(), "unknown", "daemon {daemon}: {}", response.body);
    }
    assert_eq!(fleet.runs().get(&key), Some(&1));
}

#[test]
fn daemon_paused_past_its_grant_does_not_send_when_resumed() {
    let mut fleet = three_centre_fleet();
    // The target is unreachable until the daemon is paused with a granted attempt that it has not sent.
    for target in fleet.targets_of("filings") {
        fleet.set_fault_plan(fleet.targets[target].advertised_address, "refuse=1");
    }
    let key = create_key();
    let request = fleet.request(0, "POST", "/filings").header("idempotency-key", &key).body("x");
    for daemon in &fleet.daemons {
        fleet.set_fault_plan(daemon.advertised_peer, "delay_ms=150");
    }
    let caller = thread::spawn(move || request.send());
    wait_until("a holder has granted the claim", || {
        (1..fleet.daemons.len()).any(|x| fleet.log(x).contains(&format!("event=claim key={key}")))
    });
    fleet.daemon_process(0).pause();
    for target in fleet.targets_of("filings") {
        fleet.set_fault_plan(fleet.targets[target].advertised_address, "");
    }
    // Longer than the grant of 1.5 s, which expires by the clock alone; there is no status to wait for.
    thread::sleep(std::time::Duration::from_millis(2_500));
    let during_pause = fleet.submit(1, &key, "x").expect("should respond");
    fleet.daemon_process(0).resume();
    let resumed = caller.join().expect("thread should not panic").expect("should respond");
    assert_ne!(resumed.verdict(), "ran", "{}", resumed.body);
    let responses = [(key.clone(), Some(during_pause)), (key.clone(), Some(resumed))];
    check_runs(&fleet, &responses);
    assert_eq!(fleet.runs().get(&key), None);
}

#[test]
fn paused_holders_do_not_cause_double_runs() {
    let mut fleet = three_centre_fleet();
    let mut responses = Vec::new();
    for paused in 0..fleet.daemons.len() {
        let keys: Vec<String> = (0..4).map(|_| create_key()).collect();
        // Calls to the paused holder stay open and are answered once it resumes.
        fleet.daemon_process(paused).pause();
        for (number, key) in keys.iter().enumerate() {
            let daemon = (paused + 1 + number) % fleet.daemons.len();
            let daemon = if daemon == paused { (paused + 1) % fleet.daemons.len() } else { daemon };
            responses.push((key.clone(), fleet.submit(daemon, key, "paused")));
        }
        fleet.daemon_process(paused).resume();
        for key in &keys {
            for daemon in 0..fleet.daemons.len() {
                responses.push((key.clone(), fleet.submit(daemon, key, "paused")));
            }
        }
    }
    check_runs(&fleet, &responses);
    let ran =
        responses.iter().filter(|x| x.1.as_ref().is_some_and(|y| y.verdict() == "ran")).count();
    assert!(
        ran > responses.len() / 2,
        "{ran} of {} responses had the verdict ran",
        responses.len()
    );
}

#[test]
fn concurrent_resends_run_each_key_once() {
    let fleet = three_centre_fleet();
    let keys: Vec<String> = (0..20).map(|_| create_key()).collect();
    let ran = AtomicUsize::new(0);
    thread::scope(|scope| {
        for daemon in 0..fleet.daemons.len() {
            let (fleet, keys, ran) = (&fleet, &keys, &ran);
            scope.spawn(move || {
                for key in keys {
                    let response = fleet.submit(daemon, key, "burst").expect("should respond");
                    ran.fetch_add(usize::from(response.verdict() == "ran"), Ordering::SeqCst);
                }
            });
        }
    });
    let runs = fleet.runs();
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    assert!(ran.load(Ordering::SeqCst) >= runs.len());
}

/// Number of times that a crashing request is submitted.
const SUBMISSIONS: usize = 8;

// Guards against a crashing non-idempotent request that is sent to one target after the other under
// new keys: only idempotent requests were checked for crashes.
#[test]
fn crashing_action_is_refused_after_three_crashes_under_any_key() {
    let mut fleet = TestFleet::start(FleetOptions {
        centres: vec![("attica-a", 2), ("attica-b", 2)],
        engines: 0,
        services: 8,
        // Periodic gossip would take minutes, so only immediate reports of a crash can help.
        settings: json!({ "timing": { "gossip_ms": 300_000 } }),
        config: json!({ "routing": { "crash_limit": 3, "hold_down_ms": 50, "slow_start_ms": 50 } }),
        ..FleetOptions::default()
    });
    let mut crashes = 0;
    for number in 0..SUBMISSIONS {
        let daemon = number % fleet.daemons.len();
        let response =
            fleet.submit(daemon, &create_key(), "CRASH-THE-ENGINE").expect("should respond");
        if response.status == 422 {
            assert_eq!(response.verdict(), "not-run", "{}", response.body);
            assert!(response.header("retry-after").is_some());
            continue;
        }
        assert_eq!(response.verdict(), "unknown", "{}", response.body);
        crashes += 1;
        for other in 0..fleet.daemons.len() {
            fleet.await_status("the daemon knows of the crash", other, |status| {
                status["suspect_crashes"] == crashes
            });
        }
    }
    let is_crashed = |fleet: &mut TestFleet, index| !fleet.target_process(index).is_running();
    let crashed = (0..fleet.targets.len()).filter(|index| is_crashed(&mut fleet, *index)).count();
    assert_eq!((crashes, crashed), (3, 3), "submissions that ran, and services that crashed");
}
