//! Settings files.

use std::path::Path;

use notchwalk_bundle::IniFile;
use notchwalk_core::Findings;

use crate::DaemonError;

/// Reads a settings file; `read` extracts the settings from its sections.
///
/// # Errors
///
/// Fails if the file can't be read, or with all findings in it.
pub fn load<T>(path: &Path, read: impl FnOnce(&IniFile) -> Option<T>) -> Result<T, DaemonError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| DaemonError::File {
        path: name.clone(),
        source,
    })?;
    parse(&name, &text, read).map_err(DaemonError::Settings)
}

/// Parses the text of a settings file; findings refer to it as `name`.
///
/// # Errors
///
/// Returns all findings.
pub fn parse<T>(
    name: &str,
    text: &str,
    read: impl FnOnce(&IniFile) -> Option<T>,
) -> Result<T, Findings> {
    let ini = IniFile::parse(name, text)?;
    let settings = read(&ini);
    let findings = match ini.finish() {
        Ok(()) => Findings::default(),
        Err(findings) => findings,
    };
    match settings {
        Some(settings) => findings.into_result(settings),
        None => Err(findings),
    }
}
