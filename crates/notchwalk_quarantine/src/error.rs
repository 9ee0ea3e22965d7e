//! Error types.

use derive_more::{Display, Error};

/// The error of parsing a fingerprint that is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a fingerprint has 32 hexadecimal digits")]
pub struct FingerprintError;
