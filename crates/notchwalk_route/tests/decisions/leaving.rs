//! Servers that leave, vanish or fail.

use std::time::Duration;

use notchwalk_route::{AttemptEnd, Effect, Event, ServerChange, ServerStage};

use crate::common::{record, Rig, DESK};

#[test]
fn a_leaving_server_gets_no_new_work() {
    let mut rig = Rig::new();
    for number in 0..2 {
        let mut leaving = record(DESK, number);
        leaving.stage = ServerStage::Leaving;
        rig.step(Event::Servers(ServerChange::Present(leaving)));
    }
    for _ in 0..20 {
        rig.arrive("/once/", 0);
        assert_eq!(rig.only_send().instance, "desk-2");
    }
}

#[test]
fn a_server_that_said_it_leaves_does_not_come_back_in_this_life() {
    let mut rig = Rig::new();
    let mut leaving = record(DESK, 0);
    leaving.stage = ServerStage::Leaving;
    rig.step(Event::Servers(ServerChange::Present(leaving)));
    rig.step(Event::Servers(ServerChange::Present(record(DESK, 0))));
    for _ in 0..20 {
        rig.arrive("/once/", 0);
        assert_ne!(rig.only_send().instance, "desk-0");
    }
}

#[test]
fn a_server_that_is_gone_gets_nothing() {
    let mut rig = Rig::new();
    rig.step(Event::Servers(ServerChange::Gone("desk-1".to_owned())));
    for _ in 0..20 {
        rig.arrive("/once/", 0);
        assert_ne!(rig.only_send().instance, "desk-1");
    }
}

#[test]
fn a_server_that_cannot_be_reached_rests_and_then_gets_work_again() {
    let mut rig = Rig::new();
    let request = rig.arrive("/again/", 0);
    let dead = rig.only_send().instance;
    rig.end(request, AttemptEnd::NotConnected);
    assert_ne!(rig.only_send().instance, dead);
    for _ in 0..6 {
        rig.arrive("/again/", 0);
        assert_ne!(rig.only_send().instance, dead);
    }
    rig.pass(Duration::from_secs(5));
    let mut chosen = Vec::new();
    for _ in 0..12 {
        rig.arrive("/again/", 0);
        chosen.push(rig.only_send().instance);
    }
    assert!(chosen.contains(&dead));
}

#[test]
fn without_any_server_a_request_is_refused_as_not_run() {
    let mut rig = Rig::new();
    rig.step(Event::Servers(ServerChange::Whole(Vec::new())));
    rig.arrive("/once/", 0);
    assert!(rig.sends().is_empty());
    assert!(rig.refusals().iter().all(|reason| reason.has_not_run()));
    assert_eq!(rig.refusals().len(), 1);
}

/// Found in a recorded day: after all entries restarted, engines with long
/// queues were given up for their silence and closed, which sent their work to
/// the others.
#[test]
fn a_busy_server_that_answers_others_is_not_closed_for_its_silence() {
    let mut rig = Rig::named("entry-1", 2);
    let served = rig.arrive("/short/", 3_000);
    let busy = rig.only_send().instance;
    let mut waiting = Vec::new();
    while waiting.len() < 4 {
        let request = rig.arrive("/short/", 3_000);
        if rig.only_send().instance == busy {
            waiting.push(request);
        }
    }
    rig.step(Event::Started { request: served });
    rig.pass(Duration::from_millis(800));
    for request in waiting {
        rig.end(request, AttemptEnd::Silent);
    }
    let closed = |effect: &Effect| matches!(effect, Effect::Closed { .. });
    assert!(!rig.effects.iter().any(closed));
}

#[test]
fn a_server_that_says_nothing_to_anybody_is_closed() {
    let mut rig = Rig::named("entry-1", 1);
    let requests: Vec<_> = (0..3).map(|_| rig.arrive("/short/", 3_000)).collect();
    rig.pass(Duration::from_millis(1_600));
    for request in requests {
        rig.end(request, AttemptEnd::Silent);
    }
    let closed = |effect: &Effect| matches!(effect, Effect::Closed { .. });
    assert!(rig.effects.iter().any(closed));
}
