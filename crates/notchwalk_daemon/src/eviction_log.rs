//! Log of connections that were closed in favour of others.

use std::{cell::Cell, time::Duration};

use notchwalk_core::{Instant, LogEvent, LogEventKind};

/// Shortest time between two log lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Logs how many connections were closed in favour of others, at a bounded rate.
#[derive(Debug, Default)]
pub struct EvictionLog {
    reported: Cell<u64>,
    reported_at: Cell<Option<Instant>>,
}

impl EvictionLog {
    /// Logs the evictions since the last line; `total` is their number since the start.
    pub fn report(&self, total: u64, now: Instant) {
        let count = total - self.reported.get();
        let is_recent = |at: Instant| now.since(at) < INTERVAL;
        if count == 0 || self.reported_at.get().is_some_and(is_recent) {
            return;
        }
        self.reported.set(total);
        self.reported_at.set(Some(now));
        let facts = format!("count={count}");
        LogEvent::new(LogEventKind::ClientsEvicted, facts).emit();
    }
}
