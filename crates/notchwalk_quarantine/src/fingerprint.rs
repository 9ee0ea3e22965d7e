//! What makes two tries the same request, whoever sends them and wherever they
//! arrive: the caller's workspace, the method, where it goes, and the body.
//!
//! What a caller may change from try to try (its id, how long it waits, the last
//! event that it has) is left out.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::FingerprintError;

/// Bytes of a fingerprint. Nobody finds a second request with the fingerprint of
/// another workspace's one by trying.
const BYTES: usize = 16;
/// Identifies a request's content, alike on all entries (BLAKE3, cut short).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u128", into = "u128")]
pub struct Fingerprint([u8; BYTES]);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
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
        let mut bytes = [0; BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| FingerprintError)?;
        Ok(Self(bytes))
    }
}

/// What the head of a request says about its content.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The workspace of the caller's key; `None` on a route that asks for none.
    pub workspace: Option<&'a str>,
    /// The method.
    pub method: &'a str,
    /// The host's name in lower case and without a port.
    pub host: &'a str,
    /// The path with its query.
    pub target: &'a str,
}

/// Takes a request's fingerprint while its body arrives piece by piece.
#[derive(Debug)]
pub struct Fingerprinting(blake3::Hasher);

impl Fingerprinting {
    /// Begins with the head. The length of each part goes before it, so that no
    /// two heads run together alike.
    pub fn new(content: &Content<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[u8::from(content.workspace.is_some())]);
        let parts = [
            content.workspace.unwrap_or(""),
            content.method,
            content.host,
            content.target,
        ];
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(hasher)
    }

    /// Takes the next piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        self.0.update(piece);
    }

    /// Returns the fingerprint.
    pub fn finish(&self) -> Fingerprint {
        let mut bytes = [0; BYTES];
        self.0.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }
}
