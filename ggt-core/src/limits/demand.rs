//! What customers ask of a service at all daemons, and the part of each that the service can serve.
//!
//! Daemons report what they are offered in their digests. Offered requests do not depend on what is admitted, so
//! all daemons derive nearly the same parts from them, and parts do not swing with their own effect.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::MonoTime;

/// Half-life of a counted request in milliseconds.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Counted requests below which a customer is forgotten.
const MIN_COUNT: f64 = 0.05;
/// Maximum number of customers in a report.
pub const MAX_REPORTED_CUSTOMERS: usize = 6;
/// Scale of the counts in reports.
const REPORT_SCALE: f64 = 16.0;

/// A number of requests that decays with their age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingCount {
    count: f64,
    counted_at: MonoTime,
}

impl DecayingCount {
    fn at(&self, now: MonoTime) -> f64 {
        let age_ms = now.millis_since(self.counted_at) as f64;
        self.count * 0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }

    fn add(&mut self, now: MonoTime) {
        *self = Self { count: self.at(now) + 1.0, counted_at: now };
    }
}

/// What one daemon is offered for one service and priority.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Short hash of the service and priority.
    pub pool: u32,
    /// Requests offered, in sixteenths.
    pub offered: u32,
    /// Requests admitted, in sixteenths.
    pub admitted: u32,
    /// Short hashes of the customers with the most offered requests, and these requests, in sixteenths.
    pub largest: Vec<(u32, u32)>,
}

/// What one daemon is offered and admits for one service and priority, by customer.
#[derive(Clone, Debug, Default)]
pub struct DemandCounter {
    offered: BTreeMap<u32, DecayingCount>,
    admitted: DecayingCount,
}

impl DemandCounter {
    /// Counts a request that a customer offers.
    pub fn record_offer(&mut self, customer: u32, now: MonoTime) {
        self.offered.entry(customer).or_default().add(now);
    }

    /// Counts a request that is admitted.
    pub fn record_admission(&mut self, now: MonoTime) {
        self.admitted.add(now);
    }

    /// Requests admitted lately, decayed by their age.
    pub fn admitted(&self, now: MonoTime) -> f64 {
        self.admitted.at(now)
    }

    /// Drops customers that have offered nothing for some time.
    pub fn expire(&mut self, now: MonoTime) {
        self.offered.retain(|_, count| count.at(now) >= MIN_COUNT);
    }

    /// The report for other daemons; the largest customers first.
    pub fn report(&self, pool: u32, now: MonoTime) -> DemandReport {
        let scaled = |count: f64| (count * REPORT_SCALE).round() as u32;
        let counts = self.offered.iter().map(|(customer, count)| (*customer, count.at(now)));
        let mut largest: Vec<_> = counts.collect();
        let offered = largest.iter().map(|(_, count)| count).sum();
        largest.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        largest.truncate(MAX_REPORTED_CUSTOMERS);
        DemandReport {
            pool,
            offered: scaled(offered),
            admitted: scaled(self.admitted.at(now)),
            largest: largest
                .into_iter()
                .map(|(customer, count)| (customer, scaled(count)))
                .collect(),
        }
    }
}

/// The demand of the whole fleet for one service and priority.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetDemand {
    by_customer: BTreeMap<u32, f64>,
    /// Offered by customers that reports do not name.
    rest: f64,
    admitted: f64,
}

impl FleetDemand {
    /// Adds up the reports of all daemons.
    pub fn sum<'a, R>(reports: R) -> Self
    where
        R: IntoIterator<Item = &'a DemandReport>,
    {
        let mut sum = Self::default();
        reports.into_iter().for_each(|report| sum.add(report));
        sum
    }

    /// Adds the report of one more daemon.
    pub fn add(&mut self, report: &DemandReport) {
        let named: u64 = report.largest.iter().map(|(_, count)| u64::from(*count)).sum();
        self.rest += u64::from(report.offered).saturating_sub(named) as f64;
        self.admitted += f64::from(report.admitted);
        for (customer, count) in &report.largest {
            *self.by_customer.entry(*customer).or_default() += f64::from(*count);
        }
    }

    /// The part of a customer's requests that is within its max-min fair share, from 0 to 1.
    ///
    /// `utilisation` is the service's load divided by its capacity; requests are to be admitted up to a utilisation
    /// of `share_from`. Customers that reports do not name are the smallest and keep all of theirs.
    pub fn admitted_part(&self, customer: u32, utilisation: f64, share_from: f64) -> f64 {
        let Some(own) = self.by_customer.get(&customer).copied().filter(|own| *own > 0.0) else {
            return 1.0;
        };
        if utilisation <= 0.0 {
            return 1.0;
        }
        let capacity = self.admitted * share_from / utilisation;
        (self.water_level(capacity - self.rest) / own).clamp(0.0, 1.0)
    }

    /// The max-min fair level: demands capped at it sum to `capacity`.
    fn water_level(&self, capacity: f64) -> f64 {
        let mut demands: Vec<_> = self.by_customer.values().copied().collect();
        demands.sort_by(f64::total_cmp);
        let mut remaining = capacity.max(0.0);
        let mut count = demands.len() as f64;
        for demand in demands {
            if demand * count >= remaining {
                return remaining / count;
            }
            remaining -= demand;
            count -= 1.0;
        }
        f64::INFINITY
    }
}
