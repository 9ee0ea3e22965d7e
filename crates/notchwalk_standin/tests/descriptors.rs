//! Checks that stopped fleets close their descriptors. The only test in this
//! file, because it counts the descriptors of the whole process.

use std::time::Duration;

use notchwalk_standin::{
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
    workload::{run_closed_loop, ClosedLoopCaller, TrafficClass},
};

const CALLERS: usize = 40;

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// Starts a fleet, overloads it, and stops it while requests are in flight.
fn run_fleet() {
    let config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)])
        .with_sizes(2, 2, 1)
        .with_time_scale(4.0);
    let fleet = Fleet::start(config);
    let traffic = TrafficClass {
        per_s: 0.0,
        min_prompt: 2_000,
        max_prompt: 20_000,
        min_completion: 4,
        max_completion: 8,
        timeout: Duration::from_secs(60),
    };
    let callers = (0..CALLERS).map(|i| ClosedLoopCaller {
        workspace: 0,
        node: i,
        traffic,
        stop: Vec::new(),
        seed: i as u64,
    });
    let model = fleet.config.bundle.model.clone();
    let duration = Duration::from_millis(700);
    run_closed_loop(
        &fleet.caller_addrs(),
        &fleet.keys(),
        &model,
        callers.collect(),
        duration,
    );
}

/// Guards against a socket leak: a stopped runtime does not drop tasks that wait
/// for a timer, nor the sockets they own.
#[test]
fn stopped_fleets_leave_no_descriptors_open() {
    run_fleet();
    let after_one = open_descriptors();
    run_fleet();
    run_fleet();
    let after_three = open_descriptors();
    assert!(
        after_three <= after_one + 4,
        "{after_one} descriptors after one fleet, {after_three} after three"
    );
}
