//! Measures draining servers and the planned stop of a node, under load.

use std::time::{Duration, Instant};

use super::{policy, rounded, BenchOptions, Metrics};
use crate::{
    caller::CallEnd,
    fleet::{Fleet, FleetConfig},
    workload::{MeasuredCall, PlannedCall},
};

/// When the engines start draining, as a fraction of the run.
const DRAIN_AT: f64 = 0.3;
/// When the node is stopped, as a fraction of the run.
const STOP_AT: f64 = 0.5;
/// Index of the stopped node.
const STOPPED_NODE: usize = 2;
/// Index of the engine that announces draining in its load report.
const DRAINING_BY_REPORT: usize = 3;
/// Index of the engine marked as draining in the VM list.
const DRAINING_BY_LIST: usize = 4;
/// Timeout of all calls.
const TIMEOUT: Duration = Duration::from_secs(20);

pub fn run(options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    let with_drain = measure(options, true);
    metrics.insert(
        "new_work_after_s".to_owned(),
        rounded(with_drain.new_work_after_s, 2),
    );
    metrics.insert("cut_off".to_owned(), with_drain.cut_off.into());
    metrics.insert("requests".to_owned(), with_drain.requests.into());
    metrics.insert("stop_took_s".to_owned(), rounded(with_drain.stop_took_s, 2));
    let without_drain = measure(options, false);
    metrics.insert(
        "cut_off_without_drain".to_owned(),
        without_drain.cut_off.into(),
    );
    metrics
}

struct Outcome {
    new_work_after_s: f64,
    cut_off: usize,
    requests: usize,
    stop_took_s: f64,
}

fn measure(options: &BenchOptions, drain: bool) -> Outcome {
    let config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, 12, 0)
        .with_node_program(policy::this_program())
        .with_time_scale(policy::TIME_SCALE);
    let mut fleet = Fleet::start(config);
    let duration = Duration::from_secs(options.seconds.max(8));
    let ttl = fleet.config.node_list_ttl;
    let planned = plan_calls(options, duration, ttl, fleet.config.nodes);
    let started = Instant::now();
    let sending = fleet.start_send(planned);
    sleep_until(started, duration.mul_f64(DRAIN_AT));
    let drain_started_at = Instant::now();
    fleet.post_control(
        fleet.engines[DRAINING_BY_REPORT].addr,
        "/standin/leave",
        &(),
    );
    fleet.mark_draining(fleet.engines[DRAINING_BY_LIST].id);
    sleep_until(started, duration.mul_f64(STOP_AT));
    let stopped_at = Instant::now();
    let stop_took_s = match drain {
        true => {
            let node = fleet.nodes[STOPPED_NODE]
                .take()
                .expect("node is not running");
            node.drain();
            let _ = node.join();
            stopped_at.elapsed().as_secs_f64()
        }
        false => {
            fleet.kill_node(STOPPED_NODE);
            0.0
        }
    };
    let measured = sending.wait();
    for line in crate::report::outcomes(&measured) {
        log::info!("{line:?}");
    }
    let last_new_work = [DRAINING_BY_REPORT, DRAINING_BY_LIST]
        .map(|i| last_new_work_s(&fleet, i, drain_started_at));
    Outcome {
        new_work_after_s: last_new_work.into_iter().fold(0.0, f64::max),
        cut_off: measured.iter().filter(|m| is_cut_off(m)).count(),
        requests: measured.len(),
        stop_took_s,
    }
}

fn sleep_until(started: Instant, at: Duration) {
    std::thread::sleep(at.saturating_sub(started.elapsed()));
}

/// Plans the calls. Callers refresh the list of nodes when its TTL expires, so no call uses
/// the stopped node later than the TTL after its stop.
fn plan_calls(
    options: &BenchOptions,
    duration: Duration,
    ttl: Duration,
    nodes: usize,
) -> Vec<PlannedCall> {
    let short = policy::traffic(60.0, (1_000, 8_000), (20, 120));
    let long = policy::traffic(2.0, (30_000, 90_000), (40, 160));
    let workspaces: Vec<usize> = (0..10).collect();
    let mut planned = short.plan(options.seed, duration, &workspaces, nodes);
    planned.extend(long.plan(options.seed + 1, duration, &workspaces, nodes));
    const SAFETY_MARGIN: Duration = Duration::from_millis(100);
    let list_expired = duration.mul_f64(STOP_AT) + ttl - SAFETY_MARGIN;
    for call in planned
        .iter_mut()
        .filter(|c| c.at > list_expired && c.node == STOPPED_NODE)
    {
        call.node = STOPPED_NODE + 1;
    }
    policy::with_timeout(planned, TIMEOUT)
}

fn is_cut_off(measured: &MeasuredCall) -> bool {
    measured.result.end != CallEnd::Complete
}

/// Returns how long after the start of its draining an engine last received new work, in
/// seconds.
fn last_new_work_s(fleet: &Fleet, engine: usize, drain_started_at: Instant) -> f64 {
    let counts = fleet.engine_counts(engine);
    let now = drain_started_at.elapsed().as_secs_f64();
    let ago = counts
        .last_received_ms_ago
        .map_or(now, |ms| ms as f64 / 1_000.0);
    (now - ago).max(0.0)
}
