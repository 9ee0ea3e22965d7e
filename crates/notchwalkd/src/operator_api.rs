//! HTTP interface for operators: health, readiness, metrics, state dump and
//! drain.

use std::rc::Rc;

use http::{Method, StatusCode};
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_decide::Event;
use notchwalk_http::{Exchange, HttpError, LocalBoxFuture, Service};

use crate::{api_error::ApiFailure, shell::Shell};

/// The service behind the operators' listener.
pub struct OperatorApi {
    shell: Rc<Shell>,
}

impl OperatorApi {
    /// Creates the service.
    pub fn new(shell: Rc<Shell>) -> Self {
        Self { shell }
    }

    async fn route(&self, exchange: &mut Exchange) {
        let path = exchange.path().to_owned();
        let method = exchange.head.method.clone();
        match (&method, path.as_str()) {
            (&Method::GET, "/healthz") => exchange.respond_text(StatusCode::OK, "ok\n").await,
            (&Method::GET, "/readyz") => {
                let ready = self.shell.with_node(|node| node.is_ready());
                let (status, text) = match ready {
                    true => (StatusCode::OK, "ready\n"),
                    false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
                };
                exchange.respond_text(status, text).await;
            }
            (&Method::GET, "/metrics") => {
                let text = self.shell.metrics_text();
                exchange.respond_text(StatusCode::OK, &text).await;
            }
            (&Method::GET, "/dump") => {
                let dump = self.shell.dump();
                exchange.respond_json(StatusCode::OK, &dump).await;
            }
            (&Method::POST, "/drain") => {
                self.shell.step(Event::Drain);
                exchange
                    .respond_text(StatusCode::ACCEPTED, "draining\n")
                    .await;
            }
            _ => {
                let message = format!("there is nothing for {method} at {path}");
                let failure = ApiFailure::not_run(StatusCode::NOT_FOUND, "not_found", message);
                failure.send(exchange, None).await;
            }
        }
    }
}

impl Service for OperatorApi {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(self.route(exchange))
    }

    fn reject<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        error: HttpError,
    ) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move { ApiFailure::from_http(&error).send(exchange, None).await })
    }

    fn on_panic(&self) {
        LogEvent::new(LogEventKind::RequestPanicked, "side=operator").emit();
    }
}
