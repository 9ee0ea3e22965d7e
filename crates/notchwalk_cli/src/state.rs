//! `notchwalk status`, `dump` and `drain`, and requests to daemons.

use std::{net::SocketAddr, time::Duration};

use comfy_table::{presets::UTF8_FULL_CONDENSED, Table};
use http::Method;
use notchwalk_http::prelude::*;
use serde_json::Value;

use crate::error::CliError;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// Returns an empty table with these headings.
pub fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED).set_header(headings);
    table
}

/// Sends a request without a body to a daemon's operator address.
///
/// # Errors
///
/// Fails if the daemon does not respond.
pub async fn send(
    operator: SocketAddr,
    method: Method,
    path: &str,
) -> Result<BufferedResponse, CliError> {
    let req = OutgoingRequest::new(method, path);
    let sent = Client::new()
        .send(operator, req, REQUEST_TIMEOUT, MAX_RESPONSE_BYTES)
        .await;
    sent.map_err(|source| CliError::Daemon {
        address: operator.to_string(),
        source,
    })
}

/// Fetches the complete state of a daemon.
///
/// # Errors
///
/// Fails if the daemon does not respond.
pub async fn read_dump(operator: SocketAddr) -> Result<Value, CliError> {
    let response = send(operator, Method::GET, "/dump").await?;
    let invalid = |e| CliError::Input(format!("{operator}: invalid dump: {e}"));
    response.json().map_err(invalid)
}

/// Prints the complete state of a daemon.
///
/// # Errors
///
/// Fails if the daemon does not respond.
pub async fn dump(operator: SocketAddr) -> Result<(), CliError> {
    let dump = read_dump(operator).await?;
    println!(
        "{}",
        serde_json::to_string_pretty(&dump).unwrap_or_default()
    );
    Ok(())
}

/// Prints a row for each daemon, also for those that do not respond.
///
/// # Errors
///
/// Fails if a daemon did not respond, after all were queried.
pub async fn status(operators: &[SocketAddr]) -> Result<(), CliError> {
    let mut table = table(&[
        "operator address",
        "vm",
        "domain",
        "state",
        "bundle",
        "open",
        "queued",
        "completed",
        "failed",
        "peers alive",
        "servers",
    ]);
    let mut failed = None;
    for operator in operators {
        match read_dump(*operator).await {
            Ok(dump) => {
                table.add_row(status_row(*operator, &dump));
            }
            Err(e) => {
                table.add_row([operator.to_string(), "no response".to_owned()]);
                failed = Some(e);
            }
        }
    }
    println!("{table}");
    failed.map_or(Ok(()), Err)
}

fn status_row(operator: SocketAddr, dump: &Value) -> Vec<String> {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let list = |key: &str| dump[key].as_array().cloned().unwrap_or_default();
    let state = match (dump["draining"] == true, dump["ready"] == true) {
        (true, _) => "draining",
        (_, true) => "ready",
        _ => "not ready",
    };
    let alive = list("peers")
        .iter()
        .filter(|p| p["state"] == "alive")
        .count();
    vec![
        operator.to_string(),
        text(&dump["vm"]),
        text(&dump["failure_domain"]),
        state.to_owned(),
        text(&dump["bundle_version"]),
        text(&dump["open_requests"]),
        text(&dump["queued_requests"]),
        text(&dump["counters"]["completed"]),
        text(&dump["counters"]["failed"]),
        format!("{alive} of {}", list("peers").len()),
        list("servers").len().to_string(),
    ]
}

/// Starts draining a daemon.
///
/// # Errors
///
/// Fails if the daemon does not respond.
pub async fn drain(operator: SocketAddr) -> Result<(), CliError> {
    send(operator, Method::POST, "/drain").await?;
    println!("{operator}: draining");
    Ok(())
}
