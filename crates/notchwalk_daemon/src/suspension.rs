//! Detection of machine suspensions.

use std::{cell::Cell, time::Duration};

use notchwalk_core::{Clock, LogEvent, LogEventKind};

/// The shortest suspension that is detected; the two clocks are not read at the same
/// instant.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);

/// Detects suspensions of the machine by its total suspended time.
#[derive(Debug)]
pub struct SuspensionWatch {
    /// The total suspended time at the last check.
    suspended: Cell<Duration>,
    resume_count: Cell<u64>,
}

impl SuspensionWatch {
    /// Starts watching the machine of `clock`.
    pub fn new(clock: &Clock) -> Self {
        Self {
            suspended: Cell::new(clock.suspended_time()),
            resume_count: Cell::new(0),
        }
    }

    /// Returns how often the machine resumed from a suspension so far.
    pub fn resume_count(&self) -> u64 {
        self.resume_count.get()
    }

    /// Returns for how long the machine was suspended since the last call, if it was, and logs
    /// it. Idle connections should then be closed: the other ends may have closed them
    /// unnoticed.
    pub fn check(&self, clock: &Clock) -> Option<Duration> {
        let suspended = clock.suspended_time();
        let elapsed = suspended.saturating_sub(self.suspended.replace(suspended));
        if elapsed < MIN_SUSPENSION {
            return None;
        }
        self.resume_count.set(self.resume_count.get() + 1);
        let facts = format!("suspended_ms={}", elapsed.as_millis());
        LogEvent::new(LogEventKind::MachineResumed, facts).emit();
        Some(elapsed)
    }
}
