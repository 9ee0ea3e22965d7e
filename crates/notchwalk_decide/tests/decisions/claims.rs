//! Claims: a call with an idempotency key runs at most once.

use crate::common::{dispatches, failures, Rig};
use notchwalk_decide::{ClaimAnswer, ClaimRow, Effect, Event, FailureCode, RequestKey};
use notchwalk_wire::ExecutionOutcome;

/// Returns a node with a call that waits for its claim, the request's key and
/// the claim's token.
fn claiming_call() -> (Rig, RequestKey, String) {
    let mut rig = Rig::new(1);
    rig.call(Some("k"));
    let found = rig.take().into_iter().find_map(|e| match e {
        Effect::ClaimInsert { request, token, .. } => Some((request, token)),
        _ => None,
    });
    let (request, token) = found.expect("a claim is written before the call is sent");
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
fn call_is_sent_only_after_its_claim_is_owned() {
    let (mut rig, request, token) = claiming_call();
    assert!(dispatches(&rig.take()).is_empty());
    let answer = row(&token, false, "f");
    rig.feed(Event::Claim { request, answer });
    assert_eq!(dispatches(&rig.take()).len(), 1);
}

#[test]
fn unanswered_claim_write_is_read_back() {
    let (mut rig, request, token) = claiming_call();
    let answer = ClaimAnswer::NoAnswer;
    rig.feed(Event::Claim { request, answer });
    rig.advance(500, 1);
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
fn unavailable_store_fails_call_as_not_run_and_releases_claim() {
    let (mut rig, _, _) = claiming_call();
    rig.advance(4_500, 1);
    let effects = rig.take();
    assert!(dispatches(&effects).is_empty());
    let failure = failures(&effects)[0];
    assert_eq!(failure.code, FailureCode::StoreUnavailable);
    assert_eq!(failure.outcome, ExecutionOutcome::NotRun);
    rig.advance(2_000, 1);
    let released = |e: &Effect| matches!(e, Effect::ClaimRelease { .. });
    let all = [effects, rig.take()].concat();
    assert!(
        all.iter().any(released),
        "the write may still have taken effect"
    );
}

#[test]
fn second_attempt_finds_existing_claim() {
    for (answer, expected) in [
        (row("2-9-1", false, "f"), Some(FailureCode::OutcomeUnknown)),
        (row("2-9-1", false, "other"), Some(FailureCode::KeyReused)),
        (row("2-9-1", true, "f"), None),
    ] {
        let (mut rig, request, _) = claiming_call();
        rig.feed(Event::Claim { request, answer });
        rig.advance(1_000, 1);
        let effects = rig.take();
        assert!(
            dispatches(&effects).is_empty(),
            "the call must not run again"
        );
        let stored = |e: &Effect| matches!(e, Effect::FinishStored { .. });
        match expected {
            Some(code) => assert_eq!(failures(&effects)[0].code, code),
            None => assert!(effects.iter().any(stored)),
        }
    }
}
