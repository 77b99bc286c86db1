//! A service with targets in two data centres.

use crate::pool_fixture::pool_of;
use crate::pool_fixture::record;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetRecord;

/// A pool with two targets in data centre `a` and two in `b`.
pub fn two_centres() -> TargetPool {
    let mut pool = pool_of(2);
    for number in 2..4 {
        pool.put(TargetRecord { data_centre: "b".to_owned(), ..record(number) });
    }
    pool
}
