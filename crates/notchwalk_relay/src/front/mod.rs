//! Serves callers: reads a request within its limits, passes it to the router and
//! executes the router's effects until the response ends.

mod accept;
mod record;

use std::{rc::Rc, time::Duration};

use http::{header, HeaderMap, HeaderValue, StatusCode};
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_http::prelude::*;
use notchwalk_route::{AttemptEnd, Effect, Event, Refusal};

use crate::{
    active_request::ActiveRequest,
    attempt::{self, AttemptOutcome, Destination},
    forwarding::{self, ForwardedHead, OpenForwardedGuard},
    relay_response::Delivery,
    shell::{Inbox, Shell},
};
use accept::{Rejection, RejectionResponse};
use record::Outcome;

/// Who sends the requests to a [`Front`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Callers,
    /// Peers that forward requests of their callers.
    Peers,
}

/// The service for callers, and for peers that forward requests of their callers.
pub(crate) struct Front {
    shell: Rc<Shell>,
    source: Source,
}

impl Front {
    pub fn for_callers(shell: Rc<Shell>) -> Self {
        let source = Source::Callers;
        Self { shell, source }
    }

    pub fn for_peers(shell: Rc<Shell>) -> Self {
        let source = Source::Peers;
        Self { shell, source }
    }

    /// Responds to a request that was rejected before it reached the router.
    async fn reject(&self, exchange: &mut Exchange, response: RejectionResponse) {
        let RejectionResponse {
            id,
            status,
            reason,
            retry_after,
            label,
        } = response;
        let facts = format!("request={id} status={} reason={reason:?}", status.as_u16());
        LogEvent::new(LogEventKind::RequestRejected, facts).emit();
        let counter = self
            .shell
            .metrics
            .requests
            .with_label_values(&["", "rejected"]);
        counter.inc();
        let mut headers = HeaderMap::new();
        if let Some(after) = retry_after {
            let (name, value) = self.shell.dialect.retry_after(after);
            headers.insert(name, value);
        }
        let plain = HeaderValue::from_static("text/plain; charset=utf-8");
        headers.insert(header::CONTENT_TYPE, plain);
        self.mark_refused(&mut headers, label);
        exchange
            .respond(status, headers, format!("{reason}\n").as_bytes())
            .await;
    }

    /// Marks a response of this node for the peer that forwarded the request.
    fn mark_refused(&self, headers: &mut HeaderMap, label: &str) {
        if self.source == Source::Peers {
            forwarding::mark_refused(headers, label);
        }
    }

    /// Serves a request of a caller or a peer. The headers of forwarded requests have no
    /// meaning in requests of callers.
    async fn serve(&self, exchange: &mut Exchange) {
        if self.shell.draining.get().is_some() {
            exchange.close_after();
        }
        let head = ForwardedHead::take(&mut exchange.head.headers);
        if self.source == Source::Callers {
            return self.serve_request(exchange, None).await;
        }
        let guard = OpenForwardedGuard::try_new(&self.shell.open_forwarded);
        let own_version = self.shell.router.borrow().version();
        let refusal = match (&head, &guard) {
            (None, _) => "rejected",
            (_, None) => "peer_busy",
            (Some(head), _) if head.config_version > own_version => "not_ready",
            _ => return self.serve_request(exchange, head).await,
        };
        let mut headers = HeaderMap::new();
        self.mark_refused(&mut headers, refusal);
        exchange
            .respond(StatusCode::SERVICE_UNAVAILABLE, headers, b"")
            .await;
    }

    async fn serve_request(&self, exchange: &mut Exchange, forwarded: Option<ForwardedHead>) {
        let arrived_at = self.shell.now();
        let accepted = match self.accept(exchange, arrived_at, forwarded).await {
            Ok(accepted) => accepted,
            Err(Rejection::CallerDisconnected) => return exchange.abort(),
            Err(Rejection::Respond(response)) => return self.reject(exchange, response).await,
        };
        let (key, inbox) = self.shell.open_request();
        let req = ActiveRequest {
            key,
            ..accepted.req
        };
        self.shell.step(Event::Arrived {
            request: key,
            facts: accepted.facts,
        });
        let mut delivery = Delivery::new(req.caller.last_event_id);
        let outcome = self
            .execute_effects(exchange, &req, inbox, &mut delivery)
            .await;
        self.shell.close_request(key);
        self.record_outcome(&req, &delivery, outcome);
    }

    /// Executes the router's effects until the request ends.
    async fn execute_effects(
        &self,
        exchange: &mut Exchange,
        req: &ActiveRequest,
        mut inbox: Inbox,
        delivery: &mut Delivery,
    ) -> Outcome {
        loop {
            let effect = monoio::select! {
                effect = inbox.recv() => effect,
                () = exchange.peer_closed() => return self.caller_disconnected(req),
                () = self.shell.sleep_until(req.deadline) => {
                    return self.time_out(exchange, req, delivery).await;
                }
            };
            match effect {
                Some(Effect::Send { to, .. }) => {
                    self.log_sent(req, &to);
                    let to = Destination::Server(&to);
                    if let Some(outcome) = self.send(exchange, req, delivery, to).await {
                        return outcome;
                    }
                }
                Some(Effect::Forward { to, .. }) => {
                    self.log_forwarded(req, &to);
                    let to = Destination::Peer(&to);
                    if let Some(outcome) = self.send(exchange, req, delivery, to).await {
                        return outcome;
                    }
                }
                Some(Effect::Refuse {
                    reason: Refusal::Unknown,
                    ..
                }) => return self.deliver_server_error(exchange, delivery).await,
                Some(Effect::Refuse {
                    reason,
                    retry_after,
                    ..
                }) => {
                    return self.refuse(exchange, delivery, reason, retry_after).await;
                }
                Some(Effect::DeliverFailure { .. }) => {
                    return self.deliver_server_error(exchange, delivery).await;
                }
                Some(Effect::RetryDecided {
                    service,
                    end,
                    allowed,
                    usage,
                    ..
                }) => self.record_retry_decision(req, &service, end, allowed, usage),
                Some(Effect::NoServer {
                    service,
                    status,
                    excluded,
                    ..
                }) => record::log_no_server(req, &service, status, excluded),
                Some(Effect::Blocked { subject, kind, .. }) => {
                    record::log_blocked(req, subject, kind);
                }
                Some(_) => continue,
                None => {
                    return self
                        .refuse(exchange, delivery, Refusal::Unknown, None)
                        .await
                }
            }
        }
    }

    /// Sends a request to a server or a peer; returns the outcome if the request ended.
    async fn send(
        &self,
        exchange: &mut Exchange,
        req: &ActiveRequest,
        delivery: &mut Delivery,
        to: Destination<'_>,
    ) -> Option<Outcome> {
        let attempted = attempt::run(&self.shell, exchange, req, delivery, to).await;
        let (end, outcome) = match attempted {
            AttemptOutcome::Ended(end) => (end, None),
            AttemptOutcome::Delivered(end) => (end, Some(Outcome::Delivered)),
            AttemptOutcome::CallerDisconnected => return Some(self.caller_disconnected(req)),
            AttemptOutcome::DeadlinePassed => {
                return Some(self.time_out(exchange, req, delivery).await);
            }
            AttemptOutcome::NodeStops => {
                return Some(self.end_at_shutdown(exchange, req, delivery).await);
            }
        };
        if end == AttemptEnd::IdleTimeout {
            self.shell.client.close_idle();
        }
        self.record_attempt(req, delivery, to, end);
        self.shell.step(Event::AttemptEnded {
            request: req.key,
            end,
        });
        if outcome.is_none() && !delivery.splitter.is_resumable() {
            self.shell.step(Event::Abandoned { request: req.key });
            exchange.abort();
            return Some(Outcome::StreamAborted);
        }
        outcome
    }

    fn caller_disconnected(&self, req: &ActiveRequest) -> Outcome {
        self.shell.step(Event::Abandoned { request: req.key });
        Outcome::CallerDisconnected
    }

    async fn time_out(
        &self,
        exchange: &mut Exchange,
        req: &ActiveRequest,
        delivery: &Delivery,
    ) -> Outcome {
        if delivery.first_at.is_none() && delivery.attempts > 0 {
            self.shell.client.close_idle();
        }
        self.shell.step(Event::Abandoned { request: req.key });
        self.refuse(exchange, delivery, Refusal::TimedOut, None)
            .await
    }

    /// Ends a request that a server or a peer may be running when this node exits. Its caller
    /// learns that the outcome is unknown.
    async fn end_at_shutdown(
        &self,
        exchange: &mut Exchange,
        req: &ActiveRequest,
        delivery: &mut Delivery,
    ) -> Outcome {
        self.shell.step(Event::Abandoned { request: req.key });
        exchange.close_after();
        self.deliver_server_error(exchange, delivery).await
    }

    /// Responds to a request that no server has responded to; aborts the stream if the
    /// head was already sent.
    async fn refuse(
        &self,
        exchange: &mut Exchange,
        delivery: &Delivery,
        reason: Refusal,
        retry_after: Option<Duration>,
    ) -> Outcome {
        if delivery.head_sent {
            exchange.abort();
            return Outcome::StreamAborted;
        }
        let status = match reason {
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Unknown | Refusal::Quarantined => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut headers = HeaderMap::new();
        // `Retry-After` would invite retries of a request that crashes servers.
        if let Some(after) = retry_after.filter(|_| reason != Refusal::Quarantined) {
            let (name, value) = self.shell.dialect.retry_after(after);
            headers.insert(name, value);
        }
        self.mark_refused(&mut headers, Outcome::Refused(reason).label());
        let body = match reason {
            Refusal::Quarantined => quarantined_body(retry_after.unwrap_or_default()),
            _ => format!("{}\n", Outcome::Refused(reason).label()),
        };
        exchange.respond(status, headers, body.as_bytes()).await;
        Outcome::Refused(reason)
    }

    /// Delivers the retained server error; without one, responds that the outcome is unknown.
    async fn deliver_server_error(
        &self,
        exchange: &mut Exchange,
        delivery: &mut Delivery,
    ) -> Outcome {
        match delivery.server_error.take() {
            Some(retained) if !delivery.head_sent => {
                exchange
                    .respond(retained.status, retained.headers, &retained.body)
                    .await;
                Outcome::Delivered
            }
            _ => {
                self.refuse(exchange, delivery, Refusal::Unknown, None)
                    .await
            }
        }
    }
}

/// Returns the body of the response to a quarantined request.
fn quarantined_body(left: Duration) -> String {
    let body = serde_json::json!({
        "error": "quarantined",
        "message": "Servers crashed while they ran this request, or others that share a part of \
                    its prompt. It is sent to no server for so many seconds; a retry does not help.",
        "left_s": left.as_secs(),
    });
    format!("{body}\n")
}

impl Service for Front {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(self.serve(exchange))
    }

    fn reject<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        error: HttpError,
    ) -> LocalBoxFuture<'a, ()> {
        let response = |status, reason| RejectionResponse::new("", status, reason);
        let response = match error {
            HttpError::HeadTooLarge(_) => response(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the head is too large",
            ),
            HttpError::Overloaded => RejectionResponse::overloaded(""),
            HttpError::TimedOut => {
                response(StatusCode::REQUEST_TIMEOUT, "the head came too slowly")
            }
            _ => response(StatusCode::BAD_REQUEST, "the request is malformed"),
        };
        Box::pin(async move { self.reject(exchange, response).await })
    }

    fn limits(&self, started_with: ServerLimits) -> ServerLimits {
        /// Room for what a head holds besides what counts against the configured size.
        const HEAD_OVERHEAD_BYTES: usize = 4 * 1024;
        let configured = self.shell.limits.get();
        let head_bytes = configured.head_bytes.saturating_add(HEAD_OVERHEAD_BYTES);
        let started_with = ServerLimits {
            max_head_bytes: started_with.max_head_bytes.max(head_bytes),
            ..started_with
        };
        if self.source == Source::Peers {
            return started_with;
        }
        ServerLimits {
            idle_timeout: configured.idle_timeout,
            head_timeout: configured.head_timeout,
            ..started_with
        }
    }

    fn on_panic(&self) {
        LogEvent::new(LogEventKind::RequestPanicked, "side=caller").emit();
    }
}
