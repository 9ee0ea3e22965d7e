//! Serves callers: reads a request within its bounds, hands it to the router
//! and carries out what the router says until the answer ended.

mod accept;
mod record;

use std::{rc::Rc, time::Duration};

use http::{header, HeaderMap, HeaderValue, StatusCode};
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_http::prelude::*;
use notchwalk_route::{Assignment, AttemptEnd, Effect, Event, Refusal};

use crate::{
    attempt::{self, Attempted, Delivery},
    served::Served,
    shell::{Inbox, Shell, Stopping},
};
use accept::Rejection;
use record::Outcome;

/// Answers callers.
pub(crate) struct Front {
    shell: Rc<Shell>,
}

impl Front {
    pub fn new(shell: Rc<Shell>) -> Self {
        Self { shell }
    }

    /// Answers a request that is not accepted.
    async fn reject(
        &self,
        exchange: &mut Exchange,
        id: &str,
        status: StatusCode,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) {
        let facts = format!("request={id} status={} reason={reason:?}", status.as_u16());
        LogEvent::new(LogEventKind::RequestRejected, facts).emit();
        let outcome = self
            .shell
            .metrics
            .requests
            .with_label_values(&["", "rejected"]);
        outcome.inc();
        let mut headers = HeaderMap::new();
        if let Some(after) = retry_after {
            let (name, value) = self.shell.dialect.retry_after(after);
            headers.insert(name, value);
        }
        let plain = HeaderValue::from_static("text/plain; charset=utf-8");
        headers.insert(header::CONTENT_TYPE, plain);
        exchange
            .respond(status, headers, format!("{reason}\n").as_bytes())
            .await;
    }

    async fn serve(&self, exchange: &mut Exchange) {
        let arrived = self.shell.now();
        if self.shell.stopping.get() != Stopping::No {
            exchange.close_after();
        }
        let accepted = match self.accept(exchange, arrived).await {
            Ok(accepted) => accepted,
            Err(Rejection::CallerLeft) => return exchange.abort(),
            Err(Rejection::Answer {
                id,
                status,
                reason,
                retry_after,
            }) => {
                return self
                    .reject(exchange, &id, status, reason, retry_after)
                    .await;
            }
        };
        let (key, inbox) = self.shell.open_request();
        let served = Served {
            key,
            ..accepted.served
        };
        self.shell.step(Event::Arrived {
            request: key,
            facts: accepted.facts,
        });
        let mut delivery = Delivery::new(served.caller.last_event);
        let outcome = self.follow(exchange, &served, inbox, &mut delivery).await;
        self.shell.close_request(key);
        self.record(&served, &delivery, outcome);
    }

    /// Carries out what the router says until the request ended.
    async fn follow(
        &self,
        exchange: &mut Exchange,
        served: &Served,
        mut inbox: Inbox,
        delivery: &mut Delivery,
    ) -> Outcome {
        loop {
            let effect = monoio::select! {
                effect = inbox.recv() => effect,
                () = exchange.peer_closed() => return self.caller_left(served),
                () = self.shell.sleep_until(served.deadline) => {
                    return self.time_is_over(exchange, served, delivery).await;
                }
            };
            match effect {
                Some(Effect::Send { to, .. }) => {
                    if let Some(outcome) = self.send(exchange, served, delivery, to).await {
                        return outcome;
                    }
                }
                Some(Effect::Refuse {
                    reason: Refusal::Unknown,
                    ..
                }) => return self.deliver_failure(exchange, delivery).await,
                Some(Effect::Refuse {
                    reason,
                    retry_after,
                    ..
                }) => {
                    return self.refuse(exchange, delivery, reason, retry_after).await;
                }
                Some(Effect::DeliverFailure { .. }) => {
                    return self.deliver_failure(exchange, delivery).await;
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

    /// Sends a request to a server; returns the outcome if that ended it.
    async fn send(
        &self,
        exchange: &mut Exchange,
        served: &Served,
        delivery: &mut Delivery,
        to: Assignment,
    ) -> Option<Outcome> {
        self.log_sent(served, &to);
        let attempted = attempt::run(&self.shell, exchange, served, delivery, &to).await;
        let (end, outcome) = match attempted {
            Attempted::Ended(end) => (end, None),
            Attempted::Delivered(end) => (end, Some(Outcome::Delivered)),
            Attempted::CallerLeft => return Some(self.caller_left(served)),
            Attempted::TimedOut => {
                return Some(self.time_is_over(exchange, served, delivery).await);
            }
        };
        if end == AttemptEnd::Silent {
            self.shell.client.forget_idle();
        }
        let word = attempt::end_word(end);
        self.shell.metrics.attempts.with_label_values(&[word]).inc();
        if outcome.is_none() {
            let after = self.shell.now().since(served.arrived).as_millis();
            let facts = format!(
                "request={} content={} server={} end={word} after_ms={after}",
                served.id(),
                served.content,
                to.instance
            );
            LogEvent::new(LogEventKind::AttemptFailed, facts).emit();
        }
        self.shell.step(Event::AttemptEnded {
            request: served.key,
            end,
        });
        outcome
    }

    fn caller_left(&self, served: &Served) -> Outcome {
        self.shell.step(Event::Abandoned {
            request: served.key,
        });
        Outcome::CallerLeft
    }

    async fn time_is_over(
        &self,
        exchange: &mut Exchange,
        served: &Served,
        delivery: &Delivery,
    ) -> Outcome {
        if delivery.first_at.is_none() && delivery.sends > 0 {
            self.shell.client.forget_idle();
        }
        self.shell.step(Event::Abandoned {
            request: served.key,
        });
        self.refuse(exchange, delivery, Refusal::TimedOut, None)
            .await
    }

    /// Answers a request that no server answered.
    async fn refuse(
        &self,
        exchange: &mut Exchange,
        delivery: &Delivery,
        reason: Refusal,
        retry_after: Option<Duration>,
    ) -> Outcome {
        if delivery.head_sent {
            exchange.abort();
            return Outcome::BrokenOff;
        }
        let status = match reason {
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Unknown | Refusal::Quarantined => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut headers = HeaderMap::new();
        // A time to come back would invite a caller whose request crashes servers.
        if let Some(after) = retry_after.filter(|_| reason != Refusal::Quarantined) {
            let (name, value) = self.shell.dialect.retry_after(after);
            headers.insert(name, value);
        }
        let body = match reason {
            Refusal::Quarantined => quarantined_body(retry_after.unwrap_or_default()),
            _ => format!("{}\n", Outcome::Refused(reason).word()),
        };
        exchange.respond(status, headers, body.as_bytes()).await;
        Outcome::Refused(reason)
    }

    /// Delivers the server's own error that was kept; without one the outcome
    /// is unknown.
    async fn deliver_failure(&self, exchange: &mut Exchange, delivery: &mut Delivery) -> Outcome {
        match delivery.failure.take() {
            Some(kept) if !delivery.head_sent => {
                exchange
                    .respond(kept.status, kept.headers, &kept.body)
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

/// Tells a caller why its request is sent to no server, and until when.
fn quarantined_body(left: Duration) -> String {
    let body = serde_json::json!({
        "error": "quarantined",
        "message": "Servers that ran this request ended under it. It is sent to none for \
                    so many seconds; to repeat it does not help.",
        "left_s": left.as_secs(),
    });
    format!("{body}\n")
}

impl Service for Front {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(self.serve(exchange))
    }

    fn refuse<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        error: HttpError,
    ) -> LocalBoxFuture<'a, ()> {
        let (status, reason) = match error {
            HttpError::HeadTooLarge(_) => (
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the head is too large",
            ),
            HttpError::TimedOut => (StatusCode::REQUEST_TIMEOUT, "the head came too slowly"),
            _ => (StatusCode::BAD_REQUEST, "the request is malformed"),
        };
        Box::pin(async move { self.reject(exchange, "", status, reason, None).await })
    }

    fn limits(&self, started_with: ServerLimits) -> ServerLimits {
        let configured = self.shell.limits.get();
        ServerLimits {
            idle: configured.idle_timeout,
            head: configured.head_timeout,
            ..started_with
        }
    }

    fn panicked(&self) {
        LogEvent::new(LogEventKind::RequestPanicked, "side=caller").emit();
    }
}
