//! Estimates the load of a target from delayed reports and the daemon's own requests.

use serde::Deserialize;
use serde::Serialize;

/// Request counters that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the target has accepted since its start.
    pub started_total: u64,
    /// Requests that the target has finished since its start.
    pub finished_total: u64,
}

impl LoadReport {
    /// Requests running or waiting on the target.
    pub fn in_flight(&self) -> u64 {
        self.started_total.saturating_sub(self.finished_total)
    }

    /// Orders the reports of one incarnation without a clock: it rises with each request that
    /// starts or ends.
    pub fn version(&self) -> u64 {
        self.started_total + self.finished_total
    }
}

/// The estimated load of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    report: Option<LoadReport>,
    /// Own requests sent since the last report.
    sent_since: u32,
    /// Own requests that ended since the last report.
    done_since: u32,
    own_in_flight: u32,
}

impl LoadEstimate {
    /// This daemon's requests in flight on the target.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// The newest report of the target's current incarnation.
    pub fn report(&self) -> Option<LoadReport> {
        self.report
    }

    /// Estimated requests in flight: the last report plus this daemon's changes since then, but at
    /// least this daemon's own requests in flight.
    ///
    /// Each own request since the report counts `peer_scale` times, to account for requests that
    /// other daemons have sent since then.
    pub fn value(&self, peer_scale: f64) -> f64 {
        let change = f64::from(self.sent_since) - f64::from(self.done_since);
        let estimate =
            self.report.map_or(0.0, |report| report.in_flight() as f64) + change * peer_scale;
        estimate.max(f64::from(self.own_in_flight))
    }

    /// Records that a request was sent to the target.
    pub fn record_sent(&mut self) {
        self.sent_since += 1;
        self.own_in_flight += 1;
    }

    /// Records that a request on the target ended.
    pub fn record_done(&mut self) {
        self.done_since += 1;
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
    }

    /// Applies a report unless one as new was applied before; returns whether it is new.
    pub fn apply_report(&mut self, report: LoadReport) -> bool {
        if self.report.is_some_and(|last| last.version() >= report.version()) {
            return false;
        }
        self.report = Some(report);
        self.sent_since = 0;
        self.done_since = 0;
        true
    }

    /// Drops the last report, which a restart or a pause of this process made stale; own requests
    /// in flight stay counted.
    pub fn drop_report(&mut self) {
        *self = Self { own_in_flight: self.own_in_flight, ..Self::default() };
    }
}
