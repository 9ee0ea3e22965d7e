//! Serialization to and from CBOR.

use derive_more::{Display, Error};
use serde::{de::DeserializeOwned, Serialize};

/// The bytes are not a CBOR message of the expected type.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("invalid CBOR message: {reason}")]
pub struct CborError {
    reason: String,
}

/// Serializes a message to CBOR.
///
/// # Panics
///
/// Panics if the value can't be serialized; all message types can.
pub fn to_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("message types serialize");
    buf
}

/// Deserializes a message from CBOR.
///
/// # Errors
///
/// Fails if the bytes are not a message of this type or are nested too deeply.
pub fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CborError> {
    const MAX_DEPTH: usize = 32;
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH).map_err(|e| CborError {
        reason: e.to_string(),
    })
}
