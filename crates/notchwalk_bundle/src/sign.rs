//! Signed manifests of bundle versions, and keys.

use ed25519_dalek::{Signer, Verifier, VerifyingKey};
use notchwalk_core::Findings;
use serde::{Deserialize, Serialize};

use crate::{Bundle, BundleError, PartName};

/// An ed25519 private key.
pub type SigningKey = ed25519_dalek::SigningKey;

/// Generates a private key from the system's random numbers.
pub fn new_signing_key() -> SigningKey {
    SigningKey::from_bytes(&rand::random())
}

/// Returns the hash by which a bundle refers to a workspace's API key.
pub fn key_hash(key: &str) -> String {
    const CONTEXT: &str = "notchwalk workspace key v1";
    hex::encode(blake3::derive_key(CONTEXT, key.as_bytes()))
}

/// An operator's signature of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// The operator's name in the previous bundle.
    pub operator: String,
    /// The ed25519 signature, in hex.
    pub signature: String,
}

/// The signed description of a bundle version: its number, its predecessor and the digests of
/// its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version, one above the previous.
    pub version: u64,
    /// The digest of the previous manifest, empty for the first version.
    pub previous: String,
    /// The reason for the change.
    pub reason: String,
    /// The digest of each part.
    pub parts: Vec<(PartName, String)>,
    /// The signatures, the author's first.
    pub signatures: Vec<Signature>,
}

impl Manifest {
    /// Returns the bytes covered by the signatures.
    fn signed_bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "notchwalk bundle v1\n{}\n{}\n{}\n",
            self.version,
            self.previous,
            self.reason.replace('\n', " ")
        );
        for (name, digest) in &self.parts {
            text.push_str(&format!("{name} {digest}\n"));
        }
        text.into_bytes()
    }

    /// Returns the BLAKE3 digest of the manifest without its signatures, in hex.
    pub fn digest(&self) -> String {
        blake3::hash(&self.signed_bytes()).to_hex().to_string()
    }

    /// Adds an operator's signature; replaces an earlier one of the same operator.
    pub fn sign(&mut self, operator: &str, key: &SigningKey) {
        let signature = hex::encode(key.sign(&self.signed_bytes()).to_bytes());
        self.signatures.retain(|s| s.operator != operator);
        self.signatures.push(Signature {
            operator: operator.to_owned(),
            signature,
        });
    }

    /// Verifies the signatures of an author and of another operator who is a reviewer. Their
    /// keys and roles come from `previous`, the bundle before this version; the first version
    /// is verified with its own operators.
    ///
    /// # Errors
    ///
    /// Fails if a signature is missing or invalid; the error names its operator or role.
    pub fn verify(&self, previous: &Bundle) -> Result<(), BundleError> {
        let mut author = None;
        let mut reviewer = None;
        for signature in &self.signatures {
            let operator = previous.operator(&signature.operator).ok_or_else(|| {
                BundleError::Signature(format!("{} is not an operator", signature.operator))
            })?;
            verify_one(&operator.public_key, &self.signed_bytes(), signature)?;
            if operator.author && author.is_none() {
                author = Some(&signature.operator);
            } else if operator.reviewer {
                reviewer = Some(&signature.operator);
            }
        }
        match (author, reviewer) {
            (Some(_), Some(_)) => Ok(()),
            (None, _) => Err(BundleError::Signature("missing from an author".into())),
            (_, None) => Err(BundleError::Signature(
                "missing from a reviewer other than the author".into(),
            )),
        }
    }
}

fn verify_one(public_key: &str, message: &[u8], signature: &Signature) -> Result<(), BundleError> {
    let key = parse_public_key(public_key)?;
    let bytes = hex::decode(&signature.signature).ok();
    let bytes = bytes.and_then(|bytes| <[u8; 64]>::try_from(bytes).ok());
    let invalid = || BundleError::Signature(format!("invalid for operator {}", signature.operator));
    let bytes = bytes.ok_or_else(invalid)?;
    let signature = ed25519_dalek::Signature::from_bytes(&bytes);
    key.verify(message, &signature).map_err(|_| invalid())
}

fn parse_public_key(text: &str) -> Result<VerifyingKey, BundleError> {
    let invalid = || BundleError::Key("not an ed25519 public key of 64 hex digits".into());
    let bytes = hex::decode(text).map_err(|_| invalid())?;
    let bytes = <[u8; 32]>::try_from(bytes).map_err(|_| invalid())?;
    VerifyingKey::from_bytes(&bytes).map_err(|_| invalid())
}

/// Records a finding if `text` is not a public key.
pub(crate) fn check_public_key(text: &str, file: &str, section: &str, findings: &mut Findings) {
    if let Err(e) = parse_public_key(text) {
        findings.add(file, section, "public_key", e.to_string());
    }
}
