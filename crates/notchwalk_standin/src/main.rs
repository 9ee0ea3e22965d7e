//! `notchwalk-standin`: stand-ins, load tool, demo and benches, for development.

use std::{net::SocketAddr, path::Path, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use notchwalk_standin::{
    bench::{BenchOptions, BENCHES},
    demo,
    deployment::Deployment,
    node::run_node,
    processes::{self, LoadOptions},
    routed::{self, bound::CountedWork, policy::POLICIES},
    workload::TrafficClass,
};

/// Stand-ins of the systems around notchwalk, a load tool, a demo and
/// benches. For development only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run a whole fleet in this process and report how it serves short and long prompts
    #[bpaf(command)]
    Demo {
        /// Keep the fleet running until Ctrl-C; the first line is JSON with addresses and a key
        hold: bool,
    },
    /// Run the stand-in platform of a deployment
    #[bpaf(command)]
    Platform {
        /// The deployment's file
        #[bpaf(argument("FILE"))]
        deployment: PathBuf,
    },
    /// Run the stand-in engines of a deployment
    #[bpaf(command)]
    Engines {
        /// The deployment's file
        #[bpaf(argument("FILE"))]
        deployment: PathBuf,
    },
    /// Run the stand-in plain services of a deployment
    #[bpaf(command)]
    Services {
        /// The deployment's file
        #[bpaf(argument("FILE"))]
        deployment: PathBuf,
    },
    /// Run one node as this process; used by benches that kill or pause it
    #[bpaf(command, hide)]
    Entry {
        /// The node's settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Simulate bursts of routed requests over simulated engines, in virtual time,
    /// and compare routing policies
    #[bpaf(command)]
    Experiment {
        /// Number of seeds to simulate, starting with 1
        #[bpaf(argument("N"), fallback(5))]
        seeds: u64,
        /// Load as a multiple of the reference traffic
        #[bpaf(argument("FACTOR"), fallback(1.0))]
        load: f64,
        /// Simulate only this policy
        #[bpaf(argument("NAME"), optional)]
        only: Option<String>,
        /// Write a plot to this file
        #[bpaf(argument("SVG"), optional)]
        plot: Option<PathBuf>,
    },
    /// Send prompts to nodes and verify every completion
    #[bpaf(command)]
    Load {
        /// Caller address of a node; may be repeated
        #[bpaf(argument("ADDR"), some("at least one --entry is needed"))]
        entry: Vec<SocketAddr>,
        /// API key of the workspace
        #[bpaf(argument("KEY"))]
        key: String,
        /// Name of the model
        #[bpaf(argument("NAME"))]
        model: String,
        /// Requests per second
        #[bpaf(argument("N"), fallback(10.0))]
        per_s: f64,
        /// Minimum prompt length, in tokens
        #[bpaf(argument("N"), fallback(1_000))]
        min_prompt: u64,
        /// Maximum prompt length, in tokens
        #[bpaf(argument("N"), fallback(4_000))]
        max_prompt: u64,
        /// Completion length, in tokens
        #[bpaf(argument("N"), fallback(50))]
        answer: u32,
        /// Duration of the load, in seconds
        #[bpaf(argument("S"), fallback(10))]
        seconds: u64,
        /// The seed of the traffic
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
    },
    /// Run a bench; the last line of output is one JSON object
    #[bpaf(command)]
    Bench {
        /// Print only the JSON object
        json: bool,
        /// The seed of the traffic
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Approximate duration of each measured phase, in seconds
        #[bpaf(argument("S"), fallback(10))]
        seconds: u64,
        /// Measure only this policy
        #[bpaf(argument("POLICY"))]
        only: Option<String>,
        /// Name of the bench; if omitted, all benches are listed
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    notchwalk_daemon::raise_file_limit();
    match command().run() {
        Command::Demo { hold: true } => match demo::hold() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(&e.to_string()),
        },
        Command::Demo { hold: false } => match demo::run() {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        },
        Command::Platform { deployment } => run_stand_ins(&deployment, processes::run_platform),
        Command::Engines { deployment } => run_stand_ins(&deployment, processes::run_engines),
        Command::Services { deployment } => run_stand_ins(&deployment, processes::run_services),
        Command::Entry { settings } => match run_node(&settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(&e.to_string()),
        },
        Command::Load {
            entry,
            key,
            model,
            per_s,
            min_prompt,
            max_prompt,
            answer,
            seconds,
            seed,
        } => {
            const TIMEOUT: Duration = Duration::from_secs(120);
            let options = LoadOptions {
                nodes: entry,
                key,
                model,
                traffic: TrafficClass {
                    per_s,
                    min_prompt,
                    max_prompt,
                    min_completion: answer,
                    max_completion: answer,
                    timeout: TIMEOUT,
                },
                duration: Duration::from_secs(seconds),
                seed,
            };
            match processes::run_load(&options) {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        }
        Command::Experiment {
            seeds,
            load,
            only,
            plot,
        } => experiment(seeds, load, only.as_deref(), plot),
        Command::Bench {
            json,
            seed,
            seconds,
            only,
            name,
        } => {
            let options = BenchOptions {
                seed,
                seconds,
                only,
            };
            bench(name.as_deref(), json, &options)
        }
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}

fn experiment(seeds: u64, load: f64, only: Option<&str>, plot: Option<PathBuf>) -> ExitCode {
    let policies = POLICIES.iter();
    let chosen = policies.filter(|policy| only.is_none_or(|name| name == policy.name));
    let seeds = 1..seeds.saturating_add(1);
    let mut reports: Vec<_> = chosen
        .map(|&policy| routed::simulate(policy, seeds.clone(), load))
        .collect();
    if reports.is_empty() {
        let names: Vec<&str> = POLICIES.iter().map(|policy| policy.name).collect();
        return fail(&format!("unknown policy; available: {names:?}"));
    }
    if only.is_none() {
        let bounds = [CountedWork::Prefill, CountedWork::All];
        reports.extend(bounds.map(|counted| routed::upper_bound(counted, seeds.clone(), load)));
    }
    println!("{}", routed::report::table(&reports));
    match plot.map(|path| routed::report::plot(&reports, &path)) {
        Some(Err(e)) => fail(&e.to_string()),
        _ => ExitCode::SUCCESS,
    }
}

/// Loads a deployment and runs one kind of its stand-ins.
fn run_stand_ins(path: &Path, run: fn(Deployment) -> std::io::Result<()>) -> ExitCode {
    match Deployment::load(path) {
        Ok(deployment) => match run(deployment) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(&e.to_string()),
        },
        Err(findings) => {
            eprintln!("{findings}");
            ExitCode::from(2)
        }
    }
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
            "unknown bench {name:?}; run without a name to list all benches"
        ));
    };
    let metrics = (bench.run)(options);
    if !json {
        println!("{}: {}", bench.name, bench.about);
        for (key, value) in &metrics {
            println!("  {key:<28} {value}");
        }
    }
    println!("{}", serde_json::Value::from(metrics));
    ExitCode::SUCCESS
}
