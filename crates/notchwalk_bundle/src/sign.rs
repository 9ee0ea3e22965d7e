//! The signed manifest of a bundle version, and keys.

use ed25519_dalek::{Signer, Verifier, VerifyingKey};
use notchwalk_core::Findings;
use serde::{Deserialize, Serialize};

use crate::{Bundle, BundleError, PartName};

/// A private key for signing.
pub type SigningKey = ed25519_dalek::SigningKey;

/// Makes a new private key from the system's random numbers.
pub fn new_signing_key() -> SigningKey {
    SigningKey::from_bytes(&rand::random())
}

/// Returns the hash under which a workspace's key stands in the bundle.
pub fn key_hash(key: &str) -> String {
    const DOMAIN: &str = "notchwalk workspace key v1";
    hex::encode(blake3::derive_key(DOMAIN, key.as_bytes()))
}

/// One operator's signature under a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// The operator's name in the bundle before this one.
    pub operator: String,
    /// The ed25519 signature, in hex.
    pub signature: String,
}

/// What is signed: a version, what it replaces and the digests of its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version, one above the one it replaces.
    pub version: u64,
    /// The digest of the manifest it replaces, empty for the first.
    pub previous: String,
    /// Why the change is made.
    pub reason: String,
    /// Each part's digest.
    pub parts: Vec<(PartName, String)>,
    /// The author's signature first, then the reviewer's.
    pub signatures: Vec<Signature>,
}

impl Manifest {
    /// Returns the bytes that signatures cover.
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

    /// Returns the digest of everything but the signatures, in hex.
    pub fn digest(&self) -> String {
        blake3::hash(&self.signed_bytes()).to_hex().to_string()
    }

    /// Adds an operator's signature, replacing an earlier one of the same
    /// operator.
    pub fn sign(&mut self, operator: &str, key: &SigningKey) {
        let signature = hex::encode(key.sign(&self.signed_bytes()).to_bytes());
        self.signatures.retain(|s| s.operator != operator);
        self.signatures.push(Signature {
            operator: operator.to_owned(),
            signature,
        });
    }

    /// Checks that an author and another operator, a reviewer, signed. Their
    /// keys are those named in `before`, the bundle that is replaced; the
    /// first bundle names its own.
    ///
    /// # Errors
    ///
    /// Says which signature is missing or wrong.
    pub fn verify(&self, before: &Bundle) -> Result<(), BundleError> {
        let mut author = None;
        let mut reviewer = None;
        for signature in &self.signatures {
            let operator = before.operator(&signature.operator).ok_or_else(|| {
                BundleError::Signature(format!("{} is no operator", signature.operator))
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
            (None, _) => Err(BundleError::Signature("no author signed".into())),
            (_, None) => Err(BundleError::Signature(
                "no second operator, a reviewer, signed".into(),
            )),
        }
    }
}

fn verify_one(public_key: &str, bytes: &[u8], signature: &Signature) -> Result<(), BundleError> {
    let key = parse_public_key(public_key)?;
    let raw = hex::decode(&signature.signature).ok();
    let raw = raw.and_then(|raw| <[u8; 64]>::try_from(raw).ok());
    let wrong = || BundleError::Signature(format!("{}'s does not fit", signature.operator));
    let raw = raw.ok_or_else(wrong)?;
    let signature = ed25519_dalek::Signature::from_bytes(&raw);
    key.verify(bytes, &signature).map_err(|_| wrong())
}

fn parse_public_key(text: &str) -> Result<VerifyingKey, BundleError> {
    let fault = || BundleError::Key("a public key is 64 hex digits of an ed25519 key".into());
    let raw = hex::decode(text).map_err(|_| fault())?;
    let raw = <[u8; 32]>::try_from(raw).map_err(|_| fault())?;
    VerifyingKey::from_bytes(&raw).map_err(|_| fault())
}

/// Records a finding if `text` is no public key.
pub(crate) fn check_public_key(text: &str, file: &str, section: &str, findings: &mut Findings) {
    if let Err(e) = parse_public_key(text) {
        findings.add(file, section, "public_key", e.to_string());
    }
}
