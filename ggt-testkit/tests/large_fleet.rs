//! 24 daemons in three data centres: a partition and its end, a paused daemon, and the restart of every
//! daemon of one data centre in turn.

use serde_json::Value;
use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::layout::config_files;

const DAEMONS: usize = 24;
const DAEMONS_PER_CENTRE: usize = 8;

fn fleet() -> TestFleet {
    TestFleet::start(FleetOptions {
        centres: vec![
            ("a", DAEMONS_PER_CENTRE),
            ("b", DAEMONS_PER_CENTRE),
            ("c", DAEMONS_PER_CENTRE),
        ],
        engines: 0,
        shared_process_engines: 4,
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
fn large_fleet_converges_after_partition_pause_and_restarts() {
    let mut fleet = fleet();
    // A data centre is partitioned from the others and from the platform.
    let (partitioned, others): (Vec<usize>, Vec<usize>) =
        ((0..DAEMONS_PER_CENTRE).collect(), (DAEMONS_PER_CENTRE..DAEMONS).collect());
    fleet.partition(&partitioned, &others);
    for index in &partitioned {
        fleet.set_fault_plan(fleet.daemons[*index].platform, "stall=1");
    }
    let revision = publish(&fleet, 1.5);
    await_revision(&fleet, DAEMONS_PER_CENTRE..DAEMONS, revision);
    for index in &partitioned {
        let status = fleet.status(*index).expect("daemon should report its status");
        assert_eq!(status["revision"], 1, "the partitioned data centre received the new revision");
        // It still serves requests with the configuration and the targets it has.
        let response = fleet.request(*index, "POST", "/chat?tokens=1").body("x").send();
        assert_eq!(response.expect("should respond").status, 200);
    }
    // The platform stays unreachable for it; it gets the revision from its peers.
    fleet.heal();
    await_revision(&fleet, 0..DAEMONS_PER_CENTRE, revision);
    for index in &partitioned {
        fleet.set_fault_plan(fleet.daemons[*index].platform, "");
    }
    // The peers of a paused daemon mark it dead; it refutes that once it is resumed.
    let name = fleet.daemons[3].name.clone();
    fleet.daemon_process(3).pause();
    for index in (0..DAEMONS_PER_CENTRE).filter(|index| *index != 3) {
        fleet.await_status("the paused daemon is marked dead", index, |status| {
            peer_status(status, &name) == "dead"
        });
    }
    fleet.daemon_process(3).resume();
    for index in (0..DAEMONS_PER_CENTRE).filter(|index| *index != 3) {
        fleet.await_status("the resumed daemon is alive", index, |status| {
            peer_status(status, &name) == "alive"
        });
    }
    // All daemons of one data centre are killed and restarted in turn while the configuration changes.
    for index in DAEMONS_PER_CENTRE..2 * DAEMONS_PER_CENTRE {
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
