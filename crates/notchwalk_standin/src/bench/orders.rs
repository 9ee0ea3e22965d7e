//! Counts stale orders that engines execute after the lease holder was suspended.

use std::time::{Duration, Instant};

use notchwalk_wire::LoadReport;

use super::{policy, rounded, BenchOptions, Metrics};
use crate::fleet::{Fleet, FleetConfig};

/// Longer than the lease, but short enough to be safe for engines without fencing.
const SUSPENSION_DURATION: Duration = Duration::from_secs(8);
const TIMEOUT: Duration = Duration::from_secs(60);

pub fn run(_options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    let mut stale_orders = 0;
    for (name, checks_fencing_token) in [("fenced", true), ("unfenced", false)] {
        let outcome = measure(checks_fencing_token);
        stale_orders += outcome.stale_orders;
        metrics.insert(
            format!("{name}_loaded_after_s"),
            rounded(outcome.loaded_after_s, 1),
        );
        metrics.insert(format!("{name}_new_holder"), outcome.has_new_holder.into());
    }
    metrics.insert("stale_orders_run".to_owned(), stale_orders.into());
    metrics
}

struct Outcome {
    stale_orders: u64,
    loaded_after_s: f64,
    has_new_holder: bool,
}

fn measure(checks_fencing_token: bool) -> Outcome {
    let mut config = FleetConfig::new(policy::workspaces())
        .with_sizes(3, 6, 0)
        .with_node_program(policy::this_program());
    config.bundle.checks_fencing_token = checks_fencing_token;
    let fleet = Fleet::start(config);
    let holder = wait_for_holder(&fleet, None);
    let mut spec = fleet.config.bundle.clone();
    spec.versions = ["v1", "v2", "v3"].map(str::to_owned).to_vec();
    let started = Instant::now();
    let parts = fleet.operators.parts(&spec);
    fleet
        .submit(&parts, "two more versions")
        .expect("bundle was rejected");
    // Suspends the holder while it sends its orders.
    std::thread::sleep(Duration::from_millis(900));
    let suspended = fleet.nodes[holder].as_ref().expect("node is not running");
    suspended.suspend();
    let suspended_at = Instant::now();
    let has_new_holder = wait_for_holder(&fleet, Some(holder)) != holder;
    std::thread::sleep(SUSPENSION_DURATION.saturating_sub(suspended_at.elapsed()));
    suspended.resume();
    wait_until_loaded(&fleet, &spec.versions);
    let loaded_after_s = started.elapsed().as_secs_f64();
    // Allows the resumed node to send stale orders.
    std::thread::sleep(Duration::from_secs(3));
    let engines = 0..fleet.engines.len();
    Outcome {
        stale_orders: engines
            .map(|i| fleet.engine_counts(i).stale_orders_run)
            .sum(),
        loaded_after_s,
        has_new_holder,
    }
}

/// Waits until a node other than `suspended` holds the lease. Returns its index.
fn wait_for_holder(fleet: &Fleet, suspended: Option<usize>) -> usize {
    let started = Instant::now();
    loop {
        for (i, node) in fleet.nodes.iter().enumerate() {
            let Some(node) = node.as_ref().filter(|_| suspended != Some(i)) else {
                continue;
            };
            let dump: serde_json::Value = fleet.get_json(node.addresses.operator, "/dump");
            if dump["order_fence"].is_u64() {
                return i;
            }
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "no node acquired the lease in time"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn wait_until_loaded(fleet: &Fleet, versions: &[String]) {
    let started = Instant::now();
    let has_all = |i: usize| {
        let report: LoadReport = fleet.get_json(fleet.engines[i].addr, "/v1/load");
        let loaded = &report.loaded[0].versions;
        versions.iter().all(|v| loaded.contains(v))
    };
    while !(0..fleet.engines.len()).all(has_all) {
        assert!(
            started.elapsed() < TIMEOUT,
            "engines did not load all versions in time"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}
