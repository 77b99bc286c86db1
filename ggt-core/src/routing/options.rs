//! Settings of the routing table.

use crate::routing::HoldOptions;

/// Settings of a [`RoutingTable`](crate::routing::RoutingTable).
#[derive(Clone, Copy, Debug)]
pub struct RoutingOptions {
    /// The most load a target may carry, as a multiple of the mean.
    pub max_load_ratio: f64,
    /// The most load a target may carry and still get new chats, as a multiple of the mean.
    ///
    /// A new chat loses nothing wherever it goes, so new chats level the load and the bound on the
    /// others, which costs cache reuse, comes into play less often.
    pub new_chat_ratio: f64,
    /// Load at which a target is full, as a multiple of its capacity.
    pub full_ratio: f64,
    /// How many requests each own request since a report stands for.
    pub peer_scale: f64,
    /// Whether callers' hints are used.
    pub use_hints: bool,
    /// Settings of the hold-down.
    pub hold: HoldOptions,
    /// Milliseconds over which a returning target takes up its full share.
    pub slow_start_millis: u64,
}

impl RoutingOptions {
    /// Sets the bounds that keep load under `max_load_ratio` x mean while reports are `lag_millis`
    /// old.
    ///
    /// Requests that other daemons send and targets end between two reports are not seen, so the
    /// bound in use leaves room for them. The older the reports, the more of what looks like load
    /// above the mean is noise, and a tight bound only drives chats off their caches: it is
    /// widened, up to the promised ratio, and new chats are held less strictly below the mean.
    pub fn with_bounds(self, max_load_ratio: f64, lag_millis: u64) -> Self {
        const FRESH_SHARE: f64 = 0.5;
        const SHARE_FOR_EACH_SECOND: f64 = 0.3;
        const FRESH_NEW_RATIO: f64 = 0.95;
        const NEW_RATIO_FOR_EACH_SECOND: f64 = 0.05;
        const MAX_NEW_RATIO: f64 = 1.1;
        const MILLIS_PER_SECOND: f64 = 1_000.0;
        let lag_seconds = lag_millis as f64 / MILLIS_PER_SECOND;
        let share = (FRESH_SHARE + SHARE_FOR_EACH_SECOND * lag_seconds).min(1.0);
        let new_ratio = FRESH_NEW_RATIO + NEW_RATIO_FOR_EACH_SECOND * lag_seconds;
        Self {
            max_load_ratio: 1.0 + (max_load_ratio - 1.0) * share,
            new_chat_ratio: new_ratio.min(MAX_NEW_RATIO),
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
            hold: HoldOptions { first_millis: 5_000, longest_millis: 300_000 },
            slow_start_millis: 10_000,
        }
    }
}
