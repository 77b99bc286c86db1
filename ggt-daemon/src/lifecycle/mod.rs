//! State of a graceful shutdown.

mod restart;

pub use restart::spawn_loop;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::lock::lock;
use ggt_core::clock::MonoTime;

/// Maximum time counted between two checks; the rest is taken for a pause of the process.
const MAX_CHECK_GAP_MS: u64 = 100;

/// Drain flag and requests in flight.
#[derive(Debug, Default)]
pub struct DrainState {
    is_draining: AtomicBool,
    /// When requests in flight are ended; `None` until that is known.
    ends_at: Mutex<Option<MonoTime>>,
    in_flight: Mutex<BTreeMap<u64, String>>,
}

/// Keeps a request registered as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard<'a> {
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

    /// Sets when requests that are still in flight are ended.
    pub fn set_end(&self, ends_at: MonoTime) {
        *lock(&self.ends_at) = Some(ends_at);
    }

    /// Whether the daemon ends requests in flight before this deadline.
    pub fn ends_before(&self, deadline: MonoTime) -> bool {
        lock(&self.ends_at).is_some_and(|ends_at| ends_at < deadline)
    }

    /// Registers a request as in flight until the guard is dropped.
    pub fn register(&self, number: u64, request_id: &str) -> InFlightGuard<'_> {
        lock(&self.in_flight).insert(number, request_id.to_owned());
        InFlightGuard { state: self, number }
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

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        lock(&self.state.in_flight).remove(&self.number);
    }
}

/// A countdown that skips time in which the process was paused, as a paused process cannot announce
/// its departure to callers.
#[derive(Clone, Copy, Debug)]
pub struct RunningTimer {
    remaining_ms: u64,
    checked_at: MonoTime,
}

impl RunningTimer {
    /// Creates a countdown of `millis` milliseconds.
    pub fn new(millis: u64, now: MonoTime) -> Self {
        Self { remaining_ms: millis, checked_at: now }
    }

    /// Whether the countdown has ended. Must be called at intervals below 100 ms, as at most 100 ms
    /// are counted between two calls.
    pub fn has_ended(&mut self, now: MonoTime) -> bool {
        let passed_ms = now.millis_since(self.checked_at).min(MAX_CHECK_GAP_MS);
        self.remaining_ms = self.remaining_ms.saturating_sub(passed_ms);
        self.checked_at = now;
        self.remaining_ms == 0
    }
}
