//! Fair shares of an overloaded workload: of each daemon's own part of the traffic, or of all that daemons report.

mod demand;
mod demand_table;
mod share_table;

pub use demand::DemandCounter;
pub use demand::DemandReport;
pub use demand::FleetDemand;
pub use demand::MAX_REPORTED_CUSTOMERS;
pub use demand_table::DemandQuery;
pub use demand_table::DemandTable;
pub use demand_table::OverFleetShare;
pub use share_table::SharePermit;
pub use share_table::ShareTable;

use slotmap::SlotMap;
use slotmap::new_key_type;

new_key_type! {
    /// Identifies one customer of one workload in a [`FairShare`].
    pub struct ShareKey;
}

/// One customer's weight and requests in flight in a workload.
#[derive(Clone, Copy, Debug)]
struct ShareEntry {
    weight: f64,
    in_flight: u32,
}

/// Decision on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareVerdict {
    /// The request is admitted.
    Admitted,
    /// The request is refused because it would exceed the customer's share.
    OverShare {
        /// The customer's share on this daemon, in requests in flight.
        share: f64,
    },
}

/// The customers of one workload on one daemon.
///
/// The load balancer spreads each customer's callers over the daemons, so a daemon's own traffic
/// is representative of the fleet's. While the workload is overloaded, each customer may have in
/// flight its max-min fair share of this daemon's requests: customers below the water level are
/// never refused.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    entries: SlotMap<ShareKey, ShareEntry>,
}

impl FairShare {
    /// Adds a customer with its weight.
    pub fn insert(&mut self, weight: f64) -> ShareKey {
        self.entries.insert(ShareEntry { weight, in_flight: 0 })
    }

    /// Changes a customer's weight.
    pub fn set_weight(&mut self, key: ShareKey, weight: f64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.weight = weight;
        }
    }

    /// Requests of the customer in flight on this daemon.
    pub fn in_flight(&self, key: ShareKey) -> u32 {
        self.entries.get(key).map_or(0, |entry| entry.in_flight)
    }

    /// Requests of all customers in flight on this daemon.
    pub fn total(&self) -> u32 {
        self.entries.values().map(|entry| entry.in_flight).sum()
    }

    /// Admits or refuses one request of the customer, and counts it if it is admitted.
    ///
    /// `utilisation` is the workload's load divided by its capacity; shares are enforced when it is
    /// `share_from` or more.
    pub fn admit(&mut self, key: ShareKey, utilisation: f64, share_from: f64) -> ShareVerdict {
        if utilisation >= share_from {
            let entry = self.entries.get(key).copied();
            let Some(entry) = entry else { return ShareVerdict::OverShare { share: 0.0 } };
            let allotted = f64::from(self.total()) * share_from / utilisation;
            let share = self.water_level(key, allotted) * entry.weight;
            // One request is always allowed, so that a customer with little traffic is served.
            if f64::from(entry.in_flight) + 1.0 > share.max(1.0) {
                return ShareVerdict::OverShare { share };
            }
        }
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight += 1;
        }
        ShareVerdict::Admitted
    }

    /// Records that a request of the customer ended.
    pub fn release(&mut self, key: ShareKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// The max-min fair water level, in requests in flight per unit of weight: demands capped at
    /// this level sum to `allotted`. The demand of `requester` includes its new request.
    fn water_level(&self, requester: ShareKey, allotted: f64) -> f64 {
        let mut demands: Vec<(f64, f64)> = self
            .entries
            .iter()
            .map(|(key, entry)| {
                let demand = f64::from(entry.in_flight) + f64::from(u8::from(key == requester));
                (demand / entry.weight, entry.weight)
            })
            .filter(|(level, _)| *level > 0.0)
            .collect();
        demands.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut remaining_weight: f64 = demands.iter().map(|(_, weight)| weight).sum();
        let mut remaining = allotted;
        for (level, weight) in demands {
            if level * remaining_weight >= remaining {
                return remaining / remaining_weight;
            }
            remaining -= level * weight;
            remaining_weight -= weight;
        }
        f64::INFINITY
    }
}
