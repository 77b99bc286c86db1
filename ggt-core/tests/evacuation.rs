//! Data centres that the operator evacuates: what their targets still get, and what requests get instead.

mod centre_fixture;
mod pool_fixture;

use crate::centre_fixture::two_centres;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use crate::pool_fixture::record;
use ggt_core::clock::MonoTime;
use ggt_core::evacuation::EvacuationTable;
use ggt_core::prompts::PrefixChain;
use ggt_core::prompts::PromptPart;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::SlotDuration;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetRecord;
use ggt_core::versions::SoftwareVersion;

/// Data centre that is evacuated in these tests.
const EVACUATED: &str = "a";

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn centre_of(pool: &TargetPool, key: TargetKey) -> String {
    pool.target(key).map(|state| state.record.data_centre.clone()).unwrap_or_default()
}

fn keys_in(pool: &TargetPool, data_centre: &str) -> Vec<TargetKey> {
    let targets = pool.iter().filter(|(_, state)| state.record.data_centre == data_centre);
    targets.map(|(key, _)| key).collect()
}

fn chain() -> PrefixChain {
    let part = |hash: &str| PromptPart { hash: hash_of(hash), tokens: 4_000 };
    PrefixChain::new("m", &[part("shared"), part("own")])
}

fn hash_of(text: &str) -> u64 {
    ggt_core::ident::stable_hash(text.as_bytes())
}

// Guards against an evacuation that ends while it is listed, or that is ended twice.
#[test]
fn evacuation_stands_until_it_is_unlisted_and_its_end_has_come() {
    let mut table = EvacuationTable::default();
    assert!(table.begin("a", at(100)) && !table.begin("a", at(200)));
    assert!(table.expire(at(1_000_000)).is_empty() && table.contains("a"));
    assert!(table.end_at("a", at(5_000)) && !table.end_at("a", at(5_000)));
    assert!(!table.end_at("b", at(5_000)), "never evacuated");
    assert!(table.expire(at(4_999)).is_empty());
    let ended = table.expire(at(5_000));
    assert_eq!((ended.len(), ended[0].began_at), (1, at(100)));
    assert!(table.is_empty() && table.expire(at(9_000)).is_empty());
}

// Guards against an evacuation that a store restored from an older copy seems to have ended: it is written again.
#[test]
fn evacuation_that_is_listed_again_before_its_end_stands_on() {
    let mut table = EvacuationTable::default();
    table.begin("a", at(0));
    table.end_at("a", at(2_200));
    assert!(!table.begin("a", at(1_000)), "it was in force all the while");
    assert!(table.expire(at(60_000)).is_empty() && table.contains("a"));
}

// Guards against any kind of send to an evacuated data centre, however empty or close its targets are.
#[test]
fn evacuated_targets_get_no_request_of_any_kind() {
    let mut pool = two_centres();
    let chain = chain();
    let evacuated = keys_in(&pool, EVACUATED);
    pool.record_send(evacuated[0], &chain, false, at(0));
    pool.record_end(evacuated[0]);
    pool.record_outcome(evacuated[1], SendOutcome::Unreachable, at(0));
    pool.evacuations.begin(EVACUATED, at(10));
    let tried = [keys_in(&pool, "b")[0]];
    let version = Some(SoftwareVersion::named("v1"));
    for hash in 0..200 {
        let plain = query(0, hash);
        let queries = [
            plain.clone(),
            ChoiceQuery { tried: &tried, may_have_run: true, ..plain.clone() },
            ChoiceQuery { chain: Some(&chain), ..plain.clone() },
            ChoiceQuery { chain: Some(&chain), version, ..plain.clone() },
            ChoiceQuery { silent_since: Some(at(20)), ..plain },
        ];
        for query in &queries {
            let choice = pool.choose(query, at(1_000)).expect("the other data centre has room");
            assert_eq!(centre_of(&pool, choice.key), "b", "{query:?}");
        }
    }
    assert!(!pool.may_resend(evacuated[0], at(1_000)) && pool.may_resend(tried[0], at(1_000)));
}

// Guards against requests that wait, or are sent all the same, when nothing but evacuated targets could serve them.
#[test]
fn service_that_is_evacuated_as_a_whole_refuses_at_once() {
    let mut pool = two_centres();
    pool.evacuations.begin("a", at(0));
    pool.evacuations.begin("b", at(0));
    assert_eq!(pool.choose(&query(0, 1), at(10)).map(|c| c.key), Err(ChoiceError::Evacuated));
    assert_eq!(pool.staying_targets("s").count(), 0);
    pool.evacuations.end_at("b", at(20));
    pool.evacuations.expire(at(20));
    assert!(pool.choose(&query(0, 1), at(30)).is_ok());
}

// Guards against a stream that goes on at another version because its own serves only in an evacuated data centre.
#[test]
fn stream_whose_version_is_evacuated_is_refused() {
    let mut pool = pool_of(2);
    let version = SoftwareVersion::named("v2");
    for number in 2..4 {
        pool.put(TargetRecord { data_centre: "b".to_owned(), version, ..record(number) });
    }
    pool.evacuations.begin(EVACUATED, at(0));
    let old = ChoiceQuery { version: Some(SoftwareVersion::named("v1")), ..query(0, 1) };
    assert_eq!(pool.choose(&old, at(10)).map(|c| c.key), Err(ChoiceError::NoVersion));
}

// Guards against admission that counts the room of targets which may not be used.
#[test]
fn pattern_room_of_evacuated_targets_does_not_count() {
    let mut pool = two_centres();
    let empty = PrefixChain::default();
    for key in pool.iter().map(|(key, _)| key).collect::<Vec<_>>() {
        pool.record_slot_time(
            key,
            SlotDuration { load: 1, total_ms: 100, has_prompt: true },
            at(0),
        );
    }
    for key in keys_in(&pool, "b") {
        (0..8).for_each(|_| drop(pool.record_send(key, &empty, false, at(0))));
    }
    let before = pool.utilisation(&query(0, 1), at(10));
    pool.evacuations.begin(EVACUATED, at(10));
    let after = pool.utilisation(&query(0, 1), at(10));
    assert!((after - 2.0 * before).abs() < 1e-9, "{before} before, {after} after");
}

// Guards against caches that are lost at once, and against copies from targets that may be gone.
#[test]
fn caches_of_an_evacuated_data_centre_are_copied_from_for_a_short_time() {
    let mut pool = two_centres();
    let chain = chain();
    let holder = keys_in(&pool, EVACUATED)[0];
    pool.record_send(holder, &chain, false, at(0));
    pool.record_end(holder);
    pool.evacuations.begin(EVACUATED, at(1_000));
    let moved = ChoiceQuery { chain: Some(&chain), ..query(0, 1) };
    let source = |now| pool.choose(&moved, now).map(|choice| choice.source);
    assert_eq!(source(at(5_900)), Ok(Some(holder)));
    assert_eq!(source(at(6_100)), Ok(None));
}
