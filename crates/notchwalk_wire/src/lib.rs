//! Message types of the APIs for callers, engines, the platform and peers: JSON for external
//! APIs, CBOR between nodes.

mod caller;
mod cbor;
mod engine;
mod peer;
mod platform;

pub mod prelude;

pub use caller::{
    ApiError, ApiErrorBody, ChatMessage, ChatRequest, CompletionRequest, ExecutionOutcome,
    ModelInfo, ModelList, NodeInfo, NodeList, PromptInput, StopInput, StreamOptions, Usage,
};
pub use cbor::{from_cbor, to_cbor, CborError};
pub use engine::{
    Allocation, Allocations, CacheEvent, CacheEvents, CancelRequest, CancelResponse, DesiredState,
    EngineFinish, EngineFrame, EngineRejection, GenerateRequest, LoadReport, LoadedModel,
    OrderRequest, OrderResponse, Prompt, SegmentRequest, SegmentResponse,
};
pub use peer::{
    Heartbeat, LongReply, LongReplyKind, LongRequest, LongRequestKind, LongReservation,
    PeerContact, PeerMessage, ServedCost, ServerShare,
};
pub use platform::{
    Condition, Row, TableOp, TableRead, TableReadResponse, TableTransaction,
    TableTransactionResponse, VmKind, VmRecord, VmState,
};
