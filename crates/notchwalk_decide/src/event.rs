//! The events that a node handles.

use std::sync::Arc;

use notchwalk_bundle::{Bundle, ModelKey, ServiceKey, WorkspaceKey};
use notchwalk_core::{Attempt, RequestId, ServerId, Tokens, VmId};
use notchwalk_quarantine::Fingerprint;
use notchwalk_wire::{Allocation, CacheEvents, LoadReport, PeerMessage};

use crate::{
    orders::LeaseRow,
    request::{CallerKey, RequestKey},
};

/// A generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerateWork {
    /// The model.
    pub model: ModelKey,
    /// The requested adapter, if any.
    pub adapter: Option<String>,
    /// The requested version, if any.
    pub version: Option<String>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: Tokens,
    /// Maximum length of the completion, in tokens.
    pub max_tokens: u32,
    /// Hashes of the prompt's first blocks.
    pub prefix: Vec<u64>,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallWork {
    /// The service.
    pub service: ServiceKey,
    /// Whether it may be sent again after a failure.
    pub repeatable: bool,
    /// The idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
    /// A digest of method, path and body; distinguishes a repeated call from a
    /// different request under the same key.
    pub fingerprint: String,
}

/// The work of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A generation by an engine.
    Generate(GenerateWork),
    /// A call of a plain service.
    Call(CallWork),
}

/// A new request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifies the caller within the driver.
    pub caller: CallerKey,
    /// The workspace, as keyed in the active bundle.
    pub workspace: WorkspaceKey,
    /// The requested work.
    pub work: Work,
    /// Fingerprint of the content, equal for all attempts of the caller; `None`
    /// if the body is forwarded unread.
    pub content: Option<Fingerprint>,
    /// The requested priority, bounded by the workspace's.
    pub priority: Option<u8>,
    /// The requested timeout, bounded by the bundle.
    pub timeout_ms: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response is complete.
    Complete {
        /// Tokens of the prompt, as the engine counted them.
        prompt_tokens: Tokens,
        /// Prompt tokens found in the engine's cache.
        cached_tokens: Tokens,
        /// Tokens of the completion.
        completion_tokens: u32,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The backend rejected it before any work.
    Refused {
        /// The code of the rejection.
        code: String,
    },
    /// The stream broke, or the response can't be parsed.
    Broken,
}

/// A claim's row in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// The token of the claim's owner.
    pub token: String,
    /// Whether the outcome is stored.
    pub done: bool,
    /// The digest of the claimed call.
    pub fingerprint: String,
}

/// The result of a claim's write or read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The current row; the write took effect if the row holds this request's
    /// token.
    Row(ClaimRow),
    /// There is no row.
    NoRow,
    /// The table did not respond; the write may have taken effect.
    Unanswered,
}

/// The kind of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// A model engine; its load report names its models.
    Engine,
    /// A server of the named plain service.
    Service(String),
}

/// A backend server in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Its number.
    pub id: ServerId,
    /// Its kind.
    pub kind: ServerKind,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it is draining.
    pub draining: bool,
}

/// An entry VM in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// Its number.
    pub vm: VmId,
    /// Where callers connect.
    pub caller_address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it is draining.
    pub draining: bool,
}

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; sent every few milliseconds.
    Tick,
    /// A bundle became active.
    Bundle(Arc<Bundle>),
    /// The VM list was read.
    VmList {
        /// Backend servers.
        servers: Vec<ServerRecord>,
        /// The nodes, including this one.
        nodes: Vec<PeerRecord>,
    },
    /// A request arrived.
    Arrival(Box<Arrival>),
    /// A caller disconnected.
    CallerDisconnected(RequestKey),
    /// A frame with tokens arrived.
    Frame {
        /// The request whose stream carried it.
        request: RequestKey,
        /// The request id in the frame.
        id: RequestId,
        /// The attempt in the frame.
        attempt: Attempt,
        /// The offset of its first token in the completion.
        offset: u32,
        /// The number of tokens it carries.
        count: u32,
    },
    /// A segment of a huge prompt is ready.
    SegmentReady {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: AttemptEnd,
    },
    /// An engine reported its load.
    Load {
        /// The server.
        server: ServerId,
        /// The report.
        report: Box<LoadReport>,
    },
    /// A server did not respond to a load poll.
    LoadPollFailed(ServerId),
    /// An engine listed the memory it holds.
    Allocations {
        /// The server.
        server: ServerId,
        /// All allocations on the server.
        allocations: Vec<Allocation>,
    },
    /// An engine published changes of its cache.
    Cache {
        /// The server.
        server: ServerId,
        /// The changes.
        events: CacheEvents,
    },
    /// An engine confirmed a cancel, or did not respond to it.
    CancelEnded {
        /// The server.
        server: ServerId,
        /// The request.
        id: RequestId,
        /// Whether it was confirmed.
        confirmed: bool,
    },
    /// The write or read of a claim in the platform's table ended.
    Claim {
        /// The request.
        request: RequestKey,
        /// The result.
        response: ClaimResponse,
    },
    /// The release of an abandoned claim ended.
    ClaimReleased {
        /// The row's key.
        key: String,
        /// Whether the table confirmed it.
        confirmed: bool,
    },
    /// The table responded to a read or write of the order lease.
    Lease {
        /// The current row.
        row: Option<LeaseRow>,
        /// Whether a write of this node took effect.
        applied: bool,
    },
    /// The table did not respond to a read or write of the order lease.
    LeaseUnanswered,
    /// An order ended.
    OrderEnded {
        /// The engine.
        server: ServerId,
        /// Whether the engine accepted it, or may accept it when it is sent
        /// again.
        accepted: bool,
    },
    /// A peer sent a message.
    Peer {
        /// The authenticated peer.
        from: VmId,
        /// The message.
        message: PeerMessage,
    },
    /// A graceful shutdown was requested.
    Drain,
}

impl Event {
    /// Returns the event's name, for traces.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Tick => "tick",
            Self::Bundle(_) => "bundle",
            Self::VmList { .. } => "vm_list",
            Self::Arrival(_) => "arrive",
            Self::CallerDisconnected(_) => "caller_gone",
            Self::Frame { .. } => "frame",
            Self::SegmentReady { .. } => "segment_ready",
            Self::AttemptEnded { .. } => "attempt_ended",
            Self::Load { .. } => "load",
            Self::LoadPollFailed(_) => "load_failed",
            Self::Allocations { .. } => "holdings",
            Self::Cache { .. } => "cache",
            Self::CancelEnded { .. } => "cancel_ended",
            Self::Claim { .. } => "claim",
            Self::ClaimReleased { .. } => "claim_released",
            Self::Lease { .. } => "lease",
            Self::LeaseUnanswered => "lease_unanswered",
            Self::OrderEnded { .. } => "order_ended",
            Self::Peer { .. } => "peer",
            Self::Drain => "drain",
        }
    }
}
