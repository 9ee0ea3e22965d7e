//! Errors of the crate.

use derive_more::{Display, Error};

/// The text of a fingerprint is malformed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a fingerprint has 32 hexadecimal digits")]
pub struct FingerprintError;
