//! Ordering, bundle versions, draining and replay.

use std::sync::Arc;

use crate::common::{dispatches, failures, parts, Rig};
use notchwalk_bundle::Bundle;
use notchwalk_decide::{Effect, Event, FailureCode};

/// Requests sent first, so that later ones are queued.
const INITIAL_REQUESTS: u64 = 8;

/// Builds a node whose only engine has as many requests as the node may send.
fn saturated_rig() -> (Rig, Vec<notchwalk_decide::Dispatch>) {
    let mut rig = Rig::new(1);
    for _ in 0..INITIAL_REQUESTS {
        rig.generate_for(1, 5, 100);
    }
    let running = dispatches(&rig.take());
    assert!(
        running.len() < INITIAL_REQUESTS as usize,
        "some requests must be queued"
    );
    (rig, running)
}

/// Ends running requests one at a time. Returns the sequence numbers of the
/// next `n` dispatches, without the initial requests.
fn serve_all(rig: &mut Rig, mut running: Vec<notchwalk_decide::Dispatch>, n: usize) -> Vec<u64> {
    let mut order = Vec::new();
    while order.len() < n {
        if !running.is_empty() {
            let dispatch = running.remove(0);
            rig.feed(Event::CallerGone(dispatch.request));
        }
        rig.advance(10, 1);
        rig.report_idle(1);
        let next = dispatches(&rig.take());
        for dispatch in &next {
            let id = rig
                .node
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
fn higher_priority_goes_first_without_starving_lower() {
    let (mut rig, running) = saturated_rig();
    rig.generate_for(0, 1, 100);
    for _ in 0..30 {
        rig.generate_for(1, 9, 100);
    }
    rig.take();
    let order = serve_all(&mut rig, running, 31);
    assert_eq!(order.len(), 31);
    let low_position = order
        .iter()
        .position(|seq| *seq == 9)
        .expect("the low priority is served");
    assert!(low_position > 0, "the high priority goes first");
    assert!(
        low_position <= 8,
        "the low priority is served by the eighth pick, not {low_position}"
    );
}

#[test]
fn service_is_proportional_to_weight() {
    let (mut rig, running) = saturated_rig();
    for _ in 0..40 {
        rig.generate_for(0, 5, 100);
        rig.generate_for(1, 5, 100);
    }
    rig.take();
    let order = serve_all(&mut rig, running, 40);
    // From 9 on, workspace a has the odd sequence numbers and b the even ones.
    let served_of_b = order.iter().filter(|seq| **seq % 2 == 0).count();
    assert!(
        (28..=34).contains(&served_of_b),
        "b has weight 3 of 4, got {served_of_b} of 40"
    );
}

#[test]
fn older_bundle_is_refused() {
    let mut rig = Rig::new(1);
    let bundle = |version| Arc::new(Bundle::parse(version, &parts("")).expect("valid"));
    rig.feed(Event::Bundle(bundle(5)));
    assert_eq!(rig.node.bundle_version(), 5);
    rig.feed(Event::Bundle(bundle(4)));
    rig.feed(Event::Bundle(bundle(5)));
    assert_eq!(rig.node.bundle_version(), 5);
}

#[test]
fn draining_server_receives_no_new_requests() {
    let mut rig = Rig::new(2);
    rig.apply_vm_list(2, &[0]);
    for _ in 0..6 {
        rig.generate_for(0, 5, 100);
    }
    let sent = dispatches(&rig.take());
    assert!(!sent.is_empty());
    assert!(sent.iter().all(|d| d.server.0 == 1), "{sent:?}");
}

#[test]
fn draining_node_refuses_after_list_ttl_and_stops_only_when_idle() {
    let mut rig = Rig::new(1);
    rig.generate(100, 1, 60_000);
    let effects = rig.take();
    let dispatch = crate::common::single_dispatch(&effects);
    let (_, id) = crate::common::admitted(&effects);
    rig.feed(Event::Drain);
    rig.generate(100, 1, 60_000);
    assert_eq!(
        dispatches(&rig.take()).len(),
        1,
        "callers may still have the address cached"
    );
    rig.advance(5_100, 1);
    rig.generate(100, 1, 60_000);
    assert_eq!(failures(&rig.take())[0].code, FailureCode::Draining);
    rig.frame(&dispatch, id, 0, 1);
    rig.complete(&dispatch, 1);
    rig.advance(100, 1);
    let stopped = |effects: &[Effect]| effects.contains(&Effect::Stop);
    assert!(!stopped(&rig.take()), "one request is still open");
    assert_eq!(rig.node.open_requests(), 1);
}

#[test]
fn same_events_give_same_effects() {
    let run = || {
        let mut rig = Rig::new(3);
        for i in 0..200 {
            rig.generate_for(i % 2, (i % 9) as u8, 50 + u64::from(i) * 17);
            rig.advance(20, 3);
        }
        rig.take()
    };
    let (first, second) = (run(), run());
    assert!(first.len() > 200);
    assert_eq!(first, second);
}
