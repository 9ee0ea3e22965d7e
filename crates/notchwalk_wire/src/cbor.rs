//! Reading and writing CBOR.

use derive_more::{Display, Error};
use serde::{de::DeserializeOwned, Serialize};

/// Bytes that are no message of the expected type.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("not a message: {reason}")]
pub struct CborError {
    reason: String,
}

/// Writes a message as CBOR.
///
/// # Panics
///
/// Panics if the value can't be written, which no message type does.
pub fn to_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("message types serialize");
    buf
}

/// Reads a message from CBOR.
///
/// # Errors
///
/// Fails if the bytes are something else.
pub fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CborError> {
    const MAX_DEPTH: usize = 32;
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH).map_err(|e| CborError {
        reason: e.to_string(),
    })
}
