//! A retry budget, so that retries do not multiply the load of an overloaded
//! fleet.

/// Retries available before any request has succeeded.
const INITIAL_RETRIES: f64 = 20.0;
/// Maximum number of available retries.
const MAX_RETRIES: f64 = 100.0;

/// Grows by a fraction of a retry with each success and shrinks by one with
/// each retry.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds `percent` hundredths of a retry.
    pub fn record_success(&mut self, percent: u64) {
        self.available = (self.available + percent as f64 / 100.0).min(MAX_RETRIES);
    }

    /// Spends one retry. Returns whether one was available; a `percent` of 0
    /// disables retries.
    pub fn try_spend(&mut self, percent: u64) -> bool {
        if percent == 0 || self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    pub fn available(&self) -> f64 {
        self.available
    }
}
