//! Fingerprints of requests: two attempts with the same workspace, method, destination and
//! body count as the same request, whichever node receives them.
//!
//! Headers that a caller may change between attempts (the id, the timeout, the last event
//! received) are not part of the fingerprint.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::FingerprintError;

/// Length of a fingerprint. Long enough that callers cannot find a request with the
/// fingerprint of another workspace's request.
const FINGERPRINT_BYTES: usize = 16;

/// Separates fingerprints of part ids from those of contents.
const PART_ID_CONTEXT: &str = "notchwalk prompt part id";

const SCOPE_CONTEXT: &str = "notchwalk scope of a prompt part";

/// Identifies a request's content, or a part of its prompt, across nodes (a truncated BLAKE3 hash).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u128", into = "u128")]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl Fingerprint {
    /// Returns the fingerprint of the id of a prompt part.
    pub fn of_part_id(id: &str) -> Self {
        Self::of_hash(blake3::Hasher::new_derive_key(PART_ID_CONTEXT).update(id.as_bytes()))
    }

    /// Returns the fingerprint of this subject within a scope.
    pub(crate) fn within(self, scope: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(SCOPE_CONTEXT);
        Self::of_hash(hasher.update(&self.0).update(scope))
    }

    /// Returns a short id, which may be the same for different fingerprints.
    pub(crate) fn short_id(self) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_le_bytes([a, b, c, d])
    }

    fn of_hash(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Returns the first characters of its text, for lists in logs.
    pub fn short(&self) -> String {
        const BYTES: usize = 4;
        hex::encode(&self.0[..BYTES])
    }
}

impl From<u128> for Fingerprint {
    fn from(number: u128) -> Self {
        Self(number.to_be_bytes())
    }
}

impl From<Fingerprint> for u128 {
    fn from(fingerprint: Fingerprint) -> Self {
        Self::from_be_bytes(fingerprint.0)
    }
}

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| FingerprintError)?;
        Ok(Self(bytes))
    }
}

/// The parts of a request's head that identify its content.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The workspace of the caller's key; `None` on a route that requires no key.
    pub workspace: Option<&'a str>,
    /// The HTTP method.
    pub method: &'a str,
    /// The host name in lower case, without a port.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
}

/// Computes a request's fingerprint while its body is streamed.
#[derive(Debug)]
pub struct FingerprintBuilder(blake3::Hasher);

impl FingerprintBuilder {
    /// Starts with the head. Each part is prefixed with its length, so that different
    /// heads never produce the same input.
    pub fn new(head: &RequestHead<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[u8::from(head.workspace.is_some())]);
        let parts = [
            head.workspace.unwrap_or(""),
            head.method,
            head.host,
            head.target,
        ];
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(hasher)
    }

    /// Adds the next chunk of the body.
    pub fn update(&mut self, chunk: &[u8]) {
        self.0.update(chunk);
    }

    /// Returns the fingerprint of the head and the body so far.
    pub fn finish(&self) -> Fingerprint {
        Fingerprint::of_hash(&self.0)
    }
}
