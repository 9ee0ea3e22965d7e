//! Common imports for programs that start daemons.

pub use crate::{run_until_stopped, start_in_thread, DaemonSettings, Listeners, RunningDaemon};
