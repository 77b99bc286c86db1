//! Requests that crash targets: which lost replies count as crashes, which requests are refused, and
//! which crashes are reported to other daemons.

use std::collections::BTreeSet;

use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::CrashJudgement;
use ggt_core::crashes::CrashOptions;
use ggt_core::crashes::CrashOutcome;
use ggt_core::crashes::CrashRecord;
use ggt_core::crashes::CrashSource;
use ggt_core::crashes::CrashTable;
use ggt_core::crashes::LossTable;
use ggt_core::crashes::LostReply;
use ggt_core::crashes::RequestSuspects;
use ggt_core::crashes::SuspectKey;

const REQUEST: SuspectKey = SuspectKey(7);
/// Capacity of the tables.
const CAPACITY: usize = 4;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn lost_reply(suspect: SuspectKey) -> LostReply {
    LostReply { request_id: format!("id-{}", suspect.0), suspects: RequestSuspects::new(suspect) }
}

// Guards against crashes that go unnoticed because the target's end shows only after the check for it.
#[test]
fn lost_reply_counts_if_the_target_ends_soon_after() {
    let mut losses = LossTable::new(CAPACITY);
    assert!(!losses.record_loss(lost_reply(REQUEST), CrashId(1), at(1_000)));
    assert!(!losses.record_loss(lost_reply(REQUEST), CrashId(2), at(1_000)));
    assert_eq!(losses.record_end(CrashId(1), at(900), at(2_000)), [lost_reply(REQUEST)]);
    assert_eq!(losses.record_end(CrashId(2), at(1_000), at(2_000)), [], "the loss has expired");
}

// Guards against crashes that go unnoticed because the lost reply shows only after the target's end.
#[test]
fn lost_reply_counts_if_the_target_has_ended_shortly_before() {
    let mut losses = LossTable::new(CAPACITY);
    losses.record_end(CrashId(1), at(0), at(1_000));
    assert!(losses.record_loss(lost_reply(REQUEST), CrashId(1), at(500)));
    losses.expire(at(1_000));
    assert!(!losses.record_loss(lost_reply(REQUEST), CrashId(1), at(1_500)));
}

#[test]
fn lost_replies_of_a_completed_request_or_of_a_target_that_replies_do_not_count() {
    let mut losses = LossTable::new(CAPACITY);
    losses.record_loss(lost_reply(REQUEST), CrashId(1), at(1_000));
    losses.clear(REQUEST);
    assert_eq!(losses.record_end(CrashId(1), at(100), at(1_000)), []);
    losses.record_reply(CrashId(1), at(100));
    assert!(!losses.record_loss(lost_reply(REQUEST), CrashId(1), at(1_000)));
}

// Guards against a crash that is taken for the end of a reply without a length, and so clears its
// request; and against replies without a length that never clear theirs.
#[test]
fn reply_without_length_is_complete_once_the_target_replies_to_a_later_request() {
    let mut losses = LossTable::new(CAPACITY);
    assert!(!losses.record_unframed_end(lost_reply(REQUEST), CrashId(1), at(100), at(1_000)));
    assert_eq!(losses.record_reply(CrashId(1), at(100)), [], "sent before the end");
    assert_eq!(losses.record_reply(CrashId(2), at(200)), [], "another target");
    assert_eq!(losses.record_reply(CrashId(1), at(101)), [lost_reply(REQUEST)]);
    assert_eq!(losses.record_end(CrashId(1), at(300), at(1_000)), []);
    losses.record_unframed_end(lost_reply(REQUEST), CrashId(3), at(400), at(1_000));
    assert_eq!(losses.record_end(CrashId(3), at(500), at(1_000)), [lost_reply(REQUEST)]);
}

#[test]
fn full_table_of_losses_drops_the_oldest() {
    let mut losses = LossTable::new(CAPACITY);
    for number in 0..=CAPACITY as u64 {
        losses.record_loss(lost_reply(SuspectKey(number)), CrashId(1), at(1_000));
    }
    let lost = losses.record_end(CrashId(1), at(100), at(1_000));
    assert_eq!(lost.len(), CAPACITY);
    assert!(!lost.contains(&lost_reply(SuspectKey(0))));
}

/// Crashes after which a request is refused.
const LIMIT: u32 = 3;
/// Crashes that one digest reports.
const REPORTS: usize = 4;

fn crash_table(capacity: usize) -> CrashTable {
    CrashTable::new(CrashOptions { limit: LIMIT, capacity, ..CrashOptions::default() })
}

/// Records the crash with this number, which counts for ten minutes.
fn record_from(table: &mut CrashTable, suspect: SuspectKey, number: u64, source: CrashSource) {
    let (crash, noticed_at, expires_at) = (CrashId(number), at(number), at(number + 600_000));
    table.record_crash(CrashRecord { suspect, crash, noticed_at, expires_at, source });
}

fn record(table: &mut CrashTable, suspect: SuspectKey, number: u64) {
    record_from(table, suspect, number, CrashSource::Own);
}

// Guards against crashes of which other daemons never hear, since later crashes implicate more
// requests than a digest holds.
#[test]
fn crash_is_reported_although_many_later_ones_follow() {
    let mut table = crash_table(100);
    record(&mut table, REQUEST, 1);
    (0..30).for_each(|other| record(&mut table, SuspectKey(100 + other), 2 + other));
    let mut reported = BTreeSet::new();
    for _ in 0..40 {
        reported.extend(table.next_reports(REPORTS).iter().map(|report| report.crash));
    }
    assert!(reported.contains(&CrashId(1)));
}

// Guards against a new crash that waits until all earlier ones have been reported again.
#[test]
fn own_crash_is_in_the_next_digests_before_all_that_were_reported() {
    let mut table = crash_table(100);
    (0..30).for_each(|other| {
        record_from(&mut table, SuspectKey(100 + other), other, CrashSource::Peer);
    });
    (0..20).for_each(|_| drop(table.next_reports(REPORTS)));
    record(&mut table, REQUEST, 50);
    for _ in 0..3 {
        let reports = table.next_reports(REPORTS);
        assert!(reports.iter().any(|report| report.suspect == REQUEST));
    }
}

#[test]
fn daemon_that_starts_is_told_first_of_the_requests_with_most_crashes() {
    let mut table = crash_table(100);
    (0..30).for_each(|other| record(&mut table, SuspectKey(other + 100), 10 + other));
    (1..=3).for_each(|number| record(&mut table, REQUEST, number));
    let told = table.most_suspected(REPORTS);
    assert!(told[..3].iter().all(|report| report.suspect == REQUEST), "{told:?}");
}

// Guards against a request that is sent again because the records of other requests took its place.
#[test]
fn full_table_keeps_the_requests_with_most_crashes() {
    let mut table = crash_table(4);
    (1..=3).for_each(|number| record(&mut table, REQUEST, number));
    (0..30).for_each(|other| record(&mut table, SuspectKey(100 + other), 10 + other));
    assert!(table.refused_until(REQUEST, at(100)).is_some());
    assert_eq!(table.len(), 4);
    let other = CrashRecord {
        suspect: SuspectKey(500),
        crash: CrashId(50),
        noticed_at: at(50),
        expires_at: at(600_050),
        source: CrashSource::Own,
    };
    let CrashOutcome::New { dropped: Some(dropped) } = table.record_crash(other) else {
        panic!("the full table dropped no request")
    };
    assert_eq!(dropped.crashes, 1);
}

#[test]
fn request_is_refused_from_the_limit_of_crashes_until_it_expires() {
    let mut table = crash_table(4);
    (1..=2).for_each(|number| record(&mut table, REQUEST, number));
    record(&mut table, REQUEST, 2);
    assert_eq!(table.refused_until(REQUEST, at(3)), None, "the same crash counts once");
    record(&mut table, REQUEST, 3);
    assert_eq!(table.refused_until(REQUEST, at(4)), Some(at(600_003)));
    assert_eq!(table.refused_until(REQUEST, at(600_003)), None);
    assert_eq!(table.expire(at(600_003)), [(REQUEST, 3)]);
}

#[test]
fn completed_request_is_cleared_also_of_crashes_reported_again() {
    let mut table = crash_table(4);
    (1..=3).for_each(|number| record(&mut table, REQUEST, number));
    assert_eq!(table.record_completion(REQUEST, at(3)), 3);
    record(&mut table, REQUEST, 3);
    assert_eq!(table.refused_until(REQUEST, at(4)), None);
    assert_eq!(table.summary(REQUEST), None);
}

// Guards against a request that crashes three targets after each end of its refusal.
#[test]
fn request_that_crashes_a_target_after_its_refusal_is_refused_at_once_and_for_longer() {
    let options = CrashOptions {
        limit: LIMIT,
        first_refusal_ms: 60_000,
        max_refusal_ms: 100_000,
        ..CrashOptions::default()
    };
    let mut table = CrashTable::new(options);
    (1..=3).for_each(|number| record(&mut table, REQUEST, number));
    assert_eq!(table.refused_until(REQUEST, at(4)), Some(at(60_003)));
    assert_eq!(table.refused_until(REQUEST, at(60_003)), None, "it may be sent again");
    record(&mut table, REQUEST, 70_000);
    assert_eq!(table.refused_until(REQUEST, at(70_000)), Some(at(170_000)), "120 s, at most 100 s");
    table.record_completion(REQUEST, at(70_001));
    assert_eq!(table.refused_until(REQUEST, at(70_001)), None);
}

// Guards against the refusal of a request that many callers send alike, such as a status lookup,
// because some of them were in flight at crashes that another request caused.
#[test]
fn request_that_completes_elsewhere_is_not_blamed_for_crashes_at_the_same_time() {
    let mut table = crash_table(4);
    for number in 1..=10 {
        table.record_completion(REQUEST, at(1_000 * number));
        let (crash, noticed_at) = (CrashId(number), at(1_000 * number + 500));
        let record = CrashRecord {
            suspect: REQUEST,
            crash,
            noticed_at,
            expires_at: at(600_000),
            source: CrashSource::Own,
        };
        assert_eq!(table.record_crash(record), CrashOutcome::Completed);
    }
    assert_eq!(table.refused_until(REQUEST, at(11_000)), None);
    (1..=3).for_each(|number| record(&mut table, REQUEST, 30_000 + number));
    assert!(table.refused_until(REQUEST, at(30_010)).is_some(), "it no longer completes");
}

// Guards against concurrent requests that each crash a target when a refusal ends, and against trials
// without end: the users' rule allows three sends after the refusal.
#[test]
fn one_trial_at_a_time_follows_a_refusal_and_at_most_three_fail() {
    let options = CrashOptions {
        limit: LIMIT,
        first_refusal_ms: 60_000,
        refusal_factor: 4,
        max_failed_trials: 3,
        ..CrashOptions::default()
    };
    let mut table = CrashTable::new(options);
    let crash = |table: &mut CrashTable, number: u64, noticed_ms: u64| {
        table.record_crash(CrashRecord {
            suspect: REQUEST,
            crash: CrashId(number),
            noticed_at: at(noticed_ms),
            expires_at: at(noticed_ms + 86_400_000),
            source: CrashSource::Own,
        });
    };
    (1..=5).for_each(|number| crash(&mut table, number, number));
    let mut trial_at = 60_005;
    for (failed, refusal_ms) in [240_000, 960_000, 86_400_000].into_iter().enumerate() {
        let judgement = table.judge(&[REQUEST], at(trial_at - 1));
        assert!(matches!(judgement, CrashJudgement::Refused(_)), "{failed} failed: {judgement:?}");
        let judgement = table.judge(&[REQUEST], at(trial_at));
        assert!(matches!(judgement, CrashJudgement::Trial(_)), "{failed} failed: {judgement:?}");
        let ends_at = at(trial_at + 2_000);
        assert!(table.begin_trial(REQUEST, 1, at(trial_at), ends_at));
        assert!(!table.begin_trial(REQUEST, 2, at(trial_at + 1_999), at(trial_at + 9_000)));
        assert!(table.begin_trial(REQUEST, 1, at(trial_at + 1_999), ends_at), "its next attempt");
        crash(&mut table, 10 + failed as u64, trial_at + 100);
        trial_at += 100 + refusal_ms;
    }
    assert!(matches!(table.judge(&[REQUEST], at(trial_at - 1)), CrashJudgement::Refused(_)));
}

#[test]
fn trial_that_completes_ends_the_suspicion() {
    let options = CrashOptions { first_refusal_ms: 60_000, ..CrashOptions::default() };
    let mut table = CrashTable::new(options);
    (1..=3).for_each(|number| record(&mut table, REQUEST, number));
    assert!(table.begin_trial(REQUEST, 1, at(60_010), at(70_000)));
    table.record_completion(REQUEST, at(60_500));
    assert_eq!(table.judge(&[REQUEST], at(60_501)), CrashJudgement::Clear);
}

// Guards against suspects below the limit that fill table and digests as long as those at the limit.
#[test]
fn suspects_below_the_limit_expire_earlier() {
    let options = CrashOptions { below_limit_ms: 1_000, ..CrashOptions::default() };
    let mut table = CrashTable::new(options);
    let other = SuspectKey(8);
    (1..=3).for_each(|number| record(&mut table, REQUEST, number));
    (1..=2).for_each(|number| record(&mut table, other, number));
    assert_eq!(table.expire(at(1_001)), []);
    assert_eq!(table.expire(at(1_002)), [(other, 2)]);
    assert!(table.refused_until(REQUEST, at(1_002)).is_some());
}

#[test]
fn only_the_last_completions_are_stored() {
    let mut table = crash_table(4);
    table.record_completion(REQUEST, at(1));
    for other in 100..104 {
        table.record_completion(SuspectKey(other), at(2));
    }
    (2..=4).for_each(|number| record(&mut table, REQUEST, number));
    assert!(table.refused_until(REQUEST, at(5)).is_some());
}

// Guards against a daemon that refuses a request which completes on all others: it had been told of
// crashes before its own first completion.
#[test]
fn request_that_completes_on_one_daemon_is_cleared_on_the_others() {
    let (mut told, mut other) = (crash_table(4), crash_table(4));
    other.record_completion(REQUEST, at(0));
    for number in 1..=3 {
        record(&mut told, REQUEST, number);
        record_from(&mut other, REQUEST, number, CrashSource::Peer);
    }
    assert!(told.refused_until(REQUEST, at(10)).is_some());
    let exonerated = other.next_exonerated(8);
    assert_eq!(exonerated, [REQUEST]);
    assert_eq!(told.record_peer_completion(exonerated[0], at(10)), 3);
    assert_eq!(told.refused_until(REQUEST, at(10)), None);
    assert_eq!(told.next_exonerated(8), [], "only the daemon that saw the completion reports it");
    (0..10).for_each(|_| drop(other.next_exonerated(8)));
    assert_eq!(other.next_exonerated(8), [], "it is reported in a few digests only");
}
