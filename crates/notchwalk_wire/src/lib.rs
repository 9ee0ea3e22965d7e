//! Message types of the APIs for callers, engines, the platform and peers: JSON for external
//! APIs, CBOR between nodes.

mod caller;
mod caller_input;
mod cbor;
mod engine;
mod peer;
mod platform;

pub mod prelude;

pub use caller::{
    ApiError, ApiErrorBody, ChatRequest, CompletionRequest, ExecutionOutcome, ModelInfo, ModelList,
    NodeInfo, NodeList, StreamOptions, Usage,
};
pub use caller_input::{ChatContent, ChatMessage, PromptInput, StopInput};
pub use cbor::{from_cbor, to_cbor, CborError};
pub use engine::{
    Allocation, Allocations, CacheEvent, CacheEvents, CancelRequest, CancelResponse, DesiredState,
    EngineFinish, EngineFrame, EngineRejection, GenerateRequest, LoadReport, LoadedModel,
    OrderRequest, OrderResponse, Prompt, SamplingParams, SegmentRequest, SegmentResponse,
};
pub use peer::{
    Heartbeat, LongReply, LongReplyKind, LongRequest, LongRequestKind, LongReservation,
    PeerContact, PeerMessage, ServedCost, ServerShare,
};
pub use platform::{
    Condition, Row, TableOp, TableRead, TableReadResponse, TableTransaction,
    TableTransactionResponse, VmKind, VmRecord, VmState,
};
