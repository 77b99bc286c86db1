//! Choice of targets under typical load patterns, cached prefixes, and health by outcomes of
//! requests.

use ggt_core::clock::MonoTime;
use ggt_core::ident::mix_hash;
use ggt_core::prompts::PrefixChain;
use ggt_core::prompts::PromptPart;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::ChoiceReason;
use ggt_core::targets::InFlightLoad;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetChoice;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetRecord;
use ggt_core::versions::SoftwareVersion;

const ENGINES: usize = 18;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(1_000 + millis)
}

fn record(number: usize, incarnation: u64) -> TargetRecord {
    TargetRecord {
        id: format!("t{number}"),
        incarnation,
        service: "engines".to_owned(),
        address: ([10, 0, 1, number as u8], 8_000).into(),
        data_centre: ["a", "b", "c"][number % 3].to_owned(),
        version: SoftwareVersion::named("v1"),
        slots: 48,
        is_leaving: false,
        cold_start: Default::default(),
    }
}

fn pool_of(count: usize) -> TargetPool {
    let mut pool = TargetPool::default();
    for number in 0..count {
        pool.put(record(number, 1));
    }
    pool
}

/// A prompt of three parts: one in all prompts, one in all prompts about `subject`, and its own.
fn chain(subject: u64, own: u64) -> PrefixChain {
    let part = |hash, tokens| PromptPart { hash, tokens };
    PrefixChain::new(
        "m",
        &[part(1, 500), part(1_000 + subject, 10_000), part(1_000_000 + own, 1_300)],
    )
}

fn query<'a>(chain: Option<&'a PrefixChain>, tried: &'a [TargetKey]) -> ChoiceQuery<'a> {
    ChoiceQuery {
        service: "engines",
        chain,
        spread_hash: 7,
        goal_ms: 600,
        priority: 0,
        may_have_run: false,
        data_centre: "a",
        tried,
        is_idempotent: true,
        silent_since: None,
        version: None,
        allowed_centres: None,
    }
}

// Guards against a target that left, and gets requests again since the store came back from a copy that
// lists it as ready.
#[test]
fn incarnation_that_announced_its_end_does_not_return_with_an_older_copy_of_the_store() {
    let mut pool = pool_of(2);
    pool.put(TargetRecord { is_leaving: true, ..record(0, 1) });
    pool.record_unlisted("t0", at(0));
    assert_eq!(pool.expire(at(0)).len(), 1);
    pool.put(record(0, 1));
    let others: Vec<_> = pool.of_service("engines").to_vec();
    let is_leaving = |key: &TargetKey| pool.target(*key).is_some_and(|t| t.record.is_leaving);
    assert_eq!(others.iter().filter(|key| is_leaving(key)).count(), 1);
    let mut next = pool.clone();
    next.put(record(0, 2));
    assert!(next.iter().all(|(_, target)| !target.record.is_leaving), "a new incarnation may");
    pool.record_unlisted("t0", at(200_000));
    pool.expire(at(200_000));
    pool.expire(at(400_000));
    pool.put(record(0, 1));
    assert!(pool.iter().all(|(_, target)| !target.record.is_leaving), "it is forgotten");
}

fn choose(pool: &TargetPool, chain: &PrefixChain) -> TargetChoice {
    pool.choose(&query(Some(chain), &[]), at(0)).expect("a target")
}

fn send(pool: &mut TargetPool, subject: u64, own: u64) -> TargetChoice {
    let chain = chain(subject, own);
    let choice = choose(pool, &chain);
    let record = pool.record_send(choice.key, &chain, choice.source.is_some(), at(0));
    pool.record_prefill(choice.key, record.backlog_tokens);
    choice
}

fn key_of(pool: &TargetPool, number: usize) -> TargetKey {
    let id = format!("t{number}");
    pool.iter().find(|(_, state)| state.record.id == id).map(|(key, _)| key).expect("listed")
}

#[test]
fn pattern_returning_chats_go_to_the_target_with_their_prefix_cached() {
    let mut pool = pool_of(ENGINES);
    let first: Vec<_> = (0..40).map(|subject| send(&mut pool, subject, subject).key).collect();
    for (subject, key) in first.iter().enumerate() {
        pool.record_end(*key);
        let next = send(&mut pool, subject as u64, 500 + subject as u64);
        assert_eq!((next.key, next.reason), (*key, ChoiceReason::Cached));
    }
}

// Guards against hundreds of daemons that all send the requests with a popular prefix to the one target that
// was the least loaded when they last heard of it.
#[test]
fn pattern_daemons_with_the_same_old_loads_do_not_all_choose_the_same_target() {
    const REQUESTS: u64 = 400;
    let mut pool = pool_of(ENGINES);
    let chain = chain(1, 1);
    let anchor = chain.placement_prefix().expect("has a shared prefix").hash;
    let holders: Vec<_> = (0..4).map(|number| key_of(&pool, number)).collect();
    let all: Vec<_> = pool.iter().map(|(key, _)| key).collect();
    for key in all.iter().cycle().take(5 * ENGINES) {
        pool.record_send(*key, &PrefixChain::default(), false, at(0));
    }
    for (more, key) in holders.iter().enumerate() {
        pool.record_listed_prefix(*key, anchor, at(0));
        for _ in 0..more {
            pool.record_send(*key, &PrefixChain::default(), false, at(0));
        }
    }
    let chosen = |spread_hash| {
        let query = ChoiceQuery { spread_hash, ..query(Some(&chain), &[]) };
        pool.choose(&query, at(0)).expect("a target").key
    };
    let choices: Vec<_> = (0..REQUESTS).map(chosen).collect();
    let count_of = |key| choices.iter().filter(|choice| *choice == key).count() as u64;
    let counts: Vec<_> = holders.iter().map(count_of).collect();
    assert!(counts.iter().all(|count| *count <= REQUESTS * 6 / 10), "{counts:?}");
    assert!(counts[0] > counts[1], "the less loaded one gets more: {counts:?}");
}

#[test]
fn pattern_one_hot_prefix_spreads_before_a_target_is_overloaded() {
    let mut pool = pool_of(ENGINES);
    // A quarter of the requests are about one subject; none of them ends.
    for number in 0..180 {
        let subject = if number % 4 == 0 { 9_999 } else { number };
        send(&mut pool, subject, number);
    }
    let loads: Vec<_> = pool.iter().map(|(_, state)| state.requests(at(0))).collect();
    let mean = 180.0 / ENGINES as f64;
    let most = loads.iter().copied().max().unwrap_or_default();
    assert!(f64::from(most) <= 1.5 * mean + 3.0, "highest load {most}, mean {mean}");
}

#[test]
fn pattern_a_prefix_is_copied_from_a_leaving_target_instead_of_prefilled() {
    let mut pool = pool_of(ENGINES);
    let caching_target = send(&mut pool, 1, 1).key;
    pool.record_leaving(caching_target, at(0));
    let next = send(&mut pool, 1, 2);
    assert_ne!(next.key, caching_target);
    assert_eq!(next.source, Some(caching_target));
    assert_eq!(
        send(&mut pool, 1, 3).source,
        None,
        "the target that copied the prefix now has it cached"
    );
}

#[test]
fn a_target_that_refused_a_prompt_does_not_have_it_cached() {
    let mut pool = pool_of(ENGINES);
    let chain = chain(3, 1);
    let anchor = chain.placement_prefix().expect("a shared prefix").hash;
    let key = choose(&pool, &chain).key;
    let has_cached =
        |pool: &TargetPool| pool.target(key).is_some_and(|state| state.has_cached(anchor));
    let refused = pool.record_send(key, &chain, false, at(0));
    assert!(has_cached(&pool), "the next request goes to the same target");
    pool.undo_send(key, &refused);
    assert!(!has_cached(&pool));
    assert!(pool.recent_prefixes(9).is_empty(), "the prefix is not reported to other daemons");
    let refused = pool.record_send(key, &chain, false, at(1));
    pool.record_send(key, &chain, false, at(2));
    pool.undo_send(key, &refused);
    assert!(has_cached(&pool), "a later request has recorded the prefix again");
}

#[test]
fn prefixes_cached_for_other_daemons_count_too() {
    let mut reporter = pool_of(ENGINES);
    let caching_target = send(&mut reporter, 1, 1).key;
    let caching_id = reporter.target(caching_target).map(|state| state.record.id.clone());
    let mut pool = pool_of(ENGINES);
    for (prefix, target) in reporter.recent_prefixes(64) {
        pool.record_peer_prefix(target, prefix, at(0));
    }
    let choice = choose(&pool, &chain(1, 2));
    assert_eq!(choice.reason, ChoiceReason::Cached);
    assert_eq!(pool.target(choice.key).map(|state| state.record.id.clone()), caching_id);
}

#[test]
fn pattern_other_daemons_load_keeps_new_prompts_away() {
    let mut pool = pool_of(ENGINES);
    let home = choose(&pool, &chain(5, 5)).key;
    let hash = pool.target(home).map(|state| state.short_hash).expect("listed");
    let load = InFlightLoad { requests: 20, backlog_tokens: 0 };
    pool.replace_peer_load(hash, InFlightLoad::default(), load);
    assert_ne!(choose(&pool, &chain(5, 5)).key, home);
    pool.replace_peer_load(hash, load, InFlightLoad::default());
    assert_eq!(choose(&pool, &chain(5, 5)).key, home);
}

#[test]
fn pattern_a_prefill_backlog_counts_as_load() {
    let mut pool = pool_of(ENGINES);
    let home = choose(&pool, &chain(5, 5)).key;
    let hash = pool.target(home).map(|state| state.short_hash).expect("listed");
    let load = InFlightLoad { requests: 1, backlog_tokens: 60_000 };
    pool.replace_peer_load(hash, InFlightLoad::default(), load);
    assert_ne!(choose(&pool, &chain(5, 5)).key, home);
}

/// The share of `count` requests without a prompt that each of the pool's targets gets.
fn shares_without_prompt(pool: &TargetPool, count: u64) -> Vec<f64> {
    let mut shares = vec![0.0; pool.len()];
    for number in 0..count {
        let query = ChoiceQuery { spread_hash: mix_hash(number, 3), ..query(None, &[]) };
        let choice = pool.choose(&query, at(0)).expect("a target");
        let id = &pool.target(choice.key).expect("listed").record.id;
        let number: usize = id[1..].parse().expect("a number");
        shares[number] += 1.0 / count as f64;
    }
    shares
}

#[test]
fn requests_without_a_prompt_mostly_stay_in_their_data_centre_while_its_target_is_free() {
    let mut pool = pool_of(3);
    let idle_shares = shares_without_prompt(&pool, 2_000);
    assert!(idle_shares[0] > 0.7, "{idle_shares:?}");
    let no_prompt = PrefixChain::default();
    for _ in 0..46 {
        pool.record_send(key_of(&pool, 0), &no_prompt, false, at(0));
    }
    let busy_shares = shares_without_prompt(&pool, 2_000);
    assert!(busy_shares[0] < 0.1, "{busy_shares:?}");
}

#[test]
fn pattern_many_daemons_with_the_same_outdated_loads_do_not_overload_the_least_loaded_target() {
    // Sixty daemons in other data centres than the targets choose by the same outdated loads, in
    // which one target has two requests fewer than the others.
    let mut pool = pool_of(5);
    for number in 0..5 {
        let requests = if number == 4 { 20 } else { 22 };
        let hash = pool.target(key_of(&pool, number)).expect("listed").short_hash;
        let load = InFlightLoad { requests, backlog_tokens: 0 };
        pool.replace_peer_load(hash, InFlightLoad::default(), load);
    }
    let mut shares = vec![0.0; 5];
    for number in 0..3_000 {
        let remote = ChoiceQuery {
            spread_hash: mix_hash(number, 5),
            data_centre: "elsewhere",
            ..query(None, &[])
        };
        let choice = pool.choose(&remote, at(0)).expect("a target");
        let index = (0..5).find(|other| key_of(&pool, *other) == choice.key).expect("listed");
        shares[index] += 1.0 / 3_000.0;
    }
    assert!(shares.iter().all(|share| *share < 0.3), "{shares:?}");
}

#[test]
fn leaving_removed_and_tried_targets_get_no_requests() {
    let mut pool = pool_of(3);
    pool.record_leaving(key_of(&pool, 0), at(0));
    pool.record_unlisted("t1", at(0));
    assert_eq!(pool.expire(at(0)).len(), 1);
    let remaining = key_of(&pool, 2);
    assert_eq!(choose(&pool, &chain(1, 1)).key, remaining);
    assert!(pool.choose(&query(None, &[remaining]), at(0)).is_err());
}

#[test]
fn one_unlisted_target_gets_no_requests_but_a_majority_of_unlisted_targets_does() {
    let mut pool = pool_of(6);
    pool.record_unlisted("t0", at(2_200));
    let unlisted = key_of(&pool, 0);
    assert!((0..60).all(|subject| choose(&pool, &chain(subject, subject)).key != unlisted));
    (1..6).for_each(|number| pool.record_unlisted(&format!("t{number}"), at(2_200)));
    assert!(pool.choose(&query(None, &[]), at(0)).is_ok());
    for number in 0..6 {
        pool.put(record(number, 1));
    }
    assert!((0..60).any(|subject| choose(&pool, &chain(subject, subject)).key == unlisted));
}

#[test]
fn leaving_is_final_within_one_incarnation() {
    let mut pool = pool_of(1);
    pool.put(TargetRecord { is_leaving: true, ..record(0, 1) });
    pool.put(record(0, 1));
    assert!(pool.choose(&query(None, &[]), at(0)).is_err());
    pool.put(record(0, 2));
    assert!(pool.choose(&query(None, &[]), at(0)).is_ok());
}

// Guards against a target that states in its replies that it leaves, and that its registration, which stays
// as it was, brings back: at once, under another address, or after it was removed.
#[test]
fn target_that_says_that_it_leaves_does_not_return_with_its_registration() {
    let mut pool = pool_of(1);
    assert!(pool.record_leaving(key_of(&pool, 0), at(0)));
    assert!(!pool.record_leaving(key_of(&pool, 0), at(500)), "it is known already");
    let leaving_since = pool.target(key_of(&pool, 0)).and_then(|state| state.leaving_since);
    assert_eq!(leaving_since, Some(at(0)));
    assert!(!pool.put(record(0, 1)), "an unchanged registration is no change");
    let elsewhere = TargetRecord { address: ([10, 9, 9, 9], 1).into(), ..record(0, 1) };
    for registration in [record(0, 1), elsewhere] {
        pool.put(registration);
        assert!(pool.choose(&query(None, &[]), at(0)).is_err());
    }
    pool.record_unlisted("t0", at(10));
    assert!(pool.choose(&query(None, &[]), at(5)).is_err(), "nor while it is unlisted");
    assert_eq!(pool.expire(at(10)).len(), 1);
    pool.put(record(0, 1));
    assert!(pool.choose(&query(None, &[]), at(20)).is_err());
    pool.put(record(0, 2));
    assert!(pool.choose(&query(None, &[]), at(30)).is_ok());
}

#[test]
fn a_new_incarnation_starts_without_load_cache_and_health() {
    let mut pool = pool_of(1);
    send(&mut pool, 1, 1);
    pool.record_outcome(key_of(&pool, 0), SendOutcome::Unreachable, at(0));
    pool.put(record(0, 2));
    let state = pool.target(key_of(&pool, 0)).expect("listed");
    assert_eq!(state.requests(at(0)), 0);
    assert_eq!(state.uncached_tokens(&chain(1, 1)), 11_800);
    assert!(!state.health.is_unreachable());
}

#[test]
fn pattern_a_failing_target_among_healthy_ones_is_held_down_and_gets_a_trial_request() {
    let mut pool = pool_of(4);
    let failing = key_of(&pool, 0);
    for round in 0..20 {
        for number in 1..4 {
            pool.record_outcome(key_of(&pool, number), SendOutcome::Good, at(round * 20));
        }
        pool.record_outcome(failing, SendOutcome::Bad, at(round * 20));
    }
    let reason_if_chosen = |pool: &TargetPool, millis| {
        let queries =
            (0..50).map(|hash| ChoiceQuery { spread_hash: mix_hash(hash, 1), ..query(None, &[]) });
        let chosen = queries.filter_map(|query| pool.choose(&query, at(millis)).ok());
        chosen.filter(|choice| choice.key == failing).map(|choice| choice.reason).next()
    };
    assert_eq!(reason_if_chosen(&pool, 450), None);
    assert_eq!(reason_if_chosen(&pool, 3_000), Some(ChoiceReason::Trial));
    pool.record_outcome(failing, SendOutcome::Good, at(3_000));
    assert!(pool.target(failing).is_some_and(|state| !state.health.is_half_open(at(3_000))));
}

#[test]
fn errors_at_all_targets_alike_cause_no_hold_down() {
    let mut pool = pool_of(4);
    let keys: Vec<_> = pool.iter().map(|(key, _)| key).collect();
    for round in 0..100 {
        let outcome = if round % 3 == 0 { SendOutcome::Bad } else { SendOutcome::Good };
        for key in &keys {
            pool.record_outcome(*key, outcome, at(round * 20));
        }
    }
    let held_down = pool.iter().filter(|(_, state)| state.health.is_held_down(at(2_000))).count();
    assert_eq!(held_down, 0);
}

#[test]
fn a_data_centre_with_two_unreachable_targets_is_avoided() {
    let mut pool = pool_of(ENGINES);
    pool.record_outcome(key_of(&pool, 1), SendOutcome::Unreachable, at(0));
    pool.record_outcome(key_of(&pool, 4), SendOutcome::Unreachable, at(0));
    for subject in 0..60 {
        let choice = choose(&pool, &chain(subject, subject));
        let centre = pool.target(choice.key).map(|state| state.record.data_centre.clone());
        assert_ne!(centre.as_deref(), Some("b"));
    }
}

#[test]
fn a_daemon_that_reaches_no_target_counts_as_partitioned() {
    let mut pool = pool_of(ENGINES);
    assert!(!pool.is_partitioned());
    for number in 0..ENGINES {
        pool.record_outcome(key_of(&pool, number), SendOutcome::Unreachable, at(0));
    }
    assert!(pool.is_partitioned());
    assert!(pool.choose(&query(None, &[]), at(100)).is_err(), "refused at once instead of queued");
}

// Guards against requests that are taken for the cause of a crash when a partition cuts off a whole
// data centre.
#[test]
fn data_centre_without_a_reachable_target_counts_as_partitioned() {
    let mut pool = TargetPool::default();
    for number in 0..3 {
        pool.put(TargetRecord { data_centre: "a".into(), ..record(number, 1) });
    }
    pool.put(TargetRecord { data_centre: "b".into(), ..record(3, 1) });
    let crashed = key_of(&pool, 0);
    pool.record_outcome(key_of(&pool, 1), SendOutcome::Unreachable, at(0));
    assert!(!pool.is_centre_unreachable(crashed), "one other target is reachable");
    pool.record_outcome(key_of(&pool, 2), SendOutcome::Unreachable, at(0));
    assert!(pool.is_centre_unreachable(crashed));
    let alone = key_of(&pool, 3);
    assert!(!pool.is_centre_unreachable(alone), "a single target shows no partition");
}

#[test]
fn registration_ends_earlier_incarnations_and_earlier_owners_of_its_address() {
    let mut pool = TargetPool::default();
    pool.put(record(0, 1));
    pool.put(record(1, 1));
    let crash_id = |number| {
        let key = key_of(&pool, number);
        pool.target(key).map(ggt_core::targets::TargetState::crash_id)
    };
    assert_eq!(pool.ended_by(&record(0, 1)), []);
    assert_eq!(pool.ended_by(&record(0, 2)), Vec::from_iter(crash_id(0)));
    let address = record(1, 1).address;
    let taken_over = TargetRecord { address, ..record(5, 1) };
    assert_eq!(pool.ended_by(&taken_over), Vec::from_iter(crash_id(1)));
}
