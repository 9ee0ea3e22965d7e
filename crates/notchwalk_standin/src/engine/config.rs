//! Configuration of a stand-in engine.

use std::time::Duration;

use notchwalk_core::{ServerId, Tokens};
use notchwalk_wire::LoadedModel;

/// Configuration of a stand-in engine. Durations are those of a real engine and are divided
/// by `time_scale`.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// VM id.
    pub id: ServerId,
    /// KV memory, in tokens.
    pub capacity_tokens: Tokens,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of tokens computed per step.
    pub step_token_budget: Tokens,
    /// Fixed duration of a step.
    pub step_overhead: Duration,
    /// Prefill duration per prompt token.
    pub prefill_per_token: Duration,
    /// Decode duration per completion token.
    pub decode_per_token: Duration,
    /// Speed-up over real time.
    pub time_scale: f64,
    /// Delay of load reports.
    pub report_lag: Duration,
    /// Delay of cache events.
    pub cache_event_lag: Duration,
    /// Whether orders with a stale fencing token are rejected.
    pub checks_fencing_token: bool,
    /// Models loaded at the start.
    pub loaded: Vec<LoadedModel>,
}

impl EngineConfig {
    /// Returns the default engine: 400,000 tokens of memory, 18,000 prompt tokens per second
    /// and at most 28 ms per prefill step.
    pub fn new(id: ServerId, loaded: Vec<LoadedModel>) -> Self {
        Self {
            id,
            capacity_tokens: 400_000,
            slots: 64,
            step_token_budget: 512,
            step_overhead: Duration::from_micros(8_000),
            prefill_per_token: Duration::from_micros(40),
            decode_per_token: Duration::from_micros(100),
            time_scale: 1.0,
            report_lag: Duration::from_millis(100),
            cache_event_lag: Duration::from_millis(300),
            checks_fencing_token: true,
            loaded,
        }
    }

    /// Sets the speed-up over real time.
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    /// Sets the KV memory, in tokens.
    pub fn with_capacity(mut self, tokens: Tokens) -> Self {
        self.capacity_tokens = tokens;
        self
    }

    /// Sets whether fencing tokens are checked.
    pub fn with_checks_fencing_token(mut self, checks: bool) -> Self {
        self.checks_fencing_token = checks;
        self
    }

    /// Divides a duration of a real engine by the speed-up.
    pub fn scaled(&self, duration: Duration) -> Duration {
        duration.div_f64(self.time_scale)
    }

    /// Returns the number of tokens of a text of `bytes` bytes.
    pub fn tokens_of_bytes(bytes: usize) -> Tokens {
        const BYTES_PER_TOKEN: usize = 4;
        bytes.div_ceil(BYTES_PER_TOKEN).max(1) as Tokens
    }
}
