//! Estimates the load of a target from lagging reports and the daemon's own requests.

use serde::Deserialize;
use serde::Serialize;

/// What a target reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the target has taken since its start.
    pub started_total: u64,
    /// Requests that the target has ended since its start.
    pub finished_total: u64,
}

impl LoadReport {
    /// Requests running or waiting on the target.
    pub fn in_flight(&self) -> u64 {
        self.started_total.saturating_sub(self.finished_total)
    }

    /// Orders the reports of one incarnation without any clock: each request that starts or ends
    /// raises it.
    pub fn version(&self) -> u64 {
        self.started_total + self.finished_total
    }
}

/// The estimated load of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    report: Option<LoadReport>,
    sent_since: u32,
    done_since: u32,
    own_in_flight: u32,
}

impl LoadEstimate {
    /// Requests of this daemon that are in flight on the target.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// The newest report.
    pub fn report(&self) -> Option<LoadReport> {
        self.report
    }

    /// The estimate: the last report plus what this daemon changed since then, never below what
    /// this daemon itself has in flight.
    ///
    /// Each own request since the report counts `peer_scale` times, to stand for those that other
    /// daemons sent meanwhile.
    pub fn value(&self, peer_scale: f64) -> f64 {
        let change = f64::from(self.sent_since) - f64::from(self.done_since);
        let estimate =
            self.report.map_or(0.0, |report| report.in_flight() as f64) + change * peer_scale;
        estimate.max(f64::from(self.own_in_flight))
    }

    /// Records that a request was sent to the target.
    pub fn note_sent(&mut self) {
        self.sent_since += 1;
        self.own_in_flight += 1;
    }

    /// Records that a request on the target ended.
    pub fn note_done(&mut self) {
        self.done_since += 1;
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
    }

    /// Takes a report unless a newer one is known; returns whether it was news.
    pub fn take_report(&mut self, report: LoadReport) -> bool {
        if self.report.is_some_and(|known| known.version() >= report.version()) {
            return false;
        }
        self.report = Some(report);
        self.sent_since = 0;
        self.done_since = 0;
        true
    }

    /// Forgets reports, as after a pause that made them old; own requests stay counted.
    pub fn forget_report(&mut self) {
        *self = Self { own_in_flight: self.own_in_flight, ..Self::default() };
    }
}
