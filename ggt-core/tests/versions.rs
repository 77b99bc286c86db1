//! Software versions: which of them may have begun a stream, and at which targets a stream goes on.

mod pool_fixture;

use crate::pool_fixture::SLOTS;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::ChoiceReason;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::SlotDuration;
use ggt_core::targets::StatedStart;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetRecord;
use ggt_core::versions::OriginReply;
use ggt_core::versions::OriginVerdict;
use ggt_core::versions::OtherLosses;
use ggt_core::versions::PastChange;
use ggt_core::versions::PastState;
use ggt_core::versions::PastVersions;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::SoftwareVersion;
use ggt_core::versions::StreamKey;
use ggt_core::versions::VersionHistory;
use ggt_core::versions::VersionState;
use ggt_core::versions::judge_replies;

const MEMORY_MS: u64 = 20_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + millis)
}

fn old() -> SoftwareVersion {
    SoftwareVersion::named("v1")
}

fn new() -> SoftwareVersion {
    SoftwareVersion::named("v1.1")
}

fn service() -> ServiceKey {
    ServiceKey::named("s")
}

/// A pool of `old_count` targets of the old version and `new_count` of the new one.
fn mixed_pool(old_count: usize, new_count: usize) -> TargetPool {
    let mut pool = pool_of(old_count);
    let all = pool_of(old_count + new_count);
    let records = all.iter().map(|(_, state)| state.record.clone());
    for record in records.skip(old_count) {
        pool.put(TargetRecord { version: new(), ..record });
    }
    pool
}

fn keys_of(pool: &TargetPool, version: SoftwareVersion) -> Vec<TargetKey> {
    let same = pool.iter().filter(|(_, state)| state.record.version == version);
    same.map(|(key, _)| key).collect()
}

fn pinned(version: SoftwareVersion, spread_hash: u64) -> ChoiceQuery<'static> {
    ChoiceQuery { version: Some(version), ..query(0, spread_hash) }
}

// Guards against a stream that goes on at another version because that has more room or is healthier.
#[test]
fn pattern_a_stream_goes_on_only_at_its_version_whatever_the_load() {
    let mut pool = mixed_pool(1, 5);
    let only = keys_of(&pool, old())[0];
    for _ in 0..3 * SLOTS {
        pool.record_send(only, &Default::default(), false, at(0));
    }
    for round in 0..5 {
        pool.record_outcome(only, SendOutcome::Bad, at(round));
    }
    for hash in 0..50 {
        let choice = pool.choose(&pinned(old(), hash), at(10)).expect("should choose");
        assert_eq!(choice.key, only);
        let choice = pool.choose(&pinned(new(), hash), at(10)).expect("should choose");
        assert_ne!(choice.key, only);
    }
}

// Guards against streams that are refused because the few targets left of their version are full, while
// new streams begin at the other version.
#[test]
fn pattern_a_stream_goes_on_at_a_full_target_of_its_version_during_a_release() {
    let mut pool = mixed_pool(2, 16);
    for key in keys_of(&pool, old()) {
        for _ in 0..4 * SLOTS {
            pool.record_send(key, &Default::default(), false, at(0));
        }
        pool.record_slot_time(
            key,
            SlotDuration { load: 1, total_ms: 1_000, has_prompt: true },
            at(0),
        );
    }
    assert!(pool.choose(&query(0, 1), at(0)).is_ok(), "new streams begin");
    assert!(pool.choose(&pinned(old(), 1), at(0)).is_ok());
}

// Guards against requests at targets that leave, and against streams that cannot go on in the moment in
// which the last targets of their version begin to.
#[test]
fn leaving_targets_take_streams_of_their_version_for_a_moment_only() {
    let mut pool = mixed_pool(1, 2);
    let record = pool.iter().find(|(_, state)| state.record.version == old());
    let record = record.map(|(_, state)| state.record.clone()).expect("should be there");
    pool.put(TargetRecord { is_leaving: true, ..record.clone() });
    pool.record_leaving_since(&record.id, at(0));
    assert!(pool.choose(&pinned(old(), 1), at(500)).is_ok());
    let leaving = keys_of(&pool, old())[0];
    assert!(!pool.record_leaving(leaving, at(700)), "its replies state it as well");
    pool.record_leaving_since(&record.id, at(800));
    assert_eq!(pool.choose(&pinned(old(), 1), at(1_500)), Err(ChoiceError::NoVersion));
    for hash in 0..50 {
        let choice = pool.choose(&query(0, hash), at(500)).expect("should choose");
        assert_ne!(pool.target(choice.key).map(|state| state.record.version), Some(old()));
    }
}

#[test]
fn stream_whose_version_has_no_target_is_refused() {
    let pool = mixed_pool(0, 3);
    assert_eq!(pool.choose(&pinned(old(), 1), at(0)), Err(ChoiceError::NoVersion));
}

// Guards against a stream that goes on at a target that has just come back, perhaps with a version that the
// platform does not list yet.
#[test]
fn stream_is_no_trial_request() {
    let mut pool = mixed_pool(2, 0);
    let keys = keys_of(&pool, old());
    pool.record_outcome(keys[0], SendOutcome::Unreachable, at(0));
    let trial = pool.choose(&query(0, 1), at(600)).expect("should choose");
    assert_eq!((trial.key, trial.reason), (keys[0], ChoiceReason::Trial));
    let choice = pool.choose(&pinned(old(), 1), at(600)).expect("should choose");
    assert_eq!(choice.key, keys[1]);
}

#[test]
fn target_without_a_version_fits_only_the_same_incarnation() {
    let unnamed = SoftwareVersion::unnamed("i-1", 1);
    assert_eq!(unnamed, SoftwareVersion::unnamed("i-1", 1));
    assert_ne!(unnamed, SoftwareVersion::unnamed("i-1", 2));
    assert_ne!(unnamed, SoftwareVersion::unnamed("i-2", 1));
    assert_ne!(unnamed, SoftwareVersion::named(""));
}

// Guards against a stream of unknown origin that goes on although it may have begun at a version that has
// just gone, or that this daemon could not see.
#[test]
fn service_has_a_single_version_only_after_a_whole_memory_without_a_gap() {
    let mut history = VersionHistory::default();
    let state = |history: &VersionHistory, millis| history.state(service(), MEMORY_MS, at(millis));
    history.record_view(true, at(0));
    for millis in (0..=30_000).step_by(100) {
        history.record_target(service(), old(), at(millis));
    }
    assert_eq!(state(&history, 19_900), VersionState::Open { listed: Some(old()) });
    assert_eq!(state(&history, 20_000), VersionState::Single(old()));
    history.record_target(service(), new(), at(21_000));
    assert_eq!(state(&history, 30_000), VersionState::Open { listed: None });
    history.expire(MEMORY_MS, at(41_100));
    history.record_target(service(), old(), at(41_100));
    assert_eq!(state(&history, 41_100), VersionState::Single(old()));
    history.record_view(false, at(41_200));
    assert_eq!(state(&history, 41_200), VersionState::Open { listed: Some(old()) });
    history.record_view(true, at(41_300));
    assert_eq!(state(&history, 50_000), VersionState::Open { listed: Some(old()) });
}

#[test]
fn first_start_of_the_system_has_no_streams_of_before() {
    let mut history = VersionHistory::default();
    history.record_first_start();
    history.record_view(true, at(0));
    history.record_target(service(), old(), at(0));
    assert_eq!(history.state(service(), MEMORY_MS, at(10)), VersionState::Single(old()));
    assert!(!history.has_open_service(MEMORY_MS, at(10)));
}

// Guards against a customer that learns of the streams of another, or goes on with them.
#[test]
fn stream_keys_differ_by_customer_and_service() {
    let key = |customer, service| StreamKey::new(customer, service, "a1");
    assert_ne!(key("c1", "s"), key("c2", "s"));
    assert_ne!(key("c1", "s"), key("c1", "t"));
    assert_ne!(StreamKey::new("c", "1s", "a"), StreamKey::new("c1", "s", "a"));
}

/// Unix time in milliseconds of the start of a target that ran before any stream that is still taken up.
const LONG_AGO: u64 = 50_000;
/// Unix time in milliseconds since which such streams may have begun.
const BEGINS_AT: u64 = 100_000;

/// A change of the entry of a target that started at this Unix time.
fn past_change(id: &str, version: SoftwareVersion, born: u64, is_new: bool) -> PastChange {
    let state = PastState::Registered { service: service(), version, born, is_new };
    PastChange { target_id: id.to_owned(), state }
}

fn past_removal(id: &str) -> PastChange {
    PastChange { target_id: id.to_owned(), state: PastState::Removed }
}

// Guards against a service that counts as having had one version, as that of targets that have left is not read.
#[test]
fn history_shows_versions_that_have_left() {
    let changes = [
        past_change("i-1", old(), LONG_AGO, true),
        past_removal("i-1"),
        past_change("i-2", new(), LONG_AGO, true),
    ];
    for is_whole in [true, false] {
        let mut history = VersionHistory::default();
        history.record_target(service(), new(), at(20_000));
        history.record_past(&PastVersions::review(&changes, BEGINS_AT), is_whole, at(20_000));
        assert_eq!(
            history.state(service(), MEMORY_MS, at(20_000)),
            VersionState::Open { listed: None }
        );
        assert_eq!(history.only_seen(service(), MEMORY_MS, at(20_000)), None);
    }
}

// Guards against streams that are refused after a restart although there has been one version only.
#[test]
fn whole_history_of_one_version_shows_that_there_has_been_no_other() {
    let past = PastVersions::review(&[past_change("i-1", old(), LONG_AGO, true)], BEGINS_AT);
    let mut history = VersionHistory::default();
    history.record_view(true, at(40_000));
    history.record_target(service(), old(), at(40_000));
    assert_eq!(history.only_seen(service(), MEMORY_MS, at(40_000)), None);
    history.record_past(&past, true, at(40_000));
    assert_eq!(history.state(service(), MEMORY_MS, at(40_000)), VersionState::Single(old()));
    history.record_view(false, at(40_100));
    assert_eq!(history.only_seen(service(), MEMORY_MS, at(40_100)), Some(old()));
}

// Guards against a history that is taken for complete although the store has discarded some of it, early or not: the
// entries that are left do not show which versions were there before.
#[test]
fn history_that_is_not_whole_proves_no_single_version() {
    for changes in [vec![], vec![past_change("i-1", old(), LONG_AGO, true)]] {
        let mut history = VersionHistory::default();
        history.record_view(true, at(40_000));
        history.record_target(service(), old(), at(40_000));
        history.record_past(&PastVersions::review(&changes, BEGINS_AT), false, at(40_000));
        let open = VersionState::Open { listed: Some(old()) };
        assert_eq!(history.state(service(), MEMORY_MS, at(40_000)), open);
        assert_eq!(history.only_seen(service(), MEMORY_MS, at(40_000)), None);
    }
}

// Guards against a version that the changes do not name: an entry that was there before them, or was unreadable.
#[test]
fn history_with_entries_of_unknown_content_proves_no_single_version() {
    let unreadable = PastChange { target_id: "i-2".to_owned(), state: PastState::Unreadable };
    for change in [past_removal("i-9"), past_change("i-1", old(), BEGINS_AT, false), unreadable] {
        let past = PastVersions::review(&[change], BEGINS_AT);
        assert!(past.has_unknown());
        let mut history = VersionHistory::default();
        history.record_view(true, at(40_000));
        history.record_target(service(), old(), at(40_000));
        history.record_past(&past, true, at(40_000));
        let open = VersionState::Open { listed: Some(old()) };
        assert_eq!(history.state(service(), MEMORY_MS, at(40_000)), open);
    }
    let named = [past_change("i-1", old(), LONG_AGO, true), past_removal("i-1")];
    assert!(!PastVersions::review(&named, BEGINS_AT).has_unknown());
}

// Guards against a daemon that takes what it has not read yet for nothing, and one that waits for it for ever.
#[test]
fn past_is_pending_until_it_is_read_or_too_old_to_matter() {
    let mut history = VersionHistory::default();
    history.record_pending_past();
    history.record_view(true, at(0));
    let losses = |history: &VersionHistory, millis| {
        history.other_losses(service(), new(), MEMORY_MS, at(millis))
    };
    assert!(history.is_past_pending(MEMORY_MS, at(MEMORY_MS - 1)));
    assert_eq!(losses(&history, MEMORY_MS - 1), OtherLosses::Unread);
    assert!(!history.is_past_pending(MEMORY_MS, at(MEMORY_MS)));
    assert_eq!(losses(&history, MEMORY_MS), OtherLosses::None);
    let left = [past_change("i-1", old(), LONG_AGO, true), past_removal("i-1")];
    history.record_past(&PastVersions::review(&left, BEGINS_AT), false, at(100));
    assert!(!history.is_past_pending(MEMORY_MS, at(200)));
    assert_eq!(losses(&history, 200), OtherLosses::Known);
}

// Guards against daemons that leave the history to others and take what they hear for less than it is.
#[test]
fn past_that_a_peer_knows_names_its_versions_and_departures() {
    let mut reader = VersionHistory::default();
    let left =
        [past_change("i-1", old(), LONG_AGO, true), past_removal("i-1"), past_removal("i-9")];
    reader.record_past(&PastVersions::review(&left, BEGINS_AT), true, at(0));
    reader.record_target(service(), new(), at(10));
    let told = reader.recent_past(MEMORY_MS, at(MEMORY_MS));
    let mut follower = VersionHistory::default();
    follower.record_pending_past();
    follower.record_target(service(), new(), at(50));
    follower.record_past(&told, false, at(100));
    assert_eq!(follower.other_losses(service(), new(), MEMORY_MS, at(100)), OtherLosses::Known);
    let several = VersionState::Open { listed: None };
    assert_eq!(follower.state(service(), MEMORY_MS, at(100)), several);
    assert_eq!(reader.recent_past(MEMORY_MS, at(MEMORY_MS + 11)), PastVersions::default());
}

// Guards against a cached part that is taken for the one of a stream whose target has ended with its cache.
#[test]
fn targets_that_have_ended_are_known_for_as_long_as_their_streams_last() {
    let unknown = SoftwareVersion::named("v9");
    let lost = |changes: &[PastChange], version| {
        let mut history = VersionHistory::default();
        history.record_view(true, at(0));
        history.record_past(&PastVersions::review(changes, BEGINS_AT), false, at(0));
        let losses = |millis| history.other_losses(service(), version, MEMORY_MS, at(millis));
        let (at_start, at_end) = (losses(0), losses(MEMORY_MS));
        assert!(
            at_start == at_end || (at_start, at_end) == (OtherLosses::Unknown, OtherLosses::None)
        );
        history.expire(MEMORY_MS, at(MEMORY_MS + 1));
        let later = history.other_losses(service(), version, MEMORY_MS, at(MEMORY_MS + 1));
        assert_eq!(later, OtherLosses::None);
        at_end
    };
    let is_lost = |changes: &[PastChange], version| lost(changes, version) == OtherLosses::Known;
    let left = [past_change("i-1", old(), LONG_AGO, true), past_removal("i-1")];
    assert!(is_lost(&left, new()) && !is_lost(&left, old()));
    let restarted =
        [past_change("i-1", old(), LONG_AGO, true), past_change("i-1", new(), BEGINS_AT, false)];
    assert!(is_lost(&restarted, new()) && !is_lost(&restarted, old()));
    // The entry of a target that has run for long has only changed its state.
    let drains = [past_change("i-1", old(), LONG_AGO, false)];
    assert!(!is_lost(&drains, new()));
    for change in [past_removal("i-1"), past_change("i-1", old(), BEGINS_AT, false)] {
        assert_eq!(lost(&[change], unknown), OtherLosses::Unversioned);
    }
}

fn knows(version: SoftwareVersion) -> OriginReply {
    OriginReply { version: Some(version), only_version: None }
}

fn only(version: SoftwareVersion) -> OriginReply {
    OriginReply { version: None, only_version: Some(version) }
}

// Guards against a daemon that has heard nothing of a new version and takes the one that it knows for the only
// one.
#[test]
fn pattern_a_daemon_out_of_step_does_not_vouch_for_its_own_version() {
    let view = VersionState::Single(old());
    let judge = |replies: &[OriginReply]| judge_replies(replies, 3, view);
    assert_eq!(judge(&[]), OriginVerdict::Unknown, "all peers are silent");
    assert_eq!(judge(&[only(old())]), OriginVerdict::Unknown, "one may be as much out of step");
    assert_eq!(judge(&[only(old()), only(old())]), OriginVerdict::Only(old()));
    assert_eq!(judge(&[only(old()), knows(new())]), OriginVerdict::Known(new()));
    assert_eq!(judge(&[knows(old()), knows(new())]), OriginVerdict::Conflict);
    assert_eq!(judge(&[only(new())]), OriginVerdict::Conflict);
    let restarted = OriginReply::default();
    assert_eq!(judge(&[restarted; 3]), OriginVerdict::Unknown, "nor do those that know nothing");
}

// Guards against the refusal of streams after a restart where another daemon has seen one version only.
#[test]
fn one_peer_vouches_for_the_listed_version_to_a_daemon_that_has_just_started() {
    let view = VersionState::Open { listed: Some(old()) };
    assert_eq!(judge_replies(&[only(old())], 3, view), OriginVerdict::Only(old()));
    assert_eq!(judge_replies(&[only(new())], 3, view), OriginVerdict::Conflict);
    let mixed = VersionState::Open { listed: None };
    assert_eq!(judge_replies(&[only(old())], 3, mixed), OriginVerdict::Unknown);
}

// Guards against a stream that goes on at a target whose incarnation has ended, though something replies there, and
// against one that stays refused although the target says that it is the registered incarnation.
#[test]
fn target_that_has_ended_serves_no_stream_of_its_version_until_its_start_is_known() {
    let mut pool = mixed_pool(1, 2);
    let ended = keys_of(&pool, old())[0];
    let choose = |pool: &TargetPool, millis| pool.choose(&pinned(old(), 1), at(millis));
    assert_eq!(choose(&pool, 0).map(|choice| choice.key), Ok(ended));
    let crash = pool.target(ended).expect("a target").crash_id();
    assert!(pool.record_end_of(crash, at(0)) && !pool.record_end_of(crash, at(0)));
    pool.record_outcome(ended, SendOutcome::Good, at(100));
    assert_eq!(choose(&pool, 100), Err(ChoiceError::NoVersion));
    let version = pool.target(ended).expect("a target").version();
    assert!(version != old() && version != new());
    assert_eq!(pool.choose(&pinned(version, 1), at(100)).map(|choice| choice.key), Ok(ended));
    // It is asked some time after its first reply, and now and then until it says its start.
    assert!(pool.due_lifetime_checks(at(2_000)).is_empty());
    assert_eq!(pool.due_lifetime_checks(at(2_100)), [ended]);
    assert!(pool.due_lifetime_checks(at(12_000)).is_empty());
    assert_eq!(pool.due_lifetime_checks(at(12_100)), [ended]);
    let mut is_confirmed = || pool.apply_start(ended, StatedStart::Registered, at(12_100));
    assert!(is_confirmed() && !is_confirmed());
    assert_eq!(choose(&pool, 12_200).map(|choice| choice.key), Ok(ended));
    assert!(pool.due_lifetime_checks(at(60_000)).is_empty());
    // A registration of a new incarnation says which version is there.
    assert!(pool.record_end_of(crash, at(60_000)));
    let record = pool.target(ended).expect("a target").record.clone();
    let incarnation = record.incarnation + 1;
    assert!(pool.put(TargetRecord { incarnation, version: new(), ..record }));
    assert_eq!(keys_of(&pool, new()).len(), 3);
    assert_eq!(choose(&pool, 60_000), Err(ChoiceError::NoVersion));
}
