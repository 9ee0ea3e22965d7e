//! Requests at a node that shuts down.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_route::{
    AttemptEnd, DrainSchedule, Effect, Event, ForwardedSend, Refusal, RequestKey,
};

use crate::common::{drain_schedule, TestRouter};

const TICK: Duration = Duration::from_millis(15);

fn start_draining(node: &mut TestRouter) -> DrainSchedule {
    let schedule = drain_schedule(node.now);
    node.step(Event::NodeDraining(schedule));
    schedule
}

/// Occupies the engines of a node with short requests, so that a long prompt has to wait.
fn busy_node(engines: u8) -> (TestRouter, Vec<RequestKey>) {
    let mut node = TestRouter::with_engines("entry-1", engines);
    let requests = (0..6 * engines).map(|_| {
        let request = node.arrive("/short/", 5_000);
        node.step(Event::Started { request });
        request
    });
    let requests = requests.collect();
    node.take_sends();
    (node, requests)
}

/// Takes the refusals since the last call: the request, the reason and the retry delay.
fn take_refusals(node: &mut TestRouter) -> Vec<(RequestKey, Refusal, Duration)> {
    let mut refusals = Vec::new();
    node.effects.retain(|effect| match effect {
        Effect::Refuse {
            request,
            reason,
            retry_after,
        } => {
            refusals.push((*request, *reason, retry_after.unwrap_or_default()));
            false
        }
        _ => true,
    });
    refusals
}

fn advance_to(node: &mut TestRouter, at: Instant) {
    while node.now < at {
        node.advance(TICK);
    }
}

/// Guards against queued requests that get no response when the process exits.
#[test]
fn queued_prompt_is_refused_once_it_cannot_end_before_the_exit() {
    let (mut node, _) = busy_node(1);
    let schedule = start_draining(&mut node);
    advance_to(
        &mut node,
        schedule.started_at.after(Duration::from_millis(500)),
    );
    let request = node.arrive("/long/", 154_000);
    assert!(node.take_sends().is_empty());
    assert!(
        take_refusals(&mut node).is_empty(),
        "refused while it can still be served"
    );
    advance_to(&mut node, schedule.unlisted_at);
    assert!(
        take_refusals(&mut node).is_empty(),
        "refused while it can still be served"
    );
    advance_to(&mut node, schedule.started_at.after(Duration::from_secs(4)));
    let refusals = take_refusals(&mut node);
    let retry_after = Duration::from_millis(50);
    assert_eq!(refusals, [(request, Refusal::Draining, retry_after)]);
}

/// Guards against refusals of queued requests that engines could still serve.
#[test]
fn queued_prompt_is_sent_if_an_engine_is_free_in_time() {
    let (mut node, requests) = busy_node(1);
    let schedule = start_draining(&mut node);
    node.arrive("/long/", 100_000);
    assert!(node.take_sends().is_empty());
    advance_to(&mut node, schedule.started_at.after(Duration::from_secs(1)));
    for request in requests {
        node.end_attempt(request, AttemptEnd::Delivered { is_success: true });
    }
    node.advance(TICK);
    assert_eq!(node.take_sends().len(), 1);
    assert!(take_refusals(&mut node).is_empty());
}

/// Guards against prompts that are taken although they would be cut off at the exit.
#[test]
fn prompt_that_takes_longer_than_the_shutdown_is_refused_at_once() {
    let mut node = TestRouter::with_engines("entry-1", 1);
    let schedule = start_draining(&mut node);
    advance_to(
        &mut node,
        schedule.started_at.after(Duration::from_millis(200)),
    );
    let request = node.arrive("/long/", 280_000);
    let refusals = take_refusals(&mut node);
    // Until then its caller could choose this node again.
    let until_unlisted = schedule.unlisted_at.since(node.now);
    assert_eq!(refusals, [(request, Refusal::Draining, until_unlisted)]);
}

/// Guards against short requests that are refused only because the node shuts down.
#[test]
fn short_requests_and_calls_are_sent_during_the_shutdown() {
    let mut node = TestRouter::new();
    let schedule = start_draining(&mut node);
    advance_to(&mut node, schedule.refuses_callers_from.before(TICK * 2));
    node.arrive("/short/", 5_000);
    node.arrive("/once/", 0);
    node.arrive("/long/", 154_000);
    assert_eq!(node.take_sends().len(), 3);
    assert!(take_refusals(&mut node).is_empty());
}

/// Guards against a request that waits for engine memory until the process exits.
#[test]
fn request_that_waits_for_memory_is_refused_and_its_memory_released() {
    let mut node = TestRouter::new();
    let schedule = start_draining(&mut node);
    let request = node.arrive("/long/", 600_000);
    let is_reserving = |effect: &Effect| matches!(effect, Effect::Reserve { .. });
    assert!(node.effects.iter().any(is_reserving), "{:?}", node.effects);
    advance_to(&mut node, schedule.responses_end_at);
    let refusals = take_refusals(&mut node);
    assert_eq!(refusals.len(), 1);
    assert_eq!((refusals[0].0, refusals[0].1), (request, Refusal::Draining));
    assert_eq!(node.router.reservations(), 0);
    let failed = Vec::new();
    node.step(Event::Reserved { request, failed });
    assert!(node.take_sends().is_empty());
}

/// Guards against a refusal as not run of a request that a server may have run.
#[test]
fn request_that_may_have_run_is_not_refused_as_not_run() {
    let mut node = TestRouter::new();
    let schedule = start_draining(&mut node);
    let request = node.arrive("/again/", 0);
    node.take_only_send();
    advance_to(&mut node, schedule.responses_end_at);
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    let refusals = take_refusals(&mut node);
    assert_eq!(refusals.len(), 1);
    assert!(!refusals[0].1.has_not_run());
}

/// Guards against streams that are given up before the exit although they go on elsewhere.
#[test]
fn started_stream_is_resumed_until_the_exit() {
    let mut node = TestRouter::new();
    let schedule = start_draining(&mut node);
    let request = node.arrive("/short/", 5_000);
    node.take_only_send();
    node.step(Event::Started { request });
    advance_to(&mut node, schedule.refuses_peers_from);
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    assert_eq!(node.take_sends().len(), 1);
}

/// Guards against queued requests of peers that get no response when the process exits.
#[test]
fn queued_prompt_of_a_peer_is_refused_before_the_exit() {
    let (mut node, _) = busy_node(1);
    node.forwarded = Some(ForwardedSend::FirstAttempt);
    let request = node.arrive("/long/", 154_000);
    let schedule = start_draining(&mut node);
    advance_to(&mut node, schedule.refuses_peers_from);
    let refusals = take_refusals(&mut node);
    assert_eq!(refusals.len(), 1);
    assert_eq!((refusals[0].0, refusals[0].1), (request, Refusal::Draining));
}

/// Guards against a peer that makes its caller wait until callers forget the stopping node.
#[test]
fn refused_request_of_a_peer_may_go_to_another_one_at_once() {
    let mut node = TestRouter::with_engines("entry-1", 1);
    start_draining(&mut node);
    node.forwarded = Some(ForwardedSend::FirstAttempt);
    let request = node.arrive("/long/", 280_000);
    let retry_after = Duration::from_millis(50);
    let expected = [(request, Refusal::Draining, retry_after)];
    assert_eq!(take_refusals(&mut node), expected);
}

/// Guards against requests that are left without a response whatever they wait for.
#[test]
fn no_request_waits_beyond_the_end_of_responses() {
    for engines in 1..5 {
        for tokens in [5_000, 45_000, 154_000, 400_000, 900_000] {
            let (mut node, _) = busy_node(engines);
            for _ in 0..20 {
                node.arrive("/long/", tokens);
                node.arrive("/short/", tokens.min(60_000));
                node.advance(TICK);
            }
            let schedule = start_draining(&mut node);
            advance_to(&mut node, schedule.responses_end_at);
            assert_eq!(node.router.queued_work().0, 0, "{engines} {tokens}");
            let not_run = take_refusals(&mut node);
            assert!(not_run.iter().all(|(_, reason, _)| reason.has_not_run()));
            let sent = usize::from(6 * engines) + node.take_sends().len();
            assert_eq!(node.router.open_requests(), sent, "{engines} {tokens}");
        }
    }
}
