//! The names that users of the messages need most.

pub use crate::{
    ApiError, EngineFrame, GenerateRequest, Heartbeat, LoadReport, OutcomeWord, PeerMessage,
    Prompt, Usage, VmKind, VmRecord, VmState,
};
