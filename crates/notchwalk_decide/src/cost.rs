//! Cost estimates for each model: engine time for prefill and decode, lengths of
//! completions, and bytes per token.

use hdrhistogram::Histogram;
use notchwalk_core::Tokens;

use crate::event::GenerateWork;

/// Weight of a new observation in the moving averages.
const EWMA_WEIGHT: f64 = 0.05;
/// Number of completions between two updates of the percentile.
const REFRESH_INTERVAL_COMPLETIONS: u32 = 64;
/// Number of completions after which the histogram is cleared, so that old
/// lengths expire.
const MAX_HISTOGRAM_COMPLETIONS: u64 = 4_096;
/// The quantile of completion lengths to reserve memory for.
const RESERVED_QUANTILE: f64 = 0.95;
/// The cost of a call of a plain service, in microseconds.
const CALL_COST_US: u64 = 1_000;

/// The cost estimates of one model.
#[derive(Debug)]
pub(crate) struct CostModel {
    prefill_token_us: f64,
    decode_token_us: f64,
    bytes_per_token: f64,
    completion_lengths: Histogram<u32>,
    since_refresh: u32,
    completion_p95: Option<u32>,
    completion_mean: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        const MAX_COMPLETION_TOKENS: u64 = 1 << 22;
        const SIGNIFICANT_DIGITS: u8 = 2;
        let completion_lengths = Histogram::new_with_max(MAX_COMPLETION_TOKENS, SIGNIFICANT_DIGITS);
        Self {
            prefill_token_us: 40.0,
            decode_token_us: 200.0,
            bytes_per_token: 4.0,
            completion_lengths: completion_lengths.expect("the bounds are valid"),
            since_refresh: 0,
            completion_p95: None,
            completion_mean: 128.0,
        }
    }
}

impl CostModel {
    /// Records the token times that an engine reports, in nanoseconds per
    /// token.
    pub fn record_token_times(&mut self, prefill_token_ns: u64, decode_token_ns: u64) {
        let update = |mean: &mut f64, observed_ns: u64| {
            *mean += EWMA_WEIGHT * (observed_ns as f64 / 1_000.0 - *mean);
        };
        update(&mut self.prefill_token_us, prefill_token_ns);
        update(&mut self.decode_token_us, decode_token_ns);
    }

    /// Records the length of a completion.
    pub fn record_completion(&mut self, completion_tokens: u32) {
        self.completion_lengths
            .saturating_record(u64::from(completion_tokens));
        self.completion_mean += EWMA_WEIGHT * (f64::from(completion_tokens) - self.completion_mean);
        self.since_refresh += 1;
        if self.since_refresh < REFRESH_INTERVAL_COMPLETIONS && self.completion_p95.is_some() {
            return;
        }
        self.since_refresh = 0;
        self.completion_p95 =
            Some(self.completion_lengths.value_at_quantile(RESERVED_QUANTILE) as u32);
        if self.completion_lengths.len() > MAX_HISTOGRAM_COMPLETIONS {
            self.completion_lengths.reset();
        }
    }

    /// Records the size of a prompt whose tokens were counted.
    pub fn record_prompt_size(&mut self, bytes: usize, tokens: Tokens) {
        if tokens < 16 {
            return;
        }
        let bytes_per_token = bytes as f64 / tokens as f64;
        self.bytes_per_token +=
            EWMA_WEIGHT * (bytes_per_token.clamp(0.5, 16.0) - self.bytes_per_token);
    }

    /// Estimates the number of tokens in a text of `bytes` bytes.
    pub fn estimate_tokens(&self, bytes: usize) -> Tokens {
        (bytes as f64 / self.bytes_per_token).ceil() as Tokens
    }

    /// Returns the completion length to reserve memory for, in tokens.
    pub fn reserved_completion(&self, max_tokens: u32) -> u32 {
        self.completion_p95.unwrap_or(max_tokens).min(max_tokens)
    }

    /// Estimates the cost of a generation, in microseconds.
    pub fn generation_us(&self, work: &GenerateWork) -> u64 {
        self.expected_us(work.prompt_tokens, work.max_tokens)
    }

    /// Estimates the cost of prefilling `prompt_tokens` and decoding at most
    /// `max_tokens`, in microseconds.
    pub fn expected_us(&self, prompt_tokens: Tokens, max_tokens: u32) -> u64 {
        let completion = self.completion_mean.min(f64::from(max_tokens));
        let prompt = prompt_tokens as f64 * self.prefill_token_us;
        (prompt + completion * self.decode_token_us) as u64 + 1
    }

    /// Returns the cost of a call, in microseconds.
    pub fn call_us() -> u64 {
        CALL_COST_US
    }

    /// Returns the cost of finished work, in microseconds.
    pub fn actual_us(&self, prefilled_tokens: Tokens, completion_tokens: u32) -> u64 {
        let prompt = prefilled_tokens as f64 * self.prefill_token_us;
        (prompt + f64::from(completion_tokens) * self.decode_token_us) as u64 + 1
    }

    /// Estimates the time to prefill a prompt on an idle engine, in
    /// microseconds.
    pub fn prefill_us(&self, tokens: Tokens) -> u64 {
        (tokens as f64 * self.prefill_token_us) as u64
    }
}
