//! Daemons are lost before anybody but them has seen a second software version: the streams that they began go on
//! at the others, and only at the version that began them.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use ggt_core::fleet::ORIGIN_HOLDERS;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::VersionScript;
use ggt_testkit::front::await_ready;
use ggt_testkit::front::versions_in;
use ggt_testkit::wait::wait_until;

/// Servers of the version that begins the streams.
const OLD_SERVERS: usize = 4;
/// Their version.
const OLD_VERSION: &str = "v1";
/// Version of the server that joins.
const NEW_VERSION: &str = "v2";
/// Timeout of the routes, which decides for how long a version is kept in mind.
const STREAM_TIMEOUT_MS: u64 = 8_000;
/// Event after which each stream breaks off for its caller.
const CUT_AFTER: u64 = 5;
/// Last event of each stream.
const LAST_EVENT: u64 = 12;
/// Streams that begin at each daemon that is lost.
const STREAMS: usize = 24;

fn set_old_scripts(fleet: &FrontFleet, events: RangeInclusive<u64>, is_cut: bool) {
    for server in &fleet.servers[..OLD_SERVERS] {
        VersionScript { version: OLD_VERSION, events: events.clone(), is_cut }.set_on(server);
    }
}

/// A fleet with servers of one version, of which each daemon knows that it has been the only one for as long as a
/// stream can last.
fn start(daemons: usize) -> FrontFleet {
    let mut fleet = FrontFleet::start(0, 0);
    let mut config = test_config(1);
    for route in config["Routes"].as_array_mut().expect("should be a list") {
        route["TimeoutMs"] = STREAM_TIMEOUT_MS.into();
    }
    fleet.publish(&config);
    (0..OLD_SERVERS).for_each(|server| fleet.add_server(&format!("i-{server}")));
    let log = fleet.keep_logs();
    (0..daemons).for_each(|daemon| fleet.add_daemon(daemon, None));
    fleet.daemons.iter().for_each(await_ready);
    wait_until("all daemons know one version only", || log.count("versions", "single") >= daemons);
    fleet
}

/// Begins streams at a daemon, which end early for their callers.
fn begin_streams(fleet: &FrontFleet, daemon: usize) {
    for number in 0..STREAMS {
        let id = format!("first-{daemon}-{number}");
        let response = fleet.request(daemon, "POST", "/chat/", &id).body("x").send();
        let response = response.expect("should respond");
        assert_eq!(versions_in(&response.body), BTreeSet::from([OLD_VERSION]), "{}", response.body);
        assert!(!response.is_complete);
    }
}

/// How often daemons have heard of a stream from another one.
fn heard(fleet: &FrontFleet) -> usize {
    let of_daemon = |daemon| fleet.metric(daemon, "front_origins", r#"change="heard""#) as usize;
    (0..fleet.daemons.len()).map(of_daemon).sum()
}

/// Lets a server of another version join, and waits until these daemons have begun a stream there.
fn begin_release(fleet: &mut FrontFleet, daemons: &[usize]) {
    fleet.add_unregistered_server("i-new");
    let script = VersionScript { version: NEW_VERSION, events: 1..=LAST_EVENT, is_cut: false };
    script.set_on(&fleet.servers[OLD_SERVERS]);
    fleet.register_in_state(OLD_SERVERS, "ready");
    for daemon in daemons {
        let mut attempts = 0;
        wait_until("the daemon sends to the new version", || {
            attempts += 1;
            let id = format!("new-{daemon}-{attempts}");
            let response = fleet.request(*daemon, "POST", "/chat/", &id).body("x").send();
            response.is_some_and(|response| versions_in(&response.body).contains(NEW_VERSION))
        });
    }
}

/// Takes the streams of a lost daemon up in turns at those that live: all go on, at the version that began them.
fn check_taken_up(fleet: &FrontFleet, lost: usize, alive: &[usize]) {
    for number in 0..STREAMS {
        let daemon = alive[number % alive.len()];
        let id = format!("next-{lost}-{number}");
        let request = fleet.request(daemon, "POST", "/chat/", &id);
        let request = request.header("last-event-id", &CUT_AFTER.to_string());
        let request = request.header("resumes", &format!("first-{lost}-{number}"));
        let response = request.body("x").send().expect("should respond");
        assert_eq!(response.status, 200, "{id}: {}", response.body);
        assert_eq!(versions_in(&response.body), BTreeSet::from([OLD_VERSION]), "{id}");
        assert!(response.is_complete, "{id}");
    }
}

/// Plays the loss of these daemons, without a word, while there is one version, and then the beginning of a release.
fn check_loss(daemons: usize, lost: &[usize]) {
    let mut fleet = start(daemons);
    set_old_scripts(&fleet, 1..=CUT_AFTER, true);
    lost.iter().for_each(|daemon| begin_streams(&fleet, *daemon));
    let told = lost.len() * STREAMS * ORIGIN_HOLDERS.min(daemons - 1);
    wait_until("others have heard of all streams", || heard(&fleet) >= told);
    lost.iter().for_each(|daemon| fleet.daemons[*daemon].process.pause());
    let alive: Vec<_> = (0..daemons).filter(|daemon| !lost.contains(daemon)).collect();
    set_old_scripts(&fleet, 1..=LAST_EVENT, false);
    begin_release(&mut fleet, &alive);
    lost.iter().for_each(|daemon| check_taken_up(&fleet, *daemon, &alive));
}

// Guards against streams that no other daemon knows: they were told of only once a second version was there, by
// the daemon that was lost before.
#[test]
fn streams_of_a_daemon_that_is_lost_before_a_release_go_on() {
    check_loss(4, &[0]);
}

// Guards against the same in a fleet in which not all daemons are told of each stream.
#[test]
fn streams_of_three_daemons_lost_together_before_a_release_go_on_in_a_larger_fleet() {
    check_loss(16, &[0, 7, 15]);
}
