//! Measures goodput at ten times the fleet's capacity, and the recovery after it.

use std::time::Duration;

use super::{policy, rounded, BenchOptions, Metrics};
use crate::{
    caller::CallEnd,
    fleet::{Fleet, FleetConfig},
    report::Durations,
    workload::{MeasuredCall, PlannedCall},
};

const PROMPT_TOKENS: (u64, u64) = (1_000, 4_000);
const COMPLETION_TOKENS: (u32, u32) = (8, 32);
/// Caller timeout.
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Load after the overload, as a multiple of the capacity.
const NORMAL_LOAD: f64 = 0.7;
/// Load that gives the peak goodput, as a multiple of the capacity.
const PEAK_LOAD: f64 = 1.1;
/// Load of the overload, as a multiple of the capacity.
const OVERLOAD: f64 = 10.0;

pub fn run(options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    let policies = policy::selected_policies(options).into_iter();
    for name in policies.filter(|name| *name != "least_loaded") {
        let fleet = fleet(name);
        let duration = Duration::from_secs(options.seconds);
        let peak = goodput(&send(&fleet, options.seed, PEAK_LOAD, duration), duration);
        let overloaded = send(&fleet, options.seed + 1, OVERLOAD, duration);
        let after_overload = send(
            &fleet,
            options.seed + 2,
            NORMAL_LOAD,
            Duration::from_secs(4),
        );
        let prefix = if name == "fair" { "" } else { "fifo_" };
        let ratio = goodput(&overloaded, duration) / peak;
        metrics.insert(format!("{prefix}goodput_ratio"), rounded(ratio, 3));
        metrics.insert(format!("{prefix}peak_per_s"), rounded(peak, 1));
        metrics.insert(
            format!("{prefix}p95_after_ms"),
            rounded(p95_ms(&after_overload), 0),
        );
        metrics.insert(
            format!("{prefix}not_whole_after"),
            policy::incomplete(&after_overload).into(),
        );
        metrics.insert(
            format!("{prefix}refused"),
            count_refused(&overloaded).into(),
        );
    }
    metrics.insert("rss_mb".to_owned(), rounded(super::rss_mb(), 1));
    metrics
}

fn fleet(policy: &str) -> Fleet {
    let config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, 4, 0)
        .with_time_scale(2.0)
        .with_policy(&format!("kind = {policy}\n"));
    Fleet::start(config)
}

fn send(fleet: &Fleet, seed: u64, load: f64, duration: Duration) -> Vec<MeasuredCall> {
    let per_s = policy::capacity_per_s(fleet) * load / policy::mean_prompt(PROMPT_TOKENS);
    let mut traffic = policy::traffic(per_s, PROMPT_TOKENS, COMPLETION_TOKENS);
    traffic.timeout = TIMEOUT;
    let workspaces: Vec<usize> = (0..10).collect();
    let planned: Vec<PlannedCall> = traffic.plan(seed, duration, &workspaces, fleet.config.nodes);
    fleet.send(planned)
}

/// Returns the complete responses per second.
fn goodput(measured: &[MeasuredCall], duration: Duration) -> f64 {
    let complete = measured
        .iter()
        .filter(|m| m.result.end == CallEnd::Complete);
    complete.count() as f64 / duration.as_secs_f64()
}

fn p95_ms(measured: &[MeasuredCall]) -> f64 {
    let mut times = Durations::default();
    for m in measured {
        times.add(m.result.ttft.unwrap_or(m.result.duration));
    }
    times.quantile_ms(0.95)
}

/// Counts requests rejected with status 429 within 500 ms.
fn count_refused(measured: &[MeasuredCall]) -> usize {
    let is_refused = |m: &&MeasuredCall| {
        let immediate = m.result.duration < Duration::from_millis(500);
        immediate && matches!(m.result.end, CallEnd::Failed { status: 429, .. })
    };
    measured.iter().filter(is_refused).count()
}
