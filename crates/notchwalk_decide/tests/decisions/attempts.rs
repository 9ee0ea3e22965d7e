//! Answers assembled from failed attempts, and the failures reported without
//! one.

use crate::common::{
    admitted, dispatches, failures, other_id, single_dispatch, Rig, STALE_ATTEMPT,
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
    let mut rig = Rig::new(2);
    rig.generate(100, 10, 60_000);
    let effects = rig.take();
    let (first, (_, id)) = (single_dispatch(&effects), admitted(&effects));
    assert_eq!(first.offset, 0);
    rig.frame(&first, id, 0, 5);
    rig.end(&first, AttemptEnd::Broken);
    rig.advance(200, 2);
    let second = single_dispatch(&rig.take());
    assert_eq!(second.offset, 5);
    assert!(second.attempt > first.attempt);
    assert_ne!(second.server, first.server, "the failed engine is avoided");
    // The engine repeats two tokens, which are skipped.
    rig.frame(&second, id, 3, 4);
    rig.frame(&second, id, 7, 3);
    assert_eq!(skips(&rig.take()), [2, 0]);
    rig.complete(&second, 10);
    assert!(matches!(
        rig.take()[..],
        [Effect::Finish { result: Ok(_), .. }, ..]
    ));
}

#[test]
fn frames_of_other_requests_and_attempts_are_dropped() {
    let mut rig = Rig::new(1);
    rig.generate(100, 10, 60_000);
    let effects = rig.take();
    let (dispatch, (request, id)) = (single_dispatch(&effects), admitted(&effects));
    rig.frame(&dispatch, other_id(), 0, 3);
    rig.feed(Event::Frame {
        request,
        id,
        attempt: STALE_ATTEMPT,
        offset: 0,
        count: 3,
    });
    assert!(skips(&rig.take()).is_empty());
    assert_eq!(rig.node.counters().frames_dropped, 2);
}

#[test]
fn gap_or_short_answer_fails_the_attempt() {
    for gap in [true, false] {
        let mut rig = Rig::new(2);
        rig.generate(100, 10, 60_000);
        let effects = rig.take();
        let (dispatch, (_, id)) = (single_dispatch(&effects), admitted(&effects));
        rig.frame(&dispatch, id, 0, 4);
        match gap {
            true => rig.frame(&dispatch, id, 6, 2),
            false => rig.complete(&dispatch, 10),
        }
        rig.advance(200, 2);
        let effects = rig.take();
        let again = dispatches(&effects);
        assert_eq!(again.len(), 1, "{effects:?}");
        assert_eq!(again[0].offset, 4);
    }
}

#[test]
fn stalled_attempt_is_cancelled_and_retried() {
    let mut rig = Rig::new(2);
    rig.generate(100, 10, 60_000);
    let effects = rig.take();
    let (first, (_, id)) = (single_dispatch(&effects), admitted(&effects));
    rig.frame(&first, id, 0, 1);
    rig.advance(5_500, 2);
    let effects = rig.take();
    let cancelled = effects.iter().any(|e| matches!(e, Effect::Cancel { .. }));
    assert!(cancelled, "the stalled attempt is cancelled on its engine");
    assert_eq!(single_dispatch(&effects).offset, 1);
}

#[test]
fn non_repeatable_call_is_sent_once() {
    let mut rig = Rig::new(1);
    rig.call(None);
    let dispatch = single_dispatch(&rig.take());
    rig.end(&dispatch, AttemptEnd::Broken);
    rig.advance(3_000, 1);
    let effects = rig.take();
    assert!(dispatches(&effects).is_empty());
    let failure = failures(&effects)[0];
    assert_eq!(failure.code, FailureCode::CallFailed);
    assert_eq!(failure.outcome, ExecutionOutcome::Unknown);
}

#[test]
fn unsent_call_is_retried() {
    let mut rig = Rig::new(1);
    rig.call(None);
    let dispatch = single_dispatch(&rig.take());
    rig.end(&dispatch, AttemptEnd::NotSent);
    rig.advance(500, 1);
    assert_eq!(dispatches(&rig.take()).len(), 1);
}

#[test]
fn queued_request_past_its_deadline_fails_as_not_run() {
    let mut rig = Rig::new(0);
    rig.generate(100, 10, 300);
    assert!(failures(&rig.take()).is_empty());
    rig.advance(290, 0);
    assert!(failures(&rig.take()).is_empty());
    rig.advance(20, 0);
    let failure = failures(&rig.take())[0];
    assert_eq!(failure.code, FailureCode::TimedOut);
    assert_eq!(failure.outcome, ExecutionOutcome::NotRun);
}

#[test]
fn disconnected_caller_cancels_engine_work_until_confirmed() {
    let mut rig = Rig::new(1);
    rig.generate(100, 10, 60_000);
    let (request, id) = admitted(&rig.take());
    rig.feed(Event::CallerGone(request));
    let cancels = |effects: &[Effect]| {
        let of_id =
            |e: &&Effect| matches!(e, Effect::Cancel { id: cancelled, .. } if *cancelled == id);
        effects.iter().filter(of_id).count()
    };
    assert_eq!(cancels(&rig.take()), 1);
    // Unconfirmed cancels are repeated.
    rig.advance(3_000, 1);
    assert!(cancels(&rig.take()) >= 3);
    rig.feed(Event::CancelEnded {
        server: notchwalk_core::ServerId(0),
        id,
        confirmed: true,
    });
    rig.advance(20_000, 1);
    assert_eq!(cancels(&rig.take()), 0);
}

#[test]
fn unreachable_deadline_is_refused_on_arrival() {
    let mut rig = Rig::new(1);
    rig.generate(90_000, 10, 500);
    let failure = failures(&rig.take())[0];
    assert_eq!(failure.code, FailureCode::DeadlineTooClose);
    assert_eq!(failure.outcome, ExecutionOutcome::NotRun);
    assert_eq!(
        failure.retry_after_ms, None,
        "a later attempt would fail as well"
    );
}
