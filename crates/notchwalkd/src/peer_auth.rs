//! Authentication of links between daemons by a pre-shared key.
//!
//! Both sides send a nonce, from which a session key is derived. The connecting side
//! proves that it has the shared key with a MAC under the session key. Every later
//! frame carries a MAC over its sequence number and payload, so that frames can be
//! neither forged nor replayed.

use notchwalk_core::{BootNumber, VmId};
use serde::{Deserialize, Serialize};

/// Length of a key, and also of a nonce or MAC, in bytes.
pub const KEY_BYTES: usize = 32;

/// A pre-shared key of all daemons.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct PeerKey([u8; KEY_BYTES]);

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl PeerKey {
    /// Generates a new random key.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the key in hex, as in a settings file.
    pub fn to_hex(&self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }
}

/// The configured keys. Outgoing links use the first, incoming links accept all, so
/// that a key can be rotated one daemon at a time.
#[derive(Clone, Debug)]
pub struct PeerKeys(Vec<PeerKey>);

impl PeerKeys {
    /// Creates a set of one key.
    pub fn single(key: PeerKey) -> Self {
        Self(vec![key])
    }

    /// Parses keys of 64 hex digits each.
    ///
    /// # Errors
    ///
    /// Returns a message if there are no keys or one is malformed.
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

    /// Returns the key for outgoing links.
    pub fn first(&self) -> PeerKey {
        self.0[0]
    }

    /// Returns the keys accepted on incoming links.
    pub fn all(&self) -> &[PeerKey] {
        &self.0
    }
}

/// The first handshake message, sent by the connecting side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// VM of the connecting daemon.
    pub vm: VmId,
    /// Boot number of the connecting daemon.
    pub boot: BootNumber,
    /// Random bytes, new for each connection.
    pub nonce: [u8; KEY_BYTES],
}

/// The accepting side's reply to [`Hello`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Random bytes, new for each connection.
    pub nonce: [u8; KEY_BYTES],
}

/// The connecting side's reply to [`Challenge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// MAC under the session key, see [`session_proof`].
    pub mac: [u8; KEY_BYTES],
}

/// Derives the session key of one connection from the handshake.
pub fn session_key(key: PeerKey, hello: &Hello, challenge: &Challenge) -> [u8; KEY_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(b"notchwalk peer session v1");
    hasher.update(&hello.vm.0.to_le_bytes());
    hasher.update(&hello.boot.0.to_le_bytes());
    hasher.update(&hello.nonce);
    hasher.update(&challenge.nonce);
    *hasher.finalize().as_bytes()
}

/// Returns the proof that the sender has a session key.
pub fn session_proof(session: &[u8; KEY_BYTES]) -> Proof {
    Proof {
        mac: *blake3::keyed_hash(session, b"notchwalk peer proof v1").as_bytes(),
    }
}

/// Compares two MACs in constant time.
pub fn macs_equal(a: &[u8; KEY_BYTES], b: &[u8; KEY_BYTES]) -> bool {
    blake3::Hash::from_bytes(*a) == blake3::Hash::from_bytes(*b)
}

/// Returns a frame: the MAC over the sequence number and payload, then the payload.
pub fn seal(session: &[u8; KEY_BYTES], sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut sealed = frame_mac(session, sequence, payload).to_vec();
    sealed.extend_from_slice(payload);
    sealed
}

/// Returns the payload of a sealed frame; `None` if its MAC doesn't match it and the
/// sequence number.
pub fn open<'a>(session: &[u8; KEY_BYTES], sequence: u64, sealed: &'a [u8]) -> Option<&'a [u8]> {
    let (mac, payload) = sealed.split_at_checked(KEY_BYTES)?;
    let mac = mac.try_into().ok()?;
    macs_equal(&frame_mac(session, sequence, payload), mac).then_some(payload)
}

fn frame_mac(session: &[u8; KEY_BYTES], sequence: u64, payload: &[u8]) -> [u8; KEY_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(session);
    hasher.update(&sequence.to_le_bytes());
    hasher.update(payload);
    *hasher.finalize().as_bytes()
}
