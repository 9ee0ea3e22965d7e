//! How much short requests slow down when long ones share the fleet.

use std::time::Duration;

use super::{policy, rounded, BenchOptions, Figures};
use crate::{
    caller::CallEnd,
    report::{class_of, Durations},
    workload::{Measured, Planned},
};

/// The part of the fleet's capacity that all work takes together.
const LOAD: f64 = 0.8;
/// The part of the load that short prompts make.
const SHORT_PART: f64 = 0.25;
const SHORT: (u64, u64) = (1_000, 4_000);
const MEDIUM: (u64, u64) = (4_500, 32_000);
const LONG: (u64, u64) = (100_000, 350_000);
/// The part of the load that medium prompts make.
const MEDIUM_PART: f64 = 0.25;

/// Runs the bench.
pub fn run(options: &BenchOptions) -> Figures {
    let mut figures = Figures::new();
    let mut dropped = 0;
    for name in policy::measured_policies(options) {
        let fleet = policy::fleet(name);
        let capacity = policy::capacity_per_s(&fleet);
        let over = Duration::from_secs(options.seconds);
        let short = short_plan(options.seed, over, capacity);
        let alone = p95_short(&fleet.send(short.clone()));
        let mut mixed = short;
        mixed.extend(long_plan(options.seed, over, capacity));
        let mixed = fleet.send(mixed);
        let shared = p95_short(&mixed);
        if name == "fair" {
            dropped += dropped_long(&mixed);
        }
        figures.insert(name.to_owned(), rounded(shared / alone, 3));
        figures.insert(format!("{name}_alone_ms"), rounded(alone, 1));
        figures.insert(format!("{name}_shared_ms"), rounded(shared, 1));
        figures.insert(
            format!("{name}_not_whole"),
            policy::not_whole(&mixed).into(),
        );
    }
    figures.insert("long_dropped".to_owned(), dropped.into());
    figures
}

fn short_plan(seed: u64, over: Duration, capacity: f64) -> Vec<Planned> {
    let per_s = capacity * LOAD * SHORT_PART / policy::mean_prompt(SHORT);
    policy::stream(per_s, SHORT, (4, 24)).plan(seed, over, &[0, 1, 2, 3, 4], 6)
}

fn long_plan(seed: u64, over: Duration, capacity: f64) -> Vec<Planned> {
    let medium = capacity * LOAD * MEDIUM_PART / policy::mean_prompt(MEDIUM);
    let medium = policy::stream(medium, MEDIUM, (8, 40));
    let mut planned = medium.plan(seed + 1, over, &[5, 6, 7], 6);
    let long = capacity * LOAD * (1.0 - SHORT_PART - MEDIUM_PART) / policy::mean_prompt(LONG);
    let long = policy::stream(long, LONG, (16, 64));
    planned.extend(long.plan(seed + 2, over, &[8, 9], 6));
    planned
}

fn p95_short(measured: &[Measured]) -> f64 {
    let mut times = Durations::default();
    for m in measured {
        if class_of(m.planned.prompt_tokens) != 0 {
            continue;
        }
        // A short request that failed counts as one that took its whole time.
        times.add(m.result.first_token.unwrap_or(m.result.total));
    }
    times.quantile_ms(0.95)
}

fn dropped_long(measured: &[Measured]) -> usize {
    let long = measured
        .iter()
        .filter(|m| class_of(m.planned.prompt_tokens) >= 2);
    long.filter(|m| m.result.end != CallEnd::Whole).count()
}
