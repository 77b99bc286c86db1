//! Sound targets that are silent for a moment: their requests are not blamed for a crash, and a workload
//! whose targets are all silent keeps them. Each request that was read has one log line on its end.

use std::thread;
use std::time::Duration;

use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::wait::wait_until;

/// A silence that a sound target may have.
const SOUND_SILENCE: Duration = Duration::from_millis(1_500);
/// Interval between requests that are sent during the silence.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Requests sent at once to silent targets.
const CONCURRENT_REQUESTS: usize = 9;
/// Engines of the fleet, as many as the crashes after which a request is refused.
const ENGINES: usize = 3;

fn fleet(engines: usize, first_byte_timeout_ms: u64) -> TestFleet {
    TestFleet::start(FleetOptions {
        centres: vec![("recife-a", 1)],
        engines,
        services: 0,
        config: json!({
            "workloads": { "intake": { "first_byte_timeout_ms": first_byte_timeout_ms } },
            "routing": { "crash_limit": ENGINES },
        }),
        ..FleetOptions::default()
    })
}

fn pause_all(fleet: &mut TestFleet) {
    (0..fleet.targets.len()).for_each(|index| fleet.target_process(index).pause());
}

fn resume_all(fleet: &mut TestFleet) {
    (0..fleet.targets.len()).for_each(|index| fleet.target_process(index).resume());
}

fn ask(fleet: &TestFleet) -> HttpResponse {
    let request = fleet.request(0, "POST", "/chat?tokens=2&gap_ms=1").body("a sound request");
    request.send().expect("should respond")
}

fn start_asking(fleet: &TestFleet) -> thread::JoinHandle<HttpResponse> {
    let request = fleet.request(0, "POST", "/chat?tokens=2&gap_ms=1").body("a sound request");
    thread::spawn(move || request.send().expect("should respond"))
}

// Guards against sound requests that are refused as crashing, since a probe of a silent target that timed
// out counted as a crash.
#[test]
fn request_of_silent_targets_is_not_blamed_for_a_crash() {
    let mut fleet = fleet(ENGINES, 200);
    pause_all(&mut fleet);
    let asked: Vec<_> = (0..CONCURRENT_REQUESTS).map(|_| start_asking(&fleet)).collect();
    thread::sleep(SOUND_SILENCE);
    resume_all(&mut fleet);
    let statuses: Vec<u16> =
        asked.into_iter().map(|x| x.join().expect("thread should not panic").status).collect();
    let log = fleet.log(0);
    let blamed: Vec<&str> = log.lines().filter(|line| line.contains("event=crash ")).collect();
    assert!(blamed.is_empty(), "statuses {statuses:?}: {blamed:#?}");
    wait_until("the targets serve again", || ask(&fleet).status != 503);
    let response = ask(&fleet);
    assert_eq!(response.status, 200, "{}", response.body);
}

// Guards against a crash of a target that leaves no trace but silence and is not noticed.
#[test]
fn request_of_a_target_that_stays_silent_is_suspected() {
    let mut fleet = fleet(ENGINES, 200);
    pause_all(&mut fleet);
    let response = ask(&fleet);
    assert_ne!(response.status, 200, "{}", response.body);
    wait_until("the request is suspected", || fleet.log(0).contains("event=crash "));
}

// Guards against a workload without targets, since a second of silence of all of them was taken for their
// end.
#[test]
fn silence_of_all_targets_leaves_the_workload_its_targets() {
    let mut fleet = fleet(2, 30_000);
    pause_all(&mut fleet);
    let mut asked = Vec::new();
    for _ in 0..SOUND_SILENCE.as_millis() / SEND_INTERVAL.as_millis() {
        asked.push(start_asking(&fleet));
        thread::sleep(SEND_INTERVAL);
    }
    resume_all(&mut fleet);
    for response in asked {
        let response = response.join().expect("thread should not panic");
        assert_eq!(response.status, 200, "{}", response.body);
    }
}

// Guards against a response that ends since its target was silent when the rest of it was requested.
#[test]
fn interrupted_response_is_completed_after_a_silence() {
    const TOKENS: usize = 20;
    let fleet = TestFleet::start(FleetOptions {
        centres: vec![("recife-a", 1)],
        services: 0,
        proxied: true,
        config: json!({ "workloads": { "intake": { "first_byte_timeout_ms": 700 } } }),
        ..FleetOptions::default()
    });
    fleet.control_target(0, &format!("silent-resume?ms={}", SOUND_SILENCE.as_millis()));
    // The connection is cut within the response; the rest of it is short enough to pass.
    fleet.set_fault_plan(fleet.targets[0].advertised_address, "cut_down=700");
    let path = format!("/chat?tokens={TOKENS}&gap_ms=1");
    let response = fleet.request(0, "POST", &path).body("x").send().expect("should respond");
    let events = response.body.matches("data:").count();
    assert_eq!((response.status, response.is_complete, events), (200, true, TOKENS));
}

// Guards against a request whose end is in no log line, since its caller left between two attempts.
#[test]
fn request_whose_caller_leaves_between_attempts_has_one_line_on_its_end() {
    let mut fleet = fleet(ENGINES, 600);
    pause_all(&mut fleet);
    let address = fleet.daemons[0].callers;
    let mut stream = std::net::TcpStream::connect(address).expect("should connect");
    let request = "POST /chat?tokens=2 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer \
                   contabil-key\r\ncontent-length: 1\r\n\r\nx";
    std::io::Write::write_all(&mut stream, request.as_bytes()).expect("should write");
    wait_until("the request is sent to a target", || fleet.log(0).contains("event=route "));
    drop(stream);
    fleet.await_status("no request is in flight", 0, |status| status["in_flight"] == 0);
    resume_all(&mut fleet);
    let log = fleet.log(0);
    let ends = ["event=done ", "event=refuse ", "event=cut ", "event=replay "];
    let is_end = |line: &&str| ends.iter().any(|end| line.contains(end));
    let lines: Vec<&str> = log.lines().filter(|line| line.contains("request_id=")).collect();
    assert_eq!(lines.iter().copied().filter(is_end).count(), 1, "{lines:#?}");
}
