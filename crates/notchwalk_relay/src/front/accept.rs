//! Reads a request within its size and time limits, and finds its route and workspace.

use std::{future::Future, pin::pin, rc::Rc, time::Duration};

use futures_util::future::{select, Either};
use http::StatusCode;
use notchwalk_core::Instant;
use notchwalk_http::{prelude::*, Body};
use notchwalk_quarantine::{Fingerprint, FingerprintBuilder, RequestHead};
use notchwalk_route::{
    host_name, DrainSchedule, RequestFacts, RequestKey, RouteLookup, WorkspaceShortId,
};

use super::{Front, Source};
use crate::{active_request::ActiveRequest, forwarding::ForwardedHead, CallerFacts};

/// Caller timeout of requests that give none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(10);
/// `Retry-After` while no configuration is active yet. Reading it takes a few milliseconds
/// once the store responds.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` when messages of others occupy the memory. Clients that stall give way sooner.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// How long before the route's timeout a request fails, so that the final response
/// arrives in time.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(20);
/// Assumed fraction of the maximum output tokens if the caller gives no estimate.
const DEFAULT_OUTPUT_FRACTION: f64 = 0.5;

/// A request that was read completely; its key is set once it is passed to the router.
pub(super) struct Accepted {
    pub req: ActiveRequest,
    pub facts: RequestFacts,
}

/// Why a request was rejected.
pub(super) enum Rejection {
    /// The caller disconnected.
    CallerDisconnected,
    /// A response is sent at once.
    Respond(RejectionResponse),
}

/// The response to a request that was rejected before it reached the router.
pub(super) struct RejectionResponse {
    /// The request id; empty if it was not read.
    pub id: String,
    pub status: StatusCode,
    pub reason: &'static str,
    pub retry_after: Option<Duration>,
    /// Why the request was refused, for a peer that forwarded it.
    pub label: &'static str,
}

impl RejectionResponse {
    pub fn new(id: &str, status: StatusCode, reason: &'static str) -> Self {
        Self {
            id: id.to_owned(),
            status,
            reason,
            retry_after: None,
            label: "rejected",
        }
    }

    /// Creates the response to a request for which there is no memory.
    pub fn overloaded(id: &str) -> Self {
        let reason = "other requests occupy the memory";
        Self {
            label: "peer_busy",
            ..Self::new(id, StatusCode::SERVICE_UNAVAILABLE, reason)
                .with_retry_after(OVERLOADED_RETRY_AFTER)
        }
    }

    fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

impl From<RejectionResponse> for Rejection {
    fn from(response: RejectionResponse) -> Self {
        Self::Respond(response)
    }
}

impl Front {
    /// Reads a request within its limits and finds its route and workspace.
    pub(super) async fn accept(
        &self,
        exchange: &mut Exchange,
        arrived_at: Instant,
        forwarded: Option<ForwardedHead>,
    ) -> Result<Accepted, Rejection> {
        let caller = self.shell.dialect.caller_request(&exchange.head.headers);
        let caller =
            caller.map_err(|reason| RejectionResponse::new("", StatusCode::BAD_REQUEST, reason))?;
        let id = caller.id.to_str().unwrap_or("unreadable").to_owned();
        let rejected = |status, reason| RejectionResponse::new(&id, status, reason);
        if self.shell.router.borrow().version() == 0 {
            let reason = "no configuration is in force yet";
            let rejection = rejected(StatusCode::SERVICE_UNAVAILABLE, reason);
            return Err(rejection.with_retry_after(NO_CONFIG_RETRY_AFTER).into());
        }
        let limits = self.shell.limits.get();
        if head_bytes(exchange) > limits.head_bytes {
            exchange.close_after();
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(rejected(status, "the head is too large").into());
        }
        let (route, workspace) = match self.look_up_route(exchange, &caller) {
            RouteLookup::NoRoute => {
                return Err(rejected(StatusCode::NOT_FOUND, "no such route").into());
            }
            RouteLookup::InvalidKey => {
                return Err(rejected(StatusCode::UNAUTHORIZED, "the key is not known").into());
            }
            RouteLookup::Found { route, workspace } => (route, workspace),
        };
        let caller_timeout = caller.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let request_timeout = caller_timeout.min(route.timeout.saturating_sub(TIMEOUT_MARGIN));
        let name = workspace.as_ref().map(|(name, _)| name.as_ref());
        let read = self.read_body(exchange, limits.body_bytes, request_timeout, name);
        let Some(read) = self.unless_refused(read).await else {
            exchange.close_after();
            let reason = "this node is shutting down";
            let rejection = rejected(StatusCode::SERVICE_UNAVAILABLE, reason);
            return Err(rejection
                .with_retry_after(self.shutdown_retry_after())
                .into());
        };
        let (body, content) = match read {
            Ok(read) => read,
            Err(e) => {
                exchange.close_after();
                return Err(reject_body(&id, &e));
            }
        };
        let default_output_tokens =
            (f64::from(caller.max_output_tokens) * DEFAULT_OUTPUT_FRACTION) as u32;
        let deadline = arrived_at.after(request_timeout);
        let facts = RequestFacts {
            forwarded: forwarded.as_ref().map(|head| head.counts_as),
            excluded_servers: forwarded
                .as_ref()
                .map_or_else(Vec::new, |head| head.excluded_servers.clone()),
            workspace: workspace
                .as_ref()
                .map_or(WorkspaceShortId::default(), |(name, _)| {
                    WorkspaceShortId::of(name)
                }),
            workspace_priority: workspace.as_ref().map_or(0, |(_, priority)| *priority),
            arrived_at,
            caller_timeout,
            deadline,
            prompt_tokens: caller.prompt_tokens,
            output_tokens: caller
                .estimated_output_tokens
                .unwrap_or(default_output_tokens),
            route: route.clone(),
            content,
            shared_parts: caller.shared_parts.clone(),
        };
        let req = ActiveRequest {
            key: RequestKey::default(),
            content,
            caller,
            workspace: workspace.map(|(name, _)| Rc::from(&*name)),
            route: Rc::from(route.name.as_str()),
            arrived_at,
            deadline,
            body,
            streaming: route.streaming,
            forwarded_by: forwarded.map(|head| head.from),
        };
        Ok(Accepted { req, facts })
    }

    /// Reads a request until it is complete; `None` once this node refuses it in any case
    /// because it shuts down.
    async fn unless_refused<T>(&self, read: impl Future<Output = T>) -> Option<T> {
        let refuses_from = |schedule: &DrainSchedule| match self.source {
            Source::Callers => schedule.refuses_callers_from,
            Source::Peers => schedule.refuses_peers_from,
        };
        let refused = self.shell.wait_for_refusal(refuses_from);
        match select(pin!(read), pin!(refused)).await {
            Either::Left((read, _)) => Some(read),
            Either::Right(_) => None,
        }
    }

    fn shutdown_retry_after(&self) -> Duration {
        let is_forwarded = self.source == Source::Peers;
        let router = self.shell.router.borrow();
        router.shutdown_retry_after(is_forwarded, self.shell.now())
    }

    fn look_up_route(&self, exchange: &Exchange, caller: &CallerFacts) -> RouteLookup {
        let router = self.shell.router.borrow();
        router
            .routes()
            .lookup(host(exchange), exchange.path(), caller.api_key.as_deref())
    }

    /// Reads the body and computes the request's fingerprint along the way.
    async fn read_body(
        &self,
        exchange: &mut Exchange,
        limit: usize,
        request_timeout: Duration,
        workspace: Option<&str>,
    ) -> Result<(Body, Fingerprint), HttpError> {
        let mut content = start_fingerprint(exchange, workspace);
        let read = exchange.read_body_with(limit, |chunk| content.update(chunk));
        let read = monoio::time::timeout(request_timeout, read).await;
        let body = read.unwrap_or(Err(HttpError::TimedOut))?;
        Ok((body, content.finish()))
    }
}

/// Returns the rejection of a request whose body could not be read.
fn reject_body(id: &str, error: &HttpError) -> Rejection {
    let (status, reason) = match error {
        HttpError::BodyTooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        HttpError::Framing => (StatusCode::BAD_REQUEST, "the body's framing is malformed"),
        HttpError::TimedOut => (StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
        HttpError::Overloaded => return RejectionResponse::overloaded(id).into(),
        _ => return Rejection::CallerDisconnected,
    };
    RejectionResponse::new(id, status, reason).into()
}

/// Returns the host of a request; empty if it has none.
fn host(exchange: &Exchange) -> &str {
    let named = exchange.header("host").or(exchange.head.uri.host());
    named.unwrap_or("")
}

/// Starts the fingerprint of a request with its head.
fn start_fingerprint(exchange: &Exchange, workspace: Option<&str>) -> FingerprintBuilder {
    let head = &exchange.head;
    FingerprintBuilder::new(&RequestHead {
        workspace,
        method: head.method.as_str(),
        host: &host_name(host(exchange)),
        target: head.uri.path_and_query().map_or("/", |path| path.as_str()),
    })
}

/// Returns the approximate size of a request's head on the wire.
fn head_bytes(exchange: &Exchange) -> usize {
    const SEPARATOR_BYTES: usize = 4;
    let headers = exchange.head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES);
    let line = exchange.head.method.as_str().len()
        + exchange
            .head
            .uri
            .path_and_query()
            .map_or(1, |p| p.as_str().len());
    line + headers.sum::<usize>()
}
