//! Error responses to callers: OpenAI-compatible JSON with a stable code and
//! the outcome of the request.

use http::{header, HeaderMap, HeaderValue, StatusCode};
use notchwalk_decide::{Failure, FailureCode};
use notchwalk_http::{Exchange, HttpError};
use notchwalk_wire::{ApiError, ApiErrorBody, ExecutionOutcome};

/// An error response to a caller.
#[derive(Clone, Debug)]
pub struct ApiFailure {
    pub status: StatusCode,
    /// Stable, machine-readable code.
    pub code: &'static str,
    pub message: String,
    /// The invalid parameter or header.
    pub param: Option<String>,
    /// Whether the request ran.
    pub outcome: ExecutionOutcome,
    /// Delay before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl ApiFailure {
    /// Creates the error of a request that did not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            param: None,
            outcome: ExecutionOutcome::NotRun,
            retry_after_ms: None,
        }
    }

    /// Creates the error of an invalid or unsupported parameter.
    pub fn invalid_param(code: &'static str, param: &str, message: impl Into<String>) -> Self {
        let mut failure = Self::not_run(StatusCode::BAD_REQUEST, code, message);
        failure.param = Some(param.to_owned());
        failure
    }

    /// Creates the error of a request that could not be read.
    pub fn from_http(error: &HttpError) -> Self {
        let (status, code) = match error {
            HttpError::BodyTooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
            HttpError::HeadTooLarge(_) => (
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "headers_too_large",
            ),
            HttpError::TimedOut => (StatusCode::REQUEST_TIMEOUT, "request_too_slow"),
            HttpError::Overloaded => return Self::overloaded(),
            _ => (StatusCode::BAD_REQUEST, "malformed_http"),
        };
        Self::not_run(status, code, error.to_string())
    }

    /// Creates the error of a request for which there is no memory.
    pub fn overloaded() -> Self {
        /// Clients that stall give way sooner.
        const RETRY_AFTER_MS: u64 = 500;
        let message = "other requests occupy the memory of this entry";
        let mut failure = Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message);
        failure.retry_after_ms = Some(RETRY_AFTER_MS);
        failure
    }

    /// Creates the error of a request that the reducer refused or failed.
    pub fn from_failure(failure: Failure) -> Self {
        let (status, code, message) = describe(failure.code);
        let mut message = message.to_owned();
        let mut retry_after_ms = failure.retry_after_ms;
        if failure.code == FailureCode::Quarantined {
            // Without `Retry-After`: a retry could crash servers again.
            let remaining_s = retry_after_ms.take().unwrap_or(0) / 1_000;
            message += &format!(" for {remaining_s} s; to repeat it does not help");
        }
        Self {
            status,
            code,
            message,
            param: None,
            outcome: failure.outcome,
            retry_after_ms,
        }
    }

    fn error_type(&self) -> &'static str {
        match self.status {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::FORBIDDEN => "permission_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_server_error() => "server_error",
            _ => "invalid_request_error",
        }
    }

    /// Returns the JSON body.
    pub fn body(&self) -> ApiError {
        ApiError {
            error: ApiErrorBody {
                message: self.message.clone(),
                kind: self.error_type().to_owned(),
                param: self.param.clone(),
                code: self.code.to_owned(),
                outcome: self.outcome,
            },
        }
    }

    /// Sends the error as the response to a request.
    pub async fn send(&self, exchange: &mut Exchange, request_id: Option<HeaderValue>) {
        let mut headers = HeaderMap::new();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(id) = request_id {
            headers.insert("x-request-id", id);
        }
        if let Some(ms) = self.retry_after_ms {
            headers.insert(
                header::RETRY_AFTER,
                HeaderValue::from(ms.div_ceil(1_000).max(1)),
            );
            headers.insert("retry-after-ms", HeaderValue::from(ms));
        }
        let body = serde_json::to_vec(&self.body()).unwrap_or_default();
        exchange.respond(self.status, headers, &body).await;
    }
}

/// Returns the status, code and message of a failure.
fn describe(code: FailureCode) -> (StatusCode, &'static str, &'static str) {
    use FailureCode as Code;
    const TOO_MANY: StatusCode = StatusCode::TOO_MANY_REQUESTS;
    const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
    match code {
        Code::NotReady => (
            UNAVAILABLE,
            "not_ready",
            "no settings bundle is in force yet",
        ),
        Code::Draining => (
            UNAVAILABLE,
            "draining",
            "this entry is stopping; use another",
        ),
        Code::NodeFull => (
            TOO_MANY,
            "entry_full",
            "this entry holds as many requests as it may",
        ),
        Code::WorkspaceQueueFull => (
            TOO_MANY,
            "workspace_queue_full",
            "the workspace has as many requests waiting as it may",
        ),
        Code::DeadlineTooClose => (
            TOO_MANY,
            "deadline_too_close",
            "the request would not finish within its timeout",
        ),
        Code::ContextExceeded => (
            StatusCode::BAD_REQUEST,
            "context_length_exceeded",
            "prompt and max_tokens exceed the model's context",
        ),
        Code::NoServer => (
            UNAVAILABLE,
            "no_server",
            "no server serves what was asked for",
        ),
        Code::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "timeout", "the timeout passed"),
        Code::BackendFailed => (
            StatusCode::BAD_GATEWAY,
            "backend_failed",
            "the backend servers failed repeatedly",
        ),
        Code::CallFailed => (
            StatusCode::BAD_GATEWAY,
            "call_failed",
            "the service failed after the call was sent; it is not repeated",
        ),
        Code::StoreUnavailable => (
            UNAVAILABLE,
            "store_unavailable",
            "the call could not be claimed, so it was not sent",
        ),
        Code::CallInProgress => (
            StatusCode::CONFLICT,
            "still_running",
            "a call with this idempotency key still runs",
        ),
        Code::OutcomeUnknown => (
            StatusCode::CONFLICT,
            "outcome_unknown",
            "a call with this idempotency key was made; its outcome can't be told",
        ),
        Code::IdempotencyKeyReused => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency_key_reused",
            "the idempotency key was used for a different request",
        ),
        Code::Suspected => (
            UNAVAILABLE,
            "suspected",
            "servers ended under this request; whether by its fault is not known yet",
        ),
        Code::Quarantined => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "quarantined",
            "servers that ran this request ended under it; it is sent to none",
        ),
        Code::CallerDisconnected => (
            StatusCode::REQUEST_TIMEOUT,
            "caller_gone",
            "the caller went away or reads too slowly",
        ),
    }
}
