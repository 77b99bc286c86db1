//! Daemons of the users' platform that are cut off from all targets, while callers, the store and the other
//! daemons still reach them: what they get is served as at the others, and nothing runs twice.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::LinkKind;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::caller_headers;
use ggt_standin::users_platform::event_chunk;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::stream_head;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::ready_status;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// From this time after the beginning of a cut on, the cut daemons have to serve as the others do.
const GRACE: Duration = Duration::from_secs(1);
/// Requests of each kind that are counted.
const REQUESTS: usize = 40;
/// How many of these have to be served.
const MIN_SERVED: usize = 38;
/// Requests in flight at a time.
const CALLERS: usize = 4;
const SERVERS: usize = 4;
/// Events of each stream.
const EVENTS: u64 = 5;
/// Pause between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Events of a stream that is in flight when a cut begins.
const LONG_EVENTS: u64 = 60;
/// Pause between two of these, so that the stream lasts longer than the cut.
const LONG_INTERVAL: Duration = Duration::from_millis(50);

/// Kinds of requests, by method and path.
const IDEMPOTENT: (&str, &str) = ("GET", "/read/");
const NON_IDEMPOTENT: (&str, &str) = ("POST", "/once/");
const STREAM: (&str, &str) = ("POST", "/chat/");
const KINDS: [(&str, &str); 3] = [IDEMPOTENT, NON_IDEMPOTENT, STREAM];

fn events_text(events: u64) -> String {
    (1..=events).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

fn send_events(
    request: &WireRequest,
    stream: &mut TcpStream,
    events: u64,
    interval: Duration,
) -> std::io::Result<()> {
    stream.write_all(stream_head(request).as_bytes())?;
    for id in request.last_event_id().unwrap_or(0) + 1..=events {
        stream.write_all(event_chunk(id).as_bytes())?;
        thread::sleep(interval);
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Lets all servers respond to plain requests, and with this many events to streams.
fn set_scripts(fleet: &FrontFleet, events: u64, interval: Duration) {
    for server in &fleet.servers {
        server.set_script(move |request, stream| {
            if !request.path.starts_with(STREAM.1) {
                return respond(request, stream, 200, "whole");
            }
            match send_events(request, stream, events, interval) {
                Ok(()) => AfterResponse::Keep,
                // The daemon closed the connection.
                Err(_) => AfterResponse::Close,
            }
        });
    }
}

/// A fleet whose daemons have their own links to the servers.
fn start_fleet(daemons: usize) -> FrontFleet {
    let fleet = FrontFleet::start_linked(SERVERS, daemons);
    set_scripts(&fleet, EVENTS, EVENT_INTERVAL);
    fleet
}

fn is_served(response: Option<&HttpResponse>, is_stream: bool) -> bool {
    let expected = if is_stream { events_text(EVENTS) } else { "whole".to_owned() };
    response.is_some_and(|r| r.is_complete && r.status == 200 && r.body == expected)
}

/// Sends requests of one kind to a daemon, [`CALLERS`] at a time, and returns how many were served. None
/// may run twice if that is not allowed, and none that was refused may run at all.
fn count_served(
    fleet: &FrontFleet,
    daemon: usize,
    (method, path): (&str, &str),
    prefix: &str,
    numbers: Range<usize>,
) -> usize {
    let serve = |number: usize| {
        let id = format!("{prefix}-{daemon}{}{number}", path.replace('/', "-"));
        let response = fleet.request(daemon, method, path, &id).body("x").send();
        let is_stream = path == STREAM.1;
        let is_refused = response.as_ref().is_some_and(|response| response.status == 503);
        if path == NON_IDEMPOTENT.1 {
            let max_runs = if is_refused { 0 } else { 1 };
            assert!(fleet.request_count(&id) <= max_runs, "{id}: {response:?}");
        }
        is_served(response.as_ref(), is_stream)
    };
    let numbers: Vec<_> = numbers.collect();
    thread::scope(|scope| {
        let parts = numbers.chunks(numbers.len().div_ceil(CALLERS));
        let callers: Vec<_> = parts
            .map(|part| scope.spawn(move || part.iter().filter(|number| serve(**number)).count()))
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("should not panic")).sum()
    })
}

/// Serves some requests of all kinds on each daemon, so that connections are kept open.
fn warm_up(fleet: &FrontFleet) {
    for daemon in 0..fleet.daemons.len() {
        for kind in KINDS {
            let served = count_served(fleet, daemon, kind, "warm", 0..8);
            assert_eq!(served, 8, "{kind:?} at daemon {daemon} before the cut");
        }
    }
}

/// Bytes that a daemon has sent on its own links.
fn bytes_up(fleet: &FrontFleet, daemon: usize) -> u64 {
    fleet.links[daemon].links.iter().map(|link| link.counts.bytes_up()).sum()
}

/// Cuts daemons off and sends requests of all kinds, which count from [`GRACE`] on; then heals the links, and
/// waits until the daemons send to the servers again.
fn check_served_while_cut(daemons: usize, cut: &[usize], kind: LinkKind) {
    let fleet = start_fleet(daemons);
    warm_up(&fleet);
    let began_at = Instant::now();
    cut.iter().for_each(|daemon| fleet.cut(*daemon, kind));
    let mut round = 0;
    while began_at.elapsed() < GRACE {
        round += 1;
        thread::scope(|scope| {
            for (daemon, request_kind) in cut.iter().flat_map(|d| KINDS.map(|k| (*d, k))) {
                let (fleet, prefix) = (&fleet, format!("grace-{round}"));
                scope.spawn(move || count_served(fleet, daemon, request_kind, &prefix, 0..4));
            }
        });
    }
    for daemon in cut {
        for request_kind in KINDS {
            let served = count_served(&fleet, *daemon, request_kind, "cut", 0..REQUESTS);
            assert!(served >= MIN_SERVED, "{request_kind:?} at daemon {daemon}: served {served}");
        }
    }
    let before: Vec<_> = cut.iter().map(|daemon| bytes_up(&fleet, *daemon)).collect();
    cut.iter().for_each(|daemon| fleet.heal(*daemon));
    for (daemon, before) in cut.iter().zip(before) {
        let mut number = 0;
        wait_until("the daemon sends to the servers itself", || {
            number += 1;
            let served =
                count_served(&fleet, *daemon, NON_IDEMPOTENT, "healed", number..number + 1);
            assert_eq!(served, 1, "request {number} after the cut");
            bytes_up(&fleet, *daemon) > before
        });
    }
}

// Guards against a cut daemon that refuses every request although its peers reach the targets.
#[test]
fn daemon_whose_connections_are_reset_serves_through_peers() {
    check_served_while_cut(3, &[0], LinkKind::Reset);
}

// Guards against the same while most daemons are cut.
#[test]
fn most_daemons_whose_connections_are_reset_serve_through_the_last_one() {
    check_served_while_cut(4, &[0, 1, 2], LinkKind::Reset);
}

// Guards against requests that wait at silent targets, or for connections that are never accepted, until
// their callers leave.
#[test]
fn daemon_whose_connections_hang_serves_through_peers() {
    check_served_while_cut(3, &[0], LinkKind::Hang);
}

// Guards against the same while most daemons are cut.
#[test]
fn most_daemons_whose_connections_hang_serve_through_the_last_one() {
    check_served_while_cut(4, &[0, 1, 2], LinkKind::Hang);
}

// Guards against a daemon that refuses requests because new connections are refused, while kept ones live.
#[test]
fn daemon_whose_new_connections_are_refused_serves_through_peers() {
    check_served_while_cut(3, &[0], LinkKind::RefuseNew);
}

/// Cuts a daemon off while a stream is in flight through it; the caller must get all of it.
fn check_stream_across_cut(kind: LinkKind) {
    let fleet = start_fleet(3);
    warm_up(&fleet);
    set_scripts(&fleet, LONG_EVENTS, LONG_INTERVAL);
    thread::scope(|scope| {
        let requests = (0..4).map(|n| fleet.request(0, STREAM.0, STREAM.1, &format!("long-{n}")));
        let streams: Vec<_> =
            requests.map(|request| scope.spawn(move || request.body("x").send())).collect();
        let has_begun = || (0..4).all(|n| fleet.request_count(&format!("long-{n}")) == 1);
        wait_until("the streams have begun", has_begun);
        // Other requests show that all targets hang.
        thread::sleep(LONG_INTERVAL * 4);
        fleet.cut(0, kind);
        count_served(&fleet, 0, IDEMPOTENT, "beside", 0..8);
        for stream in streams {
            let response = stream.join().expect("should not panic").expect("should respond");
            assert!(response.is_complete, "cut short: {} {}", response.status, response.body);
            assert_eq!((response.status, response.body), (200, events_text(LONG_EVENTS)));
        }
    });
}

// Guards against a stream that is cut with its daemon's connections although a peer could go on with it.
#[test]
fn stream_in_flight_goes_on_through_a_peer_when_connections_are_reset() {
    check_stream_across_cut(LinkKind::Reset);
}

// Guards against a stream that waits at a silent target until its caller leaves.
#[test]
fn stream_in_flight_goes_on_through_a_peer_when_connections_hang() {
    check_stream_across_cut(LinkKind::Hang);
}

// Guards against a stream that is sent twice because new connections are refused, while its own lives.
#[test]
fn stream_in_flight_stays_on_its_connection_while_new_ones_are_refused() {
    let fleet = start_fleet(3);
    warm_up(&fleet);
    set_scripts(&fleet, LONG_EVENTS, LONG_INTERVAL);
    thread::scope(|scope| {
        let request = fleet.request(0, STREAM.0, STREAM.1, "long").body("x");
        let stream = scope.spawn(move || request.send());
        wait_until("the stream has begun", || fleet.request_count("long") == 1);
        fleet.cut(0, LinkKind::RefuseNew);
        count_served(&fleet, 0, NON_IDEMPOTENT, "beside", 0..8);
        let response = stream.join().expect("should not panic").expect("should respond");
        assert_eq!((response.status, response.body), (200, events_text(LONG_EVENTS)));
    });
    assert_eq!(fleet.request_count("long"), 1);
}

// Guards against requests that daemons forward to each other in circles when none reaches a target.
#[test]
fn request_is_refused_as_not_run_when_all_daemons_are_cut() {
    let fleet = start_fleet(3);
    warm_up(&fleet);
    (0..3).for_each(|daemon| fleet.cut(daemon, LinkKind::Reset));
    for daemon in 0..3 {
        assert_eq!(count_served(&fleet, daemon, NON_IDEMPOTENT, "all-cut", 0..8), 0);
    }
    let response = fleet.request(0, "POST", "/once/", "last").body("x").send();
    assert_eq!(response.map(|response| response.status), Some(503));
    assert_eq!(fleet.request_count("last"), 0);
}

// Guards against sound requests that are refused everywhere because a cut daemon took the loss of its
// connections for crashes of the targets.
#[test]
fn cut_daemon_blames_no_request_for_crashes() {
    let fleet = start_fleet(3);
    warm_up(&fleet);
    for round in 0..4 {
        set_scripts(&fleet, LONG_EVENTS, LONG_INTERVAL);
        let ids: Vec<_> = (0..4).map(|number| format!("same-{round}-{number}")).collect();
        let streams: Vec<_> = ids
            .iter()
            .map(|id| {
                let request = fleet.request(0, STREAM.0, STREAM.1, id).body("the same");
                thread::spawn(move || request.send())
            })
            .collect();
        let has_begun = || ids.iter().all(|id| fleet.request_count(id) >= 1);
        wait_until("the streams have begun", has_begun);
        fleet.cut(0, LinkKind::Reset);
        streams.into_iter().for_each(|stream| drop(stream.join()));
        fleet.heal(0);
        set_scripts(&fleet, EVENTS, EVENT_INTERVAL);
        wait_until("the daemon serves", || {
            count_served(&fleet, 0, IDEMPOTENT, &format!("again-{round}"), 0..1) == 1
        });
    }
    for daemon in 0..3 {
        assert_eq!(fleet.metric(daemon, "front_crashes", "change=\"seen\""), 0.0);
        assert_eq!(fleet.metric(daemon, "front_crashes", "change=\"told\""), 0.0);
    }
}

// Guards against callers that have the daemons forward, or skip checks, by headers of their own.
#[test]
fn header_of_a_forwarded_request_means_nothing_from_a_caller() {
    let fleet = start_fleet(2);
    let request = fleet.request(0, "POST", "/once/", "forged").header("ggt-forwarded", "00");
    let response = request.body("x").send().expect("should respond");
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    assert_eq!(response.header("ggt-forwarded-reply"), None);
    assert_eq!(fleet.request_count("forged"), 1);
    fleet.cut(0, LinkKind::Reset);
    let request = fleet.request(0, "POST", "/once/", "forged-2").header("ggt-forwarded", "00");
    wait_until("a peer serves the request", || {
        request.clone().body("x").send().is_some_and(|response| response.status == 200)
    });
    let requests = fleet.servers.iter().flat_map(|server| server.requests());
    let passed = requests.filter(|request| request.attempt_id() == "forged-2");
    assert!(passed.into_iter().all(|request| request.header("ggt-forwarded").is_none()));
}

// Guards against a cut daemon that is taken out of rotation although it serves, or stays in it when it
// cannot.
#[test]
fn cut_daemon_is_ready_while_peers_serve_for_it() {
    let fleet = start_fleet(2);
    warm_up(&fleet);
    fleet.cut(0, LinkKind::Reset);
    count_served(&fleet, 0, NON_IDEMPOTENT, "cut", 0..8);
    assert_eq!(ready_status(&fleet.daemons[0]), Some(200));
    fleet.cut(1, LinkKind::Reset);
    count_served(&fleet, 1, NON_IDEMPOTENT, "both", 0..8);
    wait_until("neither daemon is ready", || {
        count_served(&fleet, 0, NON_IDEMPOTENT, "both", 0..1);
        (0..2).all(|daemon| ready_status(&fleet.daemons[daemon]) == Some(503))
    });
}

/// Starts streams at the cut daemon 0, and waits until servers have all of them.
fn start_streams(fleet: &FrontFleet, count: usize) -> Vec<JoinHandle<Option<HttpResponse>>> {
    let id_of = |number: usize| format!("through-{number}");
    let start = |number: usize| {
        let request = fleet.request(0, STREAM.0, STREAM.1, &id_of(number)).body("x");
        thread::spawn(move || request.send())
    };
    let streams = (0..count).map(start).collect();
    let have_begun = || (0..count).all(|number| fleet.request_count(&id_of(number)) == 1);
    wait_until("the streams have begun", have_begun);
    streams
}

fn check_streams_whole(streams: Vec<JoinHandle<Option<HttpResponse>>>) {
    for stream in streams {
        let response = stream.join().expect("should not panic").expect("should respond");
        assert!(response.is_complete, "cut short: {} {}", response.status, response.body);
        assert_eq!((response.status, response.body), (200, events_text(LONG_EVENTS)));
    }
}

/// A fleet whose daemon 0 is cut and knows it, and whose servers send long streams.
fn start_cut_fleet(daemons: usize) -> FrontFleet {
    let fleet = start_fleet(daemons);
    warm_up(&fleet);
    fleet.cut(0, LinkKind::Reset);
    wait_until("peers serve for the daemon", || {
        count_served(&fleet, 0, NON_IDEMPOTENT, "known", 0..1) == 1
    });
    set_scripts(&fleet, LONG_EVENTS, LONG_INTERVAL);
    fleet
}

// Guards against a peer whose shutdown cuts what was forwarded to it, and against requests that are
// forwarded to it while it drains.
#[test]
fn shutdown_of_a_peer_cuts_nothing_that_was_forwarded_to_it() {
    let fleet = start_cut_fleet(3);
    let streams = start_streams(&fleet, 8);
    fleet.daemons[1].process.terminate();
    assert_eq!(count_served(&fleet, 0, NON_IDEMPOTENT, "draining", 0..20), 20);
    check_streams_whole(streams);
    let sends: usize = (0..8).map(|number| fleet.request_count(&format!("through-{number}"))).sum();
    assert_eq!(sends, 8, "a stream was sent again");
}

// Guards against streams that end with the peer to which they were forwarded.
#[test]
fn streams_of_a_killed_peer_go_on_through_another() {
    let mut fleet = start_cut_fleet(3);
    let streams = start_streams(&fleet, 8);
    fleet.daemons[1].process.kill();
    check_streams_whole(streams);
}

// Guards against a request that runs twice, or is said not to have run, because the peer that had it ended.
#[test]
fn request_of_a_killed_peer_runs_once_and_is_not_said_to_be_refused() {
    const COUNT: usize = 8;
    let mut fleet = start_cut_fleet(3);
    let is_open = Arc::new(AtomicBool::new(false));
    for server in &fleet.servers {
        let is_open = is_open.clone();
        server.set_script(move |request, stream| {
            wait_until("the peer was killed", || is_open.load(Ordering::SeqCst));
            respond(request, stream, 200, "whole")
        });
    }
    let callers: Vec<_> = (0..COUNT)
        .map(|number| {
            let request =
                fleet.request(0, "POST", NON_IDEMPOTENT.1, &format!("held-{number}")).body("x");
            thread::spawn(move || request.send())
        })
        .collect();
    let are_held = |fleet: &FrontFleet| {
        (0..COUNT).all(|number| fleet.request_count(&format!("held-{number}")) == 1)
    };
    wait_until("the servers have the requests", || are_held(&fleet));
    fleet.daemons[1].process.kill();
    is_open.store(true, Ordering::SeqCst);
    for caller in callers {
        let response = caller.join().expect("should not panic").expect("should respond");
        assert!(matches!(response.status, 200 | 502), "{} {}", response.status, response.body);
    }
    assert!(are_held(&fleet), "a request ran again");
}

// Guards against a peer that collects a stream before it passes it on.
#[test]
fn events_of_a_forwarded_stream_arrive_before_the_next_one_is_made() {
    let fleet = start_cut_fleet(2);
    let is_seen = Arc::new(AtomicBool::new(false));
    for server in &fleet.servers {
        let is_seen = is_seen.clone();
        server.set_script(move |request, stream| {
            let head = format!("{}{}", stream_head(request), event_chunk(1));
            // Ignored: the caller's end of the stream shows it.
            let _ = stream.write_all(head.as_bytes());
            wait_until("the caller has the first event", || is_seen.load(Ordering::SeqCst));
            let _ = stream.write_all(format!("{}0\r\n\r\n", event_chunk(2)).as_bytes());
            AfterResponse::Keep
        });
    }
    let request = fleet.request(0, STREAM.0, STREAM.1, "live").body("x");
    let (response, mut reader) = request.open().expect("should respond");
    assert_eq!(response.status, 200);
    let mut first = vec![0; events_text(1).len()];
    reader.read_exact(&mut first).expect("should read the first event");
    is_seen.store(true, Ordering::SeqCst);
    let mut rest = String::new();
    reader.read_to_string(&mut rest).expect("should read the rest");
    let text = String::from_utf8_lossy(&first).into_owned() + &rest;
    assert_eq!(text, events_text(2));
}

// Guards against targets that go on working on what a peer sent for a caller who has left.
#[test]
fn target_is_left_when_the_caller_of_a_forwarded_request_leaves() {
    let fleet = start_cut_fleet(2);
    let left = Arc::new(AtomicUsize::new(0));
    for server in &fleet.servers {
        let left = left.clone();
        server.set_script(move |request, stream| {
            if request.path.starts_with(STREAM.1) {
                // Ignored: the end of the connection shows below.
                let _ = stream
                    .write_all(format!("{}{}", stream_head(request), event_chunk(1)).as_bytes());
            }
            stream.set_read_timeout(Some(EVENT_INTERVAL)).expect("should set the timeout");
            wait_until("the connection ends", || match stream.peek(&mut [0]) {
                Ok(length) => length == 0,
                Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            });
            left.fetch_add(1, Ordering::SeqCst);
            AfterResponse::Close
        });
    }
    let stream = fleet.request(0, STREAM.0, STREAM.1, "left-stream").body("x");
    let (_, mut reader) = stream.open().expect("should respond");
    reader.read_exact(&mut [0]).expect("should read");
    drop(reader);
    wait_until("the stream's target is left", || left.load(Ordering::SeqCst) == 1);
    let mut caller = TcpStream::connect(fleet.daemons[0].callers).expect("should connect");
    let head = caller_headers("left-plain", 20_000)
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect::<String>();
    let text = format!("GET {} HTTP/1.1\r\n{head}\r\n", IDEMPOTENT.1);
    caller.write_all(text.as_bytes()).expect("should write");
    wait_until("a server has the request", || fleet.request_count("left-plain") == 1);
    drop(caller);
    wait_until("the request's target is left", || left.load(Ordering::SeqCst) == 2);
}

// Guards against requests that are lost or run twice because a cut comes and goes.
#[test]
fn requests_are_served_while_a_cut_comes_and_goes() {
    for kind in [LinkKind::Reset, LinkKind::RefuseNew] {
        let fleet = start_fleet(3);
        warm_up(&fleet);
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            scope.spawn(|| {
                for _ in 0..10 {
                    fleet.cut(0, kind);
                    thread::sleep(Duration::from_millis(150));
                    fleet.heal(0);
                    thread::sleep(Duration::from_millis(250));
                }
                is_over.store(true, Ordering::SeqCst);
            });
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let prefix = format!("flap-{number}");
                assert_eq!(count_served(&fleet, 0, IDEMPOTENT, &prefix, 0..8), 8, "{kind:?}");
                // What is in flight when connections are reset may have run.
                let served = count_served(&fleet, 0, NON_IDEMPOTENT, &prefix, 0..8);
                assert!(served >= 4, "{kind:?}: {served} of 8 that run once");
            }
        });
    }
}

// Guards against a daemon that does not use the targets that it reaches again, or refuses requests for those
// that it does not.
#[test]
fn daemon_uses_the_only_target_that_it_reaches_again() {
    let fleet = start_fleet(2);
    warm_up(&fleet);
    fleet.cut(0, LinkKind::Reset);
    wait_until("peers serve for the daemon", || {
        count_served(&fleet, 0, NON_IDEMPOTENT, "known", 0..1) == 1
    });
    let link = &fleet.links[0].links[2];
    let before = link.counts.bytes_up();
    link.set(LinkKind::Open);
    let mut number = 0;
    wait_until("the daemon sends to the target", || {
        number += 1;
        assert_eq!(count_served(&fleet, 0, NON_IDEMPOTENT, "partly", number..number + 1), 1);
        link.counts.bytes_up() > before
    });
    assert_eq!(count_served(&fleet, 0, NON_IDEMPOTENT, "partly", 1_000..1_040), 40);
}
