//! Claims: a call with an idempotency key runs at most once.

use crate::common::{dispatches, failures, Rig};
use notchwalk_decide::{ClaimAnswer, ClaimRow, Effect, Event, FailureCode, RequestKey};
use notchwalk_wire::OutcomeWord;

/// A call that waits for its claim; returns its key and its claim's token.
fn claiming() -> (Rig, RequestKey, String) {
    let mut rig = Rig::new(1);
    rig.call(Some("k"));
    let found = rig.take().into_iter().find_map(|e| match e {
        Effect::ClaimInsert { request, token, .. } => Some((request, token)),
        _ => None,
    });
    let (request, token) = found.expect("a claim is written first");
    (rig, request, token)
}

fn row(token: &str, done: bool, fingerprint: &str) -> ClaimAnswer {
    ClaimAnswer::Row(ClaimRow {
        token: token.to_owned(),
        done,
        fingerprint: fingerprint.to_owned(),
    })
}

#[test]
fn the_call_is_sent_only_under_its_own_claim() {
    let (mut rig, request, token) = claiming();
    assert!(dispatches(&rig.take()).is_empty());
    let answer = row(&token, false, "f");
    rig.feed(Event::Claim { request, answer });
    assert_eq!(dispatches(&rig.take()).len(), 1);
}

#[test]
fn a_lost_answer_is_found_out_by_reading_back() {
    let (mut rig, request, token) = claiming();
    let answer = ClaimAnswer::NoAnswer;
    rig.feed(Event::Claim { request, answer });
    rig.pass(500, 1);
    let reads = rig.take();
    assert!(
        reads.iter().any(|e| matches!(e, Effect::ClaimRead { .. })),
        "{reads:?}"
    );
    let answer = row(&token, false, "f");
    rig.feed(Event::Claim { request, answer });
    assert_eq!(dispatches(&rig.take()).len(), 1);
}

#[test]
fn a_silent_store_means_not_run_and_the_claim_is_released() {
    let (mut rig, _, _) = claiming();
    rig.pass(4_500, 1);
    let effects = rig.take();
    assert!(dispatches(&effects).is_empty());
    let failure = failures(&effects)[0];
    assert_eq!(failure.code, FailureCode::StoreUnavailable);
    assert_eq!(failure.outcome, OutcomeWord::NotRun);
    rig.pass(2_000, 1);
    let released = |e: &Effect| matches!(e, Effect::ClaimRelease { .. });
    let all = [effects, rig.take()].concat();
    assert!(
        all.iter().any(released),
        "the write may still have taken effect"
    );
}

#[test]
fn a_second_try_finds_the_claim() {
    for (answer, expected) in [
        (row("2-9-1", false, "f"), Some(FailureCode::OutcomeUnknown)),
        (row("2-9-1", false, "other"), Some(FailureCode::KeyReused)),
        (row("2-9-1", true, "f"), None),
    ] {
        let (mut rig, request, _) = claiming();
        rig.feed(Event::Claim { request, answer });
        rig.pass(1_000, 1);
        let effects = rig.take();
        assert!(dispatches(&effects).is_empty(), "it must not run again");
        let stored = |e: &Effect| matches!(e, Effect::FinishStored { .. });
        match expected {
            Some(code) => assert_eq!(failures(&effects)[0].code, code),
            None => assert!(effects.iter().any(stored)),
        }
    }
}
