//! The HTTP API of model engines.

use std::collections::BTreeMap;

use notchwalk_core::{Attempt, RequestId, Tokens};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A prompt for an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Text, which the engine tokenizes.
    Text(String),
    /// Token ids.
    Tokens(Vec<u32>),
}

/// Sampling parameters as their caller wrote them. They may be large, and nothing here reads them.
pub type SamplingParams = BTreeMap<String, Box<RawValue>>;

/// `POST /v1/generate`: the response is a stream of server-sent [`EngineFrame`]s.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateRequest<P = Prompt> {
    /// The request.
    pub request: RequestId,
    /// The attempt; an engine that receives a newer attempt cancels the older one.
    pub attempt: Attempt,
    /// The model.
    pub model: String,
    /// The adapter, if one is requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The version of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The priority; higher values are served first.
    pub priority: u8,
    /// The index of the first token to return; above 0 when resuming a stream.
    pub offset: u32,
    /// The maximum length of the completion in tokens, counted from token 0.
    pub max_tokens: u32,
    /// Tickets of KV cache segments of the prompt prefix, exported by other engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub imports: Vec<String>,
    /// Sampling parameters of the caller, passed through.
    #[serde(default, skip_serializing_if = "SamplingParams::is_empty")]
    pub sampling: SamplingParams,
    /// Stop sequences.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<String>,
    /// The prompt; generic so that senders can serialize a reference.
    pub prompt: P,
}

/// One frame of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFrame {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The index of the frame's first token in the completion.
    pub offset: u32,
    /// The texts of the tokens.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<String>,
    /// The end of the completion; only in the last frame.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<EngineFinish>,
}

/// How a completion ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFinish {
    /// `stop` or `length`.
    pub reason: String,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: Tokens,
    /// Tokens in the complete completion.
    pub completion_tokens: Tokens,
}

/// A rejection by an engine before execution: the request did not run there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRejection {
    /// A stable code such as `overloaded` or `model_not_loaded`.
    pub code: String,
    /// A message for people.
    pub message: String,
}

/// `POST /v1/kv/prefill`: prefills one segment of a prompt that is too large for a single
/// engine, retains its KV cache and exports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The model.
    pub model: String,
    /// The first token of the segment.
    pub from: Tokens,
    /// The token after the last one of the segment.
    pub to: Tokens,
    /// Tickets of the preceding segments.
    pub imports: Vec<String>,
}

/// The response to a [`SegmentRequest`] after the prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentResponse {
    /// The ticket with which other engines import the KV cache.
    pub ticket: String,
}

/// `POST /v1/cancel`: cancels attempts of a request and frees their memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The request.
    pub request: RequestId,
    /// The last attempt to cancel; all earlier ones are cancelled as well.
    pub up_to: Attempt,
}

/// The response to a [`CancelRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelResponse {
    /// KV memory freed, in tokens.
    pub freed: Tokens,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: String,
    /// The loaded versions.
    pub versions: Vec<String>,
    /// The loaded adapters.
    pub adapters: Vec<String>,
}

/// `GET /v1/load`: the load of the engine at a recent time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// KV memory, in tokens.
    pub capacity_tokens: Tokens,
    /// KV memory in use, in tokens.
    pub used_tokens: Tokens,
    /// Running requests.
    pub running: u32,
    /// Requests queued in the engine.
    pub waiting: u32,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Prompt tokens that remain to be prefilled.
    pub backlog_tokens: Tokens,
    /// `backlog_tokens` per priority, highest priority first.
    #[serde(default)]
    pub backlog_by_priority: Vec<(u8, Tokens)>,
    /// Engine time to prefill one prompt token, in nanoseconds.
    #[serde(rename = "prompt_token_ns")]
    pub prefill_token_ns: u64,
    /// Engine time to decode one token, in nanoseconds.
    #[serde(rename = "answer_token_ns")]
    pub decode_token_ns: u64,
    /// The loaded models.
    pub loaded: Vec<LoadedModel>,
    /// Whether the server is draining.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Number of evictions due to lack of memory since the engine started.
    pub evictions: u64,
}

/// KV memory that an engine has allocated for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The size, in tokens.
    pub tokens: Tokens,
    /// The time since the allocation, in milliseconds.
    pub age_ms: u64,
}

/// `GET /v1/holdings`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocations {
    /// All memory allocated for requests, without cached prefixes.
    #[serde(rename = "holdings")]
    pub allocations: Vec<Allocation>,
}

/// A change in an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A block with this hash was stored.
    Stored(u64),
    /// A block with this hash was evicted.
    Evicted(u64),
}

/// `GET /v1/cache/events?after=N`: the events after number N. Events can be delayed or missing.
/// `after=0` requests a snapshot as `Stored` events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number of the first event.
    pub first: u64,
    /// The number of the last event, `after` of the next request.
    pub last: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
    /// Whether this is a snapshot of the whole cache.
    pub snapshot: bool,
}

/// The state that an order requests. Orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// A version of a model is loaded.
    VersionLoaded {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// A version of a model is not loaded.
    VersionUnloaded {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// An adapter is loaded.
    AdapterLoaded {
        /// The model.
        model: String,
        /// The adapter.
        adapter: String,
    },
}

/// `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The fencing token of the lease under which the order is sent.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The desired state.
    #[serde(rename = "wanted")]
    pub desired: DesiredState,
}

/// The response to an [`OrderRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResponse {
    /// Whether the engine accepted the order; engines that check the fencing token reject an
    /// outdated one.
    pub accepted: bool,
    /// The highest fencing token that the engine has received.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
}
