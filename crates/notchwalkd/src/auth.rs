//! Which workspace a request belongs to.

use std::sync::Arc;

use http::StatusCode;
use notchwalk_bundle::{Bundle, WorkspaceKey};
use notchwalk_http::Exchange;

use crate::api_error::ApiFailure;

/// A request's bundle and workspace.
pub struct Caller {
    /// The bundle under which the whole request is decided.
    pub bundle: Arc<Bundle>,
    /// The workspace.
    pub workspace: WorkspaceKey,
}

/// Finds the workspace of the bearer key.
///
/// # Errors
///
/// Fails without a bundle in force, and with a missing or unknown key.
pub fn authenticate(
    bundle: Option<&Arc<Bundle>>,
    exchange: &Exchange,
) -> Result<Caller, ApiFailure> {
    let Some(bundle) = bundle else {
        const SOON_MS: u64 = 1_000;
        let message = "no settings bundle is in force yet";
        let mut failure =
            ApiFailure::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message);
        failure.retry_after_ms = Some(SOON_MS);
        return Err(failure);
    };
    let refused =
        |message: &str| ApiFailure::not_run(StatusCode::UNAUTHORIZED, "invalid_api_key", message);
    let header = exchange.header("authorization");
    let header = header.ok_or_else(|| refused("the Authorization header is missing"))?;
    let key = header
        .strip_prefix("Bearer ")
        .or_else(|| header.strip_prefix("bearer "));
    let key = key.ok_or_else(|| refused("the Authorization header is no bearer key"))?;
    let workspace = bundle.workspace_of_key(key.trim());
    let workspace = workspace.ok_or_else(|| refused("the key belongs to no workspace"))?;
    Ok(Caller {
        bundle: bundle.clone(),
        workspace,
    })
}
