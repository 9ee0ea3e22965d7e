//! `notchwalk`: the operators' command line.

use std::process::ExitCode;

use notchwalk_cli::prelude::*;

fn main() -> ExitCode {
    // A reader that closes the pipe ends the command quietly.
    sigpipe::reset();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match run(arguments::command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_code())
        }
    }
}
