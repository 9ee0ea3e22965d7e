//! Retry delays.

use std::time::Duration;

use rand::Rng;

/// The longest delay between two attempts, before jitter.
const MAX_DELAY: Duration = Duration::from_millis(800);

/// Exponentially growing retry delays with jitter, so that daemons don't retry in
/// lockstep.
pub struct Backoff {
    first: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose first delay is about `first`.
    pub fn new(first: Duration) -> Self {
        Self { first, next: first }
    }

    /// Resets the delay to the first one.
    pub fn reset(&mut self) {
        self.next = self.first;
    }

    /// Waits for the next delay.
    pub async fn wait(&mut self) {
        self.wait_since_start_of(Duration::ZERO).await;
    }

    /// Waits for the next delay, counted from the start of a call that took `elapsed`: a
    /// call that timed out has already used up the delay.
    pub async fn wait_since_start_of(&mut self, elapsed: Duration) {
        let jitter = rand::rng().random_range(0.5..1.5);
        let delay = self.next.mul_f64(jitter);
        self.next = (self.next * 2).min(MAX_DELAY);
        monoio::time::sleep(delay.saturating_sub(elapsed)).await;
    }
}
