//! `notchwalk check`.

use std::path::Path;

use notchwalk_bundle::Bundle;
use notchwalkd::DaemonSettings;

use crate::{error::CliError, proposal::read_parts};

/// Checks what is given.
///
/// # Errors
///
/// Returns all findings.
pub fn check(settings: Option<&Path>, bundle: Option<&Path>) -> Result<(), CliError> {
    if settings.is_none() && bundle.is_none() {
        let message = "name something to check: --settings FILE or --bundle DIR";
        return Err(CliError::Input(message.to_owned()));
    }
    if let Some(path) = settings {
        DaemonSettings::load(path)?;
        println!("{}: no findings", path.display());
    }
    if let Some(dir) = bundle {
        let bundle = Bundle::parse(1, &read_parts(dir)?)?;
        println!(
            "{}: no findings; {} workspaces, {} models, {} services",
            dir.display(),
            bundle.workspaces.len(),
            bundle.models.len(),
            bundle.services.len()
        );
    }
    Ok(())
}
