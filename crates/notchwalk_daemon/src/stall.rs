//! Detection of times in which the process did not run.

use std::time::Duration;

use notchwalk_core::{Clock, Instant, LogEvent, LogEventKind};

/// The shortest stall that is logged. Callers notice it, and a CPU quota delays a busy process
/// less.
const MIN_STALL: Duration = Duration::from_millis(500);

/// Measures how late a timer fires: the machine was short of CPU time, or the process was
/// stopped. Suspensions of the machine do not count.
#[derive(Debug)]
pub struct StallWatch {
    started_at: Instant,
    suspended: Duration,
}

impl StallWatch {
    /// Starts to measure as a timer starts.
    pub fn start(clock: &Clock) -> Self {
        Self {
            started_at: clock.now(),
            suspended: clock.suspended_time(),
        }
    }

    /// Returns by how much the timer of this length, which has just fired, was late if that is
    /// a stall, and logs it.
    pub fn finish(self, clock: &Clock, timer: Duration) -> Option<Duration> {
        let suspended = clock.suspended_time().saturating_sub(self.suspended);
        let elapsed = clock.now().since(self.started_at);
        let late = elapsed.saturating_sub(suspended + timer);
        if late < MIN_STALL {
            return None;
        }
        let facts = format!("stalled_ms={}", late.as_millis());
        LogEvent::new(LogEventKind::ProcessStalled, facts).emit();
        Some(late)
    }
}
