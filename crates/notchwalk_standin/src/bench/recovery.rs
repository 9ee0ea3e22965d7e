//! Measures the crash of a node and two engines under load.

use std::time::{Duration, Instant};

use super::{policy, rounded, BenchOptions, Metrics};
use crate::{
    caller::CallEnd,
    engine::Fault,
    fleet::{Fleet, FleetConfig},
    report::Durations,
    workload::MeasuredCall,
};

/// When the node and the engines crash, as a fraction of the run.
const CRASH_AT: f64 = 0.4;
/// Index of the crashed node.
const CRASHED_NODE: usize = 1;
/// Indices of the crashed engines.
const CRASHED_ENGINES: [usize; 2] = [0, 1];
/// KV memory per token, in bytes.
const BYTES_PER_TOKEN: u64 = 131_072;
/// Timeout of all calls.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for the sweep to release leaked memory.
const SWEEP_TIMEOUT: Duration = Duration::from_secs(20);

pub fn run(options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    let with_retries = measure(options, "kind = fair\n");
    metrics.insert(
        "failed_ratio".to_owned(),
        rounded(with_retries.failed_ratio, 4),
    );
    metrics.insert(
        "cut_by_dead_daemon".to_owned(),
        with_retries.cut_by_node_crash.into(),
    );
    metrics.insert(
        "back_to_normal_s".to_owned(),
        rounded(with_retries.recovery_s, 1),
    );
    metrics.insert("leaked_bytes".to_owned(), with_retries.leaked_bytes.into());
    metrics.insert("requests".to_owned(), with_retries.requests.into());
    let without_retries = measure(options, "kind = fair\nretry_percent = 0\n");
    let ratio = rounded(without_retries.failed_ratio, 4);
    metrics.insert("failed_ratio_without_retries".to_owned(), ratio);
    metrics
}

struct Outcome {
    failed_ratio: f64,
    cut_by_node_crash: usize,
    recovery_s: f64,
    leaked_bytes: u64,
    requests: usize,
}

fn measure(options: &BenchOptions, policy_lines: &str) -> Outcome {
    let config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, 12, 0)
        .with_node_program(policy::this_program())
        .with_time_scale(policy::TIME_SCALE)
        .with_policy(policy_lines);
    let mut fleet = Fleet::start(config);
    let duration = Duration::from_secs(options.seconds.max(10));
    let nodes = fleet.config.nodes;
    let workspaces: Vec<usize> = (0..10).collect();
    let short = policy::traffic(80.0, (1_000, 8_000), (20, 120));
    let mut planned = short.plan(options.seed, duration, &workspaces, nodes);
    let long = policy::traffic(2.0, (30_000, 90_000), (40, 160));
    planned.extend(long.plan(options.seed + 1, duration, &workspaces, nodes));
    let crashed_at = duration.mul_f64(CRASH_AT);
    // Callers of the crashed node use the next one.
    for call in planned
        .iter_mut()
        .filter(|c| c.at > crashed_at && c.node == CRASHED_NODE)
    {
        call.node += 1;
    }
    let planned = policy::with_timeout(planned, TIMEOUT);
    let started = Instant::now();
    let sending = fleet.start_send(planned);
    std::thread::sleep(crashed_at.saturating_sub(started.elapsed()));
    fleet.kill_node(CRASHED_NODE);
    for engine in CRASHED_ENGINES {
        fleet.set_engine_fault(engine, Fault::Dead);
    }
    std::thread::sleep(Duration::from_secs(2));
    fleet.remove_vm(CRASHED_NODE as u32 + 1);
    let measured = sending.wait();
    for line in crate::report::outcomes(&measured) {
        log::info!("{line:?}");
    }
    let (via_crashed_node, via_others): (Vec<_>, Vec<_>) = measured
        .into_iter()
        .partition(|m| m.planned.node == CRASHED_NODE);
    let failed = via_others
        .iter()
        .filter(|m| m.result.end != CallEnd::Complete)
        .count();
    let interrupted = via_crashed_node
        .iter()
        .filter(|m| m.result.end != CallEnd::Complete)
        .count();
    Outcome {
        failed_ratio: failed as f64 / via_others.len() as f64,
        cut_by_node_crash: interrupted,
        recovery_s: recovery_s(&via_others, crashed_at),
        leaked_bytes: leaked_tokens(&fleet) * BYTES_PER_TOKEN,
        requests: via_others.len(),
    }
}

/// Returns the time from the crash until the p95 time to first token of short requests, over
/// half-second windows, stays within 1.5 times its value before the crash, in seconds.
fn recovery_s(measured: &[MeasuredCall], crashed_at: Duration) -> f64 {
    const WINDOW: Duration = Duration::from_millis(500);
    const TOLERATED_RATIO: f64 = 1.5;
    let p95_ms = |from: Duration, to: Duration| {
        let mut times = Durations::default();
        for m in measured {
            let short = m.planned.prompt_tokens <= 8_000;
            if short && m.planned.at >= from && m.planned.at < to {
                times.add(m.result.ttft.unwrap_or(m.result.duration));
            }
        }
        times.quantile_ms(0.95)
    };
    let normal_ms = p95_ms(Duration::from_secs(1), crashed_at);
    let last_sent_at = measured
        .iter()
        .map(|m| m.planned.at)
        .max()
        .unwrap_or(crashed_at);
    let (mut from, mut recovered_s) = (crashed_at, 0.0);
    while from < last_sent_at {
        if p95_ms(from, from + WINDOW) > normal_ms * TOLERATED_RATIO {
            recovered_s = (from + WINDOW - crashed_at).as_secs_f64();
        }
        from += WINDOW;
    }
    recovered_s
}

/// Returns the memory still in use on the running engines after the sweep, in tokens.
fn leaked_tokens(fleet: &Fleet) -> u64 {
    let started = Instant::now();
    loop {
        let running = (0..fleet.engines.len()).filter(|i| !CRASHED_ENGINES.contains(i));
        let used: u64 = running.map(|i| fleet.engine_counts(i).used_tokens).sum();
        if used == 0 || started.elapsed() > SWEEP_TIMEOUT {
            return used;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}
