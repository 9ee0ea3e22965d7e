//! A caller that verifies every completion against the seed of its prompt.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{header, HeaderValue, Method, StatusCode};
use notchwalk_http::prelude::*;
use notchwalk_wire::{ApiError, ExecutionOutcome};
use serde_json::{json, Value};

use crate::completion::CompletionSeed;

/// A completion request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Caller address of the node.
    pub node: SocketAddr,
    /// API key of the workspace.
    pub key: String,
    /// Model name.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum completion length, in tokens.
    pub max_tokens: u32,
    /// Stop sequences.
    pub stop: Vec<String>,
    /// Timeout that the caller requests.
    pub timeout: Duration,
}

impl Call {
    /// Returns the expected completion length, in tokens.
    pub fn expected_tokens(&self) -> u32 {
        let seed = CompletionSeed::of_text(&self.prompt);
        let matches_stop = |i: &u32| {
            let token = seed.token(*i);
            self.stop.iter().any(|text| token.contains(text.as_str()))
        };
        let stop_index = match self.stop.is_empty() {
            true => None,
            false => (0..self.max_tokens).find(matches_stop),
        };
        stop_index.map_or(self.max_tokens, |i| i + 1)
    }
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The completion was complete and matched the prompt.
    Complete,
    /// The response violated the protocol or did not match the prompt.
    InvalidResponse(String),
    /// The request was rejected or failed with an API error.
    Failed {
        /// HTTP status; 0 for an error inside a stream.
        status: u16,
        /// API error code.
        code: String,
        /// Whether the request was executed.
        outcome: ExecutionOutcome,
        /// Delay before the next attempt.
        retry_after: Option<Duration>,
    },
    /// The connection failed.
    ConnectionLost(String),
}

/// Outcome and timings of a call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Outcome of the call.
    pub end: CallEnd,
    /// Time to first token.
    pub ttft: Option<Duration>,
    /// Time from sending the request to the end of the response.
    pub duration: Duration,
    /// Number of tokens received.
    pub tokens: u32,
    /// Maximum inter-token latency.
    pub max_inter_token_latency: Duration,
}

impl CallResult {
    fn new(started: Instant, end: CallEnd) -> Self {
        Self {
            end,
            ttft: None,
            duration: started.elapsed(),
            tokens: 0,
            max_inter_token_latency: Duration::ZERO,
        }
    }
}

/// Sends a streaming completion request and verifies the response.
pub async fn call(client: &Client, call: &Call) -> CallResult {
    let started = Instant::now();
    let mut body = json!({
        "model": call.model, "prompt": call.prompt, "max_tokens": call.max_tokens,
        "stream": true,
    });
    if !call.stop.is_empty() {
        body["stop"] = json!(call.stop);
    }
    let req = OutgoingRequest::new(Method::POST, "/v1/completions")
        .with_json(&body)
        .with_header(header::AUTHORIZATION, bearer(&call.key))
        .with_header(
            header::HeaderName::from_static("x-notchwalk-timeout-ms"),
            HeaderValue::from(call.timeout.as_millis() as u64),
        );
    drop(body);
    // The node responds at the deadline at the latest. The grace period is bounded so that a
    // missing response is reported.
    let client_timeout = call.timeout + Duration::from_secs(5);
    let exchange = async {
        match client.stream(call.node, req).await {
            Ok(response) if response.status == StatusCode::OK => {
                read_stream(call, started, response).await
            }
            Ok(response) => CallResult::new(started, read_error(response).await),
            Err(e) => CallResult::new(started, CallEnd::ConnectionLost(e.to_string())),
        }
    };
    match monoio::time::timeout(client_timeout, exchange).await {
        Ok(result) => result,
        Err(_) => {
            let end =
                CallEnd::InvalidResponse("no response within 5 s after the deadline".to_owned());
            CallResult::new(started, end)
        }
    }
}

/// Returns the `Authorization` header value of an API key.
///
/// # Panics
///
/// Panics if the key contains control characters.
pub fn bearer(key: &str) -> HeaderValue {
    HeaderValue::from_str(&format!("Bearer {key}")).expect("API key is not a valid header value")
}

/// Reads an error response.
pub async fn read_error(response: StreamedResponse) -> CallEnd {
    const MAX_ERROR_BYTES: usize = 1 << 20;
    let status = response.status.as_u16();
    let retry_after = response
        .headers
        .get("retry-after-ms")
        .and_then(|v| v.to_str().ok());
    let retry_after = retry_after
        .and_then(|ms| ms.parse().ok())
        .map(Duration::from_millis);
    let Ok(body) = response.collect(MAX_ERROR_BYTES).await else {
        return CallEnd::ConnectionLost("connection closed within the error response".to_owned());
    };
    match body.json::<ApiError>() {
        Ok(e) => CallEnd::Failed {
            status,
            code: e.error.code,
            outcome: e.error.outcome,
            retry_after,
        },
        Err(e) => {
            CallEnd::InvalidResponse(format!("status {status} without a valid error body: {e}"))
        }
    }
}

async fn read_stream(call: &Call, started: Instant, mut response: StreamedResponse) -> CallResult {
    let mut reader = StreamReader::new(call, started);
    let end = loop {
        match response.next().await {
            Ok(Some(chunk)) => reader.feed(&chunk),
            Ok(None) => break reader.finish(),
            Err(e) => break CallEnd::ConnectionLost(e.to_string()),
        }
    };
    response.release();
    reader.result.end = end;
    reader.result.duration = started.elapsed();
    reader.result
}

struct StreamReader {
    seed: CompletionSeed,
    expected_tokens: u32,
    started: Instant,
    last_token_at: Instant,
    buf: Vec<u8>,
    violation: Option<String>,
    failure: Option<CallEnd>,
    received_done: bool,
    result: CallResult,
}

impl StreamReader {
    fn new(call: &Call, started: Instant) -> Self {
        Self {
            seed: CompletionSeed::of_text(&call.prompt),
            expected_tokens: call.expected_tokens(),
            started,
            last_token_at: started,
            buf: Vec::new(),
            violation: None,
            failure: None,
            received_done: false,
            result: CallResult::new(started, CallEnd::Complete),
        }
    }

    fn feed(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
        let buf = std::mem::take(&mut self.buf);
        let mut rest = &buf[..];
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            if let Some(data) = rest[..end].strip_prefix(b"data: ") {
                self.handle_event(data);
            }
            rest = &rest[end + 1..];
        }
        self.buf = rest.to_vec();
    }

    fn handle_event(&mut self, data: &[u8]) {
        if data == b"[DONE]" {
            self.received_done = true;
            return;
        }
        let Ok(chunk) = serde_json::from_slice::<Value>(data) else {
            self.violation = Some("stream chunk is not valid JSON".to_owned());
            return;
        };
        if let Ok(error) = serde_json::from_value::<ApiError>(chunk.clone()) {
            self.failure = Some(CallEnd::Failed {
                status: 0,
                code: error.error.code,
                outcome: error.error.outcome,
                retry_after: None,
            });
            return;
        }
        let text = chunk["choices"][0]["text"].as_str().unwrap_or("");
        if !text.is_empty() {
            self.handle_token(text);
        }
    }

    fn handle_token(&mut self, text: &str) {
        let now = Instant::now();
        let result = &mut self.result;
        if result.ttft.is_none() {
            result.ttft = Some(now - self.started);
        } else {
            result.max_inter_token_latency =
                result.max_inter_token_latency.max(now - self.last_token_at);
        }
        self.last_token_at = now;
        let expected = self.seed.token(result.tokens);
        if text != expected && self.violation.is_none() {
            let index = result.tokens;
            self.violation = Some(format!("token {index} is {text:?}, expected {expected:?}"));
        }
        result.tokens += 1;
    }

    fn finish(&mut self) -> CallEnd {
        if let Some(violation) = self.violation.take() {
            return CallEnd::InvalidResponse(violation);
        }
        if let Some(failure) = self.failure.take() {
            return failure;
        }
        if !self.received_done || self.result.tokens != self.expected_tokens {
            let tokens = self.result.tokens;
            return CallEnd::InvalidResponse(format!(
                "completion truncated: got {tokens} of {} tokens",
                self.expected_tokens
            ));
        }
        CallEnd::Complete
    }
}
