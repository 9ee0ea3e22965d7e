//! The effects of a node's decisions, which its driver executes.

use notchwalk_core::{Attempt, LogEvent, RequestId, ServerId, Tokens, VmId};
use notchwalk_wire::{DesiredState, ExecutionOutcome, PeerMessage};

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
    /// The first token to deliver; above 0 for a resumed completion.
    pub offset: u32,
    /// The priority on the engine.
    pub priority: u8,
    /// The remaining time of the attempt, in milliseconds.
    pub timeout_ms: u64,
}

/// Prefills one segment of a huge prompt on a server, which retains it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentPrefill {
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
    /// The time limit of the segment, in milliseconds.
    pub timeout_ms: u64,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureCode {
    /// No bundle is active yet.
    NotReady,
    /// The daemon is draining and refuses new requests.
    Draining,
    /// The node has reached its limit of open requests.
    NodeFull,
    /// The workspace has reached its limit of queued requests.
    WorkspaceQueueFull,
    /// The deadline could not be met.
    DeadlineTooClose,
    /// Prompt and completion exceed the model's context.
    ContextExceeded,
    /// No server serves the requested model or service.
    NoServer,
    /// The deadline passed.
    TimedOut,
    /// Too many attempts failed.
    BackendFailed,
    /// A call that must not be repeated failed after it was sent.
    CallFailed,
    /// The platform's table did not respond, so the call was not sent.
    StoreUnavailable,
    /// A call with the same idempotency key is still running.
    CallInProgress,
    /// A call with the same idempotency key was made; its outcome is unknown.
    OutcomeUnknown,
    /// The idempotency key was used for a different request.
    IdempotencyKeyReused,
    /// The caller disconnected.
    CallerDisconnected,
    /// Servers failed while running requests with this content; whether the
    /// content caused it is not known yet.
    Suspected,
    /// Requests with this content crash their servers; it is not sent until the
    /// quarantine ends.
    Quarantined,
}

/// A request's failure, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The reason.
    pub code: FailureCode,
    /// Whether the request ran, if known.
    pub outcome: ExecutionOutcome,
    /// Delay before the caller's next attempt, in milliseconds, for temporary
    /// failures; the remaining quarantine for quarantined requests.
    pub retry_after_ms: Option<u64>,
}

/// The counts of a completed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Completion {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the completion.
    pub completion_tokens: Tokens,
    /// Attempts made.
    pub attempts: u16,
}

/// An output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A request was admitted.
    Admitted {
        /// The caller.
        caller: CallerKey,
        /// The request's key.
        request: RequestKey,
        /// The request's id.
        id: RequestId,
    },
    /// A request was refused; it did not run.
    Refuse {
        /// The caller.
        caller: CallerKey,
        /// The reason.
        failure: Failure,
    },
    /// Send an attempt.
    Dispatch(Dispatch),
    /// Prefill a segment.
    Segment(SegmentPrefill),
    /// Deliver tokens of the current frame to the caller.
    Deliver {
        /// The request.
        request: RequestKey,
        /// Tokens at the start of the frame to skip.
        skip: u32,
    },
    /// The request ended.
    Finish {
        /// The request.
        request: RequestKey,
        /// The result.
        result: Result<Completion, Failure>,
    },
    /// The request ended; its response is the call's stored outcome.
    FinishStored {
        /// The request.
        request: RequestKey,
        /// The key of the idempotency row.
        key: String,
    },
    /// Cancel a request on an engine and wait for the confirmation.
    Cancel {
        /// The server.
        server: ServerId,
        /// The request.
        id: RequestId,
        /// The last attempt to cancel; earlier ones are included.
        up_to: Attempt,
    },
    /// Query the memory that an engine holds.
    QueryAllocations(ServerId),
    /// Write a claim, if there is none under its key.
    ClaimInsert {
        /// The request.
        request: RequestKey,
        /// The row's key.
        key: String,
        /// The token that marks this request as the owner.
        token: String,
        /// The digest of the call.
        fingerprint: String,
    },
    /// Read a claim whose write got no response.
    ClaimRead {
        /// The request.
        request: RequestKey,
        /// The row's key.
        key: String,
    },
    /// Delete a claim whose call was not sent and never will be.
    ClaimRelease {
        /// The row's key.
        key: String,
        /// The token that marks this request as the owner.
        token: String,
        /// The digest of the call.
        fingerprint: String,
    },
    /// Read the order lease's row.
    LeaseRead,
    /// Write the order lease's row, if it is unchanged.
    LeaseWrite {
        /// The expected row.
        expected: Option<LeaseRow>,
        /// The row to write.
        row: LeaseRow,
    },
    /// Send an order to an engine, if the lease is still held.
    Order {
        /// The engine.
        server: ServerId,
        /// The fencing token.
        fencing_token: u64,
        /// The desired state.
        desired: DesiredState,
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
    /// The drain is complete; stop the daemon.
    Stop,
}
