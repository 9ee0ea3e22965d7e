//! Parsing of request bodies for `/v1/completions` and `/v1/chat/completions`.

use http::StatusCode;
use notchwalk_wire::{
    ChatRequest, CompletionRequest, Prompt, PromptInput, SamplingParams, StopInput, StreamOptions,
};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::api_error::ApiFailure;

/// The API that a completion was requested through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    Chat,
}

/// A completion request of either dialect.
pub struct ParsedRequest {
    /// Name of the model, with its adapter and version if given.
    pub model: String,
    pub prompt: Prompt,
    /// Limit on generated tokens.
    pub max_tokens: Option<u32>,
    /// Whether to stream the response.
    pub stream: bool,
    /// Whether a streamed response ends with a usage chunk.
    pub include_usage: bool,
    /// Stop sequences.
    pub stop: Vec<String>,
    /// Sampling parameters, passed through unchanged.
    pub sampling: SamplingParams,
}

impl ParsedRequest {
    /// Returns the approximate number of bytes that the request occupies.
    pub fn kept_bytes(&self) -> usize {
        let prompt = match &self.prompt {
            Prompt::Text(text) => text.capacity(),
            Prompt::Tokens(tokens) => tokens.capacity() * size_of::<u32>(),
        };
        let stop = self
            .stop
            .iter()
            .map(|text| size_of::<String>() + text.len());
        let sampling = self.sampling.values().map(|value| value.get().len());
        prompt + stop.sum::<usize>() + sampling.sum::<usize>()
    }
}

/// Parses a request body.
///
/// # Errors
///
/// Returns which parameter is invalid, unknown or unsupported.
pub fn parse(dialect: Dialect, body: &[u8]) -> Result<ParsedRequest, ApiFailure> {
    match dialect {
        Dialect::Completions => parse_completion(body),
        Dialect::Chat => parse_chat(body),
    }
}

fn unsupported(param: &str) -> ApiFailure {
    let message = format!("{param} is not served");
    ApiFailure::invalid_param("unsupported_parameter", param, message)
}

/// Rejects the first parameter that is set. `params` lists the unsupported parameters
/// that would change the output, each with whether it is set.
fn reject_unsupported(params: &[(&str, bool)]) -> Result<(), ApiFailure> {
    for (name, set) in params {
        if *set {
            return Err(unsupported(name));
        }
    }
    Ok(())
}

fn is_set(value: &Option<Box<RawValue>>) -> bool {
    let text = value.as_ref().map(|value| value.get());
    !matches!(text, None | Some("null" | "false"))
}

/// The format of a completion.
#[derive(Deserialize)]
struct ResponseFormat<'a> {
    #[serde(borrow, rename = "type")]
    kind: Option<&'a RawValue>,
}

/// Returns whether a completion in this format is text.
fn is_text_format(format: &Option<Box<RawValue>>) -> bool {
    let Some(format) = format else {
        return true;
    };
    let format = serde_json::from_str::<ResponseFormat<'_>>(format.get());
    let kind = format.ok().and_then(|format| format.kind);
    kind.is_none_or(|kind| kind.get() == "\"text\"")
}

fn stop_sequences(stop: Option<StopInput>) -> Vec<String> {
    match stop {
        None => Vec::new(),
        Some(StopInput::One(text)) => vec![text],
        Some(StopInput::Many(texts)) => texts,
    }
}

/// Collects the sampling parameters of a request of either dialect. Both request
/// types declare them as fields, because serde can't deny unknown fields next to
/// a flattened struct.
macro_rules! sampling_params {
    ($req:ident) => {
        given_params([
            ("temperature", $req.temperature),
            ("top_p", $req.top_p),
            ("seed", $req.seed),
            ("presence_penalty", $req.presence_penalty),
            ("frequency_penalty", $req.frequency_penalty),
            ("logit_bias", $req.logit_bias),
        ])
    };
}

/// Returns the parameters that are present and not null.
fn given_params(params: [(&str, Option<Box<RawValue>>); 6]) -> SamplingParams {
    let given = params.into_iter().filter_map(|(name, value)| {
        let value = value.filter(|value| value.get() != "null")?;
        Some((name.to_owned(), value))
    });
    given.collect()
}

fn json_error(error: &serde_json::Error) -> ApiFailure {
    let text = error.to_string();
    if let Some(rest) = text.strip_prefix("unknown field `") {
        let name = rest.split('`').next().unwrap_or("");
        let message = format!("{name} is no parameter of this request");
        return ApiFailure::invalid_param("unknown_parameter", name, message);
    }
    let code = match error.classify() {
        serde_json::error::Category::Data => "invalid_parameter",
        _ => "malformed_json",
    };
    ApiFailure::not_run(StatusCode::BAD_REQUEST, code, format!("the body: {text}"))
}

fn parse_completion(body: &[u8]) -> Result<ParsedRequest, ApiFailure> {
    let req: CompletionRequest = serde_json::from_slice(body).map_err(|e| json_error(&e))?;
    reject_unsupported(&[
        ("n", req.n.is_some_and(|n| n != 1)),
        ("best_of", req.best_of.is_some_and(|n| n != 1)),
        ("echo", req.echo == Some(true)),
        ("suffix", is_set(&req.suffix)),
        ("logprobs", is_set(&req.logprobs)),
    ])?;
    Ok(ParsedRequest {
        model: req.model,
        prompt: single_prompt(req.prompt)?,
        max_tokens: req.max_tokens,
        stream: req.stream.unwrap_or(false),
        include_usage: includes_usage(req.stream_options),
        stop: stop_sequences(req.stop),
        sampling: sampling_params!(req),
    })
}

fn includes_usage(options: Option<StreamOptions>) -> bool {
    options.is_some_and(|o| o.include_usage)
}

fn single_prompt(input: PromptInput) -> Result<Prompt, ApiFailure> {
    let batch = || {
        let message = "a batch of prompts is not served; send one prompt a request";
        ApiFailure::invalid_param("unsupported_parameter", "prompt", message)
    };
    let empty = || ApiFailure::invalid_param("invalid_parameter", "prompt", "the prompt is empty");
    match input {
        PromptInput::Text(text) => Ok(Prompt::Text(text)),
        PromptInput::Tokens(tokens) if tokens.is_empty() => Err(empty()),
        PromptInput::Tokens(tokens) => Ok(Prompt::Tokens(tokens)),
        PromptInput::Texts(mut texts) => match (texts.pop(), texts.is_empty()) {
            (Some(text), true) => Ok(Prompt::Text(text)),
            (None, _) => Err(empty()),
            _ => Err(batch()),
        },
        PromptInput::TokenLists(mut lists) => match (lists.pop(), lists.is_empty()) {
            (Some(tokens), true) => Ok(Prompt::Tokens(tokens)),
            (None, _) => Err(empty()),
            _ => Err(batch()),
        },
    }
}

fn parse_chat(body: &[u8]) -> Result<ParsedRequest, ApiFailure> {
    let req: ChatRequest = serde_json::from_slice(body).map_err(|e| json_error(&e))?;
    let is_text = is_text_format(&req.response_format);
    let is_tool_choice_none = |choice: &RawValue| choice.get() == "\"none\"";
    reject_unsupported(&[
        ("n", req.n.is_some_and(|n| n != 1)),
        ("tools", is_set(&req.tools)),
        (
            "tool_choice",
            is_set(&req.tool_choice)
                && !req.tool_choice.as_deref().is_some_and(is_tool_choice_none),
        ),
        ("functions", is_set(&req.functions)),
        ("logprobs", is_set(&req.logprobs)),
        ("top_logprobs", is_set(&req.top_logprobs)),
        ("response_format", !is_text),
    ])?;
    if req.messages.is_empty() {
        let message = "at least one message is needed";
        return Err(ApiFailure::invalid_param(
            "invalid_parameter",
            "messages",
            message,
        ));
    }
    let mut prompt = String::new();
    for (i, message) in req.messages.iter().enumerate() {
        let Some(text) = message.text() else {
            let param = format!("messages[{i}].content");
            return Err(ApiFailure::invalid_param(
                "invalid_parameter",
                &param,
                "only text is served",
            ));
        };
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(text);
        prompt.push('\n');
    }
    prompt.push_str("assistant: ");
    Ok(ParsedRequest {
        model: req.model,
        prompt: Prompt::Text(prompt),
        max_tokens: req.max_completion_tokens.or(req.max_tokens),
        stream: req.stream.unwrap_or(false),
        include_usage: includes_usage(req.stream_options),
        stop: stop_sequences(req.stop),
        sampling: sampling_params!(req),
    })
}
