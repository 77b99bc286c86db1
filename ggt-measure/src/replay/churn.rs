//! Crashes, restarts and replacements of engines, and a network partition, during a replay.

/// Interval between engines that leave for good in a fleet of 20, in milliseconds.
const LEAVE_EVERY_MS: u64 = 120_000;
/// Interval between crashes of the flapping engine, in milliseconds.
const FLAP_EVERY_MS: u64 = 30_000;
/// Downtime of the flapping engine after a crash, in milliseconds.
const FLAP_LASTS_MS: u64 = 4_000;

/// Change to the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChurnEvent {
    /// The engine with this index crashes and loses its cache.
    Die(usize),
    /// The engine with this index restarts with an empty cache.
    Return(usize),
    /// A new engine joins the fleet.
    Join,
}

/// Disturbances of a replay; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChurnPlan {
    /// Whether engines leave, join and flap.
    pub is_churning: bool,
    /// Data centre that is partitioned from the others, and start and end of this, in milliseconds.
    pub cut: Option<(usize, u64, u64)>,
}

impl ChurnPlan {
    /// Data centre that is partitioned from the others at a time.
    pub fn cut_centre(&self, at: u64) -> Option<usize> {
        self.cut
            .filter(|(_, from, until)| (*from..*until).contains(&at))
            .map(|(centre, _, _)| centre)
    }

    /// Changes to the engines until `end`, sorted by time.
    pub fn events(&self, end: u64, engines: usize) -> Vec<(u64, ChurnEvent)> {
        let mut events = Vec::new();
        if !self.is_churning {
            return events;
        }
        // The first engine flaps; the others leave in turn, each replaced by a new one.
        for at in (FLAP_EVERY_MS..end).step_by(FLAP_EVERY_MS as usize) {
            events.push((at, ChurnEvent::Die(0)));
            events.push((at + FLAP_LASTS_MS, ChurnEvent::Return(0)));
        }
        // The number of engines that leave is proportional to the size of the fleet.
        let every = LEAVE_EVERY_MS * 20 / engines as u64;
        for (number, at) in (every..end).step_by(every as usize).enumerate() {
            events.push((at, ChurnEvent::Die(1 + number)));
            events.push((at + 1, ChurnEvent::Join));
        }
        events.sort_by_key(|(at, _)| *at);
        events
    }
}
