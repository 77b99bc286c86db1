//! Routing policies: the one of the fleet and baselines.

use rand::Rng;
use rand::rngs::SmallRng;

use ggt_core::clock::MonoTime;
use ggt_core::ident::TargetName;
use ggt_core::ident::WorkloadName;
use ggt_core::routing::RouteQuery;
use ggt_core::routing::RoutingOptions;
use ggt_core::routing::RoutingTable;
use ggt_core::routing::TargetEntry;
use ggt_core::routing::TargetKey;
use ggt_core::routing::TargetStatus;
use ggt_core::routing::rendezvous_score;

use crate::engines::EngineModel;

/// Number of targets, from the first in rendezvous order, among which `TwoChoices` picks.
const TWO_CHOICES_CANDIDATES: usize = 4;

/// Bound on load divided by mean load for `BoundedRendezvous`.
const BASELINE_LOAD_RATIO: f64 = 1.25;

/// Policy for choosing a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Random ready target.
    Random,
    /// Target with the least load by the last reports.
    LeastLoad,
    /// First target in rendezvous order.
    Rendezvous,
    /// First target in rendezvous order that is within the load bound.
    BoundedRendezvous,
    /// Less loaded one of two random targets among the first four in rendezvous order.
    TwoChoices,
    /// Target of the caller's hint, else the first in rendezvous order; no load bound.
    HintOnly,
    /// Policy of the fleet's daemons: hint, rendezvous order, load bound.
    Fleet,
    /// Target with the most cached tokens of the chat, read from the engines; no load bound.
    Oracle,
}

impl RoutingPolicy {
    /// All policies.
    pub const ALL: [Self; 8] = [
        Self::Random,
        Self::LeastLoad,
        Self::Rendezvous,
        Self::BoundedRendezvous,
        Self::TwoChoices,
        Self::HintOnly,
        Self::Fleet,
        Self::Oracle,
    ];

    /// Name in tables, plots and options.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastLoad => "least-load",
            Self::Rendezvous => "rendezvous",
            Self::BoundedRendezvous => "bounded",
            Self::TwoChoices => "two-of-four",
            Self::HintOnly => "hint-only",
            Self::Fleet => "ours",
            Self::Oracle => "oracle",
        }
    }

    /// Whether the policy uses load reports.
    pub const fn uses_load_reports(self) -> bool {
        matches!(self, Self::LeastLoad | Self::BoundedRendezvous | Self::TwoChoices | Self::Fleet)
    }

    /// Chooses a target for a request; `None` if no target is ready and within the bound.
    pub fn choose(
        self,
        table: &RoutingTable,
        engines: &[EngineModel],
        query: &PolicyQuery<'_>,
        generator: &mut SmallRng,
    ) -> Option<TargetKey> {
        let peer_scale = query.options.peer_scale;
        match self {
            Self::Random => {
                let ready: Vec<_> = ready_targets(table, query).collect();
                ready.get(generator.random_range(0..ready.len().max(1))).map(|(key, _)| *key)
            }
            Self::LeastLoad => ready_targets(table, query)
                .min_by(|a, b| a.1.load.value(peer_scale).total_cmp(&b.1.load.value(peer_scale)))
                .map(|(key, _)| key),
            Self::TwoChoices => {
                let mut scored: Vec<_> =
                    ready_targets(table, query).map(|x| (target_score(query, x.1), x)).collect();
                scored.sort_by(|a, b| b.0.total_cmp(&a.0));
                scored.truncate(TWO_CHOICES_CANDIDATES);
                let pick = |generator: &mut SmallRng| {
                    scored.get(generator.random_range(0..scored.len().max(1))).map(|x| x.1)
                };
                let (first, second) = (pick(generator)?, pick(generator)?);
                let prefers_second =
                    second.1.load.value(peer_scale) < first.1.load.value(peer_scale);
                Some(if prefers_second { second.0 } else { first.0 })
            }
            Self::Oracle => ready_targets(table, query)
                .max_by_key(|(_, entry)| {
                    let engine = &engines[engine_index(&entry.host.name)];
                    (engine.cached_tokens(query.chat), target_score(query, entry).to_bits())
                })
                .map(|(key, _)| key),
            Self::Rendezvous | Self::BoundedRendezvous | Self::HintOnly | Self::Fleet => {
                let options = RoutingOptions {
                    use_hints: matches!(self, Self::HintOnly | Self::Fleet),
                    max_load_ratio: match self {
                        Self::Rendezvous | Self::HintOnly => f64::INFINITY,
                        Self::BoundedRendezvous => BASELINE_LOAD_RATIO,
                        _ => query.options.max_load_ratio,
                    },
                    full_ratio: match self {
                        Self::Rendezvous | Self::HintOnly => f64::INFINITY,
                        _ => query.options.full_ratio,
                    },
                    ..*query.options
                };
                let route_query = RouteQuery {
                    workload: query.workload,
                    chat_hash: query.chat_hash,
                    hint: query.hint,
                    is_new: self == Self::Fleet && query.hint.is_none(),
                    tried: query.tried,
                };
                table.choose(&route_query, &options, query.now).ok().map(|chosen| chosen.key)
            }
        }
    }
}

/// Input of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct PolicyQuery<'a> {
    /// Workload of the request.
    pub workload: &'a WorkloadName,
    /// Number of the chat.
    pub chat: u64,
    /// Hash of the chat, for the rendezvous order.
    pub chat_hash: u64,
    /// Caller's hint: target and incarnation that served the chat's last request.
    pub hint: Option<(&'a TargetName, u64)>,
    /// Targets that failed earlier attempts of the request.
    pub tried: &'a [TargetKey],
    /// Routing options of the fleet.
    pub options: &'a RoutingOptions,
    /// Current simulated time.
    pub now: MonoTime,
}

/// Target name of the engine with the given index.
pub fn target_name(index: usize) -> TargetName {
    TargetName::from(format!("e{index}").as_str())
}

/// Index of the engine with the given target name.
pub fn engine_index(name: &TargetName) -> usize {
    name.as_str()[1..].parse().unwrap_or_default()
}

fn target_score(query: &PolicyQuery<'_>, entry: &TargetEntry) -> f64 {
    rendezvous_score(query.chat_hash, entry.hash(), f64::from(entry.host.capacity))
}

/// Targets that are ready and untried.
fn ready_targets<'a>(
    table: &'a RoutingTable,
    query: &'a PolicyQuery<'_>,
) -> impl Iterator<Item = (TargetKey, &'a TargetEntry)> {
    table.iter().filter(|(key, entry)| {
        table.status(entry, query.now) == TargetStatus::Ready && !query.tried.contains(key)
    })
}
