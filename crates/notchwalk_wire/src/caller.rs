//! The callers' interface: OpenAI-compatible completions, and our own
//! `/v1/entries`.

use notchwalk_core::Tokens;
use serde::{Deserialize, Serialize};

/// A prompt as callers give it: one text, or one list of token ids, or a list
/// with one of either.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PromptInput {
    /// Text.
    Text(String),
    /// Token ids.
    Tokens(Vec<u32>),
    /// A batch of texts; only batches of one are served.
    Texts(Vec<String>),
    /// A batch of token lists; only batches of one are served.
    TokenLists(Vec<Vec<u32>>),
}

/// Texts that end an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StopInput {
    /// One text.
    One(String),
    /// Several.
    Many(Vec<String>),
}

/// Options of a streamed answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Ends the stream with a chunk that carries the usage.
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
    /// The longest answer, in tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: Option<bool>,
    /// Options of the stream.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Number of answers; only 1 is served.
    #[serde(default)]
    pub n: Option<u32>,
    /// Server-side ranking; only 1 is served.
    #[serde(default)]
    pub best_of: Option<u32>,
    /// Returns the prompt with the answer; not served.
    #[serde(default)]
    pub echo: Option<bool>,
    /// Texts that end the answer.
    #[serde(default)]
    pub stop: Option<StopInput>,
    /// Text after the answer; not served.
    #[serde(default)]
    pub suffix: Option<serde_json::Value>,
    /// Sampling temperature, passed on.
    #[serde(default)]
    pub temperature: Option<serde_json::Value>,
    /// Nucleus sampling, passed on.
    #[serde(default)]
    pub top_p: Option<serde_json::Value>,
    /// Seed of the sampling, passed on.
    #[serde(default)]
    pub seed: Option<serde_json::Value>,
    /// Presence penalty, passed on.
    #[serde(default)]
    pub presence_penalty: Option<serde_json::Value>,
    /// Frequency penalty, passed on.
    #[serde(default)]
    pub frequency_penalty: Option<serde_json::Value>,
    /// Bias of tokens, passed on.
    #[serde(default)]
    pub logit_bias: Option<serde_json::Value>,
    /// The caller's end user; has no effect.
    #[serde(default)]
    pub user: Option<serde_json::Value>,
    /// Log probabilities; not served.
    #[serde(default)]
    pub logprobs: Option<serde_json::Value>,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant`, `developer` or `tool`.
    pub role: String,
    /// Text, or a list of text parts.
    pub content: serde_json::Value,
}

impl ChatMessage {
    /// Returns the message's text; `None` if it holds anything but text.
    pub fn text(&self) -> Option<String> {
        match &self.content {
            serde_json::Value::String(text) => Some(text.clone()),
            serde_json::Value::Null => Some(String::new()),
            serde_json::Value::Array(parts) => {
                let texts = parts.iter().map(|part| part.get("text")?.as_str());
                texts.collect()
            }
            _ => None,
        }
    }
}

/// `POST /v1/chat/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatRequest {
    /// `MODEL`, `MODEL:ADAPTER` or `MODEL@VERSION`.
    pub model: String,
    /// The messages so far.
    pub messages: Vec<ChatMessage>,
    /// The longest answer, in tokens (the older name).
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The longest answer, in tokens.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: Option<bool>,
    /// Options of the stream.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Number of answers; only 1 is served.
    #[serde(default)]
    pub n: Option<u32>,
    /// Tools; not served.
    #[serde(default)]
    pub tools: Option<serde_json::Value>,
    /// Texts that end the answer.
    #[serde(default)]
    pub stop: Option<StopInput>,
    /// How tools are chosen; not served.
    #[serde(default)]
    pub tool_choice: Option<serde_json::Value>,
    /// Functions, the older name of tools; not served.
    #[serde(default)]
    pub functions: Option<serde_json::Value>,
    /// The answer's format; only text is served.
    #[serde(default)]
    pub response_format: Option<serde_json::Value>,
    /// Log probabilities of several tokens; not served.
    #[serde(default)]
    pub top_logprobs: Option<serde_json::Value>,
    /// The caller's notes; have no effect.
    #[serde(default)]
    pub metadata: Option<serde_json::Value>,
    /// Whether the answer is kept; it never is.
    #[serde(default)]
    pub store: Option<bool>,
    /// Sampling temperature, passed on.
    #[serde(default)]
    pub temperature: Option<serde_json::Value>,
    /// Nucleus sampling, passed on.
    #[serde(default)]
    pub top_p: Option<serde_json::Value>,
    /// Seed of the sampling, passed on.
    #[serde(default)]
    pub seed: Option<serde_json::Value>,
    /// Presence penalty, passed on.
    #[serde(default)]
    pub presence_penalty: Option<serde_json::Value>,
    /// Frequency penalty, passed on.
    #[serde(default)]
    pub frequency_penalty: Option<serde_json::Value>,
    /// Bias of tokens, passed on.
    #[serde(default)]
    pub logit_bias: Option<serde_json::Value>,
    /// The caller's end user; has no effect.
    #[serde(default)]
    pub user: Option<serde_json::Value>,
    /// Log probabilities; not served.
    #[serde(default)]
    pub logprobs: Option<serde_json::Value>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    pub completion_tokens: Tokens,
    /// Both.
    pub total_tokens: Tokens,
}

/// Whether a failed request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeWord {
    /// It truly did not run.
    NotRun,
    /// It ran, wholly or in part.
    Ran,
    /// It can't be told.
    Unknown,
}

/// An error as callers see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApiError {
    /// The error.
    pub error: ApiErrorBody,
}

/// The content of an error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApiErrorBody {
    /// What went wrong, in a sentence.
    pub message: String,
    /// OpenAI's kind of error, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The parameter at fault, if one is.
    pub param: Option<String>,
    /// A stable code.
    pub code: String,
    /// Whether the request was run.
    pub outcome: OutcomeWord,
}

/// One model of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelInfo {
    /// The name to ask for.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Seconds since 1970; the bundle knows none, so 0.
    pub created: u64,
    /// Who offers it.
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

/// One entry of `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// The address callers connect to.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
}

/// `GET /v1/entries`: the addresses to use, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesAnswer {
    /// The entries, in the order in which to try them.
    pub entries: Vec<EntryInfo>,
    /// How long the answer may be kept, in seconds.
    pub ttl_s: u64,
}
