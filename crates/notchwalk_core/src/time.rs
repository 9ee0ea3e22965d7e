//! Monotonic time as plain data, so that code that makes decisions needs no clock.

use std::{fmt, sync::Arc, time::Duration};

use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

/// A point in monotonic time, in microseconds since an arbitrary origin. Only differences
/// between instants of one clock are meaningful.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// An instant in the far future, which is never reached.
    pub const FAR_FUTURE: Self = Self(u64::MAX / 4);

    /// Creates an instant from microseconds since the origin.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Creates an instant from milliseconds since the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant `d` later, saturating at the end of the clock.
    pub const fn after(self, d: Duration) -> Self {
        Self(self.0.saturating_add(saturating_micros(d)))
    }

    /// Returns the instant `d` earlier, saturating at the origin.
    pub const fn before(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(saturating_micros(d)))
    }
}

/// Returns a duration in microseconds, capped at the range of the clock.
const fn saturating_micros(d: Duration) -> u64 {
    let us = d.as_micros();
    if us > u64::MAX as u128 {
        return u64::MAX;
    }
    us as u64
}

/// The time source of a [`Clock`].
pub trait TimeSource: Send + Sync {
    /// Returns the time since an arbitrary origin, including the time that the
    /// machine was suspended.
    fn boot_time(&self) -> Duration;

    /// Returns the time since an arbitrary origin, excluding the time that the
    /// machine was suspended. The runtime's timers use this clock.
    fn monotonic_time(&self) -> Duration;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug)]
struct OsClock;

fn read_clock(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    // Neither clock is ever negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

impl TimeSource for OsClock {
    fn boot_time(&self) -> Duration {
        read_clock(ClockId::Boottime)
    }

    fn monotonic_time(&self) -> Duration {
        read_clock(ClockId::Monotonic)
    }
}

/// A clock that returns [`Instant`]s. It includes the time that the machine was
/// suspended, since deadlines, leases and the age of data advance meanwhile. docs/DESIGN.md
/// lists which times include it.
#[derive(Clone)]
pub struct Clock {
    source: Arc<dyn TimeSource>,
    origin: Duration,
}

impl Clock {
    /// Creates a clock that reads the system's clocks. It starts at one hour, so that
    /// earlier instants can be represented.
    pub fn new() -> Self {
        Self::with_source(Arc::new(OsClock))
    }

    /// Creates a clock that reads `source`.
    pub fn with_source(source: Arc<dyn TimeSource>) -> Self {
        Self {
            origin: source.boot_time(),
            source,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        const START_US: u64 = 3_600_000_000;
        let elapsed = self.source.boot_time().saturating_sub(self.origin);
        Instant(START_US + elapsed.as_micros() as u64)
    }

    /// Returns the total time that the machine has been suspended.
    pub fn suspended_time(&self) -> Duration {
        let monotonic_time = self.source.monotonic_time();
        self.source.boot_time().saturating_sub(monotonic_time)
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock")
            .field("now", &self.now())
            .finish_non_exhaustive()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
