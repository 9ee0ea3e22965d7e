//! Infrastructure shared by the daemons of notchwalk: settings, logs, metrics, sockets,
//! process start and signals, retry delays, and detection of machine suspensions.
//!
//! | file | contents |
//! |---|---|
//! | `settings` | reads a settings file and collects all findings |
//! | `log_sink` | non-blocking log lines |
//! | `metrics` | registry of Prometheus metrics |
//! | `listen` | binds listening sockets |
//! | `process` | runtime, boot numbers, signals |
//! | `file_limit` | limit of open files |
//! | `suspension` | detects suspensions of the machine |
//! | `backoff` | retry delays with jitter |
//! | `wake` | notification between tasks of one thread |
//!
//! Connections between peers, the operators' interface and the polling of store tables are
//! implemented by each daemon (see docs/DESIGN.md).

mod backoff;
mod error;
mod eviction_log;
mod file_limit;
mod listen;
pub mod log_sink;
mod metrics;
mod process;
pub mod settings;
mod stall;
mod suspension;
mod wake;

pub mod prelude;

pub use backoff::Backoff;
pub use error::DaemonError;
pub use eviction_log::EvictionLog;
pub use file_limit::raise_file_limit;
pub use listen::bind;
pub use log_sink::start_logging;
pub use metrics::MetricSet;
pub use process::{block_on, boot_number, Signals};
pub use stall::StallWatch;
pub use suspension::SuspensionWatch;
pub use wake::Wake;
