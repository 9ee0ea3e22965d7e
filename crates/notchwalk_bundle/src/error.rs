//! Errors of bundles.

use derive_more::{Display, Error};
use notchwalk_core::Findings;

/// Why a bundle is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BundleError {
    /// The content is invalid.
    #[display("{_0}")]
    Faulty(Findings),
    /// A signature is missing, invalid, or not from an operator with the required role.
    #[display("signature: {_0}")]
    Signature(#[error(not(source))] String),
    /// A key is malformed.
    #[display("key: {_0}")]
    Key(#[error(not(source))] String),
}
