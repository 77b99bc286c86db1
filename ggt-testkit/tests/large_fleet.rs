//! 24 daemons in three data centres: a partition and its end, a paused daemon, and the restart of every
//! daemon of one data centre in turn.

use serde_json::Value;
use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::layout::config_files;

const DAEMONS: usize = 24;
const IN_CENTRE: usize = 8;

fn fleet() -> TestFleet {
    TestFleet::start(FleetOptions {
        centres: vec![("a", IN_CENTRE), ("b", IN_CENTRE), ("c", IN_CENTRE)],
        engines: 0,
        farmed_engines: 4,
        services: 0,
        proxied: true,
        ..FleetOptions::default()
    })
}

fn peer_status(status: &Value, name: &str) -> String {
    let peers = status["peers"].as_array().map(Vec::as_slice).unwrap_or_default();
    let found = peers.iter().find(|peer| peer["name"] == name);
    found.and_then(|peer| peer["status"].as_str()).unwrap_or("absent").to_owned()
}

fn publish(fleet: &TestFleet, ratio: f64) -> u64 {
    let overlay = json!({ "routing": { "max_load_ratio": ratio } });
    fleet.publish("config", &config_files(&fleet.daemons, &overlay), None)
}

fn await_revision(fleet: &TestFleet, daemons: std::ops::Range<usize>, revision: u64) {
    for index in daemons {
        fleet
            .await_status("the revision is active", index, |status| status["revision"] == revision);
    }
}

#[test]
fn a_large_fleet_through_cuts_freezes_and_restarts() {
    let mut fleet = fleet();
    // A data centre is partitioned from the others and from the platform.
    let (inside, outside): (Vec<usize>, Vec<usize>) =
        ((0..IN_CENTRE).collect(), (IN_CENTRE..DAEMONS).collect());
    fleet.part(&inside, &outside);
    for index in &inside {
        fleet.set_plan(fleet.daemons[*index].platform, "stall=1");
    }
    let revision = publish(&fleet, 1.5);
    await_revision(&fleet, IN_CENTRE..DAEMONS, revision);
    for index in &inside {
        let status = fleet.status(*index).expect("daemon should report its status");
        assert_eq!(status["revision"], 1, "the partitioned data centre received the new revision");
        // It still serves requests with the configuration and the targets it has.
        let reply = fleet.request(*index, "POST", "/chat?tokens=1").body("x").send();
        assert_eq!(reply.expect("should respond").status, 200);
    }
    // The platform stays unreachable for it; it gets the revision from its peers.
    fleet.heal();
    await_revision(&fleet, 0..IN_CENTRE, revision);
    for index in &inside {
        fleet.set_plan(fleet.daemons[*index].platform, "");
    }
    // The peers of a paused daemon mark it dead; it refutes that once it is resumed.
    let name = fleet.daemons[3].name.clone();
    fleet.daemon_process(3).freeze();
    for index in (0..IN_CENTRE).filter(|index| *index != 3) {
        fleet.await_status("the paused daemon is marked dead", index, |status| {
            peer_status(status, &name) == "dead"
        });
    }
    fleet.daemon_process(3).wake();
    for index in (0..IN_CENTRE).filter(|index| *index != 3) {
        fleet.await_status("the resumed daemon is alive", index, |status| {
            peer_status(status, &name) == "alive"
        });
    }
    // All daemons of one data centre are killed and restarted in turn while the configuration changes.
    for index in IN_CENTRE..2 * IN_CENTRE {
        fleet.daemon_process(index).kill();
        fleet.start_daemon(index);
        let revision = publish(&fleet, 1.5 + index as f64 / 100.0);
        await_revision(&fleet, 0..DAEMONS, revision);
    }
    for index in 0..DAEMONS {
        fleet.await_ready(index);
        let status = fleet.status(index).expect("daemon should report its status");
        assert_eq!(status["stale_offers"], 0);
    }
}
