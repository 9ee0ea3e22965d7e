//! All findings are reported, signatures are verified, deltas reproduce the new text, and no
//! input makes the parser panic.

use notchwalk_bundle::{
    new_signing_key, Bundle, BundleError, Delta, Manifest, Part, PartName, SigningKey, PART_NAMES,
};
use proptest::prelude::*;

fn part(name: PartName, text: &str) -> Part {
    Part {
        name,
        text: text.to_owned(),
    }
}

fn public_key_hex(key: &SigningKey) -> String {
    let bytes = key.verifying_key().to_bytes();
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn parts(author: &SigningKey, reviewer: &SigningKey) -> Vec<Part> {
    let operators = format!(
        "[operator amna]\npublic_key = {}\nroles = author, reviewer\n\n\
         [operator said]\npublic_key = {}\nroles = reviewer\n",
        public_key_hex(author),
        public_key_hex(reviewer)
    );
    vec![
        part(PartName::Operators, &operators),
        part(PartName::Models, "[model m]\n"),
        part(PartName::Services, ""),
        part(PartName::Workspaces, "[workspace w]\nmodels = m\n"),
        part(PartName::Policy, ""),
    ]
}

#[test]
fn all_findings_are_reported_with_their_location() {
    let invalid_parts = vec![
        part(
            PartName::Operators,
            "[operator amna]\npublic_key = 12\nroles = boss\n",
        ),
        part(
            PartName::Models,
            "[model m]\ncontext_tokens = many\nspeed = 9\n",
        ),
        part(
            PartName::Services,
            "[service s]\ntimeout_ms = 0\n\n[thing x]\na = 1\n",
        ),
        part(
            PartName::Workspaces,
            "[workspace w]\nweight = -1\nmodels = other\nkey_hashes = zz\n",
        ),
        part(
            PartName::Policy,
            "[policy]\nkind = magic\nageing_ms = 5\nageing_ms = 6\n",
        ),
    ];
    let Err(BundleError::Faulty(findings)) = Bundle::parse(1, &invalid_parts) else {
        panic!("the bundle must be rejected");
    };
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn signatures_of_an_author_and_another_reviewer_are_required() {
    let (amna, said) = (new_signing_key(), new_signing_key());
    let parts = parts(&amna, &said);
    let bundle = Bundle::parse(1, &parts).expect("a valid bundle");
    let mut manifest = Manifest {
        version: 1,
        previous: String::new(),
        reason: "first".to_owned(),
        parts: parts.iter().map(|p| (p.name, p.digest())).collect(),
        signatures: Vec::new(),
    };
    assert!(
        manifest.verify(&bundle).is_err(),
        "accepted without signatures"
    );
    manifest.sign("amna", &amna);
    assert!(
        manifest.verify(&bundle).is_err(),
        "accepted with the signature of the author only"
    );
    manifest.sign("amna", &amna);
    assert!(
        manifest.verify(&bundle).is_err(),
        "accepted with two signatures of one operator"
    );
    let mut reviewer_only = manifest.clone();
    reviewer_only.signatures.clear();
    reviewer_only.sign("said", &said);
    assert!(
        reviewer_only.verify(&bundle).is_err(),
        "accepted with the signature of a reviewer only"
    );
    manifest.sign("said", &said);
    manifest.verify(&bundle).expect("valid signatures");
    let mut forged = manifest.clone();
    forged.reason = "another".to_owned();
    assert!(
        forged.verify(&bundle).is_err(),
        "accepted although changed after signing"
    );
    let mut wrong_key = manifest.clone();
    wrong_key.sign("said", &new_signing_key());
    assert!(
        wrong_key.verify(&bundle).is_err(),
        "accepted with a signature by another key"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_does_not_panic_the_parser(texts in prop::collection::vec(".{0,200}", 5)) {
        let named = PART_NAMES.into_iter().zip(&texts);
        let parts: Vec<_> = named.map(|(name, text)| part(name, text)).collect();
        let _ = Bundle::parse(1, &parts);
    }

    #[test]
    fn arbitrary_ini_does_not_panic_the_parser(
        text in "(\\[(model|service|workspace|operator) [a-z@:]{0,4}\\]\n|[a-z_]{1,12} ?= ?[-0-9a-z, ]{0,12}\n){0,12}"
    ) {
        let parts: Vec<_> = PART_NAMES.into_iter().map(|name| part(name, &text)).collect();
        let _ = Bundle::parse(1, &parts);
    }

    #[test]
    fn delta_transforms_the_old_text_into_the_new(
        old in "([a-c]{0,2}\n){0,12}[a-c]{0,2}",
        new in "([a-c]{0,2}\n){0,12}[a-c]{0,2}",
    ) {
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), Some(new));
    }

    #[test]
    fn delta_applied_to_another_text_does_not_panic(
        texts in prop::collection::vec("([a-c]{0,2}\n){0,8}", 3),
    ) {
        let _ = Delta::between(&texts[0], &texts[1]).apply(&texts[2]);
    }
}
