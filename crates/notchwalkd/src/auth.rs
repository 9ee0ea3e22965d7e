//! Authentication of callers by API key.

use std::sync::Arc;

use http::StatusCode;
use notchwalk_bundle::{Bundle, WorkspaceKey};
use notchwalk_http::Exchange;

use crate::api_error::ApiFailure;

/// An authenticated caller.
pub struct Caller {
    /// The bundle that applies to the request until it ends.
    pub bundle: Arc<Bundle>,
    /// The workspace that the API key belongs to.
    pub workspace: WorkspaceKey,
}

/// Resolves the workspace of the request's bearer key.
///
/// # Errors
///
/// Fails if no bundle is active yet, or if the key is missing or unknown.
pub fn authenticate(
    bundle: Option<&Arc<Bundle>>,
    exchange: &Exchange,
) -> Result<Caller, ApiFailure> {
    let Some(bundle) = bundle else {
        const RETRY_AFTER_MS: u64 = 1_000;
        let message = "no settings bundle is in force yet";
        let mut failure =
            ApiFailure::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message);
        failure.retry_after_ms = Some(RETRY_AFTER_MS);
        return Err(failure);
    };
    let unauthorized =
        |message: &str| ApiFailure::not_run(StatusCode::UNAUTHORIZED, "invalid_api_key", message);
    let header = exchange.header("authorization");
    let header = header.ok_or_else(|| unauthorized("the Authorization header is missing"))?;
    let key = header
        .strip_prefix("Bearer ")
        .or_else(|| header.strip_prefix("bearer "));
    let key = key.ok_or_else(|| unauthorized("the Authorization header is no bearer key"))?;
    let workspace = bundle.workspace_of_key(key.trim());
    let workspace = workspace.ok_or_else(|| unauthorized("the key belongs to no workspace"))?;
    Ok(Caller {
        bundle: bundle.clone(),
        workspace,
    })
}
