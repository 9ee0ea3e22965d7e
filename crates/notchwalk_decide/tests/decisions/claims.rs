//! Claims: a call with an idempotency key runs at most once.

use crate::common::{dispatches, failures, TestNode};
use notchwalk_decide::{ClaimResponse, ClaimRow, Effect, Event, FailureCode, RequestKey};
use notchwalk_wire::ExecutionOutcome;

/// Returns a node with a call that waits for its claim, the request's key and
/// the claim's token.
fn claiming_call() -> (TestNode, RequestKey, String) {
    let mut node = TestNode::new(1);
    node.call(Some("k"));
    let found = node.take_effects().into_iter().find_map(|e| match e {
        Effect::ClaimInsert { request, token, .. } => Some((request, token)),
        _ => None,
    });
    let (request, token) = found.expect("a claim is written before the call is sent");
    (node, request, token)
}

fn row(token: &str, done: bool, fingerprint: &str) -> ClaimResponse {
    ClaimResponse::Row(ClaimRow {
        token: token.to_owned(),
        done,
        fingerprint: fingerprint.to_owned(),
    })
}

#[test]
fn call_is_sent_only_after_its_claim_is_owned() {
    let (mut node, request, token) = claiming_call();
    assert!(dispatches(&node.take_effects()).is_empty());
    let response = row(&token, false, "f");
    node.feed(Event::Claim { request, response });
    assert_eq!(dispatches(&node.take_effects()).len(), 1);
}

#[test]
fn unanswered_claim_write_is_read_back() {
    let (mut node, request, token) = claiming_call();
    let response = ClaimResponse::Unanswered;
    node.feed(Event::Claim { request, response });
    node.advance(500, 1);
    let reads = node.take_effects();
    assert!(
        reads.iter().any(|e| matches!(e, Effect::ClaimRead { .. })),
        "{reads:?}"
    );
    let response = row(&token, false, "f");
    node.feed(Event::Claim { request, response });
    assert_eq!(dispatches(&node.take_effects()).len(), 1);
}

#[test]
fn unavailable_store_fails_call_as_not_run_and_releases_claim() {
    let (mut node, _, _) = claiming_call();
    node.advance(4_500, 1);
    let effects = node.take_effects();
    assert!(dispatches(&effects).is_empty());
    let failure = failures(&effects)[0];
    assert_eq!(failure.code, FailureCode::StoreUnavailable);
    assert_eq!(failure.outcome, ExecutionOutcome::NotRun);
    node.advance(2_000, 1);
    let released = |e: &Effect| matches!(e, Effect::ClaimRelease { .. });
    let all = [effects, node.take_effects()].concat();
    assert!(
        all.iter().any(released),
        "the claim must be released, since its write may have taken effect"
    );
}

#[test]
fn second_attempt_finds_existing_claim() {
    for (response, expected) in [
        (row("2-9-1", false, "f"), Some(FailureCode::OutcomeUnknown)),
        (
            row("2-9-1", false, "other"),
            Some(FailureCode::IdempotencyKeyReused),
        ),
        (row("2-9-1", true, "f"), None),
    ] {
        let (mut node, request, _) = claiming_call();
        node.feed(Event::Claim { request, response });
        node.advance(1_000, 1);
        let effects = node.take_effects();
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
