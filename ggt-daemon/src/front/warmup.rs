//! Fills a starting daemon's view of the targets' prefix caches.
//!
//! If other daemons are already running, it fetches the view of one of them. If the whole fleet
//! restarts at once, each daemon queries the cache lists of some of the engines and shares them with
//! the others, so that no engine is queried twice.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::front::call::CallError;
use crate::front::call::get;
use crate::front::peers::fetch_reads;
use crate::front::state::CONNECT_WAIT;
use crate::front::state::FrontState;
use crate::logging::quoted;
use crate::upstream::TargetChannel;
use ggt_core::ident::stable_hash;
use ggt_core::prompts::link_hash;
use ggt_core::routing::rendezvous_score;
use ggt_core::targets::TargetKey;
use ggt_platform::CACHE_LIST_PATH;
use ggt_platform::parse_cache_list;

/// Interval between checks for a configuration and targets.
const WAIT_STEP: Duration = Duration::from_millis(50);
/// Time allowed for the first digests of other daemons to arrive.
const DIGEST_WAIT: Duration = Duration::from_millis(300);
/// Uptime in milliseconds from which a daemon's view is filled by its own traffic.
const LEARNED_AGE_MS: u64 = 5_000;
/// Most daemons that are asked.
const MAX_ASKED: usize = 3;
/// Timeout of one engine's cache list.
const LIST_WAIT: Duration = Duration::from_millis(1_000);

/// Loads once which target has which prompt prefixes cached.
pub async fn run_warmup(state: Rc<FrontState>) {
    while state.book().is_none() || state.pool.borrow().is_empty() {
        sleep(WAIT_STEP).await;
    }
    sleep(DIGEST_WAIT).await;
    for peer in learned_peers(&state) {
        match fetch_reads(peer).await {
            Ok(reads) => {
                let now = mono_now();
                let mut pool = state.pool.borrow_mut();
                reads.iter().for_each(|(link, target)| pool.note_peer_read(*target, *link, now));
                log::info!("event=warmup source=peer peer={peer} reads={}", reads.len());
                return;
            }
            Err(e) => {
                log::info!("event=warmup source=peer peer={peer} cause={}", quoted(&e.to_string()));
            }
        }
    }
    if !state.settings().first_start {
        for (key, address) in own_part(&state) {
            list_one(&state, key, address).await;
        }
    }
}

fn learned_peers(state: &FrontState) -> Vec<SocketAddr> {
    let fleet = state.fleet.borrow();
    let living = fleet.living(mono_now()).map(|peer| &peer.digest);
    let learned = living.filter(|digest| digest.age_ms >= LEARNED_AGE_MS);
    learned.map(|digest| digest.address).take(MAX_ASKED).collect()
}

/// Engines that this daemon queries; rendezvous hashing assigns each engine to one daemon that is alive.
fn own_part(state: &FrontState) -> Vec<(TargetKey, SocketAddr)> {
    let Some(book) = state.book() else { return Vec::new() };
    let own = state.settings().peer;
    let fleet = state.fleet.borrow();
    let others: Vec<_> = fleet.living(mono_now()).map(|peer| peer.digest.address).collect();
    let score = |daemon: &SocketAddr, place: u64| {
        rendezvous_score(place, stable_hash(daemon.to_string().as_bytes()), 1.0)
    };
    let pool = state.pool.borrow();
    let engines = pool.iter().filter(|(_, target)| {
        book.service(&target.record.service).is_some_and(|service| service.engine.is_some())
    });
    engines
        .filter(|(_, target)| {
            let place = target.place_hash;
            others.iter().all(|other| score(other, place) < score(&own, place))
        })
        .map(|(key, target)| (key, target.record.address))
        .collect()
}

async fn list_one(state: &FrontState, key: TargetKey, address: SocketAddr) {
    let call = async {
        let mut channel = TargetChannel::open(address, CONNECT_WAIT).await?;
        get(&mut channel, address, CACHE_LIST_PATH).await
    };
    let answer = timeout(LIST_WAIT, call).await.unwrap_or(Err(CallError::Silent));
    let parts = match answer {
        Ok((200, body)) => parse_cache_list(&body).map_err(|e| e.to_string()),
        Ok((status, _)) => Err(format!("status {status}")),
        Err(e) => Err(e.to_string()),
    };
    match parts {
        Ok(parts) => {
            let now = mono_now();
            let mut pool = state.pool.borrow_mut();
            for part in &parts {
                pool.note_listed_part(key, link_hash(&part.model, part.hash), now);
            }
            log::info!("event=warmup source=engine address={address} parts={}", parts.len());
        }
        Err(cause) => {
            log::info!("event=warmup source=engine address={address} cause={}", quoted(&cause));
        }
    }
}
