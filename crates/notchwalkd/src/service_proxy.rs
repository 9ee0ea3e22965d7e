//! Proxy of calls to plain services at `/v1/services/{service}/{path}`. Bodies are
//! streamed in both directions.

use std::{rc::Rc, time::Duration};

use http::{header, HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use notchwalk_core::RequestId;
use notchwalk_decide::{
    claim_key, Arrival, AttemptEnd, CallWork, CallerKey, Dispatch, Event, RequestKey, Work,
};
use notchwalk_http::{
    encode_chunk, encode_request_head, Body, Connection, ConnectionReuse, Exchange, HttpError,
    StreamedResponse, CHUNK_END,
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

/// Maximum size of a request body that is buffered, which retries and idempotency
/// keys require, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// Maximum size of a response body stored under an idempotency key, in bytes.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Headers that are not forwarded: hop-by-hop headers and those addressed to the node.
const UNFORWARDED_HEADERS: [&str; 10] = [
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

/// The request body of a call.
enum CallBody {
    /// Read completely before the call is submitted.
    Buffered(Body),
    /// Forwarded from the caller chunk by chunk.
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
    body: CallBody,
    repeatable: bool,
    /// Table key and fingerprint of the claim, if the call has an idempotency key.
    claim: Option<(String, String)>,
    response_headers: HeaderMap,
}

/// Handles one call.
///
/// # Errors
///
/// Returns the error response if no response has been started.
pub async fn handle(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    caller: &Caller,
    options: &RequestOptions,
    rest: &str,
) -> Result<(), ApiFailure> {
    let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
    let not_found = || {
        let message = format!("there is no service {name:?} for this key");
        ApiFailure::not_run(StatusCode::NOT_FOUND, "service_not_found", message)
    };
    let key = caller.bundle.service_named(name).ok_or_else(not_found)?;
    let workspace = caller.bundle.workspace(caller.workspace);
    if !workspace.services.contains(&key) {
        return Err(not_found());
    }
    let service = &caller.bundle.services[key.index()];
    let method = exchange.head.method.clone();
    let idempotency_key = idempotency_key(exchange)?;
    let body = read_body(exchange, idempotency_key.is_some()).await?;
    let is_repeatable_method = service
        .repeatable_methods
        .iter()
        .any(|m| m == method.as_str());
    let repeatable =
        is_repeatable_method && matches!(body, CallBody::Buffered(_)) && idempotency_key.is_none();
    let target = service_target(exchange, name);
    let fingerprint = call_fingerprint(&method, &target, &body);
    let content = content_fingerprint(&workspace.name, &method, &target, &body);
    let claim = idempotency_key.as_ref().map(|idempotency_key| {
        let key = claim_key(&workspace.name, name, idempotency_key);
        (key, fingerprint.clone())
    });
    let (tx, rx) = caller_channel(exchange.reservation());
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
    let (request, id) = admitted.map_err(ApiFailure::from_failure)?;
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
        response_headers: options.response_headers(),
    };
    call.run(exchange).await
}

fn idempotency_key(exchange: &Exchange) -> Result<Option<String>, ApiFailure> {
    if !exchange.head.headers.contains_key("idempotency-key") {
        return Ok(None);
    }
    let key = exchange.header("idempotency-key").map(str::trim);
    match key.filter(|key| !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES) {
        Some(key) => Ok(Some(key.to_owned())),
        None => {
            let message = format!(
                "an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible characters"
            );
            Err(ApiFailure::invalid_param(
                "invalid_header",
                "Idempotency-Key",
                message,
            ))
        }
    }
}

/// Buffers the body if it is empty, small or `required` before the call is sent.
async fn read_body(exchange: &mut Exchange, required: bool) -> Result<CallBody, ApiFailure> {
    const SMALL_BODY_BYTES: u64 = 64 * 1024;
    let is_small = exchange
        .declared_length()
        .is_some_and(|n| n <= SMALL_BODY_BYTES);
    if !exchange.body_is_done() && !required && !is_small {
        return Ok(CallBody::Streamed);
    }
    match exchange
        .read_body_with(MAX_BUFFERED_BODY_BYTES, |_| {})
        .await
    {
        Ok(body) => Ok(CallBody::Buffered(body)),
        Err(e) => {
            exchange.close_after();
            Err(ApiFailure::from_http(&e))
        }
    }
}

/// Returns the request target at the service: the path after the service's name, and
/// the query.
fn service_target(exchange: &Exchange, name: &str) -> String {
    let prefix = format!("/v1/services/{name}");
    let full_target = exchange
        .head
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str());
    let rest = full_target.strip_prefix(prefix.as_str()).unwrap_or("");
    match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    }
}

/// Returns a fingerprint that is equal for repeats of a call; `None` if the body is
/// streamed.
fn content_fingerprint(
    workspace: &str,
    method: &Method,
    target: &str,
    body: &CallBody,
) -> Option<Fingerprint> {
    let CallBody::Buffered(body) = body else {
        return None;
    };
    let mut builder = FingerprintBuilder::new(&RequestHead {
        workspace: Some(workspace),
        method: method.as_str(),
        host: "",
        target,
    });
    for piece in body.pieces() {
        builder.update(piece);
    }
    Some(builder.finish())
}

/// Returns the digest that is stored with a call's claim. It distinguishes a repeat of
/// the call from a different one under the same idempotency key.
fn call_fingerprint(method: &Method, target: &str, body: &CallBody) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(method.as_str().as_bytes());
    hasher.update(b"\n");
    hasher.update(target.as_bytes());
    hasher.update(b"\n");
    if let CallBody::Buffered(body) = body {
        for piece in body.pieces() {
            hasher.update(piece);
        }
    }
    hasher.finalize().to_hex().to_string()
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        if UNFORWARDED_HEADERS.contains(&name.as_str()) {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

/// The result of an attempt.
enum AttemptResult {
    /// The attempt failed; the reducer decides on a retry.
    Failed,
    /// The complete response was forwarded.
    Forwarded,
    /// The response was truncated, or the caller disconnected.
    Truncated,
}

impl Call<'_> {
    async fn run(mut self, exchange: &mut Exchange) -> Result<(), ApiFailure> {
        loop {
            let event = match exchange.body_is_done() {
                true => {
                    let disconnected = exchange.peer_closed();
                    monoio::select! {
                        event = self.rx.recv() => event,
                        () = disconnected => {
                            self.shell.step(Event::CallerDisconnected(self.request));
                            exchange.abort();
                            return Ok(());
                        }
                    }
                }
                false => self.rx.recv().await,
            };
            match event {
                Some(CallerEvent::Send(dispatch)) => {
                    match self.run_attempt(exchange, dispatch).await? {
                        AttemptResult::Failed => {}
                        AttemptResult::Forwarded => return Ok(()),
                        AttemptResult::Truncated => {
                            exchange.abort();
                            return Ok(());
                        }
                    }
                }
                Some(CallerEvent::Stored(key)) => return self.replay(exchange, key).await,
                Some(CallerEvent::Finish { result, .. }) => {
                    return match result {
                        Err(failure) => Err(ApiFailure::from_failure(failure)),
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

    /// Responds with the stored outcome of an earlier call.
    async fn replay(&self, exchange: &mut Exchange, key: String) -> Result<(), ApiFailure> {
        let outcome = claim_writer::read_outcome(self.shell, key).await;
        let Some(outcome) = outcome else {
            let message = "the call ran before; its stored outcome can't be read now";
            let mut failure = ApiFailure::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "outcome_unavailable",
                message,
            );
            failure.outcome = notchwalk_wire::ExecutionOutcome::Ran;
            failure.retry_after_ms = Some(1_000);
            return Err(failure);
        };
        let Some(body) = outcome.body else {
            let message = "the call ran before; its answer was too large to store";
            let mut failure =
                ApiFailure::not_run(StatusCode::CONFLICT, "outcome_not_stored", message);
            failure.outcome = notchwalk_wire::ExecutionOutcome::Ran;
            return Err(failure);
        };
        let mut headers = self.response_headers.clone();
        if let Ok(content_type) = HeaderValue::from_str(&outcome.content_type) {
            headers.insert(header::CONTENT_TYPE, content_type);
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

    async fn run_attempt(
        &mut self,
        exchange: &mut Exchange,
        dispatch: Dispatch,
    ) -> Result<AttemptResult, ApiFailure> {
        let timeout = Duration::from_millis(dispatch.timeout_ms);
        let started_at = std::time::Instant::now();
        let response = monoio::time::timeout(timeout, self.send(exchange, &dispatch)).await;
        let response = match response {
            Ok(Ok(response)) => response,
            Ok(Err(e)) if e.is_unsent() => {
                self.report(&dispatch, AttemptEnd::NotSent);
                return Ok(AttemptResult::Failed);
            }
            Ok(Err(_)) | Err(_) => {
                self.report(&dispatch, AttemptEnd::Broken);
                return Ok(AttemptResult::Failed);
            }
        };
        let remaining = timeout.saturating_sub(started_at.elapsed());
        let forwarded = self.forward_response(exchange, &dispatch, response);
        Ok(monoio::time::timeout(remaining, forwarded)
            .await
            .unwrap_or(AttemptResult::Truncated))
    }

    /// Sends the call. A call that may not be repeated uses a new connection, so that
    /// a refused connection proves that the call was not sent.
    async fn send(
        &self,
        exchange: &mut Exchange,
        dispatch: &Dispatch,
    ) -> Result<StreamedResponse, HttpError> {
        let addr = self.shell.server_address(dispatch.server);
        let unreachable = || HttpError::Connect(std::io::ErrorKind::NotFound.into());
        let addr = addr.ok_or_else(unreachable)?;
        let reuse = match self.repeatable {
            true => ConnectionReuse::Pooled,
            false => ConnectionReuse::Fresh,
        };
        let mut conn = self.shell.client.connection(addr, reuse).await?;
        let length = match &self.body {
            CallBody::Buffered(body) => Some(body.len()),
            CallBody::Streamed => None,
        };
        let mut headers = self.headers.clone();
        if let Ok(id) = HeaderValue::from_str(&self.id.to_string()) {
            headers.insert(HeaderName::from_static("x-notchwalk-request"), id);
        }
        let host = addr.to_string();
        let head = encode_request_head(&self.method, &self.target, &host, &headers, length);
        match &self.body {
            CallBody::Buffered(body) => conn.write_message(head, body).await?,
            CallBody::Streamed => {
                conn.write_all(&head).await?;
                forward_body(exchange, &mut conn).await?;
            }
        }
        let client = &self.shell.client;
        client.receive(addr, conn, &self.method, reuse).await
    }

    /// Forwards the service's response to the caller.
    async fn forward_response(
        &mut self,
        exchange: &mut Exchange,
        dispatch: &Dispatch,
        mut response: StreamedResponse,
    ) -> AttemptResult {
        let mut headers = forwarded_headers(&response.headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.extend(self.response_headers.clone());
        let content_type = headers
            .get(header::CONTENT_TYPE)
            .and_then(|v| v.to_str().ok());
        let content_type = content_type
            .unwrap_or("application/octet-stream")
            .to_owned();
        let status = response.status;
        let has_no_body = self.method == Method::HEAD || status == StatusCode::NO_CONTENT;
        if !has_no_body
            && exchange
                .start_stream(status, headers.clone(), b"")
                .await
                .is_err()
        {
            self.report(dispatch, AttemptEnd::Broken);
            return AttemptResult::Truncated;
        }
        let mut stored = Vec::new();
        loop {
            match response.next().await {
                Ok(Some(chunk)) => {
                    if stored.len() <= MAX_STORED_BODY_BYTES {
                        stored.extend_from_slice(&chunk);
                    }
                    let mut framed = Vec::with_capacity(chunk.len() + 16);
                    encode_chunk(&mut framed, &chunk);
                    if exchange.write_chunks(&framed).await.is_err() && self.claim.is_none() {
                        self.report(dispatch, AttemptEnd::Broken);
                        return AttemptResult::Truncated;
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    self.report(dispatch, AttemptEnd::Broken);
                    return AttemptResult::Truncated;
                }
            }
        }
        response.release();
        self.store_outcome(status, content_type, stored);
        self.report(
            dispatch,
            AttemptEnd::Complete {
                prompt_tokens: 0,
                cached_tokens: 0,
                completion_tokens: 0,
            },
        );
        if has_no_body {
            exchange.respond(status, headers, b"").await;
            return AttemptResult::Forwarded;
        }
        match exchange.finish_stream().await {
            Ok(()) => AttemptResult::Forwarded,
            Err(_) => AttemptResult::Truncated,
        }
    }

    /// Stores the outcome if the call has a claim.
    fn store_outcome(&self, status: StatusCode, content_type: String, body: Vec<u8>) {
        let Some((key, fingerprint)) = self.claim.clone() else {
            return;
        };
        let outcome = StoredOutcome {
            status: status.as_u16(),
            content_type,
            body: (body.len() <= MAX_STORED_BODY_BYTES).then_some(body),
        };
        let token = self.id.to_string();
        claim_writer::store_outcome(self.shell, key, token, fingerprint, outcome);
    }
}

/// Forwards the caller's body in chunks.
async fn forward_body(exchange: &mut Exchange, conn: &mut Connection) -> Result<(), HttpError> {
    while let Some(chunk) = exchange.next_piece().await? {
        let mut framed = Vec::with_capacity(chunk.len() + 16);
        encode_chunk(&mut framed, &chunk);
        conn.write_all(&framed).await?;
    }
    conn.write_all(CHUNK_END).await?;
    Ok(())
}
