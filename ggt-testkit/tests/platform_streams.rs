//! Event streams on the users' platform: the caller gets complete events, in order and each once, also when
//! the stream is resumed on another server.

use std::io::Read;
use std::io::Write;
use std::thread;
use std::time::Duration;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::stream_head;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::wait::wait_until;

/// Makes the server send the events after `last-event-id` up to `last`. With `interrupted_after` it instead
/// closes the connection in the middle of the event after that one.
fn set_event_script(server: &ServerStandin, last: u64, interrupted_after: Option<u64>) {
    server.set_script(move |request, stream| {
        let from = request.header("last-event-id").and_then(|text| text.parse().ok());
        let mut text = stream_head(request);
        let end = interrupted_after.unwrap_or(last);
        (from.unwrap_or(0) + 1..=end).for_each(|id| text.push_str(&event_chunk(id)));
        match interrupted_after {
            Some(_) => text.push_str(&event_chunk(end + 1)[..12]),
            None => text.push_str("0\r\n\r\n"),
        }
        // The daemon may have closed the connection already.
        let _ = stream.write_all(text.as_bytes());
        match interrupted_after {
            Some(_) => AfterResponse::Close,
            None => AfterResponse::Keep,
        }
    });
}

fn events_text(last: u64) -> String {
    (1..=last).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

#[test]
fn stream_is_forwarded_unchanged() {
    let fleet = FrontFleet::start(1, 1);
    set_event_script(&fleet.servers[0], 20, None);
    for path in ["/chat/", "/talk/"] {
        let id = format!("id{path}");
        let response =
            fleet.request(0, "POST", path, &id).body("x").send().expect("should respond");
        assert!(response.is_complete);
        assert_eq!((response.status, response.body), (200, events_text(20)));
    }
}

#[test]
fn interrupted_stream_resumes_on_another_server_with_the_next_event() {
    let fleet = FrontFleet::start(2, 1);
    set_event_script(&fleet.servers[0], 20, Some(7));
    set_event_script(&fleet.servers[1], 20, None);
    for number in 0..8 {
        let id = format!("id-{number}");
        let response =
            fleet.request(0, "POST", "/chat/", &id).body("x").send().expect("should respond");
        assert!(response.is_complete);
        assert_eq!(response.body, events_text(20));
    }
    let resumed = fleet.servers[1].requests();
    assert!(resumed.iter().any(|request| request.header("last-event-id") == Some("7")));
}

// Guards against a stream that ends as complete although the server that went on with it sent something else.
#[test]
fn stream_that_goes_on_with_an_event_without_id_is_visibly_truncated() {
    let fleet = FrontFleet::start(2, 1);
    for server in &fleet.servers {
        server.set_script(|request, stream| {
            let is_resumption = request.last_event_id().is_some();
            let events = match is_resumption {
                true => {
                    let event = "data: other\n\n";
                    format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len())
                }
                false => (1..=5).map(event_chunk).collect(),
            };
            // The daemon may have closed the connection already.
            let _ = stream.write_all(format!("{}{events}", stream_head(request)).as_bytes());
            if is_resumption { AfterResponse::Keep } else { AfterResponse::Close }
        });
    }
    for number in 0..8 {
        let id = format!("id-{number}");
        let response =
            fleet.request(0, "POST", "/chat/", &id).body("x").send().expect("should respond");
        assert!(!response.is_complete, "{}", response.body);
        assert_eq!(response.body, events_text(5));
    }
}

#[test]
fn non_resumable_stream_is_visibly_truncated_and_runs_once() {
    let fleet = FrontFleet::start(2, 1);
    fleet.servers.iter().for_each(|server| set_event_script(server, 20, Some(7)));
    let response =
        fleet.request(0, "POST", "/talk/", "id-1").body("x").send().expect("should respond");
    assert!(!response.is_complete);
    assert_eq!(response.body, events_text(7));
    assert_eq!(fleet.request_count("id-1"), 1);
}

#[test]
fn resuming_caller_gets_only_the_missing_events() {
    let fleet = FrontFleet::start(1, 1);
    set_event_script(&fleet.servers[0], 9, None);
    let request = fleet.request(0, "POST", "/chat/", "id-1").header("last-event-id", "5");
    let response = request.body("x").send().expect("should respond");
    let rest = &events_text(9)[events_text(5).len()..];
    assert_eq!(response.body, rest);
}

#[test]
fn stream_with_a_missing_event_ends_before_the_gap() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| {
        let text =
            [stream_head(request), event_chunk(1), event_chunk(3), "0\r\n\r\n".to_owned()].concat();
        // The daemon may have closed the connection already.
        let _ = stream.write_all(text.as_bytes());
        AfterResponse::Keep
    });
    let response =
        fleet.request(0, "POST", "/talk/", "id-1").body("x").send().expect("should respond");
    assert!(!response.is_complete);
    assert_eq!(response.body, events_text(1));
}

// Guards against events that are lost because they arrive in one piece with an event after a gap.
#[test]
fn events_before_a_gap_in_the_same_chunk_are_forwarded() {
    let fleet = FrontFleet::start(2, 1);
    fleet.servers[0].set_script(|request, stream| {
        let events: String = [1, 2, 4].map(|id| format!("id: {id}\ndata: piece {id}\n\n")).concat();
        let text = format!("{}{:x}\r\n{events}\r\n0\r\n\r\n", stream_head(request), events.len());
        // The daemon may have closed the connection already.
        let _ = stream.write_all(text.as_bytes());
        AfterResponse::Keep
    });
    set_event_script(&fleet.servers[1], 20, None);
    for number in 0..8 {
        let id = format!("id-{number}");
        let response =
            fleet.request(0, "POST", "/chat/", &id).body("x").send().expect("should respond");
        assert!(response.is_complete, "{id}");
        assert_eq!(response.body, events_text(20), "{id}");
    }
    assert!(!fleet.servers[0].requests().is_empty());
}

#[test]
fn events_arrive_before_the_stream_ends() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| {
        let text = [stream_head(request), event_chunk(1)].concat();
        // The daemon may have closed the connection already.
        let _ = stream.write_all(text.as_bytes());
        let _ = stream.read(&mut [0; 1]);
        AfterResponse::Close
    });
    let request = fleet.request(0, "POST", "/talk/", "id-1").body("x");
    let (response, mut reader) = request.open().expect("should respond");
    assert_eq!(response.status, 200);
    let mut first = vec![0; events_text(1).len()];
    reader.read_exact(&mut first).expect("should read the first event");
    assert_eq!(first, events_text(1).as_bytes());
    drop(reader);
    wait_until("the server's connection is closed", || fleet.servers[0].closed_connections() == 1);
}

#[test]
fn silent_stream_is_resumed_on_another_server_and_its_connection_is_closed() {
    let fleet = FrontFleet::start(2, 1);
    fleet.servers[0].set_script(|request, stream| {
        let text = [stream_head(request), event_chunk(1)].concat();
        // The daemon may have closed the connection already.
        let _ = stream.write_all(text.as_bytes());
        let _ = stream.read(&mut [0; 1]);
        AfterResponse::Close
    });
    set_event_script(&fleet.servers[1], 5, None);
    for number in 0..4 {
        let id = format!("id-{number}");
        let response =
            fleet.request(0, "POST", "/chat/", &id).body("x").send().expect("should respond");
        assert_eq!(response.body, events_text(5));
    }
    let silent = fleet.servers[0].requests().len();
    wait_until("the connections of the silent streams are closed", || {
        fleet.servers[0].closed_connections() >= silent
    });
}

#[test]
fn error_instead_of_a_stream_is_forwarded() {
    let fleet = FrontFleet::start(1, 1);
    fleet.servers[0].set_script(|request, stream| {
        thread::sleep(Duration::from_millis(1));
        ggt_standin::users_platform::respond(request, stream, 500, "failed")
    });
    let response =
        fleet.request(0, "POST", "/talk/", "id-1").body("x").send().expect("should respond");
    assert_eq!((response.status, response.body.as_str()), (500, "failed"));
}
