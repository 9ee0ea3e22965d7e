//! Why a bundle is refused.

use derive_more::{Display, Error};
use notchwalk_core::Findings;

/// A bundle that can't be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BundleError {
    /// The content has faults.
    #[display("{_0}")]
    Faulty(Findings),
    /// A signature is missing, does not fit, or comes from someone who may not
    /// give it.
    #[display("signature: {_0}")]
    Signature(#[error(not(source))] String),
    /// A key can't be read.
    #[display("key: {_0}")]
    Key(#[error(not(source))] String),
}
