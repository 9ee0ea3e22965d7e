//! Fair sharing: ten workspaces of unequal weight, all with more to do than
//! they get, spread unevenly over the entries, one of them flooding with long
//! jobs.

use std::time::Duration;

use super::{policy, rounded, BenchOptions, Figures};
use crate::{
    fleet::Fleet,
    workload::{run_closed, ClosedCaller, ClosedResult},
};

/// The workspace that floods with long jobs.
const FLOODER: usize = 9;
/// Callers of each other workspace.
const CALLERS: usize = 90;
/// Callers of the flooder.
const FLOOD_CALLERS: usize = 40;
const SHORT: (u64, u64) = (1_000, 4_000);
const LONG: (u64, u64) = (40_000, 120_000);
/// What is served in the first part of the run is not counted.
const WARM_UP: Duration = Duration::from_secs(3);
/// Of so many callers, one uses another entry than its workspace's usual one.
const ELSEWHERE_EVERY: usize = 3;

/// Runs the bench.
pub fn run(options: &BenchOptions) -> Figures {
    let mut figures = Figures::new();
    for name in policy::measured_policies(options) {
        let without = served(options, name, false);
        let with = served(options, name, true);
        let prefix = match name {
            "fair" => String::new(),
            other => format!("{other}_"),
        };
        figures.insert(format!("{prefix}jain"), rounded(jain(&with), 4));
        let victims = |served: &[f64]| served[..FLOODER].iter().sum::<f64>();
        let slowdown = victims(&without) / victims(&with);
        figures.insert(format!("{prefix}victim_slowdown"), rounded(slowdown, 3));
        let by_weight: Vec<_> = over_weight(&with).iter().map(|x| rounded(*x, 0)).collect();
        figures.insert(
            format!("{prefix}tokens_per_s_over_weight"),
            by_weight.into(),
        );
    }
    figures
}

fn callers(fleet: &Fleet, options: &BenchOptions, flood: bool) -> Vec<ClosedCaller> {
    let mut callers = Vec::new();
    for workspace in 0..fleet.config.bundle.workspaces.len() {
        let floods = workspace == FLOODER;
        if floods && !flood {
            continue;
        }
        let (count, prompts) = match floods {
            true => (FLOOD_CALLERS, LONG),
            false => (CALLERS, SHORT),
        };
        for i in 0..count {
            let elsewhere = if i % ELSEWHERE_EVERY == 0 { i } else { 0 };
            callers.push(ClosedCaller {
                workspace,
                entry: workspace + elsewhere,
                stream: policy::stream(0.0, prompts, (4, 8)),
                stop: Vec::new(),
                seed: options.seed * 1_000_003 + (workspace * 1_000 + i) as u64,
            });
        }
    }
    callers
}

/// Returns the prompt tokens a second served for each workspace.
fn served(options: &BenchOptions, name: &str, flood: bool) -> Vec<f64> {
    let fleet = policy::fleet(name);
    let keys = fleet.keys();
    let over = WARM_UP + Duration::from_secs(options.seconds);
    let callers = callers(&fleet, options, flood);
    let model = &fleet.config.bundle.model;
    let results = run_closed(&fleet.entries(), &keys, model, callers, over);
    let mut served = vec![0.0; keys.len()];
    for result in &results {
        if counts(result) {
            served[result.workspace] += result.prompt_tokens as f64;
        }
    }
    served.iter().map(|n| n / options.seconds as f64).collect()
}

fn counts(result: &ClosedResult) -> bool {
    result.first_token_at.is_some_and(|at| at >= WARM_UP)
}

fn over_weight(served: &[f64]) -> Vec<f64> {
    let weights = policy::workspaces();
    let pairs = served.iter().zip(&weights);
    pairs.map(|(n, workspace)| n / workspace.weight).collect()
}

/// Jain's index of service over weight: 1 is perfectly fair.
fn jain(served: &[f64]) -> f64 {
    let shares = over_weight(served);
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|x| x * x).sum();
    sum * sum / (shares.len() as f64 * squares)
}
