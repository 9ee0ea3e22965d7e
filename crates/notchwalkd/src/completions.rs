//! Handler of `/v1/completions` and `/v1/chat/completions`.

use std::rc::Rc;

use http::{header, HeaderMap, HeaderValue, StatusCode};
use notchwalk_bundle::{Bundle, Model};
use notchwalk_decide::{block_hashes, Arrival, CallerKey, Event, GenerateWork, RequestKey, Work};
use notchwalk_http::{encode_chunk, Body, Exchange, Reservation};
use notchwalk_quarantine::{Fingerprint, FingerprintBuilder, RequestHead};
use notchwalk_wire::Prompt;

use crate::{
    api_error::ApiFailure,
    auth::Caller,
    channel::{caller_channel, CallerEvent, CallerRx},
    completion_request::{self, Dialect, ParsedRequest},
    request_options::RequestOptions,
    response_template::{usage_from, ResponseTemplate},
    shell::{GeneratePayload, Shell},
};

/// Limit on generated tokens if the request has none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A model with the requested adapter and version.
struct ModelVariant<'a> {
    key: notchwalk_bundle::ModelKey,
    model: &'a Model,
    adapter: Option<String>,
    version: Option<String>,
}

/// Resolves `MODEL`, `MODEL:ADAPTER`, `MODEL@VERSION` or `MODEL:ADAPTER@VERSION`.
fn resolve_model<'a>(
    bundle: &'a Bundle,
    caller: &Caller,
    name: &str,
) -> Result<ModelVariant<'a>, ApiFailure> {
    let not_found = |code, message: String| {
        let mut failure = ApiFailure::invalid_param(code, "model", message);
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
        not_found(
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
        return Err(not_found("adapter_not_found", message));
    }
    if let Some(version) = version.as_ref().filter(|v| !model.versions.contains(v)) {
        let message = format!("{base} has no version {version:?}");
        return Err(not_found("version_not_found", message));
    }
    Ok(ModelVariant {
        key,
        model,
        adapter,
        version,
    })
}

/// Handles one completion request.
///
/// # Errors
///
/// Returns the error response if no response has been started.
pub async fn handle(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    caller: &Caller,
    options: &RequestOptions,
    dialect: Dialect,
) -> Result<(), ApiFailure> {
    check_early_refusal(shell, caller)?;
    let body = read_body(shell, exchange).await?;
    let content = content_fingerprint(exchange, caller, &body);
    let (body, memory) = body.into_contiguous();
    let parsed = completion_request::parse(dialect, &body)?;
    drop(body);
    let memory = reserve_payload(memory, &parsed).await?;
    let variant = resolve_model(&caller.bundle, caller, &parsed.model)?;
    let max_tokens = parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 {
        let message = "at least one token must be wanted";
        return Err(ApiFailure::invalid_param(
            "invalid_parameter",
            "max_tokens",
            message,
        ));
    }
    let (stream, include_usage) = (parsed.stream, parsed.include_usage);
    let name = parsed.model.clone();
    let (work, mut payload) = build_work(shell, parsed, &variant, max_tokens);
    payload.memory = memory;
    let (tx, rx) = caller_channel(exchange.reservation());
    let arrival = |key: CallerKey| Arrival {
        caller: key,
        workspace: caller.workspace,
        work,
        content: Some(content),
        priority: options.priority,
        timeout_ms: options.timeout_ms,
    };
    let admitted = shell.submit(arrival, tx, Some(Rc::new(payload)));
    let (request, id) = admitted.map_err(ApiFailure::from_failure)?;
    let mut response = Response {
        shell,
        request,
        rx,
        template: ResponseTemplate::new(dialect, &id.to_string(), &name),
        include_usage,
        headers: options.response_headers(),
    };
    match stream {
        true => response.stream(exchange).await,
        false => response.send_complete(exchange).await,
    }
}

/// Returns a fingerprint that is equal for repeats of a request.
fn content_fingerprint(exchange: &Exchange, caller: &Caller, body: &Body) -> Fingerprint {
    let workspace = caller.bundle.workspace(caller.workspace);
    let mut builder = FingerprintBuilder::new(&RequestHead {
        workspace: Some(&workspace.name),
        method: exchange.head.method.as_str(),
        host: "",
        target: exchange.path(),
    });
    for piece in body.pieces() {
        builder.update(piece);
    }
    builder.finish()
}

/// Adapts the memory that is reserved for the body to what is kept of it.
async fn reserve_payload(
    mut memory: Option<Reservation>,
    parsed: &ParsedRequest,
) -> Result<Option<Reservation>, ApiFailure> {
    if let Some(memory) = &mut memory {
        let kept = parsed.kept_bytes();
        memory.shrink_to(kept);
        let grown = memory.grow_to(kept).await;
        grown.map_err(|e| ApiFailure::from_http(&e))?;
    }
    Ok(memory)
}

/// Refuses requests that can be refused without reading their bodies, so that
/// refusals stay cheap under overload.
fn check_early_refusal(shell: &Shell, caller: &Caller) -> Result<(), ApiFailure> {
    let now = shell.now();
    let refusal = shell.with_node(|node| node.early_refusal(now, caller.workspace));
    match refusal {
        Some(failure) => Err(ApiFailure::from_failure(failure)),
        None => Ok(()),
    }
}

async fn read_body(shell: &Shell, exchange: &mut Exchange) -> Result<Body, ApiFailure> {
    let limit = shell.settings.max_body_bytes;
    exchange.read_body_with(limit, |_| {}).await.map_err(|e| {
        exchange.close_after();
        ApiFailure::from_http(&e)
    })
}

fn build_work(
    shell: &Shell,
    parsed: ParsedRequest,
    variant: &ModelVariant<'_>,
    max_tokens: u32,
) -> (Work, GeneratePayload) {
    let model = &variant.model.name;
    let (prompt_tokens, prefix, text_bytes) = match &parsed.prompt {
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
        stop: parsed.stop,
        sampling: parsed.sampling,
        prompt: parsed.prompt,
        text_bytes,
        memory: None,
    };
    (work, payload)
}

/// A response being sent.
struct Response<'a> {
    shell: &'a Rc<Shell>,
    request: RequestKey,
    rx: CallerRx,
    template: ResponseTemplate,
    include_usage: bool,
    headers: HeaderMap,
}

enum NextEvent {
    Event(CallerEvent),
    Disconnected,
}

impl Response<'_> {
    /// Waits for the next event or for the caller to disconnect.
    async fn next(&mut self, exchange: &mut Exchange) -> NextEvent {
        if let Some(event) = self.rx.try_recv() {
            return NextEvent::Event(event);
        }
        let disconnected = exchange.peer_closed();
        monoio::select! {
            event = self.rx.recv() => event.map_or(NextEvent::Disconnected, NextEvent::Event),
            () = disconnected => NextEvent::Disconnected,
        }
    }

    fn report_disconnect(&self) {
        self.shell.step(Event::CallerDisconnected(self.request));
    }

    async fn send_complete(&mut self, exchange: &mut Exchange) -> Result<(), ApiFailure> {
        let mut text = String::new();
        loop {
            match self.next(exchange).await {
                NextEvent::Event(CallerEvent::Tokens(tokens)) => {
                    tokens.iter().for_each(|token| text.push_str(token));
                }
                NextEvent::Event(CallerEvent::Finish { result, reason }) => {
                    let completion = result.map_err(ApiFailure::from_failure)?;
                    let reason = reason.as_deref().unwrap_or("stop");
                    let body = self
                        .template
                        .full_body(text, reason, usage_from(&completion));
                    let mut headers = std::mem::take(&mut self.headers);
                    let json = HeaderValue::from_static("application/json");
                    headers.insert(header::CONTENT_TYPE, json);
                    let body = serde_json::to_vec(&body).unwrap_or_default();
                    exchange.respond(StatusCode::OK, headers, &body).await;
                    return Ok(());
                }
                NextEvent::Event(_) => {}
                NextEvent::Disconnected => {
                    self.report_disconnect();
                    exchange.abort();
                    return Ok(());
                }
            }
        }
    }

    async fn stream(&mut self, exchange: &mut Exchange) -> Result<(), ApiFailure> {
        let mut started = false;
        loop {
            let mut buf = Vec::new();
            let mut end = None;
            match self.next(exchange).await {
                NextEvent::Event(event) => self.render(event, &mut buf, &mut end),
                NextEvent::Disconnected => {
                    self.report_disconnect();
                    exchange.abort();
                    return Ok(());
                }
            }
            // Coalesces all pending events into one write.
            while let (None, Some(event)) = (&end, self.rx.try_recv()) {
                self.render(event, &mut buf, &mut end);
            }
            if let (false, Some(Err(failure))) = (started, &end) {
                return Err(failure.clone());
            }
            let is_complete = matches!(end, Some(Ok(())));
            if let Some(Err(failure)) = &end {
                let error = serde_json::to_string(&failure.body()).unwrap_or_default();
                buf.extend_from_slice(format!("data: {error}\n\n").as_bytes());
            }
            let sent = self.send(exchange, &buf, &mut started).await;
            if sent.is_err() {
                self.report_disconnect();
                exchange.abort();
                return Ok(());
            }
            if end.is_some() {
                if !is_complete {
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
        end: &mut Option<Result<(), ApiFailure>>,
    ) {
        match event {
            CallerEvent::Tokens(tokens) => {
                for token in &tokens {
                    self.template.write_token(buf, token);
                }
            }
            CallerEvent::Finish {
                result: Ok(completion),
                reason,
            } => {
                let usage = self.include_usage.then(|| usage_from(&completion));
                let reason = reason.as_deref().unwrap_or("stop");
                buf.extend_from_slice(&self.template.closing_chunks(reason, usage));
                *end = Some(Ok(()));
            }
            CallerEvent::Finish {
                result: Err(failure),
                ..
            } => *end = Some(Err(ApiFailure::from_failure(failure))),
            CallerEvent::Send(_) | CallerEvent::Stored(_) => {}
        }
    }

    async fn send(
        &mut self,
        exchange: &mut Exchange,
        data: &[u8],
        started: &mut bool,
    ) -> Result<(), notchwalk_http::HttpError> {
        if *started {
            let mut framed = Vec::with_capacity(data.len() + 16);
            encode_chunk(&mut framed, data);
            return exchange.write_chunks(&framed).await;
        }
        *started = true;
        let mut headers = std::mem::take(&mut self.headers);
        let content_type = HeaderValue::from_static("text/event-stream; charset=utf-8");
        headers.insert(header::CONTENT_TYPE, content_type);
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        let mut first = self.template.opening_chunk();
        first.extend_from_slice(data);
        exchange.start_stream(StatusCode::OK, headers, &first).await
    }
}
