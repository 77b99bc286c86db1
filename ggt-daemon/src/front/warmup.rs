//! Fills a starting daemon's view of the targets' prefix caches.
//!
//! If other daemons are already running, it fetches the view of one of them. If the whole fleet
//! restarts at once, each daemon queries the cache lists of some of the engines and shares them
//! with the others, so that no engine is queried twice.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::front::call::CallError;
use crate::front::call::get;
use crate::front::peers::fetch_prefixes;
use crate::front::state::CONNECT_TIMEOUT;
use crate::front::state::FrontState;
use crate::logging::quoted;
use crate::upstream::TargetConnection;
use ggt_core::ident::stable_hash;
use ggt_core::prompts::prefix_hash;
use ggt_core::routing::rendezvous_score;
use ggt_core::targets::TargetKey;
use ggt_platform::CACHE_LIST_PATH;
use ggt_platform::parse_cache_list;

/// Interval between checks for a configuration and targets.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time allowed for the first digests of other daemons to arrive.
const PEER_DISCOVERY_DELAY: Duration = Duration::from_millis(300);
/// Uptime in milliseconds from which a daemon's view is considered filled by its own traffic.
const MIN_WARM_AGE_MS: u64 = 5_000;
/// Maximum number of daemons that are queried.
const MAX_PEERS: usize = 3;
/// Timeout of one engine's cache list.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Loads once which target has which prompt prefixes cached.
pub async fn run_warmup(state: Rc<FrontState>) {
    while state.route_config().is_none() || state.pool.borrow().is_empty() {
        sleep(READY_CHECK_INTERVAL).await;
    }
    sleep(PEER_DISCOVERY_DELAY).await;
    for peer in warm_peers(&state) {
        match fetch_prefixes(peer).await {
            Ok(prefixes) => {
                let now = mono_now();
                let mut pool = state.pool.borrow_mut();
                prefixes
                    .iter()
                    .for_each(|(prefix, target)| pool.record_peer_prefix(*target, *prefix, now));
                log::info!("event=warmup source=peer peer={peer} reads={}", prefixes.len());
                return;
            }
            Err(e) => {
                log::info!("event=warmup source=peer peer={peer} cause={}", quoted(&e.to_string()));
            }
        }
    }
    if !state.settings().first_start {
        for (key, address) in assigned_engines(&state) {
            load_cache_list(&state, key, address).await;
        }
    }
}

/// Peers that have run long enough to have a filled view.
fn warm_peers(state: &FrontState) -> Vec<SocketAddr> {
    let fleet = state.fleet.borrow();
    let alive = fleet.alive(mono_now()).map(|peer| &peer.digest);
    let warm = alive.filter(|digest| digest.age_ms >= MIN_WARM_AGE_MS);
    warm.map(|digest| digest.address).take(MAX_PEERS).collect()
}

/// Engines that this daemon queries; rendezvous hashing assigns each engine to one daemon that is
/// alive.
fn assigned_engines(state: &FrontState) -> Vec<(TargetKey, SocketAddr)> {
    let Some(config) = state.route_config() else { return Vec::new() };
    let own_address = state.settings().peer;
    let fleet = state.fleet.borrow();
    let peers: Vec<_> = fleet.alive(mono_now()).map(|peer| peer.digest.address).collect();
    let score = |daemon: &SocketAddr, location_hash: u64| {
        rendezvous_score(location_hash, stable_hash(daemon.to_string().as_bytes()), 1.0)
    };
    let pool = state.pool.borrow();
    let engines = pool.iter().filter(|(_, target)| {
        config.service(&target.record.service).is_some_and(|service| service.engine.is_some())
    });
    engines
        .filter(|(_, target)| {
            let location_hash = target.location_hash;
            peers.iter().all(|peer| score(peer, location_hash) < score(&own_address, location_hash))
        })
        .map(|(key, target)| (key, target.record.address))
        .collect()
}

async fn load_cache_list(state: &FrontState, key: TargetKey, address: SocketAddr) {
    let call = async {
        let mut connection = TargetConnection::open(address, CONNECT_TIMEOUT).await?;
        get(&mut connection, address, CACHE_LIST_PATH).await
    };
    let reply = timeout(LIST_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout));
    let parts = match reply {
        Ok(reply) if reply.status == 200 => {
            parse_cache_list(&reply.body).map_err(|e| e.to_string())
        }
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(e) => Err(e.to_string()),
    };
    match parts {
        Ok(parts) => {
            let now = mono_now();
            let mut pool = state.pool.borrow_mut();
            for part in &parts {
                pool.record_listed_prefix(key, prefix_hash(&part.model, part.hash), now);
            }
            log::info!("event=warmup source=engine address={address} parts={}", parts.len());
        }
        Err(cause) => {
            log::info!("event=warmup source=engine address={address} cause={}", quoted(&cause));
        }
    }
}
