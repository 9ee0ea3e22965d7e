//! What any daemon of notchwalk needs besides its decisions: settings, logs, metrics,
//! sockets, the process's start and signals, pauses between tries, and the notice that
//! the machine was suspended.
//!
//! | file | its job |
//! |---|---|
//! | `settings` | reads a settings file, with all findings at once |
//! | `log_sink` | log lines that never block the process |
//! | `metrics` | a registry whose parts register what they add |
//! | `listen` | binds addresses; port 0 lets the system choose |
//! | `process` | the runtime, boot numbers, signals |
//! | `file_limit` | the limit of open files |
//! | `suspension` | notices that the machine was suspended |
//! | `backoff` | pauses between tries, so that daemons don't retry in step |
//! | `wake` | one task wakes another of its thread |
//!
//! Limitations: links between daemons, the operators' interface and the watch of tables
//! are still those of each daemon (docs/DESIGN.md has what stands twice).

mod backoff;
mod error;
mod file_limit;
mod listen;
pub mod log_sink;
mod metrics;
mod process;
pub mod settings;
mod suspension;
mod wake;

pub mod prelude;

pub use backoff::Backoff;
pub use error::DaemonError;
pub use file_limit::raise_file_limit;
pub use listen::bind;
pub use log_sink::start_logging;
pub use metrics::MetricSet;
pub use process::{block_on, boot_number, Signals};
pub use suspension::SuspensionWatch;
pub use wake::Wake;
