//! The demo: runs a whole fleet in one process and sends it short and long prompts from
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
    workload::{MeasuredCall, PlannedCall, TrafficClass},
};

/// Speed-up of the demo's engines over real time.
const TIME_SCALE: f64 = 8.0;
/// How long each phase sends requests.
const PHASE_DURATION: Duration = Duration::from_secs(6);

/// Returns the demo's workspaces.
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

fn short() -> TrafficClass {
    TrafficClass {
        per_s: 40.0,
        min_prompt: 1_000,
        max_prompt: 4_000,
        min_completion: 10,
        max_completion: 60,
        timeout: Duration::from_secs(20),
    }
}

fn medium() -> TrafficClass {
    TrafficClass {
        per_s: 4.0,
        min_prompt: 5_000,
        max_prompt: 30_000,
        min_completion: 20,
        max_completion: 80,
        timeout: Duration::from_secs(25),
    }
}

fn long() -> TrafficClass {
    TrafficClass {
        per_s: 1.5,
        min_prompt: 60_000,
        max_prompt: 300_000,
        min_completion: 20,
        max_completion: 80,
        timeout: Duration::from_secs(30),
    }
}

/// Plans the short prompts of a phase.
fn short_plan(seed: u64, nodes: usize) -> Vec<PlannedCall> {
    short().plan(seed, PHASE_DURATION, &[0, 1], nodes)
}

/// Plans the medium and long prompts of a phase, including one of a million tokens.
fn long_plan(nodes: usize) -> Vec<PlannedCall> {
    let mut planned = medium().plan(21, PHASE_DURATION, &[2], nodes);
    planned.extend(long().plan(22, PHASE_DURATION, &[3, 4], nodes));
    planned.push(PlannedCall {
        at: Duration::from_millis(500),
        workspace: 3,
        node: 2,
        prompt_tokens: 1_000_000,
        max_tokens: 40,
        timeout: Duration::from_secs(30),
        salt: 1,
    });
    planned
}

/// Runs the demo. Returns whether every response was complete.
pub fn run() -> bool {
    let started = Instant::now();
    println!("Starting the platform, 20 engines, 3 service servers and 6 nodes ...");
    let mut fleet = Fleet::start(FleetConfig::new(workspaces()).with_time_scale(TIME_SCALE));
    println!(
        "Ready after {:.1} s. Sending short prompts only ...",
        started.elapsed().as_secs_f64()
    );
    let alone = fleet.send(short_plan(11, fleet.config.nodes));
    println!("Sending short and long prompts together ...");
    let mut mixed = short_plan(12, fleet.config.nodes);
    mixed.extend(long_plan(fleet.config.nodes));
    let mixed = fleet.send(mixed);
    fleet.stop();
    println!(
        "\nTime to first token by prompt length (engines run {TIME_SCALE} times faster than real ones):"
    );
    println!("{}", report::ttft_table(&mixed));
    println!("{}", slowdown_table(&alone, &mixed));
    let calls: Vec<MeasuredCall> = alone.into_iter().chain(mixed).collect();
    println!("{}", report::outcome_table(&calls));
    let all_complete = report::all_complete(&calls);
    let verdict = match all_complete {
        true => "Every response was complete and matched its prompt.",
        false => "NOT every response was complete.",
    };
    println!(
        "{verdict} Total time: {:.1} s.",
        started.elapsed().as_secs_f64()
    );
    all_complete
}

fn slowdown_table(alone: &[MeasuredCall], mixed: &[MeasuredCall]) -> comfy_table::Table {
    let (alone, mixed) = (report::ttft_by_class(alone), report::ttft_by_class(mixed));
    let mut table = report::table(&["short prompts", "alone", "with long prompts", "slowdown"]);
    for (name, q) in [("p50", 0.5), ("p95", 0.95)] {
        let (alone_ms, mixed_ms) = (alone[0].quantile_ms(q), mixed[0].quantile_ms(q));
        table.add_row([
            format!("time to first token {name}"),
            format!("{alone_ms:.0} ms"),
            format!("{mixed_ms:.0} ms"),
            format!("{:.2} x", mixed_ms / alone_ms),
        ]);
    }
    table
}

/// Starts the fleet and keeps it running until SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if a signal handler can't be registered or stdout can't be written.
pub fn hold() -> std::io::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let mut fleet = Fleet::start(FleetConfig::new(workspaces()).with_time_scale(TIME_SCALE));
    let nodes: Vec<_> = fleet.caller_addrs().iter().map(|a| a.to_string()).collect();
    let operator = fleet
        .nodes
        .iter()
        .flatten()
        .next()
        .map(|node| node.addresses.operator.to_string());
    let line = json!({
        "entries": nodes, "operator": operator, "key": fleet.key(0),
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
