//! Discovery of daemons from seeds, loads reported in digests, and the choice of watchers.

mod digest_fixture;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::digest_fixture::empty_digest;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::CrashReport;
use ggt_core::crashes::SuspectKey;
use ggt_core::fleet::FleetTable;
use ggt_core::fleet::ForwardQuery;
use ggt_core::fleet::PEER_PROTOCOL;
use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::PeerReach;
use ggt_core::fleet::WatchRole;
use ggt_core::ident::service_hash;
use ggt_core::routes::split_hash;
use ggt_core::targets::InFlightLoad;

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Every fifth host has a fast link.
fn link_of(number: u8) -> u32 {
    if number.is_multiple_of(5) { 200 } else { 10 }
}

fn digest(from: u8, incarnation: u64, number: u64) -> PeerDigest {
    PeerDigest {
        centre_hash: u32::from(from % 3),
        link_mbps: link_of(from),
        ..empty_digest(address(from), incarnation, number)
    }
}

fn load(requests: u32) -> InFlightLoad {
    InFlightLoad { requests, backlog_tokens: 0 }
}

#[test]
fn one_reachable_seed_is_enough_to_discover_all() {
    const DAEMONS: u8 = 12;
    let mut tables: Vec<_> = (1..=DAEMONS).map(|n| FleetTable::new(address(n))).collect();
    let seeds = [address(1), address(200)];
    for round in 1..=6_u64 {
        for from in 1..=DAEMONS {
            let table = &tables[usize::from(from) - 1];
            let report =
                PeerDigest { known_peers: table.known_peers(round), ..digest(from, 1, round) };
            for to in table.recipients(&seeds) {
                if let Some(other) = (1..=DAEMONS).find(|n| address(*n) == to) {
                    tables[usize::from(other) - 1].apply(report.clone(), at(round * 100));
                }
            }
        }
    }
    for table in &tables {
        assert_eq!(table.alive(at(600)).count(), usize::from(DAEMONS) - 1);
    }
}

#[test]
fn loads_follow_the_latest_digest_and_expire_without_digests() {
    let mut table = FleetTable::new(address(1));
    let first = PeerDigest { loads: vec![(7, load(3))], ..digest(2, 1, 1) };
    let changes = table.apply(first.clone(), at(0));
    assert_eq!((changes[0].before, changes[0].after), (load(0), load(3)));
    let second = PeerDigest { loads: vec![(7, load(1)), (8, load(2))], ..digest(2, 1, 2) };
    assert_eq!(table.apply(second, at(100)).len(), 2);
    assert!(table.apply(first, at(150)).is_empty(), "an outdated digest changes nothing");
    let ended = table.expire(at(5_000));
    assert!(ended.iter().all(|change| change.after == load(0)));
    assert_eq!(ended.len(), 2);
    assert_eq!(table.alive(at(5_000)).count(), 0);
}

#[test]
fn the_first_digest_of_a_restarted_daemon_is_applied() {
    let mut table = FleetTable::new(address(1));
    table.apply(digest(2, 5, 900), at(0));
    let again = PeerDigest { loads: vec![(7, load(1))], ..digest(2, 6, 1) };
    assert_eq!(table.apply(again, at(100)).len(), 1);
}

#[test]
fn digests_of_a_large_fleet_are_sent_at_a_lower_rate() {
    let mut table = FleetTable::new(address(1));
    let small = table.period_ms();
    for number in 2..=80 {
        table.apply(digest(number, 1, 1), at(0));
    }
    let sends_per_second = 79 * 1_000 / table.period_ms();
    assert!(
        table.period_ms() > small && sends_per_second <= 90,
        "{sends_per_second} datagrams per second"
    );
}

#[test]
fn in_a_large_fleet_a_few_of_each_data_centre_watch_and_others_take_over() {
    const DAEMONS: u8 = 60;
    let watchers = |unwatched_centre: Option<u32>| {
        let mut watchers = Vec::new();
        for own in 1..=DAEMONS {
            let mut table = FleetTable::new(address(own));
            for other in (1..=DAEMONS).filter(|other| *other != own) {
                let report = digest(other, 1, 1);
                let is_watching = unwatched_centre != Some(report.centre_hash);
                table.apply(PeerDigest { is_watching, ..report }, at(0));
            }
            let role = table.watch_role(u32::from(own % 3), link_of(own), at(0), at(1_000));
            if role == WatchRole::Watcher {
                watchers.push((u32::from(own % 3), link_of(own)));
            }
        }
        watchers
    };
    let watching = watchers(None);
    for centre in 0..3 {
        assert_eq!(watching.iter().filter(|other| **other == (centre, 200)).count(), 2);
    }
    let without_watchers = watchers(Some(1));
    let in_centre = without_watchers.iter().filter(|(centre, _)| *centre == 1);
    assert_eq!(in_centre.count(), 20, "all daemons of the data centre watch");
}

#[test]
fn in_a_small_fleet_all_watch() {
    let mut table = FleetTable::new(address(1));
    (2..=9).for_each(|other| drop(table.apply(digest(other, 1, 1), at(0))));
    assert_eq!(table.watch_role(1, 10, at(0), at(1_000)), WatchRole::Watcher);
}

#[test]
fn pattern_in_a_large_fleet_that_starts_at_once_not_all_daemons_watch() {
    let table = FleetTable::new(address(1));
    assert_eq!(table.watch_role(1, 10, at(0), at(999)), WatchRole::Undecided);
    let mut table = FleetTable::new(address(1));
    (2..=60).for_each(|other| drop(table.apply(digest(other, 1, 1), at(900))));
    assert_eq!(table.watch_role(1, 0, at(0), at(1_000)), WatchRole::Follower);
}

// Guards against suspicions that never end because daemons report each other's crashes as new.
#[test]
fn crash_keeps_its_age_when_daemons_report_it_to_each_other() {
    let noticed = CrashReport { suspect: SuspectKey(1), crash: CrashId(2), noticed_at: at(1_000) };
    let mut report = noticed;
    for round in 0..100 {
        let now = at(2_000 + 100 * round);
        let mut told = digest(2, 1, round);
        told.set_crashes(&[report], now);
        report = told.crash_reports(now).next().expect("one crash was reported");
    }
    assert_eq!(report, noticed);
}

#[test]
fn crash_without_an_age_counts_as_noticed_now() {
    let crashes = vec![(SuspectKey(1), CrashId(2))];
    let told = PeerDigest { crashes, ..digest(2, 1, 1) };
    let noticed_at: Vec<_> = told.crash_reports(at(500)).map(|report| report.noticed_at).collect();
    assert_eq!(noticed_at, [at(500)]);
}

// Guards against trials of a refused request on several daemons at once.
#[test]
fn daemons_with_the_same_view_have_different_ranks() {
    let ranks = |hash: u64| {
        let tables = (1..=5).map(|own| {
            let mut table = FleetTable::new(address(own));
            (1..=5).filter(|other| *other != own).for_each(|other| {
                table.apply(digest(other, 1, 1), at(0));
            });
            table.rank(hash, at(10))
        });
        tables.collect::<Vec<_>>()
    };
    let sorted = |mut ranks: Vec<usize>| {
        ranks.sort_unstable();
        ranks
    };
    assert_eq!(sorted(ranks(1)), [0, 1, 2, 3, 4]);
    assert!((2..20).any(|hash| ranks(hash) != ranks(1)), "the order depends on the item");
}

// Guards against requests that are forwarded to daemons that cannot send them to a target either, or to
// one peer only.
#[test]
fn forwarded_requests_spread_over_the_peers_that_reach_the_service() {
    let mut table = FleetTable::new(address(1));
    let reach = |unreached: &[&str]| PeerReach {
        protocol: PEER_PROTOCOL,
        unreached: unreached.iter().map(|service| service_hash(service)).collect(),
    };
    let ready = |from: u8, reach| PeerDigest {
        centre_hash: u32::from(from % 2),
        config_revision: 1,
        target_revision: 1,
        reach,
        ..digest(from, 1, 1)
    };
    for from in [2, 3, 4] {
        table.apply(ready(from, reach(&[])), at(0));
    }
    table.apply(ready(5, reach(&["s", "t"])), at(0));
    table.apply(ready(6, PeerReach::default()), at(0));
    table.apply(PeerDigest { is_leaving: true, ..ready(7, reach(&[])) }, at(0));
    table.apply(PeerDigest { target_revision: 0, ..ready(8, reach(&[])) }, at(0));
    let query = |hash| ForwardQuery {
        service_hash: service_hash("s"),
        request_hash: hash,
        centre_hash: 0,
        allowed_centres: None,
    };
    let mut firsts = BTreeMap::new();
    for number in 0..9_000_u64 {
        let hash = split_hash(&format!("request {number}"));
        let peers = table.forward_candidates(&query(hash), at(0));
        assert_eq!(peers.iter().collect::<BTreeSet<_>>().len(), 3);
        *firsts.entry(peers[0]).or_insert(0) += 1;
    }
    // Two peers are in the own data centre, with four times the weight.
    for (from, expected) in [(2, 4_000), (3, 1_000), (4, 4_000)] {
        let share = firsts.get(&address(from)).copied().unwrap_or(0_i32);
        assert!((share - expected).abs() < 300, "daemon {from}: {share} of 9,000");
    }
    let other = ForwardQuery { service_hash: service_hash("u"), ..query(7) };
    assert_eq!(table.forward_candidates(&other, at(0)).len(), 4);
    assert!(table.has_forward_peer(at(0)) && table.is_reached_by_peer(service_hash("s"), at(0)));
    assert!(table.forward_candidates(&query(7), at(5_000)).is_empty(), "none is alive");
}
