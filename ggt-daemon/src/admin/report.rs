//! Status report of the admin API.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::clock::mono_now;
use crate::lock::lock;
use crate::metrics::TrafficSummary;
use crate::peers::peers_without_epoch;
use crate::state::SharedState;
use ggt_core::claims::HolderStats;
use ggt_wire::platform::FolderKind;

/// State of one daemon and its view of peers and targets.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// Name of the daemon.
    pub daemon: String,
    /// Data centre of the daemon.
    pub data_centre: String,
    /// Incarnation of the daemon: its start time in milliseconds.
    pub incarnation: u64,
    /// Whether configuration and host list are active and the daemon is not draining.
    pub ready: bool,
    /// Whether the daemon is draining.
    pub draining: bool,
    /// Active configuration revision; `None` before the first activation.
    pub revision: Option<u64>,
    /// Roster epoch of the active configuration.
    pub epoch: Option<u64>,
    /// Rejected configuration revision above the active one, with the error.
    pub rejected: Option<String>,
    /// Number of configuration revisions received that were older than the active one.
    pub stale_offers: u64,
    /// Version of the active host list; zero if there is none.
    pub hosts_version: u64,
    /// Rejected version of the host list, with the error.
    pub hosts_rejected: Option<String>,
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Statistics of the claims that this daemon holds.
    pub claims: HolderStats,
    /// Peers without a confirmed roster epoch; while there are some, this daemon may abstain from
    /// granting claims.
    pub unheard_peers: usize,
    /// Number of requests suspected of crashing targets.
    pub suspects: usize,
    /// Number of crashes that count against these requests.
    pub suspect_crashes: usize,
    /// Number of gossip items deferred for lack of byte budget.
    pub shed_items: u64,
    /// Bytes of control traffic by kind.
    pub traffic: Vec<TrafficSummary>,
    /// All other daemons of the roster.
    pub peers: Vec<PeerSummary>,
    /// All targets of the host list.
    pub targets: Vec<TargetSummary>,
    /// Requests in flight by workload and customer; zeros are left out.
    pub customers: BTreeMap<String, BTreeMap<String, u32>>,
}

/// Status of one peer as seen by the reporting daemon.
#[derive(Clone, Debug, Serialize)]
pub struct PeerSummary {
    /// Name of the peer.
    pub name: String,
    /// Data centre of the peer.
    pub data_centre: String,
    /// Membership status: alive, suspect, dead or left.
    pub status: &'static str,
    /// Highest configuration revision seen in the peer's datagrams.
    pub revision: u64,
}

/// Status of one target as seen by the reporting daemon.
#[derive(Clone, Debug, Serialize)]
pub struct TargetSummary {
    /// Name of the target.
    pub name: String,
    /// Data centre of the target.
    pub data_centre: String,
    /// Workload that the target serves.
    pub workload: String,
    /// Last known incarnation.
    pub incarnation: u64,
    /// `ready`, `leaving`, `held`, `down` or `cut-off`; only a `ready` target gets new requests.
    pub status: &'static str,
    /// Estimated load, on the scale of `capacity`.
    pub load: f64,
    /// Maximum concurrent requests.
    pub capacity: u32,
}

/// Collects the report from the shared state.
pub fn build_report(state: &SharedState) -> StatusReport {
    let folders = lock(&state.folders);
    let config_slot = folders.slot(FolderKind::Config).clone();
    let hosts_rejected = folders.slot(FolderKind::Hosts).rejection.clone();
    drop(folders);
    let config = state.active_config();
    let gossip = lock(&state.gossip);
    let peers = gossip
        .peers
        .iter()
        .map(|peer| PeerSummary {
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
    // Read in statements of their own: a lock guard in the expression below would be held until the
    // end of the expression, while other locks are taken.
    let hosts_version = lock(&state.routing).list_version();
    let claims = lock(&state.claim_holder).stats();
    let suspects = lock(&state.crashes).len();
    let suspect_crashes = lock(&state.crashes).crash_count();
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
        unheard_peers: peers_without_epoch(state).len(),
        suspects,
        suspect_crashes,
        shed_items,
        traffic: state.metrics.traffic_summaries(),
        peers,
        targets: target_summaries(state),
        customers,
    }
}

fn target_summaries(state: &SharedState) -> Vec<TargetSummary> {
    let peer_scale = state.active_config().map_or(1.0, |config| config.routing.peer_scale);
    let now = mono_now();
    let routing = lock(&state.routing);
    routing
        .iter()
        .map(|(_, entry)| TargetSummary {
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
