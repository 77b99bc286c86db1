//! The customers' shares of each workload.

use std::collections::BTreeMap;

use ggt_core::ident::CustomerName;
use ggt_core::ident::WorkloadName;
use ggt_core::limits::FairShare;
use ggt_core::limits::ShareKey;
use ggt_core::limits::ShareVerdict;

/// Shares of all workloads.
#[derive(Debug, Default)]
pub struct ShareBook {
    pools: BTreeMap<WorkloadName, SharePool>,
}

#[derive(Debug, Default)]
struct SharePool {
    shares: FairShare,
    keys: BTreeMap<CustomerName, ShareKey>,
}

/// An admitted request; it is given back when the request ends.
#[derive(Clone, Debug)]
pub struct ShareTicket {
    workload: WorkloadName,
    key: ShareKey,
}

impl ShareBook {
    /// Decides on one request.
    ///
    /// # Errors
    /// The customer's share, when the customer is over it.
    pub fn admit(
        &mut self,
        workload: &WorkloadName,
        customer: &CustomerName,
        weight: f64,
        utilisation: f64,
        share_from: f64,
    ) -> Result<ShareTicket, f64> {
        let pool = self.pools.entry(workload.clone()).or_default();
        let shares = &mut pool.shares;
        let key = *pool.keys.entry(customer.clone()).or_insert_with(|| shares.insert(weight));
        shares.set_weight(key, weight);
        match shares.admit(key, utilisation, share_from) {
            ShareVerdict::Admitted => Ok(ShareTicket { workload: workload.clone(), key }),
            ShareVerdict::OverShare { share } => Err(share),
        }
    }

    /// Gives an admission back.
    pub fn release(&mut self, ticket: &ShareTicket) {
        if let Some(pool) = self.pools.get_mut(&ticket.workload) {
            pool.shares.release(ticket.key);
        }
    }

    /// Requests in flight by workload and customer.
    pub fn in_flight(&self) -> impl Iterator<Item = (&WorkloadName, &CustomerName, u32)> {
        self.pools.iter().flat_map(|(workload, pool)| {
            pool.keys
                .iter()
                .map(move |(customer, key)| (workload, customer, pool.shares.in_flight(*key)))
        })
    }
}
