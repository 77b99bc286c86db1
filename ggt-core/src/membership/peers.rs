//! The peers of one daemon and the failure detector that tracks their status.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::MonoTime;
use crate::config::RosterSection;
use crate::ident::CentreName;
use crate::ident::DaemonName;
use crate::ident::mix_hash;
use crate::membership::DatagramHeader;
use crate::membership::GossipItem;
use crate::membership::PeerMessage;
use crate::membership::PeerStatus;
use crate::membership::short_hash;

/// Daemons that are requested to ping a peer that did not reply to a direct ping.
const INDIRECT_PINGS: usize = 2;
/// A period whose round number is a multiple of this pings a dead peer, if there is one, to detect
/// that a partition has healed.
const DEAD_PEER_PING_ROUNDS: u64 = 4;
/// Peers of each other data centre that receive urgent items at once.
const ANNOUNCED_PER_CENTRE: usize = 2;

new_key_type! {
    /// Identifies one peer in a [`PeerTable`].
    pub struct PeerKey;
}

/// Settings of a [`PeerTable`].
#[derive(Clone, Copy, Debug)]
pub struct PeerOptions {
    /// Milliseconds between pings.
    pub period_ms: u64,
    /// Milliseconds to wait for a direct reply before indirect pings are sent.
    pub indirect_after_ms: u64,
    /// Periods after which a suspected peer is declared dead.
    pub suspect_periods: u64,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self { period_ms: 1_000, indirect_after_ms: 400, suspect_periods: 4 }
    }
}

/// A peer's address and membership status.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Name in the roster.
    pub name: DaemonName,
    /// Data centre in the roster.
    pub centre: CentreName,
    /// Address for datagrams and calls.
    pub address: SocketAddr,
    /// Highest incarnation received, or 0 if none has been received.
    pub incarnation: u64,
    /// Status at that incarnation.
    pub status: PeerStatus,
    /// Highest configuration revision in the peer's datagrams.
    pub revision: u64,
    /// Incarnation and number of the last admitted datagram.
    last_datagram: (u64, u64),
    /// End of the current suspicion.
    suspect_until: MonoTime,
}

/// An effect that the caller of [`PeerTable`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Send a datagram to a peer.
    Send {
        /// Receiving peer.
        to: DaemonName,
        /// The peer's address.
        address: SocketAddr,
        /// Message of the datagram.
        message: PeerMessage,
    },
    /// Gossip a new item.
    Gossip(GossipItem),
    /// Send an item once more, even if it is not new.
    Resend(GossipItem),
    /// Report that a peer's status changed.
    Changed {
        /// Name of the peer.
        name: DaemonName,
        /// The new status.
        status: PeerStatus,
    },
}

/// This daemon's own ping, while its reply is awaited.
#[derive(Clone, Copy, Debug)]
struct PendingPing {
    round: u64,
    peer: PeerKey,
    indirect_at: MonoTime,
    expires_at: MonoTime,
    indirect_sent: bool,
}

/// The peers of one daemon and its failure detector.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_name: DaemonName,
    own_centre: CentreName,
    incarnation: u64,
    is_draining: bool,
    options: PeerOptions,
    peers: SlotMap<PeerKey, PeerEntry>,
    by_name: BTreeMap<DaemonName, PeerKey>,
    by_short_hash: BTreeMap<u32, PeerKey>,
    /// Last round number used, by own pings and by those for other daemons.
    rounds: u64,
    next_period_at: MonoTime,
    pending_ping: Option<PendingPing>,
    /// Pings for other daemons by own round, with the requester, its round and the expiry.
    forwarded_pings: BTreeMap<u64, (DaemonName, u64, MonoTime)>,
}

impl PeerTable {
    /// A table without peers. `incarnation` must be above any that this daemon has used before.
    pub fn new(
        own_name: DaemonName,
        own_centre: CentreName,
        incarnation: u64,
        options: PeerOptions,
        now: MonoTime,
    ) -> Self {
        Self {
            own_name,
            own_centre,
            incarnation,
            is_draining: false,
            options,
            peers: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            by_short_hash: BTreeMap::new(),
            rounds: 0,
            next_period_at: now,
            pending_ping: None,
            forwarded_pings: BTreeMap::new(),
        }
    }

    /// This daemon's incarnation; it rises when a suspicion is refuted.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// All peers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &PeerEntry> {
        self.by_name.values().filter_map(|key| self.peers.get(*key))
    }

    /// The peer called `name`.
    pub fn peer(&self, name: &DaemonName) -> Option<&PeerEntry> {
        self.by_name.get(name).and_then(|key| self.peers.get(*key))
    }

    /// Names of the alive daemons of this data centre, including this one unless it is draining.
    pub fn alive_in_centre(&self) -> impl Iterator<Item = &DaemonName> {
        let peers = self.iter().filter(|peer| peer.centre == self.own_centre && peer.is_alive());
        peers.map(|peer| &peer.name).chain((!self.is_draining).then_some(&self.own_name))
    }

    /// Replaces the set of peers by the members of the active roster; known peers keep their status.
    pub fn set_roster(&mut self, roster: &RosterSection) {
        for (name, daemon) in &roster.daemons {
            if *name == self.own_name || !daemon.belongs_to(roster.epoch) {
                continue;
            }
            let known = self.by_name.get(name).and_then(|key| self.peers.get_mut(*key));
            if let Some(peer) = known {
                peer.address = daemon.peer;
                peer.centre = daemon.data_centre.clone();
                continue;
            }
            let key = self.peers.insert(PeerEntry {
                name: name.clone(),
                centre: daemon.data_centre.clone(),
                address: daemon.peer,
                incarnation: 0,
                status: PeerStatus::Alive,
                revision: 0,
                last_datagram: (0, 0),
                suspect_until: MonoTime::default(),
            });
            self.by_name.insert(name.clone(), key);
            self.by_short_hash.insert(short_hash(name.as_str()), key);
        }
        let is_member = |name: &DaemonName| {
            roster.daemons.get(name).is_some_and(|daemon| daemon.belongs_to(roster.epoch))
        };
        let peers = &mut self.peers;
        self.by_name.retain(|name, key| {
            let keep = is_member(name);
            if !keep {
                peers.remove(*key);
            }
            keep
        });
        self.by_short_hash.retain(|_, key| peers.contains_key(*key));
    }

    /// Marks this daemon as draining and returns the item that announces it.
    pub fn leave(&mut self) -> GossipItem {
        self.is_draining = true;
        self.own_item(PeerStatus::Left)
    }

    /// Checks the header of a datagram; `false` when its sender is not a peer, when it is a replay
    /// or when it belongs to an older incarnation.
    pub fn admit(&mut self, header: &DatagramHeader) -> bool {
        let Some(key) = self.by_name.get(&header.from).copied() else { return false };
        let Some(peer) = self.peers.get_mut(key) else { return false };
        let order = (header.incarnation, header.number);
        if header.incarnation < peer.incarnation || order <= peer.last_datagram {
            return false;
        }
        peer.last_datagram = order;
        peer.revision = peer.revision.max(header.revision);
        true
    }

    /// Handles a message whose header was admitted.
    pub fn on_message(
        &mut self,
        header: &DatagramHeader,
        message: &PeerMessage,
        now: MonoTime,
    ) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        self.record_alive(&header.from, header.incarnation, &mut actions);
        match message {
            PeerMessage::Ping { round } => {
                let ack = PeerMessage::Ack { round: *round, subject: self.own_name.clone() };
                self.send(&header.from, ack, &mut actions);
            }
            PeerMessage::PingFor { round, subject } => {
                self.rounds += 1;
                let forwarded = (header.from.clone(), *round, now + self.options.period_ms);
                self.forwarded_pings.insert(self.rounds, forwarded);
                let ping = PeerMessage::Ping { round: self.rounds };
                self.send(subject, ping, &mut actions);
            }
            PeerMessage::Ack { round, subject } => {
                if let Some((requester, requested_round, _)) = self.forwarded_pings.remove(round) {
                    let ack = PeerMessage::Ack { round: requested_round, subject: subject.clone() };
                    self.send(&requester, ack, &mut actions);
                }
                if self.pending_ping.is_some_and(|ping| ping.round == *round) {
                    self.pending_ping = None;
                }
            }
            // Epoch queries serve the claim protocol only and are answered elsewhere, whoever sent
            // them.
            PeerMessage::AskEpoch { .. } | PeerMessage::TellEpoch { .. } => (),
        }
        actions
    }

    /// Applies a received status of a daemon. For this daemon itself, any status but `Alive` is
    /// refuted with a higher incarnation, unless it is outdated or this daemon is draining.
    pub fn on_peer_item(
        &mut self,
        daemon: u32,
        incarnation: u64,
        status: PeerStatus,
        now: MonoTime,
    ) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        if daemon == short_hash(self.own_name.as_str()) {
            if !self.is_draining && status != PeerStatus::Alive && incarnation >= self.incarnation {
                self.incarnation = incarnation + 1;
                actions.push(PeerAction::Gossip(self.own_item(PeerStatus::Alive)));
            }
            return actions;
        }
        let Some(key) = self.by_short_hash.get(&daemon).copied() else { return actions };
        let Some(peer) = self.peers.get_mut(key) else { return actions };
        if (incarnation, status) <= (peer.incarnation, peer.status) {
            return actions;
        }
        peer.incarnation = incarnation;
        if status == PeerStatus::Suspect {
            peer.suspect_until = now + self.options.suspect_periods * self.options.period_ms;
        }
        if peer.status != status {
            peer.status = status;
            actions.push(PeerAction::Changed { name: peer.name.clone(), status });
        }
        actions
    }

    /// Handles the timers that expired by `now`. With `cross_centre`, each period also pings one
    /// peer of another data centre.
    pub fn on_tick(&mut self, now: MonoTime, cross_centre: bool) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        self.forwarded_pings.retain(|_, (_, _, expires_at)| now < *expires_at);
        self.check_pending_ping(now, &mut actions);
        self.check_suspects(now, &mut actions);
        if now >= self.next_period_at {
            self.next_period_at = now + self.options.period_ms;
            self.begin_period(now, cross_centre, &mut actions);
        }
        actions
    }

    /// Pings `count` peers of this data centre at once, so that urgent items reach them before the
    /// next period. The replies are not tracked: no pending ping has the round `u64::MAX`.
    pub fn announce(&self, count: usize) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        for key in self.candidates(true, false).into_iter().rev().take(count) {
            self.send_to(key, PeerMessage::Ping { round: u64::MAX }, &mut actions);
        }
        actions
    }

    /// Pings two peers of each other data centre at once, to deliver urgent items; the replies are
    /// not tracked.
    pub fn announce_to_other_centres(&self) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        let mut pinged: BTreeMap<CentreName, usize> = BTreeMap::new();
        for key in self.candidates(false, false) {
            let Some(peer) = self.peers.get(key) else { continue };
            let count = pinged.entry(peer.centre.clone()).or_default();
            *count += 1;
            if *count <= ANNOUNCED_PER_CENTRE {
                self.send_to(key, PeerMessage::Ping { round: u64::MAX }, &mut actions);
            }
        }
        actions
    }

    /// Drops the pending ping and extends all suspicions, after a pause of this process in which
    /// replies may have been missed.
    pub fn reset_pings(&mut self, now: MonoTime) {
        self.pending_ping = None;
        let until = now + self.options.suspect_periods * self.options.period_ms;
        for peer in self.peers.values_mut() {
            peer.suspect_until = peer.suspect_until.max(until);
        }
    }

    fn begin_period(&mut self, now: MonoTime, cross_centre: bool, actions: &mut Vec<PeerAction>) {
        self.rounds += 1;
        let prefer_dead = self.rounds.is_multiple_of(DEAD_PEER_PING_ROUNDS);
        if self.pending_ping.is_none()
            && let Some(key) = self.pick_peer(true, prefer_dead)
        {
            let round = self.rounds;
            self.pending_ping = Some(PendingPing {
                round,
                peer: key,
                indirect_at: now + self.options.indirect_after_ms,
                expires_at: now + self.options.period_ms,
                indirect_sent: false,
            });
            self.send_to(key, PeerMessage::Ping { round }, actions);
        }
        if cross_centre && let Some(key) = self.pick_peer(false, prefer_dead) {
            // No reply is awaited: a missing one across data centres says nothing about the peer.
            self.send_to(key, PeerMessage::Ping { round: u64::MAX }, actions);
        }
    }

    fn check_pending_ping(&mut self, now: MonoTime, actions: &mut Vec<PeerAction>) {
        let Some(mut ping) = self.pending_ping else { return };
        if now >= ping.expires_at {
            self.pending_ping = None;
            self.suspect(ping.peer, now, actions);
        } else if now >= ping.indirect_at && !ping.indirect_sent {
            ping.indirect_sent = true;
            self.pending_ping = Some(ping);
            let Some(subject) = self.peers.get(ping.peer).map(|peer| peer.name.clone()) else {
                return;
            };
            let helpers: Vec<PeerKey> = self
                .candidates(true, false)
                .into_iter()
                .filter(|key| *key != ping.peer)
                .take(INDIRECT_PINGS)
                .collect();
            for key in helpers {
                let subject = subject.clone();
                self.send_to(key, PeerMessage::PingFor { round: ping.round, subject }, actions);
            }
        }
    }

    fn check_suspects(&mut self, now: MonoTime, actions: &mut Vec<PeerAction>) {
        for peer in self.peers.values_mut() {
            if peer.status == PeerStatus::Suspect && now >= peer.suspect_until {
                peer.status = PeerStatus::Dead;
                actions.push(PeerAction::Gossip(peer.item()));
                actions.push(PeerAction::Changed {
                    name: peer.name.clone(),
                    status: PeerStatus::Dead,
                });
            }
        }
    }

    fn suspect(&mut self, key: PeerKey, now: MonoTime, actions: &mut Vec<PeerAction>) {
        let duration = self.options.suspect_periods * self.options.period_ms;
        let Some(peer) = self.peers.get_mut(key) else { return };
        if peer.status != PeerStatus::Alive {
            return;
        }
        peer.status = PeerStatus::Suspect;
        peer.suspect_until = now + duration;
        actions.push(PeerAction::Gossip(peer.item()));
        let name = peer.name.clone();
        actions.push(PeerAction::Changed { name, status: PeerStatus::Suspect });
    }

    fn record_alive(&mut self, name: &DaemonName, incarnation: u64, actions: &mut Vec<PeerAction>) {
        let Some(peer) = self.by_name.get(name).and_then(|key| self.peers.get_mut(*key)) else {
            return;
        };
        if incarnation > peer.incarnation {
            let old_status = peer.status;
            peer.incarnation = incarnation;
            peer.status = PeerStatus::Alive;
            actions.push(PeerAction::Gossip(peer.item()));
            if old_status != PeerStatus::Alive {
                let name = peer.name.clone();
                actions.push(PeerAction::Changed { name, status: PeerStatus::Alive });
            }
        } else if matches!(peer.status, PeerStatus::Suspect | PeerStatus::Dead) {
            // Notifies the peer of the suspicion, so that it refutes it to all daemons.
            actions.push(PeerAction::Resend(peer.item()));
        }
    }

    /// The peers of this data centre, or of the others, that are alive, or with `dead` those that
    /// are dead or have left; in an order that changes with each round.
    fn candidates(&self, own_centre: bool, dead: bool) -> Vec<PeerKey> {
        let mut keys: Vec<(u64, PeerKey)> = self
            .peers
            .iter()
            .filter(|(_, peer)| (peer.centre == self.own_centre) == own_centre)
            .filter(|(_, peer)| peer.is_alive() != dead)
            .map(|(key, peer)| {
                let hash = u64::from(short_hash(peer.name.as_str()));
                (mix_hash(mix_hash(self.rounds, self.incarnation), hash), key)
            })
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|(_, key)| key).collect()
    }

    fn pick_peer(&self, own_centre: bool, prefer_dead: bool) -> Option<PeerKey> {
        let first = |dead: bool| self.candidates(own_centre, dead).first().copied();
        if prefer_dead { first(true).or_else(|| first(false)) } else { first(false) }
    }

    fn send(&self, to: &DaemonName, message: PeerMessage, actions: &mut Vec<PeerAction>) {
        if let Some(key) = self.by_name.get(to) {
            self.send_to(*key, message, actions);
        }
    }

    fn send_to(&self, key: PeerKey, message: PeerMessage, actions: &mut Vec<PeerAction>) {
        if let Some(peer) = self.peers.get(key) {
            let (to, address) = (peer.name.clone(), peer.address);
            actions.push(PeerAction::Send { to, address, message });
        }
    }

    fn own_item(&self, status: PeerStatus) -> GossipItem {
        let daemon = short_hash(self.own_name.as_str());
        GossipItem::Peer { daemon, incarnation: self.incarnation, status }
    }
}

impl PeerEntry {
    /// Whether the peer counts as alive, which a suspected one does.
    pub fn is_alive(&self) -> bool {
        matches!(self.status, PeerStatus::Alive | PeerStatus::Suspect)
    }

    fn item(&self) -> GossipItem {
        GossipItem::Peer {
            daemon: short_hash(self.name.as_str()),
            incarnation: self.incarnation,
            status: self.status,
        }
    }
}
