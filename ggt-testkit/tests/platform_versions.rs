//! Servers of several software versions side by side: a stream only goes on at the version that began it,
//! within one response and over a caller's attempts, at any daemon.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;

use ggt_platform::CACHE_LIST_PATH;
use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::VersionScript;
use ggt_testkit::front::versions_in;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

const VERSIONS: [&str; 2] = ["v1", "v1.1"];
/// Servers of both versions together.
const SERVERS: usize = 6;
/// Events of each stream.
const EVENTS: u64 = 12;
/// Event after which a server cuts a stream that it began.
const CUT_AFTER: u64 = 5;
/// Streams of each case.
const STREAMS: usize = 24;

fn version_of(server: usize) -> &'static str {
    VERSIONS[server % VERSIONS.len()]
}

/// Replies with the events up to `last` that the caller lacks.
fn script(server: usize, last: u64) -> VersionScript {
    VersionScript { version: version_of(server), events: 1..=last, is_cut: last < EVENTS }
}

/// Makes a server cut the streams that it begins, but not those that it goes on with.
fn set_script(server: &ServerStandin, version: &'static str) {
    let whole = VersionScript { version, events: 1..=EVENTS, is_cut: false };
    let cut = VersionScript { events: 1..=CUT_AFTER, is_cut: true, ..whole.clone() };
    server.set_version(version);
    server.set_script(move |request, stream| match request.last_event_id() {
        None => cut.send(request, stream),
        Some(_) => whole.send(request, stream),
    });
}

/// A fleet of `daemons` daemons and six servers of two versions.
fn start(daemons: usize) -> FrontFleet {
    let fleet = start_servers();
    (0..SERVERS).for_each(|number| fleet.register_in_state(number, "ready"));
    with_daemons(fleet, daemons)
}

/// The same with servers that started this long ago.
fn start_with_age(daemons: usize, age_ms: u128) -> FrontFleet {
    let fleet = start_servers();
    register_with_age(&fleet, age_ms);
    with_daemons(fleet, daemons)
}

fn start_servers() -> FrontFleet {
    let mut fleet = FrontFleet::start(0, 0);
    for number in 0..SERVERS {
        fleet.add_unregistered_server(&format!("i-{number}"));
        set_script(&fleet.servers[number], version_of(number));
    }
    fleet
}

/// Registers a server as started at this Unix time in milliseconds.
fn register_as_born(fleet: &FrontFleet, server: &ServerStandin, born: u128) {
    let entry = server.registration("s", "a", "ready");
    let entry = entry.replace(r#""born":1"#, &format!(r#""born":{born}"#));
    fleet.store.put(&format!("{TARGET_PREFIX}{}", server.id()), &entry);
}

fn with_daemons(mut fleet: FrontFleet, daemons: usize) -> FrontFleet {
    (0..daemons).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(ggt_testkit::front::await_ready);
    fleet
}

/// Begins a resumable stream, of which the caller may get a part only.
fn begin(fleet: &FrontFleet, daemon: usize, id: &str) -> HttpResponse {
    fleet.request(daemon, "POST", "/chat/", id).body("x").send().expect("should respond")
}

/// Takes a stream up after `last` events that the attempt `origin` brought.
fn take_up(
    fleet: &FrontFleet,
    daemon: usize,
    id: &str,
    origin: Option<&str>,
    last: u64,
) -> HttpResponse {
    let request = fleet.request(daemon, "POST", "/chat/", id);
    let request = request.header("last-event-id", &last.to_string());
    let request = match origin {
        Some(origin) => request.header("resumes", origin),
        None => request,
    };
    request.body("x").send().expect("should respond")
}

/// Makes every server cut each stream after `CUT_AFTER` events, also one that it goes on with, so that the
/// first attempt ends there for its caller.
fn set_cutting_scripts(fleet: &FrontFleet) {
    for (number, server) in fleet.servers.iter().enumerate() {
        script(number, CUT_AFTER).set_on(server);
    }
}

/// Makes every server complete the streams that it goes on with.
fn set_completing_scripts(fleet: &FrontFleet) {
    fleet.servers.iter().enumerate().for_each(|(n, server)| set_script(server, version_of(n)));
}

/// Begins streams that end after `CUT_AFTER` events; returns the version of each.
fn begin_cut_streams(fleet: &FrontFleet, daemon: usize) -> Vec<String> {
    set_cutting_scripts(fleet);
    let begin_one = |number| {
        let response = begin(fleet, daemon, &format!("first-{number}"));
        let versions = versions_in(&response.body);
        assert_eq!(versions.len(), 1, "{}", response.body);
        assert!(!response.is_complete);
        versions.into_iter().next().unwrap_or_default().to_owned()
    };
    let versions = (0..STREAMS).map(begin_one).collect();
    set_completing_scripts(fleet);
    versions
}

/// Takes all streams up at `daemon`: none may get events of another version, and all must go on.
fn check_taken_up(fleet: &FrontFleet, daemon: usize, versions: &[String]) {
    for (number, version) in versions.iter().enumerate() {
        let (id, origin) = (format!("next-{daemon}-{number}"), format!("first-{number}"));
        let response = take_up(fleet, daemon, &id, Some(&origin), CUT_AFTER);
        assert_eq!(response.status, 200, "{id}: {}", response.body);
        assert!(response.is_complete);
        assert_eq!(versions_in(&response.body), BTreeSet::from([version.as_str()]), "{id}");
    }
}

// Guards against a stream that the daemon itself goes on with at a server of another version.
#[test]
fn stream_that_a_server_cuts_goes_on_at_the_same_version() {
    let fleet = start(1);
    for number in 0..STREAMS {
        let response = begin(&fleet, 0, &format!("id-{number}"));
        assert!(response.is_complete, "{}", response.body);
        assert_eq!(versions_in(&response.body).len(), 1, "{}", response.body);
    }
}

// Guards against a stream that its caller takes up at the same daemon and gets from another version.
#[test]
fn stream_taken_up_at_the_same_daemon_stays_at_its_version() {
    let fleet = start(1);
    let versions = begin_cut_streams(&fleet, 0);
    check_taken_up(&fleet, 0, &versions);
}

// Guards against the same at daemons that did not begin the stream.
#[test]
fn stream_taken_up_at_another_daemon_stays_at_its_version() {
    let fleet = start(4);
    let versions = begin_cut_streams(&fleet, 0);
    (1..4).for_each(|daemon| check_taken_up(&fleet, daemon, &versions));
}

// Guards against versions that are lost with the daemon that began the streams.
#[test]
fn stream_stays_at_its_version_when_the_daemon_that_began_it_is_killed() {
    let mut fleet = start(4);
    let versions = begin_cut_streams(&fleet, 0);
    // A stream's version is told to other daemons within moments of its first event.
    check_taken_up(&fleet, 1, &versions);
    fleet.daemons[0].process.kill();
    (2..4).for_each(|daemon| check_taken_up(&fleet, daemon, &versions));
    fleet.restart(0);
    check_taken_up(&fleet, 0, &versions);
}

// Guards against a stream whose events are numbered from 0: a caller that has got the first one only goes on at any
// version, as if it had none.
#[test]
fn stream_numbered_from_zero_stays_at_its_version_after_its_first_event() {
    let fleet = start(2);
    let set_scripts = |events: RangeInclusive<u64>, is_cut| {
        for (number, server) in fleet.servers.iter().enumerate() {
            let version = version_of(number);
            VersionScript { version, events: events.clone(), is_cut }.set_on(server);
        }
    };
    set_scripts(0..=0, true);
    let begin_one = |number| begin(&fleet, 0, &format!("first-{number}")).body;
    let bodies: Vec<_> = (0..STREAMS).map(begin_one).collect();
    set_scripts(0..=EVENTS, false);
    for (number, body) in bodies.iter().enumerate() {
        let (id, origin) = (format!("next-{number}"), format!("first-{number}"));
        let response = take_up(&fleet, 1, &id, Some(&origin), 0);
        assert_eq!(response.status, 200, "{id}: {}", response.body);
        assert_eq!(versions_in(&response.body), versions_in(body), "{id}");
        assert!(response.body.starts_with("id: 1\n"), "{id}: {}", response.body);
    }
}

// Guards against streams that no daemon knows any more once all but one are killed.
#[test]
fn streams_are_known_to_the_last_daemon_of_a_small_fleet() {
    const LAST: usize = 4;
    let mut fleet = start(LAST + 1);
    let versions = begin_cut_streams(&fleet, 0);
    // A stream's version is told to other daemons within moments of its first event.
    check_taken_up(&fleet, 1, &versions);
    wait_until("the last daemon has been told of all streams", || {
        fleet.metric(LAST, "front_origins", r#"change="heard""#) >= STREAMS as f64
    });
    (0..LAST).for_each(|daemon| fleet.daemons[daemon].process.kill());
    check_taken_up(&fleet, LAST, &versions);
}

// Guards against a stream of unknown origin that goes on at any of two versions: after a restart of all
// daemons, and if its caller names no attempt or one that is not known.
#[test]
fn stream_of_unknown_origin_is_refused_while_two_versions_are_possible() {
    let mut fleet = start(2);
    let versions = begin_cut_streams(&fleet, 0);
    assert_eq!(versions.len(), STREAMS);
    for origin in [None, Some("unknown"), Some("")] {
        let response = take_up(&fleet, 1, &format!("next-{origin:?}"), origin, CUT_AFTER);
        assert_eq!(response.status, 503, "{origin:?}: {}", response.body);
        assert_eq!(fleet.request_count(&format!("next-{origin:?}")), 0);
    }
    (0..2).for_each(|daemon| fleet.daemons[daemon].process.kill());
    (0..2).for_each(|daemon| fleet.restart(daemon));
    for number in 0..STREAMS {
        let (id, origin) = (format!("after-{number}"), format!("first-{number}"));
        let response = take_up(&fleet, number % 2, &id, Some(&origin), CUT_AFTER);
        assert_eq!((response.status, fleet.request_count(&id)), (503, 0), "{}", response.body);
    }
}

// Guards against a stream that goes on at any version behind a cut, at a daemon that no other can tell of it.
#[test]
fn stream_is_refused_at_a_daemon_that_is_cut_off_from_those_that_know_it() {
    let mut fleet = start(2);
    fleet.add_isolated_daemon(2);
    let versions = begin_cut_streams(&fleet, 0);
    check_taken_up(&fleet, 1, &versions);
    for number in 0..STREAMS {
        let (id, origin) = (format!("cut-{number}"), format!("first-{number}"));
        let response = take_up(&fleet, 2, &id, Some(&origin), CUT_AFTER);
        assert_eq!((response.status, fleet.request_count(&id)), (503, 0), "{}", response.body);
    }
}

// Guards against the refusal of streams of unknown origin where only one version can have begun them.
#[test]
fn stream_of_unknown_origin_goes_on_if_all_servers_have_one_version() {
    let mut fleet = FrontFleet::start(3, 2);
    fleet.servers.iter().for_each(|server| set_script(server, "v1"));
    (0..2).for_each(|daemon| fleet.daemons[daemon].process.kill());
    (0..2).for_each(|daemon| fleet.restart(daemon));
    for (number, origin) in [None, Some("unknown")].into_iter().enumerate() {
        let response = take_up(&fleet, number, &format!("next-{number}"), origin, CUT_AFTER);
        assert_eq!(response.status, 200, "{}", response.body);
    }
}

// Guards against a stream that goes on at the remaining version when all servers of its own are gone, or
// that waits for one.
#[test]
fn stream_is_refused_when_all_servers_of_its_version_are_gone() {
    let fleet = start(2);
    let versions = begin_cut_streams(&fleet, 0);
    let old = || (0..SERVERS).filter(|number| version_of(*number) == "v1");
    for number in old() {
        fleet.remove_registration(&fleet.servers[number].id());
    }
    wait_until("both daemons have no server of the version", || {
        (0..2).all(|daemon| {
            let versions = (0..8).map(|number| {
                let response = begin(&fleet, daemon, &format!("probe-{daemon}-{number}"));
                versions_in(&response.body).iter().any(|version| *version == "v1")
            });
            versions.filter(|is_old| *is_old).count() == 0
        })
    });
    for (number, version) in versions.iter().enumerate() {
        let (id, origin) = (format!("next-{number}"), format!("first-{number}"));
        let response = take_up(&fleet, 1, &id, Some(&origin), CUT_AFTER);
        match version.as_str() {
            "v1" => assert_eq!((response.status, fleet.request_count(&id)), (503, 0)),
            _ => assert_eq!(versions_in(&response.body), BTreeSet::from(["v1.1"])),
        }
    }
}

// Guards against a chain of attempts in which the third daemon no longer knows the first attempt.
#[test]
fn stream_taken_up_twice_stays_at_its_version() {
    let fleet = start(4);
    let versions = begin_cut_streams(&fleet, 0);
    // These servers cut streams two events after the caller's last one.
    for (number, server) in fleet.servers.iter().enumerate() {
        server.set_script(move |request, stream| match request.last_event_id().unwrap_or(0) {
            last if last < CUT_AFTER + 2 => script(number, last + 2).send(request, stream),
            _ => script(number, EVENTS).send(request, stream),
        });
    }
    for (number, version) in versions.iter().enumerate() {
        let origin = format!("first-{number}");
        let second = take_up(&fleet, 1, &format!("second-{number}"), Some(&origin), CUT_AFTER);
        let last = second.body.lines().filter_map(|line| line.strip_prefix("id: ")).next_back();
        let last = last.and_then(|id| id.parse().ok()).unwrap_or(CUT_AFTER);
        assert_eq!(versions_in(&second.body), BTreeSet::from([version.as_str()]));
        if second.is_complete {
            continue;
        }
        let third = take_up(&fleet, 2, &format!("third-{number}"), Some(&origin), last);
        assert_eq!(versions_in(&third.body), BTreeSet::from([version.as_str()]));
    }
}

// Guards against an id that comes back as a server of another version: its streams of before must not go
// on there.
#[test]
fn id_that_comes_back_with_another_version_does_not_get_the_streams_of_before() {
    let fleet = start(2);
    let versions = begin_cut_streams(&fleet, 0);
    // All servers of the first version come back under their ids with the second one, and the reverse.
    for (number, server) in fleet.servers.iter().enumerate() {
        set_script(server, version_of(number + 1));
        register_as_born(&fleet, server, 2);
    }
    wait_until("both daemons have the new registrations", || {
        (0..2).all(|daemon| {
            let response = take_up(&fleet, daemon, "probe", Some("first-0"), CUT_AFTER);
            versions_in(&response.body) == BTreeSet::from([versions[0].as_str()])
        })
    });
    (0..2).for_each(|daemon| check_taken_up(&fleet, daemon, &versions));
}

/// Begins streams until some have begun at the server of `v1`; returns the attempts of these.
fn begin_at_old_server(fleet: &FrontFleet) -> Vec<String> {
    let (mut begun, mut number) = (Vec::new(), 0);
    wait_until("the server has begun streams", || {
        number += 1;
        let id = format!("first-{number}");
        let response = begin(fleet, 0, &id);
        begun.extend(versions_in(&response.body).contains("v1").then_some(id));
        begun.len() >= 3
    });
    begun
}

fn whole_script(version: &'static str) -> VersionScript {
    VersionScript { version, events: 1..=EVENTS, is_cut: false }
}

// Guards against streams of a server that has ended, which go on at the one that is back under its id with another
// version, before that has registered: a new stream that is served there does not show the version.
#[test]
fn streams_do_not_go_on_at_a_server_that_is_back_with_another_version_before_it_registers() {
    let mut fleet = FrontFleet::start(0, 0);
    for number in 0..4 {
        fleet.add_unregistered_server(&format!("i-{number}"));
        whole_script(if number == 0 { "v1" } else { "v2" }).set_on(&fleet.servers[number]);
        fleet.register_in_state(number, "ready");
    }
    let fleet = with_daemons(fleet, 1);
    let server = &fleet.servers[0];
    server.set_script(|request, stream| {
        let script = VersionScript { version: "v1", events: 1..=CUT_AFTER, is_cut: true };
        script.send(request, stream)
    });
    let begun = begin_at_old_server(&fleet);
    server.set_script(|_, _| AfterResponse::Crash);
    let mut number = 0;
    wait_until("the server has crashed", || {
        number += 1;
        begin(&fleet, 0, &format!("crash-{number}"));
        server.is_down()
    });
    // It is back at once, and registers later.
    whole_script("v2").set_on(server);
    server.restart("i-0").expect("the server should start again");
    wait_until("a new stream is served there", || {
        number += 1;
        begin(&fleet, 0, &format!("new-{number}"));
        server.requests().iter().any(|request| request.attempt_id().starts_with("new-"))
    });
    for (number, origin) in begun.iter().enumerate() {
        let id = format!("again-{number}");
        let response = take_up(&fleet, 0, &id, Some(origin), CUT_AFTER);
        assert_eq!((response.status, fleet.request_count(&id)), (503, 0), "{}", response.body);
    }
}

// Guards against streams that are refused for good at a server that only seemed to have ended: it says that it is the
// incarnation that is registered.
#[test]
fn streams_go_on_at_a_server_that_states_the_registered_start() {
    let fleet = FrontFleet::start(4, 0);
    let mut config = test_config(2);
    let models = json!([{ "Name": "m" }]);
    config["Services"][0]["Engine"] = json!({ "Slots": 8, "KvCapTokens": 1_000, "Models": models });
    fleet.publish(&config);
    let fleet = with_daemons(fleet, 1);
    let respond_as = |server: &ServerStandin, version| {
        let script = whole_script(version);
        server.set_version(version);
        server.set_script(move |request, stream| match request.path.as_str() {
            CACHE_LIST_PATH => respond(request, stream, 200, r#"{"born":1,"held":[]}"#),
            _ => script.send(request, stream),
        });
    };
    respond_as(&fleet.servers[0], "v1");
    (1..4).for_each(|number| respond_as(&fleet.servers[number], "v2"));
    (0..4).for_each(|number| register_as_born(&fleet, &fleet.servers[number], 1));
    let server = &fleet.servers[0];
    let begun = begin_at_old_server(&fleet);
    server.set_script(|_, _| AfterResponse::Crash);
    let mut number = 0;
    wait_until("the server refuses connections", || {
        number += 1;
        begin(&fleet, 0, &format!("crash-{number}"));
        server.is_down()
    });
    respond_as(server, "v1");
    server.restart("i-0").expect("the server should accept connections again");
    wait_until("streams go on there", || {
        number += 1;
        begin(&fleet, 0, &format!("new-{number}"));
        let response = take_up(&fleet, 0, &format!("again-{number}"), Some(&begun[0]), CUT_AFTER);
        response.status == 200 && versions_in(&response.body) == BTreeSet::from(["v1"])
    });
}

// Guards against a daemon that refuses streams for as long as a release may be under way although they began
// after all daemons had restarted, so that their versions are known.
#[test]
fn stream_begun_after_a_restart_of_all_daemons_goes_on_while_servers_are_young() {
    let mut fleet = start(3);
    register_with_age(&fleet, 0);
    (0..3).for_each(|daemon| fleet.daemons[daemon].process.kill());
    (0..3).for_each(|daemon| fleet.restart(daemon));
    let versions = begin_cut_streams(&fleet, 0);
    (0..3).for_each(|daemon| check_taken_up(&fleet, daemon, &versions));
}

/// Age of servers that have run for longer than any stream.
const LONG_AGE_MS: u128 = 60_000;
/// Age of servers that a release has just started.
const SHORT_AGE_MS: u128 = 5_000;

/// Registers all servers as started this long ago.
fn register_with_age(fleet: &FrontFleet, age_ms: u128) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock is set").as_millis();
    fleet.servers.iter().for_each(|server| register_as_born(fleet, server, now - age_ms));
}

/// Begins streams at servers of both versions, restarts all daemons while the servers of the first version
/// leave, and takes the streams up: what goes on must be of one version, all else is refused.
fn check_version_that_left(age_ms: u128, is_named: bool, says_so: bool) {
    let mut fleet = start_with_age(3, age_ms);
    let versions = begin_cut_streams(&fleet, 0);
    (0..3).for_each(|daemon| fleet.daemons[daemon].process.kill());
    for number in (0..SERVERS).filter(|number| version_of(*number) == "v1") {
        let server = &fleet.servers[number];
        if says_so {
            fleet.register_in_state(number, "draining");
        }
        fleet.remove_registration(&server.id());
    }
    (0..3).for_each(|daemon| fleet.restart(daemon));
    for (number, version) in versions.iter().enumerate() {
        let (id, origin) = (format!("next-{number}"), format!("first-{number}"));
        let origin = is_named.then_some(origin.as_str());
        let response = take_up(&fleet, number % 3, &id, origin, CUT_AFTER);
        match response.status {
            200 => assert_eq!(versions_in(&response.body), BTreeSet::from([version.as_str()])),
            status => assert_eq!((status, fleet.request_count(&id)), (503, 0), "{id}"),
        }
    }
}

// Guards against streams joined from two versions after all daemons were killed while one of the versions
// left: the daemons took the only listed version for the only one that there was.
#[test]
fn streams_of_a_version_that_left_while_all_daemons_were_down_are_refused() {
    check_version_that_left(LONG_AGE_MS, true, true);
}

// Guards against the same when the servers have left without having said so.
#[test]
fn streams_of_a_version_that_left_silently_while_all_daemons_were_down_are_refused() {
    check_version_that_left(LONG_AGE_MS, true, false);
}

// Guards against the same for callers that name no attempt, at servers of any age.
#[test]
fn unnamed_streams_of_a_version_that_left_while_all_daemons_were_down_are_refused() {
    check_version_that_left(LONG_AGE_MS, false, true);
    check_version_that_left(SHORT_AGE_MS, false, false);
}
