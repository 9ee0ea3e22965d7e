//! `notchwalk quarantine`: requests that nodes send to no server because they are
//! suspected of crashing servers.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use serde_json::Value;

use crate::{error::CliError, state};

/// Lists the suspects of a node, or releases content from quarantine.
///
/// # Errors
///
/// Fails if the node does not respond or has no such suspect.
pub async fn run(operator: SocketAddr, release: Option<&str>) -> Result<(), CliError> {
    match release {
        Some(content) => release_content(operator, content).await,
        None => list(operator).await,
    }
}

async fn list(operator: SocketAddr) -> Result<(), CliError> {
    let response = state::send(operator, Method::GET, "/state").await?;
    let invalid = |e| CliError::Input(format!("{operator}: invalid state: {e}"));
    let state: Value = response.json().map_err(invalid)?;
    let suspects = state["suspects"].as_array().cloned().unwrap_or_default();
    let mut table = state::table(&[
        "kind",
        "content or part",
        "verdict",
        "remaining (s)",
        "times",
        "crashed servers",
    ]);
    for suspect in &suspects {
        table.add_row(row(suspect));
    }
    println!("{table}");
    Ok(())
}

fn row(suspect: &Value) -> Vec<String> {
    let text = |field: &str| suspect[field].as_str().unwrap_or("").to_owned();
    let remaining_s = suspect["left_ms"].as_u64().map(|ms| ms / 1_000);
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
        text("kind"),
        text("content"),
        text("verdict"),
        remaining_s.map_or_else(String::new, |s| s.to_string()),
        suspect["times"].to_string(),
        servers.join(", "),
    ]
}

async fn release_content(operator: SocketAddr, content: &str) -> Result<(), CliError> {
    let path = format!("/quarantine/release/{content}");
    let response = state::send(operator, Method::POST, &path).await?;
    let text = String::from_utf8_lossy(&response.body).trim().to_owned();
    if response.status != StatusCode::OK {
        return Err(CliError::Input(format!("{operator}: {text}")));
    }
    println!("{text}");
    Ok(())
}
