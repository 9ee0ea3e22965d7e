//! Message types of the APIs for callers, engines, the platform and peers: JSON for external
//! APIs, CBOR between nodes.

mod caller;
mod cbor;
mod engine;
mod peer;
mod platform;

pub mod prelude;

pub use caller::{
    ApiError, ApiErrorBody, ChatMessage, ChatRequest, CompletionRequest, EntriesAnswer, EntryInfo,
    ModelInfo, ModelList, OutcomeWord, PromptInput, StopInput, StreamOptions, Usage,
};
pub use cbor::{from_cbor, to_cbor, CborError};
pub use engine::{
    CacheEvent, CacheEvents, CancelAnswer, CancelRequest, EngineFinish, EngineFrame, EngineRefusal,
    GenerateRequest, Holding, Holdings, LoadReport, LoadedModel, OrderAnswer, OrderRequest, Prompt,
    SegmentAnswer, SegmentRequest, WantedState,
};
pub use peer::{
    Heard, Heartbeat, LongHold, LongReply, LongReplyKind, LongRequest, LongRequestKind,
    PeerMessage, ServedCost, ServerShare,
};
pub use platform::{
    Condition, Row, TableOp, TableRead, TableReadAnswer, TableTransaction, TableTransactionAnswer,
    VmKind, VmRecord, VmState,
};
