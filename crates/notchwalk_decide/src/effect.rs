//! Everything a node can ask its driver to do.

use notchwalk_core::{Attempt, LogEvent, RequestId, ServerId, Tokens, VmId};
use notchwalk_wire::{OutcomeWord, PeerMessage, WantedState};

use crate::{
    orders::LeaseRow,
    request::{CallerKey, RequestKey},
};

/// Sends an attempt to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestKey,
    /// The attempt.
    pub attempt: Attempt,
    /// The server.
    pub server: ServerId,
    /// The first token wanted; more than 0 resumes.
    pub offset: u32,
    /// The priority on the engine.
    pub priority: u8,
    /// How long the attempt may still take, in milliseconds.
    pub timeout_ms: u64,
}

/// Has a server compute and hold one segment of a huge prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentOrder {
    /// The request.
    pub request: RequestKey,
    /// The attempt.
    pub attempt: Attempt,
    /// The server.
    pub server: ServerId,
    /// The first token.
    pub from: Tokens,
    /// The token after the last.
    pub to: Tokens,
    /// How long the segment may take, in milliseconds.
    pub timeout_ms: u64,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureCode {
    /// No bundle is in force yet.
    NotReady,
    /// The daemon drains and takes no more.
    Draining,
    /// The entry holds as many requests as it may.
    EntryFull,
    /// The workspace has as many requests waiting as it may.
    WorkspaceQueueFull,
    /// The deadline could not be met.
    DeadlineTooClose,
    /// The prompt with its answer exceeds the model's context.
    ContextExceeded,
    /// No server serves what was asked for.
    NoServer,
    /// The deadline passed.
    TimedOut,
    /// Too many attempts failed.
    BackendFailed,
    /// A call that may not be repeated failed after it was sent.
    CallFailed,
    /// The store did not answer, so the call was not sent.
    StoreUnavailable,
    /// A call with the same idempotency key still runs.
    StillRunning,
    /// A call with the same idempotency key was made; its outcome is unknown.
    OutcomeUnknown,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The caller went away.
    CallerGone,
    /// Servers ended under requests of its content; whether by its fault is not known
    /// yet.
    Suspected,
    /// Requests of its content crash their servers: it is sent to none for a while.
    Quarantined,
}

/// A request's failure, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub code: FailureCode,
    /// Whether the request ran.
    pub outcome: OutcomeWord,
    /// When to come back, in milliseconds, for failures that may pass; for a
    /// quarantined request, when that ends.
    pub retry_after_ms: Option<u64>,
}

/// A whole answer's counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Completion {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    pub completion_tokens: Tokens,
    /// Attempts it took.
    pub attempts: u16,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The caller's request was admitted under this key and id.
    Admitted {
        /// The caller.
        caller: CallerKey,
        /// The key.
        request: RequestKey,
        /// The id.
        id: RequestId,
    },
    /// The caller's request was refused; it did not run.
    Refuse {
        /// The caller.
        caller: CallerKey,
        /// Why.
        failure: Failure,
    },
    /// Send an attempt.
    Dispatch(Dispatch),
    /// Have a segment computed.
    Segment(SegmentOrder),
    /// Pass tokens of the frame at hand to the caller.
    Deliver {
        /// The request.
        request: RequestKey,
        /// Tokens of the frame to pass over.
        skip: u32,
    },
    /// The request is over.
    Finish {
        /// The request.
        request: RequestKey,
        /// How.
        result: Result<Completion, Failure>,
    },
    /// The call's stored outcome answers the request, which is over.
    FinishStored {
        /// The request.
        request: RequestKey,
        /// The idempotency row.
        key: String,
    },
    /// End an engine's work for a request and have the end confirmed.
    Cancel {
        /// The server.
        server: ServerId,
        /// The request.
        id: RequestId,
        /// Attempts up to this one.
        up_to: Attempt,
    },
    /// Ask an engine what it holds.
    AskHoldings(ServerId),
    /// Write a claim, if there is none under its key.
    ClaimInsert {
        /// The request.
        request: RequestKey,
        /// The row's key.
        key: String,
        /// The token that makes it ours.
        token: String,
        /// The digest of the call.
        fingerprint: String,
    },
    /// Read a claim whose write was not answered.
    ClaimRead {
        /// The request.
        request: RequestKey,
        /// The row's key.
        key: String,
    },
    /// Delete a claim of ours for a call that was not sent and never will be.
    ClaimRelease {
        /// The row's key.
        key: String,
        /// The token that makes it ours.
        token: String,
        /// The digest of the call.
        fingerprint: String,
    },
    /// Read the order lease's row.
    LeaseRead,
    /// Write the order lease's row, if it still is as expected.
    LeaseWrite {
        /// The row as it must be.
        expected: Option<LeaseRow>,
        /// The row to write.
        row: LeaseRow,
    },
    /// Give an engine an order, if the lease still holds right before.
    Order {
        /// The engine.
        server: ServerId,
        /// The fencing number.
        fence: u64,
        /// What is wanted.
        wanted: WantedState,
    },
    /// Send a message to a peer.
    Peer {
        /// The peer.
        to: VmId,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Log an event.
    Log(LogEvent),
    /// All work is done after a drain; end.
    Stop,
}
