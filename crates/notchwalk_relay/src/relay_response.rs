//! Relays the response of a server or a peer to the caller.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use notchwalk_core::Instant;
use notchwalk_http::{encode_chunk, prelude::*, Reservation};
use notchwalk_quarantine::SURVIVAL_TIME;
use notchwalk_route::{AttemptEnd, Event};

use crate::{
    active_request::ActiveRequest,
    attempt::{AttemptOutcome, Destination},
    server_wait::{await_server, Awaited, ServerWait},
    shell::Shell,
    stream_events::EventSplitter,
    ResponseKind,
};

/// The largest response that is buffered before it is relayed, in bytes.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 1 << 20;
/// A server's own error, retained until it is certain that no other server serves the
/// request.
pub(crate) struct RetainedError {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What the body occupies of the memory for clients.
    _memory: Reservation,
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

pub(crate) async fn relay_buffered(
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
    let mut memory = exchange.reservation();
    let read = response.collect_within(MAX_BUFFERED_RESPONSE_BYTES, &mut memory);
    let wait = ServerWait {
        server: to.server(),
        idle_timeout: None,
        has_response: delivery.head_sent,
    };
    let body = match await_server(shell, exchange, req, wait, read).await {
        Awaited::Done(Ok(response)) => response.body,
        Awaited::Done(Err(e)) => {
            delivery.last_error = Some(e.to_string());
            return AttemptOutcome::Ended(AttemptEnd::ConnectionLost);
        }
        Awaited::ServerIdle => return AttemptOutcome::Ended(AttemptEnd::ConnectionLost),
        Awaited::CallerDisconnected => return AttemptOutcome::CallerDisconnected,
        Awaited::DeadlinePassed => return AttemptOutcome::DeadlinePassed,
        Awaited::NodeStops => return AttemptOutcome::NodeStops,
    };
    if kind == ResponseKind::Failure && status.is_server_error() {
        delivery.server_error = Some(RetainedError {
            status,
            headers,
            body,
            _memory: memory,
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

pub(crate) async fn relay_stream(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    req: &ActiveRequest,
    delivery: &mut Delivery,
    to: Destination<'_>,
    mut response: StreamedResponse,
) -> AttemptOutcome {
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
