//! How long work takes at a target, relative to the usual time.
//!
//! Targets may state it with their load, and it may change several times a second, so a statement counts for a
//! short time only. Where targets state nothing, the durations of this daemon's own requests may show that one of
//! them is slower than its siblings.

use crate::clock::MonoTime;

/// Milliseconds for which a statement counts.
pub const WORK_TIME_TTL_MS: u64 = 1_000;
/// Work time that counts as usual, in percent.
const USUAL_PERCENT: f64 = 100.0;
/// Bounds of the relative work time, so that a target that errs is neither left out nor gets all requests.
const WORK_TIME_BOUNDS: (f64, f64) = (0.2, 10.0);
/// Weight of the latest duration in the moving averages.
const DURATION_WEIGHT: f64 = 0.1;
/// Number of durations from which on the averages count.
const MIN_DURATIONS: u32 = 10;
/// Half-life in milliseconds of the belief that a target differs from its siblings, after the latest duration.
const BELIEF_HALF_LIFE_MS: f64 = 10_000.0;
/// Power of the relative work time by which the weight of a target falls. More than 1, since daemons prefer targets
/// in their own data centre whatever their speed; less than 2, since all daemons choose the fastest targets.
const WEIGHT_POWER: f64 = 1.5;

/// What a target stated about its work time in a reply to this daemon or to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkTimeStatement {
    /// How long work takes, in percent of the usual time; more than 0.
    pub percent: u32,
    /// When the reply was received.
    pub stated_at: MonoTime,
}

/// Moving average of the durations of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DurationMean {
    mean_ms: f64,
    count: u32,
    latest_at: MonoTime,
}

impl DurationMean {
    /// Adds the duration of a request that ended now.
    pub fn record(&mut self, duration_ms: f64, now: MonoTime) {
        self.count = self.count.saturating_add(1);
        let weight = DURATION_WEIGHT.max(1.0 / f64::from(self.count));
        self.mean_ms += weight * (duration_ms - self.mean_ms);
        self.latest_at = now;
    }

    /// The mean in milliseconds; `None` before it is based on enough requests.
    pub fn millis(&self) -> Option<f64> {
        (self.count >= MIN_DURATIONS && self.mean_ms > 0.0).then_some(self.mean_ms)
    }
}

/// The work time of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetWorkTime {
    statement: Option<WorkTimeStatement>,
    /// Whether this daemon received the statement itself.
    is_own: bool,
    durations: DurationMean,
}

impl TargetWorkTime {
    /// Applies a statement unless a later one is known.
    pub fn apply(&mut self, statement: WorkTimeStatement, is_own: bool) {
        if self.statement.is_none_or(|present| statement.stated_at >= present.stated_at) {
            self.statement = Some(statement);
            self.is_own = is_own;
        }
    }

    /// Adds the duration of one of this daemon's requests, without the time in which it was queued.
    pub fn record_duration(&mut self, duration_ms: f64, now: MonoTime) {
        self.durations.record(duration_ms, now);
    }

    /// How long work takes relative to the usual time, as the target states it; `None` if it has stated nothing
    /// lately.
    pub fn stated(&self, now: MonoTime) -> Option<f64> {
        let statement =
            self.statement.filter(|stated| now < stated.stated_at + WORK_TIME_TTL_MS)?;
        Some(bounded(f64::from(statement.percent) / USUAL_PERCENT))
    }

    /// How long work takes relative to `service_ms`, the mean of all targets of the service, by the durations of this
    /// daemon's requests. Falls back to 1 while there are none.
    pub fn measured(&self, service_ms: Option<f64>, now: MonoTime) -> f64 {
        let Some((own_ms, service_ms)) = self.durations.millis().zip(service_ms) else {
            return 1.0;
        };
        let age_ms = now.millis_since(self.durations.latest_at) as f64;
        let belief = 0.5_f64.powf(age_ms / BELIEF_HALF_LIFE_MS);
        bounded((own_ms / service_ms).powf(belief))
    }

    /// The statement to report to peers: one that this daemon received itself and that still counts.
    pub fn report(&self, now: MonoTime) -> Option<WorkTimeStatement> {
        let is_recent = |stated: &WorkTimeStatement| now < stated.stated_at + WORK_TIME_TTL_MS;
        self.statement.filter(is_recent).filter(|_| self.is_own)
    }
}

fn bounded(relative: f64) -> f64 {
    relative.clamp(WORK_TIME_BOUNDS.0, WORK_TIME_BOUNDS.1)
}

/// Factor on the weight of a target for which work takes this relative time.
pub(super) fn weight_factor(relative: f64) -> f64 {
    relative.powf(-WEIGHT_POWER)
}
