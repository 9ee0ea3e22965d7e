//! Why a request ended as it did, out of the logs of entries.
//!
//! | file | what it holds |
//! |---|---|
//! | `log_line` | one numbered event |
//! | `story` | the lines that concern a request, and the cause they tell |

mod log_line;
mod story;

use std::path::{Path, PathBuf};

use crate::error::CliError;

pub use log_line::LogLine;
pub use story::Story;

/// Prints what the logs say of a request. A caller's retry has an id of its own, and may
/// go to another entry: each try is explained by its id.
///
/// # Errors
///
/// Fails if a log can't be read, and if none names the request.
pub fn run(request: &str, logs: &[PathBuf]) -> Result<(), CliError> {
    let mut is_named = false;
    for path in logs {
        let log = read(path)?;
        let Some(story) = Story::of(request, &log) else {
            continue;
        };
        is_named = true;
        println!("{}:", path.display());
        for (at, line) in &story.lines {
            println!("  {at:>7}  {}", line.text);
        }
        println!("  {}", story.cause());
    }
    match is_named {
        true => Ok(()),
        false => Err(CliError::Input(format!(
            "no line of these logs names the request {request:?}"
        ))),
    }
}

/// Reads a log; bytes that are no text are passed over.
fn read(path: &Path) -> Result<String, CliError> {
    let bytes = std::fs::read(path).map_err(CliError::file(path))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
