//! Three ways of counting memory before work is sent: reserving and topping
//! up (the paper's, PAPER-budget-scopes-reservations-46cd.md), only checking
//! what engines report, and reserving the longest answer.

use std::time::Duration;

use notchwalk_decide::ReserveMode;

use super::{policy, rounded, BenchOptions, Figures};
use crate::{
    fleet::{Fleet, FleetConfig},
    workload::{run_closed, ClosedCaller},
};

const ENGINES: usize = 6;
/// Small engines, so that answers fill them.
const CAPACITY: u64 = 40_000;
const CALLERS: usize = 500;
const MAX_ANSWER: u32 = 1_500;
/// Ends an answer after 128 tokens on average; few come near the maximum.
const STOPS: [&str; 2] = [" 00", " 01"];
const PROMPT: (u64, u64) = (200, 800);
const WARM_UP: Duration = Duration::from_secs(3);

/// Runs the bench.
pub fn run(options: &BenchOptions) -> Figures {
    let mut figures = Figures::new();
    let mut running = Vec::new();
    for (name, mode) in [
        ("top_up", ReserveMode::TopUp),
        ("check_then_act", ReserveMode::CheckThenAct),
        ("maximum", ReserveMode::Maximum),
    ] {
        let measured = measure(options, mode);
        running.push(measured.running);
        figures.insert(format!("{name}_evictions"), measured.evictions.into());
        figures.insert(format!("{name}_running"), rounded(measured.running, 1));
        figures.insert(
            format!("{name}_answers_per_s"),
            rounded(measured.answers_per_s, 1),
        );
        if mode == ReserveMode::TopUp {
            figures.insert("overcommits".to_owned(), measured.evictions.into());
        }
    }
    figures.insert(
        "concurrency_ratio".to_owned(),
        rounded(running[0] / running[2], 2),
    );
    figures
}

struct Measured {
    evictions: u64,
    running: f64,
    answers_per_s: f64,
}

fn measure(options: &BenchOptions, mode: ReserveMode) -> Measured {
    let mut config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, ENGINES, 0)
        .with_time_scale(policy::TIME_SCALE)
        .with_policy("kind = fair\nmax_requests = 100000\nmax_timeout_ms = 3600000\n");
    config.capacity_tokens = CAPACITY;
    config.slots = 256;
    config.reserve = mode;
    let fleet = Fleet::start(config);
    let callers = (0..CALLERS).map(|i| ClosedCaller {
        workspace: i % fleet.config.bundle.workspaces.len(),
        entry: i,
        stream: policy::stream(0.0, PROMPT, (MAX_ANSWER, MAX_ANSWER)),
        stop: STOPS.map(str::to_owned).to_vec(),
        seed: options.seed * 7_919 + i as u64,
    });
    let callers: Vec<_> = callers.collect();
    let keys = fleet.keys();
    let over = WARM_UP + Duration::from_secs(options.seconds);
    let (results, running) = std::thread::scope(|scope| {
        let fleet = &fleet;
        let model = fleet.config.bundle.model.as_str();
        let entries = fleet.entries();
        let keys = &keys;
        let sender = scope.spawn(move || run_closed(&entries, keys, model, callers, over));
        let running = mean_running(fleet, over);
        (sender.join().expect("the callers end"), running)
    });
    let ended = results
        .iter()
        .filter(|r| r.first_token_at.is_some_and(|at| at >= WARM_UP));
    let evictions = (0..ENGINES).map(|i| fleet.engine_counts(i).evictions).sum();
    Measured {
        evictions,
        running,
        answers_per_s: ended.count() as f64 / options.seconds as f64,
    }
}

/// The mean number of requests that hold memory on the engines.
fn mean_running(fleet: &Fleet, over: Duration) -> f64 {
    const SAMPLE_EVERY: Duration = Duration::from_millis(250);
    std::thread::sleep(WARM_UP);
    let (mut sum, mut samples) = (0.0, 0);
    let began = std::time::Instant::now();
    while began.elapsed() < over - WARM_UP - SAMPLE_EVERY {
        for i in 0..ENGINES {
            let report: notchwalk_wire::LoadReport = fleet.read(fleet.engines[i].addr, "/v1/load");
            sum += f64::from(report.running);
        }
        samples += 1;
        std::thread::sleep(SAMPLE_EVERY);
    }
    sum / f64::from(samples.max(1))
}
