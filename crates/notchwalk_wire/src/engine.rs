//! The HTTP API of model engines.

use notchwalk_core::{Attempt, RequestId, Tokens};
use serde::{Deserialize, Serialize};

/// A prompt for an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Text; the engine counts its tokens.
    Text(String),
    /// Token ids.
    Tokens(Vec<u32>),
}

/// `POST /v1/generate`: answers with server-sent [`EngineFrame`]s.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest<P = Prompt> {
    /// The request.
    pub request: RequestId,
    /// The attempt; an engine that sees a newer one drops the older.
    pub attempt: Attempt,
    /// The model.
    pub model: String,
    /// The adapter, if one is asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The model's version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Higher is served first.
    pub priority: u8,
    /// The first token of the answer that is wanted; more than 0 resumes.
    pub offset: u32,
    /// The longest answer, in tokens, counted from token 0.
    pub max_tokens: u32,
    /// KV cache of the prompt's beginning that other engines export.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub imports: Vec<String>,
    /// Sampling parameters, passed on as the caller gave them.
    #[serde(default, skip_serializing_if = "serde_json::Map::is_empty")]
    pub sampling: serde_json::Map<String, serde_json::Value>,
    /// Texts that end the answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<String>,
    /// The prompt; drivers send it by reference.
    pub prompt: P,
}

/// One frame of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFrame {
    /// The request it belongs to.
    pub request: RequestId,
    /// The attempt it belongs to.
    pub attempt: Attempt,
    /// The place of its first token in the answer.
    pub offset: u32,
    /// The tokens' texts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<String>,
    /// Set on the last frame only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<EngineFinish>,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFinish {
    /// `stop` or `length`.
    pub reason: String,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the prompt found in the prefix cache.
    pub cached_tokens: Tokens,
    /// Tokens of the whole answer.
    pub completion_tokens: Tokens,
}

/// An engine's refusal before any work: the request did not run there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// A stable code such as `overloaded` or `model_not_loaded`.
    pub code: String,
    /// What to tell a person.
    pub message: String,
}

/// `POST /v1/kv/prefill`: computes and holds a segment of a prompt too large
/// for one engine and exports it.
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
    /// The token after its last.
    pub to: Tokens,
    /// Tickets of the segments before.
    pub imports: Vec<String>,
}

/// A segment that is ready.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentAnswer {
    /// Names the exported KV cache towards other engines.
    pub ticket: String,
}

/// `POST /v1/cancel`: ends a request's attempts and frees their memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The request.
    pub request: RequestId,
    /// Attempts up to this one end.
    pub up_to: Attempt,
}

/// The confirmation of a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAnswer {
    /// Tokens of memory that were freed.
    pub freed: Tokens,
}

/// A model as an engine has it loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: String,
    /// The loaded versions.
    pub versions: Vec<String>,
    /// The loaded adapters.
    pub adapters: Vec<String>,
}

/// `GET /v1/load`: the load as it was a moment ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// KV memory in tokens.
    pub capacity_tokens: Tokens,
    /// KV memory in use, in tokens.
    pub used_tokens: Tokens,
    /// Requests running.
    pub running: u32,
    /// Requests waiting in the engine.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Prompt tokens still to be computed.
    pub backlog_tokens: Tokens,
    /// The same by priority, the highest first.
    #[serde(default)]
    pub backlog_by_priority: Vec<(u8, Tokens)>,
    /// Nanoseconds of engine time a prompt token costs.
    pub prompt_token_ns: u64,
    /// Nanoseconds of engine time a generated token costs.
    pub answer_token_ns: u64,
    /// What is loaded.
    pub loaded: Vec<LoadedModel>,
    /// Whether the server is about to leave.
    pub leaving: bool,
    /// Counts evictions for want of memory since the start.
    pub evictions: u64,
}

/// Memory that an engine holds for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// Tokens held.
    pub tokens: Tokens,
    /// How long it has been held, in milliseconds.
    pub age_ms: u64,
}

/// `GET /v1/holdings`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// All memory held for requests; cached prefixes don't count.
    pub holdings: Vec<Holding>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A block was stored.
    Stored(u64),
    /// A block was evicted.
    Evicted(u64),
}

/// `GET /v1/cache/events?after=N`: events after number N, late and sometimes
/// with gaps. `after=0` asks for a snapshot, as `Stored` events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number of the first event.
    pub first: u64,
    /// The number to ask after next time.
    pub last: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
    /// Whether this is a snapshot of the whole cache.
    pub snapshot: bool,
}

/// The state an order asks for; repeating it changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WantedState {
    /// The version of a model is loaded.
    VersionLoaded {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// The version of a model isn't loaded.
    VersionUnloaded {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// The adapter is loaded.
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
    /// The fencing number of the lease under which the order is given.
    pub fence: u64,
    /// What is wanted.
    pub wanted: WantedState,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Whether the engine took it; an old fencing number is refused by engines
    /// that check it.
    pub accepted: bool,
    /// The highest fencing number seen.
    pub fence: u64,
}
