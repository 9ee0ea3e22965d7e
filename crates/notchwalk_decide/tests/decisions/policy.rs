//! Ordering, bundle versions, draining and replay.

use std::sync::Arc;

use crate::common::{dispatches, failures, parts, TestNode};
use notchwalk_bundle::Bundle;
use notchwalk_decide::{Effect, Event, FailureCode};

/// Requests sent first, so that later ones are queued.
const INITIAL_REQUESTS: u64 = 8;

/// Builds a node whose only engine has as many requests as the node may send.
fn saturated_node() -> (TestNode, Vec<notchwalk_decide::Dispatch>) {
    let mut node = TestNode::new(1);
    for _ in 0..INITIAL_REQUESTS {
        node.generate_for(1, 5, 100);
    }
    let running = dispatches(&node.take_effects());
    assert!(
        running.len() < INITIAL_REQUESTS as usize,
        "some requests must be queued"
    );
    (node, running)
}

/// Ends running requests one at a time. Returns the sequence numbers of the
/// next `n` dispatches, without the initial requests.
fn serve_all(
    node: &mut TestNode,
    mut running: Vec<notchwalk_decide::Dispatch>,
    n: usize,
) -> Vec<u64> {
    let mut order = Vec::new();
    while order.len() < n {
        if !running.is_empty() {
            let dispatch = running.remove(0);
            node.feed(Event::CallerDisconnected(dispatch.request));
        }
        node.advance(10, 1);
        node.report_idle(1);
        let next = dispatches(&node.take_effects());
        for dispatch in &next {
            let id = node
                .inner
                .request_id(dispatch.request)
                .expect("the request is open");
            if id.seq > INITIAL_REQUESTS {
                order.push(id.seq);
            }
        }
        running.extend(next);
    }
    order
}

#[test]
fn higher_priority_is_served_first_without_starving_lower() {
    let (mut node, running) = saturated_node();
    node.generate_for(0, 1, 100);
    for _ in 0..30 {
        node.generate_for(1, 9, 100);
    }
    node.take_effects();
    let order = serve_all(&mut node, running, 31);
    assert_eq!(order.len(), 31);
    let low_position = order
        .iter()
        .position(|seq| *seq == 9)
        .expect("the low priority must be served");
    assert!(low_position > 0, "the high priority must be served first");
    assert!(
        low_position <= 8,
        "the low priority must be served by position 8, got {low_position}"
    );
}

#[test]
fn service_is_proportional_to_weight() {
    let (mut node, running) = saturated_node();
    for _ in 0..40 {
        node.generate_for(0, 5, 100);
        node.generate_for(1, 5, 100);
    }
    node.take_effects();
    let order = serve_all(&mut node, running, 40);
    // From 9 on, workspace a has the odd sequence numbers and b the even ones.
    let served_of_b = order.iter().filter(|seq| **seq % 2 == 0).count();
    assert!(
        (28..=34).contains(&served_of_b),
        "b must be served by its weight of 3 in 4, got {served_of_b} of 40"
    );
}

#[test]
fn older_bundle_is_rejected() {
    let mut node = TestNode::new(1);
    let bundle = |version| Arc::new(Bundle::parse(version, &parts("")).expect("valid"));
    node.feed(Event::Bundle(bundle(5)));
    assert_eq!(node.inner.bundle_version(), 5);
    node.feed(Event::Bundle(bundle(4)));
    node.feed(Event::Bundle(bundle(5)));
    assert_eq!(node.inner.bundle_version(), 5);
}

#[test]
fn draining_server_receives_no_new_requests() {
    let mut node = TestNode::new(2);
    node.apply_vm_list(2, &[0]);
    for _ in 0..6 {
        node.generate_for(0, 5, 100);
    }
    let sent = dispatches(&node.take_effects());
    assert!(!sent.is_empty());
    assert!(sent.iter().all(|d| d.server.0 == 1), "{sent:?}");
}

#[test]
fn draining_node_refuses_after_list_ttl_and_stops_only_when_idle() {
    let mut node = TestNode::new(1);
    node.generate(100, 1, 60_000);
    let effects = node.take_effects();
    let dispatch = crate::common::single_dispatch(&effects);
    let (_, id) = crate::common::admitted(&effects);
    node.feed(Event::Drain);
    node.generate(100, 1, 60_000);
    assert_eq!(
        dispatches(&node.take_effects()).len(),
        1,
        "requests must be served while callers may have the address cached"
    );
    node.advance(5_100, 1);
    node.generate(100, 1, 60_000);
    let refused = failures(&node.take_effects())[0];
    assert_eq!(refused.code, FailureCode::Draining);
    assert!(
        refused.retry_after_ms <= Some(250),
        "other nodes accept it immediately"
    );
    node.frame(&dispatch, id, 0, 1);
    node.complete(&dispatch, 1);
    node.advance(100, 1);
    let stopped = |effects: &[Effect]| effects.contains(&Effect::Stop);
    assert!(
        !stopped(&node.take_effects()),
        "the node must not stop while a request is open"
    );
    assert_eq!(node.inner.open_requests(), 1);
}

#[test]
fn same_events_give_same_effects() {
    let run = || {
        let mut node = TestNode::new(3);
        for i in 0..200 {
            node.generate_for(i % 2, (i % 9) as u8, 50 + u64::from(i) * 17);
            node.advance(20, 3);
        }
        node.take_effects()
    };
    let (first, second) = (run(), run());
    assert!(first.len() > 200);
    assert_eq!(first, second);
}
