//! Changes of the bundle: how soon each is in force everywhere, that none is
//! ever taken back, and what a change moves.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::{Duration, Instant},
};

use notchwalk_bundle::Part;

use super::{policy, rounded, BenchOptions, Figures};
use crate::{
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    platform::PlatformFault,
};

/// Changes that are made.
const CHANGES: usize = 200;
/// Of so many changes, one waits until it is in force everywhere.
const MEASURE_EVERY: usize = 10;
/// At this change a daemon is killed and started anew.
const RESTART_AT: [usize; 2] = [55, 135];
/// At this change the store is down for a while.
const OUTAGE_AT: usize = 95;
/// The workspaces of the large bundle, and changes made to it.
const LARGE: usize = 37_000;
const LARGE_CHANGES: usize = 4;

/// Runs the bench.
pub fn run(_options: &BenchOptions) -> Figures {
    let mut figures = Figures::new();
    let (in_force, reversions) = many_changes();
    figures.insert("in_force_s_max".to_owned(), rounded(in_force, 2));
    figures.insert("reversions".to_owned(), reversions.into());
    figures.insert("changes".to_owned(), CHANGES.into());
    let large = large_changes();
    figures.insert("bytes_per_change".to_owned(), rounded(large.bytes, 0));
    figures.insert(
        "large_in_force_s_max".to_owned(),
        rounded(large.in_force_s, 2),
    );
    figures
}

/// Parts with another weight in them.
fn changed_parts(fleet: &Fleet, i: usize) -> Vec<Part> {
    let mut spec = fleet.config.bundle.clone();
    let n = spec.workspaces.len();
    spec.workspaces[i * 7 % n].weight = 1.5 + i as f64;
    fleet.operators.parts(&spec)
}

/// The version in force at a daemon, and for how long.
fn in_force(fleet: &Fleet, operator: SocketAddr) -> (u64, Duration) {
    let dump: serde_json::Value = fleet.read(operator, "/dump");
    let version = dump["bundle_version"].as_u64().unwrap_or(0);
    let age = dump["bundle_age_ms"].as_u64().unwrap_or(0);
    (version, Duration::from_millis(age))
}

fn operators(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet
        .daemons
        .iter()
        .flatten()
        .map(|d| d.addresses.operator)
        .collect()
}

/// Waits until a version is in force everywhere; returns how long the slowest
/// took since it was accepted.
fn slowest(fleet: &Fleet, version: u64, accepted: Instant) -> f64 {
    const PATIENCE: Duration = Duration::from_secs(20);
    let mut slowest: f64 = 0.0;
    for operator in operators(fleet) {
        loop {
            let (now, age) = in_force(fleet, operator);
            if now >= version {
                let since = accepted.elapsed().saturating_sub(age);
                slowest = slowest.max(since.as_secs_f64());
                break;
            }
            assert!(
                accepted.elapsed() < PATIENCE,
                "version {version} is not in force"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    slowest
}

/// Watches daemons' versions, and counts those that fall.
fn watch(addresses: &[SocketAddr], fleet: &Fleet, stop: &AtomicBool, reversions: &AtomicU64) {
    let mut highest = vec![0; addresses.len()];
    while !stop.load(Ordering::Relaxed) {
        for (i, operator) in addresses.iter().enumerate() {
            let (version, _) = in_force(fleet, *operator);
            if version < highest[i] {
                reversions.fetch_add(1, Ordering::Relaxed);
            }
            highest[i] = highest[i].max(version);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn many_changes() -> (f64, u64) {
    let config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, 2, 0)
        .with_entry_program(policy::this_program());
    let mut fleet = Fleet::start(config);
    let (mut worst, reversions) = (0.0_f64, AtomicU64::new(0));
    let mut i = 0;
    while i < CHANGES {
        // Daemons change only between watched stretches, since those that
        // start anew begin without a bundle.
        let stretch = RESTART_AT
            .iter()
            .find(|at| **at > i)
            .copied()
            .unwrap_or(CHANGES);
        let stop = AtomicBool::new(false);
        let addresses = operators(&fleet);
        std::thread::scope(|scope| {
            let (fleet, stop, reversions) = (&fleet, &stop, &reversions);
            let addresses = &addresses;
            scope.spawn(move || watch(addresses, fleet, stop, reversions));
            while i < stretch {
                worst = worst.max(change(fleet, i));
                i += 1;
            }
            stop.store(true, Ordering::Relaxed);
        });
        if i < CHANGES {
            let before = fleet.daemons.len() - 1;
            fleet.kill_daemon(i % before);
            fleet.start_daemon(i % before);
        }
    }
    (worst, reversions.into_inner())
}

/// Makes one change; returns how long it took to be in force, if that was
/// measured.
fn change(fleet: &Fleet, i: usize) -> f64 {
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
        .expect("it is accepted");
    let accepted = Instant::now();
    match i % MEASURE_EVERY {
        0 => slowest(fleet, head.version, accepted),
        _ => 0.0,
    }
}

struct Large {
    bytes: f64,
    in_force_s: f64,
}

fn large_changes() -> Large {
    let named = (0..LARGE).map(|i| WorkspaceSpec::new(&format!("workspace-{i}"), 1.0));
    let config = FleetConfig::new(named.collect())
        .with_sizes(6, 1, 0)
        .with_entry_program(policy::this_program());
    let fleet = Fleet::start(config);
    let fetched = || {
        let text = fleet.read_text(operators(&fleet)[0], "/metrics");
        let name = "notchwalk_bundle_bytes_total ";
        let line = text.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0)
    };
    let before = fetched();
    let mut worst: f64 = 0.0;
    for i in 0..LARGE_CHANGES {
        let parts = changed_parts(&fleet, i);
        let head = fleet.submit(&parts, "one weight").expect("it is accepted");
        worst = worst.max(slowest(&fleet, head.version, Instant::now()));
    }
    Large {
        bytes: (fetched() - before) / LARGE_CHANGES as f64,
        in_force_s: worst,
    }
}
