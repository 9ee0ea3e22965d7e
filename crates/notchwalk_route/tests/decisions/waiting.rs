//! Admission: which requests are sent immediately, queued or refused.

use std::time::Duration;

use notchwalk_route::{Assignment, AttemptEnd, PlacementReason, Refusal, RequestKey};

use crate::common::TestRouter;

/// Tick interval of the driver.
const TICK: Duration = Duration::from_millis(15);
/// Latency objective of the short route.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Caller timeout of the long route.
const LONG_CALLER_TIMEOUT: Duration = Duration::from_secs(12);

/// Advances the time in ticks and collects the sends.
fn collect_sends(node: &mut TestRouter, time: Duration) -> Vec<(RequestKey, Assignment)> {
    let end = node.now.after(time);
    let mut sends = node.take_sends();
    while node.now < end {
        node.advance(TICK);
        sends.extend(node.take_sends());
    }
    sends
}

/// Guards against late retries delaying first attempts when all callers retry together.
#[test]
fn late_retries_yield_to_first_attempts() {
    let mut node = TestRouter::with_engines("entry-1", 8);
    let mut first_attempts = Vec::new();
    for number in 0..120 {
        if number % 3 == 0 {
            first_attempts.push(node.arrive("/short/", 5_000));
        } else {
            node.arrive_retry("/short/", 5_000, Duration::from_millis(2_100));
        }
    }
    let sends = node.take_sends();
    let first_sends = sends.iter().filter(|(key, _)| first_attempts.contains(key));
    let in_time = first_sends.filter(|(_, to)| to.predicted_first_event <= OBJECTIVE);
    assert_eq!(in_time.count(), first_attempts.len());
}

#[test]
fn late_retries_are_served_before_caller_timeout() {
    let mut node = TestRouter::with_engines("entry-1", 4);
    node.arrive("/short/", 5_000);
    for _ in 0..60 {
        node.arrive_retry("/short/", 5_000, Duration::from_millis(2_100));
    }
    let sends = collect_sends(&mut node, Duration::from_secs(2));
    assert_eq!(sends.len(), 61);
}

#[test]
fn few_long_caller_timeouts_do_not_mark_other_requests_late() {
    let mut node = TestRouter::with_engines("entry-1", 18);
    for number in 0..40 {
        let since_first_attempt = if number % 20 == 0 {
            Duration::ZERO
        } else {
            Duration::from_secs(5)
        };
        node.arrive_retry("/short/", 5_000, since_first_attempt);
    }
    node.take_sends();
    let usual = node.arrive_retry("/short/", 5_000, Duration::from_secs(5));
    let sent = node.take_sends();
    assert!(sent.iter().any(|(key, _)| *key == usual), "{sent:?}");
    assert_eq!(sent[0].1.since_first_attempt, Duration::ZERO);
}

/// A late prompt isn't split, so that it yields to segments of other prompts.
#[test]
fn late_long_prompt_uses_one_engine() {
    let mut node = TestRouter::with_engines("entry-1", 6);
    node.arrive("/long/", 1_000);
    node.take_sends();
    node.arrive_retry("/long/", 180_000, Duration::from_secs(4));
    let late = node.take_only_send();
    assert_eq!(late.reason, PlacementReason::Late);
    assert!(late.prefill_workers.is_empty(), "{late:?}");
    node.arrive("/long/", 150_000);
    let in_time = node.take_only_send();
    assert!(in_time.predicted_first_event <= Duration::from_secs(3));
}

/// Two engines can't prefill all six prompts before the callers time out.
#[test]
fn long_prompt_that_cannot_meet_caller_timeout_is_refused() {
    let mut node = TestRouter::with_engines("entry-1", 2);
    let arrived_at = node.now;
    for _ in 0..6 {
        node.arrive("/long/", 200_000);
    }
    let mut sends = node.take_sends();
    while node.now < arrived_at.after(LONG_CALLER_TIMEOUT / 2) {
        node.advance(TICK);
        for (key, to) in node.take_sends() {
            let first_at = node.now.after(to.predicted_first_event);
            assert!(first_at <= arrived_at.after(LONG_CALLER_TIMEOUT), "{to:?}");
            sends.push((key, to));
        }
    }
    let refused = node.refusals();
    assert!(refused.iter().all(|&reason| reason == Refusal::Overloaded));
    assert_eq!(
        (sends.len() + refused.len(), node.router.queued_work().0),
        (6, 0)
    );
}

/// Guards against refusing the longest prompts on an idle fleet because too few engines are
/// considered idle.
#[test]
fn oversized_prompt_of_retrying_caller_is_served_on_idle_fleet() {
    let mut node = TestRouter::with_engines("entry-1", 18);
    node.arrive("/long/", 1_000);
    node.take_sends();
    node.arrive_retry("/long/", 500_000, Duration::from_secs(4));
    assert_eq!(node.refusals(), []);
    let reserved = node.router.reservations();
    assert!(reserved >= 2, "{reserved}");
}

/// With more requests than slots, late requests wait for spare slots and are still served
/// before their callers time out.
#[test]
fn late_requests_leave_free_slots_to_requests_in_time() {
    let mut node = TestRouter::with_engines("entry-1", 1);
    for _ in 0..24 {
        node.arrive("/short/", 5_000);
    }
    let at_once = node.take_sends();
    assert!(at_once.len() <= 16, "{} sent at once", at_once.len());
    // One response ends, and a request arrives that can meet its objective.
    let (ended, _) = at_once[0];
    node.advance(Duration::from_millis(200));
    node.end_attempt(ended, AttemptEnd::Delivered { is_success: true });
    let next = node.arrive("/short/", 3_000);
    let sent = node.take_sends();
    assert!(sent.iter().any(|(key, _)| *key == next), "{sent:?}");
    let later = collect_sends(&mut node, Duration::from_secs(2));
    let queued = 24 - at_once.len();
    let others = sent.len() - 1 + later.len();
    assert_eq!(others, queued, "{:?}", node.refusals());
    assert!(node.refusals().is_empty());
}
