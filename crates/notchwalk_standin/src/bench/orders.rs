//! Orders to engines while the holder of the lease is paused.

use std::time::{Duration, Instant};

use notchwalk_wire::LoadReport;

use super::{policy, rounded, BenchOptions, Figures};
use crate::fleet::{Fleet, FleetConfig};

/// Longer than the lease, shorter than the pause that engines without fencing
/// are guarded against.
const PAUSE: Duration = Duration::from_secs(8);
/// How long everything may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// Runs the bench.
pub fn run(_options: &BenchOptions) -> Figures {
    let mut figures = Figures::new();
    let mut stale = 0;
    for (name, checks_fence) in [("fenced", true), ("unfenced", false)] {
        let outcome = measure(checks_fence);
        stale += outcome.stale;
        figures.insert(
            format!("{name}_loaded_after_s"),
            rounded(outcome.loaded_after_s, 1),
        );
        figures.insert(format!("{name}_new_holder"), outcome.new_holder.into());
    }
    figures.insert("stale_orders_run".to_owned(), stale.into());
    figures
}

struct Outcome {
    stale: u64,
    loaded_after_s: f64,
    new_holder: bool,
}

fn measure(checks_fence: bool) -> Outcome {
    let mut config = FleetConfig::new(policy::workspaces())
        .with_sizes(3, 6, 0)
        .with_entry_program(policy::this_program());
    config.bundle.checks_fence = checks_fence;
    let fleet = Fleet::start(config);
    let holder = wait_for_holder(&fleet, None);
    let mut spec = fleet.config.bundle.clone();
    spec.versions = ["v1", "v2", "v3"].map(str::to_owned).to_vec();
    let began = Instant::now();
    let parts = fleet.operators.parts(&spec);
    fleet
        .submit(&parts, "two more versions")
        .expect("it is accepted");
    // In the midst of its orders.
    std::thread::sleep(Duration::from_millis(900));
    let paused = fleet.daemons[holder].as_ref().expect("it runs");
    paused.pause();
    let paused_at = Instant::now();
    let new_holder = wait_for_holder(&fleet, Some(holder)) != holder;
    std::thread::sleep(PAUSE.saturating_sub(paused_at.elapsed()));
    paused.resume();
    wait_until_loaded(&fleet, &spec.versions);
    let loaded_after_s = began.elapsed().as_secs_f64();
    // Time for the woken one to do harm.
    std::thread::sleep(Duration::from_secs(3));
    let engines = 0..fleet.engines.len();
    Outcome {
        stale: engines
            .map(|i| fleet.engine_counts(i).stale_orders_run)
            .sum(),
        loaded_after_s,
        new_holder,
    }
}

/// Waits until a daemon holds the lease, one that is not paused.
fn wait_for_holder(fleet: &Fleet, paused: Option<usize>) -> usize {
    let began = Instant::now();
    loop {
        for (i, daemon) in fleet.daemons.iter().enumerate() {
            let Some(daemon) = daemon.as_ref().filter(|_| paused != Some(i)) else {
                continue;
            };
            let dump: serde_json::Value = fleet.read(daemon.addresses.operator, "/dump");
            if dump["order_fence"].is_u64() {
                return i;
            }
        }
        assert!(began.elapsed() < PATIENCE, "nobody holds the lease");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn wait_until_loaded(fleet: &Fleet, versions: &[String]) {
    let began = Instant::now();
    let has_all = |i: usize| {
        let report: LoadReport = fleet.read(fleet.engines[i].addr, "/v1/load");
        let loaded = &report.loaded[0].versions;
        versions.iter().all(|v| loaded.contains(v))
    };
    while !(0..fleet.engines.len()).all(has_all) {
        assert!(began.elapsed() < PATIENCE, "the versions are not loaded");
        std::thread::sleep(Duration::from_millis(100));
    }
}
