//! Health checks of targets, divided among the daemons of a data centre.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use http::Method;
use serde::Deserialize;

use crate::clock::mono_now;
use crate::lock::lock;
use crate::metrics::TrafficKind;
use crate::state::SharedState;
use crate::upstream::blocking_call;
use ggt_core::clock::MonoTime;
use ggt_core::ident::TargetName;
use ggt_core::membership::GossipItem;
use ggt_core::membership::probe_assignment;
use ggt_core::membership::short_hash;
use ggt_core::routing::LoadReport;
use ggt_core::routing::TargetKey;
use ggt_core::routing::TargetStatus;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Poll interval of the probing thread, and longest pause between two probes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A target's reply to a probe.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ProbeReply {
    /// Incarnation of the target that replied.
    pub incarnation: u64,
    /// The target's own report of its load.
    #[serde(flatten)]
    pub report: LoadReport,
    /// Whether the target accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Why there is no valid reply to a probe.
#[derive(Clone, Debug)]
pub struct ProbeFailure {
    /// Cause as text.
    pub cause: String,
    /// Whether the target was only silent for the time given to it, so that it may be sound.
    pub is_silence: bool,
}

/// Sends a probe to a target.
///
/// # Errors
/// [`ProbeFailure`] when there is no valid reply.
pub fn probe(state: &SharedState, address: SocketAddr) -> Result<ProbeReply, ProbeFailure> {
    let connect = Duration::from_millis(state.settings.timing.connect_ms).min(PROBE_TIMEOUT);
    let counter = state.metrics.traffic(TrafficKind::Probe);
    let call = blocking_call(address, &Method::GET, "/load", connect, PROBE_TIMEOUT, Some(counter));
    let (status, text) =
        call.map_err(|e| ProbeFailure { is_silence: e.is_silence(), cause: e.to_string() })?;
    let invalid = |cause: String| ProbeFailure { cause, is_silence: false };
    if status != 200 {
        return Err(invalid(format!("status {status}")));
    }
    serde_json::from_str(&text).map_err(|e| invalid(e.to_string()))
}

/// A target to probe, as in the routing table when the round began.
struct DueProbe {
    key: TargetKey,
    name: TargetName,
    address: SocketAddr,
    incarnation: u64,
    is_down: bool,
}

/// Probes the targets assigned to this daemon for as long as the process runs.
///
/// A daemon also probes each target that it considers down or silent, and in rotation
/// one target of each data centre that it considers unreachable: no other daemon can find out
/// whether this one reaches them.
pub fn run_probes(state: &Arc<SharedState>) {
    let period = state.settings.timing.probe_ms;
    let mut next_at = mono_now();
    let mut round = 0;
    loop {
        thread::sleep(POLL_INTERVAL);
        if mono_now() < next_at {
            continue;
        }
        next_at = mono_now() + period;
        round += 1;
        let due = due_probes(state, next_at, round);
        // Spreads the probes over the period.
        let gap = Duration::from_millis(period / (due.len() as u64 + 1)).min(POLL_INTERVAL);
        for target in due {
            apply_result(state, &target, probe(state, target.address));
            thread::sleep(gap);
        }
    }
}

fn due_probes(state: &SharedState, now: MonoTime, round: usize) -> Vec<DueProbe> {
    let gossip = lock(&state.gossip);
    let alive: Vec<_> = gossip.peers.alive_in_centre().cloned().collect();
    drop(gossip);
    let routing = lock(&state.routing);
    let in_centre: Vec<u64> = routing
        .iter()
        .filter(|(_, entry)| entry.host.data_centre == state.settings.data_centre)
        .map(|(_, entry)| entry.hash())
        .collect();
    let reachability_probes: BTreeSet<TargetKey> = routing
        .unreachable_centres()
        .filter_map(|centre| {
            let members = routing.iter().filter(|(_, x)| x.host.data_centre == *centre);
            let keys: Vec<TargetKey> = members.map(|(key, _)| key).collect();
            keys.get(round % keys.len().max(1)).copied()
        })
        .collect();
    let assigned = probe_assignment(&state.settings.name, &alive, &in_centre);
    routing
        .iter()
        .filter_map(|(key, entry)| {
            let status = routing.status(entry, now);
            let is_down = status == TargetStatus::Down || routing.is_down(key);
            let is_silent = entry.is_silent();
            let is_assigned = assigned.contains(&entry.hash());
            let is_due = is_down || is_silent || is_assigned || reachability_probes.contains(&key);
            is_due.then(|| DueProbe {
                key,
                name: entry.host.name.clone(),
                address: entry.address(),
                incarnation: entry.host.incarnation,
                is_down,
            })
        })
        .collect()
}

fn apply_result(state: &SharedState, target: &DueProbe, result: Result<ProbeReply, ProbeFailure>) {
    let Some(config) = state.active_config() else { return };
    let hash = short_hash(target.name.as_str());
    let mut routing = lock(&state.routing);
    let item = match result {
        Ok(reply) if reply.incarnation < target.incarnation => return,
        Ok(reply) => {
            if routing.record_reply(target.key, mono_now()) {
                log::info!("event=target target={} status=up", target.name);
            }
            routing.apply_report(target.key, reply.incarnation, reply.report);
            if reply.leaving {
                drop(routing);
                announce_leaving(state, &target.name, reply.incarnation);
                return;
            }
            GossipItem::Load {
                target: hash,
                incarnation: reply.incarnation,
                report: reply.report,
                is_down: false,
            }
        }
        Err(ProbeFailure { cause, is_silence }) => {
            let hold = &config.routing.hold;
            let is_newly_down = match is_silence {
                true => routing.record_silence(target.key, hold, mono_now()),
                false => routing.record_failure(target.key, hold, mono_now()),
            };
            if is_newly_down {
                log::info!("event=target target={} status=down cause={cause:?}", target.name);
            }
            if !is_newly_down || target.is_down {
                return;
            }
            let report = routing
                .target(target.key)
                .and_then(|entry| entry.load.report())
                .unwrap_or_default();
            let incarnation = target.incarnation;
            GossipItem::Load { target: hash, incarnation, report, is_down: true }
        }
    };
    drop(routing);
    lock(&state.gossip).add_item(item);
}

/// Records and gossips that an incarnation of a target is leaving.
pub fn announce_leaving(state: &SharedState, name: &TargetName, incarnation: u64) {
    if lock(&state.routing).record_leaving(name, incarnation) {
        log::info!("event=target target={name} incarnation={incarnation} status=leaving");
    }
    let target = short_hash(name.as_str());
    lock(&state.gossip).add_item(GossipItem::Leaving { target, incarnation });
}
