//! Detects pauses of the process, such as a suspended machine, after which its data is outdated.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use ggt_core::clock::MonoTime;

/// Detects pauses as gaps between the ticks of the gossip thread, and tracks whether data was
/// refreshed since.
#[derive(Debug)]
pub struct PauseDetector {
    last_tick_ms: AtomicU64,
    is_stale: AtomicBool,
    stale_until_ms: AtomicU64,
    pause_ms: u64,
}

impl PauseDetector {
    /// Creates a detector that takes a gap of more than `pause_ms` between ticks for a pause.
    pub fn new(now: MonoTime, pause_ms: u64) -> Self {
        Self {
            last_tick_ms: AtomicU64::new(now.as_millis()),
            is_stale: AtomicBool::new(false),
            stale_until_ms: AtomicU64::new(0),
            pause_ms,
        }
    }

    /// Records a tick; returns the length in milliseconds of the pause before it, if there was one.
    ///
    /// After a pause, data is stale until [`PauseDetector::record_refresh`] is called or
    /// `refresh_ms` have passed, so that a daemon without contact to peers and platform continues
    /// with the data it has.
    pub fn tick(&self, now: MonoTime, refresh_ms: u64) -> Option<u64> {
        let last = self.last_tick_ms.load(Ordering::SeqCst);
        let gap = now.as_millis().saturating_sub(last);
        let paused = (gap > self.pause_ms).then_some(gap);
        if paused.is_some() {
            self.stale_until_ms.store((now + refresh_ms).as_millis(), Ordering::SeqCst);
            self.is_stale.store(true, Ordering::SeqCst);
        }
        self.last_tick_ms.store(now.as_millis(), Ordering::SeqCst);
        paused
    }

    /// Records that a peer or the platform has confirmed or updated the published folders.
    pub fn record_refresh(&self) {
        self.is_stale.store(false, Ordering::SeqCst);
    }

    /// Whether a refresh is needed after a pause.
    pub fn needs_refresh(&self) -> bool {
        self.is_stale.load(Ordering::SeqCst)
    }

    /// Whether the daemon's data may be used for decisions.
    ///
    /// Also compares `now` with the last tick, as another thread may run after a pause before the
    /// gossip thread records it.
    pub fn is_fresh(&self, now: MonoTime) -> bool {
        let last = self.last_tick_ms.load(Ordering::SeqCst);
        if now.as_millis().saturating_sub(last) > self.pause_ms {
            return false;
        }
        !self.is_stale.load(Ordering::SeqCst)
            || now.as_millis() >= self.stale_until_ms.load(Ordering::SeqCst)
    }
}
