//! Shared parts of the policy benches: fleets, traffic and capacity.

use std::{path::PathBuf, time::Duration};

use super::BenchOptions;
use crate::{
    caller::CallEnd,
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    workload::{MeasuredCall, PlannedCall, TrafficClass},
};

/// Speed-up of the engines over real time.
pub const TIME_SCALE: f64 = 5.0;
/// Policies by their names in the bundle.
const POLICIES: [&str; 3] = ["fair", "fifo", "least_loaded"];

/// Returns the policies to measure.
pub fn selected_policies(options: &BenchOptions) -> Vec<&'static str> {
    let is_selected = |name: &&str| options.only.as_deref().is_none_or(|only| only == *name);
    POLICIES.into_iter().filter(is_selected).collect()
}

/// Timeout of calls; longer than any request of these benches takes.
pub const TIMEOUT: Duration = Duration::from_secs(180);

/// Returns ten workspaces of unequal weights.
pub fn workspaces() -> Vec<WorkspaceSpec> {
    const WEIGHTS: [f64; 10] = [4.0, 4.0, 3.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0];
    let weights = WEIGHTS.iter().enumerate();
    weights
        .map(|(i, weight)| WorkspaceSpec::new(&format!("w{i}"), *weight))
        .collect()
}

/// Starts six nodes and twenty engines with a policy.
pub fn fleet(policy: &str) -> Fleet {
    let settings = format!(
        "kind = {policy}\nmax_timeout_ms = 3600000\nmax_requests = 100000\nageing_ms = 4000\n"
    );
    let config = FleetConfig::new(workspaces())
        .with_time_scale(TIME_SCALE)
        .with_policy(&settings);
    Fleet::start(config)
}

/// Returns a traffic class with the given rate and ranges of prompt and completion lengths.
pub fn traffic(per_s: f64, prompts: (u64, u64), completions: (u32, u32)) -> TrafficClass {
    TrafficClass {
        per_s,
        min_prompt: prompts.0,
        max_prompt: prompts.1,
        min_completion: completions.0,
        max_completion: completions.1,
        timeout: TIMEOUT,
    }
}

/// Returns the prefill capacity of a fleet, in prompt tokens per second.
pub fn capacity_per_s(fleet: &Fleet) -> f64 {
    // The token budget of a step divided by the duration of a full step.
    const ENGINE_TOKENS_PER_S: f64 = 512.0 / 0.028_48;
    ENGINE_TOKENS_PER_S * fleet.config.time_scale * fleet.config.engines as f64
}

/// Returns the mean of a log-uniform distribution of prompt lengths.
pub fn mean_prompt(prompts: (u64, u64)) -> f64 {
    let (low, high) = (prompts.0 as f64, prompts.1 as f64);
    (high - low) / (high / low).ln()
}

/// Returns the path of this program, which runs nodes as separate processes.
pub fn this_program() -> PathBuf {
    std::env::current_exe().expect("path of the program is unknown")
}

/// Sets the timeout of all calls.
pub fn with_timeout(mut planned: Vec<PlannedCall>, timeout: Duration) -> Vec<PlannedCall> {
    for call in &mut planned {
        call.timeout = timeout;
    }
    planned
}

/// Counts calls without a complete response.
pub fn incomplete(measured: &[MeasuredCall]) -> usize {
    let is_incomplete = |m: &&MeasuredCall| m.result.end != CallEnd::Complete;
    measured.iter().filter(is_incomplete).count()
}
