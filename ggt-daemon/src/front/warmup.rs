//! Fills a starting daemon's view of the targets' prefix caches.
//!
//! If other daemons are already running, it fetches the view of one of them. If the whole fleet
//! restarts at once, each daemon queries the cache lists of some of the engines and shares them
//! with the others, so that no engine is queried twice.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::cache_lists::list_target;
use crate::front::peers::fetch_prefixes;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::fleet::MIN_WARM_AGE_MS;
use ggt_core::targets::TargetKey;

/// Interval between checks for a configuration and targets.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time allowed for the first digests of other daemons to arrive.
const PEER_DISCOVERY_DELAY: Duration = Duration::from_millis(300);
/// Longest pause in milliseconds before busy daemons are queried again.
const MAX_BUSY_PAUSE_MS: u64 = 1_000;

/// Loads once which target has which prompt prefixes cached.
pub async fn run_warmup(state: Rc<FrontState>) {
    while state.route_config().is_none() || state.pool.borrow().is_empty() {
        sleep(READY_CHECK_INTERVAL).await;
    }
    sleep(PEER_DISCOVERY_DELAY).await;
    let mut fetched = fetch_view(&state).await;
    while fetched == ViewFetch::Busy && is_cold(&state) {
        let pause_ms = rand::rng().random_range(MAX_BUSY_PAUSE_MS / 2..=MAX_BUSY_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        fetched = fetch_view(&state).await;
    }
    if fetched == ViewFetch::Failed && !state.settings().first_start {
        for key in assigned_engines(&state) {
            list_target(&state, key).await;
        }
    }
}

/// What became of an attempt to fetch the view of another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewFetch {
    /// It was fetched.
    Done,
    /// Those that have one cannot give it now.
    Busy,
    /// There is no daemon that has one.
    Failed,
}

/// Fetches the view of one of the daemons that have run long enough to have a filled one.
async fn fetch_view(state: &FrontState) -> ViewFetch {
    let mut outcome = ViewFetch::Failed;
    let peers = state.fleet.borrow().warm_peers(mono_now());
    for peer in peers {
        match fetch_prefixes(peer).await {
            Ok(prefixes) => {
                let now = mono_now();
                let mut pool = state.pool.borrow_mut();
                prefixes
                    .iter()
                    .for_each(|(prefix, target)| pool.record_peer_prefix(*target, *prefix, now));
                log::info!("event=warmup source=peer peer={peer} reads={}", prefixes.len());
                return ViewFetch::Done;
            }
            Err(e) => {
                if e.is_busy() {
                    outcome = ViewFetch::Busy;
                }
                log::info!("event=warmup source=peer peer={peer} cause={}", quoted(&e.to_string()));
            }
        }
    }
    outcome
}

/// Whether this daemon's own traffic has not filled its view yet.
fn is_cold(state: &FrontState) -> bool {
    mono_now().millis_since(state.started_at) < MIN_WARM_AGE_MS
}

/// Engines that this daemon queries; each is assigned to one of the daemons that are alive.
fn assigned_engines(state: &FrontState) -> Vec<TargetKey> {
    let fleet = state.fleet.borrow();
    let now = mono_now();
    let pool = state.pool.borrow();
    let engines = pool.iter().filter(|(_, target)| state.is_engine(&target.record));
    engines
        .filter(|(_, target)| fleet.lister(target.location_hash, now).is_none())
        .map(|(key, _)| key)
        .collect()
}
