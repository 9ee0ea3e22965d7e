//! What work costs: engine time of prompt and answer tokens, the length of
//! answers and the bytes of a token, each learned for each model.

use hdrhistogram::Histogram;
use notchwalk_core::Tokens;

use crate::event::GenerateWork;

/// Weight of a new observation in the running means.
const NEW_WEIGHT: f64 = 0.05;
/// Answers after which the percentile is taken anew.
const REFRESH_EVERY: u32 = 64;
/// Answers after which the older half of what was learned is forgotten.
const FORGET_AFTER: u64 = 4_096;
/// The answer length that is held for, as a quantile.
const HELD_QUANTILE: f64 = 0.95;
/// The cost of a call of a plain service, in microseconds.
const CALL_COST_US: u64 = 1_000;

/// What is known about a model's costs.
#[derive(Debug)]
pub(crate) struct CostModel {
    prompt_token_us: f64,
    answer_token_us: f64,
    bytes_per_token: f64,
    answers: Histogram<u32>,
    since_refresh: u32,
    answer_p95: Option<u32>,
    answer_mean: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        const MAX_ANSWER: u64 = 1 << 22;
        const DIGITS: u8 = 2;
        let answers = Histogram::new_with_max(MAX_ANSWER, DIGITS);
        Self {
            prompt_token_us: 40.0,
            answer_token_us: 200.0,
            bytes_per_token: 4.0,
            answers: answers.expect("the bounds are valid"),
            since_refresh: 0,
            answer_p95: None,
            answer_mean: 128.0,
        }
    }
}

impl CostModel {
    /// Learns from what an engine reports, in nanoseconds a token.
    pub fn learn_times(&mut self, prompt_token_ns: u64, answer_token_ns: u64) {
        let learn = |mean: &mut f64, seen_ns: u64| {
            *mean += NEW_WEIGHT * (seen_ns as f64 / 1_000.0 - *mean);
        };
        learn(&mut self.prompt_token_us, prompt_token_ns);
        learn(&mut self.answer_token_us, answer_token_ns);
    }

    /// Learns from a whole answer.
    pub fn learn_answer(&mut self, completion_tokens: u32) {
        self.answers.saturating_record(u64::from(completion_tokens));
        self.answer_mean += NEW_WEIGHT * (f64::from(completion_tokens) - self.answer_mean);
        self.since_refresh += 1;
        if self.since_refresh < REFRESH_EVERY && self.answer_p95.is_some() {
            return;
        }
        self.since_refresh = 0;
        self.answer_p95 = Some(self.answers.value_at_quantile(HELD_QUANTILE) as u32);
        if self.answers.len() > FORGET_AFTER {
            self.answers.reset();
        }
    }

    /// Learns how many bytes a token has from a counted prompt.
    pub fn learn_bytes(&mut self, bytes: usize, tokens: Tokens) {
        if tokens < 16 {
            return;
        }
        let seen = bytes as f64 / tokens as f64;
        self.bytes_per_token += NEW_WEIGHT * (seen.clamp(0.5, 16.0) - self.bytes_per_token);
    }

    /// Estimates the tokens of so many bytes of text.
    pub fn tokens_of(&self, bytes: usize) -> Tokens {
        (bytes as f64 / self.bytes_per_token).ceil() as Tokens
    }

    /// Returns the answer's length to hold memory for.
    pub fn held_answer(&self, max_tokens: u32) -> u32 {
        self.answer_p95.unwrap_or(max_tokens).min(max_tokens)
    }

    /// Estimates the cost of a generation, in microseconds.
    pub fn generate_us(&self, work: &GenerateWork) -> u64 {
        self.expected_us(work.prompt_tokens, work.max_tokens)
    }

    /// Estimates the cost of so many prompt tokens and an answer of at most
    /// so many, in microseconds.
    pub fn expected_us(&self, prompt_tokens: Tokens, max_tokens: u32) -> u64 {
        let answer = self.answer_mean.min(f64::from(max_tokens));
        let prompt = prompt_tokens as f64 * self.prompt_token_us;
        (prompt + answer * self.answer_token_us) as u64 + 1
    }

    /// Returns the cost of a call, in microseconds.
    pub fn call_us() -> u64 {
        CALL_COST_US
    }

    /// Returns the cost of what was really done, in microseconds.
    pub fn actual_us(&self, computed_prompt: Tokens, answer: u32) -> u64 {
        let prompt = computed_prompt as f64 * self.prompt_token_us;
        (prompt + f64::from(answer) * self.answer_token_us) as u64 + 1
    }

    /// Estimates the time a prompt takes alone on an engine, in microseconds.
    pub fn prompt_us(&self, tokens: Tokens) -> u64 {
        (tokens as f64 * self.prompt_token_us) as u64
    }
}
