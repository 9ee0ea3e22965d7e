//! `/v1/completions` and `/v1/chat/completions`.

use std::{rc::Rc, time::SystemTime};

use bytes::Bytes;
use http::{header, HeaderMap, HeaderValue, StatusCode};
use notchwalk_bundle::{Bundle, Model};
use notchwalk_decide::{
    block_hashes, Arrival, CallerKey, Completion, Event, GenerateWork, RequestKey, Work,
};
use notchwalk_http::{chunk_into, Exchange};
use notchwalk_wire::{
    ChatRequest, CompletionRequest, Prompt, PromptInput, StopInput, StreamOptions, Usage,
};
use serde_json::{json, Map, Value};

use crate::{
    api_error::ApiFailure,
    auth::Caller,
    caller_api::RequestOptions,
    channel::{caller_channel, CallerEvent, CallerRx},
    shell::{GeneratePayload, Shell},
};

/// Tokens of an answer whose request names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The two interfaces to the same work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    Chat,
}

/// A request as read from its body.
struct Wanted {
    model: String,
    prompt: Prompt,
    max_tokens: Option<u32>,
    stream: bool,
    include_usage: bool,
    stop: Vec<String>,
    sampling: Map<String, Value>,
}

fn unsupported(param: &str) -> ApiFailure {
    let message = format!("{param} is not served");
    ApiFailure::bad_param("unsupported_parameter", param, message)
}

/// Refuses parameters that would change the answer and aren't served.
fn refuse_set(params: &[(&str, bool)]) -> Result<(), ApiFailure> {
    for (name, set) in params {
        if *set {
            return Err(unsupported(name));
        }
    }
    Ok(())
}

fn is_set(value: &Option<Value>) -> bool {
    !matches!(value, None | Some(Value::Null) | Some(Value::Bool(false)))
}

fn stop_texts(stop: Option<StopInput>) -> Vec<String> {
    match stop {
        None => Vec::new(),
        Some(StopInput::One(text)) => vec![text],
        Some(StopInput::Many(texts)) => texts,
    }
}

fn sampling(params: [(&str, Option<Value>); 6]) -> Map<String, Value> {
    let given = params.into_iter().filter_map(|(name, value)| {
        let value = value.filter(|v| !v.is_null())?;
        Some((name.to_owned(), value))
    });
    given.collect()
}

fn json_failure(error: &serde_json::Error) -> ApiFailure {
    let text = error.to_string();
    if let Some(rest) = text.strip_prefix("unknown field `") {
        let name = rest.split('`').next().unwrap_or("");
        let message = format!("{name} is no parameter of this request");
        return ApiFailure::bad_param("unknown_parameter", name, message);
    }
    let code = match error.classify() {
        serde_json::error::Category::Data => "invalid_parameter",
        _ => "malformed_json",
    };
    ApiFailure::not_run(StatusCode::BAD_REQUEST, code, format!("the body: {text}"))
}

fn parse_completion(body: &[u8]) -> Result<Wanted, ApiFailure> {
    let req: CompletionRequest = serde_json::from_slice(body).map_err(|e| json_failure(&e))?;
    refuse_set(&[
        ("n", req.n.is_some_and(|n| n != 1)),
        ("best_of", req.best_of.is_some_and(|n| n != 1)),
        ("echo", req.echo == Some(true)),
        ("suffix", is_set(&req.suffix)),
        ("logprobs", is_set(&req.logprobs)),
    ])?;
    Ok(Wanted {
        model: req.model,
        prompt: single_prompt(req.prompt)?,
        max_tokens: req.max_tokens,
        stream: req.stream.unwrap_or(false),
        include_usage: includes_usage(req.stream_options),
        stop: stop_texts(req.stop),
        sampling: sampling([
            ("temperature", req.temperature),
            ("top_p", req.top_p),
            ("seed", req.seed),
            ("presence_penalty", req.presence_penalty),
            ("frequency_penalty", req.frequency_penalty),
            ("logit_bias", req.logit_bias),
        ]),
    })
}

fn includes_usage(options: Option<StreamOptions>) -> bool {
    options.is_some_and(|o| o.include_usage)
}

fn single_prompt(input: PromptInput) -> Result<Prompt, ApiFailure> {
    let one = || {
        let message = "a batch of prompts is not served; send one prompt a request";
        ApiFailure::bad_param("unsupported_parameter", "prompt", message)
    };
    let empty = || ApiFailure::bad_param("invalid_parameter", "prompt", "the prompt is empty");
    match input {
        PromptInput::Text(text) => Ok(Prompt::Text(text)),
        PromptInput::Tokens(tokens) if tokens.is_empty() => Err(empty()),
        PromptInput::Tokens(tokens) => Ok(Prompt::Tokens(tokens)),
        PromptInput::Texts(mut texts) => match (texts.pop(), texts.is_empty()) {
            (Some(text), true) => Ok(Prompt::Text(text)),
            (None, _) => Err(empty()),
            _ => Err(one()),
        },
        PromptInput::TokenLists(mut lists) => match (lists.pop(), lists.is_empty()) {
            (Some(tokens), true) => Ok(Prompt::Tokens(tokens)),
            (None, _) => Err(empty()),
            _ => Err(one()),
        },
    }
}

fn parse_chat(body: &[u8]) -> Result<Wanted, ApiFailure> {
    let req: ChatRequest = serde_json::from_slice(body).map_err(|e| json_failure(&e))?;
    let format = req.response_format.as_ref().and_then(|f| f.get("type"));
    let plain = format.is_none_or(|kind| kind == "text");
    refuse_set(&[
        ("n", req.n.is_some_and(|n| n != 1)),
        ("tools", is_set(&req.tools)),
        (
            "tool_choice",
            is_set(&req.tool_choice) && req.tool_choice != Some(json!("none")),
        ),
        ("functions", is_set(&req.functions)),
        ("logprobs", is_set(&req.logprobs)),
        ("top_logprobs", is_set(&req.top_logprobs)),
        ("response_format", !plain),
    ])?;
    if req.messages.is_empty() {
        let message = "at least one message is needed";
        return Err(ApiFailure::bad_param(
            "invalid_parameter",
            "messages",
            message,
        ));
    }
    let mut prompt = String::new();
    for (i, message) in req.messages.iter().enumerate() {
        let Some(text) = message.text() else {
            let param = format!("messages[{i}].content");
            return Err(ApiFailure::bad_param(
                "invalid_parameter",
                &param,
                "only text is served",
            ));
        };
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&text);
        prompt.push('\n');
    }
    prompt.push_str("assistant: ");
    Ok(Wanted {
        model: req.model,
        prompt: Prompt::Text(prompt),
        max_tokens: req.max_completion_tokens.or(req.max_tokens),
        stream: req.stream.unwrap_or(false),
        include_usage: includes_usage(req.stream_options),
        stop: stop_texts(req.stop),
        sampling: sampling([
            ("temperature", req.temperature),
            ("top_p", req.top_p),
            ("seed", req.seed),
            ("presence_penalty", req.presence_penalty),
            ("frequency_penalty", req.frequency_penalty),
            ("logit_bias", req.logit_bias),
        ]),
    })
}

/// A model with the adapter or version asked for.
struct Variant<'a> {
    key: notchwalk_bundle::ModelKey,
    model: &'a Model,
    adapter: Option<String>,
    version: Option<String>,
}

/// Reads `MODEL`, `MODEL:ADAPTER`, `MODEL@VERSION` or `MODEL:ADAPTER@VERSION`.
fn resolve<'a>(bundle: &'a Bundle, caller: &Caller, name: &str) -> Result<Variant<'a>, ApiFailure> {
    let missing = |code, message: String| {
        let mut failure = ApiFailure::bad_param(code, "model", message);
        failure.status = StatusCode::NOT_FOUND;
        failure
    };
    let (rest, version) = match name.split_once('@') {
        Some((rest, version)) => (rest, Some(version.to_owned())),
        None => (name, None),
    };
    let (base, adapter) = match rest.split_once(':') {
        Some((base, adapter)) => (base, Some(adapter.to_owned())),
        None => (rest, None),
    };
    let unknown = || {
        missing(
            "model_not_found",
            format!("there is no model {base:?} for this key"),
        )
    };
    let key = bundle.model_named(base).ok_or_else(unknown)?;
    if !bundle.workspace(caller.workspace).models.contains(&key) {
        return Err(unknown());
    }
    let model = &bundle.models[key.index()];
    if let Some(adapter) = adapter.as_ref().filter(|a| !model.adapters.contains(a)) {
        let message = format!("{base} has no adapter {adapter:?}");
        return Err(missing("adapter_not_found", message));
    }
    if let Some(version) = version.as_ref().filter(|v| !model.versions.contains(v)) {
        let message = format!("{base} has no version {version:?}");
        return Err(missing("version_not_found", message));
    }
    Ok(Variant {
        key,
        model,
        adapter,
        version,
    })
}

/// Answers one request.
///
/// # Errors
///
/// Returns what to answer if no answer was begun.
pub async fn handle(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    caller: &Caller,
    options: &RequestOptions,
    dialect: Dialect,
) -> Result<(), ApiFailure> {
    let body = read_body(shell, exchange).await?;
    let wanted = match dialect {
        Dialect::Completions => parse_completion(&body)?,
        Dialect::Chat => parse_chat(&body)?,
    };
    drop(body);
    let variant = resolve(&caller.bundle, caller, &wanted.model)?;
    let max_tokens = wanted.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 {
        let message = "at least one token must be wanted";
        return Err(ApiFailure::bad_param(
            "invalid_parameter",
            "max_tokens",
            message,
        ));
    }
    let (stream, include_usage) = (wanted.stream, wanted.include_usage);
    let name = wanted.model.clone();
    let (work, payload) = build_work(shell, wanted, &variant, max_tokens);
    let (tx, rx) = caller_channel();
    let arrival = |key: CallerKey| Arrival {
        caller: key,
        workspace: caller.workspace,
        work,
        priority: options.priority,
        timeout_ms: options.timeout_ms,
    };
    let admitted = shell.submit(arrival, tx, Some(Rc::new(payload)));
    let (request, id) = admitted.map_err(ApiFailure::from_decision)?;
    let mut answer = Answer {
        shell,
        request,
        rx,
        template: Template::new(dialect, &id.to_string(), &name),
        include_usage,
        headers: options.answer_headers(),
    };
    match stream {
        true => answer.stream(exchange).await,
        false => answer.whole(exchange).await,
    }
}

async fn read_body(shell: &Shell, exchange: &mut Exchange) -> Result<Bytes, ApiFailure> {
    let limit = shell.settings.max_body_bytes;
    exchange.body_bytes(limit).await.map_err(|e| {
        exchange.close_after();
        ApiFailure::from_http(&e)
    })
}

fn build_work(
    shell: &Shell,
    wanted: Wanted,
    variant: &Variant<'_>,
    max_tokens: u32,
) -> (Work, GeneratePayload) {
    let model = &variant.model.name;
    let (prompt_tokens, prefix, text_bytes) = match &wanted.prompt {
        Prompt::Text(text) => {
            let estimate = shell.with_node(|node| node.estimate_tokens(variant.key, text.len()));
            (
                estimate.max(1),
                block_hashes(model, text.as_bytes()),
                Some(text.len()),
            )
        }
        Prompt::Tokens(tokens) => (tokens.len() as u64, Vec::new(), None),
    };
    let work = Work::Generate(GenerateWork {
        model: variant.key,
        adapter: variant.adapter.clone(),
        version: variant.version.clone(),
        prompt_tokens,
        max_tokens,
        prefix,
    });
    let payload = GeneratePayload {
        model: model.clone(),
        adapter: variant.adapter.clone(),
        version: variant.version.clone(),
        max_tokens,
        stop: wanted.stop,
        sampling: wanted.sampling,
        prompt: wanted.prompt,
        text_bytes,
    };
    (work, payload)
}

/// The parts of a chunk that stay the same over a stream.
struct Template {
    dialect: Dialect,
    id: String,
    model: String,
    created: u64,
    before_text: String,
}

impl Template {
    fn new(dialect: Dialect, id: &str, model: &str) -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let created = since.map_or(0, |d| d.as_secs());
        let (prefix, object, field) = match dialect {
            Dialect::Completions => ("cmpl", "text_completion", "\"text\":"),
            Dialect::Chat => (
                "chatcmpl",
                "chat.completion.chunk",
                "\"delta\":{\"content\":",
            ),
        };
        let id = format!("{prefix}-{id}");
        let before_text = format!(
            "data: {{\"id\":{},\"object\":\"{object}\",\"created\":{created},\"model\":{},\
             \"choices\":[{{\"index\":0,{field}",
            json!(id),
            json!(model)
        );
        Self {
            dialect,
            id,
            model: model.to_owned(),
            created,
            before_text,
        }
    }

    /// Appends the chunk of one token.
    fn token_into(&self, buf: &mut Vec<u8>, token: &str) {
        buf.extend_from_slice(self.before_text.as_bytes());
        let _ = serde_json::to_writer(&mut *buf, token);
        buf.extend_from_slice(match self.dialect {
            Dialect::Completions => b",\"logprobs\":null,\"finish_reason\":null}]}\n\n".as_slice(),
            Dialect::Chat => b"},\"logprobs\":null,\"finish_reason\":null}]}\n\n",
        });
    }

    fn chunk(&self, choices: Value, usage: Option<Usage>) -> Vec<u8> {
        let object = match self.dialect {
            Dialect::Completions => "text_completion",
            Dialect::Chat => "chat.completion.chunk",
        };
        let mut chunk = json!({
            "id": self.id, "object": object, "created": self.created,
            "model": self.model, "choices": choices,
        });
        if let Some(usage) = usage {
            chunk["usage"] = json!(usage);
        }
        format!("data: {chunk}\n\n").into_bytes()
    }

    /// Returns the chunk that opens a stream, if the dialect has one.
    fn opening(&self) -> Vec<u8> {
        match self.dialect {
            Dialect::Completions => Vec::new(),
            Dialect::Chat => {
                let delta = json!({"role": "assistant", "content": ""});
                self.chunk(
                    json!([{"index": 0, "delta": delta, "logprobs": null, "finish_reason": null}]),
                    None,
                )
            }
        }
    }

    /// Returns the chunks that end a stream.
    fn closing(&self, reason: &str, usage: Option<Usage>) -> Vec<u8> {
        let choice = match self.dialect {
            Dialect::Completions => {
                json!({"index": 0, "text": "", "logprobs": null, "finish_reason": reason})
            }
            Dialect::Chat => {
                json!({"index": 0, "delta": {}, "logprobs": null, "finish_reason": reason})
            }
        };
        let mut buf = self.chunk(json!([choice]), None);
        if usage.is_some() {
            buf.extend_from_slice(&self.chunk(json!([]), usage));
        }
        buf.extend_from_slice(b"data: [DONE]\n\n");
        buf
    }

    fn whole(&self, text: String, reason: &str, usage: Usage) -> Value {
        let (object, choice) = match self.dialect {
            Dialect::Completions => (
                "text_completion",
                json!({"index": 0, "text": text, "logprobs": null, "finish_reason": reason}),
            ),
            Dialect::Chat => (
                "chat.completion",
                json!({
                    "index": 0, "logprobs": null, "finish_reason": reason,
                    "message": {"role": "assistant", "content": text, "refusal": null},
                }),
            ),
        };
        json!({
            "id": self.id, "object": object, "created": self.created,
            "model": self.model, "choices": [choice], "usage": usage,
        })
    }
}

fn usage_of(completion: &Completion) -> Usage {
    Usage {
        prompt_tokens: completion.prompt_tokens,
        completion_tokens: completion.completion_tokens,
        total_tokens: completion.prompt_tokens + completion.completion_tokens,
    }
}

/// An answer in the making.
struct Answer<'a> {
    shell: &'a Rc<Shell>,
    request: RequestKey,
    rx: CallerRx,
    template: Template,
    include_usage: bool,
    headers: HeaderMap,
}

enum Next {
    Event(CallerEvent),
    Gone,
}

impl Answer<'_> {
    /// Waits for the next message, or for the caller to go away.
    async fn next(&mut self, exchange: &mut Exchange) -> Next {
        if let Some(event) = self.rx.try_recv() {
            return Next::Event(event);
        }
        let gone = exchange.peer_closed();
        monoio::select! {
            event = self.rx.recv() => event.map_or(Next::Gone, Next::Event),
            () = gone => Next::Gone,
        }
    }

    fn caller_gone(&self) {
        self.shell.step(Event::CallerGone(self.request));
    }

    async fn whole(&mut self, exchange: &mut Exchange) -> Result<(), ApiFailure> {
        let mut text = String::new();
        loop {
            match self.next(exchange).await {
                Next::Event(CallerEvent::Tokens(tokens)) => {
                    tokens.iter().for_each(|token| text.push_str(token));
                }
                Next::Event(CallerEvent::Finish { result, reason }) => {
                    let completion = result.map_err(ApiFailure::from_decision)?;
                    let reason = reason.as_deref().unwrap_or("stop");
                    let body = self.template.whole(text, reason, usage_of(&completion));
                    let mut headers = std::mem::take(&mut self.headers);
                    let json = HeaderValue::from_static("application/json");
                    headers.insert(header::CONTENT_TYPE, json);
                    let body = serde_json::to_vec(&body).unwrap_or_default();
                    exchange.respond(StatusCode::OK, headers, &body).await;
                    return Ok(());
                }
                Next::Event(_) => {}
                Next::Gone => {
                    self.caller_gone();
                    exchange.abort();
                    return Ok(());
                }
            }
        }
    }

    async fn stream(&mut self, exchange: &mut Exchange) -> Result<(), ApiFailure> {
        let mut begun = false;
        loop {
            let mut buf = Vec::new();
            let mut over = None;
            match self.next(exchange).await {
                Next::Event(event) => self.render(event, &mut buf, &mut over),
                Next::Gone => {
                    self.caller_gone();
                    exchange.abort();
                    return Ok(());
                }
            }
            // All that waits goes out in one write.
            while let (None, Some(event)) = (&over, self.rx.try_recv()) {
                self.render(event, &mut buf, &mut over);
            }
            if let (false, Some(Err(failure))) = (begun, &over) {
                return Err(failure.clone());
            }
            let whole = matches!(over, Some(Ok(())));
            if let Some(Err(failure)) = &over {
                let error = serde_json::to_string(&failure.body()).unwrap_or_default();
                buf.extend_from_slice(format!("data: {error}\n\n").as_bytes());
            }
            let sent = self.send(exchange, &buf, &mut begun).await;
            if sent.is_err() {
                self.caller_gone();
                exchange.abort();
                return Ok(());
            }
            if over.is_some() {
                if !whole {
                    exchange.close_after();
                }
                let _ = exchange.finish_stream().await;
                return Ok(());
            }
        }
    }

    fn render(
        &self,
        event: CallerEvent,
        buf: &mut Vec<u8>,
        over: &mut Option<Result<(), ApiFailure>>,
    ) {
        match event {
            CallerEvent::Tokens(tokens) => {
                for token in &tokens {
                    self.template.token_into(buf, token);
                }
            }
            CallerEvent::Finish {
                result: Ok(completion),
                reason,
            } => {
                let usage = self.include_usage.then(|| usage_of(&completion));
                let reason = reason.as_deref().unwrap_or("stop");
                buf.extend_from_slice(&self.template.closing(reason, usage));
                *over = Some(Ok(()));
            }
            CallerEvent::Finish {
                result: Err(failure),
                ..
            } => *over = Some(Err(ApiFailure::from_decision(failure))),
            CallerEvent::Send(_) | CallerEvent::Stored(_) => {}
        }
    }

    async fn send(
        &mut self,
        exchange: &mut Exchange,
        data: &[u8],
        begun: &mut bool,
    ) -> Result<(), notchwalk_http::HttpError> {
        if *begun {
            let mut framed = Vec::with_capacity(data.len() + 16);
            chunk_into(&mut framed, data);
            return exchange.write_framed(&framed).await;
        }
        *begun = true;
        let mut headers = std::mem::take(&mut self.headers);
        let kind = HeaderValue::from_static("text/event-stream; charset=utf-8");
        headers.insert(header::CONTENT_TYPE, kind);
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        let mut first = self.template.opening();
        first.extend_from_slice(data);
        exchange.start_stream(StatusCode::OK, headers, &first).await
    }
}
