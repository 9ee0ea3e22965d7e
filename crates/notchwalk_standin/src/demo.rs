//! The demo: a whole fleet in one process, with short and long prompts of
//! several workspaces.

use std::{
    io::Write,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    report,
    workload::{Measured, Planned, Stream},
};

/// How many times faster than real the demo's engines run.
const TIME_SCALE: f64 = 8.0;
/// How long each phase sends requests.
const PHASE: Duration = Duration::from_secs(6);

/// Returns the workspaces of the demo, by deployment.
pub fn workspaces() -> Vec<WorkspaceSpec> {
    [
        ("load-ins", 4.0),
        ("desk", 4.0),
        ("rig-checks", 3.0),
        ("season-reviews", 2.0),
        ("touring", 1.0),
    ]
    .map(|(name, weight)| WorkspaceSpec::new(name, weight))
    .to_vec()
}

fn short() -> Stream {
    Stream {
        per_s: 40.0,
        min_prompt: 1_000,
        max_prompt: 4_000,
        min_answer: 10,
        max_answer: 60,
        timeout: Duration::from_secs(20),
    }
}

fn medium() -> Stream {
    Stream {
        per_s: 4.0,
        min_prompt: 5_000,
        max_prompt: 30_000,
        min_answer: 20,
        max_answer: 80,
        timeout: Duration::from_secs(25),
    }
}

fn long() -> Stream {
    Stream {
        per_s: 1.5,
        min_prompt: 60_000,
        max_prompt: 300_000,
        min_answer: 20,
        max_answer: 80,
        timeout: Duration::from_secs(30),
    }
}

/// The short prompts of a phase.
fn short_plan(seed: u64, entries: usize) -> Vec<Planned> {
    short().plan(seed, PHASE, &[0, 1], entries)
}

/// The long prompts of a phase, among them one of a million tokens.
fn long_plan(entries: usize) -> Vec<Planned> {
    let mut planned = medium().plan(21, PHASE, &[2], entries);
    planned.extend(long().plan(22, PHASE, &[3, 4], entries));
    planned.push(Planned {
        at: Duration::from_millis(500),
        workspace: 3,
        entry: 2,
        prompt_tokens: 1_000_000,
        max_tokens: 40,
        timeout: Duration::from_secs(30),
        salt: 1,
    });
    planned
}

/// Runs the demo; tells whether every answer was whole.
pub fn run() -> bool {
    let began = Instant::now();
    println!("Starting the platform, 20 engines, 3 service servers and 6 daemons ...");
    let mut fleet = Fleet::start(FleetConfig::new(workspaces()).with_time_scale(TIME_SCALE));
    println!(
        "Ready after {:.1} s. Short prompts alone ...",
        began.elapsed().as_secs_f64()
    );
    let alone = fleet.send(short_plan(11, fleet.config.entries));
    println!("Short prompts together with long ones ...");
    let mut mixed = short_plan(12, fleet.config.entries);
    mixed.extend(long_plan(fleet.config.entries));
    let mixed = fleet.send(mixed);
    fleet.stop();
    println!(
        "\nFirst token, by prompt length (engines run {TIME_SCALE} times faster than real ones):"
    );
    println!("{}", report::first_token_table(&mixed));
    println!("{}", slowdown_table(&alone, &mixed));
    let all: Vec<Measured> = alone.into_iter().chain(mixed).collect();
    println!("{}", report::outcome_table(&all));
    let whole = report::all_whole(&all);
    let verdict = match whole {
        true => "Every answer was whole and its caller's own.",
        false => "NOT every answer was whole.",
    };
    println!("{verdict} {:.1} s in all.", began.elapsed().as_secs_f64());
    whole
}

fn slowdown_table(alone: &[Measured], mixed: &[Measured]) -> comfy_table::Table {
    let (alone, mixed) = (report::first_tokens(alone), report::first_tokens(mixed));
    let mut table = report::table(&["short prompts", "alone", "with long ones", "slowdown"]);
    for (name, q) in [("p50", 0.5), ("p95", 0.95)] {
        let (before, after) = (alone[0].quantile_ms(q), mixed[0].quantile_ms(q));
        table.add_row([
            format!("first token {name}"),
            format!("{before:.0} ms"),
            format!("{after:.0} ms"),
            format!("{:.2} x", after / before),
        ]);
    }
    table
}

/// Starts the fleet and keeps it running until a signal comes.
///
/// # Errors
///
/// Fails if signals can't be heard.
pub fn hold() -> std::io::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let mut fleet = Fleet::start(FleetConfig::new(workspaces()).with_time_scale(TIME_SCALE));
    let entries: Vec<_> = fleet.entries().iter().map(|a| a.to_string()).collect();
    let operator = fleet
        .daemons
        .iter()
        .flatten()
        .next()
        .map(|d| d.addresses.operator.to_string());
    let line = json!({
        "entries": entries, "operator": operator, "key": fleet.key(0),
        "model": fleet.config.bundle.model, "service": fleet.config.bundle.service,
        "platform": fleet.platform.to_string(),
    });
    println!("{line}");
    std::io::stdout().flush()?;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
    }
    fleet.stop();
    Ok(())
}
