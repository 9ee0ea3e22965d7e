//! Faults that a stand-in engine takes on request.

use serde::{Deserialize, Serialize};

/// What is wrong with an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Everything takes this many times longer.
    Slow(f64),
    /// Every frame comes this many milliseconds late.
    Late(u64),
    /// Connections are closed without an answer, and its memory is lost.
    Dead,
    /// Connections stay open, but nothing happens.
    Hung,
    /// Every stream is cut after this many tokens.
    CutAfter(u32),
    /// Frames of other requests and of older attempts are mixed into streams.
    Crossed,
    /// All new work is refused as overloaded.
    Refusing,
}
