//! Servers at whose address another instance replies, on the users' platform: their entries in the store are old.

use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::await_ready;
use ggt_testkit::wait::wait_until;

/// Daemons of the fleet.
const DAEMONS: usize = 3;
/// Requests that each daemon gets.
const REQUESTS: usize = 30;

/// The test configuration, in which each request may be sent to one server only.
fn config_with_one_attempt() -> serde_json::Value {
    let mut config = test_config(2);
    let routes = config["Routes"].as_array_mut().expect("routes");
    routes.iter_mut().for_each(|route| route["Attempts"] = 1.into());
    config
}

// Guards against requests that are refused since the only server that they may be sent to turned out to be another
// one, which has not run them, and against daemons that learn one by one what the first was told.
#[test]
fn request_that_another_instance_turned_away_is_served_and_all_daemons_learn_of_it() {
    let mut fleet = FrontFleet::start(2, 0);
    fleet.publish(&config_with_one_attempt());
    let log = fleet.keep_logs();
    (0..DAEMONS).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(await_ready);
    for server in &fleet.servers {
        server.set_script(|request, stream| respond(request, stream, 200, "whole"));
    }
    fleet.servers[0].crash();
    fleet.servers[0].restart("i-other").expect("should start again");
    let send = |daemon: usize, number: usize| {
        let path = if number.is_multiple_of(2) { "/once/" } else { "/read/" };
        let id = format!("call-{daemon}-{number}");
        let response = fleet.request(daemon, "POST", path, &id).body("x").send();
        assert_eq!(response.map(|response| response.status), Some(200), "{id}");
    };
    wait_until("one daemon is told that another instance is there", || {
        (0..REQUESTS).for_each(|number| send(0, number));
        log.count("target", "replaced") >= 1
    });
    wait_until("the others have heard of it", || log.count("target", "replaced") >= DAEMONS);
    (1..DAEMONS).for_each(|daemon| (0..REQUESTS).for_each(|number| send(daemon, number)));
    assert!(fleet.servers[0].requests().is_empty(), "the other instance has run a request");
}
