//! `/v1/completions` and `/v1/chat/completions`.

use std::rc::Rc;

use bytes::Bytes;
use http::{header, HeaderMap, HeaderValue, StatusCode};
use notchwalk_bundle::{Bundle, Model};
use notchwalk_decide::{block_hashes, Arrival, CallerKey, Event, GenerateWork, RequestKey, Work};
use notchwalk_http::{chunk_into, Exchange};
use notchwalk_quarantine::{Fingerprint, FingerprintBuilder, RequestHead};
use notchwalk_wire::Prompt;

use crate::{
    answer_template::{usage_of, Template},
    api_error::ApiFailure,
    auth::Caller,
    channel::{caller_channel, CallerEvent, CallerRx},
    completion_request::{self, Dialect, Wanted},
    request_options::RequestOptions,
    shell::{GeneratePayload, Shell},
};

/// Tokens of an answer whose request names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

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
    refuse_unread(shell, caller)?;
    let body = read_body(shell, exchange).await?;
    let wanted = completion_request::parse(dialect, &body)?;
    let content = content_of(exchange, caller, &body);
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
        content: Some(content),
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

/// Returns what identifies a request over its tries.
fn content_of(exchange: &Exchange, caller: &Caller, body: &[u8]) -> Fingerprint {
    let workspace = caller.bundle.workspace(caller.workspace);
    let mut fingerprinting = FingerprintBuilder::new(&RequestHead {
        workspace: Some(&workspace.name),
        method: exchange.head.method.as_str(),
        host: "",
        target: exchange.path(),
    });
    fingerprinting.update(body);
    fingerprinting.finish()
}

/// Refuses what is refused whatever the body says, before it is read: a
/// refusal must cost less than the work it refuses.
fn refuse_unread(shell: &Shell, caller: &Caller) -> Result<(), ApiFailure> {
    let now = shell.now();
    let refusal = shell.with_node(|node| node.early_refusal(now, caller.workspace));
    match refusal {
        Some(failure) => Err(ApiFailure::from_decision(failure)),
        None => Ok(()),
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
