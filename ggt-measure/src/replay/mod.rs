//! Replays a trace through several copies of the decision core.

mod churn;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use ggt_core::clock::MonoTime;
use ggt_core::hosts::HostEntry;
use ggt_core::hosts::HostList;
use ggt_core::ident::TargetName;
use ggt_core::ident::WorkloadName;
use ggt_core::ident::mix_hash;
use ggt_core::limits::FairShare;
use ggt_core::limits::ShareKey;
use ggt_core::limits::ShareVerdict;
use ggt_core::membership::GossipItem;
use ggt_core::membership::short_hash;
use ggt_core::routing::LoadReport;
use ggt_core::routing::RoutingOptions;
use ggt_core::routing::RoutingTable;
use ggt_core::routing::TargetKey;
use ggt_wire::datagram::item_bytes;

pub use churn::ChurnEvent;
pub use churn::ChurnPlan;

use crate::engines::EngineModel;
use crate::trace::TraceRequest;
use crate::ways::RouteWay;
use crate::ways::WayQuery;
use crate::ways::index_of;
use crate::ways::name_of;

/// The trace's beginning fills the caches and is not counted.
const WARM_UP_SHARE: f64 = 0.3;
/// Mean load from which an engine's share of it is worth a figure.
const MIN_MEAN_LOAD: f64 = 8.0;
/// Ratios are recorded in hundredths.
const RATIO_STEPS: f64 = 100.0;
/// Bytes of a datagram's head, tag, and UDP and IP heads.
const FRAME_BYTES: usize = 100;
/// Datagrams that a daemon sends and receives in a second.
const FRAMES_PER_SECOND: usize = 4;
const TICK_MS: u64 = 1_000;
const SHARE_FROM: f64 = 0.85;

/// Settings of a replay.
#[derive(Clone, Debug)]
pub struct ReplayOptions {
    /// Seed of the replay's own choices.
    pub seed: u64,
    /// Daemons.
    pub daemons: usize,
    /// Engines at the start.
    pub engines: usize,
    /// Data centres.
    pub centres: usize,
    /// Requests that each engine can run at once.
    pub capacity: u32,
    /// Tokens that each engine's cache holds.
    pub cache_tokens: u64,
    /// How late load reports are, in milliseconds.
    pub lag_ms: u64,
    /// Share of load reports that are lost.
    pub loss: f64,
    /// Customers.
    pub customers: usize,
    /// What happens to engines.
    pub churn: ChurnPlan,
    /// How the fleet routes.
    pub routing: RoutingOptions,
}

/// Figures of one replay.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ReplayOutcome {
    /// Requests counted.
    pub requests: u64,
    /// Prompt tokens found in caches, as a share of all prompt tokens.
    pub reuse: f64,
    /// 99th percentile of an engine's load over the mean load.
    pub skew_p99: f64,
    /// Largest load of an engine over the mean load.
    pub skew_max: f64,
    /// Requests refused, as a share of all.
    pub refused: f64,
    /// Requests refused of each customer, as a share of its own.
    pub refused_by_customer: Vec<f64>,
    /// Requests that were on an engine when it died, as a share of all.
    pub lost: f64,
    /// Bytes of control traffic a second for each daemon.
    pub control_bytes: f64,
    /// Median time of a decision, in nanoseconds.
    pub decision_ns: u64,
}

struct DaemonCopy {
    table: RoutingTable,
    shares: FairShare,
    share_keys: Vec<ShareKey>,
    hosts_late_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish { engine: usize, incarnation: u64, daemon: usize, key: TargetKey, share: ShareKey },
    Hosts { daemon: usize, version: usize },
    Tick,
}

/// One replay under way.
pub struct Replay<'a> {
    options: &'a ReplayOptions,
    way: RouteWay,
    generator: SmallRng,
    engines: Vec<EngineModel>,
    daemons: Vec<DaemonCopy>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    lists: Vec<HostList>,
    history: Vec<Vec<(u64, LoadReport)>>,
    hints: BTreeMap<u64, (TargetName, u64)>,
    workload: WorkloadName,
    skew: Histogram<u64>,
    decisions: Histogram<u64>,
    figures: Figures,
    warm_at: u64,
}

#[derive(Default)]
struct Figures {
    requests: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    lost: u64,
    sent_by: Vec<u64>,
    refused_by: Vec<u64>,
    report_bytes: u64,
}

impl<'a> Replay<'a> {
    /// Prepares a replay.
    ///
    /// # Panics
    /// Never: the histograms' bounds are constants.
    pub fn new(options: &'a ReplayOptions, way: RouteWay) -> Self {
        let engines =
            vec![EngineModel::new(options.capacity, options.cache_tokens); options.engines];
        let mut generator = SmallRng::seed_from_u64(options.seed);
        let daemons = (0..options.daemons)
            .map(|_| {
                let mut shares = FairShare::default();
                let share_keys = (0..options.customers).map(|_| shares.insert(1.0)).collect();
                let hosts_late_ms = generator.random_range(200..5_000);
                DaemonCopy { table: RoutingTable::default(), shares, share_keys, hosts_late_ms }
            })
            .collect();
        let figures = Figures {
            sent_by: vec![0; options.customers],
            refused_by: vec![0; options.customers],
            ..Figures::default()
        };
        let histogram = |most| Histogram::new_with_bounds(1, most, 3).expect("constant bounds");
        Self {
            options,
            way,
            generator,
            history: vec![Vec::new(); options.engines],
            engines,
            daemons,
            queue: BinaryHeap::new(),
            order: 0,
            lists: Vec::new(),
            hints: BTreeMap::new(),
            workload: WorkloadName::from("w"),
            skew: histogram(1_000_000),
            decisions: histogram(1_000_000_000),
            figures,
            warm_at: 0,
        }
    }

    /// Replays the trace.
    pub fn run(mut self, trace: &[TraceRequest]) -> ReplayOutcome {
        let end = trace.last().map_or(0, |request| request.at_ms);
        self.warm_at = (end as f64 * WARM_UP_SHARE) as u64;
        self.publish(0);
        self.push(TICK_MS, Event::Tick);
        let mut churn = self.options.churn.events(end, self.options.engines).into_iter().peekable();
        for request in trace {
            while churn.peek().is_some_and(|(at, _)| *at <= request.at_ms) {
                if let Some((at, event)) = churn.next() {
                    self.drain(at);
                    self.apply_churn(at, event);
                }
            }
            self.drain(request.at_ms);
            self.arrive(request);
        }
        self.outcome(end)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }

    fn drain(&mut self, until: u64) {
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { return };
            match event {
                Event::Finish { engine, incarnation, daemon, key, share } => {
                    self.finish(engine, incarnation, daemon, key, share);
                }
                Event::Hosts { daemon, version } => {
                    let now = MonoTime::from_millis(at);
                    let table = &mut self.daemons[daemon].table;
                    table.apply_hosts(&self.lists[version], &self.options.routing, now);
                }
                Event::Tick => self.tick(at),
            }
        }
    }

    fn finish(
        &mut self,
        engine: usize,
        incarnation: u64,
        daemon: usize,
        key: TargetKey,
        share: ShareKey,
    ) {
        let copy = &mut self.daemons[daemon];
        copy.table.note_done(key);
        copy.shares.release(share);
        let model = &mut self.engines[engine];
        if model.incarnation != incarnation {
            self.figures.lost += 1;
            return;
        }
        model.finish();
        // The end of a reply carries the engine's load to the daemon that had asked.
        if self.way.needs_loads() && self.options.lag_ms == 0 {
            copy.table.take_report(key, incarnation, model.report());
        }
    }

    fn tick(&mut self, at: u64) {
        self.push(at + TICK_MS, Event::Tick);
        for (engine, history) in self.engines.iter().zip(&mut self.history) {
            history.push((at, engine.report()));
        }
        if at >= self.warm_at {
            self.record_skew();
        }
        if self.way.needs_loads() {
            self.spread_reports(at);
        }
    }

    fn record_skew(&mut self) {
        let loads: Vec<u64> =
            self.engines.iter().filter(|engine| engine.is_up).map(EngineModel::load).collect();
        let mean = loads.iter().sum::<u64>() as f64 / loads.len().max(1) as f64;
        if mean < MIN_MEAN_LOAD {
            return;
        }
        for load in loads {
            self.skew.saturating_record((load as f64 / mean * RATIO_STEPS).round() as u64);
        }
    }

    fn spread_reports(&mut self, at: u64) {
        let wanted = at.saturating_sub(self.options.lag_ms);
        for index in 0..self.engines.len() {
            let history = &self.history[index];
            let old = history.iter().rev().find(|(made, _)| *made <= wanted).copied();
            let Some((_, report)) = old else { continue };
            let name = name_of(index);
            let incarnation = self.engines[index].incarnation;
            let item = GossipItem::Load {
                target: short_hash(name.as_str()),
                incarnation,
                report,
                is_down: false,
            };
            self.figures.report_bytes += item_bytes(&item) as u64;
            for copy in &mut self.daemons {
                if self.generator.random::<f64>() < self.options.loss {
                    continue;
                }
                if let Some(key) = copy.table.key_of(&name) {
                    copy.table.take_report(key, incarnation, report);
                }
            }
        }
    }

    fn arrive(&mut self, request: &TraceRequest) {
        let counted = request.at_ms >= self.warm_at;
        let daemon = self.generator.random_range(0..self.daemons.len());
        let now = MonoTime::from_millis(request.at_ms);
        let copy = &mut self.daemons[daemon];
        let share = copy.share_keys[request.customer];
        let utilisation = copy.table.utilisation(&self.workload, &self.options.routing, now);
        if counted {
            self.figures.sent_by[request.customer] += 1;
        }
        let admitted = copy.shares.admit(share, utilisation, SHARE_FROM);
        if admitted != ShareVerdict::Admitted {
            self.figures.refused_by[request.customer] += u64::from(counted);
            return;
        }
        match self.place(request, daemon, now) {
            Some((engine, key)) => self.start(request, daemon, engine, key, share, counted),
            None => {
                self.daemons[daemon].shares.release(share);
                self.figures.refused_by[request.customer] += u64::from(counted);
            }
        }
    }

    /// Chooses targets until one takes the request.
    fn place(
        &mut self,
        request: &TraceRequest,
        daemon: usize,
        now: MonoTime,
    ) -> Option<(usize, TargetKey)> {
        let hint = self.hints.get(&request.chat).cloned();
        let mut tried = Vec::new();
        loop {
            let query = WayQuery {
                workload: &self.workload,
                chat: request.chat,
                chat_hash: mix_hash(request.chat, 77),
                hint: hint.as_ref().map(|(name, incarnation)| (name, *incarnation)),
                tried: &tried,
                options: &self.options.routing,
                now,
            };
            let table = &self.daemons[daemon].table;
            let begun = Instant::now();
            let key = self.way.choose(table, &self.engines, &query, &mut self.generator);
            let spent = u64::try_from(begun.elapsed().as_nanos()).unwrap_or(u64::MAX);
            self.decisions.saturating_record(spent.max(1));
            let key = key?;
            let engine = index_of(&table.target(key)?.host.name);
            if self.engines[engine].is_up && self.is_reachable(daemon, engine, now) {
                return Some((engine, key));
            }
            let hold = &self.options.routing.hold;
            self.daemons[daemon].table.note_failure(key, hold, now);
            tried.push(key);
        }
    }

    fn is_reachable(&self, daemon: usize, engine: usize, now: MonoTime) -> bool {
        let cut = self.options.churn.cut_centre(now.as_millis());
        let centres = self.options.centres;
        cut.is_none_or(|cut| (daemon % centres == cut) == (engine % centres == cut))
    }

    fn start(
        &mut self,
        request: &TraceRequest,
        daemon: usize,
        engine: usize,
        key: TargetKey,
        share: ShareKey,
        counted: bool,
    ) {
        let model = &mut self.engines[engine];
        let incarnation = model.incarnation;
        let (cached, takes) =
            model.start(request.chat, request.prompt_tokens, request.output_tokens);
        self.daemons[daemon].table.note_sent(key);
        self.daemons[daemon].table.note_answer(key, MonoTime::from_millis(request.at_ms));
        if counted {
            self.figures.requests += 1;
            self.figures.prompt_tokens += request.prompt_tokens;
            self.figures.cached_tokens += cached;
        }
        // The head of the reply carries the engine's load, too.
        if self.way.needs_loads() && self.options.lag_ms == 0 {
            let report = self.engines[engine].report();
            self.daemons[daemon].table.take_report(key, incarnation, report);
        }
        self.hints.insert(request.chat, (name_of(engine), incarnation));
        let event = Event::Finish { engine, incarnation, daemon, key, share };
        self.push(request.at_ms + takes, event);
    }

    fn apply_churn(&mut self, at: u64, event: ChurnEvent) {
        match event {
            ChurnEvent::Die(engine) => self.engines[engine].die(),
            ChurnEvent::Return(engine) => self.engines[engine].is_up = true,
            ChurnEvent::Join => {
                let model = EngineModel::new(self.options.capacity, self.options.cache_tokens);
                self.engines.push(model);
                self.history.push(Vec::new());
            }
        }
        self.publish(at);
    }

    /// Publishes the host list; each daemon hears of it after its own delay.
    fn publish(&mut self, at: u64) {
        let targets = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.is_up)
            .map(|(index, engine)| HostEntry {
                name: name_of(index),
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: format!("c{}", index % self.options.centres).as_str().into(),
                workload: self.workload.clone(),
                incarnation: engine.incarnation,
                capacity: engine.capacity,
                state: Default::default(),
            })
            .collect();
        let version = self.lists.len();
        self.lists.push(HostList { version: version as u64 + 1, targets });
        for daemon in 0..self.daemons.len() {
            let late = if at == 0 { 0 } else { self.daemons[daemon].hosts_late_ms };
            self.push(at + late, Event::Hosts { daemon, version });
        }
    }

    fn outcome(self, end: u64) -> ReplayOutcome {
        let figures = self.figures;
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let sent: u64 = figures.sent_by.iter().sum();
        let refused: u64 = figures.refused_by.iter().sum();
        let seconds = end as f64 / 1_000.0;
        let frames = (FRAME_BYTES * FRAMES_PER_SECOND) as f64;
        ReplayOutcome {
            requests: figures.requests,
            reuse: share(figures.cached_tokens, figures.prompt_tokens),
            skew_p99: self.skew.value_at_quantile(0.99) as f64 / RATIO_STEPS,
            skew_max: self.skew.max() as f64 / RATIO_STEPS,
            refused: share(refused, sent),
            refused_by_customer: figures
                .refused_by
                .iter()
                .zip(&figures.sent_by)
                .map(|(part, whole)| share(*part, *whole))
                .collect(),
            lost: share(figures.lost, sent),
            control_bytes: figures.report_bytes as f64 / seconds + frames,
            decision_ns: self.decisions.value_at_quantile(0.5),
        }
    }
}
