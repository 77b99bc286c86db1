//! A heartbeat of a server's former incarnation reaches the store late, after the server has started again with another
//! software version: nothing of it is believed.

use std::collections::BTreeSet;

use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::ServerStandin;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::VersionScript;
use ggt_testkit::front::versions_in;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Servers; the first one is the last that has the old version.
const SERVERS: usize = 3;
/// Streams that begin before the restart.
const STREAMS: usize = 36;
/// Event after which streams break off for their callers.
const CUT_AFTER: u64 = 5;
/// Last event of each stream.
const LAST_EVENT: u64 = 12;

fn set_scripts(fleet: &FrontFleet, versions: [&'static str; SERVERS], last: u64) {
    for (server, version) in fleet.servers.iter().zip(versions) {
        VersionScript { version, events: 1..=last, is_cut: last < LAST_EVENT }.set_on(server);
    }
}

fn write_entry(fleet: &FrontFleet, server: &ServerStandin, entry: &str) {
    fleet.store.put(&format!("{TARGET_PREFIX}{}", server.id()), entry);
}

/// The entry of a server that has started at this Unix time in milliseconds.
fn entry(server: &ServerStandin, born: u64) -> String {
    server.registration("s", "a", "ready").replace(r#""born":1"#, &format!(r#""born":{born}"#))
}

fn take_up(fleet: &FrontFleet, daemon: usize, number: usize) -> HttpResponse {
    let request = fleet.request(daemon, "POST", "/chat/", &format!("next-{number}"));
    let request = request.header("last-event-id", &CUT_AFTER.to_string());
    let request = request.header("resumes", &format!("first-{number}"));
    request.body("x").send().expect("should respond")
}

// Guards against streams that go on at a server of another version, since a late entry named its former one.
#[test]
fn streams_do_not_go_on_at_a_restarted_server_whose_former_entry_is_written_late() {
    let mut fleet = FrontFleet::start(0, 0);
    let log = fleet.keep_logs();
    (0..SERVERS).for_each(|number| fleet.add_unregistered_server(&format!("i-{number}")));
    set_scripts(&fleet, ["v1", "v2", "v2"], CUT_AFTER);
    (0..SERVERS).for_each(|number| fleet.register_in_state(number, "ready"));
    (0..2).for_each(|daemon| fleet.add_daemon(daemon, None));
    fleet.daemons.iter().for_each(ggt_testkit::front::await_ready);
    let begin = |number| {
        let request = fleet.request(0, "POST", "/chat/", &format!("first-{number}")).body("x");
        request.send().expect("should respond").body
    };
    let bodies: Vec<_> = (0..STREAMS).map(begin).collect();
    let is_old = |number: &usize| versions_in(&bodies[*number]) == BTreeSet::from(["v1"]);
    let old: Vec<_> = (0..STREAMS).filter(is_old).collect();
    assert!(!old.is_empty(), "some streams begin at each server");

    let late_entry = entry(&fleet.servers[0], 1);
    set_scripts(&fleet, ["v2", "v2", "v2"], LAST_EVENT);
    write_entry(&fleet, &fleet.servers[0], &entry(&fleet.servers[0], 2));
    let is_refused = |daemon| take_up(&fleet, daemon, old[0]).status == 503;
    wait_until("both daemons know of the restart", || (0..2).all(is_refused));
    write_entry(&fleet, &fleet.servers[0], &late_entry);
    wait_until("both daemons have read the late entry", || log.count("target", "outdated") >= 2);
    for number in old {
        let response = take_up(&fleet, number % 2, number);
        assert_eq!((response.status, versions_in(&response.body).len()), (503, 0), "{number}");
    }
}

// Guards against an entry with a start in the far future, after which all true entries of its server would count as
// outdated.
#[test]
fn entry_of_a_server_that_has_not_started_yet_is_not_believed() {
    const FAR_FUTURE: u64 = 1 << 60;
    let mut fleet = FrontFleet::start(1, 1);
    let elsewhere = fleet.unused_address().to_string();
    let server = &fleet.servers[0];
    let odd_entry = entry(server, FAR_FUTURE).replace(&server.address.to_string(), &elsewhere);
    write_entry(&fleet, server, &odd_entry);
    fleet.add_server("i-1");
    let mut requests = 0;
    wait_until("the daemon has read the entries", || {
        requests += 1;
        let request = fleet.request(0, "GET", "/read/", &format!("probe-{requests}"));
        request.send().expect("should respond");
        !fleet.servers[1].requests().is_empty()
    });
    let before = fleet.servers[0].requests().len();
    for number in 0..STREAMS {
        let request = fleet.request(0, "GET", "/read/", &format!("id-{number}"));
        assert_eq!(request.send().expect("should respond").status, 200);
    }
    assert!(fleet.servers[0].requests().len() > before, "the true entry holds");
}
