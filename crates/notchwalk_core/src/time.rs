//! Monotonic time as plain data, so that the reducer needs no clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in monotonic time, in microseconds since an origin that the owner
/// of the clock chooses. Only differences carry meaning.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// A point later than any that is reached.
    pub const FAR: Self = Self(u64::MAX / 4);

    /// Builds a point from microseconds since the origin.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Builds a point from milliseconds since the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time passed since `earlier`, zero if it lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `d` later, capped at the end of the clock.
    pub const fn after(self, d: Duration) -> Self {
        Self(self.0.saturating_add(d.as_micros() as u64))
    }

    /// Returns the point `d` earlier, or the origin.
    pub const fn before(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(d.as_micros() as u64))
    }
}

/// Reads the machine's monotonic clock as [`Instant`]s.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Starts a clock; its origin lies one hour back, so that "long ago" can
    /// be expressed.
    pub fn new() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Instant {
        const START_US: u64 = 3_600_000_000;
        Instant(START_US + self.origin.elapsed().as_micros() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
