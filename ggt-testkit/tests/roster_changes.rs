//! Non-idempotent requests while daemons use different rosters.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::fleet::create_key;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::layout::config_files;

/// Six daemons; the first five are in the roster of epoch 1 and are started.
fn fleet() -> TestFleet {
    let mut fleet = TestFleet::prepare(FleetOptions {
        centres: vec![("recife-a", 2), ("recife-b", 2), ("fortaleza", 2)],
        engines: 0,
        services: 1,
        proxied: true,
        config: json!({ "claims": { "holder_timeout_ms": 400 } }),
        ..FleetOptions::default()
    });
    for index in 0..fleet.targets.len() {
        fleet.start_target(index);
    }
    fleet.publish_hosts();
    fleet.publish("config", &roster_files(&fleet, 1, &[(5, json!(null))]), None);
    for index in 0..5 {
        fleet.start_daemon(index);
    }
    for index in 0..5 {
        fleet.await_ready(index);
    }
    fleet
}

/// Configuration files with some roster entries changed; `null` removes an entry.
fn roster_files(
    fleet: &TestFleet,
    epoch: u64,
    changes: &[(usize, Value)],
) -> BTreeMap<String, String> {
    let mut files = config_files(&fleet.daemons, &fleet.options.config);
    let daemons: BTreeMap<&str, &Value> = changes
        .iter()
        .map(|(index, change)| (fleet.daemons[*index].name.as_str(), change))
        .collect();
    let overlay = json!({ "roster": { "epoch": epoch, "daemons": daemons } });
    files.insert("95-roster.json".to_owned(), overlay.to_string());
    files
}

/// Checks that no key ran twice and that the verdicts `ran` and `not-run` are true; returns the number of
/// responses with the verdict `ran`.
fn check_runs(fleet: &TestFleet, responses: &[(String, Option<HttpResponse>)]) -> usize {
    let runs = fleet.runs();
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    for (key, response) in responses {
        let verdict = response.as_ref().map_or("", HttpResponse::verdict);
        assert!(
            verdict != "not-run" || !runs.contains_key(key),
            "{key} was answered not-run but ran"
        );
        assert!(
            verdict != "ran" || runs.contains_key(key),
            "{key} was answered ran but did not run"
        );
    }
    responses.iter().filter(|x| x.1.as_ref().is_some_and(|y| y.verdict() == "ran")).count()
}

/// Submits `keys` new keys, each through all of `daemons`.
fn submit_everywhere(
    fleet: &TestFleet,
    daemons: &[usize],
    keys: usize,
) -> Vec<(String, Option<HttpResponse>)> {
    let mut responses = Vec::new();
    for number in 0..keys {
        let key = create_key();
        for turn in 0..daemons.len() {
            let daemon = daemons[(turn + number) % daemons.len()];
            responses.push((key.clone(), fleet.submit(daemon, &key, &format!("filing {number}"))));
        }
    }
    responses
}

fn await_epoch(fleet: &TestFleet, daemons: &[usize], epoch: u64) {
    for index in daemons {
        fleet.await_status("the new roster is active", *index, |status| {
            status["epoch"] == epoch && status["unheard_peers"] == 0
        });
    }
    // Daemons grant only keys created more than twice the clock error of 20 ms after they became ready.
    std::thread::sleep(std::time::Duration::from_millis(100));
}

#[test]
fn keys_run_once_while_daemons_are_added_and_removed() {
    let fleet = fleet();
    let mut responses = submit_everywhere(&fleet, &[0, 1, 2, 3, 4], 6);
    let added = [(5, json!({ "added": 2 }))];
    fleet.publish("config", &roster_files(&fleet, 2, &added), None);
    // The change may not have reached all daemons yet.
    responses.extend(submit_everywhere(&fleet, &[0, 1, 2, 3, 4], 6));
    fleet.start_daemon(5);
    await_epoch(&fleet, &[0, 1, 2, 3, 4, 5], 2);
    let with_six = submit_everywhere(&fleet, &[0, 1, 2, 3, 4, 5], 10);
    assert_eq!(
        check_runs(&fleet, &with_six),
        with_six.len(),
        "some requests through the six daemons did not run"
    );
    responses.extend(with_six);
    let removed = [(5, json!({ "added": 2 })), (0, json!({ "removed": 3 }))];
    fleet.publish("config", &roster_files(&fleet, 3, &removed), None);
    responses.extend(submit_everywhere(&fleet, &[1, 2, 3, 4, 5], 6));
    await_epoch(&fleet, &[1, 2, 3, 4, 5], 3);
    let without_first = submit_everywhere(&fleet, &[1, 2, 3, 4, 5], 10);
    assert_eq!(check_runs(&fleet, &without_first), without_first.len());
    responses.extend(without_first);
    check_runs(&fleet, &responses);
}

#[test]
fn partitioned_daemons_with_an_old_roster_run_nothing_twice() {
    let fleet = fleet();
    // Two daemons of different data centres reach neither the other daemons nor the platform.
    let partitioned = [0, 2];
    fleet.partition(&partitioned, &[1, 3, 4, 5]);
    for index in partitioned {
        fleet.set_fault_plan(fleet.daemons[index].platform, "stall=1");
    }
    let changes = [(5, json!({ "added": 2 })), (2, json!({ "removed": 2 }))];
    fleet.publish("config", &roster_files(&fleet, 2, &changes), None);
    fleet.start_daemon(5);
    for index in [1, 3, 4, 5] {
        fleet.await_status("the new roster is active", index, |status| status["epoch"] == 2);
    }
    let mut responses = submit_everywhere(&fleet, &[0, 2, 1, 3, 4, 5], 12);
    let old_status = fleet.status(0).expect("daemon should report its status");
    assert_eq!(old_status["epoch"], 1, "a partitioned daemon got the new roster");
    check_runs(&fleet, &responses);
    fleet.heal();
    for index in partitioned {
        fleet.set_fault_plan(fleet.daemons[index].platform, "");
    }
    await_epoch(&fleet, &[0, 1, 3, 4, 5], 2);
    let after_partition = submit_everywhere(&fleet, &[0, 1, 3, 4, 5], 8);
    assert_eq!(
        check_runs(&fleet, &after_partition),
        after_partition.len(),
        "some requests did not run after the partition"
    );
    responses.extend(after_partition);
    check_runs(&fleet, &responses);
}
