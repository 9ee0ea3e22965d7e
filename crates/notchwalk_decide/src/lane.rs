//! Length classes. Each lane has its own queue, so requests that find no
//! capacity in one lane do not block the others.

use notchwalk_core::Tokens;

/// A class of requests by the number of prompt tokens to prefill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// Up to 4k tokens, and calls of plain services.
    Short,
    /// Up to 32k tokens.
    Medium,
    /// Up to 128k tokens.
    Long,
    /// More than 128k tokens.
    Huge,
}

/// All lanes, in the order in which they are served.
pub const LANES: [Lane; 4] = [Lane::Short, Lane::Medium, Lane::Long, Lane::Huge];

const MAX_SHORT_TOKENS: Tokens = 4_096;
const MAX_MEDIUM_TOKENS: Tokens = 32_768;
const MAX_LONG_TOKENS: Tokens = 131_072;

impl Lane {
    /// Returns the lane for a number of uncached prompt tokens.
    pub fn of(tokens: Tokens) -> Self {
        match tokens {
            n if n <= MAX_SHORT_TOKENS => Self::Short,
            n if n <= MAX_MEDIUM_TOKENS => Self::Medium,
            n if n <= MAX_LONG_TOKENS => Self::Long,
            _ => Self::Huge,
        }
    }

    /// Returns the lane's index in [`LANES`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns whether requests of this lane need a reservation from the
    /// server's home.
    pub fn is_long(self) -> bool {
        matches!(self, Self::Long | Self::Huge)
    }

    /// Returns the priority on engines: shorter lanes go first, and the
    /// request's own priority orders within a lane.
    pub fn engine_priority(self, priority: u8) -> u8 {
        const LANE_PRIORITY_STEP: u8 = 40;
        (3 - self as u8) * LANE_PRIORITY_STEP + priority.min(9)
    }
}
