//! Updates on limited servers that nodes publish to their peers.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::{shares::short_id_of, RateLimit};

/// The nodes that share the limits of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSharing {
    /// This node's id.
    pub(super) own_id: u32,
    /// Number of registered nodes in this node's group, itself included.
    pub(super) registered: u32,
    /// Number of those that are reachable, itself included.
    pub(super) reachable: u32,
}

impl LimitSharing {
    /// Creates the sharing of the node with this name.
    pub fn new(name: &str, registered: u32, reachable: u32) -> Self {
        Self {
            own_id: short_id_of(name),
            registered,
            reachable: reachable.min(registered),
        }
    }
}

/// An update on a limited server, as published to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct LimitUpdate {
    /// The server's short id.
    pub server: u32,
    /// The limit that the publishing node observed, if any.
    pub observed: Option<ObservedLimit>,
    /// Number of requests that the publishing node has sent to the server.
    pub sent: u32,
    /// Whether the publishing node has requests for the server's service.
    pub has_demand: bool,
}

/// An observed limit, as published to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ObservedLimit {
    /// The limit; `None` once the server announces none.
    pub limit: Option<RateLimit>,
    /// Time since the send of the request whose response announced it, in milliseconds.
    pub age_ms: u32,
}

/// Which observed limits are published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitScope {
    /// Limits from responses to this node. Limits received from peers are not rebroadcast,
    /// since they would circulate without end.
    Direct,
    /// All limits, for a node that has just started. It may have been the only node that
    /// received a response before it restarted.
    All,
}
