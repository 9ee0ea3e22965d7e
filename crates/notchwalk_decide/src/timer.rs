//! Request timers, in one ordered set.

use std::collections::BTreeSet;

use notchwalk_core::Instant;

use crate::request::RequestKey;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The request's deadline.
    Deadline,
    /// The end of a backoff.
    Backoff,
    /// The running attempt made no progress within its stall timeout.
    Stall,
    /// The home of a server did not respond to a reservation, or is to be
    /// queried again.
    Reserve,
    /// The platform's table did not respond to a claim, or is to be queried
    /// again.
    Claim,
}

/// The timers of all requests, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Instant, RequestKey, TimerKind)>,
}

impl Timers {
    /// Sets a timer. Timers that no longer apply are not cleared; the handler
    /// checks whether its timer still applies.
    pub fn set(&mut self, at: Instant, request: RequestKey, kind: TimerKind) {
        self.due.insert((at, request, kind));
    }

    /// Clears a timer that would otherwise stay set for long.
    pub fn clear(&mut self, at: Instant, request: RequestKey, kind: TimerKind) {
        self.due.remove(&(at, request, kind));
    }

    /// Removes and returns the next timer that is due.
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
