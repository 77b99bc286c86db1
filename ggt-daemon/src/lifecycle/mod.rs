//! Starting and stopping without cutting anything.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::lock::lock;

/// Whether the daemon is stopping, and which requests are in flight.
#[derive(Debug, Default)]
pub struct DrainState {
    is_draining: AtomicBool,
    in_flight: Mutex<BTreeMap<u64, String>>,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct FlightGuard<'a> {
    state: &'a DrainState,
    number: u64,
}

impl DrainState {
    /// Starts to drain; returns whether it had not started before.
    pub fn start(&self) -> bool {
        !self.is_draining.swap(true, Ordering::SeqCst)
    }

    /// Whether the daemon is stopping.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight.
    pub fn enter(&self, number: u64, request_id: &str) -> FlightGuard<'_> {
        lock(&self.in_flight).insert(number, request_id.to_owned());
        FlightGuard { state: self, number }
    }

    /// Requests in flight.
    pub fn count(&self) -> usize {
        lock(&self.in_flight).len()
    }

    /// Ids of the requests in flight.
    pub fn request_ids(&self) -> Vec<String> {
        lock(&self.in_flight).values().cloned().collect()
    }
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        lock(&self.state.in_flight).remove(&self.number);
    }
}
