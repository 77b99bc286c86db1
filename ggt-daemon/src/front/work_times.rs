//! Work times that targets state in their replies: those of own replies, and those that peers pass on.

use crate::clock::mono_now;
use crate::front::state::FrontState;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::WorkTimeReport;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetState;
use ggt_core::targets::WorkTimeStatement;
use ggt_platform::ReplyHeaders;

/// Maximum number of statements in a digest.
const MAX_WORK_TIMES: usize = 8;

impl FrontState {
    /// Applies what a target states about its work time in a reply that has just arrived.
    pub fn apply_work_time_header(&self, key: TargetKey, headers: &ReplyHeaders) {
        if headers.is_work_time_malformed {
            let pool = self.pool.borrow();
            let id = pool.target(key).map_or("gone", |target| target.record.id.as_str());
            log::info!("event=work-time target={id} outcome=malformed");
        }
        if let Some(percent) = headers.load.and_then(|load| load.work_time_percent) {
            let statement = WorkTimeStatement { percent, stated_at: mono_now() };
            self.pool.borrow_mut().apply_work_time(key, statement, true);
        }
    }

    /// Applies the statements in a peer's digest.
    pub fn apply_peer_work_times(&self, digest: &PeerDigest) {
        let now = mono_now();
        let mut pool = self.pool.borrow_mut();
        for report in digest.work_times.iter().filter(|report| report.percent > 0) {
            if let Some(key) = pool.by_short_hash(report.target) {
                pool.apply_work_time(key, report.statement(now), false);
            }
        }
    }

    /// The latest statements to this daemon that still count, for a digest; newer ones first. Engines are left out:
    /// they are chosen by their caches and loads.
    pub fn work_time_reports(&self, now: MonoTime) -> Vec<WorkTimeReport> {
        let config = self.route_config();
        let is_engine = |state: &TargetState| {
            let service = config.as_ref().and_then(|config| config.service(&state.record.service));
            service.is_some_and(|service| service.engine.is_some())
        };
        let pool = self.pool.borrow();
        let reports = pool.iter().filter_map(|(_, state)| {
            let statement = state.work_time.report(now)?;
            let report = WorkTimeReport::new(state.short_hash, &statement, now);
            (!is_engine(state)).then_some(report)
        });
        let mut reports: Vec<_> = reports.collect();
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(MAX_WORK_TIMES);
        reports
    }
}
