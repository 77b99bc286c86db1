//! Times of a watch, derived from the time within which a change has to be known.

/// Longest time in milliseconds that the platform holds a watch open, however late a change may be.
const MAX_HOLD_MS: u64 = 2_500;
/// Longest time in milliseconds that a reply may take while the platform is not known to be slow.
const MAX_USUAL_REPLY_MS: u64 = 1_000;
/// Longest pause in milliseconds after a change.
const MAX_CHANGE_PAUSE_MS: u64 = 100;
/// Longest time in milliseconds that a reply may take while the platform is known to be slow.
const MAX_REPLY_MS: u64 = 2_500;
/// Time in milliseconds for which the platform holds a request that is to be answered at once.
const SHORT_HOLD_MS: u64 = 1;
/// Longest time in milliseconds in which a connection is opened.
pub const CONNECT_MS: u64 = 200;
/// First pause after a failure in milliseconds; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 100;

/// Delay in milliseconds from a change until a digest announces it to the peers.
pub const ANNOUNCE_MS: u64 = 20;
/// Interval in milliseconds at which a daemon checks if a peer is ahead of it.
pub const FETCH_INTERVAL_MS: u64 = 60;
/// Time in milliseconds that a change has to arrive from the platform before it is fetched from a peer.
pub const FETCH_DELAY_MS: u64 = 120;
/// Time in milliseconds after which a second peer is asked for a change, if the first has not replied.
pub const FETCH_HEDGE_MS: u64 = 100;

/// Who else hears of changes, beside a daemon that watches the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchPeers {
    /// Nobody.
    None,
    /// Daemons that all watch too, at other moments, and tell each other.
    Watchers,
    /// Also daemons that hear of changes from others only.
    Followers,
}

/// Times of the watches in a fleet in which a change has to be known everywhere within a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTiming {
    /// Milliseconds from the acknowledgement of a change until every daemon has to know it.
    allowed_ms: u64,
    peers: WatchPeers,
}

impl WatchTiming {
    /// The times with which every daemon knows a change within `allowed_ms` of its acknowledgement.
    pub const fn within(allowed_ms: u64, peers: WatchPeers) -> Self {
        Self { allowed_ms, peers }
    }

    /// Milliseconds for which the platform holds a watch while there is no change.
    pub const fn hold_ms(self) -> u64 {
        let hold_ms = match self.peers {
            WatchPeers::None => self.allowed_ms / 2,
            WatchPeers::Watchers => self.allowed_ms * 3 / 5,
            WatchPeers::Followers => self.allowed_ms * 7 / 20,
        };
        min(hold_ms, MAX_HOLD_MS)
    }

    /// A hold of between half of the usual one and all of it, by a random number from 0 to 1.
    pub fn spread_hold_ms(self, phase: f64) -> u64 {
        let half_ms = self.hold_ms() / 2;
        half_ms + (phase.clamp(0.0, 1.0) * half_ms as f64) as u64
    }

    /// Milliseconds for which the platform holds a request that is to be answered at once.
    pub const fn short_hold_ms(self) -> u64 {
        SHORT_HOLD_MS
    }

    /// Milliseconds that a reply may take beyond the hold while the platform is not known to be slow.
    pub const fn reply_ms(self) -> u64 {
        min(self.allowed_ms / 10, MAX_USUAL_REPLY_MS)
    }

    /// The same while it is not known whether the platform is slow or does not reply.
    pub const fn doubtful_reply_ms(self) -> u64 {
        min(self.allowed_ms / 4, MAX_USUAL_REPLY_MS)
    }

    /// Milliseconds that every few requests wait while it is not known, so that a platform that has become slow is
    /// heard.
    pub const fn patient_reply_ms(self) -> u64 {
        min(self.allowed_ms / 2, MAX_USUAL_REPLY_MS)
    }

    /// Milliseconds that a reply may take at most.
    pub const fn max_reply_ms(self) -> u64 {
        MAX_REPLY_MS
    }

    /// Pause in milliseconds after a change, so that the next watch returns several at once.
    pub const fn change_pause_ms(self) -> u64 {
        min(self.allowed_ms / 20, MAX_CHANGE_PAUSE_MS)
    }

    /// Longest pause in milliseconds after this many failures in a row.
    pub fn pause_ms(self, failures: u32) -> u64 {
        (FIRST_PAUSE_MS << failures.min(5)).min(self.doubtful_reply_ms())
    }

    /// Longest time in milliseconds from a change until a daemon that watches the platform knows it, while
    /// the platform replies on new connections: the change comes during the pause before a watch that hangs.
    pub const fn longest_watcher_ms(self) -> u64 {
        self.change_pause_ms() + self.hold_ms() + self.reply_ms() + CONNECT_MS + self.reply_ms()
    }

    /// Longest time in milliseconds from a change until a daemon that hears of it from others knows it, if
    /// the first peer that it asks does not reply.
    pub const fn longest_follower_ms(self) -> u64 {
        self.longest_watcher_ms()
            + ANNOUNCE_MS
            + FETCH_INTERVAL_MS
            + FETCH_DELAY_MS
            + FETCH_HEDGE_MS
            + self.reply_ms() / 2
    }
}

const fn min(left: u64, right: u64) -> u64 {
    if left < right { left } else { right }
}
