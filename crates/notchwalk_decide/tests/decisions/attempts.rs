//! Resumption and retries after failed attempts, and the failures reported to
//! callers.

use crate::common::{
    admitted, dispatches, failures, other_id, single_dispatch, TestNode, STALE_ATTEMPT,
};
use notchwalk_decide::{AttemptEnd, Effect, Event, FailureCode};
use notchwalk_wire::ExecutionOutcome;

fn skips(effects: &[Effect]) -> Vec<u32> {
    let found = effects.iter().filter_map(|e| match e {
        Effect::Deliver { skip, .. } => Some(*skip),
        _ => None,
    });
    found.collect()
}

#[test]
fn broken_stream_resumes_after_last_delivered_token() {
    let mut node = TestNode::new(2);
    node.generate(100, 10, 60_000);
    let effects = node.take_effects();
    let (first, (_, id)) = (single_dispatch(&effects), admitted(&effects));
    assert_eq!(first.offset, 0);
    node.frame(&first, id, 0, 5);
    node.end(&first, AttemptEnd::Broken);
    node.advance(200, 2);
    let second = single_dispatch(&node.take_effects());
    assert_eq!(second.offset, 5);
    assert!(second.attempt > first.attempt);
    assert_ne!(
        second.server, first.server,
        "the failed engine must be avoided"
    );
    // The engine repeats two tokens, which are skipped.
    node.frame(&second, id, 3, 4);
    node.frame(&second, id, 7, 3);
    assert_eq!(skips(&node.take_effects()), [2, 0]);
    node.complete(&second, 10);
    assert!(matches!(
        node.take_effects()[..],
        [Effect::Finish { result: Ok(_), .. }, ..]
    ));
}

#[test]
fn frames_of_other_requests_and_attempts_are_dropped() {
    let mut node = TestNode::new(1);
    node.generate(100, 10, 60_000);
    let effects = node.take_effects();
    let (dispatch, (request, id)) = (single_dispatch(&effects), admitted(&effects));
    node.frame(&dispatch, other_id(), 0, 3);
    node.feed(Event::Frame {
        request,
        id,
        attempt: STALE_ATTEMPT,
        offset: 0,
        count: 3,
    });
    assert!(skips(&node.take_effects()).is_empty());
    assert_eq!(node.inner.counters().frames_dropped, 2);
}

#[test]
fn gap_or_truncated_completion_fails_the_attempt() {
    for gap in [true, false] {
        let mut node = TestNode::new(2);
        node.generate(100, 10, 60_000);
        let effects = node.take_effects();
        let (dispatch, (_, id)) = (single_dispatch(&effects), admitted(&effects));
        node.frame(&dispatch, id, 0, 4);
        match gap {
            true => node.frame(&dispatch, id, 6, 2),
            false => node.complete(&dispatch, 10),
        }
        node.advance(200, 2);
        let effects = node.take_effects();
        let again = dispatches(&effects);
        assert_eq!(again.len(), 1, "{effects:?}");
        assert_eq!(again[0].offset, 4);
    }
}

#[test]
fn stalled_attempt_is_cancelled_and_retried() {
    let mut node = TestNode::new(2);
    node.generate(100, 10, 60_000);
    let effects = node.take_effects();
    let (first, (_, id)) = (single_dispatch(&effects), admitted(&effects));
    node.frame(&first, id, 0, 1);
    node.advance(5_500, 2);
    let effects = node.take_effects();
    let cancelled = effects.iter().any(|e| matches!(e, Effect::Cancel { .. }));
    assert!(
        cancelled,
        "the stalled attempt must be cancelled on its engine"
    );
    assert_eq!(single_dispatch(&effects).offset, 1);
}

#[test]
fn non_repeatable_call_is_sent_once() {
    let mut node = TestNode::new(1);
    node.call(None);
    let dispatch = single_dispatch(&node.take_effects());
    node.end(&dispatch, AttemptEnd::Broken);
    node.advance(3_000, 1);
    let effects = node.take_effects();
    assert!(dispatches(&effects).is_empty());
    let failure = failures(&effects)[0];
    assert_eq!(failure.code, FailureCode::CallFailed);
    assert_eq!(failure.outcome, ExecutionOutcome::Unknown);
}

#[test]
fn unsent_call_is_retried() {
    let mut node = TestNode::new(1);
    node.call(None);
    let dispatch = single_dispatch(&node.take_effects());
    node.end(&dispatch, AttemptEnd::NotSent);
    node.advance(500, 1);
    assert_eq!(dispatches(&node.take_effects()).len(), 1);
}

#[test]
fn queued_request_past_its_deadline_fails_as_not_run() {
    let mut node = TestNode::new(0);
    node.generate(100, 10, 300);
    assert!(failures(&node.take_effects()).is_empty());
    node.advance(290, 0);
    assert!(failures(&node.take_effects()).is_empty());
    node.advance(20, 0);
    let failure = failures(&node.take_effects())[0];
    assert_eq!(failure.code, FailureCode::TimedOut);
    assert_eq!(failure.outcome, ExecutionOutcome::NotRun);
}

#[test]
fn disconnected_caller_cancels_engine_work_until_confirmed() {
    let mut node = TestNode::new(1);
    node.generate(100, 10, 60_000);
    let (request, id) = admitted(&node.take_effects());
    node.feed(Event::CallerDisconnected(request));
    let cancels = |effects: &[Effect]| {
        let of_id =
            |e: &&Effect| matches!(e, Effect::Cancel { id: cancelled, .. } if *cancelled == id);
        effects.iter().filter(of_id).count()
    };
    assert_eq!(cancels(&node.take_effects()), 1);
    // Unconfirmed cancels are repeated.
    node.advance(3_000, 1);
    assert!(cancels(&node.take_effects()) >= 3);
    node.feed(Event::CancelEnded {
        server: notchwalk_core::ServerId(0),
        id,
        confirmed: true,
    });
    node.advance(20_000, 1);
    assert_eq!(cancels(&node.take_effects()), 0);
}

#[test]
fn unreachable_deadline_is_refused_on_arrival() {
    let mut node = TestNode::new(1);
    node.generate(90_000, 10, 500);
    let failure = failures(&node.take_effects())[0];
    assert_eq!(failure.code, FailureCode::DeadlineTooClose);
    assert_eq!(failure.outcome, ExecutionOutcome::NotRun);
    assert_eq!(
        failure.retry_after_ms, None,
        "no retry must be suggested, since it would fail as well"
    );
}
