//! An accepted configuration revision becomes active on every daemon, and no daemon returns to an older one.

use std::collections::BTreeMap;

use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::layout::config_files;

fn fleet(daemons_per_centre: usize) -> TestFleet {
    TestFleet::start(FleetOptions {
        centres: vec![("recife-a", daemons_per_centre), ("fortaleza", daemons_per_centre)],
        engines: 0,
        services: 1,
        proxied: true,
        ..FleetOptions::default()
    })
}

fn await_revision(fleet: &TestFleet, revision: u64) {
    for index in 0..fleet.daemons.len() {
        fleet.await_status(&format!("revision {revision} is active"), index, |status| {
            status["revision"].as_u64() == Some(revision)
        });
    }
}

/// Checks in the logs that the revisions which each daemon activated increase from one start to the next;
/// returns the last revision of each daemon.
fn check_revisions_increase(fleet: &TestFleet) -> Vec<u64> {
    (0..fleet.daemons.len())
        .map(|index| {
            let mut last = 0;
            for line in fleet.log(index).lines() {
                if line.contains("event=start ") {
                    last = 0;
                }
                if !line.contains("event=revision folder=config") || !line.contains("in-force ") {
                    continue;
                }
                let revision: u64 = line
                    .split(' ')
                    .find_map(|pair| pair.strip_prefix("revision="))
                    .and_then(|text| text.parse().ok())
                    .expect("line should have revision=");
                assert!(
                    revision > last,
                    "{}: revision {revision} activated after {last}",
                    fleet.daemons[index].name
                );
                last = revision;
            }
            last
        })
        .collect()
}

fn files(fleet: &TestFleet, ratio: f64) -> BTreeMap<String, String> {
    config_files(&fleet.daemons, &json!({ "routing": { "max_load_ratio": ratio } }))
}

#[test]
fn burst_of_50_changes_converges_on_the_last() {
    let fleet = fleet(3);
    let mut last = 0;
    for number in 0..50 {
        let ratio = 1.5 + f64::from(number) / 100.0;
        last = fleet.publish("config", &files(&fleet, ratio), None);
    }
    await_revision(&fleet, last);
    assert!(check_revisions_increase(&fleet).iter().all(|revision| *revision == last));
}

#[test]
fn late_older_revision_is_ignored() {
    let fleet = fleet(2);
    fleet.publish("config", &files(&fleet, 2.0), Some(9));
    await_revision(&fleet, 9);
    // Two operators published; the older folder is delivered after the newer one.
    fleet.publish("config", &files(&fleet, 3.0), Some(8));
    fleet.await_status("the older revision was offered", 0, |status| status["stale_offers"] != 0);
    fleet.publish("config", &files(&fleet, 4.0), Some(10));
    await_revision(&fleet, 10);
    check_revisions_increase(&fleet);
}

#[test]
fn invalid_revision_is_rejected_and_reported_in_status() {
    let fleet = fleet(2);
    let mut bad = files(&fleet, 2.0);
    bad.insert("95-bad.json".to_owned(), json!({ "routing": { "max_load": 2 } }).to_string());
    let rejected = fleet.publish("config", &bad, None);
    for index in 0..fleet.daemons.len() {
        fleet.await_status("the status shows the rejection", index, |status| {
            let cause = status["rejected"].as_str().unwrap_or_default();
            status["revision"] == 1
                && cause.contains(&format!("revision {rejected}"))
                && cause.contains("95-bad.json: /routing/max_load: unknown field")
        });
    }
    let corrected = fleet.publish("config", &files(&fleet, 2.0), None);
    await_revision(&fleet, corrected);
    check_revisions_increase(&fleet);
}

#[test]
fn rejected_revision_does_not_hide_the_accepted_one_before_it() {
    let fleet = fleet(2);
    // Daemon 3 misses an accepted revision and then reads only the rejected one that follows it.
    fleet.partition(&[3], &[0, 1, 2]);
    fleet.set_fault_plan(fleet.daemons[3].platform, "refuse=1&cut_down=0");
    let accepted = fleet.publish("config", &files(&fleet, 2.0), None);
    for index in 0..3 {
        fleet.await_status("the accepted revision is active", index, |status| {
            status["revision"] == accepted
        });
    }
    let mut bad = files(&fleet, 2.0);
    bad.insert("95-bad.json".to_owned(), "[]".to_owned());
    fleet.publish("config", &bad, None);
    fleet.set_fault_plan(fleet.daemons[3].platform, "");
    fleet
        .await_status("the status shows the rejection", 3, |status| status["rejected"].is_string());
    fleet.heal();
    await_revision(&fleet, accepted);
    check_revisions_increase(&fleet);
}

#[test]
fn stale_stalled_or_down_platform_does_not_revert_the_configuration() {
    let mut fleet = fleet(2);
    let revision = fleet.publish("config", &files(&fleet, 2.0), None);
    await_revision(&fleet, revision);
    for mode in ["stale?steps=1", "stalled", "down"] {
        fleet.set_platform_mode(mode);
        // Restarted daemons get the highest revision from their peers.
        for index in [0, 3] {
            fleet.daemon_process(index).kill();
            fleet.start_daemon(index);
            fleet.await_ready(index);
            fleet.await_status(mode, index, |status| status["revision"] == revision);
        }
        await_revision(&fleet, revision);
    }
    fleet.set_platform_mode("up");
    let next = fleet.publish("config", &files(&fleet, 3.0), None);
    await_revision(&fleet, next);
    check_revisions_increase(&fleet);
}

#[test]
fn data_centre_without_platform_gets_revisions_from_peers() {
    let fleet = fleet(2);
    for daemon in &fleet.daemons[2..] {
        fleet.set_fault_plan(daemon.platform, "stall=1");
    }
    let revision = fleet.publish("config", &files(&fleet, 2.0), None);
    await_revision(&fleet, revision);
    check_revisions_increase(&fleet);
}

#[test]
fn fleet_starts_from_one_alive_peer_while_the_platform_is_down() {
    let mut fleet = fleet(2);
    for index in 1..4 {
        fleet.daemon_process(index).kill();
    }
    fleet.set_platform_mode("down");
    for index in 1..4 {
        fleet.start_daemon(index);
    }
    (0..4).for_each(|index| fleet.await_ready(index));
    await_revision(&fleet, 1);
}

#[test]
fn daemon_without_configuration_answers_not_run() {
    let fleet = TestFleet::prepare(FleetOptions::default());
    fleet.set_platform_mode("down");
    fleet.start_daemon(0);
    fleet.await_status("the admin address responds", 0, |status| status["ready"] == false);
    let response = fleet.request(0, "POST", "/chat").body("x").send().expect("should respond");
    assert_eq!((response.status, response.verdict()), (503, "not-run"));
    let health = HttpRequest::new("GET", fleet.daemons[0].callers, "/healthz").send();
    assert_eq!(health.expect("should respond").status, 503);
}

#[test]
fn platform_watches_do_not_grow_with_the_number_of_daemons() {
    let watches = |daemons_per_centre: usize| {
        let fleet = fleet(daemons_per_centre);
        let count = |fleet: &TestFleet| {
            let response = HttpRequest::new("GET", fleet.platform, "/control/counts").send();
            response.expect("platform should report its call counts").json()["watch"]
                .as_u64()
                .unwrap_or_default()
        };
        // Each published revision completes every open watch, and the watcher opens the next one.
        let before = count(&fleet);
        for number in 0..5 {
            let ratio = 1.5 + f64::from(number) / 10.0;
            let revision = fleet.publish("config", &files(&fleet, ratio), None);
            await_revision(&fleet, revision);
        }
        count(&fleet) - before
    };
    let (few, many) = (watches(3), watches(6));
    println!("watches for five changes: {few} with 6 daemons, {many} with 12");
    assert!(many <= few + few / 2, "{few} watches with 6 daemons, {many} with 12");
}
