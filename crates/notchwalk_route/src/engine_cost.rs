//! What work costs on a model engine, worked out from its operator's figures.
//!
//! An engine works in passes. While any request generates, a pass plays
//! [`EngineParameters::steps_per_pass`] token steps and reads the prompts that
//! wait within the same steps; each event of a stream is one pass. All times
//! are in milliseconds.

use crate::EngineParameters;

/// Prices work by an engine's figures.
#[derive(Clone, Copy, Debug)]
pub struct EngineCost<'a> {
    parameters: &'a EngineParameters,
}

impl<'a> EngineCost<'a> {
    /// Prices work by these figures.
    pub fn new(parameters: &'a EngineParameters) -> Self {
        Self { parameters }
    }

    /// Returns the time to read `tokens` of a prompt of `whole` tokens: its own
    /// tokens and its share of the prompt's pairs.
    pub fn read_ms(&self, tokens: f64, whole: f64) -> f64 {
        if whole <= 0.0 {
            return 0.0;
        }
        let pairs_in_millions = whole * whole / 2.0 / 1e6;
        let pairs_ms = pairs_in_millions * self.parameters.pair_ms_per_million;
        tokens / self.parameters.read_tokens_per_ms + pairs_ms * tokens / whole
    }

    /// Returns the time of a pass without any reading, for `writers` generating
    /// requests with `context_tokens` of context in all.
    pub fn pass_ms(&self, writers: usize, context_tokens: f64) -> f64 {
        let p = self.parameters;
        let sequences = writers as f64 * p.sequence_ms;
        let context = context_tokens / 1_000.0 * p.context_ms_per_k;
        p.steps_per_pass * (p.step_ms + sequences + context)
    }

    /// Returns the time that one request adds to each pass it generates in.
    pub fn writer_ms(&self, context_tokens: f64) -> f64 {
        self.pass_ms(1, context_tokens) - self.pass_ms(0, 0.0)
    }
}
