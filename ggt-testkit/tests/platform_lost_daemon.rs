//! Daemons are lost before anybody but them has seen a second software version: the streams that they began go on
//! at the others, and only at the version that began them.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;

use ggt_core::fleet::ORIGIN_HOLDERS;
use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::stream_head;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::await_ready;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Servers of the version that begins the streams.
const OLD_SERVERS: usize = 4;
/// Version of the server that joins.
const NEW_VERSION: &str = "v2";
/// Timeout of the routes, which decides for how long a version is kept in mind.
const STREAM_TIMEOUT_MS: u64 = 8_000;
/// Number of events after which each stream breaks off for its caller.
const EVENTS: u64 = 5;
/// Streams that begin at each daemon that is lost.
const STREAMS: usize = 24;

/// How servers end their replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplyEnd {
    Complete,
    BreaksOff,
}

/// Sends events that name the version, from the one after the caller's last on.
fn send_events(request: &WireRequest, stream: &mut TcpStream, version: &str, end: ReplyEnd) {
    let last = request.last_event_id().unwrap_or(0);
    let mut text = stream_head(request);
    for id in last + 1..=last + EVENTS {
        let event = format!("id: {id}\ndata: {version}\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    if end == ReplyEnd::Complete {
        text.push_str("0\r\n\r\n");
    }
    // The daemon may have closed the connection already.
    let _ = stream.write_all(text.as_bytes());
}

/// Makes a server send events of this version.
fn set_script(fleet: &FrontFleet, server: usize, version: &'static str, end: ReplyEnd) {
    fleet.servers[server].set_script(move |request, stream| {
        send_events(request, stream, version, end);
        match end {
            ReplyEnd::Complete => AfterResponse::Keep,
            ReplyEnd::BreaksOff => AfterResponse::Close,
        }
    });
}

fn set_old_scripts(fleet: &FrontFleet, end: ReplyEnd) {
    (0..OLD_SERVERS).for_each(|server| set_script(fleet, server, "v1", end));
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

/// The versions of the events in a response's body.
fn versions_in(response: &HttpResponse) -> BTreeSet<&str> {
    response.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
}

/// Begins streams at a daemon, which end early for their callers.
fn begin_streams(fleet: &FrontFleet, daemon: usize) {
    for number in 0..STREAMS {
        let id = format!("first-{daemon}-{number}");
        let response = fleet.request(daemon, "POST", "/chat/", &id).body("x").send();
        let response = response.expect("should respond");
        assert_eq!(versions_in(&response), BTreeSet::from(["v1"]), "{}", response.body);
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
    set_script(fleet, OLD_SERVERS, NEW_VERSION, ReplyEnd::Complete);
    let server = &fleet.servers[OLD_SERVERS];
    let entry = server.registration("s", "a", "ready");
    let entry = entry.replace(r#""Version":"v1""#, &format!(r#""Version":"{NEW_VERSION}""#));
    fleet.store.put(&format!("{TARGET_PREFIX}{}", server.id()), &entry);
    for daemon in daemons {
        let mut attempts = 0;
        wait_until("the daemon sends to the new version", || {
            attempts += 1;
            let id = format!("new-{daemon}-{attempts}");
            let response = fleet.request(*daemon, "POST", "/chat/", &id).body("x").send();
            response.is_some_and(|response| versions_in(&response).contains(NEW_VERSION))
        });
    }
}

/// Takes the streams of a lost daemon up in turns at those that live: all go on, at the version that began them.
fn check_taken_up(fleet: &FrontFleet, lost: usize, alive: &[usize]) {
    for number in 0..STREAMS {
        let daemon = alive[number % alive.len()];
        let id = format!("next-{lost}-{number}");
        let request = fleet.request(daemon, "POST", "/chat/", &id);
        let request = request.header("last-event-id", &EVENTS.to_string());
        let request = request.header("resumes", &format!("first-{lost}-{number}"));
        let response = request.body("x").send().expect("should respond");
        assert_eq!(response.status, 200, "{id}: {}", response.body);
        assert_eq!(versions_in(&response), BTreeSet::from(["v1"]), "{id}");
        assert!(response.is_complete, "{id}");
    }
}

/// Plays the loss of these daemons, without a word, while there is one version, and then the beginning of a release.
fn check_loss(daemons: usize, lost: &[usize]) {
    let mut fleet = start(daemons);
    set_old_scripts(&fleet, ReplyEnd::BreaksOff);
    lost.iter().for_each(|daemon| begin_streams(&fleet, *daemon));
    let told = lost.len() * STREAMS * ORIGIN_HOLDERS.min(daemons - 1);
    wait_until("others have heard of all streams", || heard(&fleet) >= told);
    lost.iter().for_each(|daemon| fleet.daemons[*daemon].process.pause());
    let alive: Vec<_> = (0..daemons).filter(|daemon| !lost.contains(daemon)).collect();
    set_old_scripts(&fleet, ReplyEnd::Complete);
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
