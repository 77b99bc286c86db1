//! A store that comes back from a copy some seconds old, on the users' platform: later changes are
//! lost, their revisions are given out again, and the operator and the servers write again.

use std::thread;
use std::time::Duration;

use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::wait::wait_until;

/// Requests through each daemon that must not reach a server.
const REQUESTS: usize = 30;

/// Writes a server's registration.
fn register(fleet: &FrontFleet, server: usize, state: &str) {
    let server = &fleet.servers[server];
    let key = format!("{TARGET_PREFIX}{}", server.id());
    fleet.store.put(&key, &server.registration("s", "a", state));
}

fn send(fleet: &FrontFleet, daemon: usize, id: &str) -> u16 {
    fleet.request(daemon, "GET", "/read/", id).send().expect("should respond").status
}

/// Waits until the daemons watch from a revision that the store has given out since it came back.
fn await_watches(fleet: &FrontFleet) {
    let revision = fleet.store.revision();
    let before = fleet.store.watch_count_after("servers/", revision);
    wait_until("the daemons watch the restored store", || {
        let watches = fleet.store.watch_count_after("servers/", revision) - before;
        watches >= 2 * fleet.daemons.len()
    });
}

/// Sends requests through all daemons and returns how many of them reached the server.
fn requests_at(fleet: &FrontFleet, server: usize, label: &str) -> usize {
    let before = fleet.servers[server].requests().len();
    for number in 0..REQUESTS {
        for daemon in 0..fleet.daemons.len() {
            send(fleet, daemon, &format!("{label}-{daemon}-{number}"));
        }
    }
    fleet.servers[server].requests().len() - before
}

// Guards against changes that are taken for older ones, since their revisions had been given out before
// the store came back from a copy: a server that drains goes on getting requests.
#[test]
fn changes_after_the_store_came_back_from_a_copy_are_applied() {
    let fleet = FrontFleet::start(3, 2);
    let copy = fleet.store.copy();
    (0..8).for_each(|_| register(&fleet, 0, "ready"));
    await_watches(&fleet);
    fleet.store.restore(&copy);
    register(&fleet, 0, "draining");
    await_watches(&fleet);
    assert_eq!(requests_at(&fleet, 0, "restored"), 0);
    // Revisions beyond the former ones follow.
    (0..12).for_each(|_| register(&fleet, 1, "ready"));
    await_watches(&fleet);
    assert_eq!(requests_at(&fleet, 0, "beyond"), 0);
}

// Guards against changes that were given a revision which a daemon already has from before.
#[test]
fn changes_with_revisions_of_before_are_not_skipped() {
    let fleet = FrontFleet::start(3, 2);
    let copy = fleet.store.copy();
    (0..4).for_each(|_| register(&fleet, 1, "ready"));
    await_watches(&fleet);
    fleet.store.restore(&copy);
    // As many changes as were lost, so that the store has the daemons' revision again.
    register(&fleet, 0, "draining");
    (0..6).for_each(|_| register(&fleet, 1, "ready"));
    await_watches(&fleet);
    assert_eq!(requests_at(&fleet, 0, "same"), 0);
}

// Guards against a configuration that goes back with the store, and against a later one that is
// ignored.
#[test]
fn configuration_does_not_go_back_with_the_store() {
    let fleet = FrontFleet::start(2, 2);
    let copy = fleet.store.copy();
    let mut without_read = test_config(4);
    let routes = without_read["Routes"].as_array_mut().expect("routes");
    routes.retain(|route| route["Name"] != "read");
    fleet.publish(&without_read);
    wait_until("the daemons have the configuration", || {
        (0..2).all(|daemon| send(&fleet, daemon, "removed") == 404)
    });
    fleet.store.restore(&copy);
    await_watches(&fleet);
    (0..2).for_each(|daemon| assert_eq!(send(&fleet, daemon, "still-removed"), 404));
    fleet.publish(&without_read);
    fleet.publish(&test_config(9));
    wait_until("the daemons have the next configuration", || {
        (0..2).all(|daemon| send(&fleet, daemon, "added") == 200)
    });
}

// Guards against a server that has announced that it leaves, and is in use again because the copy lists
// it as ready.
#[test]
fn server_that_left_before_does_not_return_with_the_copy() {
    let fleet = FrontFleet::start(3, 2);
    let copy = fleet.store.copy();
    register(&fleet, 0, "draining");
    await_watches(&fleet);
    fleet.remove_registration(&fleet.servers[0].id());
    await_watches(&fleet);
    // The daemons remove what the store no longer lists.
    thread::sleep(Duration::from_millis(500));
    fleet.store.restore(&copy);
    await_watches(&fleet);
    assert_eq!(requests_at(&fleet, 0, "left"), 0);
}

// Guards against servers that are dropped since the copy is older than their registration, until they
// register again.
#[test]
fn servers_that_the_copy_lacks_are_used_until_they_had_time_to_register_again() {
    let fleet = FrontFleet::start(0, 0);
    let copy = fleet.store.copy();
    let mut fleet = fleet;
    (0..2).for_each(|number| fleet.add_server(&format!("i-{number}")));
    (0..2).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(ggt_testkit::front::await_ready);
    fleet.store.restore(&copy);
    let watches = fleet.store.watch_count_after("servers/", 0);
    wait_until("the daemons have read the copy", || {
        fleet.store.watch_count_after("servers/", 0) >= watches + 2
    });
    // The daemons would remove them within this time.
    thread::sleep(Duration::from_millis(500));
    (0..2).for_each(|daemon| assert_eq!(send(&fleet, daemon, "before"), 200));
    (0..2).for_each(|server| register(&fleet, server, "ready"));
    await_watches(&fleet);
    (0..2).for_each(|daemon| assert_eq!(send(&fleet, daemon, "after"), 200));
}
