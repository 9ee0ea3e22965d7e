//! Sends a request to one backend server, or forwards it to a peer, and relays the response.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{header, HeaderMap, Method, StatusCode};
use notchwalk_core::Instant;
use notchwalk_http::{encode_chunk, encode_request_head, prelude::*};
use notchwalk_quarantine::SURVIVAL_TIME;
use notchwalk_route::{Assignment, AttemptEnd, Event, Forwarding, Refusal, ServerKey};

use crate::{
    active_request::ActiveRequest,
    forwarding,
    server_notices::{self, ResponseOrigin},
    shell::{EndOfWait, Shell},
    stream_events::EventSplitter,
    BackendRequest, ResponseKind,
};

/// The largest response that is buffered before it is relayed, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 1 << 20;
/// Maximum number of responses to other requests that are skipped on one connection.
const MAX_SKIPPED_RESPONSES: usize = 3;
/// How long to wait for a response after writing the request failed: a server may
/// respond and close the connection before it has read the body.
const EARLY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

/// How long a server may be silent until the links to its service are checked. Engines that
/// respond to several requests send events more often.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(200);
/// Interval between the further checks of a silence.
const SILENCE_INTERVAL: Duration = Duration::from_millis(50);

/// Where an attempt sends the request.
#[derive(Clone, Copy)]
pub(crate) enum Destination<'a> {
    /// A backend server.
    Server(&'a Assignment),
    /// A peer, which sends it to a server.
    Peer(&'a Forwarding),
}

impl Destination<'_> {
    fn addr(self) -> SocketAddr {
        match self {
            Self::Server(to) => to.addr,
            Self::Peer(to) => to.addr,
        }
    }

    /// Returns the server; `None` for a peer.
    fn server(self) -> Option<ServerKey> {
        match self {
            Self::Server(to) => Some(to.server),
            Self::Peer(_) => None,
        }
    }

    fn first_output_timeout(self) -> Option<Duration> {
        match self {
            Self::Server(to) => to.first_output_timeout,
            Self::Peer(to) => to.first_output_timeout,
        }
    }

    fn inter_token_timeout(self) -> Option<Duration> {
        match self {
            Self::Server(to) => to.inter_token_timeout,
            Self::Peer(to) => to.inter_token_timeout,
        }
    }
}

pub(crate) enum AttemptOutcome {
    /// No complete response was delivered; the router decides what follows.
    Ended(AttemptEnd),
    /// The caller has the complete response.
    Delivered(AttemptEnd),
    /// The caller disconnected.
    CallerDisconnected,
    /// The request's deadline passed.
    DeadlinePassed,
    /// This node exits before the response begins.
    NodeStops,
}

/// A server's own error, retained until it is certain that no other server serves the
/// request.
pub(crate) struct RetainedError {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Progress of the delivery of a response to the caller.
pub(crate) struct Delivery {
    /// Whether the response head was sent.
    pub head_sent: bool,
    /// When the first event or the complete response was sent.
    pub first_at: Option<Instant>,
    /// When data was last sent.
    pub last_at: Option<Instant>,
    /// The longest time between two writes of events.
    pub max_event_gap: Duration,
    /// Number of writes of events.
    pub event_writes: u32,
    /// Time from arrival to the first event, as predicted at the first attempt.
    pub predicted_first_event: Option<Duration>,
    /// Number of attempts.
    pub attempts: u32,
    /// Why the connection of the last attempt failed, for logs.
    pub last_error: Option<String>,
    /// How the body of the last response was framed, for logs.
    pub framing: Option<BodyFraming>,
    /// Number of bytes that the last stream held after its last complete event, for logs.
    pub partial_event_bytes: usize,
    /// The last error that a server returned.
    pub server_error: Option<RetainedError>,
    /// Splits the stream at event boundaries.
    pub splitter: EventSplitter,
    /// The id of the last event that the caller has.
    pub last_event_id: Option<u64>,
}

impl Delivery {
    /// Starts a delivery; `last_event_id` names the last event that the caller has from an
    /// earlier request.
    pub fn new(last_event_id: Option<u64>) -> Self {
        Self {
            head_sent: false,
            first_at: None,
            last_at: None,
            max_event_gap: Duration::ZERO,
            event_writes: 0,
            predicted_first_event: None,
            attempts: 0,
            last_error: None,
            framing: None,
            partial_event_bytes: 0,
            server_error: None,
            splitter: EventSplitter::default(),
            last_event_id,
        }
    }

    fn record_write(&mut self, now: Instant) {
        self.first_at.get_or_insert(now);
        self.event_writes += 1;
        if let Some(last) = self.last_at {
            self.max_event_gap = self.max_event_gap.max(now.since(last));
        }
        self.last_at = Some(now);
    }
}

/// Returns the label of an attempt's end in logs and metrics.
pub(crate) fn end_label(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Delivered { .. } => "delivered",
        AttemptEnd::NotConnected => "not_connected",
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::NotRun {
            address_reused: true,
            ..
        } => "moved",
        AttemptEnd::NotRun { .. } => "not_run",
        AttemptEnd::ServerError => "failed",
        AttemptEnd::IdleTimeout => "silent",
        AttemptEnd::ConnectionLost => "broken",
        AttemptEnd::InvalidResponse => "unusable",
        AttemptEnd::PeerRefused { .. } => "peer_refused",
    }
}

/// Result of a wait for a server.
enum Awaited<T> {
    Done(T),
    CallerDisconnected,
    /// The request's deadline passed.
    DeadlinePassed,
    /// The server's idle timeout passed.
    ServerIdle,
    /// This node exits before the response begins.
    NodeStops,
}

/// What ends the wait for a server besides its response, the caller and the deadline.
#[derive(Clone, Copy)]
struct ServerWait {
    /// The server whose links are watched; `None` for a peer.
    server: Option<ServerKey>,
    idle_timeout: Option<Duration>,
    /// Whether the caller has a part of the response. It then gets the rest for as long as the
    /// process runs.
    has_response: bool,
}

/// Sleeps for an idle timeout; forever if there is none. Time during which the machine
/// is suspended does not count, since nothing can be received then.
async fn sleep_idle_timeout(idle_timeout: Option<Duration>) {
    match idle_timeout {
        Some(idle_timeout) => monoio::time::sleep(idle_timeout).await,
        None => std::future::pending().await,
    }
}

/// Resolves once the links to the service of `server` are known to be lost while nothing is
/// received. Never resolves for a peer.
async fn watch_link(shell: &Rc<Shell>, server: Option<ServerKey>) {
    let Some(server) = server else {
        return std::future::pending().await;
    };
    let since = shell.now();
    monoio::time::sleep(SILENCE_BEFORE_CHECK).await;
    loop {
        shell.report_silence(server, since);
        if shell.router.borrow().is_link_lost(server) {
            return;
        }
        monoio::time::sleep(SILENCE_INTERVAL).await;
    }
}

/// Waits for `future`, until the caller disconnects, the request's deadline passes, this node
/// exits, the server's idle timeout passes or the link to it is lost. The latter two end the wait only if
/// the request may be sent elsewhere.
async fn await_server<T>(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    req: &ActiveRequest,
    wait: ServerWait,
    future: impl std::future::Future<Output = T>,
) -> Awaited<T> {
    let mut future = std::pin::pin!(future);
    let ServerWait {
        mut server,
        mut idle_timeout,
        has_response,
    } = wait;
    loop {
        monoio::select! {
            done = &mut future => return Awaited::Done(done),
            () = exchange.peer_closed() => return Awaited::CallerDisconnected,
            end = shell.wait_for_end(req.deadline, !has_response) => return match end {
                EndOfWait::DeadlinePassed => Awaited::DeadlinePassed,
                EndOfWait::NodeStops => Awaited::NodeStops,
            },
            () = sleep_idle_timeout(idle_timeout) => idle_timeout = None,
            () = watch_link(shell, server) => server = None,
        }
        let now = shell.now();
        if shell.router.borrow().may_retry_elsewhere(req.key, now) {
            return Awaited::ServerIdle;
        }
    }
}

/// Sends the request and relays the response.
pub(crate) async fn run(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    req: &ActiveRequest,
    delivery: &mut Delivery,
    to: Destination<'_>,
) -> AttemptOutcome {
    delivery.attempts += 1;
    if let Destination::Server(to) = to {
        let waited = shell.now().since(req.arrived_at);
        delivery
            .predicted_first_event
            .get_or_insert(waited + to.predicted_first_event);
    }
    let head = send_and_read_head(shell, req, delivery, to, exchange);
    let head = head.await;
    let response = match head {
        Awaited::Done(Ok(Some(response))) => response,
        Awaited::Done(Ok(None)) => return AttemptOutcome::Ended(AttemptEnd::NotSent),
        Awaited::Done(Err(e)) => {
            delivery.last_error = Some(e.to_string());
            let end = match e.is_unsent() {
                true => AttemptEnd::NotConnected,
                false => AttemptEnd::ConnectionLost,
            };
            return AttemptOutcome::Ended(end);
        }
        Awaited::ServerIdle => return AttemptOutcome::Ended(AttemptEnd::IdleTimeout),
        Awaited::CallerDisconnected => return AttemptOutcome::CallerDisconnected,
        Awaited::DeadlinePassed => return AttemptOutcome::DeadlinePassed,
        Awaited::NodeStops => return AttemptOutcome::NodeStops,
    };
    delivery.framing = Some(response.framing());
    delivery.partial_event_bytes = 0;
    if matches!(to, Destination::Peer(_)) {
        if let Some(end) = peer_refusal(&response) {
            discard_body(response).await;
            return AttemptOutcome::Ended(end);
        }
    }
    let facts = shell
        .dialect
        .backend_response(&req.caller.id, response.status, &response.headers);
    let not_run = |address_reused| AttemptEnd::NotRun {
        faulty_server: facts.faulty_server,
        address_reused,
    };
    match facts.kind {
        ResponseKind::InvalidResponse | ResponseKind::Mismatched => {
            AttemptOutcome::Ended(AttemptEnd::InvalidResponse)
        }
        ResponseKind::NotRun => {
            discard_body(response).await;
            AttemptOutcome::Ended(not_run(false))
        }
        ResponseKind::Misdirected => AttemptOutcome::Ended(not_run(true)),
        ResponseKind::Success if req.streaming => {
            relay_stream(shell, exchange, req, delivery, to, response).await
        }
        ResponseKind::Success | ResponseKind::Failure => {
            relay_buffered(shell, exchange, req, delivery, to, response, facts.kind).await
        }
    }
}

/// Returns how the attempt ended if the response is the refusal of a peer.
fn peer_refusal(response: &StreamedResponse) -> Option<AttemptEnd> {
    let reason = forwarding::refusal(&response.headers)?;
    if matches!(reason, Refusal::Unknown | Refusal::TimedOut) {
        return Some(AttemptEnd::ConnectionLost);
    }
    let retry_after = response.headers.get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    Some(AttemptEnd::PeerRefused {
        reason,
        retry_after: retry_after.and_then(|secs| Duration::try_from_secs_f64(secs).ok()),
    })
}

/// Reads a short response to its end, so that the connection can be reused.
async fn discard_body(response: StreamedResponse) {
    const TIMEOUT: Duration = Duration::from_millis(20);
    // If the rest does not arrive in time, the connection is closed.
    let _ = monoio::time::timeout(TIMEOUT, response.collect(MAX_BUFFERED_RESPONSE_BYTES)).await;
}

/// Returns whether the destination still accepts the request that is about to be written:
/// another response may have changed that while the connection was being established.
fn still_accepts_requests(shell: &Shell, to: Destination<'_>) -> bool {
    let Some(server) = to.server() else {
        return true;
    };
    let router = shell.router.borrow();
    let server = router.fleet().get(server);
    server.is_some_and(|server| server.accepts_requests(shell.now()))
}

/// Encodes the headers of a request for its destination.
fn outgoing_headers(
    shell: &Shell,
    req: &ActiveRequest,
    caller: &HeaderMap,
    last_event_id: Option<u64>,
    to: Destination<'_>,
) -> HeaderMap {
    let timeout = req.deadline.since(shell.now());
    match to {
        Destination::Server(assignment) => shell.dialect.backend_request(&BackendRequest {
            caller,
            assignment,
            workspace: req.workspace.as_deref(),
            timeout,
            last_event_id,
        }),
        Destination::Peer(to) => {
            let dialect = &shell.dialect;
            let mut headers = dialect.forwarded_request(caller, timeout, last_event_id);
            forwarding::add_head(&mut headers, &shell.settings.name, to);
            headers
        }
    }
}

/// Sends a request and reads the response head; `None` if the server no longer accepts
/// requests and nothing was sent.
async fn send_and_read_head(
    shell: &Rc<Shell>,
    req: &ActiveRequest,
    delivery: &Delivery,
    to: Destination<'_>,
    exchange: &mut Exchange,
) -> Awaited<Result<Option<StreamedResponse>, HttpError>> {
    let head = exchange.head.clone();
    let (last_event_id, has_response) = (delivery.last_event_id, delivery.head_sent);
    let send = async {
        let mut conn = shell
            .client
            .connection(to.addr(), ConnectionReuse::Pooled)
            .await?;
        if !still_accepts_requests(shell, to) {
            return Ok(None);
        }
        let headers = outgoing_headers(shell, req, &head.headers, last_event_id, to);
        let host = head.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let length = Some(req.body.len());
        let mut buf = encode_request_head(&head.method, path, host, &headers, length);
        buf.extend_from_slice(&req.body);
        let origin = ResponseOrigin {
            server: to.server(),
            addr: to.addr(),
            sent_at: shell.now(),
        };
        let written = conn.write_all(&buf).await;
        drop(buf);
        let receive = receive_response(shell, req, &head.method, origin, conn);
        let Err(e) = written else {
            return receive.await.map(Some);
        };
        match monoio::time::timeout(EARLY_RESPONSE_TIMEOUT, receive).await {
            Ok(Ok(mut response)) => {
                response.disable_reuse();
                Ok(Some(response))
            }
            _ => Err(e.into()),
        }
    };
    let wait = ServerWait {
        server: to.server(),
        idle_timeout: to.first_output_timeout(),
        has_response,
    };
    await_server(shell, exchange, req, wait, send).await
}

/// Reads the head of the response to `req`; skips responses to other requests.
async fn receive_response(
    shell: &Rc<Shell>,
    req: &ActiveRequest,
    method: &Method,
    origin: ResponseOrigin,
    conn: notchwalk_http::Connection,
) -> Result<StreamedResponse, HttpError> {
    let client = &shell.client;
    let mut response = client
        .receive(origin.addr, conn, method, ConnectionReuse::Pooled)
        .await?;
    for _ in 0..MAX_SKIPPED_RESPONSES {
        let id = &req.caller.id;
        let facts = shell
            .dialect
            .backend_response(id, response.status, &response.headers);
        if let Some(server) = origin.server {
            shell.record_heard(server);
            server_notices::apply_notices(shell, origin, &facts);
        }
        if facts.kind != ResponseKind::Mismatched {
            break;
        }
        response = response.next_response(method).await?;
    }
    Ok(response)
}

/// Takes the headers and removes the hop-by-hop ones.
fn end_to_end_headers(headers: &mut HeaderMap) -> HeaderMap {
    let mut headers = std::mem::take(headers);
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
    ] {
        headers.remove(name);
    }
    headers
}

async fn relay_buffered(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    req: &ActiveRequest,
    delivery: &mut Delivery,
    to: Destination<'_>,
    mut response: StreamedResponse,
    kind: ResponseKind,
) -> AttemptOutcome {
    let status = response.status;
    let headers = end_to_end_headers(&mut response.headers);
    let read = response.collect(MAX_BUFFERED_RESPONSE_BYTES);
    let wait = ServerWait {
        server: to.server(),
        idle_timeout: None,
        has_response: delivery.head_sent,
    };
    let body = match await_server(shell, exchange, req, wait, read).await {
        Awaited::Done(Ok(response)) => response.body,
        Awaited::Done(Err(_)) | Awaited::ServerIdle => {
            return AttemptOutcome::Ended(AttemptEnd::ConnectionLost)
        }
        Awaited::CallerDisconnected => return AttemptOutcome::CallerDisconnected,
        Awaited::DeadlinePassed => return AttemptOutcome::DeadlinePassed,
        Awaited::NodeStops => return AttemptOutcome::NodeStops,
    };
    if kind == ResponseKind::Failure && status.is_server_error() {
        delivery.server_error = Some(RetainedError {
            status,
            headers,
            body,
        });
        return AttemptOutcome::Ended(AttemptEnd::ServerError);
    }
    if delivery.head_sent {
        // A complete response can't follow events already delivered.
        return AttemptOutcome::Ended(AttemptEnd::InvalidResponse);
    }
    exchange.respond(status, headers, &body).await;
    delivery.record_write(shell.now());
    AttemptOutcome::Delivered(AttemptEnd::Delivered {
        is_success: kind == ResponseKind::Success,
    })
}

async fn relay_stream(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    req: &ActiveRequest,
    delivery: &mut Delivery,
    to: Destination<'_>,
    mut response: StreamedResponse,
) -> AttemptOutcome {
    if response.framing() == BodyFraming::UntilClose {
        response.expect_event_stream();
    }
    let status = response.status;
    let headers = end_to_end_headers(&mut response.headers);
    let mut idle_timeout = to.first_output_timeout();
    let mut started_at = None;
    let mut survived = false;
    loop {
        let next = response.next();
        let wait = ServerWait {
            server: to.server(),
            idle_timeout,
            has_response: delivery.head_sent,
        };
        let awaited = await_server(shell, exchange, req, wait, next).await;
        let chunk = match awaited {
            Awaited::Done(Ok(chunk)) => chunk,
            Awaited::Done(Err(e)) => {
                delivery.last_error = Some(e.to_string());
                delivery.partial_event_bytes = delivery.splitter.drop_partial();
                return AttemptOutcome::Ended(AttemptEnd::ConnectionLost);
            }
            Awaited::ServerIdle => {
                delivery.partial_event_bytes = delivery.splitter.drop_partial();
                return AttemptOutcome::Ended(AttemptEnd::IdleTimeout);
            }
            Awaited::CallerDisconnected => return AttemptOutcome::CallerDisconnected,
            Awaited::DeadlinePassed => return AttemptOutcome::DeadlinePassed,
            Awaited::NodeStops => return AttemptOutcome::NodeStops,
        };
        let Some(chunk) = chunk else { break };
        if let Some(server) = to.server() {
            shell.record_heard(server);
        }
        let mut events = delivery.splitter.push(&chunk).to_vec();
        while let Ok(Some(chunk)) = response.buffered() {
            events.extend_from_slice(&delivery.splitter.push(&chunk));
        }
        if events.is_empty() {
            continue;
        }
        let now = shell.now();
        match started_at {
            None => {
                started_at = Some(now);
                idle_timeout = to.inter_token_timeout();
                shell.step(Event::Started { request: req.key });
            }
            Some(started_at) if !survived && now.since(started_at) >= SURVIVAL_TIME => {
                survived = true;
                shell.step(Event::Survived { request: req.key });
            }
            Some(_) => {}
        }
        if write_events(exchange, delivery, status, &headers, &events)
            .await
            .is_err()
        {
            return AttemptOutcome::CallerDisconnected;
        }
        delivery.last_event_id = delivery.splitter.last_id().or(delivery.last_event_id);
        delivery.record_write(shell.now());
    }
    let rest = delivery.splitter.take_rest();
    if (!rest.is_empty() || !delivery.head_sent)
        && write_events(exchange, delivery, status, &headers, &rest)
            .await
            .is_err()
    {
        return AttemptOutcome::CallerDisconnected;
    }
    if exchange.finish_stream().await.is_err() {
        return AttemptOutcome::CallerDisconnected;
    }
    response.release();
    AttemptOutcome::Delivered(AttemptEnd::Delivered { is_success: true })
}

async fn write_events(
    exchange: &mut Exchange,
    delivery: &mut Delivery,
    status: StatusCode,
    headers: &HeaderMap,
    events: &[u8],
) -> Result<(), HttpError> {
    if !delivery.head_sent {
        delivery.head_sent = true;
        return exchange.start_stream(status, headers.clone(), events).await;
    }
    let mut framed = Vec::with_capacity(events.len() + 16);
    encode_chunk(&mut framed, events);
    exchange.write_chunks(&framed).await
}
