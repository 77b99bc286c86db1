//! Servers that state how long work takes there, on the users' platform.

use std::thread;
use std::time::Duration;

use serde_json::json;

use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::respond_with;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::wait::wait_until;

/// Requests of each count.
const REQUESTS: usize = 120;
/// Time that work takes at a server that is slow, and at the others.
const SLOW_TIME: Duration = Duration::from_millis(60);
const USUAL_TIME: Duration = Duration::from_millis(5);

/// Lets a server state this load.
fn state_load(server: &ServerStandin, load: &str) {
    let line = format!("X-Server-Load: {load}\r\n");
    server.set_script(move |request, stream| respond_with(request, stream, 200, &line, "whole"));
}

/// Sends requests through a daemon; returns how many reach the first server.
fn count_at_first(fleet: &FrontFleet, daemon: usize, round: &str) -> usize {
    let before = fleet.servers[0].requests().len();
    for number in 0..REQUESTS {
        let id = format!("{round}-{daemon}-{number}");
        let response = fleet.request(daemon, "POST", "/read/", &id).body("x").send();
        assert_eq!(response.map(|response| response.status), Some(200), "{id}");
    }
    fleet.servers[0].requests().len() - before
}

// Guards against a slow server that gets as much as before, and against one that is left out for good.
#[test]
fn slow_server_gets_less_while_it_says_so() {
    let fleet = FrontFleet::start(3, 1);
    fleet.servers.iter().for_each(|server| state_load(server, "1,0,8,100"));
    state_load(&fleet.servers[0], "1,0,8,900");
    count_at_first(&fleet, 0, "learn");
    let slow = count_at_first(&fleet, 0, "slow");
    assert!(slow < REQUESTS / 6, "{slow} of {REQUESTS} at the slow server");
    state_load(&fleet.servers[0], "1,0,8,100");
    wait_until("the server gets its part again", || {
        count_at_first(&fleet, 0, "usual") > REQUESTS / 6
    });
}

// Guards against requests that an odd figure loses, and against a daemon that it ends.
#[test]
fn odd_work_times_change_nothing() {
    let fleet = FrontFleet::start(3, 1);
    let odd =
        ["1,0,8,-7", "1,0,8,0", "1,0,8,1e9", "1,0,8,fast", "1,0,8,100,100", "1,0,8,4294967296"];
    for (number, load) in odd.into_iter().enumerate() {
        state_load(&fleet.servers[0], load);
        let count = count_at_first(&fleet, 0, &format!("odd-{number}"));
        assert!(count > REQUESTS / 6, "{load}: {count} of {REQUESTS}");
    }
}

// Guards against a slow server that states nothing and gets as much as its siblings, where the settings ask for it.
#[test]
fn slow_server_that_states_nothing_gets_less_if_durations_are_measured() {
    let fleet = FrontFleet::start_with(3, 1, json!({ "measure_work_times": true }));
    fleet.servers[0].set_script(|request, stream| {
        thread::sleep(SLOW_TIME);
        respond_with(request, stream, 200, "", "whole")
    });
    for server in &fleet.servers[1..] {
        server.set_script(|request, stream| {
            thread::sleep(USUAL_TIME);
            respond_with(request, stream, 200, "", "whole")
        });
    }
    count_at_first(&fleet, 0, "learn");
    let slow = count_at_first(&fleet, 0, "slow");
    assert!(slow < REQUESTS / 5, "{slow} of {REQUESTS} at the slow server");
}
