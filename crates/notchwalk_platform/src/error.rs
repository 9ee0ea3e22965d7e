//! Why a call to the platform failed.

use derive_more::{Display, Error};

/// A failed call.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection could be made: a write did not take effect.
    #[display("the platform can't be reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// No answer came: a write may have taken effect.
    #[display("the platform did not answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
    /// The platform refused the call: a write did not take effect.
    #[display("the platform refused: {_0}")]
    Refused(#[error(not(source))] String),
}

impl PlatformError {
    /// Tells whether a write may have taken effect all the same.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::NoAnswer(_))
    }
}
