//! `/v1/services/{service}/{path}`: calls of plain services, bodies streamed
//! both ways.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use notchwalk_core::RequestId;
use notchwalk_decide::{
    claim_key, Arrival, AttemptEnd, CallWork, CallerKey, Dispatch, Event, RequestKey, Work,
};
use notchwalk_http::{
    chunk_into, request_head, Connection, Exchange, HttpError, Reuse, StreamedResponse, CHUNK_END,
};
use notchwalk_quarantine::{Fingerprint, FingerprintBuilder, RequestHead};

use crate::{
    api_error::ApiFailure,
    auth::Caller,
    channel::{caller_channel, CallerEvent, CallerRx},
    claim_writer,
    claims::StoredOutcome,
    request_options::RequestOptions,
    shell::Shell,
};

/// The largest body that is held so that its call can be repeated or told from
/// another with the same idempotency key.
const MAX_HELD_BODY: usize = 1 << 20;
/// The largest answer that is stored under an idempotency key.
const MAX_STORED_BODY: usize = 64 * 1024;
/// The longest idempotency key.
const MAX_KEY: usize = 255;
/// Bytes of one piece of a streamed body.
const MAX_PIECE: usize = 1 << 20;
/// Headers that belong to one connection only, or to the entry.
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "authorization",
    "expect",
];

/// What is known of a call's body.
enum Body {
    /// It was read whole.
    Held(Bytes),
    /// It is streamed from the caller.
    Streamed,
}

struct Call<'a> {
    shell: &'a Rc<Shell>,
    request: RequestKey,
    id: RequestId,
    rx: CallerRx,
    target: String,
    method: Method,
    headers: HeaderMap,
    body: Body,
    repeatable: bool,
    claim: Option<(String, String)>,
    answer_headers: HeaderMap,
}

/// Answers one call.
///
/// # Errors
///
/// Returns what to answer if no answer was begun.
pub async fn handle(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    caller: &Caller,
    options: &RequestOptions,
    rest: &str,
) -> Result<(), ApiFailure> {
    let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
    let missing = || {
        let message = format!("there is no service {name:?} for this key");
        ApiFailure::not_run(StatusCode::NOT_FOUND, "service_not_found", message)
    };
    let key = caller.bundle.service_named(name).ok_or_else(missing)?;
    let workspace = caller.bundle.workspace(caller.workspace);
    if !workspace.services.contains(&key) {
        return Err(missing());
    }
    let service = &caller.bundle.services[key.index()];
    let method = exchange.head.method.clone();
    let idempotency_key = idempotency_key(exchange)?;
    let body = read_if_needed(exchange, idempotency_key.is_some()).await?;
    let listed = service
        .repeatable_methods
        .iter()
        .any(|m| m == method.as_str());
    let repeatable = listed && matches!(body, Body::Held(_)) && idempotency_key.is_none();
    let target = target_of(exchange, name);
    let fingerprint = fingerprint(&method, &target, &body);
    let content = content_of(&workspace.name, &method, &target, &body);
    let claim = idempotency_key.as_ref().map(|idempotency_key| {
        let key = claim_key(&workspace.name, name, idempotency_key);
        (key, fingerprint.clone())
    });
    let (tx, rx) = caller_channel();
    let arrival = |caller_key: CallerKey| Arrival {
        caller: caller_key,
        workspace: caller.workspace,
        work: Work::Call(CallWork {
            service: key,
            repeatable,
            idempotency_key,
            fingerprint,
        }),
        content,
        priority: options.priority,
        timeout_ms: Some(options.timeout_ms.unwrap_or(service.timeout_ms)),
    };
    let admitted = shell.submit(arrival, tx, None);
    let (request, id) = admitted.map_err(ApiFailure::from_decision)?;
    let call = Call {
        shell,
        request,
        id,
        rx,
        target,
        method,
        headers: forwarded_headers(&exchange.head.headers),
        body,
        repeatable,
        claim,
        answer_headers: options.answer_headers(),
    };
    call.run(exchange).await
}

fn idempotency_key(exchange: &Exchange) -> Result<Option<String>, ApiFailure> {
    if !exchange.head.headers.contains_key("idempotency-key") {
        return Ok(None);
    }
    let key = exchange.header("idempotency-key").map(str::trim);
    match key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY) {
        Some(key) => Ok(Some(key.to_owned())),
        None => {
            let message = format!("an idempotency key has 1 to {MAX_KEY} visible characters");
            Err(ApiFailure::bad_param(
                "invalid_header",
                "Idempotency-Key",
                message,
            ))
        }
    }
}

/// Reads the body whole if there is none, if it is small, or if it must be
/// known before the call is sent.
async fn read_if_needed(exchange: &mut Exchange, must: bool) -> Result<Body, ApiFailure> {
    const SMALL: u64 = 64 * 1024;
    let small = exchange.declared_length().is_some_and(|n| n <= SMALL);
    if !exchange.body_is_done() && !must && !small {
        return Ok(Body::Streamed);
    }
    match exchange.body_bytes(MAX_HELD_BODY).await {
        Ok(body) => Ok(Body::Held(body)),
        Err(e) => {
            exchange.close_after();
            Err(ApiFailure::from_http(&e))
        }
    }
}

/// The path at the service: what follows its name, with the query.
fn target_of(exchange: &Exchange, name: &str) -> String {
    let prefix = format!("/v1/services/{name}");
    let whole = exchange
        .head
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str());
    let rest = whole.strip_prefix(prefix.as_str()).unwrap_or("");
    match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    }
}

/// Returns what identifies a call over its tries; a body that is passed on unread tells
/// nothing.
fn content_of(workspace: &str, method: &Method, target: &str, body: &Body) -> Option<Fingerprint> {
    let Body::Held(body) = body else {
        return None;
    };
    let mut fingerprinting = FingerprintBuilder::new(&RequestHead {
        workspace: Some(workspace),
        method: method.as_str(),
        host: "",
        target,
    });
    fingerprinting.update(body);
    Some(fingerprinting.finish())
}

fn fingerprint(method: &Method, target: &str, body: &Body) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(method.as_str().as_bytes());
    hasher.update(b"\n");
    hasher.update(target.as_bytes());
    hasher.update(b"\n");
    if let Body::Held(body) = body {
        hasher.update(body);
    }
    hasher.finalize().to_hex().to_string()
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        if HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

/// How a try at a server ended for the call's task.
enum Tried {
    /// The reducer was told; its next word decides.
    Reported,
    /// The answer was passed on whole.
    Answered,
    /// The answer broke off after it was begun, or the caller is gone.
    Cut,
}

impl Call<'_> {
    async fn run(mut self, exchange: &mut Exchange) -> Result<(), ApiFailure> {
        loop {
            let event = match exchange.body_is_done() {
                true => {
                    let gone = exchange.peer_closed();
                    monoio::select! {
                        event = self.rx.recv() => event,
                        () = gone => {
                            self.shell.step(Event::CallerGone(self.request));
                            exchange.abort();
                            return Ok(());
                        }
                    }
                }
                false => self.rx.recv().await,
            };
            match event {
                Some(CallerEvent::Send(dispatch)) => match self.try_once(exchange, dispatch).await?
                {
                    Tried::Reported => {}
                    Tried::Answered => return Ok(()),
                    Tried::Cut => {
                        exchange.abort();
                        return Ok(());
                    }
                },
                Some(CallerEvent::Stored(key)) => return self.replay(exchange, key).await,
                Some(CallerEvent::Finish { result, .. }) => {
                    return match result {
                        Err(failure) => Err(ApiFailure::from_decision(failure)),
                        Ok(_) => Ok(()),
                    };
                }
                Some(CallerEvent::Tokens(_)) => {}
                None => {
                    exchange.abort();
                    return Ok(());
                }
            }
        }
    }

    /// Answers with the stored outcome of an earlier call.
    async fn replay(&self, exchange: &mut Exchange, key: String) -> Result<(), ApiFailure> {
        let outcome = claim_writer::read_outcome(self.shell, key).await;
        let Some(outcome) = outcome else {
            let message = "the call ran before; its stored outcome can't be read now";
            let mut failure = ApiFailure::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "outcome_unavailable",
                message,
            );
            failure.outcome = notchwalk_wire::OutcomeWord::Ran;
            failure.retry_after_ms = Some(1_000);
            return Err(failure);
        };
        let Some(body) = outcome.body else {
            let message = "the call ran before; its answer was too large to store";
            let mut failure =
                ApiFailure::not_run(StatusCode::CONFLICT, "outcome_not_stored", message);
            failure.outcome = notchwalk_wire::OutcomeWord::Ran;
            return Err(failure);
        };
        let mut headers = self.answer_headers.clone();
        if let Ok(kind) = HeaderValue::from_str(&outcome.content_type) {
            headers.insert(header::CONTENT_TYPE, kind);
        }
        headers.insert("x-notchwalk-replayed", HeaderValue::from_static("true"));
        let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
        exchange.respond(status, headers, &body).await;
        Ok(())
    }

    fn report(&self, dispatch: &Dispatch, end: AttemptEnd) {
        self.shell.step(Event::AttemptEnded {
            request: self.request,
            attempt: dispatch.attempt,
            end,
        });
    }

    async fn try_once(
        &mut self,
        exchange: &mut Exchange,
        dispatch: Dispatch,
    ) -> Result<Tried, ApiFailure> {
        let timeout = Duration::from_millis(dispatch.timeout_ms);
        let began = std::time::Instant::now();
        let answer = monoio::time::timeout(timeout, self.send(exchange, &dispatch)).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) if e.nothing_sent() => {
                self.report(&dispatch, AttemptEnd::NotSent);
                return Ok(Tried::Reported);
            }
            Ok(Err(_)) | Err(_) => {
                self.report(&dispatch, AttemptEnd::Broken);
                return Ok(Tried::Reported);
            }
        };
        let left = timeout.saturating_sub(began.elapsed());
        let passed = self.pass_on(exchange, &dispatch, answer);
        Ok(monoio::time::timeout(left, passed)
            .await
            .unwrap_or(Tried::Cut))
    }

    /// Sends the call. Only a fresh connection carries a call that may not be
    /// repeated, so that a refused connection proves it was not sent.
    async fn send(
        &self,
        exchange: &mut Exchange,
        dispatch: &Dispatch,
    ) -> Result<StreamedResponse, HttpError> {
        let addr = self.shell.server_address(dispatch.server);
        let unreachable = || HttpError::Connect(std::io::ErrorKind::NotFound.into());
        let addr = addr.ok_or_else(unreachable)?;
        let reuse = match self.repeatable {
            true => Reuse::Pooled,
            false => Reuse::Fresh,
        };
        let mut conn = self.shell.client.connection(addr, reuse).await?;
        let length = match &self.body {
            Body::Held(body) => Some(body.len()),
            Body::Streamed => None,
        };
        let mut headers = self.headers.clone();
        if let Ok(id) = HeaderValue::from_str(&self.id.to_string()) {
            headers.insert(HeaderName::from_static("x-notchwalk-request"), id);
        }
        let host = addr.to_string();
        let mut head = request_head(&self.method, &self.target, &host, &headers, length);
        if let Body::Held(body) = &self.body {
            head.extend_from_slice(body);
        }
        conn.write_all(&head).await?;
        if matches!(self.body, Body::Streamed) {
            stream_body(exchange, &mut conn).await?;
        }
        let client = &self.shell.client;
        client.receive(addr, conn, &self.method, reuse).await
    }

    /// Passes the service's answer on to the caller.
    async fn pass_on(
        &mut self,
        exchange: &mut Exchange,
        dispatch: &Dispatch,
        mut answer: StreamedResponse,
    ) -> Tried {
        let mut headers = forwarded_headers(&answer.headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.extend(self.answer_headers.clone());
        let kind = headers
            .get(header::CONTENT_TYPE)
            .and_then(|v| v.to_str().ok());
        let kind = kind.unwrap_or("application/octet-stream").to_owned();
        let status = answer.status;
        let bodiless = self.method == Method::HEAD || status == StatusCode::NO_CONTENT;
        if !bodiless
            && exchange
                .start_stream(status, headers.clone(), b"")
                .await
                .is_err()
        {
            self.report(dispatch, AttemptEnd::Broken);
            return Tried::Cut;
        }
        let mut stored = Vec::new();
        loop {
            match answer.next().await {
                Ok(Some(piece)) => {
                    if stored.len() <= MAX_STORED_BODY {
                        stored.extend_from_slice(&piece);
                    }
                    let mut framed = Vec::with_capacity(piece.len() + 16);
                    chunk_into(&mut framed, &piece);
                    if exchange.write_framed(&framed).await.is_err() && self.claim.is_none() {
                        self.report(dispatch, AttemptEnd::Broken);
                        return Tried::Cut;
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    self.report(dispatch, AttemptEnd::Broken);
                    return Tried::Cut;
                }
            }
        }
        answer.release();
        self.store(status, kind, stored);
        self.report(
            dispatch,
            AttemptEnd::Complete {
                prompt_tokens: 0,
                cached_tokens: 0,
                completion_tokens: 0,
            },
        );
        if bodiless {
            exchange.respond(status, headers, b"").await;
            return Tried::Answered;
        }
        match exchange.finish_stream().await {
            Ok(()) => Tried::Answered,
            Err(_) => Tried::Cut,
        }
    }

    /// Stores the outcome of a claimed call.
    fn store(&self, status: StatusCode, content_type: String, body: Vec<u8>) {
        let Some((key, fingerprint)) = self.claim.clone() else {
            return;
        };
        let outcome = StoredOutcome {
            status: status.as_u16(),
            content_type,
            body: (body.len() <= MAX_STORED_BODY).then_some(body),
        };
        let token = self.id.to_string();
        claim_writer::store(self.shell, key, token, fingerprint, outcome);
    }
}

/// Passes the caller's body on, a piece at a time.
async fn stream_body(exchange: &mut Exchange, conn: &mut Connection) -> Result<(), HttpError> {
    while let Some(piece) = exchange.next_piece(MAX_PIECE).await? {
        let mut framed = Vec::with_capacity(piece.len() + 16);
        chunk_into(&mut framed, &piece);
        conn.write_all(&framed).await?;
    }
    conn.write_all(CHUNK_END).await?;
    Ok(())
}
