//! The names that nearly every crate of the workspace needs.

pub use crate::{
    Attempt, BootNumber, Finding, Findings, Instant, LogEvent, LogEventKind, RequestId, ServerId,
    Tokens, VmId,
};
