//! Simulation of daemons, a network and a target; each number of a list selects one step.

mod parts;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use ggt_core::claims::ActionKey;
use ggt_core::claims::ActionOutcome;
use ggt_core::claims::AttemptId;
use ggt_core::claims::ClaimDecision;
use ggt_core::claims::ClaimHolder;
use ggt_core::claims::ClaimReply;
use ggt_core::claims::ClaimRequest;
use ggt_core::claims::HolderOptions;
use ggt_core::claims::HolderSet;
use ggt_core::claims::SealDecision;
use ggt_core::claims::SettleRequest;
use ggt_core::claims::StoredReply;
use ggt_core::claims::holders_of;
use ggt_core::claims::tally_claims;
use ggt_core::claims::tally_seals;
use ggt_core::clock::WallTime;
use ggt_core::config::DaemonSection;
use ggt_core::config::RosterSection;
use ggt_core::ident::CustomerName;
use ggt_core::ident::DaemonName;

pub use parts::InjectedFault;
pub use parts::Outcome;

use parts::Attempt;
use parts::Daemon;
use parts::Message;
use parts::Phase;

const INITIAL_DAEMONS: usize = 6;
const MAX_DAEMONS: usize = 10;
/// Largest difference between any two clocks of daemons.
const CLOCK_ERROR_MS: u64 = 50;
const RESEND_WINDOW_MS: u64 = 5_000;
const START_MS: u64 = 1_000_000;
/// One in this many attempts uses a new key, the others one of the latest keys.
const RECENT_KEYS: usize = 4;

/// Daemons, messages in transit and attempts, with the actions that ran.
pub struct ClaimSimulation {
    fault: InjectedFault,
    now_ms: u64,
    daemons: Vec<Daemon>,
    rosters: Vec<RosterSection>,
    network: Vec<Message>,
    blocked_links: BTreeSet<(usize, usize)>,
    attempts: Vec<Attempt>,
    keys: Vec<ActionKey>,
    runs: BTreeMap<ActionKey, usize>,
    not_run: BTreeSet<ActionKey>,
}

fn options() -> HolderOptions {
    HolderOptions {
        resend_window_ms: RESEND_WINDOW_MS,
        max_clock_error_ms: CLOCK_ERROR_MS,
        max_claims: 1_000,
        max_reply_bytes: 10_000,
    }
}

fn daemon_name(index: usize) -> DaemonName {
    DaemonName::from(format!("d{index}").as_str())
}

impl ClaimSimulation {
    /// Six daemons in three data centres that have reported their epochs to each other.
    pub fn new(fault: InjectedFault) -> Self {
        let mut simulation = Self {
            fault,
            now_ms: START_MS,
            daemons: Vec::new(),
            rosters: vec![RosterSection { epoch: 0, daemons: BTreeMap::new() }],
            network: Vec::new(),
            blocked_links: BTreeSet::new(),
            attempts: Vec::new(),
            keys: Vec::new(),
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
        };
        for index in 0..INITIAL_DAEMONS {
            simulation.add_daemon(index, 0);
        }
        for daemon in 0..INITIAL_DAEMONS {
            for peer in 0..INITIAL_DAEMONS {
                let (name, now) = (daemon_name(peer), WallTime::from_millis(START_MS));
                simulation.daemons[daemon].holder.record_epoch(&name, 0, now);
            }
        }
        simulation.now_ms += 3 * CLOCK_ERROR_MS;
        simulation
    }

    /// Performs all steps, delivers the messages still in transit and counts the results.
    pub fn run(mut self, steps: &[u32]) -> Outcome {
        steps.iter().for_each(|step| self.step(*step));
        self.blocked_links.clear();
        while let Some(message) = self.network.pop() {
            self.deliver(message);
        }
        Outcome {
            ran_twice: self.runs.values().filter(|runs| **runs > 1).count(),
            false_not_run: self.not_run.iter().filter(|key| self.runs.contains_key(key)).count(),
            ran: self.runs.len(),
            attempts: self.attempts.len(),
            not_run: self.not_run.len(),
        }
    }

    fn add_daemon(&mut self, index: usize, added: u64) {
        let name = daemon_name(index);
        let centre = ["a", "b", "c"][index % 3];
        let section = DaemonSection {
            data_centre: centre.into(),
            peer: SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::try_from(index).unwrap_or(0))),
            added,
            removed: None,
        };
        if let Some(roster) = self.rosters.last_mut() {
            roster.daemons.insert(name.clone(), section);
        }
        self.daemons.push(Daemon {
            holder: ClaimHolder::new(name.clone(), WallTime::from_millis(self.now_ms)),
            name,
            incarnation: 0,
            epoch: added,
            clock_offset_ms: (index as u64 * 17) % CLOCK_ERROR_MS,
        });
    }

    fn clock(&self, daemon: usize) -> WallTime {
        WallTime::from_millis(self.now_ms + self.daemons[daemon].clock_offset_ms)
    }

    fn step(&mut self, code: u32) {
        let pick = (code >> 8) as usize;
        match code % 64 {
            0..=31 => (0..4).for_each(|round| self.deliver_one(pick.rotate_right(round * 5))),
            32..=37 => self.begin_attempt(pick),
            38..=49 => self.decide(pick),
            50..=51 => self.now_ms += 2 * CLOCK_ERROR_MS + (pick % 100) as u64,
            52 => self.now_ms += (pick % 30) as u64,
            53 => self.drop_one(pick),
            54 => self.duplicate_one(pick),
            55 => self.restart(pick),
            56 => self.change_roster(pick),
            57..=58 => self.update_roster(pick),
            59 => self.partition_one_centre(pick),
            60..=62 => self.blocked_links.clear(),
            _ => self.query_epochs(pick),
        }
    }

    fn endpoints(&self, message: &Message) -> Option<(usize, usize)> {
        match message {
            Message::Claim { attempt, to } | Message::Seal { attempt, to } => {
                Some((self.attempts[*attempt].daemon, *to))
            }
            Message::ClaimReply { attempt, from, .. }
            | Message::SealReply { attempt, from, .. } => {
                Some((*from, self.attempts[*attempt].daemon))
            }
            Message::AskEpoch { from, to, .. } | Message::TellEpoch { from, to, .. } => {
                Some((*from, *to))
            }
            Message::Settle { .. } | Message::Action { .. } => None,
        }
    }

    fn deliver_one(&mut self, pick: usize) {
        if self.network.is_empty() {
            return;
        }
        let at = pick % self.network.len();
        let is_blocked = self
            .endpoints(&self.network[at])
            .is_some_and(|endpoints| self.blocked_links.contains(&endpoints));
        if !is_blocked {
            let message = self.network.swap_remove(at);
            self.deliver(message);
        }
    }

    fn drop_one(&mut self, pick: usize) {
        if !self.network.is_empty() {
            self.network.swap_remove(pick % self.network.len());
        }
    }

    fn duplicate_one(&mut self, pick: usize) {
        if self.network.is_empty() {
            return;
        }
        let message = self.network[pick % self.network.len()].clone();
        // A request to a target is sent once on a connection of its own, so it is never duplicated.
        if !matches!(message, Message::Action { .. }) {
            self.network.push(message);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Claim { attempt, to } => {
                let reply = self.holder_reply(attempt, to, false);
                self.network.push(Message::ClaimReply { attempt, from: to, reply });
            }
            Message::Seal { attempt, to } => {
                let reply = self.holder_reply(attempt, to, true);
                self.network.push(Message::SealReply { attempt, from: to, reply });
            }
            Message::ClaimReply { attempt, from, reply } => {
                self.attempts[attempt].claims.insert(from, reply);
            }
            Message::SealReply { attempt, from, reply } => {
                self.attempts[attempt].seals.insert(from, reply);
            }
            Message::Settle { request, to } => {
                self.daemons[to].holder.settle(request, &options());
            }
            Message::AskEpoch { from, to, incarnation } => {
                let epoch = self.daemons[to].epoch;
                self.network.push(Message::TellEpoch { from: to, to: from, incarnation, epoch });
            }
            Message::TellEpoch { from, to, incarnation, epoch } => {
                let (name, now) = (self.daemons[from].name.clone(), self.clock(to));
                let daemon = &mut self.daemons[to];
                // A reply reaches only the incarnation that sent the query.
                if daemon.incarnation == incarnation {
                    daemon.holder.record_epoch(&name, epoch, now);
                }
            }
            Message::Action { attempt } => self.run_action(attempt),
        }
    }

    fn holder_reply(&mut self, attempt: usize, to: usize, is_seal: bool) -> ClaimReply {
        let now = self.clock(to);
        let request = self.attempts[attempt].request.clone();
        let daemon = &mut self.daemons[to];
        let roster = &self.rosters[usize::try_from(daemon.epoch).unwrap_or_default()];
        match is_seal {
            true => daemon.holder.seal(&request, roster, &options(), now),
            false => daemon.holder.claim(&request, roster, &options(), now),
        }
    }

    fn run_action(&mut self, attempt: usize) {
        let attempt_state = &self.attempts[attempt];
        let (request, holders) = (attempt_state.request.clone(), attempt_state.holders.clone());
        *self.runs.entry(request.key.clone()).or_default() += 1;
        let reply = StoredReply { status: 200, content_type: None, body: None };
        for to in self.indices(&holders) {
            let request = SettleRequest {
                key: request.key.clone(),
                attempt: request.attempt.clone(),
                outcome: ActionOutcome::Ran(reply.clone()),
            };
            self.network.push(Message::Settle { request, to });
        }
    }

    fn indices(&self, holders: &HolderSet) -> Vec<usize> {
        let index = |name: &DaemonName| self.daemons.iter().position(|x| x.name == *name);
        holders.names().iter().filter_map(index).collect()
    }

    fn key(&mut self, pick: usize) -> Option<ActionKey> {
        let slot = pick % RECENT_KEYS;
        if slot == 0 || self.keys.is_empty() {
            // A caller's clock may differ by up to the clock error.
            let created_ms = self.now_ms + (pick as u64 / 7) % CLOCK_ERROR_MS;
            let key = ActionKey {
                customer: CustomerName::from("c"),
                text: format!("k{}", self.keys.len()),
                minted_at: Some(WallTime::from_millis(created_ms)),
            };
            self.keys.push(key);
        }
        let recent = self.keys.len().saturating_sub(slot.max(1));
        self.keys.get(recent).cloned()
    }

    fn begin_attempt(&mut self, pick: usize) {
        let daemon = pick % self.daemons.len();
        let Some(key) = self.key(pick / 16) else { return };
        let now = self.clock(daemon);
        if key.minted_at.is_some_and(|at| at + RESEND_WINDOW_MS < now) {
            return;
        }
        let daemon_state = &self.daemons[daemon];
        let roster = &self.rosters[usize::try_from(daemon_state.epoch).unwrap_or_default()];
        let holders = holders_of(roster, roster.epoch, key.hash());
        let attempt = self.attempts.len();
        let id = AttemptId {
            daemon: daemon_state.name.clone(),
            incarnation: daemon_state.incarnation,
            number: attempt as u64,
        };
        let request = ClaimRequest { key, content_hash: 1, attempt: id, epoch: daemon_state.epoch };
        for to in self.indices(&holders) {
            self.network.push(Message::Claim { attempt, to });
        }
        self.attempts.push(Attempt {
            daemon,
            incarnation: self.daemons[daemon].incarnation,
            request,
            holders,
            claims: BTreeMap::new(),
            seals: BTreeMap::new(),
            phase: Phase::Claiming,
        });
    }

    /// One of the latest attempts decides by the replies that have arrived so far.
    fn decide(&mut self, pick: usize) {
        if self.attempts.is_empty() {
            return;
        }
        let recent = self.attempts.len().min(6);
        let at = self.attempts.len() - 1 - pick % recent;
        let attempt = self.attempts[at].clone();
        if self.daemons[attempt.daemon].incarnation != attempt.incarnation {
            return;
        }
        match attempt.phase {
            Phase::Claiming => self.decide_claim(at, &attempt),
            Phase::Won if pick.is_multiple_of(5) => {
                self.not_run.insert(attempt.request.key);
                self.attempts[at].phase = Phase::Ended;
            }
            Phase::Won => {
                self.attempts[at].phase = Phase::Sent;
                self.network.push(Message::Action { attempt: at });
            }
            Phase::Sealing => {
                let replies: Vec<ClaimReply> = attempt.seals.values().cloned().collect();
                let is_not_run = tally_seals(&attempt.holders, &replies) == SealDecision::NotRun
                    || self.fault == InjectedFault::NotRunWithoutSeals;
                if is_not_run {
                    self.not_run.insert(attempt.request.key);
                    self.attempts[at].phase = Phase::Ended;
                }
            }
            Phase::Sent | Phase::Ended => (),
        }
    }

    fn decide_claim(&mut self, at: usize, attempt: &Attempt) {
        let replies: Vec<ClaimReply> = attempt.claims.values().cloned().collect();
        let is_won = match self.fault {
            InjectedFault::SingleGrant => replies.contains(&ClaimReply::Granted),
            _ => tally_claims(&attempt.holders, &replies) == ClaimDecision::Won,
        };
        if is_won {
            self.attempts[at].phase = Phase::Won;
        } else if !replies.is_empty() {
            self.attempts[at].phase = Phase::Sealing;
            for to in self.indices(&attempt.holders) {
                self.network.push(Message::Seal { attempt: at, to });
            }
        }
    }

    fn restart(&mut self, pick: usize) {
        let index = pick % self.daemons.len();
        let now = self.clock(index);
        let latest = self.rosters.len() as u64 - 1;
        let name = self.daemons[index].name.clone();
        // A daemon may restart with an older configuration than it had, if that lists it.
        let epoch = match pick.is_multiple_of(3) {
            true => latest,
            false => self.daemons[index].epoch.saturating_sub((pick / 3) as u64 % 2),
        };
        let is_listed =
            self.rosters[usize::try_from(epoch).unwrap_or_default()].daemons.contains_key(&name);
        let grants_at_once = self.fault == InjectedFault::GrantsAfterRestart;
        let started_at = if grants_at_once { WallTime::default() } else { now };
        let daemon = &mut self.daemons[index];
        daemon.holder = ClaimHolder::new(name, started_at);
        daemon.incarnation += 1;
        daemon.epoch = if is_listed { epoch } else { daemon.epoch };
        if grants_at_once {
            for peer in 0..self.daemons.len() {
                self.daemons[index].holder.record_epoch(&daemon_name(peer), 0, WallTime::default());
            }
        }
        self.query_and_record_epochs(index);
    }

    fn query_and_record_epochs(&mut self, index: usize) {
        self.query_epochs(index);
        let (now, epoch) = (self.clock(index), self.daemons[index].epoch);
        let name = self.daemons[index].name.clone();
        self.daemons[index].holder.record_epoch(&name, epoch, now);
        if self.fault == InjectedFault::ImmediateRosterChange {
            for peer in 0..self.daemons.len() {
                let name = daemon_name(peer);
                self.daemons[index].holder.record_epoch(&name, epoch, WallTime::default());
            }
        }
    }

    fn change_roster(&mut self, pick: usize) {
        let Some(mut roster) = self.rosters.last().cloned() else { return };
        if self.rosters.len() > 6 {
            return;
        }
        roster.epoch += 1;
        let epoch = roster.epoch;
        if pick.is_multiple_of(2) && self.daemons.len() < MAX_DAEMONS {
            self.rosters.push(roster);
            let index = self.daemons.len();
            self.add_daemon(index, epoch);
            self.query_and_record_epochs(index);
            return;
        }
        let members: Vec<DaemonName> = roster
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.removed.is_none() && daemon.added < epoch)
            .map(|(name, _)| name.clone())
            .collect();
        if members.len() <= 3 {
            return;
        }
        if let Some(daemon) = roster.daemons.get_mut(&members[pick / 2 % members.len()]) {
            daemon.removed = Some(epoch);
        }
        self.rosters.push(roster);
    }

    fn update_roster(&mut self, pick: usize) {
        let index = pick % self.daemons.len();
        let latest = self.rosters.len() as u64 - 1;
        if self.daemons[index].epoch < latest {
            let missed = latest - self.daemons[index].epoch;
            self.daemons[index].epoch += 1 + (pick / 16) as u64 % missed;
            self.query_and_record_epochs(index);
        }
    }

    fn partition_one_centre(&mut self, pick: usize) {
        let centre = pick % 3;
        for inside in (0..self.daemons.len()).filter(|x| x % 3 == centre) {
            for outside in (0..self.daemons.len()).filter(|x| x % 3 != centre) {
                self.blocked_links.insert((inside, outside));
                if !pick.is_multiple_of(4) {
                    self.blocked_links.insert((outside, inside));
                }
            }
        }
    }

    fn query_epochs(&mut self, pick: usize) {
        let from = pick % self.daemons.len();
        let incarnation = self.daemons[from].incarnation;
        for to in (0..self.daemons.len()).filter(|to| *to != from) {
            self.network.push(Message::AskEpoch { from, to, incarnation });
        }
    }
}
