//! Crashes, restarts and replacements of engines, and a network partition, during a replay.

/// Interval at which engines leave for good in a fleet of 20, in milliseconds.
const LEAVE_INTERVAL_MS: u64 = 120_000;
/// Interval between crashes of the flapping engine, in milliseconds.
const FLAP_INTERVAL_MS: u64 = 30_000;
/// Downtime of the flapping engine after a crash, in milliseconds.
const FLAP_DOWNTIME_MS: u64 = 4_000;

/// Change to the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChurnEvent {
    /// The engine with this index crashes and loses its cache.
    Crash(usize),
    /// The engine with this index restarts with an empty cache.
    Restart(usize),
    /// A new engine joins the fleet.
    Join,
}

/// Disturbances of a replay; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChurnPlan {
    /// Whether engines leave, join and flap.
    pub is_churning: bool,
    /// Data centre that is partitioned from the others, with the start and end of the partition in
    /// milliseconds.
    pub partition: Option<(usize, u64, u64)>,
}

impl ChurnPlan {
    /// Data centre that is partitioned from the others at a time.
    pub fn partitioned_centre(&self, at_ms: u64) -> Option<usize> {
        self.partition
            .filter(|(_, from_ms, until_ms)| (*from_ms..*until_ms).contains(&at_ms))
            .map(|(centre, _, _)| centre)
    }

    /// Changes to the engines until `end_ms`, sorted by time.
    pub fn events(&self, end_ms: u64, engines: usize) -> Vec<(u64, ChurnEvent)> {
        let mut events = Vec::new();
        if !self.is_churning {
            return events;
        }
        // The first engine flaps; the others leave in turn, each replaced by a new one.
        for at_ms in (FLAP_INTERVAL_MS..end_ms).step_by(FLAP_INTERVAL_MS as usize) {
            events.push((at_ms, ChurnEvent::Crash(0)));
            events.push((at_ms + FLAP_DOWNTIME_MS, ChurnEvent::Restart(0)));
        }
        // The number of engines that leave is proportional to the size of the fleet.
        let interval_ms = LEAVE_INTERVAL_MS * 20 / engines as u64;
        for (number, at_ms) in (interval_ms..end_ms).step_by(interval_ms as usize).enumerate() {
            events.push((at_ms, ChurnEvent::Crash(1 + number)));
            events.push((at_ms + 1, ChurnEvent::Join));
        }
        events.sort_by_key(|(at_ms, _)| *at_ms);
        events
    }
}
