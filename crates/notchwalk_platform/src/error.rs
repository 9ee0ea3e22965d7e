//! Errors of calls to the platform.

use derive_more::{Display, Error};

/// A failed call to the platform.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The connection failed; a write did not take effect.
    #[display("the platform can't be reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// No complete response was received; a write may have taken effect.
    #[display("the platform did not answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
    /// The platform rejected the call; a write did not take effect.
    #[display("the platform refused: {_0}")]
    Refused(#[error(not(source))] String),
}

impl PlatformError {
    /// Returns whether a write may have taken effect despite the error.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::NoAnswer(_))
    }
}
