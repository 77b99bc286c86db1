//! Which services' targets accept connections of this daemon.

use std::net::SocketAddr;

use crate::clock::mono_now;
use crate::front::state::CONNECT_TIMEOUT;
use crate::front::state::FrontState;
use crate::upstream::ConnectError;
use crate::upstream::TargetConnection;
use ggt_core::partition::ReachRegained;
use ggt_core::targets::TargetKey;

impl FrontState {
    /// Opens a connection to a target, and records if it accepts.
    pub async fn connect_target(
        &self,
        key: TargetKey,
        address: SocketAddr,
    ) -> Result<TargetConnection, ConnectError> {
        let opened = TargetConnection::open(address, CONNECT_TIMEOUT).await;
        if opened.is_ok() {
            self.record_accept(key);
        }
        opened
    }

    /// Records that a target accepted no connection, and logs if this daemon is cut off from its service
    /// by that.
    pub fn record_connect_failure(&self, key: TargetKey) {
        let Some((service, targets)) = self.service_of(key) else { return };
        let now = mono_now();
        let is_cut_off = self.reach.borrow_mut().record_failure(&service, key, targets, now);
        if is_cut_off {
            self.log_cut(&service, "cut-off");
        }
    }

    fn record_accept(&self, key: TargetKey) {
        let Some((service, _)) = self.service_of(key) else { return };
        let regained = self.reach.borrow_mut().record_accept(&service, key);
        if let Some(ReachRegained { cut_since, failed }) = regained {
            log::warn!(
                "event=reach service={service} status=regained cut_ms={} failed={}",
                mono_now().millis_since(cut_since),
                failed.len(),
            );
        }
    }

    /// Whether none of a service's targets accepts connections of this daemon.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.reach.borrow().cut_since(service).is_some()
    }

    /// Name of a target's service, and the number of targets there.
    fn service_of(&self, key: TargetKey) -> Option<(String, usize)> {
        let pool = self.pool.borrow();
        let service = pool.target(key)?.record.service.clone();
        let targets = pool.staying_targets(&service).count();
        Some((service, targets))
    }

    /// Logs how much this daemon reaches, when it is cut off from a service or refuses a request for lack
    /// of a target.
    pub fn log_cut(&self, service: &str, status: &'static str) {
        let reach = self.reach.borrow();
        let (failed, failing_since) = reach.failures(service);
        let pool = self.pool.borrow();
        let counts = pool.reach_counts();
        log::warn!(
            "event=reach service={service} status={status} targets={} failed={failed} within_ms={} \
             unreachable={} of={} unreachable_centres={} centres={} unreachable_services={} services={} \
             cut_services={} is_cut_off={}",
            pool.staying_targets(service).count(),
            if failed > 0 { mono_now().millis_since(failing_since) } else { 0 },
            counts.unreachable_targets,
            counts.targets,
            counts.unreachable_centres,
            counts.centres,
            counts.unreachable_services,
            counts.services,
            reach.cut_services().count(),
            self.is_cut_off(service),
        );
    }
}
