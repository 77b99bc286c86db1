//! Loads that targets state in their replies: those of own replies, and those that peers pass on.

use crate::clock::mono_now;
use crate::front::state::FrontState;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::StatedLoadReport;
use ggt_core::targets::LoadReport;
use ggt_core::targets::LoadStatement;
use ggt_core::targets::TargetKey;

/// Maximum number of statements in a digest.
const MAX_STATED_LOADS: usize = 24;

impl FrontState {
    /// Applies what a target states about its load in a reply that has just arrived.
    pub fn apply_load_header(&self, key: TargetKey, load: Option<LoadReport>) {
        let Some(load) = load else { return };
        let statement = LoadStatement { requests: load.requests(), stated_at: mono_now() };
        let ttl_ms = self.fleet.borrow().load_statement_ttl_ms();
        self.pool.borrow_mut().apply_load(key, statement, ttl_ms);
    }

    /// Applies the statements in a peer's digest.
    pub fn apply_peer_loads(&self, digest: &PeerDigest) {
        let now = mono_now();
        let ttl_ms = self.fleet.borrow().load_statement_ttl_ms();
        let mut pool = self.pool.borrow_mut();
        for report in &digest.stated_loads {
            if let Some(key) = pool.by_short_hash(report.target) {
                pool.apply_load(key, report.statement(now), ttl_ms);
            }
        }
    }

    /// The latest statements to this daemon that still count, for a digest; newer ones first.
    pub fn stated_load_reports(&self, now: MonoTime) -> Vec<StatedLoadReport> {
        let ttl_ms = self.fleet.borrow().load_statement_ttl_ms();
        let pool = self.pool.borrow();
        let stated = pool.iter().filter_map(|(_, target)| {
            let (load, stated_at) = target.report.as_ref()?;
            let is_recent = now < *stated_at + ttl_ms;
            is_recent.then(|| StatedLoadReport::new(target.short_hash, load, *stated_at, now))
        });
        let mut reports: Vec<_> = stated.collect();
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(MAX_STATED_LOADS);
        reports
    }
}
