//! How long a request waits for a silent target before it goes on at another one.
//!
//! A sound target may be silent for a second or so. One that has ended without closing its connections
//! stays silent, and its streams have to go on elsewhere before their callers give up.

/// Longest silence in milliseconds of a target that is sound.
pub const MAX_SOUND_SILENCE_MS: u64 = 2_000;

/// Minimum time in milliseconds that callers wait for the next event of a stream.
const MIN_PATIENCE_MS: u64 = 2_000;
/// Multiple of the latency objective that callers wait for the next event.
const PATIENCE_GOAL_FACTOR: u64 = 4;
/// Multiple of the route's longest gap between events that callers wait for the next event.
const PATIENCE_GAP_FACTOR: u64 = 8;
/// Part in percent of the caller's patience after which a stream is resumed; the rest is left for the
/// first event of the next target.
const RESUME_PERCENT: u64 = 75;
/// Silence in milliseconds after which a stream is resumed if its target is known to have ended.
const ENDED_STREAM_MS: u64 = 400;
/// Minimum silence in milliseconds before a reply's head after which a request is sent again.
const MIN_HEAD_SILENCE_MS: u64 = 250;
/// Multiple of the latency objective for the same.
const HEAD_GOAL_FACTOR: u64 = 3;
/// Silence in milliseconds before a reply's head if its target is known to have ended.
const ENDED_HEAD_MS: u64 = 300;

/// Part of a reply that a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStage {
    /// The head; the caller has got nothing yet.
    Head,
    /// The next event of a stream.
    Event,
}

/// Longest silences of a target, in milliseconds, after which a request that may run again should go
/// on at another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceLimit {
    /// For a target that may be sound.
    pub sound_ms: u64,
    /// For a target that is known to have ended.
    pub ended_ms: u64,
}

impl SilenceLimit {
    /// The limits for a route with this latency objective and longest gap between events, in
    /// milliseconds; 0 if not configured.
    pub fn new(stage: ReplyStage, goal_ms: u64, max_gap_ms: u64) -> Self {
        match stage {
            ReplyStage::Head => Self {
                sound_ms: (goal_ms * HEAD_GOAL_FACTOR).max(MIN_HEAD_SILENCE_MS),
                ended_ms: ENDED_HEAD_MS,
            },
            ReplyStage::Event => Self {
                sound_ms: caller_patience_ms(goal_ms, max_gap_ms) * RESUME_PERCENT / 100,
                ended_ms: ENDED_STREAM_MS,
            },
        }
    }
}

/// Milliseconds that callers wait for the next event of a stream before they give up.
pub fn caller_patience_ms(goal_ms: u64, max_gap_ms: u64) -> u64 {
    MIN_PATIENCE_MS.max(goal_ms * PATIENCE_GOAL_FACTOR).max(max_gap_ms * PATIENCE_GAP_FACTOR)
}
