//! Whether a daemon is cut off from the targets of a service.

use slotmap::SlotMap;

use ggt_core::clock::MonoTime;
use ggt_core::partition::ReachRegained;
use ggt_core::partition::ReachTable;
use ggt_core::targets::TargetKey;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn target_keys<const N: usize>() -> [TargetKey; N] {
    let mut keys = SlotMap::<TargetKey, ()>::with_key();
    std::array::from_fn(|_| keys.insert(()))
}

// Guards against a daemon that refuses requests without knowing that it reaches none of a small service's
// targets.
#[test]
fn all_targets_of_a_small_service_failing_is_a_cut() {
    let [first, second] = target_keys();
    let mut table = ReachTable::default();
    assert!(!table.record_failure("s", first, &[first, second], at(0)));
    assert!(!table.record_failure("s", first, &[first, second], at(10)), "the same target again");
    assert_eq!(table.cut_since("s"), None);
    assert!(table.record_failure("s", second, &[first, second], at(20)));
    assert!(!table.record_failure("s", second, &[first, second], at(30)), "the cut is known");
    assert_eq!(table.cut_since("s"), Some(at(20)));
    assert_eq!(table.cut_services().collect::<Vec<_>>(), ["s"]);
    assert_eq!(table.cut_since("other"), None);
}

// Guards against the end of a few targets of a large service being taken for a cut.
#[test]
fn failures_with_an_accepted_connection_between_them_are_no_cut() {
    let keys: [_; 8] = target_keys();
    let mut table = ReachTable::default();
    for (number, key) in keys[..7].iter().enumerate() {
        assert!(!table.record_failure("s", *key, &keys, at(number as u64)));
        assert_eq!(table.record_accept("s", keys[7]), None);
    }
}

// Guards against a cut from a large service that is only noticed once every target has failed.
#[test]
fn a_few_targets_of_a_large_service_failing_in_a_row_are_a_cut() {
    let keys: [_; 780] = target_keys();
    let mut table = ReachTable::default();
    let cuts = [0, 1, 2, 3].map(|number| table.record_failure("s", keys[number], &keys, at(5)));
    assert_eq!(cuts, [false, false, false, true]);
}

// Guards against targets that ended long after each other being taken for a cut.
#[test]
fn failures_long_apart_are_no_cut() {
    let [first, second] = target_keys();
    let mut table = ReachTable::default();
    assert!(!table.record_failure("s", first, &[first, second], at(0)));
    assert!(!table.record_failure("s", second, &[first, second], at(6_000)));
    assert!(table.record_failure("s", first, &[first, second], at(6_100)));
}

// Guards against targets that stay held down after the cut, and against a cut that never ends.
#[test]
fn one_accepted_connection_ends_the_cut_and_names_the_other_targets() {
    let [first, second, third] = target_keys();
    let mut table = ReachTable::default();
    for key in [first, second, third] {
        table.record_failure("s", key, &[first, second, third], at(100));
    }
    let regained = table.record_accept("s", second);
    assert_eq!(regained, Some(ReachRegained { cut_since: at(100), failed: vec![first, third] }));
    assert_eq!(table.cut_since("s"), None);
    assert!(
        !table.record_failure("s", first, &[first, second, third], at(200)),
        "the next cut takes all of them again"
    );
}

// Guards against requests that are refused although peers reach the targets: one target still accepted a
// connection after the first had failed in the same cut, and what had failed before was forgotten.
#[test]
fn target_that_accepts_as_a_cut_begins_does_not_hide_those_that_failed_before() {
    let keys @ [first, second, third, last] = target_keys();
    let mut table = ReachTable::default();
    assert!(!table.record_failure("s", first, &keys, at(0)));
    assert_eq!(table.record_accept("s", last), None);
    assert!(!table.record_failure("s", second, &keys, at(1)));
    assert!(!table.record_failure("s", third, &keys, at(2)));
    assert!(table.record_failure("s", last, &keys, at(3)), "no target accepts connections");
    assert_eq!(table.record_accept("s", first).map(|cut| cut.failed.len()), Some(3));
}

// Guards against failures of targets that are gone, which would count for those that are left.
#[test]
fn targets_that_are_gone_do_not_count() {
    let keys @ [gone, first, second] = target_keys();
    let mut table = ReachTable::default();
    assert!(!table.record_failure("s", gone, &keys, at(0)));
    assert_eq!(table.record_accept("s", second), None);
    assert!(!table.record_failure("s", first, &[first, second], at(1)));
    assert!(table.record_failure("s", second, &[first, second], at(2)));
}
