//! Long randomised runs in virtual time.

use std::time::{Duration, Instant};

use super::{rounded, BenchOptions, Figures};
use crate::soak::{Mechanism, SoakOptions, World};

/// Virtual seconds of one run.
const RUN_SECONDS: u64 = 120;

/// Runs worlds with rising seeds until the time is over.
pub fn run(options: &BenchOptions) -> Figures {
    let began = Instant::now();
    let over = Duration::from_secs(options.seconds);
    let (mut runs, mut steps, mut admitted, mut completed, mut faults) = (0, 0, 0, 0, 0);
    let mut violations = Vec::new();
    while began.elapsed() < over {
        let seed = options.seed + runs;
        let report = World::new(SoakOptions::new(seed, RUN_SECONDS)).run();
        runs += 1;
        steps += report.steps;
        admitted += report.admitted;
        completed += report.completed;
        faults += report.faults;
        let named = report.violations.into_iter();
        violations.extend(named.map(|what| format!("seed {seed}: {what}")));
    }
    for what in violations.iter().take(20) {
        eprintln!("{what}");
    }
    let per_s = steps as f64 / began.elapsed().as_secs_f64();
    let mut figures = Figures::new();
    figures.insert("steps".to_owned(), steps.into());
    figures.insert("violations".to_owned(), violations.len().into());
    figures.insert("runs".to_owned(), runs.into());
    figures.insert("virtual_seconds".to_owned(), (runs * RUN_SECONDS).into());
    figures.insert("admitted".to_owned(), admitted.into());
    figures.insert("completed".to_owned(), completed.into());
    figures.insert("faults".to_owned(), faults.into());
    for (key, mechanism) in [
        ("violations_without_cancels", Mechanism::Cancels),
        ("violations_without_claims", Mechanism::Claims),
    ] {
        let mut without = SoakOptions::new(options.seed, RUN_SECONDS);
        without.without = Some(mechanism);
        let found = World::new(without).run().violations.len();
        figures.insert(key.to_owned(), found.into());
    }
    figures.insert("steps_per_s".to_owned(), rounded(per_s, 0));
    figures
}
