//! Faults that can be injected into a stand-in engine.

use serde::{Deserialize, Serialize};

/// A fault of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Steps take this many times longer.
    Slow(f64),
    /// Frames are delayed by this many milliseconds.
    #[serde(rename = "late")]
    DelayedFrames(u64),
    /// Connections are closed without a response, and all memory is lost.
    Dead,
    /// Connections stay open without a response, and no steps run.
    Hung,
    /// Streams are aborted after this many frames.
    CutAfter(u32),
    /// Streams contain frames of other requests and of older attempts.
    #[serde(rename = "crossed")]
    MisroutedFrames,
    /// New requests are rejected as overloaded.
    #[serde(rename = "refusing")]
    Overloaded,
}
