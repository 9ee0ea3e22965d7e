//! Length classes. Each has a queue of its own, so that work of one length
//! that finds no room does not hold up the others.

use notchwalk_core::Tokens;

/// A class of requests by the tokens of prompt that must be computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// Up to 4k tokens, and calls of plain services.
    Short,
    /// Up to 32k tokens.
    Medium,
    /// Up to 128k tokens.
    Long,
    /// Longer.
    Huge,
}

/// All classes, in the order in which they are served.
pub const LANES: [Lane; 4] = [Lane::Short, Lane::Medium, Lane::Long, Lane::Huge];

const SHORT_TOKENS: Tokens = 4_096;
const MEDIUM_TOKENS: Tokens = 32_768;
const LONG_TOKENS: Tokens = 131_072;

impl Lane {
    /// Returns the class of so many uncached tokens.
    pub fn of(tokens: Tokens) -> Self {
        match tokens {
            n if n <= SHORT_TOKENS => Self::Short,
            n if n <= MEDIUM_TOKENS => Self::Medium,
            n if n <= LONG_TOKENS => Self::Long,
            _ => Self::Huge,
        }
    }

    /// Returns the class's place in [`LANES`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Tells whether the class needs a reservation of the server's home.
    pub fn is_long(self) -> bool {
        matches!(self, Self::Long | Self::Huge)
    }

    /// Returns the base of the priority on engines: shorter classes go first,
    /// and the request's own priority orders within the class.
    pub fn engine_priority(self, priority: u8) -> u8 {
        const STEP: u8 = 40;
        (3 - self as u8) * STEP + priority.min(9)
    }
}
