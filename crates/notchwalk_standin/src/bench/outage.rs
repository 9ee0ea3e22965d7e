//! The whole platform is down for a minute under load.

use std::time::Duration;

use super::{policy, BenchOptions, Figures};
use crate::{
    fleet::{Fleet, FleetConfig},
    platform::PlatformFault,
    report,
};

/// How long the platform is down.
const DOWN: Duration = Duration::from_secs(60);
/// Load before and after.
const AROUND: Duration = Duration::from_secs(4);
/// The timeout of all calls.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the bench.
pub fn run(options: &BenchOptions) -> Figures {
    let config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, 12, 0)
        .with_time_scale(policy::TIME_SCALE)
        .with_entry_program(policy::this_program());
    let fleet = Fleet::start(config);
    let all: Vec<usize> = (0..10).collect();
    let stream = policy::stream(40.0, (1_000, 20_000), (20, 80));
    let planned = stream.plan(options.seed, DOWN + AROUND * 2, &all, fleet.config.entries);
    let sending = fleet.start_sending(policy::with_timeout(planned, TIMEOUT));
    std::thread::sleep(AROUND);
    let down = PlatformFault {
        down: true,
        ..PlatformFault::default()
    };
    fleet.set_platform_fault(down);
    std::thread::sleep(DOWN);
    fleet.set_platform_fault(PlatformFault::default());
    let measured = sending.wait();
    let mut figures = Figures::new();
    figures.insert("requests".to_owned(), measured.len().into());
    figures.insert("not_whole".to_owned(), policy::not_whole(&measured).into());
    for (outcome, count) in report::outcomes(&measured) {
        log::info!("{outcome}: {count}");
    }
    figures
}
