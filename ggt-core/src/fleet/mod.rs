//! The daemons that find each other from a few seeds, and what each tells the others.
//!
//! Each daemon sends a digest of its own state to every daemon that it knows, at a pace that falls as
//! the fleet grows. Digests name other daemons, so that one living seed is enough to find all.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::blame::DeathMark;
use crate::blame::RequestPrint;
use crate::clock::MonoTime;
use crate::ident::stable_hash;
use crate::targets::FlightLoad;

/// Datagrams that a daemon sends in a second at most.
const MAX_SENDS_PER_SECOND: u64 = 80;
/// Shortest time between digests in milliseconds.
const MIN_PERIOD_MS: u64 = 100;
/// Digests that may be missed before a daemon is taken as gone.
const MAX_MISSED_DIGESTS: u64 = 6;
/// Shortest silence in milliseconds after which a daemon is taken as gone.
const MIN_SILENCE_MS: u64 = 1_000;
/// A daemon that was silent for this many milliseconds is forgotten.
const FORGET_MS: u64 = 30_000;
/// Fleets up to this size watch the platform all by themselves.
const SMALL_FLEET: usize = 12;
/// Daemons of each data centre that watch the platform in a larger fleet.
const CENTRE_WATCHERS: usize = 2;
/// Time from the start of a daemon in which it learns of the others before it watches, in milliseconds.
const SETTLE_MS: u64 = 1_000;
/// Daemons that a digest names at most.
const MAX_NAMED: usize = 12;

/// What one daemon tells the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerDigest {
    /// Where the daemon takes digests and calls.
    pub address: SocketAddr,
    /// Later than that of any former life at the address.
    pub incarnation: u64,
    /// Rises with each digest of one life.
    pub number: u64,
    /// The daemon's data centre, by a short hash.
    pub centre: u32,
    /// Megabits a second of its host's link.
    pub link_mbps: u32,
    /// Whether the daemon hears of the platform's changes itself.
    pub is_watching: bool,
    /// Milliseconds since the daemon started.
    pub age_ms: u64,
    /// Whether the daemon is stopping.
    pub is_leaving: bool,
    /// Revision of the latest change of a target that the daemon knows.
    pub target_revision: u64,
    /// Revision of the configuration that the daemon knows.
    pub config_revision: u64,
    /// Milliseconds since the daemon last heard from the platform itself.
    pub platform_age_ms: u32,
    /// What the daemon has in flight, by the targets' short hashes.
    pub loads: Vec<(u32, FlightLoad)>,
    /// Prompts that targets read lately for the daemon: the short hash of a chain's link, and the
    /// target's.
    pub reads: Vec<(u32, u32)>,
    /// Requests that were in flight when a target died.
    pub deaths: Vec<(RequestPrint, DeathMark)>,
    /// Other daemons that it knows.
    pub named: Vec<SocketAddr>,
}

/// One other daemon.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Its last digest.
    pub digest: PeerDigest,
    /// When that came.
    pub heard_at: MonoTime,
}

/// A target's load as a peer told it before and now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadChange {
    /// The target's short hash.
    pub hash: u32,
    /// The load that held before.
    pub before: FlightLoad,
    /// The load that holds now.
    pub after: FlightLoad,
}

/// Where a daemon that has read the platform's facts learns of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// From its peers, until it knows how many there are.
    Undecided,
    /// From the platform itself.
    Watcher,
    /// From its peers.
    Listener,
}

/// All daemons that one daemon knows.
#[derive(Clone, Debug)]
pub struct FleetTable {
    own: SocketAddr,
    peers: BTreeMap<SocketAddr, PeerState>,
    candidates: BTreeMap<SocketAddr, MonoTime>,
}

impl FleetTable {
    /// The table of the daemon at `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self { own, peers: BTreeMap::new(), candidates: BTreeMap::new() }
    }

    /// Records a digest and returns the loads that change with it; nothing when it is old.
    pub fn take(&mut self, digest: PeerDigest, now: MonoTime) -> Vec<LoadChange> {
        if digest.address == self.own {
            return Vec::new();
        }
        for address in &digest.named {
            if *address != self.own && !self.peers.contains_key(address) {
                self.candidates.entry(*address).or_insert(now + FORGET_MS);
            }
        }
        self.candidates.remove(&digest.address);
        let before = self.peers.get(&digest.address).map(|peer| &peer.digest);
        let is_old = before.is_some_and(|before| {
            (digest.incarnation, digest.number) <= (before.incarnation, before.number)
        });
        if is_old {
            return Vec::new();
        }
        let changes = load_changes(before.map_or(&[], |before| &before.loads), &digest.loads);
        self.peers.insert(digest.address, PeerState { digest, heard_at: now });
        changes
    }

    /// Takes the loads of daemons that fell silent out of the account.
    pub fn expire(&mut self, now: MonoTime) -> Vec<LoadChange> {
        let silence_ms = self.silence_ms();
        let mut changes = Vec::new();
        for peer in self.peers.values_mut().filter(|peer| peer.heard_at + silence_ms < now) {
            changes.extend(load_changes(&peer.digest.loads, &[]));
            peer.digest.loads.clear();
        }
        self.peers.retain(|_, peer| peer.heard_at + FORGET_MS >= now);
        self.candidates.retain(|_, expires_at| *expires_at >= now);
        changes
    }

    /// Daemons that were heard lately and are not stopping.
    pub fn living(&self, now: MonoTime) -> impl Iterator<Item = &PeerState> {
        let silence_ms = self.silence_ms();
        self.peers
            .values()
            .filter(move |peer| peer.heard_at + silence_ms >= now && !peer.digest.is_leaving)
    }

    /// Whether this daemon, which started at `started_at`, is to watch the platform itself.
    ///
    /// Until it can know how many others there are it does not: when a large fleet starts, all would.
    /// In a small fleet all do. In a large one a few of each data centre do, those with the fastest links,
    /// in an order that all daemons agree on, and the others learn from them; when none of a data centre
    /// does, all of it do.
    pub fn watch_role(
        &self,
        centre: u32,
        link_mbps: u32,
        started_at: MonoTime,
        now: MonoTime,
    ) -> WatchRole {
        if now < started_at + SETTLE_MS {
            return WatchRole::Undecided;
        }
        match self.should_watch(centre, link_mbps, now) {
            true => WatchRole::Watcher,
            false => WatchRole::Listener,
        }
    }

    fn should_watch(&self, centre: u32, link_mbps: u32, now: MonoTime) -> bool {
        let living: Vec<_> = self.living(now).map(|peer| &peer.digest).collect();
        if living.len() < SMALL_FLEET {
            return true;
        }
        let rank = |address: SocketAddr, mbps: u32| {
            (Reverse(mbps), stable_hash(address.to_string().as_bytes()))
        };
        let own = rank(self.own, link_mbps);
        let near = || living.iter().filter(|digest| digest.centre == centre);
        let before = near().filter(|digest| rank(digest.address, digest.link_mbps) < own);
        before.count() < CENTRE_WATCHERS || !near().any(|digest| digest.is_watching)
    }

    /// Where the next digest goes: all known daemons, those that were only named, and the seeds.
    pub fn audience(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let known = self.peers.keys().chain(self.candidates.keys()).chain(seeds);
        let mut audience: Vec<_> = known.copied().filter(|address| *address != self.own).collect();
        audience.sort_unstable();
        audience.dedup();
        audience
    }

    /// Some of the known daemons, to be named in the digest with this number.
    pub fn named(&self, number: u64) -> Vec<SocketAddr> {
        let count = self.peers.len().max(1);
        let skip = (number as usize).wrapping_mul(MAX_NAMED) % count;
        self.peers
            .keys()
            .cycle()
            .skip(skip)
            .take(MAX_NAMED.min(self.peers.len()))
            .copied()
            .collect()
    }

    /// Milliseconds between digests.
    pub fn period_ms(&self) -> u64 {
        let sends = self.peers.len() as u64 * 1_000 / MAX_SENDS_PER_SECOND;
        sends.max(MIN_PERIOD_MS)
    }

    fn silence_ms(&self) -> u64 {
        (self.period_ms() * MAX_MISSED_DIGESTS).max(MIN_SILENCE_MS)
    }
}

fn load_changes(before: &[(u32, FlightLoad)], after: &[(u32, FlightLoad)]) -> Vec<LoadChange> {
    let mut changes: HashMap<u32, LoadChange> = HashMap::new();
    let none = FlightLoad::default();
    for (hash, load) in before {
        changes.insert(*hash, LoadChange { hash: *hash, before: *load, after: none });
    }
    for (hash, load) in after {
        let change = LoadChange { hash: *hash, before: none, after: *load };
        changes.entry(*hash).or_insert(change).after = *load;
    }
    changes.into_values().filter(|change| change.before != change.after).collect()
}
