//! Streams that callers take up while the fleet is under load: at a daemon whose peers accept no connections, and of a
//! customer that is over its share.

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use ggt_core::versions::SoftwareVersion;
use ggt_standin::users_platform::AfterResponse;
use ggt_testkit::front::AskedPeer;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::VersionScript;
use ggt_testkit::front::versions_in;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

/// Streams of each case.
const STREAMS: usize = 12;
/// Event after which a stream breaks off for its caller.
const CUT_AFTER: u64 = 5;
/// Last event of each stream.
const LAST_EVENT: u64 = 12;

fn take_up(fleet: &FrontFleet, id: &str, origin: &str) -> HttpResponse {
    let request = fleet.request(0, "POST", "/chat/", id).body("x");
    let request = request.header("last-event-id", &CUT_AFTER.to_string());
    request.header("resumes", origin).send().expect("should respond")
}

// Guards against streams that are refused as unknown since those that know them accept connections late, as many
// daemons ask them for many streams at once.
#[test]
fn streams_go_on_if_the_daemon_that_knows_them_accepts_no_connections() {
    let mut fleet = FrontFleet::start(0, 0);
    for (number, version) in ["v1", "v2"].into_iter().enumerate() {
        fleet.add_unregistered_server(&format!("i-{number}"));
        VersionScript { version, events: 1..=LAST_EVENT, is_cut: false }
            .set_on(&fleet.servers[number]);
        fleet.register_in_state(number, "ready");
    }
    let version = SoftwareVersion::named("v2");
    let peer = AskedPeer::start(fleet.peer_address(1), fleet.peer_address(0), version);
    fleet.add_daemon(0, None);
    fleet.daemons.iter().for_each(ggt_testkit::front::await_ready);
    wait_until("the daemon knows the other", || {
        take_up(&fleet, "probe", "elsewhere").status == 200 || peer.questions() > 0
    });
    for number in 0..STREAMS {
        let response = take_up(&fleet, &format!("next-{number}"), &format!("first-{number}"));
        assert_eq!(response.status, 200, "{number}: {}", response.body);
        assert_eq!(versions_in(&response.body), BTreeSet::from(["v2"]));
    }
}

// Guards against streams that were admitted when they began, and are refused when their callers take them up.
#[test]
fn streams_that_go_on_are_not_refused_for_their_customers_share() {
    // So many that the last tenth, in which shares are enforced, has room for some.
    const SLOTS: usize = 30;
    const SLOT_TIME: Duration = Duration::from_millis(600);
    const EVENT_INTERVAL: Duration = Duration::from_millis(50);
    let mut fleet = FrontFleet::start(0, 0);
    fleet.add_unregistered_server("i-0");
    fleet.servers[0].set_slots(SLOTS);
    fleet.register_in_state(0, "ready");
    fleet.add_daemon(0, None);
    fleet.daemons.iter().for_each(ggt_testkit::front::await_ready);
    let is_over = Arc::new(AtomicBool::default());
    let is_released = is_over.clone();
    let whole = VersionScript { version: "v1", events: 1..=LAST_EVENT, is_cut: false };
    let cut = VersionScript { events: 1..=CUT_AFTER, is_cut: true, ..whole.clone() };
    fleet.servers[0].set_script(move |request, stream| {
        if request.attempt_id().starts_with("held") {
            cut.send(request, stream);
            let mut ids = CUT_AFTER + 1..;
            while !is_released.load(Ordering::SeqCst) {
                thread::sleep(EVENT_INTERVAL);
                let event = format!("id: {}\ndata: v1\n\n", ids.next().unwrap_or_default());
                // The daemon may have closed the connection.
                let _ = write!(stream, "{:x}\r\n{event}\r\n", event.len());
            }
            return AfterResponse::Close;
        }
        if request.attempt_id().starts_with("first") {
            return cut.send(request, stream);
        }
        if request.attempt_id().starts_with("whole") {
            thread::sleep(SLOT_TIME);
        }
        whole.send(request, stream)
    });
    let begin = |id: &str| fleet.request(0, "POST", "/chat/", id).body("x").send();
    (0..STREAMS).for_each(|number| drop(begin(&format!("first-{number}"))));
    // Shares are enforced once it is known for how long a stream occupies a slot.
    (0..3).for_each(|number| drop(begin(&format!("whole-{number}"))));
    let is_over_share = AtomicBool::default();
    let hold_one = |number: usize| {
        let response = begin(&format!("held-{number}"));
        if response.is_some_and(|response| response.body.contains("over-share")) {
            is_over_share.store(true, Ordering::SeqCst);
        }
    };
    thread::scope(|scope| {
        let mut held = 0;
        wait_until("new streams of the customer are refused for its share", || {
            held += 1;
            let (hold_one, number) = (&hold_one, held);
            scope.spawn(move || hold_one(number));
            thread::sleep(EVENT_INTERVAL);
            is_over_share.load(Ordering::SeqCst)
        });
        let responses: Vec<_> = (0..STREAMS)
            .map(|number| take_up(&fleet, &format!("next-{number}"), &format!("first-{number}")))
            .collect();
        is_over.store(true, Ordering::SeqCst);
        for (number, response) in responses.iter().enumerate() {
            assert_eq!(response.status, 200, "{number}: {}", response.body);
        }
    });
}
