//! HTTP interface for callers: routing by path.

use std::rc::Rc;

use http::{HeaderMap, HeaderValue, Method, StatusCode};
use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_http::{Exchange, HttpError, LocalBoxFuture, Service};
use notchwalk_wire::{ModelInfo, ModelList, NodeInfo, NodeList};

use crate::{
    api_error::ApiFailure,
    auth::{authenticate, Caller},
    completion_request::Dialect,
    completions,
    request_options::{request_id, RequestOptions},
    service_proxy,
    shell::Shell,
};

/// The service behind the callers' listener.
pub struct CallerApi {
    shell: Rc<Shell>,
}

impl CallerApi {
    /// Creates the service.
    pub fn new(shell: Rc<Shell>) -> Self {
        Self { shell }
    }

    async fn route(&self, exchange: &mut Exchange) -> Result<(), ApiFailure> {
        let path = exchange.path().to_owned();
        let method = exchange.head.method.clone();
        if let Some(rest) = path.strip_prefix("/v1/services/") {
            let caller = self.caller(exchange)?;
            let options = RequestOptions::parse(exchange)?;
            return service_proxy::handle(&self.shell, exchange, &caller, &options, rest).await;
        }
        let allowed = match path.as_str() {
            "/v1/entries" | "/v1/models" => Method::GET,
            "/v1/completions" | "/v1/chat/completions" => Method::POST,
            _ => {
                let message = format!("there is nothing at {path}");
                return Err(ApiFailure::not_run(
                    StatusCode::NOT_FOUND,
                    "not_found",
                    message,
                ));
            }
        };
        if method != allowed {
            let message = format!("{path} takes {allowed}");
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(ApiFailure::not_run(status, "method_not_allowed", message));
        }
        match path.as_str() {
            "/v1/entries" => {
                let list = self.node_list();
                respond(exchange, &list).await;
            }
            "/v1/models" => {
                let caller = self.caller(exchange)?;
                respond(exchange, &models(&caller)).await;
            }
            _ => {
                let caller = self.caller(exchange)?;
                let options = RequestOptions::parse(exchange)?;
                let dialect = match path.as_str() {
                    "/v1/completions" => Dialect::Completions,
                    _ => Dialect::Chat,
                };
                return completions::handle(&self.shell, exchange, &caller, &options, dialect)
                    .await;
            }
        }
        Ok(())
    }

    fn caller(&self, exchange: &Exchange) -> Result<Caller, ApiFailure> {
        let bundle = self.shell.bundle();
        authenticate(bundle.as_ref(), exchange)
    }

    fn node_list(&self) -> NodeList {
        let (live_nodes, ttl) = self
            .shell
            .with_node(|node| (node.live_nodes(), node.node_list_ttl()));
        let nodes = live_nodes.into_iter().map(|node| NodeInfo {
            address: node.caller_address,
            failure_domain: node.failure_domain,
        });
        NodeList {
            nodes: nodes.collect(),
            ttl_s: ttl.as_secs().max(1),
        }
    }
}

/// Responds with JSON and echoes the caller's request id.
async fn respond<T: serde::Serialize>(exchange: &mut Exchange, value: &T) {
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    if let Some(id) = request_id(exchange) {
        headers.insert("x-request-id", id);
    }
    let body = serde_json::to_vec(value).unwrap_or_default();
    exchange.respond(StatusCode::OK, headers, &body).await;
}

/// Returns the models a workspace may use, with their adapters and versions.
fn models(caller: &Caller) -> ModelList {
    let workspace = caller.bundle.workspace(caller.workspace);
    let mut data = Vec::new();
    for key in &workspace.models {
        let model = &caller.bundle.models[key.index()];
        let adapters = model.adapters.iter().map(|a| format!("{}:{a}", model.name));
        let versions = model.versions.iter().map(|v| format!("{}@{v}", model.name));
        let names = std::iter::once(model.name.clone())
            .chain(adapters)
            .chain(versions);
        data.extend(names.map(|id| ModelInfo {
            id,
            object: "model".to_owned(),
            created: 0,
            owned_by: "notchwalk".to_owned(),
        }));
    }
    ModelList {
        object: "list".to_owned(),
        data,
    }
}

impl Service for CallerApi {
    fn call<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            if let Err(failure) = self.route(exchange).await {
                let id = request_id(exchange);
                failure.send(exchange, id).await;
            }
        })
    }

    fn reject<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        error: HttpError,
    ) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let id = request_id(exchange);
            ApiFailure::from_http(&error).send(exchange, id).await;
        })
    }

    fn on_panic(&self) {
        LogEvent::new(LogEventKind::RequestPanicked, "side=caller").emit();
    }
}
