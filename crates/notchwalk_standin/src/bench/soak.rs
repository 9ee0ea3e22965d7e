//! Long randomised runs with faults in virtual time.

use std::time::{Duration, Instant};

use super::{rounded, BenchOptions, Metrics};
use crate::soak::{Mechanism, Simulation, SoakOptions};

/// Virtual duration of one run, in seconds.
const RUN_SECONDS: u64 = 120;

/// Runs simulations with consecutive seeds until the bench duration has elapsed.
pub fn run(options: &BenchOptions) -> Metrics {
    let started = Instant::now();
    let duration = Duration::from_secs(options.seconds);
    let (mut runs, mut steps, mut admitted, mut completed, mut faults) = (0, 0, 0, 0, 0);
    let mut violations = Vec::new();
    while started.elapsed() < duration {
        let seed = options.seed + runs;
        let report = Simulation::new(SoakOptions::new(seed, RUN_SECONDS)).run();
        runs += 1;
        steps += report.events;
        admitted += report.admitted;
        completed += report.completed;
        faults += report.faults;
        let run_violations = report.violations.into_iter();
        violations.extend(run_violations.map(|violation| format!("seed {seed}: {violation}")));
    }
    for violation in violations.iter().take(20) {
        eprintln!("{violation}");
    }
    let per_s = steps as f64 / started.elapsed().as_secs_f64();
    let mut metrics = Metrics::new();
    metrics.insert("steps".to_owned(), steps.into());
    metrics.insert("violations".to_owned(), violations.len().into());
    metrics.insert("runs".to_owned(), runs.into());
    metrics.insert("virtual_seconds".to_owned(), (runs * RUN_SECONDS).into());
    metrics.insert("admitted".to_owned(), admitted.into());
    metrics.insert("completed".to_owned(), completed.into());
    metrics.insert("faults".to_owned(), faults.into());
    for (key, mechanism) in [
        ("violations_without_cancels", Mechanism::Cancels),
        ("violations_without_claims", Mechanism::Claims),
    ] {
        let mut without = SoakOptions::new(options.seed, RUN_SECONDS);
        without.disabled = Some(mechanism);
        let violation_count = Simulation::new(without).run().violations.len();
        metrics.insert(key.to_owned(), violation_count.into());
    }
    metrics.insert("steps_per_s".to_owned(), rounded(per_s, 0));
    metrics
}
