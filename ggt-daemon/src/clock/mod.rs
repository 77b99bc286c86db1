//! The host's monotonic and wall clocks.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use ggt_core::clock::MonoTime;
use ggt_core::clock::WallTime;

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Current time of the monotonic clock, which includes time spent in suspend.
pub fn mono_now() -> MonoTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    MonoTime::from_millis(seconds * MILLIS_PER_SECOND + nanos / NANOS_PER_MILLI)
}

/// Current time of the wall clock.
pub fn wall_now() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Time until `deadline`; zero when it has passed.
pub fn time_until(deadline: MonoTime) -> Duration {
    Duration::from_millis(deadline.millis_since(mono_now()))
}
