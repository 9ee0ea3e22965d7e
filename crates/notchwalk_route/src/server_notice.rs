//! Notices that backend servers announce in response headers.

use std::{fmt, time::Duration};

use notchwalk_core::Instant;
use serde::{Deserialize, Serialize};

/// The rate that a server accepts from all nodes together, in thousandths of a request
/// per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit(u32);

impl RateLimit {
    /// The maximum rate; higher ones are capped to it.
    pub const HIGHEST: Self = Self(1_000_000_000);

    /// Creates a limit in requests per second, capped at [`Self::HIGHEST`]; `None` if the
    /// rate is negative or not finite.
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_valid = rate.is_finite() && rate >= 0.0;
        // The cast saturates.
        is_valid.then(|| Self((rate * 1e3).round() as u32).min(Self::HIGHEST))
    }

    /// Returns the rate in requests per second.
    pub fn rate(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.rate().fmt(f)
    }
}

/// A notice from a server about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerNotice {
    /// It is draining and will stop soon.
    Draining,
    /// It requests that this node backs off for this time.
    Backoff(Duration),
    /// The rate that it accepts from all nodes together.
    Limit {
        /// The limit; `None` if the response announces none.
        limit: Option<RateLimit>,
        /// When the request of that response was sent: responses may arrive out of order.
        requested_at: Instant,
    },
}
