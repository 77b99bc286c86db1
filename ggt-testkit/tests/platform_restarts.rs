//! Servers that are back under their ids with another software version before they register: streams of the version that
//! is registered do not go on there, at any daemon. After a cut that was only a cut they do.

use std::collections::BTreeSet;

use serde_json::json;

use ggt_platform::CACHE_LIST_PATH;
use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::LinkKind;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::VersionScript;
use ggt_testkit::front::await_ready;
use ggt_testkit::front::versions_in;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

const OLD: &str = "v1";
const NEW: &str = "v2";
/// Events of each stream, and the last one that its caller has when it takes it up.
const EVENTS: u64 = 12;
const LAST_EVENT: u64 = 5;
/// Streams of each case.
const STREAMS: usize = 8;
/// Unix time in milliseconds at which servers start, as registered, and at which they start again.
const REGISTERED_START: u64 = 1;
const OTHER_START: u64 = 2;

/// Makes a server run this version since this start. One of the old version cuts the streams that it begins.
fn run_version(server: &ServerStandin, version: &'static str, start: u64) {
    let whole = VersionScript { version, events: 1..=EVENTS, is_cut: false };
    let cut = VersionScript { events: 1..=LAST_EVENT, is_cut: true, ..whole.clone() };
    server.set_version(version);
    server.set_script(move |request, stream| {
        let list = json!({ "born": start, "held": [] }).to_string();
        match request.last_event_id() {
            _ if request.path == CACHE_LIST_PATH => respond(request, stream, 200, &list),
            None if version == OLD => cut.send(request, stream),
            _ => whole.send(request, stream),
        }
    });
}

/// A fleet with servers of these versions, whose service has prefix caches; the daemons start later.
fn start_servers(versions: &[&'static str], linked_daemons: usize) -> FrontFleet {
    let mut fleet = FrontFleet::start(0, 0);
    let mut config = test_config(2);
    let models = json!([{ "Name": "m" }]);
    config["Services"][0]["Engine"] = json!({ "Slots": 8, "KvCapTokens": 1_000, "Models": models });
    fleet.link_daemons(linked_daemons, &[]);
    fleet.publish(&config);
    for (number, version) in versions.iter().enumerate() {
        fleet.add_unregistered_server(&format!("i-{number}"));
        run_version(&fleet.servers[number], version, REGISTERED_START);
        fleet.register_in_state(number, "ready");
    }
    fleet
}

fn start_daemons(fleet: &mut FrontFleet, count: usize) {
    (0..count).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(await_ready);
}

fn begin(fleet: &FrontFleet, daemon: usize, id: &str) -> HttpResponse {
    fleet.request(daemon, "POST", "/chat/", id).body(id).send().expect("should respond")
}

/// Begins streams at a daemon until this many are of the old version; returns their ids.
fn begin_old(fleet: &FrontFleet, daemon: usize) -> Vec<String> {
    let (mut begun, mut number) = (Vec::new(), 0);
    wait_until("the streams have begun", || {
        number += 1;
        let id = format!("first-{daemon}-{number}");
        let response = begin(fleet, daemon, &id);
        begun.extend(versions_in(&response.body).contains(OLD).then_some(id));
        begun.len() >= STREAMS
    });
    begun
}

fn take_up(fleet: &FrontFleet, daemon: usize, id: &str, origin: &str) -> HttpResponse {
    let request = fleet.request(daemon, "POST", "/chat/", id).header("resumes", origin);
    let request = request.header("last-event-id", &LAST_EVENT.to_string());
    request.body(id).send().expect("should respond")
}

/// Checks that none of these streams goes on at a daemon.
fn check_refused(fleet: &FrontFleet, daemon: usize, begun: &[String]) {
    for (number, origin) in begun.iter().enumerate() {
        let id = format!("again-{daemon}-{number}");
        let response = take_up(fleet, daemon, &id, origin);
        assert_eq!((response.status, fleet.request_count(&id)), (503, 0), "{}", response.body);
    }
}

/// Starts a server again under its id, with the new version, and does not register it.
fn start_again(server: &ServerStandin) {
    run_version(server, NEW, OTHER_START);
    server.restart(&server.id()).expect("the server should start again");
}

// Guards against streams that go on at servers which are back with another version: all of a service have crashed, which
// looks like a cut of the daemon, and the end of the cut was taken to show that the same processes are there.
#[test]
fn streams_do_not_go_on_after_all_servers_of_a_service_are_back_with_another_version() {
    let mut fleet = start_servers(&[OLD; 3], 0);
    let log_book = fleet.keep_logs();
    start_daemons(&mut fleet, 2);
    let begun = begin_old(&fleet, 0);
    fleet.servers.iter().for_each(ServerStandin::crash);
    let mut number = 0;
    wait_until("no daemon reaches a server", || {
        number += 1;
        take_up(&fleet, number % 2, &format!("down-{number}"), &begun[0]);
        log_book.count("reach", "cut-off") >= 2
    });
    fleet.servers.iter().for_each(start_again);
    for daemon in [0, 1] {
        let mut number = 0;
        wait_until("a new stream is served", || {
            number += 1;
            begin(&fleet, daemon, &format!("new-{daemon}-{number}")).status == 200
        });
        check_refused(&fleet, daemon, &begun);
    }
}

// Guards against a stream that goes on at a server which is back with another version, at a daemon that had no request
// there meanwhile and was told of its crash by another one.
#[test]
fn streams_do_not_go_on_at_a_restarted_server_where_a_peer_has_seen_its_end() {
    let mut fleet = start_servers(&[OLD, NEW, NEW, NEW], 0);
    start_daemons(&mut fleet, 3);
    let begun = begin_old(&fleet, 0);
    let server = &fleet.servers[0];
    server.set_script(|_, _| AfterResponse::Crash);
    // No other server can go on with it, so its loss counts as a crash.
    take_up(&fleet, 0, "crash", &begun[0]);
    wait_until("the server has crashed", || server.is_down());
    wait_until("the last daemon is told", || {
        fleet.metric(2, "front_crashes_total", "change=\"told\"") > 0.0
    });
    start_again(server);
    check_refused(&fleet, 2, &begun);
}

// Guards against streams that are lost after a cut of their daemon: the servers say that they are the registered ones.
#[test]
fn streams_go_on_after_the_cut_of_a_daemon_ends() {
    for kind in [LinkKind::Reset, LinkKind::RefuseNew, LinkKind::Hang] {
        let mut fleet = start_servers(&[OLD; 4], 2);
        let log_book = fleet.keep_logs();
        start_daemons(&mut fleet, 2);
        let begun = begin_old(&fleet, 0);
        fleet.cut(0, kind);
        let mut number = 0;
        wait_until("the daemon reaches no server", || {
            number += 1;
            take_up(&fleet, 0, &format!("cut-{number}"), &begun[0]);
            log_book.count("reach", "cut-off") > 0
        });
        fleet.heal(0);
        wait_until("the daemon reaches servers again", || log_book.count("reach", "regained") > 0);
        for (number, origin) in begun.iter().enumerate() {
            let response = take_up(&fleet, 0, &format!("again-{number}"), origin);
            assert_eq!(response.status, 200, "{kind:?} {number}: {}", response.body);
            assert_eq!(versions_in(&response.body), BTreeSet::from([OLD]), "{kind:?} {number}");
        }
    }
}
