//! Choice of targets, hold-down and fair shares.

use std::collections::BTreeMap;

use quickcheck::Gen;
use quickcheck::QuickCheck;

use ggt_core::clock::MonoTime;
use ggt_core::hosts::HostEntry;
use ggt_core::hosts::HostList;
use ggt_core::hosts::HostState;
use ggt_core::ident::TargetName;
use ggt_core::ident::WorkloadName;
use ggt_core::ident::mix_hash;
use ggt_core::limits::FairShare;
use ggt_core::limits::ShareVerdict;
use ggt_core::routing::ChoiceReason;
use ggt_core::routing::HoldDown;
use ggt_core::routing::HoldOptions;
use ggt_core::routing::LoadReport;
use ggt_core::routing::RouteQuery;
use ggt_core::routing::RouteRefusal;
use ggt_core::routing::RoutingOptions;
use ggt_core::routing::RoutingTable;
use ggt_core::routing::TargetKey;
use ggt_core::routing::TargetStatus;

const CAPACITY: u32 = 64;

fn host(number: usize, incarnation: u64) -> HostEntry {
    HostEntry {
        name: TargetName::from(format!("t{number}").as_str()),
        address: ([127, 0, 0, 1], 1_000).into(),
        data_centre: ["a", "b"][number % 2].into(),
        workload: WorkloadName::from("w"),
        incarnation,
        capacity: CAPACITY,
        state: HostState::Live,
    }
}

fn table_of(count: usize) -> RoutingTable {
    let mut table = RoutingTable::default();
    let list = HostList { version: 1, targets: (0..count).map(|x| host(x, 1)).collect() };
    table.apply_hosts(&list, &RoutingOptions::default(), MonoTime::default());
    table
}

fn choose(
    table: &RoutingTable,
    chat: u64,
    hint: Option<(&TargetName, u64)>,
    tried: &[TargetKey],
) -> Result<(TargetKey, ChoiceReason), RouteRefusal> {
    let workload = WorkloadName::from("w");
    let query = RouteQuery {
        workload: &workload,
        chat_hash: mix_hash(chat, 1),
        hint,
        is_new: false,
        tried,
    };
    let now = MonoTime::from_millis(1_000_000);
    let chosen = table.choose(&query, &RoutingOptions::default(), now)?;
    Ok((chosen.key, chosen.reason))
}

#[test]
fn no_target_exceeds_its_bound_while_requests_only_arrive() {
    fn property(chats: Vec<u64>, count: u8) -> bool {
        let count = 2 + usize::from(count % 30);
        let mut table = table_of(count);
        let mut sent: BTreeMap<TargetKey, usize> = BTreeMap::new();
        for (number, chat) in chats.iter().enumerate() {
            // All requests belong to five chats.
            let is_full = number == count * CAPACITY as usize;
            let Ok((key, _)) = choose(&table, chat % 5, None, &[]) else { return is_full };
            table.record_sent(key);
            let load = sent.entry(key).or_default();
            *load += 1;
            let mean = (number + 1) as f64 / count as f64;
            if *load as f64 > (1.25 * mean).ceil().max(2.0) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, 11))
        .tests(400)
        .quickcheck(property as fn(Vec<u64>, u8) -> bool);
}

#[test]
fn a_join_moves_at_most_one_and_a_half_fair_shares_of_the_chats() {
    const CHATS: u64 = 20_000;
    for count in [5, 20, 130] {
        let (before, after) = (table_of(count), table_of(count + 1));
        let moved = (0..CHATS)
            .filter(|chat| {
                let name = |table: &RoutingTable| {
                    let key = choose(table, *chat, None, &[]).expect("a target").0;
                    table.target(key).expect("a target").host.name.clone()
                };
                name(&before) != name(&after)
            })
            .count();
        let fair = CHATS as f64 / (count + 1) as f64;
        println!("{count} targets: {moved} of {CHATS} chats moved, fair share {fair:.0}");
        assert!((moved as f64) <= 1.5 * fair);
    }
}

#[test]
fn a_hint_is_used_while_its_incarnation_is_current() {
    let mut table = table_of(8);
    let (home, reason) = choose(&table, 3, None, &[]).expect("a target");
    assert_eq!(reason, ChoiceReason::Home);
    let other = table.iter().find(|(key, _)| *key != home).expect("a second target");
    let (other, name) = (other.0, other.1.host.name.clone());
    assert_eq!(choose(&table, 3, Some((&name, 1)), &[]), Ok((other, ChoiceReason::Hint)));
    assert_eq!(choose(&table, 3, Some((&name, 2)), &[]), Ok((home, ChoiceReason::Home)));
    assert_ne!(choose(&table, 3, Some((&name, 1)), &[other]).map(|x| x.0), Ok(other));
    table.record_leaving(&name, 1);
    assert_eq!(choose(&table, 3, Some((&name, 1)), &[]), Ok((home, ChoiceReason::Home)));
}

#[test]
fn a_reported_departure_survives_outdated_host_lists() {
    let mut table = table_of(4);
    let name = TargetName::from("t2");
    assert!(table.record_leaving(&name, 1));
    let options = RoutingOptions::default();
    for version in 2..5 {
        let list = HostList { version, targets: (0..4).map(|x| host(x, 1)).collect() };
        table.apply_hosts(&list, &options, MonoTime::from_millis(version * 1_000));
        let entry = table.target(table.key_of(&name).expect("listed")).expect("an entry");
        assert_eq!(table.status(entry, MonoTime::from_millis(9_000)), TargetStatus::Leaving);
    }
    let list = HostList { version: 9, targets: (0..4).map(|x| host(x, 2)).collect() };
    table.apply_hosts(&list, &options, MonoTime::from_millis(9_000));
    let entry = table.target(table.key_of(&name).expect("listed")).expect("an entry");
    assert_eq!(table.status(entry, MonoTime::from_millis(9_000)), TargetStatus::Ready);
}

#[test]
fn an_older_list_changes_nothing() {
    let mut table = table_of(4);
    let list = HostList { version: 1, targets: Vec::new() };
    let now = MonoTime::default();
    assert!(table.apply_hosts(&list, &RoutingOptions::default(), now).is_empty());
    assert_eq!(table.iter().count(), 4);
}

#[test]
fn a_data_centre_is_unreachable_while_its_targets_fail() {
    let mut table = table_of(40);
    let hold = RoutingOptions::default().hold;
    let now = MonoTime::from_millis(1_000_000);
    let in_a: Vec<TargetKey> = table
        .iter()
        .filter(|(_, entry)| entry.host.data_centre.as_str() == "a")
        .map(|(key, _)| key)
        .collect();
    // A reply in between shows that the data centre is reachable.
    for key in &in_a[..3] {
        table.record_failure(*key, &hold, now);
    }
    table.record_reply(in_a[9], now);
    table.record_failure(in_a[3], &hold, now);
    assert_eq!(table.unreachable_centres().count(), 0);
    for key in &in_a[4..7] {
        table.record_failure(*key, &hold, now);
    }
    assert_eq!(
        table.unreachable_centres().count(),
        1,
        "four failures in a row among twenty targets"
    );
    for chat in 0..200 {
        let (key, _) = choose(&table, chat, None, &[]).expect("a target");
        assert!(!in_a.contains(&key), "a target of the unreachable data centre was chosen");
    }
    table.record_reply(in_a[0], now);
    assert_eq!(table.unreachable_centres().count(), 0);
}

#[test]
fn reports_are_ordered_without_clocks() {
    let mut table = table_of(2);
    let key = table.key_of(&TargetName::from("t0")).expect("listed");
    let report = |started_total, finished_total| LoadReport { started_total, finished_total };
    assert!(table.apply_report(key, 1, report(10, 4)));
    assert!(!table.apply_report(key, 1, report(9, 4)), "an older report");
    assert!(!table.apply_report(key, 2, report(90, 4)), "another incarnation");
    let load = |table: &RoutingTable| table.target(key).expect("an entry").load.value(1.0);
    assert!((load(&table) - 6.0).abs() < f64::EPSILON);
    table.record_sent(key);
    assert!((load(&table) - 7.0).abs() < f64::EPSILON);
    table.drop_reports();
    assert!((load(&table) - 1.0).abs() < f64::EPSILON, "own requests stay counted");
}

#[test]
fn hold_down_grows_with_each_flap_and_is_reset() {
    let options = HoldOptions { initial_ms: 1_000, max_ms: 6_000 };
    let mut hold = HoldDown::default();
    let mut now = MonoTime::from_millis(100_000);
    let mut durations_ms = Vec::new();
    for _ in 0..6 {
        hold.record_flap(&options, now);
        durations_ms.push(hold.held_until().millis_since(now));
        now = now.max(hold.held_until()) + 10;
    }
    assert_eq!(durations_ms, [0, 1_000, 2_000, 4_000, 6_000, 6_000]);
    hold.record_flap(&options, now + 60_000);
    assert!(!hold.is_held(now + 60_000), "the flap count restarts after a steady period");
}

#[test]
fn a_customer_over_its_share_is_refused_before_others() {
    let mut shares = FairShare::default();
    let (busy, light) = (shares.insert(1.0), shares.insert(1.0));
    for _ in 0..100 {
        shares.admit(busy, 0.5, 0.85);
    }
    assert_eq!(shares.in_flight(busy), 100, "below the threshold nobody is refused");
    let is_over = |verdict| matches!(verdict, ShareVerdict::OverShare { .. });
    assert!(is_over(shares.admit(busy, 0.95, 0.85)));
    for _ in 0..40 {
        assert_eq!(shares.admit(light, 0.95, 0.85), ShareVerdict::Admitted);
    }
    assert!(is_over(shares.admit(busy, 0.95, 0.85)));
}

#[test]
fn customers_below_the_water_level_are_never_refused() {
    fn property(demands: Vec<u8>) -> bool {
        let mut shares = FairShare::default();
        let keys: Vec<_> = demands.iter().map(|_| shares.insert(1.0)).collect();
        for (key, demand) in keys.iter().zip(&demands) {
            for _ in 0..*demand {
                shares.admit(*key, 0.0, 0.85);
            }
        }
        let total = f64::from(shares.total());
        let level = total * 0.85 / 1.1 / demands.len().max(1) as f64;
        keys.iter().zip(&demands).all(|(key, demand)| {
            let verdict = shares.clone().admit(*key, 1.1, 0.85);
            f64::from(*demand) + 1.0 > level || verdict == ShareVerdict::Admitted
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 3))
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Time at which targets fall silent, 2 s before the time at which `choose` chooses.
const SILENT_AT: MonoTime = MonoTime::from_millis(998_000);

fn silence_all(table: &mut RoutingTable, at: MonoTime) {
    let hold = RoutingOptions::default().hold;
    let keys: Vec<TargetKey> = table.iter().map(|(key, _)| key).collect();
    for key in keys.iter().chain(&keys) {
        table.record_silence(*key, &hold, at);
    }
}

// Guards against a workload without targets after a second in which all of them were silent.
#[test]
fn silent_targets_are_used_while_no_other_is_left() {
    let mut table = table_of(4);
    silence_all(&mut table, SILENT_AT);
    assert_eq!(table.unreachable_centres().count(), 0);
    let workload = WorkloadName::from("w");
    let options = RoutingOptions::default();
    assert!(table.utilisation(&workload, &options, SILENT_AT + 500) < 1.0);
    let (first, _) = choose(&table, 3, None, &[]).expect("a silent target");
    let (second, _) = choose(&table, 3, None, &[first]).expect("another silent target");
    assert_ne!(first, second);
    // A target that replies is ready again; the silent ones remain for requests that it has had.
    table.record_reply(second, SILENT_AT + 600);
    for chat in 0..50 {
        assert_eq!(choose(&table, chat, None, &[]).map(|x| x.0), Ok(second));
    }
    assert!(choose(&table, 3, None, &[second]).is_ok());
}

// Guards against a target that has ended without closing its connections and stays in use.
#[test]
fn targets_that_stay_silent_are_down() {
    let mut table = table_of(4);
    silence_all(&mut table, SILENT_AT);
    silence_all(&mut table, SILENT_AT + 1_999);
    assert!(table.iter().all(|(key, _)| !table.is_down(key)));
    silence_all(&mut table, SILENT_AT + 2_000);
    assert!(table.iter().all(|(key, _)| table.is_down(key)));
    assert_eq!(table.unreachable_centres().count(), 2);
    assert_eq!(choose(&table, 3, None, &[]), Err(RouteRefusal::NoTarget));
}

// Guards against refusals as over share, 429, at a daemon that reaches no target of the workload.
#[test]
fn a_workload_without_usable_targets_is_not_at_capacity() {
    let mut table = table_of(4);
    let options = RoutingOptions::default();
    let keys: Vec<TargetKey> = table.iter().map(|(key, _)| key).collect();
    for key in keys.iter().chain(&keys) {
        table.record_failure(*key, &options.hold, SILENT_AT);
    }
    assert_eq!(choose(&table, 3, None, &[]), Err(RouteRefusal::NoTarget));
    assert_eq!(table.utilisation(&WorkloadName::from("w"), &options, SILENT_AT + 2_000), 0.0);
}

// Guards against a target that is out of use on a peer's word, or that stays in use beside ready ones.
#[test]
fn a_target_that_a_peer_reports_as_down_is_avoided_until_it_replies() {
    let mut table = table_of(2);
    let keys: Vec<TargetKey> = table.iter().map(|(key, _)| key).collect();
    assert!(table.record_reported_down(keys[0], SILENT_AT));
    assert!(!table.record_reported_down(keys[0], SILENT_AT + 1), "it is known");
    for chat in 0..50 {
        assert_eq!(choose(&table, chat, None, &[]).map(|x| x.0), Ok(keys[1]));
    }
    assert_eq!(choose(&table, 3, None, &[keys[1]]).map(|x| x.0), Ok(keys[0]), "no other is left");
    // The daemon's own probe decides.
    let mut refused = table.clone();
    assert!(refused.record_failure(keys[0], &RoutingOptions::default().hold, SILENT_AT + 100));
    assert_eq!(choose(&refused, 3, None, &[keys[1]]), Err(RouteRefusal::NoTarget));
    table.record_reply(keys[0], SILENT_AT + 100);
    assert!((0..50).any(|chat| choose(&table, chat, None, &[]).map(|x| x.0) == Ok(keys[0])));
}

// Guards against a crash that is concluded from a failure although no other target was looked at.
#[test]
fn witnesses_of_a_target_are_others_of_its_data_centre() {
    let table = table_of(8);
    let (key, failed) = table.iter().next().expect("a target");
    let witnesses = table.witnesses_of(key, SILENT_AT);
    assert_eq!(witnesses.len(), 3);
    let near = table.iter().filter(|(other, entry)| {
        *other != key && entry.host.data_centre == failed.host.data_centre
    });
    let near: Vec<TargetKey> = near.map(|(other, _)| other).collect();
    assert!(witnesses.iter().all(|other| near.contains(other)), "{witnesses:?} {near:?}");
    let alone = table_of(2);
    let keys: Vec<TargetKey> = alone.iter().map(|(key, _)| key).collect();
    assert_eq!(alone.witnesses_of(keys[0], SILENT_AT), [keys[1]], "no other in its data centre");
}

// Guards against a daemon that is not ready though the targets have ended, or ready though only it is cut off.
#[test]
fn a_daemon_is_cut_off_if_it_reaches_no_target_and_a_peer_does() {
    let mut table = table_of(4);
    let hold = RoutingOptions::default().hold;
    let keys: Vec<TargetKey> = table.iter().map(|(key, _)| key).collect();
    let report = |started_total| LoadReport { started_total, finished_total: 0 };
    table.apply_peer_report(keys[0], 1, report(1), MonoTime::from_millis(978_000));
    for key in keys.iter().chain(&keys) {
        assert!(!table.is_cut_off(SILENT_AT), "a target is in use");
        table.record_failure(*key, &hold, SILENT_AT);
    }
    assert!(!table.is_cut_off(SILENT_AT), "no peer has reached a target lately");
    table.apply_peer_report(keys[0], 1, report(1), SILENT_AT + 100);
    assert!(!table.is_cut_off(SILENT_AT + 100), "the report is not new");
    table.apply_peer_report(keys[0], 1, report(2), SILENT_AT + 100);
    assert!(table.is_cut_off(SILENT_AT + 10_100));
    assert!(!table.is_cut_off(SILENT_AT + 10_101), "the report is old");
    table.record_reply(keys[3], SILENT_AT + 200);
    assert!(!table.is_cut_off(SILENT_AT + 200), "a target replied");
}
