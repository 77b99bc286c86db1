//! Discovery of the fleet's daemons from a few seeds, and the state that they exchange.
//!
//! Each daemon sends a digest of its state to every daemon that it has discovered, at a rate that
//! falls as the fleet grows. Digests list addresses of other daemons, so that one reachable seed is
//! enough to discover all.

mod members;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::crashes::CrashReport;
use crate::crashes::SuspectKey;
use crate::fleet::members::MemberTable;
use crate::fleet::members::member_hash;
use crate::fleet::members::member_score;
use crate::ident::stable_hash;
use crate::targets::InFlightLoad;
use crate::targets::RateShare;
use crate::targets::RateStatement;

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
/// Maximum number of daemon addresses in a digest.
const MAX_LISTED_PEERS: usize = 12;

/// State that a daemon sends to all others. Encoded with postcard: the order of the fields is part
/// of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerDigest {
    /// Address on which the daemon receives digests and calls.
    pub address: SocketAddr,
    /// Incarnation of the daemon, higher than that of any earlier process at the address.
    pub incarnation: u64,
    /// Sequence number, which increases with each digest of one incarnation.
    pub number: u64,
    /// Short hash of the daemon's data centre.
    #[serde(rename = "centre")]
    pub centre_hash: u32,
    /// Bandwidth of its host's link in megabits per second.
    pub link_mbps: u32,
    /// Whether the daemon watches the platform itself.
    pub is_watching: bool,
    /// Milliseconds since the daemon started, when the digest was made.
    pub age_ms: u64,
    /// Whether the daemon is draining.
    pub is_leaving: bool,
    /// Revision of the latest change of a target that the daemon has.
    pub target_revision: u64,
    /// Revision of the configuration that the daemon has.
    pub config_revision: u64,
    /// Milliseconds since the platform last replied to the daemon.
    pub platform_age_ms: u32,
    /// Load of the daemon's requests in flight, by short hash of the target.
    pub loads: Vec<(u32, InFlightLoad)>,
    /// Prefixes that targets recently cached for the daemon, as pairs of the short hashes of prefix
    /// and target.
    #[serde(rename = "reads")]
    pub cached_prefixes: Vec<(u32, u32)>,
    /// Requests that were in flight when a target crashed.
    #[serde(rename = "deaths")]
    pub crashes: Vec<(SuspectKey, CrashId)>,
    /// Some of the daemons that it has discovered.
    #[serde(rename = "named")]
    pub known_peers: Vec<SocketAddr>,
    /// Milliseconds since each of `crashes` was noticed, in the same order; a missing one counts as
    /// 0. Digests of earlier builds end before this field.
    pub crash_ages_ms: Vec<u32>,
    /// Suspected requests that completed on the daemon, so that they crashed no target. Digests of
    /// earlier builds end before this field.
    pub exonerated: Vec<SuspectKey>,
    /// Rates that targets say they take. Digests of earlier builds end before this field.
    pub rates: Vec<RateReport>,
}

/// What a target stated in a reply to the sender of a digest about the rate that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateReport {
    /// Short hash of the target.
    pub target: u32,
    /// Requests per second from all daemons together; `None` if there is no limit any more.
    pub limit: Option<f32>,
    /// Milliseconds since the request was sent, when the digest was made.
    pub sent_age_ms: u32,
    /// Milliseconds since the reply was received, when the digest was made.
    pub received_age_ms: u32,
}

impl RateReport {
    /// The report of a target's statement.
    pub fn new(target: u32, statement: &RateStatement, now: MonoTime) -> Self {
        let age_ms = |time| u32::try_from(now.millis_since(time)).unwrap_or(u32::MAX);
        Self {
            target,
            limit: statement.limit.map(|limit| limit as f32),
            sent_age_ms: age_ms(statement.sent_at),
            received_age_ms: age_ms(statement.received_at),
        }
    }

    /// The statement, with its times on the receiver's clock.
    pub fn statement(&self, now: MonoTime) -> RateStatement {
        let time =
            |age_ms: u32| MonoTime::from_millis(now.as_millis().saturating_sub(u64::from(age_ms)));
        RateStatement {
            limit: self.limit.map(f64::from),
            sent_at: time(self.sent_age_ms),
            received_at: time(self.received_age_ms),
        }
    }
}

impl PeerDigest {
    /// Sets the crashes that the digest reports, with their ages at `now`.
    pub fn set_crashes(&mut self, reports: &[CrashReport], now: MonoTime) {
        self.crashes = reports.iter().map(|report| (report.suspect, report.crash)).collect();
        let ages_ms = reports.iter().map(|report| now.millis_since(report.noticed_at));
        self.crash_ages_ms = ages_ms.map(|age| u32::try_from(age).unwrap_or(u32::MAX)).collect();
    }

    /// The crashes that the digest reports, with the times at which they were noticed.
    pub fn crash_reports(&self, now: MonoTime) -> impl Iterator<Item = CrashReport> + '_ {
        let ages_ms = self.crash_ages_ms.iter().copied().chain(std::iter::repeat(0));
        self.crashes.iter().zip(ages_ms).map(move |((suspect, crash), age_ms)| {
            let noticed_ms = now.as_millis().saturating_sub(u64::from(age_ms));
            CrashReport {
                suspect: *suspect,
                crash: *crash,
                noticed_at: MonoTime::from_millis(noticed_ms),
            }
        })
    }
}

/// State of one other daemon.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Its latest digest; the loads are cleared once it no longer counts as alive.
    pub digest: PeerDigest,
    /// When that digest arrived.
    pub received_at: MonoTime,
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
        self.peers.insert(digest.address, PeerState { digest, received_at: now });
        changes
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
        let timeout_ms = self.timeout_ms();
        self.peers
            .values()
            .filter(move |peer| peer.received_at + timeout_ms >= now && !peer.digest.is_leaving)
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

    /// This daemon's rank for an item with this hash among all that are alive, in an order that is the
    /// same on all daemons with the same view; 0 is the first.
    pub fn rank(&self, hash: u64, now: MonoTime) -> usize {
        let score = |address: SocketAddr| member_score(hash, member_hash(address));
        let own = score(self.own_address);
        self.alive(now).filter(|peer| score(peer.digest.address) < own).count()
    }

    /// This daemon's part of a limit of requests per second that the target with this hash takes from
    /// all daemons together.
    pub fn rate_share(&self, hash: u64, limit: f64) -> RateShare {
        self.members.rate_share(member_hash(self.own_address), hash, limit)
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
