//! Pings, suspicion and refutation over a network that loses datagrams.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use ggt_core::clock::MonoTime;
use ggt_core::clock::WallTime;
use ggt_core::config::DaemonSection;
use ggt_core::config::RosterSection;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::RequestFingerprint;
use ggt_core::ident::DaemonName;
use ggt_core::ident::mix_hash;
use ggt_core::membership::GossipItem;
use ggt_core::membership::ItemTable;
use ggt_core::membership::PeerAction;
use ggt_core::membership::PeerMessage;
use ggt_core::membership::PeerOptions;
use ggt_core::membership::PeerStatus;
use ggt_core::membership::PeerTable;
use ggt_core::membership::SignedHead;
use ggt_core::membership::probed_by;
use ggt_core::routing::LoadReport;

const STEP_MS: u64 = 50;
const ITEMS_IN_DATAGRAM: usize = 12;

struct Node {
    name: DaemonName,
    peers: PeerTable,
    items: ItemTable,
    number: u64,
    is_frozen: bool,
}

/// Daemons of one data centre; each datagram is lost with some chance.
struct Network {
    now: MonoTime,
    nodes: Vec<Node>,
    loss: f64,
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
            is_frozen: false,
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.now = self.now + STEP_MS;
            for index in 0..self.nodes.len() {
                if !self.nodes[index].is_frozen {
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
                PeerAction::Spread(item) => {
                    let count = self.nodes.len();
                    self.nodes[index].items.take(item, count);
                }
                PeerAction::Remind(item) => self.nodes[index].items.remind(item),
                PeerAction::Changed { .. } => (),
            }
        }
    }

    fn send(&mut self, from: usize, to: &DaemonName, message: &PeerMessage) {
        let node = &mut self.nodes[from];
        node.number += 1;
        let head = SignedHead {
            from: node.name.clone(),
            incarnation: node.peers.incarnation(),
            number: node.number,
            revision: 1,
        };
        let mut room = ITEMS_IN_DATAGRAM;
        let (items, _) = node.items.pick(|_| {
            let fits = room > 0;
            room = room.saturating_sub(1);
            fits
        });
        let Some(to) = self.nodes.iter().position(|node| node.name == *to) else { return };
        let is_lost = self.generator.random_bool(self.loss)
            || self.blocked.contains_key(&(from, to))
            || self.nodes[to].is_frozen;
        if is_lost || !self.nodes[to].peers.admit(&head) {
            return;
        }
        let actions = self.nodes[to].peers.on_message(&head, message, self.now);
        self.perform(to, actions);
        for item in items {
            let count = self.nodes.len();
            if !self.nodes[to].items.take(item, count) {
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

    fn agree(&self, of: usize, status: PeerStatus) -> bool {
        let others = (0..self.nodes.len()).filter(|index| *index != of);
        others.filter(|index| !self.nodes[*index].is_frozen).all(|x| self.status(of, x) == status)
    }
}

#[test]
fn a_calm_network_believes_everyone_alive() {
    for seed in 0..20 {
        let mut network = Network::new(24, 0.0, seed);
        network.run(60_000);
        assert!((0..24).all(|index| network.agree(index, PeerStatus::Alive)), "seed {seed}");
    }
}

#[test]
fn loss_of_one_datagram_in_ten_kills_nobody() {
    for seed in 0..20 {
        let mut network = Network::new(24, 0.1, seed);
        network.run(120_000);
        for index in 0..24 {
            let is_dead = (0..24)
                .filter(|other| *other != index)
                .any(|other| network.status(index, other) == PeerStatus::Dead);
            assert!(!is_dead, "seed {seed}: d{index} is believed dead");
        }
    }
}

#[test]
fn a_frozen_daemon_is_believed_dead_and_refutes_it_when_it_wakes() {
    for seed in 0..20 {
        let mut network = Network::new(24, 0.05, seed);
        network.run(10_000);
        network.nodes[5].is_frozen = true;
        network.run(60_000);
        assert!(network.agree(5, PeerStatus::Dead), "seed {seed}");
        network.nodes[5].is_frozen = false;
        network.nodes[5].peers.forgive_pings(network.now);
        // A lost datagram may bring a passing suspicion at any moment, so the moment of agreement
        // is waited for.
        let agreed = (0..90).any(|_| {
            network.run(1_000);
            network.agree(5, PeerStatus::Alive)
        });
        assert!(agreed, "seed {seed}");
    }
}

#[test]
fn one_way_loss_between_two_daemons_kills_neither() {
    for seed in 0..20 {
        let mut network = Network::new(24, 0.0, seed);
        network.blocked.insert((3, 4), true);
        network.run(120_000);
        assert_ne!(network.status(3, 10), PeerStatus::Dead, "seed {seed}");
        assert_ne!(network.status(4, 10), PeerStatus::Dead, "seed {seed}");
    }
}

#[test]
fn a_part_heals() {
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
        assert!((0..24).all(|index| network.agree(index, PeerStatus::Alive)), "seed {seed}");
    }
}

#[test]
fn a_departure_is_heard_and_not_refuted() {
    let mut network = Network::new(24, 0.05, 1);
    network.run(5_000);
    let item = network.nodes[7].peers.leave();
    network.nodes[7].items.take(item, 24);
    network.run(30_000);
    assert!(network.agree(7, PeerStatus::Left));
}

#[test]
fn a_restarted_daemon_is_alive_again() {
    let mut network = Network::new(24, 0.05, 1);
    network.run(5_000);
    network.nodes[7].is_frozen = true;
    network.run(60_000);
    let now = network.now;
    let mut node = Network::node(7, 2, &roster(24));
    node.peers.on_tick(now, false);
    network.nodes[7] = node;
    let agreed = (0..30).any(|_| {
        network.run(1_000);
        network.agree(7, PeerStatus::Alive)
    });
    assert!(agreed);
}

#[test]
fn replayed_and_foreign_heads_are_refused() {
    let mut network = Network::new(3, 0.0, 1);
    let head = |from: usize, incarnation, number| SignedHead {
        from: name_of(from),
        incarnation,
        number,
        revision: 1,
    };
    let peers = &mut network.nodes[0].peers;
    assert!(peers.admit(&head(1, 5, 10)));
    assert!(!peers.admit(&head(1, 5, 10)), "the same datagram again");
    assert!(!peers.admit(&head(1, 5, 9)), "an older datagram");
    assert!(peers.admit(&head(1, 5, 11)));
    assert!(!peers.admit(&head(9, 5, 1)), "a daemon that is not in the roster");
}

#[test]
fn probes_are_shared_out_evenly_and_alike() {
    for (daemons, targets) in [(1, 5), (6, 20), (62, 130), (24, 260)] {
        let living: Vec<DaemonName> = (0..daemons).map(name_of).collect();
        let hashes: Vec<u64> = (0..targets).map(|x| mix_hash(x, 9)).collect();
        let parts: Vec<_> = living.iter().map(|own| probed_by(own, &living, &hashes)).collect();
        let probers = 2.min(daemons);
        let total: usize = parts.iter().map(|part| part.len()).sum();
        assert_eq!(total, hashes.len() * probers, "each target has its probers");
        let most = parts.iter().map(|part| part.len()).max().unwrap_or_default();
        let mean = (hashes.len() * probers).div_ceil(daemons);
        assert!(most <= mean + 1, "{daemons} daemons: {most} targets against a mean of {mean}");
    }
}

#[test]
fn dropped_news_is_not_sent_again() {
    let mut items = ItemTable::default();
    let crash = |expires_at| GossipItem::Crash {
        print: RequestFingerprint(1),
        death: CrashId(2),
        expires_at: WallTime::from_millis(expires_at),
    };
    assert!(items.take(crash(100), 10));
    assert!(!items.take(crash(100), 10), "known news");
    assert!(items.take(crash(200), 10), "later blame");
    items.retain(|item| !matches!(item, GossipItem::Crash { .. }));
    assert!(items.is_empty());
    assert!(items.pick(|_| true).0.is_empty());
}

#[test]
fn loads_that_change_all_the_time_leave_room_for_old_news() {
    let mut items = ItemTable::default();
    let leaving = GossipItem::Leaving { target: 7, incarnation: 1 };
    items.take(leaving, 10);
    // Far more loads than fit, each new again and again, until the news is no longer fresh.
    let mut sent_late = false;
    for round in 1..200 {
        for target in 0..50 {
            let report = LoadReport { started_total: round, finished_total: 0 };
            let load = GossipItem::Load { target, incarnation: 1, report, is_down: false };
            items.take(load, 10);
        }
        let mut room = 5;
        let (picked, left) = items.pick(|_| {
            let fits = room > 0;
            room -= i32::from(fits);
            fits
        });
        assert!(left > 0, "the loads do not all fit");
        sent_late |= round > 100 && picked.contains(&leaving);
    }
    assert!(sent_late, "a daemon that missed the news never hears of it");
}
