//! Re-exports of the most used message types.

pub use crate::{
    ApiError, EngineFrame, ExecutionOutcome, GenerateRequest, Heartbeat, LoadReport, PeerMessage,
    Prompt, Usage, VmKind, VmRecord, VmState,
};
