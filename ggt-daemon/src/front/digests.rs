//! Digests that daemons send to each other over UDP, periodically and when something is urgent.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::state::FrontState;
use crate::front::state::StoreFolder;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashReport;
use ggt_core::fleet::BATCH_INTERVAL_MS;
use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::batch_size;
use ggt_core::limits::DemandReport;
use ggt_core::store_watch::ANNOUNCE_MS;
use ggt_wire::digest::decode_digest;
use ggt_wire::digest::encode_digest;
use ggt_wire::marked::DatagramKind;
use ggt_wire::marked::datagram_kind;

/// Maximum size of a datagram in bytes; small enough not to be fragmented.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of targets whose load a digest reports.
const MAX_LOADS: usize = 50;
/// Maximum number of cached prefixes in a digest.
const MAX_PREFIXES: usize = 64;
/// Maximum number of target crashes that a digest reports.
const MAX_CRASHES: usize = 24;
/// Maximum number of replaced targets that a digest reports.
const MAX_REPLACED: usize = 16;
/// Maximum number of ended targets that a digest reports.
const MAX_ENDED: usize = 16;
/// Maximum number of services and priorities whose demand a digest reports.
const MAX_DEMANDS: usize = 4;
/// Maximum number of exonerated requests that a digest reports.
const MAX_EXONERATED: usize = 8;
/// Delay before an early digest, so that changes in quick succession go into one.
const DIGEST_DELAY: Duration = Duration::from_millis(ANNOUNCE_MS);
/// Pause between two batches of datagrams of one digest.
const BATCH_INTERVAL: Duration = Duration::from_millis(BATCH_INTERVAL_MS);
/// Pause after an error of the socket.
const ERROR_INTERVAL: Duration = Duration::from_millis(60);

/// Sends digests to the other daemons until the task is dropped.
pub async fn run_digests(state: Rc<FrontState>, socket: Rc<UdpSocket>) {
    loop {
        state.expire();
        state.connections.sweep();
        state.peer_connections.sweep();
        send_digests(&state, &socket).await;
        let period_ms = state.fleet.borrow().period_ms();
        // The jitter keeps daemons that started together from sending at the same moment.
        let jitter_ms = rand::rng().random_range(0..=period_ms / 5);
        tokio::select! {
            () = sleep(Duration::from_millis(period_ms + jitter_ms)) => {}
            () = state.digest_requested.notified() => sleep(DIGEST_DELAY).await,
        }
    }
}

async fn send_digests(state: &FrontState, socket: &UdpSocket) {
    let mut recipients = state.fleet.borrow().recipients(&state.settings().seed_peers());
    // If datagrams are lost, they are not always those to the same daemons.
    recipients.shuffle(&mut rand::rng());
    let cached_prefixes = state.pool.borrow_mut().recent_prefixes(MAX_PREFIXES);
    let crashes = state.crashes.borrow_mut().next_reports(MAX_CRASHES);
    let exonerated = state.crashes.borrow_mut().next_exonerated(MAX_EXONERATED);
    let digest = PeerDigest { cached_prefixes, exonerated, ..own_digest(state, &crashes) };
    send_digest(state, socket, &recipients, digest).await;
}

/// Sends a digest to a daemon that has just started, which may get requests before the next regular
/// digest.
async fn greet(state: &FrontState, socket: &UdpSocket, peer: SocketAddr) {
    let crashes = state.crashes.borrow().most_suspected(MAX_CRASHES);
    send_digest(state, socket, &[peer], own_digest(state, &crashes)).await;
}

async fn send_digest(
    state: &FrontState,
    socket: &UdpSocket,
    recipients: &[SocketAddr],
    digest: PeerDigest,
) {
    let Some(bytes) = encode(digest) else { return };
    let batch = batch_size(state.settings().link_mbps, bytes.len());
    for (number, addresses) in recipients.chunks(batch).enumerate() {
        if number > 0 {
            sleep(BATCH_INTERVAL).await;
        }
        for address in addresses {
            if let Err(e) = socket.send_to(&bytes, address).await {
                log::debug!("event=digest peer={address} cause=\"{e}\"");
            }
        }
    }
    state.metrics.record_digests(recipients.len() as u64);
}

/// Encodes a digest; halves its lists of cached prefixes, then of rates, until it fits into a datagram.
fn encode(mut digest: PeerDigest) -> Option<Vec<u8>> {
    loop {
        match encode_digest(&digest) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => return Some(bytes),
            Ok(_) if !digest.cached_prefixes.is_empty() => {
                digest.cached_prefixes.truncate(digest.cached_prefixes.len() / 2)
            }
            Ok(_) if !digest.rates.is_empty() => digest.rates.truncate(digest.rates.len() / 2),
            Ok(bytes) => {
                log::warn!("event=digest outcome=dropped bytes={}", bytes.len());
                return None;
            }
            Err(e) => {
                log::error!("event=digest outcome=dropped cause=\"{e}\"");
                return None;
            }
        }
    }
}

/// A digest without cached prefixes and exonerated requests, which only regular digests report.
fn own_digest(state: &FrontState, crashes: &[CrashReport]) -> PeerDigest {
    let number = state.digest_number.get() + 1;
    state.digest_number.set(number);
    let pool = state.pool.borrow();
    let busy = pool.iter().filter(|(_, target)| target.own.requests > 0);
    let now = mono_now();
    let platform_age_ms = now.millis_since(state.platform_replied_at.get());
    let mut digest = PeerDigest {
        centre_hash: state.centre_hash,
        link_mbps: state.settings().link_mbps as u32,
        is_watching: state.is_watching(),
        age_ms: now.millis_since(state.started_at),
        is_leaving: state.is_draining(),
        target_revision: state.cache(StoreFolder::Targets).borrow().last_change_revision(),
        config_revision: state.cache(StoreFolder::Config).borrow().last_change_revision(),
        platform_age_ms: u32::try_from(platform_age_ms).unwrap_or(u32::MAX),
        loads: busy.map(|(_, target)| (target.short_hash, target.own)).take(MAX_LOADS).collect(),
        known_peers: state.fleet.borrow().known_peers(number),
        rates: state.rate_reports(number),
        reach: state.peer_reach(),
        fragile: state.fragility_reports(now),
        stated_loads: state.stated_load_reports(now),
        work_times: state.work_time_reports(now),
        replaced: pool.replaced_targets(now).take(MAX_REPLACED).collect(),
        ended: pool.end_reports(now).take(MAX_ENDED).collect(),
        demands: state.demand_reports(now),
        ..PeerDigest::new(state.settings().peer, state.incarnation, number)
    };
    digest.set_crashes(crashes, now);
    digest
}

impl FrontState {
    /// What this daemon is offered for services that are near their capacity, for a digest.
    fn demand_reports(&self, now: MonoTime) -> Vec<DemandReport> {
        let mut reports = self.demands.borrow_mut().reports(now);
        reports.truncate(MAX_DEMANDS);
        reports
    }
}

/// Receives digests, and what else other daemons send in datagrams, until the task is dropped.
pub async fn run_receiver(state: Rc<FrontState>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, peer)) => receive(&state, &socket, &buffer[..length], peer).await,
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(e) => {
                log::warn!("event=digest cause={}", quoted(&e.to_string()));
                sleep(ERROR_INTERVAL).await;
            }
        }
    }
}

async fn receive(state: &Rc<FrontState>, socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    match datagram_kind(bytes) {
        DatagramKind::Origins => state.apply_origins(bytes),
        DatagramKind::OriginQuestion => state.answer_question(bytes, peer).await,
        DatagramKind::OriginAnswer => state.apply_answer(bytes, peer),
        DatagramKind::CacheQuestion => state.answer_cache_question(bytes, peer),
        DatagramKind::CacheAnswer => state.apply_cache_answer(bytes, peer),
        DatagramKind::LifetimeQuestion => state.answer_lifetime_question(bytes, peer),
        DatagramKind::LifetimeAnswer => state.apply_lifetime_answer(bytes, peer),
        DatagramKind::Digest => {
            if let Some(started) = apply_datagram(state, bytes) {
                greet(state, socket, started).await;
            }
        }
    }
}

/// Applies a digest; returns the address of its daemon if that has just started.
fn apply_datagram(state: &FrontState, bytes: &[u8]) -> Option<SocketAddr> {
    let digest = match decode_digest(bytes) {
        Ok(digest) => digest,
        Err(e) => {
            log::warn!("event=digest outcome=unreadable cause=\"{e}\"");
            return None;
        }
    };
    let peer = state.fleet.borrow().is_first(&digest).then_some(digest.address);
    state.apply_digest(digest);
    peer
}
