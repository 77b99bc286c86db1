//! State of one target.

use std::net::SocketAddr;

use crate::clock::MonoTime;
use crate::hosts::HostEntry;
use crate::routing::HoldDown;
use crate::routing::LoadEstimate;
use crate::routing::RoutingOptions;

/// Fraction of its capacity that a target has at the beginning of its slow start.
const SLOW_START_FRACTION: f64 = 0.2;

/// Whether a target takes new work, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStatus {
    /// It takes new work.
    Ready,
    /// It is shutting down.
    Leaving,
    /// It is held down for flapping.
    Held,
    /// It does not respond to requests or health checks.
    Down,
    /// Its data centre is unreachable.
    Unreachable,
    /// It has been silent for no longer than a sound target may be, or a peer reported it as down; it
    /// takes new work only if no target is ready.
    Silent,
}

impl TargetStatus {
    /// Name of the status in logs and in the status report.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Leaving => "leaving",
            Self::Held => "held",
            Self::Down => "down",
            Self::Unreachable => "cut-off",
            Self::Silent => "silent",
        }
    }
}

/// A target's entry in the host list and its state on this daemon.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The target's entry in the host list.
    pub host: HostEntry,
    /// Estimate of the requests in flight on it.
    pub load: LoadEstimate,
    /// Hash of the target's name, for rendezvous orders.
    pub(super) hash: u64,
    /// Hold-down after flaps.
    pub(super) hold: HoldDown,
    /// Failures since the last reply.
    pub(super) failures: u32,
    /// First of the latest failures in a row that were only silence, or a peer's report of them.
    pub(super) silent_since: Option<MonoTime>,
    /// Latest report from a peer that was news of the target's load: the peer reaches it.
    pub(super) reported_at: Option<MonoTime>,
    /// Whether the target counts as down, by failures here; until it replies or restarts.
    pub(super) is_down: bool,
    /// Start of the slow start, which may be the end of a hold-down; `None` for targets of the
    /// first host list.
    pub(super) slow_start_from: Option<MonoTime>,
}

impl TargetEntry {
    /// Address at which the target accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.host.address
    }

    /// Hash of the target's name.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Whether the target has not responded since its last reply, without other signs of its end.
    pub fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// End of the latest hold-down.
    pub fn held_until(&self) -> MonoTime {
        self.hold.held_until()
    }

    /// Capacity at `now`, which rises to the full value during the slow start.
    pub(super) fn effective_capacity(&self, options: &RoutingOptions, now: MonoTime) -> f64 {
        let capacity = f64::from(self.host.capacity);
        let Some(from) = self.slow_start_from else { return capacity };
        if options.slow_start_ms == 0 {
            return capacity;
        }
        let elapsed = now.millis_since(from) as f64 / options.slow_start_ms as f64;
        capacity * (SLOW_START_FRACTION + (1.0 - SLOW_START_FRACTION) * elapsed.min(1.0))
    }
}
