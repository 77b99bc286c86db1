//! Which services' targets accept connections of this daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::state::CONNECT_TIMEOUT;
use crate::front::state::FrontState;
use crate::upstream::ConnectError;
use crate::upstream::TargetConnection;
use ggt_core::partition::ReachRegained;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetKey;

/// Interval between probes of services that this daemon is cut off from.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of targets of a service that are probed at a time while the daemon is cut off from it.
const CUT_PROBES: usize = 2;
/// Number of targets that are probed at once when one did not respond.
const SUSPECT_PROBES: usize = 4;
/// Number of other targets from which on the end of one can be told from a cut of this daemon.
const MIN_OTHERS: usize = 2;
/// Time within which a cut reaches all targets.
const SETTLE_TIME: Duration = Duration::from_millis(40);
/// Maximum number of other targets that are tried for that.
const MAX_OTHERS: usize = 3;
/// Milliseconds without a reply of any target of a service after which its kept connections count as
/// hanging.
const HANG_MS: u64 = 300;

/// Probes services that this daemon is or may be cut off from, until the task is dropped.
pub async fn run_reach(state: Rc<FrontState>) {
    let mut round = 0;
    loop {
        tokio::select! {
            () = sleep(PROBE_INTERVAL) => {}
            () = state.reach_suspected.notified() => {}
        }
        round += 1;
        let mut probes = JoinSet::new();
        for (key, address) in state.next_probes(round) {
            probes.spawn_local(probe(state.clone(), key, address));
        }
        // A probe's outcome has been recorded.
        while probes.join_next().await.is_some() {}
    }
}

/// Opens a connection to a target and closes it again, as targets accept only so many; returns whether the
/// target accepts it.
async fn probe(state: Rc<FrontState>, key: TargetKey, address: SocketAddr) -> bool {
    match state.connect_target(key, address).await {
        Ok(_) => true,
        Err(e) => {
            state.record_outcome(key, e.outcome());
            false
        }
    }
}

impl FrontState {
    /// Targets to probe now: some of each service that the daemon is cut off from, in turn, and of those
    /// with a target that did not respond.
    fn next_probes(&self, round: usize) -> Vec<(TargetKey, SocketAddr)> {
        let suspects = std::mem::take(&mut *self.reach_suspects.borrow_mut());
        let pool = self.pool.borrow();
        let mut reach = self.reach.borrow_mut();
        reach.retain_services(|service| pool.staying_targets(service).next().is_some());
        let mut probes = Vec::new();
        for service in reach.cut_services() {
            let targets: Vec<_> = pool.staying_targets(service).collect();
            let turn = targets.iter().cycle().skip(round * CUT_PROBES % targets.len());
            let turn = turn.take(CUT_PROBES.min(targets.len()));
            probes.extend(turn.map(|(key, state)| (*key, state.record.address)));
        }
        for service in suspects.iter().filter(|service| reach.cut_since(service).is_none()) {
            let untried = pool.staying_targets(service).filter(|(key, state)| {
                !reach.has_failed(service, *key) && !state.health.is_unreachable()
            });
            probes.extend(untried.take(SUSPECT_PROBES).map(|(key, s)| (key, s.record.address)));
        }
        probes
    }

    /// Has the targets of services probed at once: of the one of a target that did not respond, or of all
    /// when the daemon is cut off from one.
    fn suspect_services(&self, services: Vec<String>) {
        self.reach_suspects.borrow_mut().extend(services);
        self.reach_suspected.notify_one();
    }

    /// Keeps a connection whose reply has been read to its end, for requests to the same target or peer,
    /// unless the target leaves. `idle_seconds` is the target's own idle timeout, if it is known.
    pub fn keep_connection(
        &self,
        key: TargetKey,
        peer: Option<SocketAddr>,
        connection: TargetConnection,
        idle_seconds: Option<u64>,
    ) {
        match peer {
            Some(peer) => self.peer_connections.keep(peer, connection, None),
            None if self.is_leaving(key) => {}
            None => self.connections.keep(key, connection, idle_seconds),
        }
    }

    /// Whether this daemon is cut off from all targets rather than that the one at hand has ended: several
    /// others accept no connection either, or all accept again. With fewer others that are not known to have ended, it cannot
    /// be told.
    pub async fn reaches_no_other(self: &Rc<Self>, key: TargetKey) -> bool {
        let others = self.other_targets(key);
        if others.len() < MIN_OTHERS {
            return false;
        }
        // The first connections to be reset may be noticed before the last target refuses new ones.
        sleep(SETTLE_TIME).await;
        let mut probes = JoinSet::new();
        for (other, address) in others {
            let state = self.clone();
            probes.spawn_local(async move { probe(state, other, address).await });
        }
        while let Some(is_reached) = probes.join_next().await {
            if is_reached.unwrap_or_default() {
                // The others' outcomes are still recorded.
                probes.detach_all();
                return self.accepts_again(key).await;
            }
        }
        true
    }

    /// Whether a target that refused a connection accepts one now: a cut that is over by the time the others
    /// are tried.
    async fn accepts_again(self: &Rc<Self>, key: TargetKey) -> bool {
        let address = self.pool.borrow().target(key).map(|target| target.record.address);
        match address {
            Some(address) => self.connect_target(key, address).await.is_ok(),
            None => false,
        }
    }

    /// Some targets but this one that are not known to have ended, those that replied last first.
    fn other_targets(&self, key: TargetKey) -> Vec<(TargetKey, SocketAddr)> {
        let pool = self.pool.borrow();
        let losses = self.losses.borrow();
        let mut others: Vec<_> = pool
            .iter()
            .filter(|(other, state)| *other != key && state.remove_at.is_none())
            .filter(|(_, state)| !state.record.is_leaving && !losses.has_ended(state.crash_id()))
            .map(|(other, state)| (state.last_reply_at, other, state.record.address))
            .collect();
        others.sort_by_key(|(last_reply_at, _, _)| std::cmp::Reverse(*last_reply_at));
        others.truncate(MAX_OTHERS);
        others.into_iter().map(|(_, other, address)| (other, address)).collect()
    }

    /// Whether this daemon is cut off from a service and kept connections bring nothing either.
    pub fn is_cut_silent(&self, service: &str) -> bool {
        let now = mono_now();
        let pool = self.pool.borrow();
        self.is_cut_off(service)
            && pool.staying_targets(service).all(|(_, s)| now >= s.last_reply_at + HANG_MS)
    }

    /// Opens a connection to a target, and records if it accepts.
    pub async fn connect_target(
        &self,
        key: TargetKey,
        address: SocketAddr,
    ) -> Result<TargetConnection, ConnectError> {
        let opened = TargetConnection::open(address, CONNECT_TIMEOUT).await;
        if opened.is_ok() {
            self.record_accept(key);
            self.pool.borrow_mut().record_accept(key, mono_now());
        }
        opened
    }

    /// Records that a target accepted no connection, and logs if this daemon is cut off from its service
    /// by that.
    pub fn record_connect_failure(&self, key: TargetKey, outcome: SendOutcome) {
        let Some((service, targets)) = self.service_of(key) else { return };
        let now = mono_now();
        let is_cut_off = self.reach.borrow_mut().record_failure(&service, key, &targets, now);
        if is_cut_off {
            self.log_cut(&service, "cut-off");
            self.digest_requested.notify_one();
            let services = self.pool.borrow().services().map(str::to_owned).collect();
            self.suspect_services(services);
        } else if outcome == SendOutcome::Unresponsive && !self.is_cut_off(&service) {
            self.suspect_services(vec![service]);
        }
    }

    fn record_accept(&self, key: TargetKey) {
        let Some((service, _)) = self.service_of(key) else { return };
        let regained = self.reach.borrow_mut().record_accept(&service, key);
        if let Some(ReachRegained { cut_since, failed }) = regained {
            self.digest_requested.notify_one();
            self.pool.borrow_mut().record_regained(key, &failed, mono_now());
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

    /// Name of a target's service, and the targets there; `None` if the target is in an evacuated data centre, so
    /// that it says nothing about whether this daemon reaches the service.
    fn service_of(&self, key: TargetKey) -> Option<(String, Vec<TargetKey>)> {
        let pool = self.pool.borrow();
        let state = pool.target(key).filter(|state| !pool.is_evacuated(state))?;
        let service = state.record.service.clone();
        let targets = pool.staying_targets(&service).map(|(key, _)| key).collect();
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
