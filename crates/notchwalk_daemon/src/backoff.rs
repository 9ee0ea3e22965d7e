//! Pauses between tries.

use std::time::Duration;

use rand::Rng;

/// The longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Pauses that grow, with jitter, so that entries don't retry in step.
pub struct Backoff {
    first: Duration,
    next: Duration,
}

impl Backoff {
    /// Starts with pauses around `first`.
    pub fn new(first: Duration) -> Self {
        Self { first, next: first }
    }

    /// Starts over.
    pub fn reset(&mut self) {
        self.next = self.first;
    }

    /// Pauses.
    pub async fn pause(&mut self) {
        self.pause_after(Duration::ZERO).await;
    }

    /// Pauses after a call that took so long: the pause is counted from the
    /// call's start, so that one which was not answered in time is not followed
    /// by as long a pause in which the store's return goes unnoticed.
    pub async fn pause_after(&mut self, call: Duration) {
        let jitter = rand::rng().random_range(0.5..1.5);
        let pause = self.next.mul_f64(jitter);
        self.next = (self.next * 2).min(LONGEST_PAUSE);
        monoio::time::sleep(pause.saturating_sub(call)).await;
    }
}
