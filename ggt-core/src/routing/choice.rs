//! The question put to the routing table and its answer.

use std::fmt;

use snafu::Snafu;

use crate::ident::TargetName;
use crate::ident::WorkloadName;
use crate::routing::TargetKey;

/// Asks for the target of one request.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The workload that serves the request.
    pub workload: &'a WorkloadName,
    /// Hash of the chat, or of the request where it belongs to no chat.
    pub chat_hash: u64,
    /// The target that the caller's hint names, with its incarnation.
    pub hint: Option<(&'a TargetName, u64)>,
    /// Whether the chat is known to be new, so that no target holds anything of it.
    pub is_new: bool,
    /// Targets that this request has been tried on.
    pub tried: &'a [TargetKey],
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The caller's hint named it.
    Hint,
    /// It comes first in the chat's rendezvous order.
    Home,
    /// Targets before it carry too much load.
    Spill,
}

impl fmt::Display for ChoiceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Hint => "hint",
            Self::Home => "home",
            Self::Spill => "spill",
        })
    }
}

/// The chosen target and the figures behind the choice.
#[derive(Clone, Copy, Debug)]
pub struct ChosenTarget {
    /// The target.
    pub key: TargetKey,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Its estimated load before this request.
    pub load: f64,
    /// The most load that it may carry.
    pub bound: f64,
}

impl ChosenTarget {
    /// Whether one more request keeps the target within its bound, both in whole requests.
    ///
    /// With fractions the bound would shut out every target of a lightly loaded workload.
    pub(super) fn is_within_bound(&self) -> bool {
        self.load.floor() + 1.0 <= self.bound.ceil()
    }
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RouteRefusal {
    /// The workload has no target that takes work now.
    #[snafu(display("no target of the workload takes work now"))]
    NoTarget,
    /// Every target of the workload is full.
    #[snafu(display("every target of the workload is full"))]
    Full,
}
