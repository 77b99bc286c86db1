//! Streams that callers take up while the fleet is under load.

use std::collections::BTreeSet;

use ggt_core::versions::SoftwareVersion;
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
