//! Sends a request to one backend server, or forwards it to a peer, and reads the response head.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::{header, HeaderMap, Method};
use notchwalk_http::{encode_request_head, prelude::*};
use notchwalk_route::{Assignment, AttemptEnd, Forwarding, Refusal, ServerKey};

use crate::{
    active_request::ActiveRequest,
    forwarding,
    relay_response::{relay_buffered, relay_stream, Delivery, MAX_BUFFERED_RESPONSE_BYTES},
    server_notices::{self, ResponseOrigin},
    server_wait::{await_server, Awaited, ServerWait},
    shell::Shell,
    BackendRequest, ResponseKind,
};

/// Maximum number of responses to other requests that are skipped on one connection.
const MAX_SKIPPED_RESPONSES: usize = 3;
/// How long to wait for a response after writing the request failed: a server may
/// respond and close the connection before it has read the body.
const EARLY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

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
    pub fn server(self) -> Option<ServerKey> {
        match self {
            Self::Server(to) => Some(to.server),
            Self::Peer(_) => None,
        }
    }

    pub fn first_output_timeout(self) -> Option<Duration> {
        match self {
            Self::Server(to) => to.first_output_timeout,
            Self::Peer(to) => to.first_output_timeout,
        }
    }

    pub fn inter_token_timeout(self) -> Option<Duration> {
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
    // The route decides, since a server may omit or change the media type.
    let is_event_stream = req.streaming && facts.kind == ResponseKind::Success;
    let response = response.with_event_stream(is_event_stream);
    match facts.kind {
        ResponseKind::InvalidResponse | ResponseKind::Mismatched => {
            AttemptOutcome::Ended(AttemptEnd::InvalidResponse)
        }
        ResponseKind::NotRun => {
            discard_body(response).await;
            AttemptOutcome::Ended(not_run(false))
        }
        ResponseKind::Misdirected => AttemptOutcome::Ended(not_run(true)),
        ResponseKind::Success if is_event_stream => {
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
        let buf = encode_request_head(&head.method, path, host, &headers, length);
        let origin = ResponseOrigin {
            server: to.server(),
            addr: to.addr(),
            sent_at: shell.now(),
        };
        let written = conn.write_message(buf, &req.body).await;
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
