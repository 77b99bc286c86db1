//! Discrete-event replay of a trace through the routing tables of several daemons.

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

/// Fraction of the trace that only fills the caches and is not counted.
const WARM_UP_SHARE: f64 = 0.3;
/// Mean load of an engine below which skew is not recorded, as single requests would dominate it.
const MIN_MEAN_LOAD: f64 = 8.0;
/// Histogram steps per unit: load ratios are recorded in hundredths.
const RATIO_STEPS: f64 = 100.0;
/// Bytes of a datagram's header and tag and of the UDP and IP headers.
const FRAME_BYTES: usize = 100;
/// Datagrams that a daemon sends and receives per second.
const FRAMES_PER_SECOND: usize = 4;
/// Interval of load reports and of skew measurements, in milliseconds.
const TICK_MS: u64 = 1_000;
/// Utilisation from which fair shares are enforced.
const SHARE_FROM: f64 = 0.85;

/// Settings of a replay.
#[derive(Clone, Debug)]
pub struct ReplayOptions {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines at the start.
    pub engines: usize,
    /// Number of data centres; daemons and engines are spread evenly over them.
    pub centres: usize,
    /// Number of requests that each engine can run concurrently.
    pub capacity: u32,
    /// Capacity of each engine's prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Delay of load reports, in milliseconds.
    pub lag_ms: u64,
    /// Fraction of load reports that are lost.
    pub loss: f64,
    /// Number of customers.
    pub customers: usize,
    /// Crashes, restarts and joins of engines, and a network partition.
    pub churn: ChurnPlan,
    /// Routing options of the fleet.
    pub routing: RoutingOptions,
}

/// Results of one replay.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ReplayOutcome {
    /// Number of requests sent to engines after the warm-up.
    pub requests: u64,
    /// Fraction of prompt tokens that were cached.
    pub reuse: f64,
    /// 99th percentile of an engine's load divided by the mean load.
    pub skew_p99: f64,
    /// Largest load of an engine divided by the mean load.
    pub skew_max: f64,
    /// Fraction of requests refused.
    pub refused: f64,
    /// Fraction of each customer's requests refused.
    pub refused_by_customer: Vec<f64>,
    /// Requests lost in engine crashes, warm-up included, divided by all requests after it.
    pub lost: f64,
    /// Bytes of control traffic per second and daemon.
    pub control_bytes: f64,
    /// Median duration of a routing decision, in nanoseconds.
    pub decision_ns: u64,
}

/// State of a simulated daemon.
struct DaemonCopy {
    table: RoutingTable,
    shares: FairShare,
    share_keys: Vec<ShareKey>,
    /// Delay until a published host list is applied.
    hosts_late_ms: u64,
}

/// Event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request ends.
    Finish { engine: usize, incarnation: u64, daemon: usize, key: TargetKey, share: ShareKey },
    /// A daemon applies a host list, given by its index.
    Hosts { daemon: usize, version: usize },
    /// Load reports are sent and the skew is recorded.
    Tick,
}

/// Replay of one trace with one routing policy.
pub struct Replay<'a> {
    options: &'a ReplayOptions,
    way: RouteWay,
    generator: SmallRng,
    engines: Vec<EngineModel>,
    daemons: Vec<DaemonCopy>,
    /// Events by time in milliseconds, then in the order in which they were added.
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    /// Host lists published so far.
    lists: Vec<HostList>,
    /// Load reports of each engine by time in milliseconds.
    history: Vec<Vec<(u64, LoadReport)>>,
    /// Target and incarnation that served the last request of each chat.
    hints: BTreeMap<u64, (TargetName, u64)>,
    workload: WorkloadName,
    /// Load of an engine divided by the mean load, in steps of `1 / RATIO_STEPS`.
    skew: Histogram<u64>,
    /// Durations of routing decisions, in nanoseconds.
    decisions: Histogram<u64>,
    figures: Figures,
    /// End of the warm-up, in milliseconds.
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
    /// Never: the bounds of the histograms are valid constants.
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
        let histogram =
            |most| Histogram::new_with_bounds(1, most, 3).expect("valid histogram bounds");
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

    /// Processes all events up to a time.
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
        // The daemon that sent the request gets the engine's load with the end of the reply.
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

    /// Sends the load reports of `lag_ms` ago to all daemons, but for the lost ones.
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

    /// Chooses targets until one accepts the request.
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
                // The seed is arbitrary, but the same for all daemons.
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

    /// Whether the network connects the daemon to the engine.
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
        // The daemon gets the engine's load with the response headers, too.
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

    /// Publishes a host list; each daemon applies it after its own delay, the first one at once.
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
