//! The API for callers: OpenAI-compatible completions, and `/v1/entries`.

use notchwalk_core::Tokens;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::caller_input::{ChatMessage, PromptInput, StopInput};

/// Options of a streamed response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether the stream ends with a chunk that contains the token usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// `POST /v1/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// `MODEL`, `MODEL:ADAPTER` or `MODEL@VERSION`.
    pub model: String,
    /// The prompt.
    pub prompt: PromptInput,
    /// The maximum length of the completion, in tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: Option<bool>,
    /// Options of the streamed response.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Number of completions; only 1 is supported.
    #[serde(default)]
    pub n: Option<u32>,
    /// Number of candidates for server-side ranking; only 1 is supported.
    #[serde(default)]
    pub best_of: Option<u32>,
    /// Whether the completion is returned with the prompt; not supported.
    #[serde(default)]
    pub echo: Option<bool>,
    /// Stop sequences.
    #[serde(default)]
    pub stop: Option<StopInput>,
    /// Text that follows the completion; not supported.
    #[serde(default)]
    pub suffix: Option<Box<RawValue>>,
    /// Sampling temperature, passed through to the engine.
    #[serde(default)]
    pub temperature: Option<Box<RawValue>>,
    /// Nucleus sampling, passed through to the engine.
    #[serde(default)]
    pub top_p: Option<Box<RawValue>>,
    /// Sampling seed, passed through to the engine.
    #[serde(default)]
    pub seed: Option<Box<RawValue>>,
    /// Presence penalty, passed through to the engine.
    #[serde(default)]
    pub presence_penalty: Option<Box<RawValue>>,
    /// Frequency penalty, passed through to the engine.
    #[serde(default)]
    pub frequency_penalty: Option<Box<RawValue>>,
    /// Bias per token, passed through to the engine.
    #[serde(default)]
    pub logit_bias: Option<Box<RawValue>>,
    /// The end user of the caller; has no effect.
    #[serde(default)]
    pub user: Option<Box<RawValue>>,
    /// Log probabilities; not supported.
    #[serde(default)]
    pub logprobs: Option<Box<RawValue>>,
}

/// `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatRequest {
    /// `MODEL`, `MODEL:ADAPTER` or `MODEL@VERSION`.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// The maximum length of the completion, in tokens (deprecated name).
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The maximum length of the completion, in tokens.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: Option<bool>,
    /// Options of the streamed response.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Number of completions; only 1 is supported.
    #[serde(default)]
    pub n: Option<u32>,
    /// Tools; not supported.
    #[serde(default)]
    pub tools: Option<Box<RawValue>>,
    /// Stop sequences.
    #[serde(default)]
    pub stop: Option<StopInput>,
    /// The choice of tools; not supported.
    #[serde(default)]
    pub tool_choice: Option<Box<RawValue>>,
    /// Functions, the deprecated name of tools; not supported.
    #[serde(default)]
    pub functions: Option<Box<RawValue>>,
    /// The format of the completion; only text is supported.
    #[serde(default)]
    pub response_format: Option<Box<RawValue>>,
    /// Number of log probabilities per token; not supported.
    #[serde(default)]
    pub top_logprobs: Option<Box<RawValue>>,
    /// Metadata of the caller; has no effect.
    #[serde(default)]
    pub metadata: Option<Box<RawValue>>,
    /// Whether the completion is stored; has no effect.
    #[serde(default)]
    pub store: Option<bool>,
    /// Sampling temperature, passed through to the engine.
    #[serde(default)]
    pub temperature: Option<Box<RawValue>>,
    /// Nucleus sampling, passed through to the engine.
    #[serde(default)]
    pub top_p: Option<Box<RawValue>>,
    /// Sampling seed, passed through to the engine.
    #[serde(default)]
    pub seed: Option<Box<RawValue>>,
    /// Presence penalty, passed through to the engine.
    #[serde(default)]
    pub presence_penalty: Option<Box<RawValue>>,
    /// Frequency penalty, passed through to the engine.
    #[serde(default)]
    pub frequency_penalty: Option<Box<RawValue>>,
    /// Bias per token, passed through to the engine.
    #[serde(default)]
    pub logit_bias: Option<Box<RawValue>>,
    /// The end user of the caller; has no effect.
    #[serde(default)]
    pub user: Option<Box<RawValue>>,
    /// Log probabilities; not supported.
    #[serde(default)]
    pub logprobs: Option<Box<RawValue>>,
}

/// Token usage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens in the completion.
    pub completion_tokens: Tokens,
    /// Tokens in the prompt and the completion together.
    pub total_tokens: Tokens,
}

/// Whether a failed request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// The request was not executed.
    NotRun,
    /// The request was executed, completely or in part.
    Ran,
    /// Whether the request was executed is unknown.
    Unknown,
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApiError {
    /// The error.
    pub error: ApiErrorBody,
}

/// The content of an error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApiErrorBody {
    /// A description of the error.
    pub message: String,
    /// The error type of the OpenAI API, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The parameter that caused the error, if any.
    pub param: Option<String>,
    /// A stable error code.
    pub code: String,
    /// Whether the request was executed.
    pub outcome: ExecutionOutcome,
}

/// One model of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelInfo {
    /// The model name for requests.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// The creation time in seconds since 1970; always 0, since bundles don't contain it.
    pub created: u64,
    /// The owner of the model.
    pub owned_by: String,
}

/// `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelInfo>,
}

/// One node in the response of `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The address for callers.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
}

/// `GET /v1/entries`: the nodes that accept requests, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeList {
    /// The nodes, in the order in which callers should try them.
    #[serde(rename = "entries")]
    pub nodes: Vec<NodeInfo>,
    /// How long the response may be cached, in seconds.
    pub ttl_s: u64,
}
