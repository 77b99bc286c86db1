//! Entries of other writers among those of the servers, and odd numbers in servers' replies: no daemon may end, fail
//! requests for them, or stop following the store.

use std::io::Write;
use std::net::TcpStream;

use rustix::process::Signal;
use serde_json::json;

use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::caller_headers;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::respond_with;
use ggt_standin::users_platform::stream_head;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::await_ready;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::wait::wait_until;

const DAEMONS: usize = 3;
/// Items on a full page of the store.
const PAGE_ITEMS: usize = 500;
/// Size in bytes of the largest value that the store takes.
const MAX_VALUE_BYTES: usize = 1_048_576;
/// Number of these that no reply to a watch can hold together.
const LARGE_ENTRIES: usize = 12;

fn status(fleet: &FrontFleet, daemon: usize, path: &str) -> Option<u16> {
    fleet.request(daemon, "GET", path, "id-status").send().map(|response| response.status)
}

/// Writes a stream of one event.
fn send_event(request: &WireRequest, stream: &mut TcpStream, id: u64) -> AfterResponse {
    let text = format!("{}{}0\r\n\r\n", stream_head(request), event_chunk(id));
    match stream.write_all(text.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}

/// Publishes a route and waits until all daemons serve it; requests are served all the while.
fn check_following(fleet: &FrontFleet, version: u64) {
    let mut config = test_config(version);
    config["Routes"][0]["PathPrefix"] = format!("/moved/{version}/").into();
    fleet.publish(&config);
    for daemon in 0..fleet.daemons.len() {
        wait_until("the new route is in force", || {
            let path = format!("/moved/{version}/");
            status(fleet, daemon, &path) == Some(200)
        });
        let stream = HttpRequest::new("POST", fleet.daemons[daemon].callers, "/chat/");
        let headers = caller_headers(&format!("stream-{version}-{daemon}"), 20_000);
        let stream =
            headers.iter().fold(stream, |request, (name, value)| request.header(name, value));
        let taken_up =
            stream.header("last-event-id", "3").header("resumes", "unknown").body("x").send();
        let status = taken_up.expect("should respond").status;
        assert!(matches!(status, 200 | 503), "{status}");
    }
}

/// A registration with one field replaced by other text.
fn odd_registration(fleet: &FrontFleet, field: &str, value: &str) -> String {
    let usual = fleet.servers[0].registration("s", "a", "ready");
    let mut entry: serde_json::Value = serde_json::from_str(&usual).expect("a registration");
    // Nothing listens there.
    entry["Address"] = fleet.unused_address().to_string().into();
    entry[field] = json!("replaced-here");
    entry.to_string().replace("\"replaced-here\"", value)
}

/// Texts that are no usable entry, or one with a number that no server has.
fn odd_entries(fleet: &FrontFleet) -> Vec<String> {
    let brackets = "[".repeat(100_000);
    let digits = "9".repeat(50_000);
    let nested = format!("{}{}", "{\"a\":".repeat(50_000), "1");
    let mut entries = vec![
        String::new(),
        "null".to_owned(),
        "\u{0}\u{1}\u{fffd}".to_owned(),
        "{\"Service\":\"\\ud800\"}".to_owned(),
        brackets.clone(),
        nested,
    ];
    let fields = [
        ("born", "18446744073709551615"),
        ("born", "1e400"),
        ("born", "-1"),
        ("born", digits.as_str()),
        ("Slots", "4294967295"),
        ("Slots", "0"),
        ("Slots", "-1"),
        ("Slots", digits.as_str()),
        ("Seq", digits.as_str()),
        ("ColdLeftMs", "1e400"),
        ("Version", brackets.as_str()),
        ("Version", digits.as_str()),
        ("Address", "\"127.0.0.1:70000\""),
        ("Address", "\"127.0.0.1:-1\""),
        ("Address", "\"127.0.0.1:0\""),
        ("Address", "70000"),
    ];
    entries.extend(fields.iter().map(|(field, value)| odd_registration(fleet, field, value)));
    let long = format!("\"{}\"", "s".repeat(200_000));
    entries.extend(["Service", "State", "Zone"].map(|field| odd_registration(fleet, field, &long)));
    entries
}

// Guards against daemons that end, or stop following the store, because of one entry of another writer.
#[test]
fn daemons_go_on_with_any_entry_among_those_of_the_servers() {
    let fleet = FrontFleet::start(3, DAEMONS);
    for server in &fleet.servers {
        server.set_script(|request, stream| match request.last_event_id() {
            Some(last) => send_event(request, stream, last + 1),
            None => respond(request, stream, 200, "whole"),
        });
    }
    for (number, entry) in odd_entries(&fleet).iter().enumerate() {
        // In the place of a good entry, which then comes back, and beside the good ones.
        fleet.store.put(&format!("{TARGET_PREFIX}i-2"), entry);
        fleet.store.put(&format!("{TARGET_PREFIX}odd-{number}"), entry);
        fleet.register(&fleet.servers[2]);
        if number % 5 == 0 {
            check_following(&fleet, 2 + number as u64);
        }
    }
    check_following(&fleet, 1_000);
    let (id, before) = (fleet.servers[2].id(), fleet.servers[2].requests().len());
    let mut number = 0;
    wait_until(&format!("{id} gets requests again"), || {
        number += 1;
        let request = fleet.request(number % DAEMONS, "GET", "/moved/1000/", &format!("{number}"));
        assert_eq!(request.send().map(|response| response.status), Some(200));
        fleet.servers[2].requests().len() > before
    });
}

// Guards against a folder that can't be read any more, since the last key of a full page has characters with a
// meaning of their own in a query.
#[test]
fn page_after_a_key_with_special_characters_is_read() {
    let mut fleet = FrontFleet::start(1, 0);
    let odd_key = format!("{TARGET_PREFIX}d &After=x#%2F+?");
    for number in 0..PAGE_ITEMS - 1 {
        fleet.store.put(&format!("{TARGET_PREFIX}c-{number:03}"), "{}");
    }
    fleet.store.put(&odd_key, "{}");
    fleet.add_daemon(0, None);
    await_ready(&fleet.daemons[0]);
    assert_eq!(status(&fleet, 0, "/read/"), Some(200));
}

// Guards against a watch that fails again and again, since the changes that it brings are more than a reply may
// have.
#[test]
fn changes_larger_than_a_reply_may_be_are_read_anew() {
    let fleet = FrontFleet::start(1, DAEMONS);
    let large = "x".repeat(MAX_VALUE_BYTES);
    // The daemons read them all at once.
    fleet.daemons.iter().for_each(|daemon| daemon.process.signal(Signal::STOP));
    for number in 0..LARGE_ENTRIES {
        fleet.store.put(&format!("{TARGET_PREFIX}large-{number}"), &large);
    }
    fleet.daemons.iter().for_each(|daemon| daemon.process.signal(Signal::CONT));
    check_following(&fleet, 2);
}

// Guards against requests that fail because of a number in a server's reply that no server can mean.
#[test]
fn replies_with_numbers_out_of_range_are_served() {
    let fleet = FrontFleet::start(2, 1);
    let lines = [
        "X-Server-Load: 4294967295,4294967295,4294967295\r\nServer-Brittle: 4294967295\r\n",
        "Keep-Alive: timeout=18446744073709551615\r\n",
        "Server-Limit: 1e308\r\nRetry-After: 1e300\r\n",
    ];
    for (number, lines) in lines.into_iter().enumerate() {
        for server in &fleet.servers {
            server.set_script(move |request, stream| {
                respond_with(request, stream, 200, lines, "whole")
            });
        }
        for round in 0..6 {
            let id = format!("id-{number}-{round}");
            let response = fleet.request(0, "GET", "/read/", &id).send().expect("should respond");
            assert_eq!((response.status, response.body.as_str()), (200, "whole"), "{lines}");
        }
    }
    for server in &fleet.servers {
        server.set_script(|request, stream| {
            respond_with(request, stream, 503, "X-Not-Executed: 1\r\nRetry-After: 1e300\r\n", "");
            AfterResponse::Keep
        });
    }
    let response = fleet.request(0, "GET", "/read/", "id-refused").send().expect("should respond");
    assert_eq!(response.status, 503);
}
