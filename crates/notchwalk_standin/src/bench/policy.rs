//! What the benches of the policy share: fleets under each policy, and mixes
//! modelled on both deployments.

use std::{path::PathBuf, time::Duration};

use super::BenchOptions;
use crate::{
    caller::CallEnd,
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    workload::{Measured, Planned, Stream},
};

/// How many times faster than real the engines run.
pub const TIME_SCALE: f64 = 5.0;
/// The policies, by their names in the bundle.
const POLICIES: [&str; 3] = ["fair", "fifo", "least_loaded"];
/// Returns the policies that are to be measured.
pub fn measured_policies(options: &BenchOptions) -> Vec<&'static str> {
    let wanted = |name: &&str| options.only.as_deref().is_none_or(|only| only == *name);
    POLICIES.into_iter().filter(wanted).collect()
}

/// No request of these benches needs longer.
pub const TIMEOUT: Duration = Duration::from_secs(180);

/// Ten workspaces, a few of them large.
pub fn workspaces() -> Vec<WorkspaceSpec> {
    const WEIGHTS: [f64; 10] = [4.0, 4.0, 3.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0];
    let named = WEIGHTS.iter().enumerate();
    named
        .map(|(i, weight)| WorkspaceSpec::new(&format!("w{i}"), *weight))
        .collect()
}

/// Starts six daemons and twenty engines under a policy.
pub fn fleet(policy: &str) -> Fleet {
    let lines = format!(
        "kind = {policy}\nmax_timeout_ms = 3600000\nmax_requests = 100000\nageing_ms = 4000\n"
    );
    let config = FleetConfig::new(workspaces())
        .with_time_scale(TIME_SCALE)
        .with_policy(&lines);
    Fleet::start(config)
}

/// A stream of prompts of a length class.
pub fn stream(per_s: f64, prompts: (u64, u64), answers: (u32, u32)) -> Stream {
    Stream {
        per_s,
        min_prompt: prompts.0,
        max_prompt: prompts.1,
        min_answer: answers.0,
        max_answer: answers.1,
        timeout: TIMEOUT,
    }
}

/// Prompt tokens a second that the fleet of these benches can compute.
pub fn capacity_per_s(fleet: &Fleet) -> f64 {
    const ONE_ENGINE: f64 = 512.0 / 0.028_48;
    ONE_ENGINE * fleet.config.time_scale * fleet.config.engines as f64
}

/// The mean length of prompts spread evenly over orders of magnitude.
pub fn mean_prompt(prompts: (u64, u64)) -> f64 {
    let (low, high) = (prompts.0 as f64, prompts.1 as f64);
    (high - low) / (high / low).ln()
}

/// Returns the path of this program, which runs daemons as processes.
pub fn this_program() -> PathBuf {
    std::env::current_exe().expect("a program has a path")
}

/// Sets the timeout of all calls.
pub fn with_timeout(mut planned: Vec<Planned>, timeout: Duration) -> Vec<Planned> {
    for call in &mut planned {
        call.timeout = timeout;
    }
    planned
}

/// How many calls did not end with a whole answer.
pub fn not_whole(measured: &[Measured]) -> usize {
    let failed = |m: &&Measured| m.result.end != CallEnd::Whole;
    measured.iter().filter(failed).count()
}
