//! Services whose targets fall over when they turn away too many requests: statements of own replies and
//! of peers, this daemon's part of the targets' places, and the ends of targets that this explains.

use crate::clock::mono_now;
use crate::front::state::FrontState;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashId;
use ggt_core::fleet::FragilityReport;
use ggt_core::fleet::PeerDigest;
use ggt_core::ident::service_hash;
use ggt_core::targets::FragilityStatement;
use ggt_core::targets::TargetKey;
use ggt_platform::ReplyHeaders;

/// Maximum number of services in a digest.
const MAX_REPORTS: usize = 8;
/// Maximum number of rejecting targets of one service in a digest.
const MAX_REJECTING: usize = 8;

impl FrontState {
    /// Applies the head of a target's reply: the rejections that the target says it stands.
    pub fn apply_fragility_header(&self, key: TargetKey, headers: &ReplyHeaders) {
        let service = self.pool.borrow().target(key).map(|target| target.record.service.clone());
        let Some(service) = service else { return };
        let ReplyHeaders { max_rejections, .. } = *headers;
        let statement = FragilityStatement { max_rejections, stated_at: mono_now() };
        self.apply_fragility(&service, statement, None);
    }

    /// Applies the statements in a peer's digest.
    pub fn apply_peer_fragilities(&self, digest: &PeerDigest) {
        let now = mono_now();
        for report in &digest.fragile {
            let service = self.pool.borrow().service_by_hash(report.service).map(str::to_owned);
            let Some(service) = service else { continue };
            for statement in report.statements(now) {
                self.apply_fragility(&service, statement, Some(digest));
            }
            let mut pool = self.pool.borrow_mut();
            report.rejecting.iter().for_each(|target| pool.record_peer_rejection(*target, now));
        }
    }

    /// Applies a statement, which `peer` reported unless this daemon received it itself.
    fn apply_fragility(
        &self,
        service: &str,
        statement: FragilityStatement,
        peer: Option<&PeerDigest>,
    ) {
        let now = mono_now();
        let is_change =
            self.pool.borrow_mut().apply_fragility(service, statement, peer.is_none(), now);
        if !is_change {
            return;
        }
        self.update_parts();
        self.digest_requested.notify_one();
        let maximum = self.pool.borrow().max_rejections(service);
        let source = peer.map_or("own".to_owned(), |digest| digest.address.to_string());
        log::info!(
            "event=fragile service={service} max_rejections={} source={source}",
            maximum.map_or("-".to_owned(), |maximum| maximum.to_string()),
        );
    }

    /// Sets this daemon's part of what fragile targets can take, by the daemons that it knows now.
    pub fn update_parts(&self) {
        let fleet = self.fleet.borrow();
        self.pool.borrow_mut().update_parts(mono_now(), |service| fleet.service_rank(service));
    }

    /// What targets of fragile services told this daemon, for a digest.
    pub fn fragility_reports(&self, now: MonoTime) -> Vec<FragilityReport> {
        let pool = self.pool.borrow();
        let reports = pool.own_fragilities(now).filter_map(|(service, record)| {
            let mut rejecting = pool.rejecting_targets(service, now);
            rejecting.truncate(MAX_REJECTING);
            FragilityReport::new(service_hash(service), record, rejecting, now)
        });
        reports.take(MAX_REPORTS).collect()
    }

    /// Whether the end of a target is explained by what it turned away.
    pub fn has_fallen(&self, crash: CrashId) -> bool {
        let mut pool = self.pool.borrow_mut();
        let is_known = pool.has_fallen(crash);
        let has_fallen = pool.record_fall(crash, mono_now());
        if has_fallen && !is_known {
            let target = pool.iter().find(|(_, target)| target.crash_id() == crash);
            let id = target.map_or("gone", |(_, target)| target.record.id.as_str());
            log::warn!("event=fall target={id} death={:016x}", crash.0);
        }
        has_fallen
    }
}
