//! A daemon that is cut off from all targets while its callers, the platform and the other daemons reach it.

use std::io::Read;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::wait::wait_until;

/// Daemon that is cut off.
const CUT: usize = 0;
/// Time for several rounds of probes and gossip.
const ROUNDS: Duration = Duration::from_millis(1_000);
/// Requests in flight at the cut, over all engines.
const HELD_REQUESTS: usize = 12;
/// A request that stays in flight after its first event.
const HELD_PATH: &str = "/chat?tokens=2&hold_after=1";
/// What the log line has of a list of targets that came from a peer.
const FOREIGN_LINKS: [&str; 2] = ["folder=hosts", "source=peer"];
/// Fleets that are started until each daemon has its own links.
const MAX_STARTS: usize = 10;

fn start_fleet() -> TestFleet {
    TestFleet::start_with_own_routes(FleetOptions {
        centres: vec![("recife-a", 3)],
        engines: 4,
        services: 2,
        ..FleetOptions::default()
    })
}

/// A fleet in which each daemon has the links of its own platform. On a busy machine a daemon may get the list of
/// targets from a peer first, and would share that one's links and its cut.
fn fleet() -> TestFleet {
    let has_own_links = |fleet: &TestFleet| {
        let mut logs = (0..fleet.daemons.len()).map(|daemon| fleet.log(daemon));
        logs.all(|log| !log.lines().any(|line| FOREIGN_LINKS.iter().all(|x| line.contains(x))))
    };
    let mut starts = (0..MAX_STARTS).map(|_| start_fleet());
    starts.find(has_own_links).expect("each daemon should have its own links")
}

fn statuses(status: &Value) -> Vec<&str> {
    let targets = status["targets"].as_array().map(Vec::as_slice).unwrap_or_default();
    targets.iter().filter_map(|target| target["status"].as_str()).collect()
}

/// Sends requests until the daemon has noticed that it reaches no target.
fn await_cut(fleet: &TestFleet) {
    fleet.await_status("no target is reached", CUT, |status| {
        fleet.request(CUT, "GET", "/filings/1").send();
        fleet.request(CUT, "POST", "/chat?tokens=1").body("x").send();
        !statuses(status).contains(&"ready")
    });
}

fn await_end_of_cut(fleet: &TestFleet) {
    fleet.await_status("all targets are reached", CUT, |status| {
        statuses(status).iter().all(|status| *status == "ready")
    });
}

// Guards against a fleet that loses sound targets, since one daemon that does not reach them told it so.
#[test]
fn other_daemons_keep_the_targets_that_one_daemon_does_not_reach() {
    let fleet = fleet();
    fleet.set_own_fault_plan("unreachable=1");
    await_cut(&fleet);
    thread::sleep(ROUNDS);
    for daemon in 1..fleet.daemons.len() {
        let log = fleet.log(daemon);
        let lost: Vec<&str> = log.lines().filter(|line| line.contains("status=down")).collect();
        assert!(lost.is_empty(), "daemon {daemon}: {lost:#?}");
    }
    let requests = (0..20).map(|number| fleet.request(1 + number % 2, "GET", "/filings/1"));
    let refused = requests.filter(|x| x.send().is_none_or(|x| x.status != 200)).count();
    assert_eq!(refused, 0);
}

// Guards against a load balancer that sends callers to a daemon which cannot serve them, while others can.
#[test]
fn cut_off_daemon_is_not_ready_while_other_daemons_reach_the_targets() {
    let fleet = fleet();
    fleet.set_own_fault_plan("unreachable=1");
    await_cut(&fleet);
    let readiness = |daemon: usize| {
        let response = fleet.request(daemon, "GET", "/healthz").send();
        response.expect("should respond").status
    };
    wait_until("the cut daemon is not ready", || {
        fleet.request(1, "GET", "/filings/1").send();
        readiness(CUT) == 503
    });
    assert_eq!((readiness(1), readiness(2)), (200, 200));
    fleet.set_own_fault_plan("");
    wait_until("it is ready again", || readiness(CUT) == 200);
}

// Guards against sound requests that are refused as crashing, since they were in flight at several targets
// when their daemon lost its connections to all of them.
#[test]
fn requests_in_flight_at_a_cut_are_not_blamed_for_crashes() {
    let fleet = fleet();
    let request = fleet.request(CUT, "POST", HELD_PATH).body("a sound request");
    let held: Vec<_> =
        (0..HELD_REQUESTS).map(|_| request.open().expect("should respond")).collect();
    assert!(held.iter().all(|(head, _)| head.status == 200));
    fleet.set_own_fault_plan("unreachable=1");
    for (_, mut reader) in held {
        assert!(reader.read_to_end(&mut Vec::new()).is_err(), "the connections are lost");
    }
    await_cut(&fleet);
    thread::sleep(ROUNDS);
    fleet.set_own_fault_plan("");
    await_end_of_cut(&fleet);
    wait_until("the daemon serves", || {
        let other = fleet.request(CUT, "POST", "/chat?tokens=1").body("another request");
        other.send().is_some_and(|response| response.status == 200)
    });
    let (again, _reader) = request.open().expect("should respond");
    assert_eq!(again.status, 200, "refused after the cut");
    let log = fleet.log(CUT);
    let blamed: Vec<&str> = log.lines().filter(|line| line.contains("event=crash ")).collect();
    assert!(blamed.is_empty(), "{blamed:#?}");
}
