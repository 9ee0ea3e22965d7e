//! Measures how much short requests slow down when long requests share the fleet.

use std::time::Duration;

use super::{policy, rounded, BenchOptions, Metrics};
use crate::{
    caller::CallEnd,
    report::{length_class, Durations},
    workload::{MeasuredCall, PlannedCall},
};

/// Total load as a fraction of the fleet's prefill capacity.
const OFFERED_LOAD: f64 = 0.8;
/// Fraction of the load from short prompts.
const SHORT_FRACTION: f64 = 0.25;
const SHORT_PROMPT_TOKENS: (u64, u64) = (1_000, 4_000);
const MEDIUM_PROMPT_TOKENS: (u64, u64) = (4_500, 32_000);
const LONG_PROMPT_TOKENS: (u64, u64) = (100_000, 350_000);
/// Fraction of the load from medium prompts.
const MEDIUM_FRACTION: f64 = 0.25;

pub fn run(options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    let mut incomplete_long = 0;
    for name in policy::selected_policies(options) {
        let fleet = policy::fleet(name);
        let capacity_per_s = policy::capacity_per_s(&fleet);
        let duration = Duration::from_secs(options.seconds);
        let short = short_plan(options.seed, duration, capacity_per_s);
        let alone_ms = p95_short_ms(&fleet.send(short.clone()));
        let mut mixed = short;
        mixed.extend(long_plan(options.seed, duration, capacity_per_s));
        let mixed = fleet.send(mixed);
        let shared_ms = p95_short_ms(&mixed);
        if name == "fair" {
            incomplete_long += count_incomplete_long(&mixed);
        }
        metrics.insert(name.to_owned(), rounded(shared_ms / alone_ms, 3));
        metrics.insert(format!("{name}_alone_ms"), rounded(alone_ms, 1));
        metrics.insert(format!("{name}_shared_ms"), rounded(shared_ms, 1));
        metrics.insert(
            format!("{name}_not_whole"),
            policy::incomplete(&mixed).into(),
        );
    }
    metrics.insert("long_dropped".to_owned(), incomplete_long.into());
    metrics
}

fn short_plan(seed: u64, duration: Duration, capacity_per_s: f64) -> Vec<PlannedCall> {
    let per_s =
        capacity_per_s * OFFERED_LOAD * SHORT_FRACTION / policy::mean_prompt(SHORT_PROMPT_TOKENS);
    policy::traffic(per_s, SHORT_PROMPT_TOKENS, (4, 24)).plan(seed, duration, &[0, 1, 2, 3, 4], 6)
}

fn long_plan(seed: u64, duration: Duration, capacity_per_s: f64) -> Vec<PlannedCall> {
    let medium =
        capacity_per_s * OFFERED_LOAD * MEDIUM_FRACTION / policy::mean_prompt(MEDIUM_PROMPT_TOKENS);
    let medium = policy::traffic(medium, MEDIUM_PROMPT_TOKENS, (8, 40));
    let mut planned = medium.plan(seed + 1, duration, &[5, 6, 7], 6);
    let long = capacity_per_s * OFFERED_LOAD * (1.0 - SHORT_FRACTION - MEDIUM_FRACTION)
        / policy::mean_prompt(LONG_PROMPT_TOKENS);
    let long = policy::traffic(long, LONG_PROMPT_TOKENS, (16, 64));
    planned.extend(long.plan(seed + 2, duration, &[8, 9], 6));
    planned
}

fn p95_short_ms(measured: &[MeasuredCall]) -> f64 {
    let mut times = Durations::default();
    for m in measured {
        if length_class(m.planned.prompt_tokens) != 0 {
            continue;
        }
        // A request without a first token counts with its total time.
        times.add(m.result.ttft.unwrap_or(m.result.duration));
    }
    times.quantile_ms(0.95)
}

fn count_incomplete_long(measured: &[MeasuredCall]) -> usize {
    let long = measured
        .iter()
        .filter(|m| length_class(m.planned.prompt_tokens) >= 2);
    long.filter(|m| m.result.end != CallEnd::Complete).count()
}
