//! Shares of customers in what a whole fleet is offered: who is refused when there is too little room.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use ggt_core::clock::MonoTime;
use ggt_core::limits::DemandQuery;
use ggt_core::limits::DemandReport;
use ggt_core::limits::DemandTable;
use ggt_core::limits::FleetDemand;

/// Utilisation up to which requests are admitted.
const SHARE_FROM: f64 = 0.9;
/// Requests that run at the service at the same time, and how long each takes.
const PLACES: usize = 24;
const RUN_MS: u64 = 30;
/// Interval of the daemons' digests.
const DIGEST_MS: u64 = 800;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A customer of the model: what it usually offers a second, and its factor while it presses.
#[derive(Clone, Copy, Debug)]
struct ModelCustomer {
    per_second: f64,
    factor: f64,
    priority: u32,
}

/// Requests by customer that were served, and that were not.
type Counts = BTreeMap<usize, (usize, usize)>;

/// Lets customers press on one service through `daemons` daemons, spread at random, for ten seconds; counts from the
/// second one on. Refused callers repeat once, at once, if `repeats` is set.
fn press(daemons: usize, customers: &[ModelCustomer], repeats: bool, seed: u64) -> Counts {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut tables = vec![DemandTable::default(); daemons];
    let mut reports: Vec<Vec<DemandReport>> = vec![Vec::new(); daemons];
    let mut running: Vec<u64> = Vec::new();
    let mut counts = Counts::new();
    let names: Vec<_> = (0..customers.len()).map(|number| format!("c{number}")).collect();
    for millis in 0..10_000_u64 {
        running.retain(|ends_at| *ends_at > millis);
        for daemon in 0..daemons {
            // Daemons send their digests one after the other.
            if (millis + daemon as u64 * DIGEST_MS / daemons as u64).is_multiple_of(DIGEST_MS) {
                reports[daemon] = tables[daemon].reports(at(millis));
            }
        }
        for (number, customer) in customers.iter().enumerate() {
            let rate = customer.per_second * if millis >= 500 { customer.factor } else { 1.0 };
            let mut tries = match random.random_bool((rate / 1_000.0).min(1.0)) {
                true => 1 + usize::from(repeats),
                false => 0,
            };
            while tries > 0 {
                tries -= 1;
                let daemon = random.random_range(0..daemons);
                let query = DemandQuery {
                    service: "s",
                    priority: customer.priority,
                    customer: &names[number],
                    request_hash: random.random(),
                    utilisation: running.len() as f64 / PLACES as f64,
                    share_from: SHARE_FROM,
                };
                let others = reports.iter().enumerate().filter(|(other, _)| *other != daemon);
                let others = others.flat_map(|(_, reports)| reports);
                tables[daemon].record_offer(&query, at(millis));
                let is_admitted = tables[daemon].check(&query, Some(others), at(millis)).is_ok()
                    && running.len() < PLACES;
                if is_admitted {
                    tables[daemon].record_admission(&query, at(millis));
                    running.push(millis + RUN_MS);
                    tries = 0;
                }
                if millis >= 2_000 && tries == 0 {
                    let count = counts.entry(number).or_default();
                    if is_admitted { count.0 += 1 } else { count.1 += 1 }
                }
            }
        }
    }
    counts
}

fn served_share(counts: &Counts, customer: usize) -> f64 {
    let (served, refused) = counts.get(&customer).copied().unwrap_or_default();
    served as f64 / (served + refused).max(1) as f64
}

/// Twelve small customers and a large one that asks for eight times its usual.
fn one_large_customer() -> Vec<ModelCustomer> {
    let small = ModelCustomer { per_second: 20.0, factor: 1.0, priority: 1 };
    let mut customers = vec![ModelCustomer { per_second: 150.0, factor: 8.0, priority: 1 }];
    customers.extend(vec![small; 12]);
    customers
}

// Guards against small customers that are refused since a large one asks for eight times its usual, through so many
// daemons that each sees few of its requests.
#[test]
fn pattern_one_customer_at_eight_times_its_usual_is_refused_and_small_ones_are_not() {
    for (daemons, seed) in [(1, 1), (9, 2), (63, 3), (195, 4)] {
        let counts = press(daemons, &one_large_customer(), false, seed);
        let small: Vec<_> = (1..13).map(|customer| served_share(&counts, customer)).collect();
        let worst = small.iter().copied().fold(1.0, f64::min);
        let large = served_share(&counts, 0);
        assert!(worst >= 0.85, "{daemons} daemons: a small customer is served {worst:.2}");
        assert!(large < 0.75, "{daemons} daemons: the large one is served {large:.2}");
    }
}

// Guards against room that is left unused because shares are enforced too hard.
#[test]
fn pattern_large_customer_gets_what_the_others_leave() {
    for (daemons, seed) in [(9, 12), (63, 13)] {
        let counts = press(daemons, &one_large_customer(), false, seed);
        let served: usize = counts.values().map(|(served, _)| served).sum();
        let capacity = PLACES as f64 * 8_000.0 / RUN_MS as f64;
        let used = served as f64 / capacity;
        assert!(used >= 0.75, "{daemons} daemons: {used:.2} of the capacity is used");
    }
}

// Guards against callers that gain by repeating refused requests at once.
#[test]
fn pattern_callers_that_repeat_at_once_gain_nothing() {
    let customers = one_large_customer();
    let served = |repeats| press(63, &customers, repeats, 5).get(&0).map_or(0, |count| count.0);
    let (patient, repeating) = (served(false), served(true));
    assert!(repeating as f64 <= 1.15 * patient as f64, "{repeating} and {patient}");
    let counts = press(63, &customers, true, 5);
    let worst = (1..13).map(|customer| served_share(&counts, customer)).fold(1.0, f64::min);
    assert!(worst >= 0.8, "a small customer is served {worst:.2}");
}

// Guards against two bursts at once of which the larger one crowds out the smaller.
#[test]
fn pattern_two_bursts_share_what_the_others_leave() {
    let mut customers = one_large_customer();
    customers[1] = ModelCustomer { per_second: 75.0, factor: 8.0, priority: 1 };
    let counts = press(63, &customers, false, 6);
    let served = |customer| counts.get(&customer).map_or(0, |count| count.0) as f64;
    let ratio = served(0) / served(1);
    assert!((0.6..1.7).contains(&ratio), "{ratio:.2} times as many of the larger are served");
}

// Guards against refusals in calm, and against reports that cost bytes while nothing is short.
#[test]
fn nothing_is_refused_or_reported_while_there_is_room() {
    let customers = vec![ModelCustomer { per_second: 20.0, factor: 1.0, priority: 1 }; 13];
    let counts = press(63, &customers, false, 7);
    assert!(counts.values().all(|(_, refused)| *refused == 0), "{counts:?}");
    let mut table = DemandTable::default();
    let query = DemandQuery {
        service: "s",
        priority: 0,
        customer: "c",
        request_hash: 1,
        utilisation: 0.5,
        share_from: SHARE_FROM,
    };
    table.record_offer(&query, at(0));
    assert!(table.check(&query, Some([]), at(0)).is_ok());
    assert!(table.reports(at(10)).is_empty());
}

// Guards against a daemon that is cut off from the others and refuses its callers by what it can no longer know.
#[test]
fn daemon_that_hears_no_other_refuses_nothing_for_a_share() {
    let mut table = DemandTable::default();
    let is_admitted = |number: u64| {
        let query = DemandQuery {
            service: "s",
            priority: 0,
            customer: "c",
            request_hash: number * 7_919,
            utilisation: 0.99,
            share_from: SHARE_FROM,
        };
        table.record_offer(&query, at(number * 50));
        table.check(&query, None::<[&DemandReport; 0]>, at(number * 50)).is_ok()
    };
    assert!((0..40).all(is_admitted));
}

// Guards against a peer's odd report that takes all room or refuses everyone.
#[test]
fn odd_reports_are_bounded() {
    let odd = DemandReport {
        pool: 0,
        offered: u32::MAX,
        admitted: 0,
        largest: vec![(1, u32::MAX), (1, u32::MAX), (2, 0)],
    };
    let demand = FleetDemand::sum([&odd, &odd]);
    for customer in [0, 1, 2, 3] {
        for utilisation in [0.0, 0.9, 1e9] {
            let part = demand.admitted_part(customer, utilisation, SHARE_FROM);
            assert!((0.0..=1.0).contains(&part), "{part}");
        }
    }
}

quickcheck! {
    // Guards against shares that add up to more than the capacity, or leave a smaller customer with a smaller part.
    fn parts_are_max_min_fair(offers: Vec<u16>, admitted: u32) -> bool {
        let largest: Vec<_> = (0..).zip(offers.iter().map(|offer| u32::from(*offer))).collect();
        let offered = largest.iter().map(|(_, count)| count).sum();
        let report = DemandReport { pool: 0, offered, admitted, largest: largest.clone() };
        let demand = FleetDemand::sum([&report]);
        let part = |customer| demand.admitted_part(customer, 1.0, SHARE_FROM);
        let total: f64 = largest.iter().map(|(c, count)| part(*c) * f64::from(*count)).sum();
        let is_within = total <= f64::from(admitted) * SHARE_FROM + 1e-6 || offered <= admitted;
        let is_fair = largest.iter().all(|(a, x)| {
            largest.iter().all(|(b, y)| *x == 0 || x > y || part(*a) >= part(*b) - 1e-9)
        });
        is_within && is_fair
    }
}
