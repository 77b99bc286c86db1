//! One target and its state.

use std::net::SocketAddr;

use crate::clock::MonoTime;
use crate::hosts::HostEntry;
use crate::routing::HoldDown;
use crate::routing::LoadEstimate;
use crate::routing::RoutingOptions;

/// Share of its capacity that a target takes at the start of its slow start.
const SLOW_START_SHARE: f64 = 0.2;

/// Whether a target takes new work, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStatus {
    /// It takes new work.
    Ready,
    /// It is leaving.
    Leaving,
    /// It is held down for flapping.
    Held,
    /// It does not answer.
    Down,
    /// Its data centre cannot be reached.
    CutOff,
}

impl TargetStatus {
    /// The status as it stands in logs and in the status report.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Leaving => "leaving",
            Self::Held => "held",
            Self::Down => "down",
            Self::CutOff => "cut-off",
        }
    }
}

/// One target.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The target's entry in the host list.
    pub host: HostEntry,
    /// Its estimated load.
    pub load: LoadEstimate,
    pub(super) hash: u64,
    pub(super) hold: HoldDown,
    pub(super) failures: u32,
    pub(super) is_down: bool,
    pub(super) ramp_from: Option<MonoTime>,
}

impl TargetEntry {
    /// Where the target is reached.
    pub fn address(&self) -> SocketAddr {
        self.host.address
    }

    /// Hash of the target's name.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The end of the target's hold-down.
    pub fn held_until(&self) -> MonoTime {
        self.hold.held_until()
    }

    /// The capacity that counts at `now`, which rises over the slow start.
    pub(super) fn ramped_capacity(&self, options: &RoutingOptions, now: MonoTime) -> f64 {
        let capacity = f64::from(self.host.capacity);
        let Some(from) = self.ramp_from else { return capacity };
        if options.slow_start_millis == 0 {
            return capacity;
        }
        let passed = now.millis_since(from) as f64 / options.slow_start_millis as f64;
        capacity * (SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * passed.min(1.0))
    }
}
