//! Notices that the process was paused, so that nothing is done on old facts.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use ggt_core::clock::MonoTime;

/// Compares the time now with the last tick of the timer thread.
#[derive(Debug)]
pub struct PaceGuard {
    last_tick: AtomicU64,
    is_stale: AtomicBool,
    stale_until: AtomicU64,
    pause_ms: u64,
}

impl PaceGuard {
    /// A guard that calls a gap of `pause_ms` between ticks a pause.
    pub fn new(now: MonoTime, pause_ms: u64) -> Self {
        Self {
            last_tick: AtomicU64::new(now.as_millis()),
            is_stale: AtomicBool::new(false),
            stale_until: AtomicU64::new(0),
            pause_ms,
        }
    }

    /// Records a tick; returns the length of the pause before it, if there was one.
    ///
    /// After a pause the daemon is stale until [`PaceGuard::note_refreshed`] or until
    /// `refresh_ms` have passed, for a daemon that is cut off goes on with what it has.
    pub fn tick(&self, now: MonoTime, refresh_ms: u64) -> Option<u64> {
        let last = self.last_tick.load(Ordering::SeqCst);
        let gap = now.as_millis().saturating_sub(last);
        let paused = (gap > self.pause_ms).then_some(gap);
        if paused.is_some() {
            self.stale_until.store((now + refresh_ms).as_millis(), Ordering::SeqCst);
            self.is_stale.store(true, Ordering::SeqCst);
        }
        self.last_tick.store(now.as_millis(), Ordering::SeqCst);
        paused
    }

    /// Records that published facts were confirmed by a peer or by the platform.
    pub fn note_refreshed(&self) {
        self.is_stale.store(false, Ordering::SeqCst);
    }

    /// Whether the daemon waits for fresh facts.
    pub fn awaits_refresh(&self) -> bool {
        self.is_stale.load(Ordering::SeqCst)
    }

    /// Whether decisions may rest on what the daemon knows.
    ///
    /// Any thread may be the first to run after a pause, so the gap counts before the timer
    /// thread has noticed it.
    pub fn is_fresh(&self, now: MonoTime) -> bool {
        let last = self.last_tick.load(Ordering::SeqCst);
        if now.as_millis().saturating_sub(last) > self.pause_ms {
            return false;
        }
        !self.is_stale.load(Ordering::SeqCst)
            || now.as_millis() >= self.stale_until.load(Ordering::SeqCst)
    }
}
