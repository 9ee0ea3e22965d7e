//! `notchwalk explain`: explains the outcome of a request from the logs of nodes.
//!
//! | file | contents |
//! |---|---|
//! | `log_line` | a log line with a numbered event |
//! | `request_log` | the log lines relevant to a request, and the cause of its outcome |

mod log_line;
mod request_log;

use std::path::{Path, PathBuf};

use crate::error::CliError;

pub use log_line::LogLine;
pub use request_log::RequestLog;

/// Prints the log lines relevant to a request and the cause of its outcome. A retry by the
/// caller has its own id and can go to another node: each attempt is explained by its id.
///
/// # Errors
///
/// Fails if a log can't be read or none contains the request.
pub fn run(request: &str, logs: &[PathBuf]) -> Result<(), CliError> {
    let mut found = false;
    for path in logs {
        let log = read(path)?;
        let Some(request_log) = RequestLog::for_request(request, &log) else {
            continue;
        };
        found = true;
        println!("{}:", path.display());
        for (number, line) in &request_log.lines {
            println!("  {number:>7}  {}", line.text);
        }
        println!("  {}", request_log.cause());
    }
    match found {
        true => Ok(()),
        false => Err(CliError::Input(format!(
            "request {request:?} not found in these logs; other nodes may have logged it"
        ))),
    }
}

/// Reads a log; replaces bytes that are not UTF-8.
fn read(path: &Path) -> Result<String, CliError> {
    let bytes = std::fs::read(path).map_err(CliError::file(path))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
