//! Starting and stopping without cutting anything.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::lock::lock;
use ggt_core::clock::MonoTime;

/// Longest time between two looks that counts as one in which the process ran, in milliseconds.
const MAX_LOOK_MS: u64 = 100;

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

/// A time that must pass while the process runs: one in which it is paused, and can tell its callers
/// nothing, does not count.
#[derive(Clone, Copy, Debug)]
pub struct AwakeTime {
    left_ms: u64,
    looked_at: MonoTime,
}

impl AwakeTime {
    /// Begins with `millis` left.
    pub fn new(millis: u64, now: MonoTime) -> Self {
        Self { left_ms: millis, looked_at: now }
    }

    /// Whether the time has passed; to be asked again and again, at short intervals.
    pub fn is_over(&mut self, now: MonoTime) -> bool {
        let passed_ms = now.millis_since(self.looked_at).min(MAX_LOOK_MS);
        self.left_ms = self.left_ms.saturating_sub(passed_ms);
        self.looked_at = now;
        self.left_ms == 0
    }
}
