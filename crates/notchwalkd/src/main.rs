//! `notchwalkd`: the entry daemon.

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::{atomic::AtomicBool, Arc},
};

use bpaf::Bpaf;
use notchwalkd::prelude::*;
use signal_hook::consts::{SIGINT, SIGTERM};

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
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
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
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: DaemonSettings) -> Result<(), DaemonError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(DaemonError::Runtime)?;
    }
    notchwalkd::raise_file_limit();
    let listeners = Listeners::bind(&settings)?;
    run_until_stopped(settings, listeners, stop, Arc::new(AtomicBool::new(false)))
}
