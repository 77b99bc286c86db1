//! Incarnations of targets go only forward: the entry of a former one changes nothing.

mod pool_fixture;

use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetRecord;
use ggt_core::versions::SoftwareVersion;

/// When the present incarnation of the first target started, in milliseconds.
const BORN: u64 = 2_000;
/// When its former one did.
const FORMER_BORN: u64 = 1_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + millis)
}

fn old() -> SoftwareVersion {
    SoftwareVersion::named("v1")
}

fn new() -> SoftwareVersion {
    SoftwareVersion::named("v2")
}

/// The first target's entry as its former incarnation wrote it.
fn former(pool: &TargetPool) -> TargetRecord {
    let record = pool.iter().next().map(|(_, state)| state.record.clone()).expect("a target");
    TargetRecord { incarnation: FORMER_BORN, version: old(), ..record }
}

/// A pool of one target, which has started again with another version.
fn restarted_pool() -> TargetPool {
    let mut pool = pool_of(1);
    let present = TargetRecord { incarnation: BORN, version: new(), ..former(&pool) };
    pool.put(present);
    pool
}

fn incarnations(pool: &TargetPool) -> Vec<u64> {
    pool.iter().map(|(_, state)| state.record.incarnation).collect()
}

// Guards against streams of the former version that go on at a target that has started again with another one.
#[test]
fn entry_of_a_former_incarnation_that_is_written_late_changes_nothing() {
    let mut pool = restarted_pool();
    let late = former(&pool);
    assert!(pool.is_outdated(&late));
    assert!(!pool.put(late.clone()));
    assert_eq!(incarnations(&pool), [BORN]);
    let pinned = ChoiceQuery { version: Some(old()), ..query(0, 1) };
    assert_eq!(pool.choose(&pinned, at(0)), Err(ChoiceError::NoVersion));
    assert!(!pool.put(TargetRecord { is_leaving: true, ..late }));
    assert!(pool.choose(&query(0, 1), at(0)).is_ok(), "the present one does not leave");
}

// Guards against the same after the present incarnation has been removed, as its entry lapsed or was deleted.
#[test]
fn former_incarnation_does_not_return_once_the_present_one_was_removed() {
    let mut pool = restarted_pool();
    let late = former(&pool);
    pool.record_unlisted(&late.id, at(0));
    assert_eq!(pool.expire(at(0)).len(), 1);
    assert!(!pool.put(late.clone()));
    assert!(pool.is_empty());
    let next = TargetRecord { incarnation: BORN + 1, ..late };
    assert!(pool.put(next), "a newer one may");
}

// Guards against a living target that counts as ended, with the requests that it runs, since an entry names a former
// incarnation, or a former owner of its address.
#[test]
fn only_older_incarnations_are_ended_by_an_entry() {
    let pool = restarted_pool();
    let late = former(&pool);
    assert!(pool.ended_by(&late).is_empty());
    let former_owner = TargetRecord { id: "other".to_owned(), ..late.clone() };
    assert!(pool.ended_by(&former_owner).is_empty());
    let next = TargetRecord { incarnation: BORN + 1, ..late };
    assert_eq!(pool.ended_by(&next).len(), 1);
    assert_eq!(pool.ended_by(&TargetRecord { id: "other".to_owned(), ..next }).len(), 1);
}
