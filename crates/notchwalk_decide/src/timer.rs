//! Timers of requests, in one ordered set.

use std::collections::BTreeSet;

use notchwalk_core::Instant;

use crate::request::RequestKey;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The request's deadline.
    Deadline,
    /// The end of a pause before the next try.
    Backoff,
    /// The running attempt made no progress for long.
    Stall,
    /// The home of a server did not answer.
    Ask,
    /// The store did not answer about a claim.
    Claim,
}

/// Timers, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Instant, RequestKey, TimerKind)>,
}

impl Timers {
    /// Sets a timer. Timers are not cleared when they lose their meaning: the
    /// part that hears one checks whether it still applies.
    pub fn set(&mut self, at: Instant, request: RequestKey, kind: TimerKind) {
        self.due.insert((at, request, kind));
    }

    /// Clears a timer that would otherwise stay long.
    pub fn clear(&mut self, at: Instant, request: RequestKey, kind: TimerKind) {
        self.due.remove(&(at, request, kind));
    }

    /// Takes the next timer that is due.
    pub fn pop(&mut self, now: Instant) -> Option<(RequestKey, TimerKind)> {
        let first = *self.due.first()?;
        if first.0 > now {
            return None;
        }
        self.due.pop_first();
        Some((first.1, first.2))
    }

    /// Returns how many timers are set.
    pub fn len(&self) -> usize {
        self.due.len()
    }
}
