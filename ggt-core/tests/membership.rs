//! Failure detection and gossip over a simulated network that loses datagrams.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use ggt_core::clock::MonoTime;
use ggt_core::clock::WallTime;
use ggt_core::config::DaemonSection;
use ggt_core::config::RosterSection;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::SuspectKey;
use ggt_core::ident::DaemonName;
use ggt_core::ident::mix_hash;
use ggt_core::membership::DatagramHeader;
use ggt_core::membership::GossipItem;
use ggt_core::membership::ItemTable;
use ggt_core::membership::PeerAction;
use ggt_core::membership::PeerMessage;
use ggt_core::membership::PeerOptions;
use ggt_core::membership::PeerStatus;
use ggt_core::membership::PeerTable;
use ggt_core::membership::probe_assignment;
use ggt_core::routing::LoadReport;

const STEP_MS: u64 = 50;
const ITEMS_PER_DATAGRAM: usize = 12;

struct Node {
    name: DaemonName,
    peers: PeerTable,
    items: ItemTable,
    /// Sequence number of the last datagram sent.
    number: u64,
    is_paused: bool,
}

/// Daemons of one data centre; each datagram is lost with probability `loss`.
struct Network {
    now: MonoTime,
    nodes: Vec<Node>,
    loss: f64,
    /// Sender and receiver of each link that loses every datagram; the value has no meaning.
    blocked: BTreeMap<(usize, usize), bool>,
    generator: SmallRng,
}

fn name_of(index: usize) -> DaemonName {
    DaemonName::from(format!("d{index}").as_str())
}

fn roster(count: usize) -> RosterSection {
    let daemons = (0..count).map(|index| {
        let section = DaemonSection {
            data_centre: "a".into(),
            peer: ([127, 0, 0, 1], 1_000 + u16::try_from(index).unwrap_or_default()).into(),
            added: 0,
            removed: None,
        };
        (name_of(index), section)
    });
    RosterSection { epoch: 0, daemons: daemons.collect() }
}

impl Network {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let roster = roster(count);
        let nodes = (0..count).map(|index| Self::node(index, 1, &roster)).collect();
        let generator = SmallRng::seed_from_u64(seed);
        Self { now: MonoTime::default(), nodes, loss, blocked: BTreeMap::new(), generator }
    }

    fn node(index: usize, incarnation: u64, roster: &RosterSection) -> Node {
        let now = MonoTime::default();
        let options = PeerOptions::default();
        let mut peers = PeerTable::new(name_of(index), "a".into(), incarnation, options, now);
        peers.set_roster(roster);
        Node {
            name: name_of(index),
            peers,
            items: ItemTable::default(),
            number: 0,
            is_paused: false,
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.now = self.now + STEP_MS;
            for index in 0..self.nodes.len() {
                if !self.nodes[index].is_paused {
                    let actions = self.nodes[index].peers.on_tick(self.now, false);
                    self.perform(index, actions);
                }
            }
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<PeerAction>) {
        for action in actions {
            match action {
                PeerAction::Send { to, message, .. } => self.send(index, &to, &message),
                PeerAction::Gossip(item) => {
                    let count = self.nodes.len();
                    self.nodes[index].items.insert(item, count);
                }
                PeerAction::Resend(item) => self.nodes[index].items.resend(item),
                PeerAction::Changed { .. } => (),
            }
        }
    }

    fn send(&mut self, from: usize, to: &DaemonName, message: &PeerMessage) {
        let node = &mut self.nodes[from];
        node.number += 1;
        let header = DatagramHeader {
            from: node.name.clone(),
            incarnation: node.peers.incarnation(),
            number: node.number,
            revision: 1,
        };
        let mut free_slots = ITEMS_PER_DATAGRAM;
        let (items, _) = node.items.select(|_| {
            let fits = free_slots > 0;
            free_slots = free_slots.saturating_sub(1);
            fits
        });
        let Some(to) = self.nodes.iter().position(|node| node.name == *to) else { return };
        let is_lost = self.generator.random_bool(self.loss)
            || self.blocked.contains_key(&(from, to))
            || self.nodes[to].is_paused;
        if is_lost || !self.nodes[to].peers.admit(&header) {
            return;
        }
        let actions = self.nodes[to].peers.on_message(&header, message, self.now);
        self.perform(to, actions);
        for item in items {
            let count = self.nodes.len();
            if !self.nodes[to].items.insert(item, count) {
                continue;
            }
            if let GossipItem::Peer { daemon, incarnation, status } = item {
                let actions =
                    self.nodes[to].peers.on_peer_item(daemon, incarnation, status, self.now);
                self.perform(to, actions);
            }
        }
    }

    fn status(&self, of: usize, seen_by: usize) -> PeerStatus {
        self.nodes[seen_by].peers.peer(&name_of(of)).expect("a peer").status
    }

    fn all_see(&self, of: usize, status: PeerStatus) -> bool {
        let others = (0..self.nodes.len()).filter(|index| *index != of);
        others.filter(|index| !self.nodes[*index].is_paused).all(|x| self.status(of, x) == status)
    }
}

#[test]
fn all_daemons_stay_alive_without_loss() {
    for seed in 0..20 {
        let mut network = Network::new(24, 0.0, seed);
        network.run(60_000);
        assert!((0..24).all(|index| network.all_see(index, PeerStatus::Alive)), "seed {seed}");
    }
}

#[test]
fn no_daemon_is_declared_dead_at_ten_percent_loss() {
    for seed in 0..20 {
        let mut network = Network::new(24, 0.1, seed);
        network.run(120_000);
        for index in 0..24 {
            let is_dead = (0..24)
                .filter(|other| *other != index)
                .any(|other| network.status(index, other) == PeerStatus::Dead);
            assert!(!is_dead, "seed {seed}: d{index} was declared dead");
        }
    }
}

#[test]
fn a_paused_daemon_is_declared_dead_and_refutes_it_on_resume() {
    for seed in 0..20 {
        let mut network = Network::new(24, 0.05, seed);
        network.run(10_000);
        network.nodes[5].is_paused = true;
        network.run(60_000);
        assert!(network.all_see(5, PeerStatus::Dead), "seed {seed}");
        network.nodes[5].is_paused = false;
        network.nodes[5].peers.reset_pings(network.now);
        // Loss may cause a brief suspicion at any time, so this waits until all daemons agree.
        let agreed = (0..90).any(|_| {
            network.run(1_000);
            network.all_see(5, PeerStatus::Alive)
        });
        assert!(agreed, "seed {seed}");
    }
}

#[test]
fn one_way_loss_between_two_daemons_declares_neither_dead() {
    for seed in 0..20 {
        let mut network = Network::new(24, 0.0, seed);
        network.blocked.insert((3, 4), true);
        network.run(120_000);
        assert_ne!(network.status(3, 10), PeerStatus::Dead, "seed {seed}");
        assert_ne!(network.status(4, 10), PeerStatus::Dead, "seed {seed}");
    }
}

#[test]
fn peers_recover_after_a_partition_heals() {
    for seed in 0..10 {
        let mut network = Network::new(24, 0.0, seed);
        for inside in 0..12 {
            for outside in 12..24 {
                network.blocked.insert((inside, outside), true);
                network.blocked.insert((outside, inside), true);
            }
        }
        network.run(120_000);
        assert_eq!(network.status(20, 1), PeerStatus::Dead, "seed {seed}");
        network.blocked.clear();
        network.run(240_000);
        assert!((0..24).all(|index| network.all_see(index, PeerStatus::Alive)), "seed {seed}");
    }
}

#[test]
fn a_departure_reaches_all_daemons_and_is_not_refuted() {
    let mut network = Network::new(24, 0.05, 1);
    network.run(5_000);
    let item = network.nodes[7].peers.leave();
    network.nodes[7].items.insert(item, 24);
    network.run(30_000);
    assert!(network.all_see(7, PeerStatus::Left));
}

#[test]
fn a_restarted_daemon_is_alive_again() {
    let mut network = Network::new(24, 0.05, 1);
    network.run(5_000);
    network.nodes[7].is_paused = true;
    network.run(60_000);
    let now = network.now;
    let mut node = Network::node(7, 2, &roster(24));
    node.peers.on_tick(now, false);
    network.nodes[7] = node;
    let agreed = (0..30).any(|_| {
        network.run(1_000);
        network.all_see(7, PeerStatus::Alive)
    });
    assert!(agreed);
}

#[test]
fn replayed_and_unknown_headers_are_rejected() {
    let mut network = Network::new(3, 0.0, 1);
    let header = |from: usize, incarnation, number| DatagramHeader {
        from: name_of(from),
        incarnation,
        number,
        revision: 1,
    };
    let peers = &mut network.nodes[0].peers;
    assert!(peers.admit(&header(1, 5, 10)));
    assert!(!peers.admit(&header(1, 5, 10)), "the same datagram again");
    assert!(!peers.admit(&header(1, 5, 9)), "an older datagram");
    assert!(peers.admit(&header(1, 5, 11)));
    assert!(!peers.admit(&header(9, 5, 1)), "a daemon that is not in the roster");
}

#[test]
fn probes_are_assigned_evenly() {
    for (daemons, targets) in [(1, 5), (6, 20), (62, 130), (24, 260)] {
        let alive: Vec<DaemonName> = (0..daemons).map(name_of).collect();
        let hashes: Vec<u64> = (0..targets).map(|x| mix_hash(x, 9)).collect();
        let assignments: Vec<_> =
            alive.iter().map(|own| probe_assignment(own, &alive, &hashes)).collect();
        let probers = 2.min(daemons);
        let total: usize = assignments.iter().map(|assignment| assignment.len()).sum();
        assert_eq!(total, hashes.len() * probers, "each target has its number of probers");
        let most = assignments.iter().map(|assignment| assignment.len()).max().unwrap_or_default();
        let mean = (hashes.len() * probers).div_ceil(daemons);
        assert!(most <= mean + 1, "{daemons} daemons: {most} targets against a mean of {mean}");
    }
}

#[test]
fn dropped_items_are_not_sent_again() {
    let mut items = ItemTable::default();
    let crash = |expires_at| GossipItem::Crash {
        suspect: SuspectKey(1),
        crash: CrashId(2),
        expires_at: WallTime::from_millis(expires_at),
    };
    assert!(items.insert(crash(100), 10));
    assert!(!items.insert(crash(100), 10), "the same item again");
    assert!(items.insert(crash(200), 10), "a later expiry is new");
    items.retain(|item| !matches!(item, GossipItem::Crash { .. }));
    assert!(items.is_empty());
    assert!(items.select(|_| true).0.is_empty());
}

#[test]
fn changing_loads_do_not_crowd_out_older_items() {
    let mut items = ItemTable::default();
    let leaving = GossipItem::Leaving { target: 7, incarnation: 1 };
    items.insert(leaving, 10);
    // Many more new loads per datagram than fit, until the departure has no sends left.
    let mut sent_late = false;
    for round in 1..200 {
        for target in 0..50 {
            let report = LoadReport { started_total: round, finished_total: 0 };
            let load = GossipItem::Load { target, incarnation: 1, report, is_down: false };
            items.insert(load, 10);
        }
        let mut free_slots = 5;
        let (selected, left) = items.select(|_| {
            let fits = free_slots > 0;
            free_slots -= i32::from(fits);
            fits
        });
        assert!(left > 0, "the loads do not all fit");
        sent_late |= round > 100 && selected.contains(&leaving);
    }
    assert!(sent_late, "the departure is never sent again to daemons that missed it");
}
