//! The types that nearly all crates of the workspace use.

pub use crate::{
    Attempt, BootNumber, Finding, Findings, Instant, LogEvent, LogEventKind, RequestId, ServerId,
    Tokens, VmId,
};
