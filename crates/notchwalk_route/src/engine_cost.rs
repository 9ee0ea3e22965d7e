//! Cost model of an engine, from its configured parameters.
//!
//! While any request decodes, an engine step consists of
//! [`EngineParameters::decode_steps_per_engine_step`] token steps, which also prefill
//! waiting prompts. Each engine step emits one event per stream. All times are in
//! milliseconds.

use crate::EngineParameters;

/// Computes the cost of work on an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineCost<'a> {
    parameters: &'a EngineParameters,
}

impl<'a> EngineCost<'a> {
    /// Creates the cost model of an engine with these parameters.
    pub fn new(parameters: &'a EngineParameters) -> Self {
        Self { parameters }
    }

    /// Returns the time to prefill `tokens` of a prompt of `total` tokens: the cost of these
    /// tokens and their share of the attention cost.
    pub fn prefill_ms(&self, tokens: f64, total: f64) -> f64 {
        if total <= 0.0 {
            return 0.0;
        }
        let pairs_in_millions = total * total / 2.0 / 1e6;
        let pairs_ms = pairs_in_millions * self.parameters.pair_ms_per_million;
        tokens / self.parameters.prefill_tokens_per_ms + pairs_ms * tokens / total
    }

    /// Returns the duration of an engine step without prefill, for `decoding` requests with
    /// `context_tokens` of context in total.
    pub fn engine_step_ms(&self, decoding: usize, context_tokens: f64) -> f64 {
        let p = self.parameters;
        let sequences = decoding as f64 * p.sequence_ms;
        let context = context_tokens / 1_000.0 * p.context_ms_per_k;
        p.decode_steps_per_engine_step * (p.decode_step_ms + sequences + context)
    }

    /// Returns the time that a request adds to each engine step of its decode.
    pub fn decode_ms_per_step(&self, context_tokens: f64) -> f64 {
        self.engine_step_ms(1, context_tokens) - self.engine_step_ms(0, 0.0)
    }
}
