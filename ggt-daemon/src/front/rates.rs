//! Rates that targets say they take from all daemons together: statements of own replies and of
//! peers, and this daemon's part.

use crate::clock::mono_now;
use crate::front::state::FrontState;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::RateReport;
use ggt_core::targets::RateShare;
use ggt_core::targets::RateStatement;
use ggt_core::targets::TargetKey;
use ggt_platform::RateLimitHeader;

/// Maximum number of statements in a digest.
const MAX_REPORTS: usize = 40;

impl FrontState {
    /// Applies what a target states in its reply to a request that was sent at `sent_at`.
    pub fn apply_rate_header(&self, key: TargetKey, header: RateLimitHeader, sent_at: MonoTime) {
        let limit = match header {
            RateLimitHeader::Absent => None,
            // Single precision, as in digests, so that peers' reports of it show no change.
            RateLimitHeader::Limit(limit) => Some(f64::from(limit as f32)),
            RateLimitHeader::Malformed => {
                let pool = self.pool.borrow();
                let id = pool.target(key).map_or("gone", |target| target.record.id.as_str());
                log::info!("event=rate target={id} outcome=malformed");
                return;
            }
        };
        let statement = RateStatement { limit, sent_at, received_at: mono_now() };
        self.apply_rate(key, statement, None);
    }

    /// Applies the statements in a peer's digest.
    pub fn apply_peer_rates(&self, digest: &PeerDigest) {
        let now = mono_now();
        for report in &digest.rates {
            let key = self.pool.borrow().by_short_hash(report.target);
            if let Some(key) = key {
                self.apply_rate(key, report.statement(now), Some(digest));
            }
        }
    }

    /// Applies a statement, which `peer` reported unless this daemon received it itself.
    fn apply_rate(&self, key: TargetKey, statement: RateStatement, peer: Option<&PeerDigest>) {
        if !self.pool.borrow_mut().apply_rate(key, statement, peer.is_none()) {
            return;
        }
        self.update_rate_shares();
        let now = mono_now();
        let pool = self.pool.borrow();
        let Some(target) = pool.target(key) else { return };
        let limit = target.rate.limit(now).map(|limit| limit.per_second);
        let source = peer.map_or("own".to_owned(), |digest| digest.address.to_string());
        let text = |rate: Option<f64>| rate.map_or("-".to_owned(), |rate| format!("{rate:.2}"));
        log::info!(
            "event=rate target={} limit={} share={} source={source}",
            target.record.id,
            text(limit),
            text(limit.map(|_| target.rate.share().per_second)),
        );
    }

    /// Sets this daemon's part of each limit by the daemons that it knows now.
    pub fn update_rate_shares(&self) {
        let now = mono_now();
        let fleet = self.fleet.borrow();
        let has_met_all = fleet.has_met_all(self.started_at, &self.settings().seed_peers(), now);
        self.pool.borrow_mut().update_rate_shares(now, |hash, limit| {
            match limit.is_cold_start && !has_met_all {
                true => RateShare::default(),
                false => fleet.rate_share(hash, limit.per_second),
            }
        });
    }

    /// Recent statements of targets for the digest with this number; successive digests rotate
    /// through all.
    pub fn rate_reports(&self, number: u64) -> Vec<RateReport> {
        let now = mono_now();
        let pool = self.pool.borrow();
        let reports = pool.iter().filter_map(|(_, target)| {
            let statement = target.rate.report(now)?;
            Some(RateReport::new(target.short_hash, &statement, now))
        });
        let mut reports: Vec<_> = reports.collect();
        if !reports.is_empty() {
            let skip = (number as usize).wrapping_mul(MAX_REPORTS) % reports.len();
            reports.rotate_left(skip);
        }
        reports.truncate(MAX_REPORTS);
        reports
    }
}
