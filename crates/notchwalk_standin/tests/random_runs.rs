//! Randomised fault simulations with fixed seeds. `notchwalk-standin bench soak`
//! runs longer ones.

use notchwalk_standin::soak::{Mechanism, Simulation, SoakOptions};

const VIRTUAL_SECONDS: u64 = 60;

fn assert_no_violations(options: SoakOptions) {
    let report = Simulation::new(options).run();
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(report.admitted > 500, "{report:?}");
    assert!(report.completed * 3 > report.admitted, "{report:?}");
}

#[test]
fn run_without_faults_violates_no_invariant() {
    let mut options = SoakOptions::new(1, VIRTUAL_SECONDS);
    options.faults = false;
    assert_no_violations(options);
}

#[test]
fn runs_with_faults_violate_no_invariant() {
    for seed in 1..=6 {
        assert_no_violations(SoakOptions::new(seed, VIRTUAL_SECONDS));
    }
}

#[test]
fn run_of_six_nodes_with_faults_violates_no_invariant() {
    let mut options = SoakOptions::new(100, VIRTUAL_SECONDS);
    options.nodes = 6;
    options.engines = 10;
    assert_no_violations(options);
}

#[test]
fn equal_seeds_give_identical_runs() {
    let run = || Simulation::new(SoakOptions::new(9, 20)).run();
    assert_eq!(run(), run());
}

#[test]
fn disabled_mechanism_causes_violations() {
    for mechanism in [Mechanism::Cancels, Mechanism::Claims] {
        let mut options = SoakOptions::new(1, VIRTUAL_SECONDS);
        options.disabled = Some(mechanism);
        let report = Simulation::new(options).run();
        assert!(!report.violations.is_empty(), "{mechanism:?}");
    }
}
