//! Commonly used names of this crate.

pub use crate::{block_on, start_logging, DaemonError, MetricSet, Signals};
