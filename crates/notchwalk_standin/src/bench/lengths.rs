//! Measures the time to first token by prompt length, as a multiple of the time on an idle
//! fleet, and the throughput of the fleet.

use std::time::Duration;

use super::{ideal, policy, rounded, BenchOptions, Metrics};
use crate::{
    fleet::Fleet,
    report::{length_class, Durations},
    workload::{MeasuredCall, PlannedCall},
};

/// Offered load as a fraction of the fleet's prefill capacity.
const OFFERED_LOAD: f64 = 0.8;
/// Prompt lengths of most calls, in tokens.
const USUAL_PROMPT_TOKENS: (u64, u64) = (1_000, 100_000);
/// Prompt lengths of the other calls, in tokens.
const LONG_PROMPT_TOKENS: (u64, u64) = (100_000, 1_000_000);
/// Fraction of calls with long prompts.
const LONG_FRACTION: f64 = 0.02;
/// JSON keys of the prompt length classes.
const CLASS_KEYS: [&str; 4] = ["le4k", "le32k", "le128k", "le1m"];
/// Prompt lengths measured on the idle fleet; others are interpolated.
const IDLE_LENGTHS: [u64; 9] = [
    1_000, 2_000, 4_000, 16_000, 32_000, 100_000, 280_000, 500_000, 1_000_000,
];

pub fn run(options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    let mut idle = Vec::new();
    let mut throughput = Vec::new();
    for name in policy::selected_policies(options) {
        let fleet = policy::fleet(name);
        if idle.is_empty() {
            idle = idle_times(&fleet);
        }
        let tokens_before = tokens_computed(&fleet);
        let duration = Duration::from_secs(options.seconds);
        let planned = plan_calls(options, &fleet, duration);
        if throughput.is_empty() {
            add_ideal(&mut metrics, &fleet, &planned);
        }
        let (measured, tokens) = std::thread::scope(|scope| {
            let fleet = &fleet;
            let sender = scope.spawn(move || fleet.send(planned));
            std::thread::sleep(duration);
            let tokens = tokens_computed(fleet) - tokens_before;
            (sender.join().expect("sending thread panicked"), tokens)
        });
        throughput.push((name, tokens as f64 / duration.as_secs_f64()));
        add_multiples(&mut metrics, name, &measured, &idle);
        metrics.insert(
            format!("{name}_not_whole"),
            policy::incomplete(&measured).into(),
        );
    }
    for (name, tokens) in &throughput {
        metrics.insert(format!("{name}_tokens_per_s"), rounded(*tokens, 0));
    }
    let find = |policy: &str| throughput.iter().find(|(name, _)| *name == policy);
    if let (Some((_, fair)), Some((_, fifo))) = (find("fair"), find("fifo")) {
        metrics.insert("throughput_ratio".to_owned(), rounded(fair / fifo, 3));
    }
    metrics
}

fn plan_calls(options: &BenchOptions, fleet: &Fleet, duration: Duration) -> Vec<PlannedCall> {
    let mean_prompt_tokens = policy::mean_prompt(USUAL_PROMPT_TOKENS) * (1.0 - LONG_FRACTION)
        + policy::mean_prompt(LONG_PROMPT_TOKENS) * LONG_FRACTION;
    let per_s = policy::capacity_per_s(fleet) * OFFERED_LOAD / mean_prompt_tokens;
    let workspaces: Vec<usize> = (0..fleet.config.bundle.workspaces.len()).collect();
    let usual = policy::traffic(per_s * (1.0 - LONG_FRACTION), USUAL_PROMPT_TOKENS, (8, 48));
    let mut planned = usual.plan(options.seed, duration, &workspaces, fleet.config.nodes);
    let long = policy::traffic(per_s * LONG_FRACTION, LONG_PROMPT_TOKENS, (16, 64));
    planned.extend(long.plan(options.seed + 1, duration, &workspaces, fleet.config.nodes));
    planned
}

/// Measures times to first token on the idle fleet. Returns (tokens, seconds) by length.
fn idle_times(fleet: &Fleet) -> Vec<(f64, f64)> {
    const GAP: Duration = Duration::from_millis(400);
    let planned = IDLE_LENGTHS
        .iter()
        .enumerate()
        .map(|(i, length)| PlannedCall {
            at: GAP * i as u32,
            workspace: 0,
            node: i,
            prompt_tokens: *length,
            max_tokens: 4,
            timeout: policy::TIMEOUT,
            salt: 77_000 + i as u64,
        });
    let measured = fleet.send(planned.collect());
    let mut times: Vec<_> = measured
        .iter()
        .filter_map(|m| {
            let ttft = m.result.ttft?;
            Some((m.planned.prompt_tokens as f64, ttft.as_secs_f64()))
        })
        .collect();
    times.sort_by(|a, b| a.0.total_cmp(&b.0));
    times
}

/// Interpolates the idle time to first token of a prompt length, in seconds.
fn idle_time(idle: &[(f64, f64)], tokens: f64) -> f64 {
    let above = idle.iter().position(|(length, _)| *length >= tokens);
    let above = above.unwrap_or(idle.len() - 1).max(1);
    let ((x0, y0), (x1, y1)) = (idle[above - 1], idle[above]);
    y0 + (y1 - y0) * (tokens - x0) / (x1 - x0)
}

fn add_multiples(
    metrics: &mut Metrics,
    name: &str,
    measured: &[MeasuredCall],
    idle: &[(f64, f64)],
) {
    let multiples = measured.iter().map(|m| {
        let ttft = m.result.ttft.unwrap_or(m.result.duration);
        let tokens = m.planned.prompt_tokens;
        (tokens, ttft.as_secs_f64() / idle_time(idle, tokens as f64))
    });
    add_quantiles(metrics, name, multiples);
}

/// Adds the quantiles of the lower bound from [`ideal`].
fn add_ideal(metrics: &mut Metrics, fleet: &Fleet, planned: &[PlannedCall]) {
    let engine_tokens_per_s = policy::capacity_per_s(fleet) / fleet.config.engines as f64;
    let times = ideal::ttft_lower_bounds(planned, fleet.config.engines, engine_tokens_per_s);
    let multiples = planned.iter().zip(&times).map(|(call, ttft)| {
        let alone = call.prompt_tokens as f64 / engine_tokens_per_s;
        (call.prompt_tokens, ttft.as_secs_f64() / alone)
    });
    add_quantiles(metrics, "ideal", multiples);
}

/// Adds the quantiles of (tokens, multiple) pairs by prompt length class.
fn add_quantiles(
    metrics: &mut Metrics,
    name: &str,
    multiples_by_length: impl Iterator<Item = (u64, f64)>,
) {
    // A multiple of 1 is recorded as one second.
    let mut multiples: [Durations; 4] = Default::default();
    for (tokens, multiple) in multiples_by_length {
        multiples[length_class(tokens)].add(Duration::from_secs_f64(multiple.max(0.0)));
    }
    for (key, times) in CLASS_KEYS.iter().zip(&multiples) {
        for (quantile, q) in [("p50", 0.5), ("p95", 0.95)] {
            let multiple = times.quantile_ms(q) / 1_000.0;
            metrics.insert(format!("{name}_{quantile}_{key}"), rounded(multiple, 2));
        }
    }
}

/// Returns the prompt and completion tokens computed by all engines since their start.
fn tokens_computed(fleet: &Fleet) -> u64 {
    let counts = (0..fleet.engines.len()).map(|i| fleet.engine_counts(i));
    counts.map(|c| c.computed_tokens + c.generated_tokens).sum()
}
