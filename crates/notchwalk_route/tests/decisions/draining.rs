//! Servers that drain, are removed or fail.

use std::time::Duration;

use notchwalk_route::{AttemptEnd, Effect, Event, ServerChange, ServerStage};

use crate::common::{record, TestRouter, PLAIN_SERVICE};

#[test]
fn draining_server_receives_no_new_requests() {
    let mut node = TestRouter::new();
    for number in 0..2 {
        let mut draining = record(PLAIN_SERVICE, number);
        draining.stage = ServerStage::Leaving;
        node.step(Event::Servers(ServerChange::Registered(draining)));
    }
    for _ in 0..20 {
        node.arrive("/once/", 0);
        assert_eq!(node.take_only_send().instance, "desk-2");
    }
}

#[test]
fn draining_lasts_until_the_end_of_the_incarnation() {
    let mut node = TestRouter::new();
    let mut draining = record(PLAIN_SERVICE, 0);
    draining.stage = ServerStage::Leaving;
    node.step(Event::Servers(ServerChange::Registered(draining)));
    node.step(Event::Servers(ServerChange::Registered(record(
        PLAIN_SERVICE,
        0,
    ))));
    for _ in 0..20 {
        node.arrive("/once/", 0);
        assert_ne!(node.take_only_send().instance, "desk-0");
    }
}

#[test]
fn removed_server_receives_no_requests() {
    let mut node = TestRouter::new();
    node.step(Event::Servers(ServerChange::Removed("desk-1".to_owned())));
    for _ in 0..20 {
        node.arrive("/once/", 0);
        assert_ne!(node.take_only_send().instance, "desk-1");
    }
}

#[test]
fn unreachable_server_is_ejected_and_later_used_again() {
    let mut node = TestRouter::new();
    let request = node.arrive("/again/", 0);
    let unreachable = node.take_only_send().instance;
    node.end_attempt(request, AttemptEnd::NotConnected);
    assert_ne!(node.take_only_send().instance, unreachable);
    for _ in 0..6 {
        node.arrive("/again/", 0);
        assert_ne!(node.take_only_send().instance, unreachable);
    }
    node.advance(Duration::from_secs(5));
    let mut chosen = Vec::new();
    for _ in 0..12 {
        node.arrive("/again/", 0);
        chosen.push(node.take_only_send().instance);
    }
    assert!(chosen.contains(&unreachable));
}

#[test]
fn request_without_available_server_is_refused_as_not_run() {
    let mut node = TestRouter::new();
    node.step(Event::Servers(ServerChange::All(Vec::new())));
    node.arrive("/once/", 0);
    assert!(node.take_sends().is_empty());
    assert!(node.refusals().iter().all(|reason| reason.has_not_run()));
    assert_eq!(node.refusals().len(), 1);
}

/// Ejecting engines with long queues on timeouts would move their load to engines that are
/// as busy.
#[test]
fn busy_server_that_responds_to_other_requests_is_not_ejected_on_timeouts() {
    let mut node = TestRouter::with_engines("entry-1", 2);
    let served = node.arrive("/short/", 3_000);
    let busy = node.take_only_send().instance;
    let mut waiting = Vec::new();
    while waiting.len() < 4 {
        let request = node.arrive("/short/", 3_000);
        if node.take_only_send().instance == busy {
            waiting.push(request);
        }
    }
    node.step(Event::Started { request: served });
    node.advance(Duration::from_millis(800));
    for request in waiting {
        node.end_attempt(request, AttemptEnd::IdleTimeout);
    }
    let is_ejection = |effect: &Effect| matches!(effect, Effect::Ejected { .. });
    assert!(!node.effects.iter().any(is_ejection));
}

#[test]
fn server_that_responds_to_no_request_is_ejected() {
    let mut node = TestRouter::with_engines("entry-1", 1);
    let requests: Vec<_> = (0..3).map(|_| node.arrive("/short/", 3_000)).collect();
    node.advance(Duration::from_millis(1_600));
    for request in requests {
        node.end_attempt(request, AttemptEnd::IdleTimeout);
    }
    let is_ejection = |effect: &Effect| matches!(effect, Effect::Ejected { .. });
    assert!(node.effects.iter().any(is_ejection));
}
