//! Re-exports of the most used message types.

pub use crate::{
    ApiError, EngineFrame, GenerateRequest, Heartbeat, LoadReport, OutcomeWord, PeerMessage,
    Prompt, Usage, VmKind, VmRecord, VmState,
};
