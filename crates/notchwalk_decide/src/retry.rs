//! A budget for further attempts, so that retries never multiply a load that
//! is already too high.

/// Attempts that may be made before any request has succeeded.
const START: f64 = 20.0;
/// The most that is saved up.
const CAP: f64 = 100.0;

/// Grows by a fraction of each success and shrinks by one for each retry.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: START }
    }
}

impl RetryBudget {
    /// Notes a success that earns `percent` hundredths of a retry.
    pub fn succeeded(&mut self, percent: u64) {
        self.saved = (self.saved + percent as f64 / 100.0).min(CAP);
    }

    /// Takes one retry, if there is one; a `percent` of 0 allows none at all.
    pub fn take(&mut self, percent: u64) -> bool {
        if percent == 0 || self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns the retries saved up.
    pub fn saved(&self) -> f64 {
        self.saved
    }
}
