//! Measures how long a bundle change takes to become active on all nodes, how often a node
//! reverts to an older version, and how many bytes a change transfers.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::{Duration, Instant},
};

use notchwalk_bundle::Part;

use super::{policy, rounded, BenchOptions, Metrics};
use crate::{
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    platform::PlatformFault,
};

/// Number of submitted changes.
const CHANGES: usize = 200;
/// One of this many changes is measured until it is active on all nodes.
const MEASURE_EVERY: usize = 10;
/// A node is killed and restarted before these changes.
const RESTART_AT: [usize; 2] = [55, 135];
/// The store is down for 1 s before this change.
const OUTAGE_AT: usize = 95;
/// Number of workspaces of the large bundle.
const LARGE_WORKSPACES: usize = 37_000;
/// Number of changes of the large bundle.
const LARGE_CHANGES: usize = 4;

pub fn run(_options: &BenchOptions) -> Metrics {
    let mut metrics = Metrics::new();
    let (in_force_s, reversions) = measure_changes();
    metrics.insert("in_force_s_max".to_owned(), rounded(in_force_s, 2));
    metrics.insert("reversions".to_owned(), reversions.into());
    metrics.insert("changes".to_owned(), CHANGES.into());
    let large = measure_large_changes();
    metrics.insert(
        "bytes_per_change".to_owned(),
        rounded(large.bytes_per_change, 0),
    );
    metrics.insert(
        "large_in_force_s_max".to_owned(),
        rounded(large.in_force_s, 2),
    );
    metrics
}

/// Returns the parts of the bundle with one workspace's weight changed.
fn changed_parts(fleet: &Fleet, i: usize) -> Vec<Part> {
    let mut spec = fleet.config.bundle.clone();
    let n = spec.workspaces.len();
    spec.workspaces[i * 7 % n].weight = 1.5 + i as f64;
    fleet.operators.parts(&spec)
}

/// Returns the active bundle version of a node and how long it has been active.
fn version_in_force(fleet: &Fleet, operator: SocketAddr) -> (u64, Duration) {
    let dump: serde_json::Value = fleet.get_json(operator, "/dump");
    let version = dump["bundle_version"].as_u64().unwrap_or(0);
    let age = dump["bundle_age_ms"].as_u64().unwrap_or(0);
    (version, Duration::from_millis(age))
}

fn operator_addrs(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet
        .nodes
        .iter()
        .flatten()
        .map(|node| node.addresses.operator)
        .collect()
}

/// Waits until a version is active on all nodes. Returns the time from its acceptance until
/// the last node applied it, in seconds.
fn slowest_apply_s(fleet: &Fleet, version: u64, accepted_at: Instant) -> f64 {
    const APPLY_TIMEOUT: Duration = Duration::from_secs(20);
    let mut slowest: f64 = 0.0;
    for operator in operator_addrs(fleet) {
        loop {
            let (current, age) = version_in_force(fleet, operator);
            if current >= version {
                let applied_after = accepted_at.elapsed().saturating_sub(age);
                slowest = slowest.max(applied_after.as_secs_f64());
                break;
            }
            assert!(
                accepted_at.elapsed() < APPLY_TIMEOUT,
                "node {operator} did not apply bundle version {version} in time"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    slowest
}

/// Polls the nodes' bundle versions until `stop` and counts reversions.
fn count_reversions(
    addresses: &[SocketAddr],
    fleet: &Fleet,
    stop: &AtomicBool,
    reversions: &AtomicU64,
) {
    let mut highest = vec![0; addresses.len()];
    while !stop.load(Ordering::Relaxed) {
        for (i, operator) in addresses.iter().enumerate() {
            let (version, _) = version_in_force(fleet, *operator);
            if version < highest[i] {
                reversions.fetch_add(1, Ordering::Relaxed);
            }
            highest[i] = highest[i].max(version);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn measure_changes() -> (f64, u64) {
    let config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, 2, 0)
        .with_node_program(policy::this_program());
    let mut fleet = Fleet::start(config);
    let (mut slowest_s, reversions) = (0.0_f64, AtomicU64::new(0));
    let mut i = 0;
    while i < CHANGES {
        // Reversions are not counted while a node restarts, because a restarted node has no
        // bundle at first.
        let range_end = RESTART_AT
            .iter()
            .find(|at| **at > i)
            .copied()
            .unwrap_or(CHANGES);
        let stop = AtomicBool::new(false);
        let addresses = operator_addrs(&fleet);
        std::thread::scope(|scope| {
            let (fleet, stop, reversions) = (&fleet, &stop, &reversions);
            let addresses = &addresses;
            scope.spawn(move || count_reversions(addresses, fleet, stop, reversions));
            while i < range_end {
                slowest_s = slowest_s.max(submit_change(fleet, i));
                i += 1;
            }
            stop.store(true, Ordering::Relaxed);
        });
        if i < CHANGES {
            let restartable_nodes = fleet.nodes.len() - 1;
            fleet.kill_node(i % restartable_nodes);
            fleet.start_node(i % restartable_nodes);
        }
    }
    (slowest_s, reversions.into_inner())
}

/// Submits one change. Returns how many seconds it took to become active on all nodes, or 0 if
/// it isn't a measured change.
fn submit_change(fleet: &Fleet, i: usize) -> f64 {
    if i == OUTAGE_AT {
        let down = PlatformFault {
            store_down: true,
            ..PlatformFault::default()
        };
        fleet.set_platform_fault(down);
        std::thread::sleep(Duration::from_secs(1));
        fleet.set_platform_fault(PlatformFault::default());
    }
    let parts = changed_parts(fleet, i);
    let head = fleet
        .submit(&parts, &format!("change {i}"))
        .expect("bundle was rejected");
    let accepted_at = Instant::now();
    match i % MEASURE_EVERY {
        0 => slowest_apply_s(fleet, head.version, accepted_at),
        _ => 0.0,
    }
}

struct LargeOutcome {
    bytes_per_change: f64,
    in_force_s: f64,
}

fn measure_large_changes() -> LargeOutcome {
    let workspaces =
        (0..LARGE_WORKSPACES).map(|i| WorkspaceSpec::new(&format!("workspace-{i}"), 1.0));
    let config = FleetConfig::new(workspaces.collect())
        .with_sizes(6, 1, 0)
        .with_node_program(policy::this_program());
    let fleet = Fleet::start(config);
    let fetched_bytes = || {
        let text = fleet.get_text(operator_addrs(&fleet)[0], "/metrics");
        let name = "notchwalk_bundle_bytes_total ";
        let line = text.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0)
    };
    let bytes_before = fetched_bytes();
    let mut slowest_s: f64 = 0.0;
    for i in 0..LARGE_CHANGES {
        let parts = changed_parts(&fleet, i);
        let head = fleet
            .submit(&parts, "one weight")
            .expect("bundle was rejected");
        slowest_s = slowest_s.max(slowest_apply_s(&fleet, head.version, Instant::now()));
    }
    LargeOutcome {
        bytes_per_change: (fetched_bytes() - bytes_before) / LARGE_CHANGES as f64,
        in_force_s: slowest_s,
    }
}
