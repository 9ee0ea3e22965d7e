//! Whole answers over broken attempts, and what is told when there is none.

use crate::common::{admitted, dispatches, failures, other_id, the_dispatch, Rig, OLD_ATTEMPT};
use notchwalk_decide::{AttemptEnd, Effect, Event, FailureCode};
use notchwalk_wire::OutcomeWord;

fn skips(effects: &[Effect]) -> Vec<u32> {
    let found = effects.iter().filter_map(|e| match e {
        Effect::Deliver { skip, .. } => Some(*skip),
        _ => None,
    });
    found.collect()
}

#[test]
fn a_broken_stream_resumes_at_the_last_token() {
    let mut rig = Rig::new(2);
    rig.generate(100, 10, 60_000);
    let effects = rig.take();
    let (first, (_, id)) = (the_dispatch(&effects), admitted(&effects));
    assert_eq!(first.offset, 0);
    rig.frame(&first, id, 0, 5);
    rig.end(&first, AttemptEnd::Broken);
    rig.pass(200, 2);
    let second = the_dispatch(&rig.take());
    assert_eq!(second.offset, 5);
    assert!(second.attempt > first.attempt);
    assert_ne!(second.server, first.server, "the failed engine is avoided");
    // The engine repeats two tokens; they are passed over.
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
fn late_and_crossed_frames_are_dropped() {
    let mut rig = Rig::new(1);
    rig.generate(100, 10, 60_000);
    let effects = rig.take();
    let (dispatch, (request, id)) = (the_dispatch(&effects), admitted(&effects));
    rig.frame(&dispatch, other_id(), 0, 3);
    rig.feed(Event::Frame {
        request,
        id,
        attempt: OLD_ATTEMPT,
        offset: 0,
        count: 3,
    });
    assert!(skips(&rig.take()).is_empty());
    assert_eq!(rig.node.counters().frames_dropped, 2);
}

#[test]
fn a_gap_or_a_short_answer_breaks_the_attempt() {
    for gap in [true, false] {
        let mut rig = Rig::new(2);
        rig.generate(100, 10, 60_000);
        let effects = rig.take();
        let (dispatch, (_, id)) = (the_dispatch(&effects), admitted(&effects));
        rig.frame(&dispatch, id, 0, 4);
        match gap {
            true => rig.frame(&dispatch, id, 6, 2),
            false => rig.complete(&dispatch, 10),
        }
        rig.pass(200, 2);
        let effects = rig.take();
        let again = dispatches(&effects);
        assert_eq!(again.len(), 1, "{effects:?}");
        assert_eq!(again[0].offset, 4);
    }
}

#[test]
fn a_silent_engine_is_given_up() {
    let mut rig = Rig::new(2);
    rig.generate(100, 10, 60_000);
    let effects = rig.take();
    let (first, (_, id)) = (the_dispatch(&effects), admitted(&effects));
    rig.frame(&first, id, 0, 1);
    rig.pass(5_500, 2);
    let effects = rig.take();
    let cancelled = effects.iter().any(|e| matches!(e, Effect::Cancel { .. }));
    assert!(cancelled, "the silent engine's memory is freed");
    assert_eq!(the_dispatch(&effects).offset, 1);
}

#[test]
fn a_call_that_may_not_repeat_is_sent_once() {
    let mut rig = Rig::new(1);
    rig.call(None);
    let dispatch = the_dispatch(&rig.take());
    rig.end(&dispatch, AttemptEnd::Broken);
    rig.pass(3_000, 1);
    let effects = rig.take();
    assert!(dispatches(&effects).is_empty());
    let failure = failures(&effects)[0];
    assert_eq!(failure.code, FailureCode::CallFailed);
    assert_eq!(failure.outcome, OutcomeWord::Unknown);
}

#[test]
fn a_call_that_was_not_sent_is_tried_again() {
    let mut rig = Rig::new(1);
    rig.call(None);
    let dispatch = the_dispatch(&rig.take());
    rig.end(&dispatch, AttemptEnd::NotSent);
    rig.pass(500, 1);
    assert_eq!(dispatches(&rig.take()).len(), 1);
}

#[test]
fn the_deadline_ends_a_waiting_request_as_not_run() {
    let mut rig = Rig::new(0);
    rig.generate(100, 10, 300);
    assert!(failures(&rig.take()).is_empty());
    rig.pass(290, 0);
    assert!(failures(&rig.take()).is_empty());
    rig.pass(20, 0);
    let failure = failures(&rig.take())[0];
    assert_eq!(failure.code, FailureCode::TimedOut);
    assert_eq!(failure.outcome, OutcomeWord::NotRun);
}

#[test]
fn a_caller_that_goes_away_frees_the_engine() {
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
    // Nobody confirms, so the cancel comes again and again.
    rig.pass(3_000, 1);
    assert!(cancels(&rig.take()) >= 3);
    rig.feed(Event::CancelEnded {
        server: notchwalk_core::ServerId(0),
        id,
        confirmed: true,
    });
    rig.pass(20_000, 1);
    assert_eq!(cancels(&rig.take()), 0);
}

#[test]
fn a_request_that_can_never_be_in_time_is_refused_at_once() {
    let mut rig = Rig::new(1);
    rig.generate(90_000, 10, 500);
    let failure = failures(&rig.take())[0];
    assert_eq!(failure.code, FailureCode::DeadlineTooClose);
    assert_eq!(failure.outcome, OutcomeWord::NotRun);
    assert_eq!(failure.retry_after_ms, None, "coming back would not help");
}
