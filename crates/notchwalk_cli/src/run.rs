//! Dispatches the parsed arguments to commands.

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::{
    arguments::Command, bundles, error::CliError, explain, keys, quarantine, settings, state,
};

/// Runs a command.
///
/// # Errors
///
/// Returns the error of the command; [`CliError::exit_code`] gives the exit code of
/// the process.
///
/// # Panics
///
/// Panics if the runtime can't start.
pub fn run(command: Command) -> Result<(), CliError> {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().expect("the runtime starts");
    runtime.block_on(async {
        match command {
            Command::Check { settings, bundle } => {
                settings::check(settings.as_deref(), bundle.as_deref())
            }
            Command::Status { operator } => state::status(&operator).await,
            Command::Dump { operator } => state::dump(operator).await,
            Command::Drain { operator } => state::drain(operator).await,
            Command::Quarantine { operator, release } => {
                quarantine::run(operator, release.as_deref()).await
            }
            Command::Explain { log, request } => explain::run(&request, &log),
            Command::Key(command) => keys::run(&command),
            Command::Bundle(command) => bundles::run(command).await,
        }
    })
}
