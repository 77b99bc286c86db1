//! The status report.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::clock::mono_now;
use crate::lock::lock;
use crate::metrics::TrafficFigure;
use crate::peers::peers_to_ask;
use crate::state::SharedState;
use ggt_core::claims::HolderStats;
use ggt_wire::platform::FolderKind;

/// What is in force on one daemon and what it sees.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// The daemon.
    pub daemon: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// The configuration revision in force.
    pub revision: Option<u64>,
    /// The roster epoch in force.
    pub epoch: Option<u64>,
    /// The highest rejected revision above it, and why.
    pub rejected: Option<String>,
    /// Offers of an older revision, so far.
    pub stale_offers: u64,
    /// The version of the host list in use.
    pub hosts_version: u64,
    /// Why the newest host list was rejected.
    pub hosts_rejected: Option<String>,
    /// Requests in flight.
    pub in_flight: usize,
    /// Claims held for others.
    pub claims: HolderStats,
    /// Peers that have not told their roster epoch yet, without which fewer claims are granted.
    pub unheard_peers: usize,
    /// Requests under suspicion of crashing targets.
    pub suspects: usize,
    /// Gossip items that waited because the byte budget was spent, so far.
    pub shed_items: u64,
    /// Bytes of control traffic.
    pub traffic: Vec<TrafficFigure>,
    /// Peers.
    pub peers: Vec<PeerFigure>,
    /// Targets.
    pub targets: Vec<TargetFigure>,
    /// Customers with requests in flight, by workload.
    pub customers: BTreeMap<String, BTreeMap<String, u32>>,
}

/// One peer.
#[derive(Clone, Debug, Serialize)]
pub struct PeerFigure {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// What is believed of it.
    pub status: &'static str,
    /// The highest revision that it showed.
    pub revision: u64,
}

/// One target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetFigure {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its workload.
    pub workload: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it takes new work, and why not.
    pub status: &'static str,
    /// Its estimated load.
    pub load: f64,
    /// Requests that it can run at once.
    pub capacity: u32,
}

/// Builds the report.
pub fn build_report(state: &SharedState) -> StatusReport {
    let folders = lock(&state.folders);
    let config_slot = folders.slot(FolderKind::Config).clone();
    let hosts_rejected = folders.slot(FolderKind::Hosts).rejection.clone();
    drop(folders);
    let config = state.force();
    let gossip = lock(&state.gossip);
    let peers = gossip
        .peers
        .iter()
        .map(|peer| PeerFigure {
            name: peer.name.to_string(),
            data_centre: peer.centre.to_string(),
            status: peer.status.as_str(),
            revision: peer.revision,
        })
        .collect();
    let shed_items = gossip.budget.shed_total();
    drop(gossip);
    let mut customers: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
    for (workload, customer, in_flight) in lock(&state.shares).in_flight() {
        if in_flight > 0 {
            let entry = customers.entry(workload.to_string()).or_default();
            entry.insert(customer.to_string(), in_flight);
        }
    }
    // Each lock is let go before the next is taken: a guard within the expression below would
    // live until its end.
    let hosts_version = lock(&state.routing).list_version();
    let claims = lock(&state.holder).stats();
    let suspects = lock(&state.blame).len();
    StatusReport {
        daemon: state.settings.name.to_string(),
        data_centre: state.settings.data_centre.to_string(),
        incarnation: state.incarnation,
        ready: state.is_ready(),
        draining: state.drain.is_draining(),
        revision: config.as_ref().map(|config| config.revision),
        epoch: config.as_ref().map(|config| config.accepted.model.roster.epoch),
        rejected: config_slot.gate.rejected().and(config_slot.rejection),
        stale_offers: config_slot.gate.stale_count(),
        hosts_version,
        hosts_rejected,
        in_flight: state.drain.count(),
        claims,
        unheard_peers: peers_to_ask(state).len(),
        suspects,
        shed_items,
        traffic: state.metrics.traffic_figures(),
        peers,
        targets: target_figures(state),
        customers,
    }
}

fn target_figures(state: &SharedState) -> Vec<TargetFigure> {
    let peer_scale = state.force().map_or(1.0, |config| config.routing.peer_scale);
    let now = mono_now();
    let routing = lock(&state.routing);
    routing
        .iter()
        .map(|(_, entry)| TargetFigure {
            name: entry.host.name.to_string(),
            data_centre: entry.host.data_centre.to_string(),
            workload: entry.host.workload.to_string(),
            incarnation: entry.host.incarnation,
            status: routing.status(entry, now).as_str(),
            load: entry.load.value(peer_scale),
            capacity: entry.host.capacity,
        })
        .collect()
}
