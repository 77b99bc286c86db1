//! A service of plain targets and requests to it, for tests of admission and choice.

use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetRecord;
use ggt_core::versions::SoftwareVersion;

/// Slots of each target.
pub const SLOTS: u32 = 8;
/// Latency objective of each request in milliseconds.
pub const GOAL_MS: u64 = 300;

/// Registration of the target with this number, of the service `s` in data centre `a`.
pub fn record(number: usize) -> TargetRecord {
    TargetRecord {
        id: format!("t{number}"),
        incarnation: 1,
        service: "s".to_owned(),
        address: ([10, 0, 1, number as u8], 8_000).into(),
        data_centre: "a".to_owned(),
        version: SoftwareVersion::named("v1"),
        slots: SLOTS,
        is_leaving: false,
        cold_start: Default::default(),
    }
}

/// A pool with `count` targets of the service `s`.
pub fn pool_of(count: usize) -> TargetPool {
    let mut pool = TargetPool::default();
    for number in 0..count {
        pool.put(record(number));
    }
    pool
}

/// A request without a prompt to the service `s`.
pub fn query(priority: u32, spread_hash: u64) -> ChoiceQuery<'static> {
    ChoiceQuery {
        service: "s",
        chain: None,
        spread_hash,
        goal_ms: GOAL_MS,
        priority,
        data_centre: "a",
        tried: &[],
        may_have_run: false,
        is_idempotent: true,
        silent_since: None,
        version: None,
        allowed_centres: None,
    }
}
