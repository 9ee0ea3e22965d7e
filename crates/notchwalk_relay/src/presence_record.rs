//! The record by which entries find each other.

use std::net::SocketAddr;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// The table that holds the records, and what else an entry reads at its start.
pub(crate) const TABLE: &str = "entries";

/// What an entry says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub(crate) struct PresenceRecord {
    /// The VM's name.
    pub name: String,
    /// Rises with each start on that VM.
    pub boot: u64,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Where callers reach it.
    pub caller: SocketAddr,
}
