//! `notchwalk-standin`: stand-ins, load, demo and benches, for development.

use std::process::ExitCode;

use bpaf::Bpaf;
use notchwalk_standin::{
    bench::{BenchOptions, BENCHES},
    demo,
};

/// Stand-ins of the systems that notchwalk serves, a load tool, a demo and
/// benches. For development only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run a whole fleet in this process and show how it serves
    #[bpaf(command)]
    Demo {
        /// Keep the fleet running until Ctrl-C; the first line is JSON with addresses and a key
        hold: bool,
    },
    /// Measure something; the last line is one JSON object
    #[bpaf(command)]
    Bench {
        /// Print only the JSON object
        json: bool,
        /// The seed of the traffic
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// About how long each measured phase takes
        #[bpaf(argument("S"), fallback(10))]
        seconds: u64,
        /// The bench; without a name, all are listed
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match command().run() {
        Command::Demo { hold: true } => match demo::hold() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(&e.to_string()),
        },
        Command::Demo { hold: false } => match demo::run() {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        },
        Command::Bench {
            json,
            seed,
            seconds,
            name,
        } => bench(name.as_deref(), json, &BenchOptions { seed, seconds }),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}

fn bench(name: Option<&str>, json: bool, options: &BenchOptions) -> ExitCode {
    let Some(name) = name else {
        for bench in BENCHES {
            println!("{:<12} {}", bench.name, bench.about);
        }
        return ExitCode::SUCCESS;
    };
    let Some(bench) = BENCHES.iter().find(|b| b.name == name) else {
        return fail(&format!(
            "there is no bench {name:?}; without a name, all are listed"
        ));
    };
    let figures = (bench.run)(options);
    if !json {
        println!("{}: {}", bench.name, bench.about);
        for (key, value) in &figures {
            println!("  {key:<28} {value}");
        }
    }
    println!("{}", serde_json::Value::from(figures));
    ExitCode::SUCCESS
}
