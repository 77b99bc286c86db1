//! Data centres that the operator evacuates, on the users' platform.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use ggt_platform::evacuation_key;
use ggt_standin::users_platform::LinkKind;
use ggt_standin::users_platform::StoreStandin;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::respond_with_event;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::await_ready;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::log_book::LogBook;
use ggt_testkit::wait::wait_until;

/// Requests that each daemon gets once it knows of a change.
const REQUESTS: usize = 30;
/// Data centre that is evacuated: that of the servers and daemons with even numbers.
const EVACUATED: &str = "a";
/// Value of an evacuation's entry.
const ENTRY: &str = "{}";

/// A fleet of two data centres with two servers in each.
fn two_centres(daemons: usize) -> (FrontFleet, Arc<LogBook>) {
    let mut fleet = FrontFleet::start(0, 0);
    fleet.data_centres = vec!["a", "b"];
    add_servers(&mut fleet);
    let log = fleet.keep_logs();
    (0..daemons).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(await_ready);
    (fleet, log)
}

/// Adds two servers in each data centre, which serve requests of all kinds.
fn add_servers(fleet: &mut FrontFleet) {
    (0..4).for_each(|number| fleet.add_server(&format!("i-{number}")));
    for server in &fleet.servers {
        server.set_script(|request, stream| match request.path.as_str() {
            "/chat/" => respond_with_event(request, stream),
            _ => respond(request, stream, 200, "whole"),
        });
    }
}

fn evacuate(store: &StoreStandin, data_centre: &str) {
    store.put(&evacuation_key(data_centre), ENTRY);
}

fn send(fleet: &FrontFleet, daemon: usize, path: &str, id: &str) -> HttpResponse {
    fleet.request(daemon, "POST", path, id).body("body").send().expect("should respond")
}

/// Sends requests of all kinds through a daemon; returns how many were served.
fn send_all(fleet: &FrontFleet, daemon: usize, round: &str) -> usize {
    let paths = ["/read/", "/once/", "/chat/"].iter().cycle().take(REQUESTS);
    let responses = paths
        .enumerate()
        .map(|(number, path)| send(fleet, daemon, path, &format!("{round}-{daemon}-{number}")));
    responses.filter(|response| response.status == 200).count()
}

/// Number of requests that have reached the servers of data centre `a`, and those of `b`.
fn counts(fleet: &FrontFleet) -> (usize, usize) {
    let count = |number: usize| fleet.servers[number].requests().len();
    (count(0) + count(2), count(1) + count(3))
}

fn wait_for(log: &LogBook, status: &str, count: usize) {
    wait_until(&format!("{count} daemons know of the evacuation as {status}"), || {
        log.count("evacuation", status) >= count
    });
}

// Guards against requests to an evacuated data centre, also by daemons that start or whose store fails, and against
// an evacuation that does not end.
#[test]
fn evacuated_data_centre_gets_no_request_until_it_is_taken_back() {
    let (mut fleet, log) = two_centres(3);
    evacuate(&fleet.store, EVACUATED);
    wait_for(&log, "in-force", 3);
    let before = counts(&fleet);
    for daemon in 0..3 {
        assert_eq!(send_all(&fleet, daemon, "during"), REQUESTS);
    }
    fleet.restart(0);
    assert_eq!(send_all(&fleet, 0, "restarted"), REQUESTS);
    assert_eq!(counts(&fleet).0, before.0, "requests in the evacuated data centre");
    fleet.store.remove(&evacuation_key(EVACUATED));
    wait_for(&log, "ended", 3);
    wait_until("the data centre gets requests again", || {
        send_all(&fleet, 0, "after");
        counts(&fleet).0 > before.0
    });
}

// Guards against a request that an evacuation cuts.
#[test]
fn request_in_flight_ends_well() {
    let (fleet, log) = two_centres(1);
    let is_over = Arc::new(AtomicBool::new(false));
    for server in &fleet.servers {
        let is_over = is_over.clone();
        server.set_script(move |request, stream| {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            respond(request, stream, 200, "whole")
        });
    }
    thread::scope(|scope| {
        let held = (0..8).map(|number| {
            let fleet = &fleet;
            scope.spawn(move || send(fleet, 0, "/once/", &format!("held-{number}")))
        });
        let held: Vec<_> = held.collect();
        wait_until("all requests run", || counts(&fleet).0 + counts(&fleet).1 == 8);
        assert!(counts(&fleet).0 > 0, "none of them runs in the data centre");
        evacuate(&fleet.store, EVACUATED);
        wait_for(&log, "in-force", 1);
        is_over.store(true, Ordering::SeqCst);
        for response in held {
            let response = response.join().expect("should not panic");
            assert_eq!((response.status, response.is_complete), (200, true), "{response:?}");
        }
    });
}

// Guards against requests that wait, or run all the same, when every data centre of their service is evacuated.
#[test]
fn requests_are_refused_at_once_when_all_data_centres_are_evacuated() {
    let (fleet, log) = two_centres(1);
    ["a", "b"].iter().for_each(|data_centre| evacuate(&fleet.store, data_centre));
    wait_for(&log, "in-force", 2);
    let before = counts(&fleet);
    for path in ["/read/", "/once/", "/chat/"] {
        let response = send(&fleet, 0, path, &format!("call-{path}"));
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.body.contains("evacuated"), "{response:?}");
        assert!(response.header("retry-after").is_some(), "{response:?}");
    }
    assert_eq!(counts(&fleet), before);
}

// Guards against daemons that the store turns away and that do not hear of an evacuation, or of its end.
#[test]
fn daemon_that_the_store_turns_away_hears_of_an_evacuation_from_others() {
    let mut fleet = FrontFleet::start(0, 0);
    fleet.data_centres = vec!["a", "b"];
    fleet.link_daemons(2, &[]);
    add_servers(&mut fleet);
    fleet.publish(&test_config(1));
    let log = fleet.keep_logs();
    (0..2).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(await_ready);
    fleet.links[1].store.set_failure(Some(503));
    evacuate(&fleet.links[0].store, EVACUATED);
    wait_for(&log, "in-force", 2);
    let before = counts(&fleet);
    assert_eq!(send_all(&fleet, 1, "during"), REQUESTS);
    assert_eq!(counts(&fleet).0, before.0, "requests in the evacuated data centre");
    fleet.links[0].store.remove(&evacuation_key(EVACUATED));
    wait_for(&log, "ended", 2);
}

// Guards against an evacuation that a store forgets for a moment as it comes back from an older copy.
#[test]
fn evacuation_stands_while_a_restored_store_lacks_it() {
    let (fleet, log) = two_centres(1);
    let copy = fleet.store.copy();
    evacuate(&fleet.store, EVACUATED);
    wait_for(&log, "in-force", 1);
    fleet.store.restore(&copy);
    wait_for(&log, "unlisted", 1);
    evacuate(&fleet.store, EVACUATED);
    wait_for(&log, "listed-again", 1);
    let before = counts(&fleet);
    assert_eq!(send_all(&fleet, 0, "restored"), REQUESTS);
    assert_eq!(counts(&fleet).0, before.0, "requests in the evacuated data centre");
    assert_eq!(log.count("evacuation", "ended"), 0);
}

// Guards against odd entries that end a daemon, stop it from following, or take effect on other data centres.
#[test]
fn odd_entries_change_nothing() {
    let (fleet, log) = two_centres(1);
    fleet.store.put("op/evacuate/", ENTRY);
    fleet.store.put("op/evacuate", ENTRY);
    fleet.store.put("op/other", ENTRY);
    fleet.store.put(&evacuation_key("nowhere"), "not JSON");
    wait_for(&log, "in-force", 1);
    let before = counts(&fleet);
    assert_eq!(send_all(&fleet, 0, "odd"), REQUESTS);
    let after = counts(&fleet);
    assert!(after.0 > before.0 && after.1 > before.1, "{before:?} before, {after:?} after");
    evacuate(&fleet.store, EVACUATED);
    wait_for(&log, "in-force", 2);
}

// Guards against a cut of the rest that makes daemons count the evacuated data centre as reached.
#[test]
fn evacuated_servers_do_not_stand_in_for_unreachable_ones() {
    let mut fleet = FrontFleet::start_linked(0, 0);
    fleet.data_centres = vec!["a", "b"];
    fleet.link_daemons(1, &[]);
    add_servers(&mut fleet);
    fleet.publish(&test_config(1));
    let log = fleet.keep_logs();
    fleet.add_daemon(0, None);
    fleet.daemons.iter().for_each(await_ready);
    evacuate(&fleet.links[0].store, EVACUATED);
    wait_for(&log, "in-force", 1);
    let before = counts(&fleet);
    fleet.cut(0, LinkKind::Reset);
    for number in 0..6 {
        let response = send(&fleet, 0, "/read/", &format!("cut-{number}"));
        assert_ne!(response.status, 200, "{response:?}");
    }
    assert_eq!(counts(&fleet), before);
}

// Guards against servers that go down with their evacuated data centre and make daemons believe that they reach no
// server at all.
#[test]
fn servers_that_end_while_they_are_evacuated_do_not_count_as_a_cut() {
    let (fleet, log) = two_centres(1);
    let is_over = Arc::new(AtomicBool::new(false));
    for number in [0, 2] {
        let is_over = is_over.clone();
        fleet.servers[number].set_script(move |request, stream| {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            respond(request, stream, 200, "whole")
        });
    }
    thread::scope(|scope| {
        for number in 0..24 {
            let fleet = &fleet;
            scope.spawn(move || send(fleet, 0, "/once/", &format!("lost-{number}")));
        }
        wait_until("both servers run requests", || {
            [0, 2].iter().all(|number: &usize| !fleet.servers[*number].requests().is_empty())
        });
        evacuate(&fleet.store, EVACUATED);
        wait_for(&log, "in-force", 1);
        [0, 2].iter().for_each(|number: &usize| fleet.servers[*number].crash());
        is_over.store(true, Ordering::SeqCst);
    });
    assert_eq!(send_all(&fleet, 0, "after"), REQUESTS);
    assert_eq!(log.count("reach", "cut-off"), 0, "the daemon reaches the other servers");
}

// Guards against a daemon that reads the first page of the operator's keys again and again, or not the later ones.
#[test]
fn evacuation_behind_pages_of_other_keys_is_found() {
    let (mut fleet, log) = two_centres(0);
    (0..1_100).for_each(|number| fleet.store.put(&format!("op/any-{number:04}"), ENTRY));
    evacuate(&fleet.store, EVACUATED);
    fleet.add_daemon(0, None);
    fleet.daemons.iter().for_each(await_ready);
    wait_for(&log, "in-force", 1);
    assert_eq!(send_all(&fleet, 0, "paged"), REQUESTS);
    assert_eq!(counts(&fleet).0, 0, "requests in the evacuated data centre");
}
