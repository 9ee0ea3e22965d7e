//! What backend servers say of themselves in the heads of their answers.

use std::{fmt, time::Duration};

use notchwalk_core::Instant;
use serde::{Deserialize, Serialize};

/// Requests a second that a server takes from all entries together, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit(u32);

impl RateLimit {
    /// The highest rate that limits anything: no entry comes near it, and a server that
    /// names more means that it has no limit.
    pub const HIGHEST: Self = Self(1_000_000_000);

    /// Returns the limit of so many requests a second, [`Self::HIGHEST`] at most; `None`
    /// for what is no rate: a negative number, or none at all.
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        // A float turns into the nearest integer that fits.
        is_rate.then(|| Self((rate * 1e3).round() as u32).min(Self::HIGHEST))
    }

    /// Returns the requests a second.
    pub fn rate(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.rate().fmt(f)
    }
}

/// One thing that a server said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerWord {
    /// It leaves: it ends soon.
    Leaving,
    /// It wants no requests of this entry for so long.
    WantsNothing(Duration),
    /// How many requests a second it takes from all entries together.
    Limit {
        /// The limit; `None` if the answer names none.
        limit: Option<RateLimit>,
        /// When the request was sent that it answers: answers may cross.
        asked: Instant,
    },
}
