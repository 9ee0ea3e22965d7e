//! How a stand-in engine behaves.

use std::time::Duration;

use notchwalk_core::{ServerId, Tokens};
use notchwalk_wire::LoadedModel;

/// An engine's properties. Times are those of a real engine; `time_scale`
/// makes all of them shorter.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Its number in the VM list.
    pub id: ServerId,
    /// KV memory, in tokens.
    pub capacity_tokens: Tokens,
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens computed in one step at the most.
    pub step_budget: Tokens,
    /// The time of an empty step.
    pub step_base: Duration,
    /// The time of one prompt token.
    pub prompt_token: Duration,
    /// The time of one answer token.
    pub answer_token: Duration,
    /// How many times faster than real the engine runs.
    pub time_scale: f64,
    /// How old a load report is when it is given.
    pub report_lag: Duration,
    /// How old a cache event is when it is published.
    pub cache_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// What is loaded at the start.
    pub loaded: Vec<LoadedModel>,
}

impl EngineConfig {
    /// Builds the usual engine: 400,000 tokens of memory, 18,000 prompt tokens
    /// a second, 28 ms a step at most.
    pub fn new(id: ServerId, loaded: Vec<LoadedModel>) -> Self {
        Self {
            id,
            capacity_tokens: 400_000,
            slots: 64,
            step_budget: 512,
            step_base: Duration::from_micros(8_000),
            prompt_token: Duration::from_micros(40),
            answer_token: Duration::from_micros(100),
            time_scale: 1.0,
            report_lag: Duration::from_millis(100),
            cache_lag: Duration::from_millis(300),
            checks_fence: true,
            loaded,
        }
    }

    /// Sets how many times faster than real the engine runs.
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    /// Sets the memory, in tokens.
    pub fn with_capacity(mut self, tokens: Tokens) -> Self {
        self.capacity_tokens = tokens;
        self
    }

    /// Sets whether fencing numbers are checked.
    pub fn with_checks_fence(mut self, checks: bool) -> Self {
        self.checks_fence = checks;
        self
    }

    /// Returns a real duration as it passes on this engine.
    pub fn scaled(&self, real: Duration) -> Duration {
        real.div_f64(self.time_scale)
    }

    /// Returns the tokens of so many bytes of text.
    pub fn tokens_of_bytes(bytes: usize) -> Tokens {
        const BYTES_PER_TOKEN: usize = 4;
        bytes.div_ceil(BYTES_PER_TOKEN).max(1) as Tokens
    }
}
