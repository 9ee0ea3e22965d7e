//! The names that programs starting daemons need.

pub use crate::{run_until_stopped, start_in_thread, DaemonSettings, Listeners, RunningDaemon};
