//! The customers' shares of each workload or service.

use std::collections::BTreeMap;

use crate::limits::FairShare;
use crate::limits::ShareKey;
use crate::limits::ShareVerdict;

/// Shares of all workloads, whose names are `W`, for customers, whose names are `C`.
#[derive(Debug)]
pub struct ShareBook<W, C> {
    pools: BTreeMap<W, SharePool<C>>,
}

#[derive(Debug)]
struct SharePool<C> {
    shares: FairShare,
    keys: BTreeMap<C, ShareKey>,
}

impl<W, C> Default for ShareBook<W, C> {
    fn default() -> Self {
        Self { pools: BTreeMap::new() }
    }
}

impl<C> Default for SharePool<C> {
    fn default() -> Self {
        Self { shares: FairShare::default(), keys: BTreeMap::new() }
    }
}

/// An admitted request; it is given back when the request ends.
#[derive(Clone, Debug)]
pub struct ShareTicket<W> {
    workload: W,
    key: ShareKey,
}

impl<W, C> ShareBook<W, C>
where
    W: Clone + Ord,
    C: Clone + Ord,
{
    /// Decides on one request.
    ///
    /// # Errors
    /// The customer's share, when the customer is over it.
    pub fn admit(
        &mut self,
        workload: &W,
        customer: &C,
        weight: f64,
        utilisation: f64,
        share_from: f64,
    ) -> Result<ShareTicket<W>, f64> {
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
    pub fn release(&mut self, ticket: &ShareTicket<W>) {
        if let Some(pool) = self.pools.get_mut(&ticket.workload) {
            pool.shares.release(ticket.key);
        }
    }

    /// Requests in flight by workload and customer.
    pub fn in_flight(&self) -> impl Iterator<Item = (&W, &C, u32)> {
        self.pools.iter().flat_map(|(workload, pool)| {
            pool.keys
                .iter()
                .map(move |(customer, key)| (workload, customer, pool.shares.in_flight(*key)))
        })
    }
}
