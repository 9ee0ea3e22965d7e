//! How daemons prove themselves to each other: both know a key from their
//! settings. Each sends a random number; each answers with a keyed hash over
//! both numbers. Every later frame carries a keyed hash over its number in the
//! stream and its bytes, so that frames can be neither forged nor replayed.

use notchwalk_core::{BootNumber, VmId};
use serde::{Deserialize, Serialize};

/// Bytes of keys, random numbers and hashes.
pub const PROOF_BYTES: usize = 32;

/// A key shared by all daemons.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct PeerKey([u8; PROOF_BYTES]);

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl PeerKey {
    /// Makes a new key from the system's random numbers.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the key as settings hold it.
    pub fn to_hex(&self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }
}

/// The keys in force: the first is used, all are accepted, so that a key can
/// be replaced one daemon at a time.
#[derive(Clone, Debug)]
pub struct PeerKeys(Vec<PeerKey>);

impl PeerKeys {
    /// Holds a single key.
    pub fn single(key: PeerKey) -> Self {
        Self(vec![key])
    }

    /// Reads keys of 64 hex digits each.
    ///
    /// # Errors
    ///
    /// Says what is wrong, in a sentence.
    pub fn parse(keys: &[String]) -> Result<Self, &'static str> {
        if keys.is_empty() {
            return Err("at least one key is needed: 64 hex digits");
        }
        let parse = |text: &String| blake3::Hash::from_hex(text).ok();
        let parsed: Option<Vec<_>> = keys.iter().map(parse).collect();
        let parsed = parsed.ok_or("a key is 64 hex digits")?;
        Ok(Self(
            parsed.into_iter().map(|h| PeerKey(*h.as_bytes())).collect(),
        ))
    }

    /// Returns the key to prove oneself with.
    pub fn first(&self) -> PeerKey {
        self.0[0]
    }

    /// Returns all accepted keys.
    pub fn all(&self) -> &[PeerKey] {
        &self.0
    }
}

/// The first message of the side that connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Who connects.
    pub vm: VmId,
    /// Its boot.
    pub boot: BootNumber,
    /// A random number.
    pub nonce: [u8; PROOF_BYTES],
}

/// The answer of the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// A random number.
    pub nonce: [u8; PROOF_BYTES],
}

/// The proof of the side that connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The keyed hash over both numbers and the name.
    pub mac: [u8; PROOF_BYTES],
}

/// Returns the key of one connection.
pub fn session_key(key: PeerKey, hello: &Hello, challenge: &Challenge) -> [u8; PROOF_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(b"notchwalk peer session v1");
    hasher.update(&hello.vm.0.to_le_bytes());
    hasher.update(&hello.boot.0.to_le_bytes());
    hasher.update(&hello.nonce);
    hasher.update(&challenge.nonce);
    *hasher.finalize().as_bytes()
}

/// Returns the proof that belongs to a connection's key.
pub fn proof_of(session: &[u8; PROOF_BYTES]) -> Proof {
    Proof {
        mac: *blake3::keyed_hash(session, b"notchwalk peer proof v1").as_bytes(),
    }
}

/// Compares in constant time.
pub fn same(a: &[u8; PROOF_BYTES], b: &[u8; PROOF_BYTES]) -> bool {
    blake3::Hash::from_bytes(*a) == blake3::Hash::from_bytes(*b)
}

/// Puts the hash of frame number `n` before its bytes.
pub fn seal(session: &[u8; PROOF_BYTES], n: u64, payload: &[u8]) -> Vec<u8> {
    let mut sealed = frame_mac(session, n, payload).to_vec();
    sealed.extend_from_slice(payload);
    sealed
}

/// Returns the bytes of frame number `n`, if its hash fits.
pub fn open<'a>(session: &[u8; PROOF_BYTES], n: u64, sealed: &'a [u8]) -> Option<&'a [u8]> {
    let (mac, payload) = sealed.split_at_checked(PROOF_BYTES)?;
    let mac = mac.try_into().ok()?;
    same(&frame_mac(session, n, payload), mac).then_some(payload)
}

fn frame_mac(session: &[u8; PROOF_BYTES], n: u64, payload: &[u8]) -> [u8; PROOF_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(session);
    hasher.update(&n.to_le_bytes());
    hasher.update(payload);
    *hasher.finalize().as_bytes()
}
