//! Settings of the routing table.

use crate::routing::HoldOptions;

/// Settings of a [`RoutingTable`](crate::routing::RoutingTable).
#[derive(Clone, Copy, Debug)]
pub struct RoutingOptions {
    /// Load bound for a target, as a multiple of the mean load.
    pub max_load_ratio: f64,
    /// Load bound for the target of a new chat, as a multiple of the mean load.
    ///
    /// A new chat has no cached prefix to lose, so placing new chats on less loaded targets evens
    /// out the load without cost. The bound for other chats, which costs cache reuse, then applies
    /// less often.
    pub new_chat_ratio: f64,
    /// Load at which a target is at capacity, as a multiple of its configured capacity.
    pub full_ratio: f64,
    /// Number of requests that each own request since a report counts as, to account for other
    /// daemons.
    pub peer_scale: f64,
    /// Whether hints from callers are used.
    pub use_hints: bool,
    /// Settings of the hold-down of flapping targets.
    pub hold: HoldOptions,
    /// Duration of the slow start of a target that joined, restarted or recovered, in milliseconds.
    pub slow_start_ms: u64,
}

impl RoutingOptions {
    /// Sets the load bounds so that the real load stays below `max_load_ratio` times the mean while
    /// reports are up to `lag_ms` old.
    ///
    /// Requests that other daemons send, or that end on a target, between two reports are not
    /// visible, so the bounds in use are tighter than the guaranteed ratio. The older the reports,
    /// the more of the apparent imbalance is noise, and a tight bound would only move chats away
    /// from their cached prefixes. So both bounds widen with the lag: the general one up to the
    /// guaranteed ratio, the one for new chats up to 1.1.
    pub fn with_bounds(self, max_load_ratio: f64, lag_ms: u64) -> Self {
        // Fraction of the guaranteed excess over the mean that is used with fresh reports.
        const FRESH_FRACTION: f64 = 0.5;
        const FRACTION_PER_LAG_SECOND: f64 = 0.3;
        const FRESH_NEW_CHAT_RATIO: f64 = 0.95;
        const NEW_CHAT_RATIO_PER_LAG_SECOND: f64 = 0.05;
        const MAX_NEW_CHAT_RATIO: f64 = 1.1;
        const MILLIS_PER_SECOND: f64 = 1_000.0;
        let lag_seconds = lag_ms as f64 / MILLIS_PER_SECOND;
        let fraction = (FRESH_FRACTION + FRACTION_PER_LAG_SECOND * lag_seconds).min(1.0);
        let new_chat_ratio = FRESH_NEW_CHAT_RATIO + NEW_CHAT_RATIO_PER_LAG_SECOND * lag_seconds;
        Self {
            max_load_ratio: 1.0 + (max_load_ratio - 1.0) * fraction,
            new_chat_ratio: new_chat_ratio.min(MAX_NEW_CHAT_RATIO),
            ..self
        }
    }
}

impl Default for RoutingOptions {
    fn default() -> Self {
        Self {
            max_load_ratio: 1.25,
            new_chat_ratio: 1.0,
            full_ratio: 1.0,
            peer_scale: 1.0,
            use_hints: true,
            hold: HoldOptions { initial_ms: 5_000, max_ms: 300_000 },
            slow_start_ms: 10_000,
        }
    }
}
