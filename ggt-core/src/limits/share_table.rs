//! Fair shares of every workload or service.

use std::collections::BTreeMap;

use crate::limits::FairShare;
use crate::limits::ShareKey;
use crate::limits::ShareVerdict;

/// Fair shares by workload (named by `W`) and customer (named by `C`).
#[derive(Debug)]
pub struct ShareTable<W, C> {
    pools: BTreeMap<W, SharePool<C>>,
}

#[derive(Debug)]
struct SharePool<C> {
    shares: FairShare,
    keys: BTreeMap<C, ShareKey>,
}

impl<W, C> Default for ShareTable<W, C> {
    fn default() -> Self {
        Self { pools: BTreeMap::new() }
    }
}

impl<C> Default for SharePool<C> {
    fn default() -> Self {
        Self { shares: FairShare::default(), keys: BTreeMap::new() }
    }
}

/// Permit of an admitted request, to be released when the request ends.
#[derive(Clone, Debug)]
pub struct SharePermit<W> {
    workload: W,
    key: ShareKey,
}

impl<W, C> ShareTable<W, C>
where
    W: Clone + Ord,
    C: Clone + Ord,
{
    /// Admits or refuses one request; see [`FairShare::admit`].
    ///
    /// # Errors
    /// The customer's share in requests in flight, if the request would exceed it.
    pub fn admit(
        &mut self,
        workload: &W,
        customer: &C,
        weight: f64,
        utilisation: f64,
        share_from: f64,
    ) -> Result<SharePermit<W>, f64> {
        let pool = self.pools.entry(workload.clone()).or_default();
        let shares = &mut pool.shares;
        let key = *pool.keys.entry(customer.clone()).or_insert_with(|| shares.insert(weight));
        shares.set_weight(key, weight);
        match shares.admit(key, utilisation, share_from) {
            ShareVerdict::Admitted => Ok(SharePermit { workload: workload.clone(), key }),
            ShareVerdict::OverShare { share } => Err(share),
        }
    }

    /// Releases the permit of a request that ended.
    pub fn release(&mut self, permit: &SharePermit<W>) {
        if let Some(pool) = self.pools.get_mut(&permit.workload) {
            pool.shares.release(permit.key);
        }
    }

    /// Number of requests in flight by workload and customer.
    pub fn in_flight(&self) -> impl Iterator<Item = (&W, &C, u32)> {
        self.pools.iter().flat_map(|(workload, pool)| {
            pool.keys
                .iter()
                .map(move |(customer, key)| (workload, customer, pool.shares.in_flight(*key)))
        })
    }
}
