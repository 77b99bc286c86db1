//! Requests that wait for a place: who waits, in which order, and who is refused at once.

mod pool_fixture;

use crate::pool_fixture::GOAL_MS;
use crate::pool_fixture::SLOTS;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::RateShare;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::SlotDuration;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::waiting::RoomForecast;
use ggt_core::waiting::WaitQueue;
use ggt_core::waiting::WaitRequest;
use ggt_core::waiting::WaitTicket;
use ggt_core::waiting::latest_start;

/// Time that a request takes in these tests.
const RUN_MS: u64 = 100;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn request(priority: u32, customer: u32, latest_ms: u64) -> WaitRequest {
    WaitRequest { priority, customer, is_over_share: false, latest_start: at(latest_ms) }
}

/// A place is free after 20 ms, and one more in each 10 ms after it.
const FORECAST: RoomForecast = RoomForecast { first_ms: Some(20), interval_ms: 10.0 };

fn join(queue: &mut WaitQueue, request: WaitRequest) -> WaitTicket {
    queue.join(request, FORECAST, at(0)).expect("should wait")
}

// Guards against urgent requests, or those of customers with few, that wait behind the many of one customer.
#[test]
fn urgent_requests_go_first_then_customers_with_fewer_then_earlier_deadlines() {
    let mut queue = WaitQueue::default();
    let first_of_many = join(&mut queue, request(1, 7, 500));
    let second_of_many = join(&mut queue, request(1, 7, 400));
    let of_few = join(&mut queue, request(1, 8, 600));
    let urgent = join(&mut queue, request(0, 7, 900));
    let mut order = Vec::new();
    while !queue.is_empty() {
        let all = [first_of_many, second_of_many, of_few, urgent];
        let first = all.into_iter().find(|ticket| queue.is_first(*ticket)).expect("a first one");
        queue.leave(first);
        order.push(first);
    }
    assert_eq!(order, [urgent, first_of_many, of_few, second_of_many]);
}

// Guards against a customer over its share whose requests go before those of others.
#[test]
fn requests_over_a_share_get_what_the_others_leave() {
    let mut queue = WaitQueue::default();
    let over = WaitRequest { is_over_share: true, ..request(1, 7, 100) };
    let over = join(&mut queue, over);
    let within = join(&mut queue, request(1, 8, 900));
    let less_urgent = join(&mut queue, request(2, 9, 900));
    assert!(queue.is_first(within));
    queue.leave(within);
    assert!(queue.is_first(over), "before less urgent ones");
    queue.leave(over);
    assert!(queue.is_first(less_urgent));
}

// Guards against a request that waits though its place is not certain in time, and is refused late.
#[test]
fn request_without_a_certain_place_is_refused_at_once() {
    let mut queue = WaitQueue::default();
    assert!(queue.join(request(1, 7, 19), FORECAST, at(0)).is_none(), "too late");
    let unknown = RoomForecast { first_ms: None, interval_ms: 10.0 };
    assert!(queue.join(request(1, 7, 900), unknown, at(0)).is_none(), "nobody knows when");
    join(&mut queue, request(1, 7, 20));
    assert!(queue.join(request(1, 8, 25), FORECAST, at(0)).is_none(), "behind another one");
    assert_eq!(queue.len(), 1);
}

// Guards against a request that goes on waiting when its place has become uncertain.
#[test]
fn request_leaves_as_soon_as_its_place_is_uncertain() {
    let mut queue = WaitQueue::default();
    let ticket = join(&mut queue, request(1, 7, 100));
    assert!(queue.may_wait_on(ticket, FORECAST, at(80)));
    assert!(!queue.may_wait_on(ticket, FORECAST, at(81)));
    let later = RoomForecast { first_ms: Some(90), interval_ms: 10.0 };
    assert!(!queue.may_wait_on(ticket, later, at(20)), "the service has become slower");
    join(&mut queue, request(0, 8, 30));
    assert!(queue.may_wait_on(ticket, FORECAST, at(70)));
    assert!(!queue.may_wait_on(ticket, FORECAST, at(75)), "a more urgent one goes first");
}

// Guards against a queue without bound, and against urgent requests that a full one turns away.
#[test]
fn pattern_burst_of_the_least_urgent_kind_fills_the_queue_and_urgent_ones_still_wait() {
    let mut queue = WaitQueue::default();
    let joined = (0..1_000).filter_map(|n| queue.join(request(2, 7, 90_000 + n), FORECAST, at(0)));
    let tickets: Vec<_> = joined.collect();
    let bound = tickets.len();
    assert!(bound < 200, "{bound} wait");
    let urgent = join(&mut queue, request(0, 8, 90_000));
    assert!(queue.is_first(urgent) && queue.len() == bound);
    let gone = tickets.iter().filter(|ticket| !queue.may_wait_on(**ticket, FORECAST, at(0)));
    assert_eq!(gone.count(), 1, "the last one is refused in its place");
}

// Guards against a caller that leaves and keeps its place, so that those behind it wait in vain.
#[test]
fn caller_that_leaves_frees_its_place() {
    let mut queue = WaitQueue::default();
    let first = join(&mut queue, request(1, 7, 500));
    let second = join(&mut queue, request(1, 8, 500));
    assert!(queue.is_first(first) && queue.must_queue(1) && !queue.must_queue(0));
    queue.leave(first);
    assert!(queue.is_first(second));
    queue.leave(second);
    assert!(!queue.must_queue(2));
}

/// A pool of targets whose requests take `RUN_MS`, all at capacity for the test's requests.
fn full_pool(count: usize) -> (TargetPool, Vec<TargetKey>) {
    let mut pool = pool_of(count);
    let keys = pool.of_service("s").to_vec();
    for key in &keys {
        let duration = SlotDuration { load: 1, total_ms: RUN_MS, has_prompt: false };
        pool.record_slot_time(*key, duration, at(0));
    }
    let mut hash = 0;
    while let Ok(choice) = pool.choose(&query(0, hash), at(0)) {
        pool.record_send(choice.key, &Default::default(), false, at(0));
        hash += 1;
    }
    (pool, keys)
}

// Guards against forecasts that promise a place where there is none, or none where there is one.
#[test]
fn forecast_follows_the_time_that_places_take() {
    let (mut pool, keys) = full_pool(2);
    let forecast = pool.room_forecast(&query(0, 1), 1, at(10));
    let place_ms = RUN_MS as f64 / f64::from(SLOTS);
    let first_ms = forecast.first_ms.expect("places become free");
    assert!(first_ms > 0 && first_ms as f64 <= place_ms.ceil(), "{first_ms} ms");
    assert!((forecast.interval_ms - place_ms / 2.0).abs() < 1e-6, "{forecast:?}");
    let of_many = pool.room_forecast(&query(0, 1), 63, at(10));
    assert!((of_many.interval_ms - 63.0 * place_ms / 2.0).abs() < 1e-6, "others get places, too");
    pool.record_end(keys[0]);
    assert_eq!(pool.room_forecast(&query(0, 1), 1, at(10)).first_ms, Some(0));
    for key in &keys {
        pool.record_outcome(*key, SendOutcome::Unreachable, at(10));
    }
    assert_eq!(pool.room_forecast(&query(0, 1), 1, at(10)).first_ms, None);
}

// Guards against requests that are refused while a target at its rate takes one in a moment.
#[test]
fn pattern_request_waits_for_the_next_one_that_a_limited_target_takes() {
    let mut pool = pool_of(1);
    let key = pool.of_service("s")[0];
    let statement =
        ggt_core::targets::RateStatement { limit: Some(20.0), sent_at: at(0), received_at: at(1) };
    pool.apply_rate(key, statement, true);
    pool.update_rate_shares(at(1), |_, limit| RateShare {
        per_second: limit.per_second,
        phase: 0.0,
    });
    pool.record_send(key, &Default::default(), false, at(10));
    assert_eq!(pool.choose(&query(0, 1), at(20)), Err(ChoiceError::RateLimited));
    let forecast = pool.room_forecast(&query(0, 1), 1, at(20));
    assert_eq!(forecast.first_ms, Some(40));
    let mut queue = WaitQueue::default();
    let latest = WaitRequest { latest_start: latest_start(at(20), GOAL_MS), ..request(0, 1, 0) };
    assert!(queue.join(latest, forecast, at(20)).is_some());
    assert!(pool.choose(&query(0, 1), at(60)).is_ok());
}
