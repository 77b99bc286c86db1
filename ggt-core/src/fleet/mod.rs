//! Discovery of the fleet's daemons from a few seeds, and the state that they exchange.
//!
//! Each daemon sends a digest of its state to every daemon that it has discovered, at a rate that
//! falls as the fleet grows. Digests list addresses of other daemons, so that one reachable seed is
//! enough to discover all.

mod digest;
mod forwarding;
mod members;
mod origin_holders;
mod pace;
mod warmup;

pub use digest::EndReport;
pub use digest::FragilityReport;
pub use digest::PeerDigest;
pub use digest::PeerReach;
pub use digest::RateReport;
pub use digest::StatedLoadReport;
pub use digest::WorkTimeReport;
pub use forwarding::FORWARD_PROTOCOL;
pub use forwarding::ForwardQuery;
pub use forwarding::PEER_PROTOCOL;
pub use origin_holders::OPEN_ORIGIN_HOLDERS;
pub use origin_holders::ORIGIN_HOLDERS;
pub use origin_holders::OriginCandidate;
pub use pace::BATCH_INTERVAL_MS;
pub use pace::batch_size;
pub use warmup::MIN_WARM_AGE_MS;
pub use warmup::ViewPace;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::clock::MonoTime;
use crate::fleet::forwarding::CACHE_PROTOCOL;
use crate::fleet::members::MemberTable;
use crate::fleet::members::member_hash;
use crate::fleet::members::member_score;
use crate::ident::stable_hash;
use crate::store_watch::WatchPeers;
use crate::targets::DaemonRank;
use crate::targets::InFlightLoad;
use crate::targets::RateShare;
use crate::targets::ReportPace;

/// Approximate maximum number of datagrams that a daemon sends per second.
const MAX_SENDS_PER_SECOND: u64 = 80;
/// Minimum interval between digests in milliseconds.
const MIN_PERIOD_MS: u64 = 100;
/// Number of missed digests after which a daemon no longer counts as alive.
const MAX_MISSED_DIGESTS: u64 = 6;
/// Minimum time in milliseconds without a digest after which a daemon no longer counts as alive.
const MIN_PEER_TIMEOUT_MS: u64 = 1_000;
/// Milliseconds without a digest after which a daemon is removed from the table.
const PEER_EXPIRY_MS: u64 = 30_000;
/// Largest number of daemons, this one included, with which every daemon watches the platform.
const MAX_SMALL_FLEET: usize = 12;
/// Number of daemons of each data centre that watch the platform in a larger fleet.
const WATCHERS_PER_CENTRE: usize = 2;
/// Milliseconds after its start in which a daemon discovers others before it decides whether to
/// watch.
const DISCOVERY_MS: u64 = 1_000;
/// Minimum time in milliseconds after its start in which a daemon meets all others.
const MIN_MEETING_MS: u64 = 2_000;
/// Number of intervals of digests in which it does.
const MEETING_PERIODS: u64 = 2;
/// Maximum number of daemon addresses in a digest.
const MAX_LISTED_PEERS: usize = 12;

/// State of one other daemon.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Its latest digest; the loads are cleared once it no longer counts as alive.
    pub digest: PeerDigest,
    /// When that digest arrived.
    pub received_at: MonoTime,
    /// Hash of its address for orders of daemons.
    member_hash: u64,
}

impl PeerState {
    /// Milliseconds since the daemon started.
    fn age_ms(&self, now: MonoTime) -> u64 {
        self.digest.age_ms.saturating_add(now.millis_since(self.received_at))
    }
}

/// Change of the load that one peer reports for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadChange {
    /// Short hash of the target.
    pub hash: u32,
    /// Previously reported load.
    pub before: InFlightLoad,
    /// Newly reported load.
    pub after: InFlightLoad,
}

/// How a daemon that has read the platform's store is notified of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// From its peers, while it has not yet discovered the fleet.
    Undecided,
    /// From the platform itself, which it watches.
    Watcher,
    /// From the digests of its peers, from which it fetches changes.
    Follower,
}

/// The daemons that one daemon has discovered.
#[derive(Clone, Debug)]
pub struct FleetTable {
    own_address: SocketAddr,
    peers: BTreeMap<SocketAddr, PeerState>,
    /// Addresses that peers have listed but that have sent no digest yet, and when each expires.
    candidates: BTreeMap<SocketAddr, MonoTime>,
    members: MemberTable,
}

impl FleetTable {
    /// An empty table of the daemon at address `own_address`.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            peers: BTreeMap::new(),
            candidates: BTreeMap::new(),
            members: MemberTable::default(),
        }
    }

    /// Whether a digest is the first one of its daemon's present incarnation.
    pub fn is_first(&self, digest: &PeerDigest) -> bool {
        let known = self.peers.get(&digest.address).map(|peer| peer.digest.incarnation);
        digest.address != self.own_address && known.is_none_or(|known| known < digest.incarnation)
    }

    /// Applies a digest and returns the resulting changes of load; none when the digest is
    /// outdated.
    pub fn apply(&mut self, digest: PeerDigest, now: MonoTime) -> Vec<LoadChange> {
        if digest.address == self.own_address {
            return Vec::new();
        }
        for address in &digest.known_peers {
            if *address != self.own_address && !self.peers.contains_key(address) {
                self.candidates.entry(*address).or_insert(now + PEER_EXPIRY_MS);
            }
        }
        self.candidates.remove(&digest.address);
        let before = self.peers.get(&digest.address).map(|peer| &peer.digest);
        let is_outdated = before.is_some_and(|before| {
            (digest.incarnation, digest.number) <= (before.incarnation, before.number)
        });
        if is_outdated {
            return Vec::new();
        }
        self.members.record(digest.address, digest.is_leaving, now);
        let changes = load_changes(before.map_or(&[], |before| &before.loads), &digest.loads);
        let member_hash = member_hash(digest.address);
        self.peers.insert(digest.address, PeerState { digest, received_at: now, member_hash });
        changes
    }

    /// The load that the other daemons together have last reported for the target with this short hash.
    pub fn reported_load(&self, hash: u32) -> InFlightLoad {
        let loads = self.peers.values().flat_map(|peer| &peer.digest.loads);
        let loads = loads.filter(|(target, _)| *target == hash);
        loads.fold(InFlightLoad::default(), |sum, (_, load)| InFlightLoad {
            requests: sum.requests + load.requests,
            backlog_tokens: sum.backlog_tokens + load.backlog_tokens,
        })
    }

    /// Clears the loads of daemons that are no longer alive and returns these changes; drops
    /// daemons that have sent no digest for a longer time.
    pub fn expire(&mut self, now: MonoTime) -> Vec<LoadChange> {
        let timeout_ms = self.timeout_ms();
        let mut changes = Vec::new();
        for peer in self.peers.values_mut().filter(|peer| peer.received_at + timeout_ms < now) {
            changes.extend(load_changes(&peer.digest.loads, &[]));
            peer.digest.loads.clear();
        }
        self.peers.retain(|_, peer| peer.received_at + PEER_EXPIRY_MS >= now);
        self.candidates.retain(|_, expires_at| *expires_at >= now);
        self.members.expire(now);
        changes
    }

    /// Other daemons that are alive, by their recent digests, and not draining.
    pub fn alive(&self, now: MonoTime) -> impl Iterator<Item = &PeerState> {
        self.running(now).filter(|peer| !peer.digest.is_leaving)
    }

    /// Other daemons whose processes run, by their recent digests; some may be draining.
    fn running(&self, now: MonoTime) -> impl Iterator<Item = &PeerState> {
        let timeout_ms = self.timeout_ms();
        self.peers.values().filter(move |peer| peer.received_at + timeout_ms >= now)
    }

    /// Whether no other daemon has been heard of in the last 30 s.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty() && self.candidates.is_empty()
    }

    /// Decides whether this daemon, which started at `started_at`, watches the platform itself.
    ///
    /// It does not until it has had time to discover the others, since otherwise all daemons of a
    /// large fleet that starts at once would. In a small fleet all daemons watch. In a large one, a
    /// few of each data centre do, those with the fastest links, in an order that is the same on
    /// all daemons, and the others follow them. If none of a data centre's other daemons watches,
    /// each daemon there does.
    pub fn watch_role(
        &self,
        centre_hash: u32,
        link_mbps: u32,
        started_at: MonoTime,
        now: MonoTime,
    ) -> WatchRole {
        if now < started_at + DISCOVERY_MS {
            return WatchRole::Undecided;
        }
        match self.should_watch(centre_hash, link_mbps, now) {
            true => WatchRole::Watcher,
            false => WatchRole::Follower,
        }
    }

    fn should_watch(&self, centre_hash: u32, link_mbps: u32, now: MonoTime) -> bool {
        let alive: Vec<_> = self.alive(now).map(|peer| &peer.digest).collect();
        if alive.len() < MAX_SMALL_FLEET {
            return true;
        }
        let rank = |address: SocketAddr, mbps: u32| {
            (Reverse(mbps), stable_hash(address.to_string().as_bytes()))
        };
        let own = rank(self.own_address, link_mbps);
        let same_centre = || alive.iter().filter(|digest| digest.centre_hash == centre_hash);
        let ahead = same_centre().filter(|digest| rank(digest.address, digest.link_mbps) < own);
        ahead.count() < WATCHERS_PER_CENTRE || !same_centre().any(|digest| digest.is_watching)
    }

    /// Who else hears of changes from the platform.
    pub fn watch_peers(&self, now: MonoTime) -> WatchPeers {
        match self.alive(now).count() {
            0 => WatchPeers::None,
            alive if alive < MAX_SMALL_FLEET => WatchPeers::Watchers,
            _ => WatchPeers::Followers,
        }
    }

    /// This daemon's rank for an item with this hash among all that are alive, in an order that is the
    /// same on all daemons with the same view; 0 is the first.
    pub fn rank(&self, hash: u64, now: MonoTime) -> usize {
        let own = member_score(hash, member_hash(self.own_address));
        self.alive(now).filter(|peer| member_score(hash, peer.member_hash) < own).count()
    }

    /// The daemon that lists the prefix cache of the target with this hash: the first of all that are alive, in an
    /// order that is the same on all daemons with the same view; `None` if that is this daemon.
    pub fn lister(&self, hash: u64, now: MonoTime) -> Option<SocketAddr> {
        let own = member_score(hash, member_hash(self.own_address));
        let peers = self.alive(now).filter(|peer| peer.digest.reach.protocol >= CACHE_PROTOCOL);
        let scores = peers.map(|peer| (member_score(hash, peer.member_hash), peer.digest.address));
        let first = scores.min().filter(|(score, _)| *score < own);
        first.map(|(_, address)| address)
    }

    /// This daemon's part of a limit of requests per second that the target with this hash takes from
    /// all daemons together.
    pub fn rate_share(&self, hash: u64, limit: f64) -> RateShare {
        self.members.rate_share(member_hash(self.own_address), hash, limit)
    }

    /// Whether this daemon, which started at `started_at`, knows all others by now. Its part of a limit would be too
    /// large before. One that has other daemons as `seeds` and has heard of none does not know the fleet.
    pub fn has_met_all(&self, started_at: MonoTime, seeds: &[SocketAddr], now: MonoTime) -> bool {
        let is_alone = seeds.iter().all(|seed| *seed == self.own_address);
        let meeting_ms = MIN_MEETING_MS.max(MEETING_PERIODS * self.period_ms());
        now >= started_at + meeting_ms && (is_alone || !self.members.is_empty())
    }

    /// This daemon's position among all that share the targets of the service with this short hash.
    pub fn service_rank(&self, hash: u32) -> DaemonRank {
        self.members.rank(member_hash(self.own_address), u64::from(hash))
    }

    /// Recipients of the next digest: discovered daemons, addresses listed in their digests, and
    /// the seeds.
    pub fn recipients(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let known = self.peers.keys().chain(self.candidates.keys()).chain(seeds);
        let mut recipients: Vec<_> =
            known.copied().filter(|address| *address != self.own_address).collect();
        recipients.sort_unstable();
        recipients.dedup();
        recipients
    }

    /// Addresses of discovered daemons to list in the digest with this number; successive digests
    /// rotate through all.
    pub fn known_peers(&self, number: u64) -> Vec<SocketAddr> {
        let count = self.peers.len().max(1);
        let skip = (number as usize).wrapping_mul(MAX_LISTED_PEERS) % count;
        self.peers
            .keys()
            .cycle()
            .skip(skip)
            .take(MAX_LISTED_PEERS.min(self.peers.len()))
            .copied()
            .collect()
    }

    /// Interval between digests in milliseconds.
    pub fn period_ms(&self) -> u64 {
        let period_ms = self.peers.len() as u64 * 1_000 / MAX_SENDS_PER_SECOND;
        period_ms.max(MIN_PERIOD_MS)
    }

    /// How the other daemons report what they send.
    pub fn report_pace(&self, now: MonoTime) -> ReportPace {
        ReportPace { peers: self.alive(now).count(), interval_ms: self.period_ms() }
    }

    /// Milliseconds for which what a target has stated about its load goes before the sum of what the daemons
    /// report: the mean age of their reports. Zero if digests are so frequent that the sum is the newer one.
    pub fn load_statement_ttl_ms(&self) -> u64 {
        match self.period_ms() {
            MIN_PERIOD_MS => 0,
            period_ms => period_ms / 2,
        }
    }

    fn timeout_ms(&self) -> u64 {
        (self.period_ms() * MAX_MISSED_DIGESTS).max(MIN_PEER_TIMEOUT_MS)
    }
}

fn load_changes(before: &[(u32, InFlightLoad)], after: &[(u32, InFlightLoad)]) -> Vec<LoadChange> {
    let mut changes: HashMap<u32, LoadChange> = HashMap::new();
    let no_load = InFlightLoad::default();
    for (hash, load) in before {
        changes.insert(*hash, LoadChange { hash: *hash, before: *load, after: no_load });
    }
    for (hash, load) in after {
        let change = LoadChange { hash: *hash, before: no_load, after: *load };
        changes.entry(*hash).or_insert(change).after = *load;
    }
    changes.into_values().filter(|change| change.before != change.after).collect()
}
