//! Ids, time, token counts, findings and numbered log events shared by every
//! notchwalk crate. Nothing here does I/O.

mod finding;
mod id;
mod log_event;
mod time;

pub mod prelude;

pub use finding::{Finding, Findings};
pub use id::{leading_u64, Attempt, BootNumber, RequestId, ServerId, VmId, ID_TEXT_ERROR};
pub use log_event::{LogEvent, LogEventKind, ALL_LOG_EVENTS};
pub use time::{Clock, Instant, TimeSource};

/// Number of model tokens.
pub type Tokens = u64;
