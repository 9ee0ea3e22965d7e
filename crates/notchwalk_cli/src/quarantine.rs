//! Requests that entries keep from all servers, because servers ended under them.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use serde_json::Value;

use crate::{error::CliError, state};

/// Shows the suspects of an entry, or ends a quarantine.
///
/// # Errors
///
/// Fails if the entry does not answer, and if it knows no such suspect.
pub async fn run(operator: SocketAddr, release: Option<&str>) -> Result<(), CliError> {
    match release {
        Some(content) => end(operator, content).await,
        None => list(operator).await,
    }
}

async fn list(operator: SocketAddr) -> Result<(), CliError> {
    let answer = state::ask(operator, Method::GET, "/state").await?;
    let fault = |e| CliError::Input(format!("{operator}: no state: {e}"));
    let state: Value = answer.json().map_err(fault)?;
    let suspects = state["suspects"].as_array().cloned().unwrap_or_default();
    let mut table = state::table(&[
        "content",
        "verdict",
        "left s",
        "times",
        "servers that ended",
    ]);
    for suspect in &suspects {
        table.add_row(row(suspect));
    }
    println!("{table}");
    Ok(())
}

fn row(suspect: &Value) -> Vec<String> {
    let text = |field: &str| suspect[field].as_str().unwrap_or("").to_owned();
    let left = suspect["left_ms"].as_u64().map(|ms| ms / 1_000);
    let crashes = suspect["crashes"].as_array().into_iter().flatten();
    let confirmed = crashes.filter(|crash| crash["confirmed"] == true);
    let servers: Vec<String> = confirmed
        .map(|crash| {
            let server = crash["server"].as_str().unwrap_or("");
            let age = crash["age_ms"].as_u64().unwrap_or(0) / 1_000;
            format!("{server} {age} s ago")
        })
        .collect();
    vec![
        text("content"),
        text("verdict"),
        left.map_or_else(String::new, |left| left.to_string()),
        suspect["times"].to_string(),
        servers.join(", "),
    ]
}

async fn end(operator: SocketAddr, content: &str) -> Result<(), CliError> {
    let path = format!("/quarantine/release/{content}");
    let answer = state::ask(operator, Method::POST, &path).await?;
    let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
    if answer.status != StatusCode::OK {
        return Err(CliError::Input(format!("{operator}: {text}")));
    }
    println!("{text}");
    Ok(())
}
