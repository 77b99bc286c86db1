//! State of a graceful shutdown.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::lock::lock;
use ggt_core::clock::MonoTime;

/// Maximum time counted between two checks; the rest is taken for a pause of the process.
const MAX_LOOK_MS: u64 = 100;

/// Drain flag and requests in flight.
#[derive(Debug, Default)]
pub struct DrainState {
    is_draining: AtomicBool,
    in_flight: Mutex<BTreeMap<u64, String>>,
}

/// Keeps a request registered as in flight until it is dropped.
#[derive(Debug)]
pub struct FlightGuard<'a> {
    state: &'a DrainState,
    number: u64,
}

impl DrainState {
    /// Starts draining; `false` if it was already started.
    pub fn start(&self) -> bool {
        !self.is_draining.swap(true, Ordering::SeqCst)
    }

    /// Whether the daemon is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Registers a request as in flight until the guard is dropped.
    pub fn enter(&self, number: u64, request_id: &str) -> FlightGuard<'_> {
        lock(&self.in_flight).insert(number, request_id.to_owned());
        FlightGuard { state: self, number }
    }

    /// Number of requests in flight.
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

/// A countdown that skips time in which the process was paused, as a paused process cannot announce
/// its departure to callers.
#[derive(Clone, Copy, Debug)]
pub struct AwakeTime {
    left_ms: u64,
    looked_at: MonoTime,
}

impl AwakeTime {
    /// Creates a countdown of `millis` milliseconds.
    pub fn new(millis: u64, now: MonoTime) -> Self {
        Self { left_ms: millis, looked_at: now }
    }

    /// Whether the countdown has ended. Must be called at intervals below 100 ms, as at most 100 ms
    /// are counted between two calls.
    pub fn is_over(&mut self, now: MonoTime) -> bool {
        let passed_ms = now.millis_since(self.looked_at).min(MAX_LOOK_MS);
        self.left_ms = self.left_ms.saturating_sub(passed_ms);
        self.looked_at = now;
        self.left_ms == 0
    }
}
