//! Ten times the load that the fleet carries.

use std::time::Duration;

use super::{policy, rounded, BenchOptions, Figures};
use crate::{
    caller::CallEnd,
    fleet::{Fleet, FleetConfig},
    report::Durations,
    workload::{Measured, Planned},
};

const PROMPT: (u64, u64) = (1_000, 4_000);
const ANSWER: (u32, u32) = (8, 32);
/// What a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// The load before and after.
const NORMAL: f64 = 0.7;
/// The load taken for the peak.
const PEAK: f64 = 1.1;
/// The overload.
const TIMES: f64 = 10.0;

/// Runs the bench.
pub fn run(options: &BenchOptions) -> Figures {
    let mut figures = Figures::new();
    let measured = policy::measured_policies(options).into_iter();
    for name in measured.filter(|name| *name != "least_loaded") {
        let fleet = fleet(name);
        let seconds = Duration::from_secs(options.seconds);
        let peak = goodput(&send(&fleet, options.seed, PEAK, seconds), seconds);
        let over = send(&fleet, options.seed + 1, TIMES, seconds);
        let after = send(&fleet, options.seed + 2, NORMAL, Duration::from_secs(4));
        let prefix = if name == "fair" { "" } else { "fifo_" };
        let ratio = goodput(&over, seconds) / peak;
        figures.insert(format!("{prefix}goodput_ratio"), rounded(ratio, 3));
        figures.insert(format!("{prefix}peak_per_s"), rounded(peak, 1));
        figures.insert(format!("{prefix}p95_after_ms"), rounded(p95_ms(&after), 0));
        figures.insert(
            format!("{prefix}not_whole_after"),
            policy::not_whole(&after).into(),
        );
        figures.insert(format!("{prefix}refused"), refused(&over).into());
    }
    figures.insert("rss_mb".to_owned(), rounded(super::rss_mb(), 1));
    figures
}

fn fleet(policy: &str) -> Fleet {
    let config = FleetConfig::new(policy::workspaces())
        .with_sizes(6, 4, 0)
        .with_time_scale(2.0)
        .with_policy(&format!("kind = {policy}\n"));
    Fleet::start(config)
}

fn send(fleet: &Fleet, seed: u64, load: f64, over: Duration) -> Vec<Measured> {
    let per_s = policy::capacity_per_s(fleet) * load / policy::mean_prompt(PROMPT);
    let mut stream = policy::stream(per_s, PROMPT, ANSWER);
    stream.timeout = TIMEOUT;
    let all: Vec<usize> = (0..10).collect();
    let planned: Vec<Planned> = stream.plan(seed, over, &all, fleet.config.entries);
    fleet.send(planned)
}

/// Whole answers a second, in time.
fn goodput(measured: &[Measured], over: Duration) -> f64 {
    let good = measured.iter().filter(|m| m.result.end == CallEnd::Whole);
    good.count() as f64 / over.as_secs_f64()
}

fn p95_ms(measured: &[Measured]) -> f64 {
    let mut times = Durations::default();
    for m in measured {
        times.add(m.result.first_token.unwrap_or(m.result.total));
    }
    times.quantile_ms(0.95)
}

/// Requests that were told at once to come back later.
fn refused(measured: &[Measured]) -> usize {
    let told = |m: &&Measured| {
        let at_once = m.result.total < Duration::from_millis(500);
        at_once && matches!(m.result.end, CallEnd::Failed { status: 429, .. })
    };
    measured.iter().filter(told).count()
}
