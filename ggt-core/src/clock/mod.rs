//! Points in time, passed in by the caller.

use std::ops::Add;

use serde::Deserialize;
use serde::Serialize;

/// A point on a clock that runs through suspensions of the process and of the machine.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// Builds a point from milliseconds since the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the clock's start.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Milliseconds from `earlier` to this point, zero when `earlier` is later.
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for MonoTime {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}

/// A point on the wall clock, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallTime(u64);

impl WallTime {
    /// Builds a point from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl Add<u64> for WallTime {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}
