//! What daemons tell each other. Structs travel as CBOR arrays: control may
//! cost a node 3 KB a second, and names would be most of it.

use notchwalk_core::{BootNumber, RequestId, ServerId, Tokens, VmId};
use notchwalk_quarantine::QuarantineUpdate;
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// When a peer was last heard, as another one tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Heard {
    /// The peer.
    pub vm: VmId,
    /// Its boot.
    pub boot: BootNumber,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
}

/// The share of a server that its home grants an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ServerShare {
    /// The server.
    pub server: ServerId,
    /// The share of its time, in thousandths.
    pub per_mille: u16,
    /// The part of its memory that long work leaves to all entries together,
    /// in thousandths.
    pub pool_per_mille: u16,
}

/// Cost served for a workspace since the boot, so that peers can count it in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ServedCost {
    /// The hash of the workspace's name.
    pub workspace: u64,
    /// Engine time in microseconds.
    pub cost_us: u64,
}

/// A reservation for long work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct LongHold {
    /// The server.
    pub server: ServerId,
    /// The request.
    pub request: RequestId,
    /// Tokens reserved.
    pub tokens: Tokens,
    /// Whether its prompt was computed.
    pub prompt_done: bool,
}

/// Sent to each peer twice a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Heartbeat {
    /// The sender.
    pub vm: VmId,
    /// Its boot.
    pub boot: BootNumber,
    /// Counts the heartbeats of the boot; older ones that come late are
    /// dropped.
    pub seq: u64,
    /// Whether the sender drains.
    pub leaving: bool,
    /// The version of the bundle in force there.
    pub bundle_version: u64,
    /// Peers the sender has heard.
    pub heard: Vec<Heard>,
    /// The weight of the workspaces with work at the sender, in thousandths,
    /// for each model by the hash of its name.
    pub demand: Vec<(u64, u64)>,
    /// Shares granted to the receiver by the sender as home.
    pub shares: Vec<ServerShare>,
    /// The heaviest workspaces' served cost.
    pub served: Vec<ServedCost>,
    /// Servers the sender knows to be leaving.
    pub leaving_servers: Vec<ServerId>,
    /// Long reservations the sender holds, so that a new home learns them and a
    /// lost release is made good.
    pub long_holds: Vec<LongHold>,
}

/// What an entry wants of a server's home for a long prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LongRequestKind {
    /// Memory for so many tokens.
    Reserve(Tokens),
    /// The prompt was computed; the next may start.
    PromptDone,
    /// Nothing any more.
    Release,
}

/// A request about long work to a server's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct LongRequest {
    /// The request.
    pub request: RequestId,
    /// The server.
    pub server: ServerId,
    /// What is wanted.
    pub kind: LongRequestKind,
}

/// How a home answers a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LongReplyKind {
    /// The memory is held.
    Granted,
    /// There is no room now; ask another server.
    Denied,
    /// There is no room yet, but it is being cleared for this request; ask
    /// again soon.
    Earmarked,
}

/// A home's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct LongReply {
    /// The request.
    pub request: RequestId,
    /// The server.
    pub server: ServerId,
    /// The answer.
    pub kind: LongReplyKind,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Signs of life and shared state.
    Heartbeat(Heartbeat),
    /// About long work, to a home.
    LongRequest(LongRequest),
    /// About long work, from a home.
    LongReply(LongReply),
    /// Asks for a bundle newer than this version; the store is down.
    BundleAsk(u64),
    /// A bundle: its manifest and parts as JSON.
    BundleOffer(String),
    /// What is known of requests under which servers ended.
    Suspects(Vec<QuarantineUpdate>),
}
