//! Rates that targets say they take from all daemons together: which statement counts, how daemons
//! share a rate, and which targets get requests.

mod digest_fixture;
mod pool_fixture;

use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::digest_fixture::empty_digest;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::FleetTable;
use ggt_core::fleet::PeerDigest;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::RateShare;
use ggt_core::targets::RateStatement;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetRate;
use ggt_core::targets::TargetRecord;

/// Span in which the users' rule counts requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;
const HASH: u64 = 77;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn statement(limit: Option<f64>, sent_ms: u64, received_ms: u64) -> RateStatement {
    RateStatement { limit, sent_at: at(sent_ms), received_at: at(received_ms) }
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, (number / 200) as u8, (number % 200) as u8], 7_000).into()
}

fn digest(from: usize, number: u64, is_leaving: bool) -> PeerDigest {
    PeerDigest { is_leaving, ..empty_digest(address(from), 1, number) }
}

/// The tables of this many daemons, which have all heard of each other at time zero.
fn fleet(count: usize) -> Vec<FleetTable> {
    let table = |own: usize| {
        let mut table = FleetTable::new(address(own));
        for other in (0..count).filter(|other| *other != own) {
            table.apply(digest(other, 1, false), at(0));
        }
        table
    };
    (0..count).map(table).collect()
}

fn shares(fleet: &[FleetTable], limit: f64) -> Vec<RateShare> {
    fleet.iter().map(|table| table.rate_share(HASH, limit)).collect()
}

// Guards against a late reply that ends or re-imposes a limit against a newer one.
#[test]
fn statement_counts_if_it_was_certainly_made_after_the_present_one() {
    let mut rate = TargetRate::default();
    assert!(!rate.apply(statement(None, 0, 10), true), "no limit before the first one");
    assert!(rate.apply(statement(Some(4.0), 100, 200), true));
    assert!(!rate.apply(statement(None, 150, 900), true), "sent before the limit was known");
    assert!(rate.apply(statement(Some(3.0), 150, 300), true), "the stricter of two counts");
    assert!(rate.apply(statement(None, 300, 400), true));
    assert_eq!(rate.limit(at(400)), None);
    assert!(rate.apply(statement(Some(5.0), 350, 500), true));
    assert!(rate.apply(statement(None, 500, 600), true));
}

// Guards against extreme values: none of them may stop all requests for good or overflow.
#[test]
fn extreme_limits_are_bounded() {
    for (limit, expected) in [(0.0, 0.2), (0.05, 0.2), (0.3, 0.3), (1e308, 1e308)] {
        let mut rate = TargetRate::default();
        rate.apply(statement(Some(limit), 0, 10), true);
        assert_eq!(rate.limit(at(10)).map(|limit| limit.per_second), Some(expected));
        rate.set_share(fleet(2)[0].rate_share(HASH, expected), at(10));
        rate.record_send(at(10));
        assert!(rate.open_at(3, at(10)).is_none_or(|open_at| open_at < at(100_000)), "{limit}");
    }
}

#[test]
fn parts_of_all_daemons_add_up_to_the_limit() {
    for count in [1, 2, 9, 58, 370] {
        for limit in [0.2, 0.3, 1.0, 4.3, 30.0, 1_000.0] {
            let shares = shares(&fleet(count), limit);
            let sum: f64 = shares.iter().map(|share| share.per_second).sum();
            assert!((sum - limit).abs() < limit * 1e-9, "{count} daemons, limit {limit}: {sum}");
        }
    }
}

// Guards against daemons on both sides of a cut that divide the limit by those that they reach.
#[test]
fn parts_stay_the_same_behind_a_cut_and_grow_when_a_daemon_leaves() {
    let mut fleet = fleet(9);
    let before = shares(&fleet, 30.0);
    for table in &mut fleet {
        table.expire(at(60_000));
    }
    assert_eq!(shares(&fleet, 30.0), before);
    let left = (0..8).map(|own| {
        let mut table = fleet[own].clone();
        table.apply(digest(8, 2, true), at(60_000));
        table.rate_share(HASH, 30.0).per_second
    });
    assert!((left.sum::<f64>() - 30.0).abs() < 1e-9);
}

// Daemons that send as often as they may, at random moments, stay within one and a half times the
// limit, and 5 requests, in any 4 s.
#[test]
fn requests_of_all_daemons_stay_within_the_users_rule() {
    for (seed, (count, limit)) in [(2, 0.3), (9, 0.3), (9, 1.0), (9, 4.3), (58, 4.3), (9, 40.0)]
        .into_iter()
        .cycle()
        .take(60)
        .enumerate()
    {
        let mut random = SmallRng::seed_from_u64(seed as u64);
        let mut rates: Vec<_> = shares(&fleet(count), limit)
            .into_iter()
            .map(|share| {
                let mut rate = TargetRate::default();
                rate.apply(statement(Some(limit), 0, 10), true);
                rate.set_share(share, at(random.random_range(10..500)));
                rate
            })
            .collect();
        let mut sends = Vec::new();
        for now in (500..40_000).step_by(10).map(at) {
            for rate in &mut rates {
                let is_open = rate.open_at(0, now).is_some_and(|open_at| now >= open_at);
                if is_open && random.random_bool(0.5) {
                    rate.record_send(now);
                    sends.push(now);
                }
            }
        }
        for start in &sends {
            let within = sends.iter().filter(|at| *at >= start && **at < *start + WINDOW_MS);
            let allowed = 1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0;
            let within = within.count();
            assert!(within as f64 <= allowed, "{count} daemons, limit {limit}: {within} sends");
        }
        let least = 0.5 * limit * 39.5;
        assert!(sends.len() as f64 >= least, "{count} daemons, limit {limit}: {}", sends.len());
    }
}

fn targets_of(pool: &TargetPool) -> Vec<TargetKey> {
    pool.of_service("s").to_vec()
}

/// Limits a target, of which this daemon may use all.
fn limit_target(pool: &mut TargetPool, key: TargetKey, limit: f64) {
    pool.apply_rate(key, statement(Some(limit), 0, 10), true);
    pool.update_rate_shares(at(10), |_, limit| RateShare {
        per_second: limit.per_second,
        phase: 0.0,
    });
}

#[test]
fn pattern_a_target_at_its_rate_gets_no_request_and_others_do() {
    let mut pool = pool_of(2);
    let keys = targets_of(&pool);
    limit_target(&mut pool, keys[0], 2.0);
    pool.record_send(keys[0], &Default::default(), false, at(100));
    pool.record_end(keys[0]);
    for hash in 0..50 {
        assert_eq!(pool.choose(&query(0, hash), at(599)).expect("a target").key, keys[1]);
    }
    let chosen = |hash| pool.choose(&query(0, hash), at(600)).expect("a target").key;
    assert!((0..50).any(|hash| chosen(hash) == keys[0]), "half a second later it takes one more");
}

#[test]
fn pattern_all_targets_at_their_rates_refuse_until_the_first_takes_a_request() {
    let mut pool = pool_of(2);
    let keys = targets_of(&pool);
    for (key, limit) in keys.iter().zip([1.0, 0.5]) {
        limit_target(&mut pool, *key, limit);
        pool.record_send(*key, &Default::default(), false, at(100));
    }
    assert_eq!(pool.choose(&query(0, 1), at(200)), Err(ChoiceError::RateLimited));
    let estimate = pool.record_overload(&query(0, 1), at(200));
    assert!(estimate.retry_after_ms >= 900, "{estimate:?}");
    assert!(estimate.retry_after_ms < 1_400, "{estimate:?}");
}

// Guards against urgent requests that are refused since less urgent ones took what a target takes.
#[test]
fn pattern_less_urgent_requests_leave_the_rate_to_more_urgent_ones() {
    let mut pool = pool_of(1);
    let keys = targets_of(&pool);
    limit_target(&mut pool, keys[0], 1.0);
    pool.record_request("s", 0, at(100));
    pool.record_send(keys[0], &Default::default(), false, at(100));
    assert!(pool.choose(&query(1, 1), at(1_100)).is_err());
    assert!(pool.choose(&query(0, 1), at(1_100)).is_ok());
    assert!(pool.choose(&query(1, 1), at(1_350)).is_ok(), "it waits a quarter longer");
}

#[test]
fn new_incarnation_of_a_target_has_no_limit() {
    let mut pool = pool_of(1);
    let keys = targets_of(&pool);
    limit_target(&mut pool, keys[0], 1.0);
    let record = pool.target(keys[0]).expect("target").record.clone();
    pool.put(TargetRecord { incarnation: 2, ..record });
    let key = pool.of_service("s")[0];
    assert_eq!(pool.target(key).expect("target").rate.limit(at(20)), None);
}
