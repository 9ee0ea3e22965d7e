//! Identifiers that are shared between processes.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Identifies an entry VM. Set in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmId(pub u32);

/// Identifies a start of the daemon on a VM; increases with each start. Used as a fencing
/// token: a higher number invalidates the operations of lower ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootNumber(pub u64);

/// Identifies a backend server by its number in the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub u32);

/// The number of an attempt of a request, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt(pub u16);

/// Identifies a request across the fleet by the VM and boot that admitted it and a sequence
/// number. The owner of a request is thus known from its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The entry VM that admitted the request.
    pub vm: VmId,
    /// The boot number of the daemon on that VM.
    pub boot: BootNumber,
    /// The sequence number within the boot.
    pub seq: u64,
}

/// The error message for a malformed request id.
pub const REQUEST_ID_ERROR: &str =
    "invalid request id: expected VM-BOOT-SEQ, three decimal numbers";

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.vm.0, self.boot.0, self.seq)
    }
}

impl FromStr for RequestId {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '-');
        let mut next = || parts.next().and_then(|part| part.parse::<u64>().ok());
        let (Some(vm), Some(boot), Some(seq)) = (next(), next(), next()) else {
            return Err(REQUEST_ID_ERROR);
        };
        let vm = u32::try_from(vm).map_err(|_| REQUEST_ID_ERROR)?;
        Ok(Self {
            vm: VmId(vm),
            boot: BootNumber(boot),
            seq,
        })
    }
}

impl Serialize for RequestId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Returns the first eight bytes as a little-endian number, such as a 64-bit hash from a
/// longer digest.
pub fn leading_u64(bytes: &[u8]) -> u64 {
    let first = bytes.iter().take(8).rev();
    first.fold(0, |number, byte| (number << 8) | u64::from(*byte))
}
