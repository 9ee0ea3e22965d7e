//! Compares three ways of accounting for engine memory before dispatch: reserving with
//! top-ups, checking reported usage only, and reserving the maximum completion length.

use std::time::Duration;

use notchwalk_decide::ReserveMode;

use super::{policy, rounded, BenchOptions, Metrics};
use crate::{
    fleet::{Fleet, FleetConfig},
    workload::{run_closed_loop, ClosedLoopCaller},
};

const ENGINES: usize = 6;
/// KV memory of each engine, in tokens; small, so that completions fill it.
const CAPACITY_TOKENS: u64 = 40_000;
const CALLERS: usize = 500;
const MAX_COMPLETION_TOKENS: u32 = 1_500;
/// Stop sequences that end a completion after 128 tokens on average.
const STOP_SEQUENCES: [&str; 2] = [" 00", " 01"];
const PROMPT_TOKENS: (u64, u64) = (200, 800);
const WARM_UP: Duration = Duration::from_secs(3);

pub fn run(options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    let mut mean_running = Vec::new();
    for (name, mode) in [
        ("top_up", ReserveMode::TopUp),
        ("check_then_act", ReserveMode::CheckThenAct),
        ("maximum", ReserveMode::Maximum),
    ] {
        let outcome = measure(options, mode);
        mean_running.push(outcome.mean_running);
        metrics.insert(format!("{name}_evictions"), outcome.evictions.into());
        metrics.insert(format!("{name}_running"), rounded(outcome.mean_running, 1));
        metrics.insert(
            format!("{name}_answers_per_s"),
            rounded(outcome.completions_per_s, 1),
        );
        if mode == ReserveMode::TopUp {
            metrics.insert("overcommits".to_owned(), outcome.evictions.into());
        }
    }
    metrics.insert(
        "concurrency_ratio".to_owned(),
        rounded(mean_running[0] / mean_running[2], 2),
    );
    metrics
}

struct Outcome {
    evictions: u64,
    mean_running: f64,
    completions_per_s: f64,
}

fn measure(options: &BenchOptions, mode: ReserveMode) -> Outcome {
    let mut config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, ENGINES, 0)
        .with_time_scale(policy::TIME_SCALE)
        .with_policy("kind = fair\nmax_requests = 100000\nmax_timeout_ms = 3600000\n");
    config.capacity_tokens = CAPACITY_TOKENS;
    config.slots = 256;
    config.reserve = mode;
    let fleet = Fleet::start(config);
    let callers = (0..CALLERS).map(|i| ClosedLoopCaller {
        workspace: i % fleet.config.bundle.workspaces.len(),
        node: i,
        traffic: policy::traffic(
            0.0,
            PROMPT_TOKENS,
            (MAX_COMPLETION_TOKENS, MAX_COMPLETION_TOKENS),
        ),
        stop: STOP_SEQUENCES.map(str::to_owned).to_vec(),
        seed: options.seed * 7_919 + i as u64,
    });
    let callers: Vec<_> = callers.collect();
    let keys = fleet.keys();
    let duration = WARM_UP + Duration::from_secs(options.seconds);
    let (results, mean_running) = std::thread::scope(|scope| {
        let fleet = &fleet;
        let model = fleet.config.bundle.model.as_str();
        let nodes = fleet.caller_addrs();
        let keys = &keys;
        let sender = scope.spawn(move || run_closed_loop(&nodes, keys, model, callers, duration));
        let mean_running = sample_mean_running(fleet, duration);
        (
            sender.join().expect("sending thread panicked"),
            mean_running,
        )
    });
    let counted = results
        .iter()
        .filter(|r| r.first_token_at.is_some_and(|at| at >= WARM_UP));
    let evictions = (0..ENGINES).map(|i| fleet.engine_counts(i).evictions).sum();
    Outcome {
        evictions,
        mean_running,
        completions_per_s: counted.count() as f64 / options.seconds as f64,
    }
}

/// Samples the mean number of running requests on all engines.
fn sample_mean_running(fleet: &Fleet, duration: Duration) -> f64 {
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
    std::thread::sleep(WARM_UP);
    let (mut sum, mut samples) = (0.0, 0);
    let started = std::time::Instant::now();
    while started.elapsed() < duration - WARM_UP - SAMPLE_INTERVAL {
        for i in 0..ENGINES {
            let report: notchwalk_wire::LoadReport =
                fleet.get_json(fleet.engines[i].addr, "/v1/load");
            sum += f64::from(report.running);
        }
        samples += 1;
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    sum / f64::from(samples.max(1))
}
