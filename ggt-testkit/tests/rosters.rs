//! Non-idempotent requests while daemons use different rosters.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::fleet::mint_key;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::layout::config_files;
use ggt_testkit::web::WebReply;

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

fn check(fleet: &TestFleet, answers: &[(String, Option<WebReply>)]) -> usize {
    let runs = fleet.runs();
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    for (key, reply) in answers {
        let verdict = reply.as_ref().map_or("", WebReply::verdict);
        assert!(
            verdict != "not-run" || !runs.contains_key(key),
            "{key} was answered not-run but ran"
        );
        assert!(
            verdict != "ran" || runs.contains_key(key),
            "{key} was answered ran but did not run"
        );
    }
    answers.iter().filter(|x| x.1.as_ref().is_some_and(|y| y.verdict() == "ran")).count()
}

/// Submits `keys` new keys, each through all of `daemons`.
fn submit_everywhere(
    fleet: &TestFleet,
    daemons: &[usize],
    keys: usize,
) -> Vec<(String, Option<WebReply>)> {
    let mut answers = Vec::new();
    for number in 0..keys {
        let key = mint_key();
        for turn in 0..daemons.len() {
            let daemon = daemons[(turn + number) % daemons.len()];
            answers.push((key.clone(), fleet.submit(daemon, &key, &format!("filing {number}"))));
        }
    }
    answers
}

fn await_epoch(fleet: &TestFleet, daemons: &[usize], epoch: u64) {
    for index in daemons {
        fleet.await_status("the new roster is active", *index, |status| {
            status["epoch"] == epoch && status["unheard_peers"] == 0
        });
    }
    // Keys are granted once they are newer than the roster by twice the clock error of 20 ms.
    std::thread::sleep(std::time::Duration::from_millis(100));
}

#[test]
fn a_daemon_is_added_and_another_removed_in_the_middle() {
    let fleet = fleet();
    let mut answers = submit_everywhere(&fleet, &[0, 1, 2, 3, 4], 6);
    let added = [(5, json!({ "added": 2 }))];
    fleet.publish("config", &roster_files(&fleet, 2, &added), None);
    // The change is still spreading.
    answers.extend(submit_everywhere(&fleet, &[0, 1, 2, 3, 4], 6));
    fleet.start_daemon(5);
    await_epoch(&fleet, &[0, 1, 2, 3, 4, 5], 2);
    let with_six = submit_everywhere(&fleet, &[0, 1, 2, 3, 4, 5], 10);
    assert_eq!(
        check(&fleet, &with_six),
        with_six.len(),
        "some requests through the six daemons did not run"
    );
    answers.extend(with_six);
    let removed = [(5, json!({ "added": 2 })), (0, json!({ "removed": 3 }))];
    fleet.publish("config", &roster_files(&fleet, 3, &removed), None);
    answers.extend(submit_everywhere(&fleet, &[1, 2, 3, 4, 5], 6));
    await_epoch(&fleet, &[1, 2, 3, 4, 5], 3);
    let without_first = submit_everywhere(&fleet, &[1, 2, 3, 4, 5], 10);
    assert_eq!(check(&fleet, &without_first), without_first.len());
    answers.extend(without_first);
    check(&fleet, &answers);
}

#[test]
fn a_side_that_missed_the_new_roster_runs_nothing_twice() {
    let fleet = fleet();
    // Two daemons of different data centres reach neither the other daemons nor the platform.
    let cut = [0, 2];
    fleet.part(&cut, &[1, 3, 4, 5]);
    for index in cut {
        fleet.set_plan(fleet.daemons[index].platform, "stall=1");
    }
    let changes = [(5, json!({ "added": 2 })), (2, json!({ "removed": 2 }))];
    fleet.publish("config", &roster_files(&fleet, 2, &changes), None);
    fleet.start_daemon(5);
    for index in [1, 3, 4, 5] {
        fleet.await_status("the new roster is active", index, |status| status["epoch"] == 2);
    }
    let mut answers = submit_everywhere(&fleet, &[0, 2, 1, 3, 4, 5], 12);
    let old = fleet.status(0).expect("daemon should report its status");
    assert_eq!(old["epoch"], 1, "the partitioned daemons use the old roster");
    check(&fleet, &answers);
    fleet.heal();
    for index in cut {
        fleet.set_plan(fleet.daemons[index].platform, "");
    }
    await_epoch(&fleet, &[0, 1, 3, 4, 5], 2);
    let healed = submit_everywhere(&fleet, &[0, 1, 3, 4, 5], 8);
    assert_eq!(
        check(&fleet, &healed),
        healed.len(),
        "some requests did not run after the partition"
    );
    answers.extend(healed);
    check(&fleet, &answers);
}
