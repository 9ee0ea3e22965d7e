//! `notchwalk check`.

use std::path::Path;

use notchwalk_bundle::Bundle;
use notchwalkd::DaemonSettings;

use crate::{error::CliError, proposal::read_parts};

/// Checks a settings file, a bundle's directory, or both.
///
/// # Errors
///
/// Returns all findings. Fails if neither path is given or a file can't be read.
pub fn check(settings: Option<&Path>, bundle: Option<&Path>) -> Result<(), CliError> {
    if settings.is_none() && bundle.is_none() {
        let message = "nothing to check: give --settings FILE, --bundle DIR or both";
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
