//! What happens to engines and to the network during a replay.

/// Between two engines that leave for good, in milliseconds.
const LEAVE_EVERY_MS: u64 = 120_000;
/// Between two flaps of the flapping engine, in milliseconds.
const FLAP_EVERY_MS: u64 = 30_000;
/// How long the flapping engine stays away, in milliseconds.
const FLAP_LASTS_MS: u64 = 4_000;

/// One change to the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChurnEvent {
    /// An engine dies and loses its cache.
    Die(usize),
    /// An engine comes back empty.
    Return(usize),
    /// A new engine joins.
    Join,
}

/// What happens during a replay.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChurnPlan {
    /// Engines leave, join and flap.
    pub is_churning: bool,
    /// A data centre is cut off, from and until these milliseconds.
    pub cut: Option<(usize, u64, u64)>,
}

impl ChurnPlan {
    /// The data centre that is cut off at a time.
    pub fn cut_centre(&self, at: u64) -> Option<usize> {
        self.cut
            .filter(|(_, from, until)| (*from..*until).contains(&at))
            .map(|(centre, _, _)| centre)
    }

    /// The changes of a replay, in order of time.
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
        // In ten times the fleet ten times as many engines leave.
        let every = LEAVE_EVERY_MS * 20 / engines as u64;
        for (number, at) in (every..end).step_by(every as usize).enumerate() {
            events.push((at, ChurnEvent::Die(1 + number)));
            events.push((at + 1, ChurnEvent::Join));
        }
        events.sort_by_key(|(at, _)| *at);
        events
    }
}
