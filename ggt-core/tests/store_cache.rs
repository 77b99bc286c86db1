//! Changes of the platform's store lead to the same state in any order, and targets that are
//! unlisted after an outage are kept only if they may still be running.

use std::sync::Arc;

use quickcheck::QuickCheck;

use ggt_core::clock::MonoTime;
use ggt_core::store_cache::PlatformOutage;
use ggt_core::store_cache::StoreBatch;
use ggt_core::store_cache::StoreCache;
use ggt_core::store_cache::StoreChange;

fn change(key: u8, revision: u64, is_removal: bool) -> StoreChange {
    let value = (!is_removal).then(|| Arc::new(revision.to_string().into_bytes()));
    StoreChange { key: format!("servers/{key}"), revision, value }
}

fn batch_of(changes: Vec<StoreChange>) -> StoreBatch {
    let revision = changes.iter().map(|change| change.revision).max().unwrap_or_default();
    StoreBatch { revision, is_snapshot: false, changes }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn the_order_in_which_changes_arrive_does_not_matter() {
    fn reach_same_state(history: Vec<(u8, bool)>, swaps: Vec<u16>) -> bool {
        let changes: Vec<_> = (1..)
            .zip(&history)
            .map(|(revision, (key, is_removal))| change(key % 8, revision, *is_removal))
            .collect();
        let mut shuffled = changes.clone();
        for (index, swap) in swaps.iter().enumerate().take(shuffled.len()) {
            let other = usize::from(*swap) % shuffled.len();
            shuffled.swap(index, other);
        }
        let (mut first, mut second) = (StoreCache::default(), StoreCache::default());
        changes.into_iter().for_each(|change| drop(first.apply(batch_of(vec![change]))));
        for change in shuffled {
            second.apply(batch_of(vec![change.clone()]));
            second.apply(batch_of(vec![change]));
        }
        (0..8).all(|key| {
            let key = format!("servers/{key}");
            first.value(&key) == second.value(&key)
        })
    }
    let check = reach_same_state as fn(Vec<(u8, bool)>, Vec<u16>) -> bool;
    QuickCheck::new().tests(500).quickcheck(check);
}

#[test]
fn an_older_change_does_not_restore_a_removed_key() {
    let mut cache = StoreCache::default();
    cache.apply(batch_of(vec![change(1, 3, false)]));
    cache.apply(batch_of(vec![change(1, 5, true)]));
    assert!(cache.apply(batch_of(vec![change(1, 4, false)])).is_empty());
    assert_eq!(cache.value("servers/1"), None);
}

#[test]
fn a_snapshot_removes_keys_that_it_does_not_contain() {
    let mut cache = StoreCache::default();
    cache.apply(batch_of(vec![change(1, 3, false), change(2, 4, false)]));
    let snapshot =
        StoreBatch { revision: 9, is_snapshot: true, changes: vec![change(2, 4, false)] };
    let applied = cache.apply(snapshot);
    assert_eq!(applied.len(), 1);
    assert_eq!(cache.value("servers/1"), None);
    assert!(cache.value("servers/2").is_some());
}

#[test]
fn a_peer_gets_missing_changes_or_a_snapshot() {
    let mut cache = StoreCache::default();
    let snapshot =
        StoreBatch { revision: 10, is_snapshot: true, changes: vec![change(1, 7, false)] };
    cache.apply(snapshot);
    cache.apply(batch_of(vec![change(2, 12, false)]));
    cache.apply(batch_of(vec![change(1, 13, true)]));
    let batch = cache.changes_since(10);
    assert!(!batch.is_snapshot);
    assert_eq!(batch.changes.len(), 2);
    // The log lacks the single changes before the snapshot.
    assert!(cache.changes_since(8).is_snapshot);
    assert!(cache.changes_since(0).is_snapshot);
    let mut peer = StoreCache::default();
    peer.apply(cache.changes_since(0));
    assert_eq!(peer.value("servers/1"), None);
    assert!(peer.value("servers/2").is_some());
}

#[test]
fn targets_that_lapsed_in_a_platform_outage_have_time_to_register_again() {
    let mut outage = PlatformOutage::default();
    outage.record_peer_success(at(900));
    assert!(outage.record_failure(at(1_000)));
    assert!(!outage.record_failure(at(2_000)));
    assert!(outage.record_success(at(6_000)));
    assert_eq!(outage.removal_time(at(6_100)), at(8_200));
    assert_eq!(outage.removal_time(at(9_000)), at(9_000));
}

#[test]
fn targets_unlisted_after_an_outage_of_one_daemon_only_are_removed_at_once() {
    let mut outage = PlatformOutage::default();
    outage.record_failure(at(1_000));
    // Another daemon received a reply in the middle of the outage.
    outage.record_peer_success(at(3_000));
    outage.record_success(at(6_000));
    assert_eq!(outage.removal_time(at(6_100)), at(6_100));
}

#[test]
fn a_peer_that_notices_the_recovery_first_does_not_make_an_outage_local() {
    let mut outage = PlatformOutage::default();
    outage.record_failure(at(1_000));
    outage.record_peer_success(at(5_500));
    outage.record_success(at(6_000));
    assert_eq!(outage.removal_time(at(6_100)), at(8_200));
}

#[test]
fn only_the_latest_change_of_a_key_is_kept_and_sent() {
    let mut cache = StoreCache::default();
    let snapshot =
        StoreBatch { revision: 1, is_snapshot: true, changes: vec![change(1, 1, false)] };
    cache.apply(snapshot);
    (2..500).for_each(|revision| drop(cache.apply(batch_of(vec![change(1, revision, false)]))));
    let sent = cache.changes_since(1);
    assert!(!sent.is_snapshot);
    assert_eq!(sent.changes, vec![change(1, 499, false)]);
}
