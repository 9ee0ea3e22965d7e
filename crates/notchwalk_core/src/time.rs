//! Monotonic time as plain data, so that the reducer needs no clock.

use std::{fmt, sync::Arc, time::Duration};

use rustix::time::{clock_gettime, ClockId};
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

/// Where a [`Clock`] has its time from.
pub trait TimeSource: Send + Sync {
    /// Returns the time since some origin, that in which the machine was suspended
    /// included.
    fn elapsed(&self) -> Duration;

    /// Returns the time since some origin in which the machine ran: what timers of
    /// the runtime count.
    fn running(&self) -> Duration;
}

/// The machine's own clocks.
#[derive(Clone, Copy, Debug)]
struct MachineTime;

fn read_clock(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    // Neither clock is ever negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

impl TimeSource for MachineTime {
    fn elapsed(&self) -> Duration {
        read_clock(ClockId::Boottime)
    }

    fn running(&self) -> Duration {
        read_clock(ClockId::Monotonic)
    }
}

/// Reads a machine's clock as [`Instant`]s. Time in which the machine was suspended
/// counts: deadlines, leases and the age of what is known run on meanwhile.
/// docs/DESIGN.md has a table of what counts it and what does not.
#[derive(Clone)]
pub struct Clock {
    source: Arc<dyn TimeSource>,
    origin: Duration,
}

impl Clock {
    /// Starts a clock; its origin lies one hour back, so that "long ago" can
    /// be expressed.
    pub fn new() -> Self {
        Self::with_source(Arc::new(MachineTime))
    }

    /// Starts a clock that reads `source`.
    pub fn with_source(source: Arc<dyn TimeSource>) -> Self {
        Self {
            origin: source.elapsed(),
            source,
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Instant {
        const START_US: u64 = 3_600_000_000;
        let elapsed = self.source.elapsed().saturating_sub(self.origin);
        Instant(START_US + elapsed.as_micros() as u64)
    }

    /// Returns how long the machine has been suspended in all.
    pub fn suspended(&self) -> Duration {
        let running = self.source.running();
        self.source.elapsed().saturating_sub(running)
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
