//! Measures fairness among ten backlogged workspaces of unequal weight whose callers are spread
//! unevenly over the nodes. One workspace floods the fleet with long prompts.

use std::time::Duration;

use super::{policy, rounded, BenchOptions, Metrics};
use crate::{
    fleet::Fleet,
    workload::{run_closed_loop, ClosedLoopCaller, ClosedLoopResult},
};

/// Index of the workspace that floods the fleet with long prompts.
const FLOODING_WORKSPACE: usize = 9;
/// Number of callers of each workspace that does not flood the fleet.
const CALLERS: usize = 90;
/// Number of callers of the flooding workspace.
const FLOOD_CALLERS: usize = 40;
const SHORT_PROMPT_TOKENS: (u64, u64) = (1_000, 4_000);
const LONG_PROMPT_TOKENS: (u64, u64) = (40_000, 120_000);
/// Requests served in the warm-up are not counted.
const WARM_UP: Duration = Duration::from_secs(3);
/// One of this many callers uses a different node than the rest of its workspace.
const OTHER_NODE_EVERY: usize = 3;

pub fn run(options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    for name in policy::selected_policies(options) {
        let without_flood = served_tokens_per_s(options, name, false);
        let with_flood = served_tokens_per_s(options, name, true);
        let prefix = match name {
            "fair" => String::new(),
            other => format!("{other}_"),
        };
        metrics.insert(format!("{prefix}jain"), rounded(jain_index(&with_flood), 4));
        let victim_service = |served: &[f64]| served[..FLOODING_WORKSPACE].iter().sum::<f64>();
        let slowdown = victim_service(&without_flood) / victim_service(&with_flood);
        metrics.insert(format!("{prefix}victim_slowdown"), rounded(slowdown, 3));
        let by_weight: Vec<_> = service_per_weight(&with_flood)
            .iter()
            .map(|x| rounded(*x, 0))
            .collect();
        metrics.insert(
            format!("{prefix}tokens_per_s_over_weight"),
            by_weight.into(),
        );
    }
    metrics
}

fn callers(fleet: &Fleet, options: &BenchOptions, flood: bool) -> Vec<ClosedLoopCaller> {
    let mut callers = Vec::new();
    for workspace in 0..fleet.config.bundle.workspaces.len() {
        let is_flooding = workspace == FLOODING_WORKSPACE;
        if is_flooding && !flood {
            continue;
        }
        let (count, prompts) = match is_flooding {
            true => (FLOOD_CALLERS, LONG_PROMPT_TOKENS),
            false => (CALLERS, SHORT_PROMPT_TOKENS),
        };
        for i in 0..count {
            let node_offset = if i % OTHER_NODE_EVERY == 0 { i } else { 0 };
            callers.push(ClosedLoopCaller {
                workspace,
                node: workspace + node_offset,
                traffic: policy::traffic(0.0, prompts, (4, 8)),
                stop: Vec::new(),
                seed: options.seed * 1_000_003 + (workspace * 1_000 + i) as u64,
            });
        }
    }
    callers
}

/// Returns the prompt tokens per second served to each workspace.
fn served_tokens_per_s(options: &BenchOptions, name: &str, flood: bool) -> Vec<f64> {
    let fleet = policy::fleet(name);
    let keys = fleet.keys();
    let duration = WARM_UP + Duration::from_secs(options.seconds);
    let callers = callers(&fleet, options, flood);
    let model = &fleet.config.bundle.model;
    let results = run_closed_loop(&fleet.caller_addrs(), &keys, model, callers, duration);
    let mut served = vec![0.0; keys.len()];
    for result in &results {
        if is_counted(result) {
            served[result.workspace] += result.prompt_tokens as f64;
        }
    }
    served.iter().map(|n| n / options.seconds as f64).collect()
}

fn is_counted(result: &ClosedLoopResult) -> bool {
    result.first_token_at.is_some_and(|at| at >= WARM_UP)
}

fn service_per_weight(served: &[f64]) -> Vec<f64> {
    let weights = policy::workspaces();
    let pairs = served.iter().zip(&weights);
    pairs.map(|(n, workspace)| n / workspace.weight).collect()
}

/// Returns Jain's fairness index of service per weight; 1 is perfectly fair.
fn jain_index(served: &[f64]) -> f64 {
    let services = service_per_weight(served);
    let sum: f64 = services.iter().sum();
    let squares: f64 = services.iter().map(|x| x * x).sum();
    sum * sum / (services.len() as f64 * squares)
}
