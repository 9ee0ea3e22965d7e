//! Measures requests during a one-minute outage of the whole platform.

use std::time::Duration;

use super::{policy, BenchOptions, Metrics};
use crate::{
    fleet::{Fleet, FleetConfig},
    platform::PlatformFault,
    report,
};

/// Duration of the outage.
const OUTAGE_DURATION: Duration = Duration::from_secs(60);
/// Duration of the load before and after the outage.
const LOAD_MARGIN: Duration = Duration::from_secs(4);
/// Timeout of all calls.
const TIMEOUT: Duration = Duration::from_secs(20);

pub fn run(options: &BenchOptions) -> Metrics {
    let config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, 12, 0)
        .with_time_scale(policy::TIME_SCALE)
        .with_node_program(policy::this_program());
    let fleet = Fleet::start(config);
    let workspaces: Vec<usize> = (0..10).collect();
    let traffic = policy::traffic(40.0, (1_000, 20_000), (20, 80));
    let planned = traffic.plan(
        options.seed,
        OUTAGE_DURATION + LOAD_MARGIN * 2,
        &workspaces,
        fleet.config.nodes,
    );
    let sending = fleet.start_send(policy::with_timeout(planned, TIMEOUT));
    std::thread::sleep(LOAD_MARGIN);
    let down = PlatformFault {
        down: true,
        ..PlatformFault::default()
    };
    fleet.set_platform_fault(down);
    std::thread::sleep(OUTAGE_DURATION);
    fleet.set_platform_fault(PlatformFault::default());
    let measured = sending.wait();
    let mut metrics = Metrics::new();
    metrics.insert("requests".to_owned(), measured.len().into());
    metrics.insert("not_whole".to_owned(), policy::incomplete(&measured).into());
    for (outcome, count) in report::outcomes(&measured) {
        log::info!("{outcome}: {count}");
    }
    metrics
}
