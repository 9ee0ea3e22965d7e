//! Everything that can happen to a node.

use std::sync::Arc;

use notchwalk_bundle::{Bundle, ModelKey, ServiceKey, WorkspaceKey};
use notchwalk_core::{Attempt, RequestId, ServerId, Tokens, VmId};
use notchwalk_quarantine::Fingerprint;
use notchwalk_wire::{CacheEvents, Holding, LoadReport, PeerMessage};

use crate::{
    orders::LeaseRow,
    request::{CallerKey, RequestKey},
};

/// A generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerateWork {
    /// The model.
    pub model: ModelKey,
    /// The adapter, if one is asked for.
    pub adapter: Option<String>,
    /// The version, if one is asked for.
    pub version: Option<String>,
    /// Tokens of the prompt, as estimated.
    pub prompt_tokens: Tokens,
    /// The longest answer, in tokens.
    pub max_tokens: u32,
    /// Hashes of the prompt's beginning, a block each.
    pub prefix: Vec<u64>,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallWork {
    /// The service.
    pub service: ServiceKey,
    /// Whether it may be sent again after a failure.
    pub repeatable: bool,
    /// The idempotency key, if the caller gave one.
    pub idempotency_key: Option<String>,
    /// A digest of method, path and body, to tell a second try from a
    /// different request under the same key.
    pub fingerprint: String,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A generation by an engine.
    Generate(GenerateWork),
    /// A call of a plain service.
    Call(CallWork),
}

/// A request at the door.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Names the caller in the driver.
    pub caller: CallerKey,
    /// The workspace, under the bundle in force.
    pub workspace: WorkspaceKey,
    /// What is asked for.
    pub work: Work,
    /// Identifies its content, alike for all its tries; `None` if its body is passed
    /// on unread.
    pub content: Option<Fingerprint>,
    /// The priority asked for, bounded by the workspace's.
    pub priority: Option<u8>,
    /// The timeout asked for, bounded by the bundle.
    pub timeout_ms: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is whole.
    Complete {
        /// Tokens of the prompt, as the engine counted them.
        prompt_tokens: Tokens,
        /// Tokens of it found in the engine's cache.
        cached_tokens: Tokens,
        /// Tokens of the whole answer.
        completion_tokens: u32,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The backend refused it before any work.
    Refused {
        /// The refusal's code.
        code: String,
    },
    /// The stream broke, or the answer can't be read.
    Broken,
}

/// A row of the platform's table as a claim sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// The token of the attempt that owns it.
    pub token: String,
    /// Whether its outcome is stored.
    pub done: bool,
    /// A digest of the request it was made for.
    pub fingerprint: String,
}

/// What is known of a claim after a write or a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The row as it stands; the write took effect if its token is ours.
    Row(ClaimRow),
    /// There is no row.
    NoRow,
    /// The store did not answer; the write may have taken effect.
    NoAnswer,
}

/// What kind of backend server it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// A model engine; its load report names its models.
    Engine,
    /// A server of a plain service.
    Service(String),
}

/// A backend server, as the VM list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Its number.
    pub id: ServerId,
    /// What it is.
    pub kind: ServerKind,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Another entry VM, as the VM list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// Its number.
    pub vm: VmId,
    /// Where its callers connect.
    pub caller_address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Comes every few milliseconds.
    Tick,
    /// A bundle came into force.
    Bundle(Arc<Bundle>),
    /// The VM list was read.
    VmList {
        /// Backend servers.
        servers: Vec<ServerRecord>,
        /// Entries, this one among them.
        entries: Vec<PeerRecord>,
    },
    /// A request arrived.
    Arrive(Box<Arrival>),
    /// A caller went away.
    CallerGone(RequestKey),
    /// A frame with tokens came.
    Frame {
        /// The request it was read for.
        request: RequestKey,
        /// The id that stands in the frame.
        id: RequestId,
        /// The attempt that stands in the frame.
        attempt: Attempt,
        /// The place of its first token in the answer.
        offset: u32,
        /// How many tokens it carries.
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
        /// How.
        end: AttemptEnd,
    },
    /// An engine reported its load.
    Load {
        /// The server.
        server: ServerId,
        /// The report.
        report: Box<LoadReport>,
    },
    /// A server did not answer when asked for its load.
    LoadFailed(ServerId),
    /// An engine listed what it holds.
    Holdings {
        /// The server.
        server: ServerId,
        /// All it holds.
        holdings: Vec<Holding>,
    },
    /// An engine published changes of its cache.
    Cache {
        /// The server.
        server: ServerId,
        /// The changes.
        events: CacheEvents,
    },
    /// An engine confirmed a cancel, or failed to.
    CancelEnded {
        /// The server.
        server: ServerId,
        /// The request.
        id: RequestId,
        /// Whether it was confirmed.
        confirmed: bool,
    },
    /// The platform's table answered about a claim.
    Claim {
        /// The request.
        request: RequestKey,
        /// What is known.
        answer: ClaimAnswer,
    },
    /// The release of an abandoned claim was confirmed, or not.
    ClaimReleased {
        /// The key.
        key: String,
        /// Whether the table confirmed it.
        confirmed: bool,
    },
    /// The table answered about the order lease.
    Lease {
        /// The row as it is now.
        row: Option<LeaseRow>,
        /// Whether a write of this node just made it so.
        applied: bool,
    },
    /// The table did not answer about the order lease.
    LeaseUnanswered,
    /// An order ended.
    OrderEnded {
        /// The engine.
        server: ServerId,
        /// Whether the engine took it, or may take it when given again.
        accepted: bool,
    },
    /// A peer sent a message.
    Peer {
        /// The peer, as it proved itself.
        from: VmId,
        /// The message.
        message: PeerMessage,
    },
    /// The daemon was told to stop.
    Drain,
}

impl Event {
    /// Returns the name of the kind of event, for traces.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Tick => "tick",
            Self::Bundle(_) => "bundle",
            Self::VmList { .. } => "vm_list",
            Self::Arrive(_) => "arrive",
            Self::CallerGone(_) => "caller_gone",
            Self::Frame { .. } => "frame",
            Self::SegmentReady { .. } => "segment_ready",
            Self::AttemptEnded { .. } => "attempt_ended",
            Self::Load { .. } => "load",
            Self::LoadFailed(_) => "load_failed",
            Self::Holdings { .. } => "holdings",
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
