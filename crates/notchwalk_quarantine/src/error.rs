//! The crate's error.

use derive_more::{Display, Error};

/// A text that is no fingerprint.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a fingerprint has 32 hexadecimal digits")]
pub struct FingerprintError;
