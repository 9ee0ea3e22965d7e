//! Messages between nodes. Structs are serialized as CBOR arrays, since field names would take
//! most of the 3 KB per second that a node may use for control traffic.

use notchwalk_core::{BootNumber, RequestId, ServerId, Tokens, VmId};
use notchwalk_quarantine::QuarantineUpdate;
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// When the sender last received a message from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct PeerContact {
    /// The peer.
    pub vm: VmId,
    /// The boot of the peer.
    pub boot: BootNumber,
    /// The time since the last message, in milliseconds.
    pub age_ms: u64,
}

/// The share of a server that its home, the node that divides it among all nodes, grants to
/// one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ServerShare {
    /// The server.
    pub server: ServerId,
    /// The share of the server's time, in thousandths.
    pub per_mille: u16,
    /// The share of the server's memory that long requests leave to all nodes together, in
    /// thousandths.
    pub pool_per_mille: u16,
}

/// Cost that the sender has served for a workspace since its boot; peers include it in fair
/// sharing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ServedCost {
    /// The hash of the workspace's name.
    pub workspace: u64,
    /// Engine time in microseconds.
    pub cost_us: u64,
}

/// A memory reservation for a long request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct LongReservation {
    /// The server.
    pub server: ServerId,
    /// The request.
    pub request: RequestId,
    /// The reserved memory, in tokens.
    pub tokens: Tokens,
    /// Whether the prefill is complete.
    pub prefill_done: bool,
}

/// Sent to each peer twice a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Heartbeat {
    /// The sender.
    pub vm: VmId,
    /// The boot of the sender.
    pub boot: BootNumber,
    /// The sequence number of the heartbeat within the boot; a heartbeat that arrives after a
    /// newer one is ignored.
    pub seq: u64,
    /// Whether the sender is draining.
    pub draining: bool,
    /// The version of the active bundle of the sender.
    pub bundle_version: u64,
    /// The peers from which the sender has received messages.
    pub peer_contacts: Vec<PeerContact>,
    /// For each model, by the hash of its name: the total weight of the workspaces with
    /// requests at the sender, in thousandths.
    pub demand: Vec<(u64, u64)>,
    /// Shares that the sender grants to the receiver, of servers whose home it is.
    pub shares: Vec<ServerShare>,
    /// The served cost of the workspaces with the highest cost.
    pub served: Vec<ServedCost>,
    /// Servers that are draining, according to the sender.
    pub draining_servers: Vec<ServerId>,
    /// The reservations for long requests of the sender. A new home restores its state from
    /// them, and a home detects lost release messages with them.
    pub long_reservations: Vec<LongReservation>,
}

/// What a node requests from the home of a server for a long request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LongRequestKind {
    /// Reserve memory for this number of tokens.
    Reserve(Tokens),
    /// The prefill is complete; the prefill of another long request may start.
    #[serde(rename = "PromptDone")]
    PrefillDone,
    /// Release the reservation.
    Release,
}

/// A message about a long request to the home of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct LongRequest {
    /// The request.
    pub request: RequestId,
    /// The server.
    pub server: ServerId,
    /// The requested operation.
    pub kind: LongRequestKind,
}

/// The response of a home to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LongReplyKind {
    /// The memory is reserved.
    Granted,
    /// There is not enough memory; another server must be used.
    Denied,
    /// There is not enough memory yet, but freed memory is retained for this request; the
    /// reservation must be requested again.
    #[serde(rename = "Earmarked")]
    Clearing,
}

/// The response of a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct LongReply {
    /// The request.
    pub request: RequestId,
    /// The server.
    pub server: ServerId,
    /// The response.
    pub kind: LongReplyKind,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is alive; contains its state.
    Heartbeat(Heartbeat),
    /// A message about a long request to a home.
    LongRequest(LongRequest),
    /// The response of a home to a [`LongRequest`].
    LongReply(LongReply),
    /// Requests a bundle newer than this version while the store is unavailable.
    #[serde(rename = "BundleAsk")]
    BundleRequest(u64),
    /// A bundle: its manifest and parts, as JSON.
    #[serde(rename = "BundleOffer")]
    BundleResponse(String),
    /// Updates about requests that are suspected of crashing servers.
    Suspects(Vec<QuarantineUpdate>),
}
