//! A model of many daemons before the engines of one service, without network: each daemon chooses by its own
//! view, which the others' digests update, and each engine runs requests in slots and caches prompts.

mod engine;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::fleet_model::engine::ModelEngine;
use crate::fleet_model::engine::RunTimes;
use crate::fleet_model::engine::SLOTS;
use crate::pool_fixture::pool_of;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::ident::mix_hash;
use ggt_core::prompts::PrefixChain;
use ggt_core::prompts::PromptPart;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::InFlightLoad;
use ggt_core::targets::LoadStatement;
use ggt_core::targets::ReportPace;
use ggt_core::targets::SendRecord;
use ggt_core::targets::SlotDuration;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetRecord;

/// Engines of the service.
pub const ENGINES: usize = 90;
/// Datagrams that a daemon sends in a second.
const SENDS_PER_SECOND: u64 = 80;
/// Maximum number of cached prefixes in a digest.
const MAX_PREFIXES: usize = 64;
/// Maximum number of stated loads in a digest.
const MAX_STATED_LOADS: usize = 24;
/// Requests that callers send at the same moment.
const CLUMP: usize = 3;

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    pub per_second: f64,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub output_tokens: u32,
    /// Number of different shared prefixes.
    pub subjects: u64,
    pub goal_ms: u64,
    pub priority: u32,
}

/// The requests of one span of time.
#[derive(Clone, Copy, Debug)]
pub struct TrafficPhase {
    pub ends_at_ms: u64,
    /// Factor on the usual rate of all classes.
    pub factor: f64,
    /// Share of the last class's requests that have the same shared prefix.
    pub hot_share: f64,
}

/// A request as it reached an engine.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRecord {
    pub at_ms: u64,
    /// Requests that the engine held, and their mean over all engines.
    pub held: u32,
    pub mean: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Caller,
    Arrival(usize),
    Started(usize),
    Ended(usize),
    Digest(usize),
}

struct ModelRequest {
    daemon: usize,
    engine: usize,
    chain: PrefixChain,
    output_tokens: u32,
    key: TargetKey,
    record: SendRecord,
}

/// The fleet, its engines and what is under way.
pub struct FleetModel {
    /// Milliseconds between two digests of a daemon.
    interval_ms: u64,
    classes: Vec<RequestClass>,
    phases: Vec<TrafficPhase>,
    pools: Vec<TargetPool>,
    engines: Vec<ModelEngine>,
    numbers: HashMap<TargetKey, usize>,
    reported: Vec<HashMap<u32, InFlightLoad>>,
    stated: Vec<HashMap<u32, LoadStatement>>,
    requests: Vec<ModelRequest>,
    events: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    sequence: u64,
    random: u64,
    arrivals: Vec<ArrivalRecord>,
    refused: usize,
}

fn at(micros: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + micros / 1_000)
}

impl FleetModel {
    /// A fleet of this many daemons, at rest.
    pub fn new(
        daemons: usize,
        classes: &[RequestClass],
        phases: &[TrafficPhase],
        seed: u64,
    ) -> Self {
        let peers = daemons - 1;
        let interval_ms = peers as u64 * 1_000 / SENDS_PER_SECOND;
        let mut pool = TargetPool::default();
        for (_, state) in pool_of(ENGINES).iter() {
            pool.put(TargetRecord { slots: SLOTS, ..state.record.clone() });
        }
        pool.set_report_pace(ReportPace { peers, interval_ms });
        let keys: Vec<_> = pool.of_service("s").to_vec();
        let numbers = keys.iter().enumerate().map(|(number, key)| (*key, number)).collect();
        let mut model = Self {
            interval_ms,
            classes: classes.to_vec(),
            phases: phases.to_vec(),
            pools: vec![pool; daemons],
            engines: (0..ENGINES).map(|_| ModelEngine::default()).collect(),
            numbers,
            reported: vec![HashMap::new(); daemons],
            stated: vec![HashMap::new(); daemons],
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            random: seed,
            arrivals: Vec::new(),
            refused: 0,
        };
        model.schedule(0, ModelEvent::Caller);
        for daemon in 0..daemons {
            let phase = (model.unit() * interval_ms as f64 * 1_000.0) as u64;
            model.schedule(phase, ModelEvent::Digest(daemon));
        }
        model
    }

    /// Plays all phases; returns the requests that reached engines, and how many were refused.
    pub fn play(mut self) -> (Vec<ArrivalRecord>, usize) {
        let ends_at = self.phases.last().map_or(0, |phase| phase.ends_at_ms) * 1_000;
        while let Some(Reverse((micros, _, event))) = self.events.pop() {
            if micros >= ends_at {
                break;
            }
            match event {
                ModelEvent::Caller => self.receive(micros),
                ModelEvent::Arrival(request) => self.arrive(request, micros),
                ModelEvent::Started(request) => self.start(request, micros),
                ModelEvent::Ended(request) => self.end(request, micros),
                ModelEvent::Digest(daemon) => self.send_digest(daemon, micros),
            }
        }
        (self.arrivals, self.refused)
    }

    /// Milliseconds for which a stated load goes before the sum of the reports.
    fn statement_ttl_ms(&self) -> u64 {
        self.interval_ms / 2
    }

    fn schedule(&mut self, micros: u64, event: ModelEvent) {
        self.sequence += 1;
        self.events.push(Reverse((micros, self.sequence, event)));
    }

    fn unit(&mut self) -> f64 {
        self.random = mix_hash(self.random, 1);
        ((self.random >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
    }

    /// Several callers' requests reach daemons at once.
    fn receive(&mut self, micros: u64) {
        let phase = self.phases.iter().find(|phase| micros < phase.ends_at_ms * 1_000);
        let Some(phase) = phase.copied() else { return };
        let per_second: f64 = self.classes.iter().map(|class| class.per_second).sum();
        let gap_ms = -self.unit().ln() * 1_000.0 / (per_second * phase.factor) * CLUMP as f64;
        self.schedule(micros + (gap_ms * 1_000.0) as u64, ModelEvent::Caller);
        (0..CLUMP).for_each(|_| self.send(phase, per_second, micros));
    }

    /// A daemon sends a caller's request to an engine.
    fn send(&mut self, phase: TrafficPhase, per_second: f64, micros: u64) {
        let mut point = self.unit() * per_second;
        let mut is_beyond = |class: &RequestClass| {
            point -= class.per_second;
            point >= 0.0
        };
        let number = self.classes.iter().take_while(|class| is_beyond(class)).count();
        let number = number.min(self.classes.len() - 1);
        let class = self.classes[number];
        let is_hot = number + 1 == self.classes.len() && self.unit() < phase.hot_share;
        let drawn = 1 + (self.unit() * class.subjects as f64) as u64;
        let subject = if is_hot { 0 } else { drawn };
        let daemon = (self.unit() * self.pools.len() as f64) as usize;
        let id = self.requests.len() as u64;
        let part = |hash, tokens| PromptPart { hash, tokens };
        let chain = PrefixChain::new(
            "m",
            &[
                part(mix_hash(number as u64, subject), class.shared_tokens),
                part(mix_hash(1 << 40, id), class.own_tokens),
            ],
        );
        let query = ChoiceQuery {
            chain: Some(&chain),
            goal_ms: class.goal_ms,
            ..query(class.priority, mix_hash(id, 7))
        };
        let pool = &mut self.pools[daemon];
        let Ok(choice) = pool.choose(&query, at(micros)) else {
            self.refused += 1;
            return;
        };
        let record = pool.record_send(choice.key, &chain, choice.source.is_some(), at(micros));
        let engine = self.numbers[&choice.key];
        let key = choice.key;
        let output_tokens = class.output_tokens;
        self.requests.push(ModelRequest { daemon, engine, chain, output_tokens, key, record });
        self.schedule(micros + 2_000, ModelEvent::Arrival(id as usize));
    }

    fn arrive(&mut self, request: usize, micros: u64) {
        let engine = self.requests[request].engine;
        let held: u32 = self.engines.iter().map(ModelEngine::held).sum();
        self.arrivals.push(ArrivalRecord {
            at_ms: micros / 1_000,
            held: self.engines[engine].held(),
            mean: f64::from(held) / ENGINES as f64,
        });
        if self.engines[engine].accept(request) {
            self.run(request, micros);
        }
    }

    fn run(&mut self, request: usize, micros: u64) {
        let ModelRequest { engine, ref chain, output_tokens, .. } = self.requests[request];
        let RunTimes { first_event, end } = self.engines[engine].run(chain, output_tokens);
        self.schedule(micros + first_event, ModelEvent::Started(request));
        self.schedule(micros + end, ModelEvent::Ended(request));
    }

    /// The first event of the reply, whose head states the engine's load.
    fn start(&mut self, request: usize, micros: u64) {
        let ModelRequest { daemon, engine, key, ref record, .. } = self.requests[request];
        let ttl_ms = self.statement_ttl_ms();
        let pool = &mut self.pools[daemon];
        pool.record_prefill(key, record.backlog_tokens);
        let requests = self.engines[engine].held();
        let statement = LoadStatement { requests, stated_at: at(micros) };
        pool.apply_load(key, statement, ttl_ms);
        if let Some(hash) = pool.target(key).map(|state| state.short_hash) {
            self.stated[daemon].insert(hash, statement);
        }
    }

    fn end(&mut self, request: usize, micros: u64) {
        let ModelRequest { daemon, engine, key, ref record, .. } = self.requests[request];
        let pool = &mut self.pools[daemon];
        pool.record_end(key);
        pool.record_slot_time(
            key,
            SlotDuration {
                load: record.load,
                total_ms: at(micros).millis_since(record.sent_at),
                has_prompt: true,
            },
            at(micros),
        );
        if let Some(next) = self.engines[engine].end() {
            self.run(next, micros);
        }
    }

    fn send_digest(&mut self, daemon: usize, micros: u64) {
        let pause_ms = self.interval_ms as f64 * (1.0 + self.unit() / 5.0);
        self.schedule(micros + (pause_ms * 1_000.0) as u64, ModelEvent::Digest(daemon));
        let (now, ttl_ms) = (at(micros), self.statement_ttl_ms());
        let pool = &mut self.pools[daemon];
        let prefixes = pool.recent_prefixes(MAX_PREFIXES);
        let busy = pool.iter().filter(|(_, state)| state.own.requests > 0);
        let loads: HashMap<_, _> = busy.map(|(_, state)| (state.short_hash, state.own)).collect();
        let before = std::mem::replace(&mut self.reported[daemon], loads.clone());
        let stated = &mut self.stated[daemon];
        stated.retain(|_, statement| now < statement.stated_at + ttl_ms);
        let mut statements: Vec<_> = stated.iter().map(|(hash, stated)| (*hash, *stated)).collect();
        statements.sort_by_key(|(hash, statement)| (Reverse(statement.stated_at), *hash));
        statements.truncate(MAX_STATED_LOADS);
        let hashes: HashSet<_> = before.keys().chain(loads.keys()).copied().collect();
        let load_of = |loads: &HashMap<u32, InFlightLoad>, hash| {
            loads.get(&hash).copied().unwrap_or_default()
        };
        for (number, pool) in self.pools.iter_mut().enumerate() {
            if number == daemon {
                continue;
            }
            for hash in &hashes {
                pool.replace_peer_load(*hash, load_of(&before, *hash), load_of(&loads, *hash));
            }
            for (prefix, target) in &prefixes {
                pool.record_peer_prefix(*target, *prefix, now);
            }
            for (hash, statement) in &statements {
                if let Some(key) = pool.by_short_hash(*hash) {
                    pool.apply_load(key, *statement, ttl_ms);
                }
            }
        }
    }
}
