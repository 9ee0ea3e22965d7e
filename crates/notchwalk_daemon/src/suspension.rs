//! Notices that the machine was suspended.

use std::{cell::Cell, time::Duration};

use notchwalk_core::{Clock, LogEvent, LogEventKind};

/// The shortest suspension that counts as one: the two clocks are not read at the
/// same moment. Nothing is given up sooner than that.
const LEAST_SUSPENSION: Duration = Duration::from_millis(200);

/// Looks at how long the machine has been suspended in all.
#[derive(Debug)]
pub struct SuspensionWatch {
    /// As it was when it was last looked at.
    suspended: Cell<Duration>,
    resumes: Cell<u64>,
}

impl SuspensionWatch {
    /// Starts to look at a clock's machine.
    pub fn new(clock: &Clock) -> Self {
        Self {
            suspended: Cell::new(clock.suspended()),
            resumes: Cell::new(0),
        }
    }

    /// Returns how often the machine was suspended and resumed so far.
    pub fn resumes(&self) -> u64 {
        self.resumes.get()
    }

    /// Tells whether the machine was suspended since the last look, and logs it. Whoever
    /// keeps connections closes them then: the other ends gave them up unheard.
    pub fn notice(&self, clock: &Clock) -> bool {
        let suspended = clock.suspended();
        let lately = suspended.saturating_sub(self.suspended.replace(suspended));
        if lately < LEAST_SUSPENSION {
            return false;
        }
        self.resumes.set(self.resumes.get() + 1);
        let facts = format!("suspended_ms={}", lately.as_millis());
        LogEvent::new(LogEventKind::MachineResumed, facts).emit();
        true
    }
}
