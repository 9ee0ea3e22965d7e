//! Ids, time, token counts, validation findings and numbered log events, shared by all
//! notchwalk crates. This crate does no I/O.

mod finding;
mod id;
mod log_event;
mod time;

pub mod prelude;

pub use finding::{Finding, Findings};
pub use id::{leading_u64, Attempt, BootNumber, RequestId, ServerId, VmId, REQUEST_ID_ERROR};
pub use log_event::{LogEvent, LogEventKind, ALL_LOG_EVENTS};
pub use time::{Clock, Instant, TimeSource};

/// A number of model tokens.
pub type Tokens = u64;
