//! The names that users of this crate nearly always need.

pub use crate::{block_on, start_logging, DaemonError, MetricSet, Signals};
