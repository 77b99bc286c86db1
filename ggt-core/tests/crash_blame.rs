//! Which suspect is blamed for crashes, by what the requests that were in flight at them share.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::CrashJudgement;
use ggt_core::crashes::CrashOptions;
use ggt_core::crashes::CrashRecord;
use ggt_core::crashes::CrashSource;
use ggt_core::crashes::CrashTable;
use ggt_core::crashes::RequestSuspects;
use ggt_core::crashes::SuspectKey;
use ggt_core::prompts::PromptPart;

/// Crashes after which a suspect is refused.
const LIMIT: u32 = 3;
/// Crashes after which requests with a crashing part must not be sent on: the users' rule allows three
/// sends after the fifth.
const MAX_CRASHES: u64 = 8;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn crash_table() -> CrashTable {
    CrashTable::new(CrashOptions { limit: LIMIT, ..CrashOptions::default() })
}

/// A request of its own whose prompt shares these parts with others.
fn request(number: u64, shared: &[u64]) -> RequestSuspects {
    let parts = shared.iter().chain([&number]).map(|hash| PromptPart { hash: *hash, tokens: 1 });
    RequestSuspects::new(SuspectKey(number)).with_parts(&parts.collect::<Vec<_>>())
}

/// Records that a request was in flight at the crash with this number.
fn record(table: &mut CrashTable, request: &RequestSuspects, crash: u64) {
    for suspect in request.keys() {
        table.record_crash(CrashRecord {
            suspect: *suspect,
            crash: CrashId(crash),
            noticed_at: at(crash),
            expires_at: at(1_000_000),
            source: CrashSource::Own,
        });
    }
}

fn is_refused(table: &CrashTable, request: &RequestSuspects) -> bool {
    matches!(table.judge(request.keys(), at(100)), CrashJudgement::Refused(_))
}

const FIRST: u64 = 0xa1;
const BAD: u64 = 0xbad;
const SOUND: u64 = 0x50;

// Guards against requests that are all different and crash targets by one part of their prompts.
#[test]
fn part_that_is_present_at_three_crashes_is_blamed_whatever_else_the_request_holds() {
    let mut table = crash_table();
    for number in 1..=3 {
        assert!(!is_refused(&table, &request(number, &[FIRST, BAD])));
        record(&mut table, &request(number, &[FIRST, BAD]), number);
    }
    assert!(is_refused(&table, &request(4, &[FIRST, BAD])));
}

// Guards against a part that is not blamed below other parts, since the one above it was present at
// the first crashes, too.
#[test]
fn part_is_blamed_below_another_part_after_a_few_more_crashes() {
    let mut table = crash_table();
    (1..=3).for_each(|number| record(&mut table, &request(number, &[FIRST, BAD]), number));
    (4..=5).for_each(|number| record(&mut table, &request(number, &[0xa2, BAD]), number));
    assert!(is_refused(&table, &request(6, &[0xa2, BAD])));
    assert!(!is_refused(&table, &request(7, &[FIRST, SOUND])));
    assert!(!is_refused(&table, &request(8, &[0xa2, SOUND])));
}

// Guards against the refusal of sound requests since their first part is present at each crash.
#[test]
fn part_above_the_crashing_one_is_not_blamed() {
    let mut table = crash_table();
    (1..=9).for_each(|number| record(&mut table, &request(number, &[FIRST, BAD]), number));
    let sound = request(50, &[FIRST, SOUND]);
    assert!(matches!(table.judge(sound.keys(), at(100)), CrashJudgement::Explained { .. }));
}

// Guards against a crashing first part that is not blamed because the parts below it differ.
#[test]
fn crashing_part_with_different_parts_below_it_is_blamed() {
    let mut table = crash_table();
    (1..=3).for_each(|number| record(&mut table, &request(number, &[BAD, 0x100 + number]), number));
    assert!(is_refused(&table, &request(10, &[BAD, SOUND])));
}

// Guards against a crashing first part that is found anew for each part below it.
#[test]
fn crashing_part_is_blamed_although_a_part_below_it_reached_the_limit() {
    let mut table = crash_table();
    for crash in 1..=5 {
        record(&mut table, &request(crash, &[BAD, 0x100 + (crash - 1) / 3]), crash);
    }
    assert!(is_refused(&table, &request(10, &[BAD, SOUND])));
}

// Guards against the refusal of a sound request whose retries went to targets that others crashed.
#[test]
fn request_that_shared_targets_with_crashing_ones_is_not_blamed() {
    let mut table = crash_table();
    let sound = request(50, &[FIRST, SOUND]);
    for number in 1..=3 {
        record(&mut table, &request(number, &[FIRST, BAD]), number);
        record(&mut table, &sound, number);
    }
    assert!(!is_refused(&table, &sound));
    assert!(!is_refused(&table, &request(51, &[FIRST, SOUND])));
}

// Guards against a first call whose own retries crash three targets and so explain the crashes of the
// part.
#[test]
fn part_is_blamed_although_one_request_was_present_at_the_first_crashes() {
    let mut table = crash_table();
    (1..=3).for_each(|crash| record(&mut table, &request(1, &[FIRST, BAD]), crash));
    assert!(is_refused(&table, &request(1, &[FIRST, BAD])));
    (4..=5).for_each(|crash| record(&mut table, &request(crash, &[FIRST, BAD]), crash));
    assert!(is_refused(&table, &request(10, &[FIRST, BAD])));
    assert!(!is_refused(&table, &request(11, &[FIRST, SOUND])));
}

// Guards against a request that is sent as a trial of itself while a part of its prompt is refused.
#[test]
fn refusal_of_one_suspect_goes_before_the_trial_of_another() {
    let options = CrashOptions { limit: LIMIT, first_refusal_ms: 1_000, ..CrashOptions::default() };
    let mut table = CrashTable::new(options);
    let first = request(1, &[BAD]);
    (1..=3).for_each(|crash| record(&mut table, &first, crash));
    (1_500..=1_502).for_each(|crash| record(&mut table, &request(crash, &[BAD]), crash));
    let judgement = table.judge(first.keys(), at(1_600));
    assert!(matches!(judgement, CrashJudgement::Refused(_)), "{judgement:?}");
}

#[test]
fn last_part_of_a_prompt_is_no_suspect() {
    let session = PromptPart { hash: 7, tokens: 1 };
    let keys = RequestSuspects::new(SuspectKey(1)).with_parts(&[session]);
    assert_eq!(keys.keys(), [SuspectKey(1)]);
}

// A random part of either level crashes targets on which sound requests run, too; half of these
// complete. Whatever the order, the part is refused after a bounded number of crashes, and in
// the end no request without it is.
#[test]
fn part_is_found_among_random_requests_and_sound_ones_are_served() {
    for seed in 0..2_000 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut table = crash_table();
        let bad = [0xa0, 0xb0][random.random_range(0..2)];
        let (mut crashes, mut number) = (0, 1_000);
        for step in 0..400 {
            number += 1;
            let shared = [random.random_range(0xa0..0xa3), random.random_range(0xb0..0xb8)];
            let next = request(number, &shared);
            if is_refused(&table, &next) {
                continue;
            }
            if !shared.contains(&bad) {
                if random.random_bool(0.5) {
                    next.keys().iter().for_each(|key| {
                        table.record_completion(*key, at(step));
                    });
                }
                continue;
            }
            crashes += 1;
            record(&mut table, &next, crashes);
            for other in 0..random.random_range(0..4) {
                let shared = [random.random_range(0xa0..0xa3), random.random_range(0xb0..0xb8)];
                if !shared.contains(&bad) {
                    record(&mut table, &request(number + other * 100_000, &shared), crashes);
                }
            }
        }
        assert!(crashes <= MAX_CRASHES, "seed {seed}: {crashes} crashes");
        for (first, second) in (0xa0..0xa3).flat_map(|a| (0xb0..0xb8).map(move |b| (a, b))) {
            let is_bad = [first, second].contains(&bad);
            let is_refused = is_refused(&table, &request(9, &[first, second]));
            assert_eq!(is_refused, is_bad, "seed {seed}: {first:x} {second:x}, bad {bad:x}");
        }
    }
}
