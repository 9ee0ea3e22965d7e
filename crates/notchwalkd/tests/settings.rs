//! Guards against invalid example settings, and against faults that go unreported.

use std::path::Path;

use notchwalkd::DaemonSettings;
use proptest::prelude::*;

#[test]
fn example_settings_are_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for deployment in ["falaj", "kotuku"] {
        for i in 1..=6 {
            let path = root.join(deployment).join(format!("entry-{i}.ini"));
            let settings = DaemonSettings::load(&path).expect("no findings");
            assert_eq!(settings.vm.0, i);
        }
    }
}

#[test]
fn all_faults_are_reported_with_their_place() {
    let text = "[daemon]\nvm = first\ncaller_address = 127.0.0.1\nentries_ttl_ms = 1\n\
                colour = red\n\n[peers]\nkeys = abc\n\n[limits]\nmax_connections = 0\n\n[extra]\n";
    let findings = DaemonSettings::parse("entry.ini", text).expect_err("faults");
    insta::assert_snapshot!(findings.to_string());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(14), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parser_does_not_panic_on_random_text(text in ".{0,300}") {
        let _ = DaemonSettings::parse("x", &text);
    }
}
