//! A daemon whose view of the servers may be old: its store is silent, and its peers are, while servers of
//! another software version may join. It goes on with a stream only if the version that began it is certain.

use serde_json::json;

use ggt_standin::users_platform::respond;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Streams of each case.
const STREAMS: usize = 10;
/// The daemon that takes streams up; the others are its peers.
const DAEMON: usize = 2;

/// What callers name as the attempt that began their stream: one of which no daemon here knows, or nothing.
const ORIGINS: [Option<&str>; 2] = [Some("elsewhere"), None];

/// Three daemons with a store each, which have seen servers of one version only, since the fleet first started.
fn start() -> FrontFleet {
    let fleet = FrontFleet::start_linked_with(3, 3, json!({ "first_start": true }));
    for server in &fleet.servers {
        server.set_script(|request, stream| respond(request, stream, 200, "id: 6\ndata: x\n\n"));
    }
    let knows_peers = |daemon| {
        let response = take_up(&fleet, daemon, &format!("probe-{daemon}"), Some("other"));
        response.status == 200
    };
    wait_until("each daemon knows the others", || (0..3).all(knows_peers));
    fleet
}

/// Takes a stream up that began elsewhere.
fn take_up(fleet: &FrontFleet, daemon: usize, id: &str, origin: Option<&str>) -> HttpResponse {
    let request = fleet.request(daemon, "POST", "/chat/", id).header("last-event-id", "5");
    let request = match origin {
        Some(origin) => request.header("resumes", origin),
        None => request,
    };
    request.body("x").send().expect("should respond")
}

/// The status of each stream that is taken up at the daemon; one that is refused has not reached a server.
fn statuses(fleet: &FrontFleet, origin: Option<&str>) -> Vec<u16> {
    let status = |number| {
        let id = format!("next-{number}");
        let response = take_up(fleet, DAEMON, &id, origin);
        if response.status == 503 {
            assert_eq!(fleet.request_count(&id), 0, "a refused stream has not run");
        }
        response.status
    };
    (0..STREAMS).map(status).collect()
}

fn silence_peers(fleet: &FrontFleet) {
    (0..DAEMON).for_each(|peer| fleet.daemons[peer].process.pause());
}

fn silence_store(fleet: &FrontFleet) {
    fleet.links[DAEMON].store.fall_silent();
}

// Guards against a stream that goes on at the one version that the daemon knows although, for as long as it
// has heard nothing, the stream may have begun at a version that has joined since.
#[test]
fn streams_are_refused_by_a_daemon_that_hears_neither_its_store_nor_its_peers() {
    let fleet = start();
    silence_store(&fleet);
    silence_peers(&fleet);
    for origin in ORIGINS {
        assert_eq!(statuses(&fleet, origin), [503; STREAMS], "{origin:?}");
    }
}

// Guards against the refusal of such streams where peers know that there has been one version only.
#[test]
fn streams_go_on_at_a_daemon_that_hears_its_peers_only() {
    let fleet = start();
    silence_store(&fleet);
    for origin in ORIGINS {
        assert_eq!(statuses(&fleet, origin), [200; STREAMS], "{origin:?}");
    }
}

// Guards against the refusal of such streams where the store still answers.
#[test]
fn streams_go_on_at_a_daemon_that_hears_its_store_only() {
    let fleet = start();
    silence_peers(&fleet);
    for origin in ORIGINS {
        assert_eq!(statuses(&fleet, origin), [200; STREAMS], "{origin:?}");
    }
}
