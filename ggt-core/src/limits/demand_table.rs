//! Demand of all services at one daemon, and which requests of a customer are over its share of the fleet.

use std::collections::BTreeMap;

use crate::clock::MonoTime;
use crate::ident::mix_hash;
use crate::ident::stable_hash;
use crate::limits::DemandCounter;
use crate::limits::DemandReport;
use crate::limits::FleetDemand;

/// Utilisation of a service from which on its demand is reported, and shares are enforced at all.
const REPORT_UTILISATION: f64 = 0.75;
/// Fraction of the capacity that is more and more kept for customers within their shares as it fills.
const KEPT_FRACTION: f64 = 0.2;
/// Milliseconds for which a service's demand is reported after its utilisation was last that high.
const REPORT_MS: u64 = 3_000;
/// Decayed number of admitted requests below which a daemon refuses none for a share.
const MIN_ADMITTED: f64 = 1.0;
/// Seed of the hash that decides which requests of a customer are admitted.
const ADMISSION_SEED: u64 = 0x5851_f42d_4c95_7f2d;

/// One request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct DemandQuery<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Name of the customer; empty if it is not known.
    pub customer: &'a str,
    /// Hash of the request.
    pub request_hash: u64,
    /// The service's load divided by its capacity.
    pub utilisation: f64,
    /// Utilisation from which on shares are fully enforced; less than 1.
    pub share_from: f64,
}

impl DemandQuery<'_> {
    /// Short hash of the service and priority.
    pub fn pool(&self) -> u32 {
        mix_hash(stable_hash(self.service.as_bytes()), u64::from(self.priority)) as u32
    }

    fn customer_hash(&self) -> u32 {
        stable_hash(self.customer.as_bytes()) as u32
    }
}

/// That a request is over its customer's share of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverFleetShare {
    /// The part of the customer's requests that is admitted, from 0 to 1.
    pub admitted_part: f64,
}

#[derive(Clone, Debug, Default)]
struct DemandPool {
    counter: DemandCounter,
    reported_until: MonoTime,
}

/// Demand by service and priority.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    pools: BTreeMap<u32, DemandPool>,
}

impl DemandTable {
    /// Counts a request that a customer offers.
    pub fn record_offer(&mut self, query: &DemandQuery<'_>, now: MonoTime) {
        let pool = self.pools.entry(query.pool()).or_default();
        pool.counter.record_offer(query.customer_hash(), now);
    }

    /// Whether a request is within its customer's share; `others` are the latest reports of the other daemons. `None`
    /// if no other daemon is heard: then what this one admits says nothing about the service, and it is.
    ///
    /// # Errors
    /// [`OverFleetShare`] for the requests of a customer that offers more than its share, in proportion.
    pub fn check<'a, R>(
        &mut self,
        query: &DemandQuery<'_>,
        others: Option<R>,
        now: MonoTime,
    ) -> Result<(), OverFleetShare>
    where
        R: IntoIterator<Item = &'a DemandReport>,
    {
        let (id, customer) = (query.pool(), query.customer_hash());
        let pool = self.pools.entry(id).or_default();
        if query.utilisation >= REPORT_UTILISATION {
            pool.reported_until = now + REPORT_MS;
        }
        if let Some(others) = others.filter(|_| query.utilisation >= REPORT_UTILISATION) {
            let others = others.into_iter().filter(|report| report.pool == id);
            let mut demand = FleetDemand::sum(others);
            demand.add(&pool.counter.report(id, now));
            let share = demand.admitted_part(customer, query.utilisation, query.share_from);
            let admitted_part = enforced_part(share, query);
            let is_over = unit_fraction(query.request_hash) >= admitted_part;
            // A daemon whose requests are all refused would never learn how much is admitted.
            if is_over && pool.counter.admitted(now) >= MIN_ADMITTED {
                return Err(OverFleetShare { admitted_part });
            }
        }
        Ok(())
    }

    /// Counts a request that was within its share and is sent to a target.
    pub fn record_admission(&mut self, query: &DemandQuery<'_>, now: MonoTime) {
        self.pools.entry(query.pool()).or_default().counter.record_admission(now);
    }

    /// The reports for other daemons, of services that are or were lately near their capacity.
    pub fn reports(&mut self, now: MonoTime) -> Vec<DemandReport> {
        self.pools.values_mut().for_each(|pool| pool.counter.expire(now));
        let reported = self.pools.iter().filter(|(_, pool)| now < pool.reported_until);
        reported.map(|(id, pool)| pool.counter.report(*id, now)).collect()
    }
}

/// The part of a customer's requests to admit at this utilisation, if `share` is within its share.
///
/// Shares are enforced more and more from `REPORT_UTILISATION` to `share_from`; what is above that is more and more
/// kept for customers within their shares.
fn enforced_part(share: f64, query: &DemandQuery<'_>) -> f64 {
    if share >= 1.0 {
        return 1.0;
    }
    let above_start = query.utilisation - REPORT_UTILISATION;
    let strictness = (above_start / (query.share_from - REPORT_UTILISATION)).clamp(0.0, 1.0);
    let kept = KEPT_FRACTION.max(1.0 - query.share_from);
    let left = ((1.0 - query.utilisation) / kept).clamp(0.0, 1.0);
    (1.0 - strictness * (1.0 - share)) * left
}

/// A number from 0 up to 1 that depends on the request alone, so that all daemons admit the same ones.
fn unit_fraction(request_hash: u64) -> f64 {
    // The upper 53 bits, which an `f64` represents exactly.
    (mix_hash(ADMISSION_SEED, request_hash) >> 11) as f64 / (1_u64 << 53) as f64
}
