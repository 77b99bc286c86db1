//! Query to the routing table and its result.

use std::fmt;

use snafu::Snafu;

use crate::ident::TargetName;
use crate::ident::WorkloadName;
use crate::routing::TargetKey;

/// What the choice of a target depends on, for one request.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Workload that serves the request.
    pub workload: &'a WorkloadName,
    /// Hash of the chat, or of the request if it belongs to no chat.
    pub chat_hash: u64,
    /// Target and incarnation from the caller's hint.
    pub hint: Option<(&'a TargetName, u64)>,
    /// Whether the caller marked the chat as new, so that no target has a cached prefix of it.
    pub is_new: bool,
    /// Targets to leave out, because this request was sent to them before.
    pub tried: &'a [TargetKey],
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The caller's hint names it and it is within its load bound.
    Hint,
    /// It is first in the chat's rendezvous order.
    Home,
    /// The targets before it in the rendezvous order are above their load bound.
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

/// The chosen target, with the load and bound on which the choice was based.
#[derive(Clone, Copy, Debug)]
pub struct ChosenTarget {
    /// Key of the target in the table.
    pub key: TargetKey,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Estimated requests in flight on it, without this one.
    pub load: f64,
    /// Load bound, in requests in flight.
    pub bound: f64,
}

impl ChosenTarget {
    /// Whether one more request keeps the target within its bound.
    ///
    /// Both are rounded to whole requests: a fractional bound would exclude every target of a
    /// lightly loaded workload.
    pub(super) fn is_within_bound(&self) -> bool {
        self.load.floor() + 1.0 <= self.bound.ceil()
    }
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RouteRefusal {
    /// The workload has no ready target that was not tried before.
    #[snafu(display("no target of the workload takes work now"))]
    NoTarget,
    /// Every ready target is at its capacity.
    #[snafu(display("every target of the workload is full"))]
    Full,
}
