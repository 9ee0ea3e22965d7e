//! First token by prompt length, as a multiple of the same request on an idle
//! fleet, and the fleet's throughput.

use std::time::Duration;

use super::{ideal, policy, rounded, BenchOptions, Figures};
use crate::{
    fleet::Fleet,
    report::{class_of, Durations},
    workload::{Measured, Planned},
};

/// The part of the fleet's capacity that the mix takes.
const LOAD: f64 = 0.8;
/// Prompts up to 100k tokens: 49 in 50.
const USUAL: (u64, u64) = (1_000, 100_000);
/// Longer ones: one in fifty.
const OVER_100K: (u64, u64) = (100_000, 1_000_000);
const OVER_100K_PART: f64 = 0.02;
const KEYS: [&str; 4] = ["le4k", "le32k", "le128k", "le1m"];
/// Lengths measured on the idle fleet; others lie on lines between them.
const IDLE_LENGTHS: [u64; 9] = [
    1_000, 2_000, 4_000, 16_000, 32_000, 100_000, 280_000, 500_000, 1_000_000,
];

/// Runs the bench.
pub fn run(options: &BenchOptions) -> Figures {
    let mut figures = Figures::new();
    let mut idle = Vec::new();
    let mut throughput = Vec::new();
    for name in policy::measured_policies(options) {
        let fleet = policy::fleet(name);
        if idle.is_empty() {
            idle = idle_times(&fleet);
        }
        let before = tokens_made(&fleet);
        let over = Duration::from_secs(options.seconds);
        let planned = plan(options, &fleet, over);
        if throughput.is_empty() {
            add_ideal(&mut figures, &fleet, &planned);
        }
        let (measured, made) = std::thread::scope(|scope| {
            let fleet = &fleet;
            let sender = scope.spawn(move || fleet.send(planned));
            std::thread::sleep(over);
            let made = tokens_made(fleet) - before;
            (sender.join().expect("the callers end"), made)
        });
        throughput.push((name, made as f64 / over.as_secs_f64()));
        add_multiples(&mut figures, name, &measured, &idle);
        figures.insert(
            format!("{name}_not_whole"),
            policy::not_whole(&measured).into(),
        );
    }
    for (name, tokens) in &throughput {
        figures.insert(format!("{name}_tokens_per_s"), rounded(*tokens, 0));
    }
    let of = |wanted: &str| throughput.iter().find(|(name, _)| *name == wanted);
    if let (Some((_, fair)), Some((_, fifo))) = (of("fair"), of("fifo")) {
        figures.insert("throughput_ratio".to_owned(), rounded(fair / fifo, 3));
    }
    figures
}

fn plan(options: &BenchOptions, fleet: &Fleet, over: Duration) -> Vec<Planned> {
    let mean = policy::mean_prompt(USUAL) * (1.0 - OVER_100K_PART)
        + policy::mean_prompt(OVER_100K) * OVER_100K_PART;
    let per_s = policy::capacity_per_s(fleet) * LOAD / mean;
    let all: Vec<usize> = (0..fleet.config.bundle.workspaces.len()).collect();
    let usual = policy::stream(per_s * (1.0 - OVER_100K_PART), USUAL, (8, 48));
    let mut planned = usual.plan(options.seed, over, &all, fleet.config.entries);
    let long = policy::stream(per_s * OVER_100K_PART, OVER_100K, (16, 64));
    planned.extend(long.plan(options.seed + 1, over, &all, fleet.config.entries));
    planned
}

/// Measures prompts of chosen lengths on the idle fleet.
fn idle_times(fleet: &Fleet) -> Vec<(f64, f64)> {
    const GAP: Duration = Duration::from_millis(400);
    let planned = IDLE_LENGTHS.iter().enumerate().map(|(i, length)| Planned {
        at: GAP * i as u32,
        workspace: 0,
        entry: i,
        prompt_tokens: *length,
        max_tokens: 4,
        timeout: policy::TIMEOUT,
        salt: 77_000 + i as u64,
    });
    let measured = fleet.send(planned.collect());
    let mut times: Vec<_> = measured
        .iter()
        .filter_map(|m| {
            let first = m.result.first_token?;
            Some((m.planned.prompt_tokens as f64, first.as_secs_f64()))
        })
        .collect();
    times.sort_by(|a, b| a.0.total_cmp(&b.0));
    times
}

/// The idle time of a length, on the line between its neighbours.
fn idle_time(idle: &[(f64, f64)], tokens: f64) -> f64 {
    let above = idle.iter().position(|(length, _)| *length >= tokens);
    let above = above.unwrap_or(idle.len() - 1).max(1);
    let ((x0, y0), (x1, y1)) = (idle[above - 1], idle[above]);
    y0 + (y1 - y0) * (tokens - x0) / (x1 - x0)
}

fn add_multiples(figures: &mut Figures, name: &str, measured: &[Measured], idle: &[(f64, f64)]) {
    let multiples = measured.iter().map(|m| {
        let took = m.result.first_token.unwrap_or(m.result.total);
        let tokens = m.planned.prompt_tokens;
        (tokens, took.as_secs_f64() / idle_time(idle, tokens as f64))
    });
    add_quantiles(figures, name, multiples);
}

/// The same work, placed by one who knows everything.
fn add_ideal(figures: &mut Figures, fleet: &Fleet, planned: &[Planned]) {
    let one_engine = policy::capacity_per_s(fleet) / fleet.config.engines as f64;
    let times = ideal::first_token_times(planned, fleet.config.engines, one_engine);
    let multiples = planned.iter().zip(&times).map(|(call, took)| {
        let alone = call.prompt_tokens as f64 / one_engine;
        (call.prompt_tokens, took.as_secs_f64() / alone)
    });
    add_quantiles(figures, "ideal", multiples);
}

/// Adds the quantiles of multiples, by the class of their prompts' lengths.
fn add_quantiles(figures: &mut Figures, name: &str, of_prompts: impl Iterator<Item = (u64, f64)>) {
    // Multiples are kept as durations, a second for each whole one.
    let mut multiples: [Durations; 4] = Default::default();
    for (tokens, multiple) in of_prompts {
        multiples[class_of(tokens)].add(Duration::from_secs_f64(multiple.max(0.0)));
    }
    for (key, times) in KEYS.iter().zip(&multiples) {
        for (quantile, q) in [("p50", 0.5), ("p95", 0.95)] {
            let multiple = times.quantile_ms(q) / 1_000.0;
            figures.insert(format!("{name}_{quantile}_{key}"), rounded(multiple, 2));
        }
    }
}

/// Prompt and answer tokens that all engines made since their start.
fn tokens_made(fleet: &Fleet) -> u64 {
    let counts = (0..fleet.engines.len()).map(|i| fleet.engine_counts(i));
    counts.map(|c| c.computed_tokens + c.generated_tokens).sum()
}
