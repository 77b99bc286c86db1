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
use crate::policies::PolicyQuery;
use crate::policies::RoutingPolicy;
use crate::policies::engine_index;
use crate::policies::target_name;
use crate::trace::TraceRequest;

/// Fraction of the trace that only fills the caches and is not counted.
const WARM_UP_FRACTION: f64 = 0.3;
/// Mean load of an engine below which skew is not recorded, as single requests would dominate it.
const MIN_MEAN_LOAD: f64 = 8.0;
/// Histogram steps per unit: load ratios are recorded in hundredths.
const STEPS_PER_UNIT: f64 = 100.0;
/// Bytes of a datagram's header and tag and of the UDP and IP headers.
const DATAGRAM_OVERHEAD_BYTES: usize = 100;
/// Datagrams that a daemon sends and receives per second.
const DATAGRAMS_PER_SECOND: usize = 4;
/// Interval of load reports and of skew measurements, in milliseconds.
const TICK_INTERVAL_MS: u64 = 1_000;
/// Utilisation from which fair shares are enforced.
const MIN_SHARE_UTILISATION: f64 = 0.85;

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
struct DaemonModel {
    table: RoutingTable,
    shares: FairShare,
    share_keys: Vec<ShareKey>,
    /// Delay until a published host list is applied.
    host_list_delay_ms: u64,
}

/// Event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request ends.
    Finish { engine: usize, incarnation: u64, daemon: usize, key: TargetKey, share: ShareKey },
    /// A daemon applies the published host list with this index.
    Hosts { daemon: usize, list_index: usize },
    /// Load reports are sent and the skew is recorded.
    Tick,
}

/// Replay of one trace with one routing policy.
pub struct Replay<'a> {
    options: &'a ReplayOptions,
    policy: RoutingPolicy,
    generator: SmallRng,
    engines: Vec<EngineModel>,
    daemons: Vec<DaemonModel>,
    /// Events by time in milliseconds, then in insertion order.
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_sequence: u64,
    /// Host lists published so far.
    host_lists: Vec<HostList>,
    /// Load reports of each engine by time in milliseconds.
    report_history: Vec<Vec<(u64, LoadReport)>>,
    /// Target and incarnation that served the last request of each chat.
    hints: BTreeMap<u64, (TargetName, u64)>,
    workload: WorkloadName,
    /// Load of an engine divided by the mean load, in steps of `1 / STEPS_PER_UNIT`.
    skew: Histogram<u64>,
    /// Durations of routing decisions, in nanoseconds.
    decisions: Histogram<u64>,
    totals: ReplayTotals,
    /// End of the warm-up, in milliseconds.
    warm_up_end_ms: u64,
}

/// Counts after the warm-up; `lost` and `report_bytes` include the warm-up.
#[derive(Default)]
struct ReplayTotals {
    requests: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    lost: u64,
    sent_by_customer: Vec<u64>,
    refused_by_customer: Vec<u64>,
    report_bytes: u64,
}

impl<'a> Replay<'a> {
    /// Prepares a replay.
    ///
    /// # Panics
    /// Never: the bounds of the histograms are valid constants.
    pub fn new(options: &'a ReplayOptions, policy: RoutingPolicy) -> Self {
        let engines =
            vec![EngineModel::new(options.capacity, options.cache_tokens); options.engines];
        let mut generator = SmallRng::seed_from_u64(options.seed);
        let daemons = (0..options.daemons)
            .map(|_| {
                let mut shares = FairShare::default();
                let share_keys = (0..options.customers).map(|_| shares.insert(1.0)).collect();
                let host_list_delay_ms = generator.random_range(200..5_000);
                DaemonModel {
                    table: RoutingTable::default(),
                    shares,
                    share_keys,
                    host_list_delay_ms,
                }
            })
            .collect();
        let totals = ReplayTotals {
            sent_by_customer: vec![0; options.customers],
            refused_by_customer: vec![0; options.customers],
            ..ReplayTotals::default()
        };
        let histogram =
            |max| Histogram::new_with_bounds(1, max, 3).expect("histogram bounds should be valid");
        Self {
            options,
            policy,
            generator,
            report_history: vec![Vec::new(); options.engines],
            engines,
            daemons,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            host_lists: Vec::new(),
            hints: BTreeMap::new(),
            workload: WorkloadName::from("w"),
            skew: histogram(1_000_000),
            decisions: histogram(1_000_000_000),
            totals,
            warm_up_end_ms: 0,
        }
    }

    /// Replays the trace.
    pub fn run(mut self, trace: &[TraceRequest]) -> ReplayOutcome {
        let end_ms = trace.last().map_or(0, |request| request.at_ms);
        self.warm_up_end_ms = (end_ms as f64 * WARM_UP_FRACTION) as u64;
        self.publish(0);
        self.push(TICK_INTERVAL_MS, Event::Tick);
        let mut churn =
            self.options.churn.events(end_ms, self.options.engines).into_iter().peekable();
        for request in trace {
            while churn.peek().is_some_and(|(at_ms, _)| *at_ms <= request.at_ms) {
                if let Some((at_ms, event)) = churn.next() {
                    self.run_events_until(at_ms);
                    self.apply_churn(at_ms, event);
                }
            }
            self.run_events_until(request.at_ms);
            self.handle_request(request);
        }
        self.into_outcome(end_ms)
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse((at_ms, self.last_sequence, event)));
    }

    /// Processes all events up to a time.
    fn run_events_until(&mut self, until_ms: u64) {
        while self.queue.peek().is_some_and(|Reverse((at_ms, _, _))| *at_ms <= until_ms) {
            let Some(Reverse((at_ms, _, event))) = self.queue.pop() else { return };
            match event {
                Event::Finish { engine, incarnation, daemon, key, share } => {
                    self.finish(engine, incarnation, daemon, key, share);
                }
                Event::Hosts { daemon, list_index } => {
                    let now = MonoTime::from_millis(at_ms);
                    let table = &mut self.daemons[daemon].table;
                    table.apply_hosts(&self.host_lists[list_index], &self.options.routing, now);
                }
                Event::Tick => self.tick(at_ms),
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
        let daemon_model = &mut self.daemons[daemon];
        daemon_model.table.record_done(key);
        daemon_model.shares.release(share);
        let model = &mut self.engines[engine];
        if model.incarnation != incarnation {
            self.totals.lost += 1;
            return;
        }
        model.finish();
        // The daemon that sent the request gets the engine's load with the end of the reply.
        if self.policy.uses_load_reports() && self.options.lag_ms == 0 {
            daemon_model.table.apply_report(key, incarnation, model.load_report());
        }
    }

    fn tick(&mut self, at_ms: u64) {
        self.push(at_ms + TICK_INTERVAL_MS, Event::Tick);
        for (engine, report_history) in self.engines.iter().zip(&mut self.report_history) {
            report_history.push((at_ms, engine.load_report()));
        }
        if at_ms >= self.warm_up_end_ms {
            self.record_skew();
        }
        if self.policy.uses_load_reports() {
            self.send_load_reports(at_ms);
        }
    }

    fn record_skew(&mut self) {
        let loads: Vec<u64> =
            self.engines.iter().filter(|engine| engine.is_up).map(EngineModel::in_flight).collect();
        let mean = loads.iter().sum::<u64>() as f64 / loads.len().max(1) as f64;
        if mean < MIN_MEAN_LOAD {
            return;
        }
        for load in loads {
            self.skew.saturating_record((load as f64 / mean * STEPS_PER_UNIT).round() as u64);
        }
    }

    /// Sends the load reports of `lag_ms` ago to all daemons; some are lost.
    fn send_load_reports(&mut self, at_ms: u64) {
        let report_ms = at_ms.saturating_sub(self.options.lag_ms);
        for index in 0..self.engines.len() {
            let report_history = &self.report_history[index];
            let delayed = report_history
                .iter()
                .rev()
                .find(|(created_ms, _)| *created_ms <= report_ms)
                .copied();
            let Some((_, report)) = delayed else { continue };
            let name = target_name(index);
            let incarnation = self.engines[index].incarnation;
            let item = GossipItem::Load {
                target: short_hash(name.as_str()),
                incarnation,
                report,
                is_down: false,
            };
            self.totals.report_bytes += item_bytes(&item) as u64;
            for daemon_model in &mut self.daemons {
                if self.generator.random::<f64>() < self.options.loss {
                    continue;
                }
                if let Some(key) = daemon_model.table.key_of(&name) {
                    daemon_model.table.apply_report(key, incarnation, report);
                }
            }
        }
    }

    fn handle_request(&mut self, request: &TraceRequest) {
        let is_counted = request.at_ms >= self.warm_up_end_ms;
        let daemon = self.generator.random_range(0..self.daemons.len());
        let now = MonoTime::from_millis(request.at_ms);
        let daemon_model = &mut self.daemons[daemon];
        let share = daemon_model.share_keys[request.customer];
        let utilisation =
            daemon_model.table.utilisation(&self.workload, &self.options.routing, now);
        if is_counted {
            self.totals.sent_by_customer[request.customer] += 1;
        }
        let admitted = daemon_model.shares.admit(share, utilisation, MIN_SHARE_UTILISATION);
        if admitted != ShareVerdict::Admitted {
            self.totals.refused_by_customer[request.customer] += u64::from(is_counted);
            return;
        }
        match self.route_request(request, daemon, now) {
            Some((engine, key)) => self.start(request, daemon, engine, key, share, is_counted),
            None => {
                self.daemons[daemon].shares.release(share);
                self.totals.refused_by_customer[request.customer] += u64::from(is_counted);
            }
        }
    }

    /// Chooses targets until one is up and reachable; `None` if none is left.
    fn route_request(
        &mut self,
        request: &TraceRequest,
        daemon: usize,
        now: MonoTime,
    ) -> Option<(usize, TargetKey)> {
        let hint = self.hints.get(&request.chat).cloned();
        let mut tried = Vec::new();
        loop {
            let query = PolicyQuery {
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
            let started_at = Instant::now();
            let key = self.policy.choose(table, &self.engines, &query, &mut self.generator);
            let elapsed_ns = u64::try_from(started_at.elapsed().as_nanos()).unwrap_or(u64::MAX);
            self.decisions.saturating_record(elapsed_ns.max(1));
            let key = key?;
            let engine = engine_index(&table.target(key)?.host.name);
            if self.engines[engine].is_up && self.is_reachable(daemon, engine, now) {
                return Some((engine, key));
            }
            let hold = &self.options.routing.hold;
            self.daemons[daemon].table.record_failure(key, hold, now);
            tried.push(key);
        }
    }

    /// Whether the network connects the daemon to the engine.
    fn is_reachable(&self, daemon: usize, engine: usize, now: MonoTime) -> bool {
        let partitioned = self.options.churn.partitioned_centre(now.as_millis());
        let centres = self.options.centres;
        partitioned
            .is_none_or(|centre| (daemon % centres == centre) == (engine % centres == centre))
    }

    fn start(
        &mut self,
        request: &TraceRequest,
        daemon: usize,
        engine: usize,
        key: TargetKey,
        share: ShareKey,
        is_counted: bool,
    ) {
        let model = &mut self.engines[engine];
        let incarnation = model.incarnation;
        let (cached_tokens, duration_ms) =
            model.start(request.chat, request.prompt_tokens, request.output_tokens);
        self.daemons[daemon].table.record_sent(key);
        self.daemons[daemon].table.record_reply(key, MonoTime::from_millis(request.at_ms));
        if is_counted {
            self.totals.requests += 1;
            self.totals.prompt_tokens += request.prompt_tokens;
            self.totals.cached_tokens += cached_tokens;
        }
        // The daemon gets the engine's load with the response headers, too.
        if self.policy.uses_load_reports() && self.options.lag_ms == 0 {
            let report = self.engines[engine].load_report();
            self.daemons[daemon].table.apply_report(key, incarnation, report);
        }
        self.hints.insert(request.chat, (target_name(engine), incarnation));
        let event = Event::Finish { engine, incarnation, daemon, key, share };
        self.push(request.at_ms + duration_ms, event);
    }

    fn apply_churn(&mut self, at_ms: u64, event: ChurnEvent) {
        match event {
            ChurnEvent::Crash(engine) => self.engines[engine].crash(),
            ChurnEvent::Restart(engine) => self.engines[engine].is_up = true,
            ChurnEvent::Join => {
                let model = EngineModel::new(self.options.capacity, self.options.cache_tokens);
                self.engines.push(model);
                self.report_history.push(Vec::new());
            }
        }
        self.publish(at_ms);
    }

    /// Publishes a host list; each daemon applies it after its own delay, the first one at once.
    fn publish(&mut self, at_ms: u64) {
        let targets = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.is_up)
            .map(|(index, engine)| HostEntry {
                name: target_name(index),
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: format!("c{}", index % self.options.centres).as_str().into(),
                workload: self.workload.clone(),
                incarnation: engine.incarnation,
                capacity: engine.capacity,
                state: Default::default(),
            })
            .collect();
        let list_index = self.host_lists.len();
        self.host_lists.push(HostList { version: list_index as u64 + 1, targets });
        for daemon in 0..self.daemons.len() {
            let delay_ms = if at_ms == 0 { 0 } else { self.daemons[daemon].host_list_delay_ms };
            self.push(at_ms + delay_ms, Event::Hosts { daemon, list_index });
        }
    }

    fn into_outcome(self, end_ms: u64) -> ReplayOutcome {
        let totals = self.totals;
        let fraction = |part: u64, total: u64| part as f64 / total.max(1) as f64;
        let sent: u64 = totals.sent_by_customer.iter().sum();
        let refused: u64 = totals.refused_by_customer.iter().sum();
        let seconds = end_ms as f64 / 1_000.0;
        let datagram_bytes = (DATAGRAM_OVERHEAD_BYTES * DATAGRAMS_PER_SECOND) as f64;
        ReplayOutcome {
            requests: totals.requests,
            reuse: fraction(totals.cached_tokens, totals.prompt_tokens),
            skew_p99: self.skew.value_at_quantile(0.99) as f64 / STEPS_PER_UNIT,
            skew_max: self.skew.max() as f64 / STEPS_PER_UNIT,
            refused: fraction(refused, sent),
            refused_by_customer: totals
                .refused_by_customer
                .iter()
                .zip(&totals.sent_by_customer)
                .map(|(part, total)| fraction(*part, *total))
                .collect(),
            lost: fraction(totals.lost, sent),
            control_bytes: totals.report_bytes as f64 / seconds + datagram_bytes,
            decision_ns: self.decisions.value_at_quantile(0.5),
        }
    }
}
