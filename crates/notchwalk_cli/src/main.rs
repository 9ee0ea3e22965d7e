//! `notchwalk`: the operators' command-line tool.

use std::process::ExitCode;

use notchwalk_cli::prelude::*;

fn main() -> ExitCode {
    // Exits silently if the reader of standard output closes the pipe.
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
