//! This daemon's share of the fleet's retry budget for each service.

use crate::clock::mono_now;
use crate::front::state::FrontState;

impl FrontState {
    /// Counts a request for a service, which adds to its retry budget.
    pub fn record_request(&self, service: &str) {
        let limit = self.settings.borrow().retry_limit();
        let mut retry_windows = self.retry_windows.borrow_mut();
        match retry_windows.get_mut(service) {
            Some(window) => window.record_request(&limit, mono_now()),
            None => retry_windows
                .entry(service.to_owned())
                .or_default()
                .record_request(&limit, mono_now()),
        }
    }

    /// Counts a retry at a service if this daemon's share of the fleet's retry budget covers it.
    pub fn try_retry(&self, service: &str) -> bool {
        let now = mono_now();
        let limit = self.settings.borrow().retry_limit();
        let daemons = self.fleet.borrow().alive(now).count() + 1;
        let mut retry_windows = self.retry_windows.borrow_mut();
        let window = retry_windows.entry(service.to_owned()).or_default();
        window.try_retry(&limit, daemons.max(self.min_daemons()), now)
    }

    /// Lower bound of the number of daemons, for the time when not all peers are known.
    fn min_daemons(&self) -> usize {
        self.settings.borrow().seeds.len().max(1)
    }
}
