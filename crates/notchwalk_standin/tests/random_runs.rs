//! Randomised runs of several reducers against fakes, with faults. Fixed
//! seeds; longer ones run with `notchwalk-standin bench soak`.

use notchwalk_standin::soak::{Mechanism, SoakOptions, World};

const SECONDS: u64 = 60;

fn assert_keeps_its_promises(options: SoakOptions) {
    let report = World::new(options).run();
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(report.admitted > 500, "{report:?}");
    assert!(report.completed * 3 > report.admitted, "{report:?}");
}

#[test]
fn without_faults_everything_holds() {
    let mut options = SoakOptions::new(1, SECONDS);
    options.faults = false;
    assert_keeps_its_promises(options);
}

#[test]
fn under_faults_everything_holds() {
    for seed in 1..=6 {
        assert_keeps_its_promises(SoakOptions::new(seed, SECONDS));
    }
}

#[test]
fn six_nodes_under_faults_hold_too() {
    let mut options = SoakOptions::new(100, SECONDS);
    options.nodes = 6;
    options.engines = 10;
    assert_keeps_its_promises(options);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || World::new(SoakOptions::new(9, 20)).run();
    assert_eq!(run(), run());
}

#[test]
fn a_missing_mechanism_is_noticed() {
    for mechanism in [Mechanism::Cancels, Mechanism::Claims] {
        let mut options = SoakOptions::new(1, SECONDS);
        options.without = Some(mechanism);
        let report = World::new(options).run();
        assert!(!report.violations.is_empty(), "{mechanism:?}");
    }
}
