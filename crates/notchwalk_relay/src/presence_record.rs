//! The record by which nodes discover each other.

use std::net::SocketAddr;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// The table of presence records and quarantines, which nodes read when they start.
pub(crate) const PRESENCE_TABLE: &str = "entries";

/// The presence of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub(crate) struct PresenceRecord {
    /// The name of the VM.
    pub name: String,
    /// Boot number; increases with each start of the process on that VM.
    pub boot: u64,
    /// Address for messages from peers.
    pub peer: SocketAddr,
    /// Address for callers.
    pub caller: SocketAddr,
}
