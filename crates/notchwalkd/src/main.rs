//! Command line of the node daemon.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use notchwalk_daemon::{prelude::*, raise_file_limit};
use notchwalkd::prelude::*;

/// Serves callers in front of model engines and plain services. SIGTERM and
/// SIGINT drain the daemon.
///
/// Exit codes: 0 after a drain, 1 if it can't start, 2 for faulty arguments or
/// settings.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The settings file
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Only check the settings
    check: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings = match DaemonSettings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("{}: no findings", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    start_logging();
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: DaemonSettings) -> Result<(), DaemonError> {
    let signals = Signals::from_process()?;
    raise_file_limit();
    let listeners = Listeners::bind(&settings)?;
    run_until_stopped(settings, listeners, signals)
}
