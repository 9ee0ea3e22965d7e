//! Notices from servers in their responses, and when their effect ends.

use std::time::Duration;

use notchwalk_route::{AttemptEnd, Effect, Event, Refusal, ServerChange, ServerKey, ServerNotice};

use crate::common::{
    plain_server, record, register, server_key, TestRouter, ENGINES, PLAIN_SERVICE,
};

fn announce(node: &mut TestRouter, service: &str, number: u8, notice: ServerNotice) {
    let server = server_key(node, service, number);
    node.step(Event::NoticeReceived { server, notice });
}

fn announce_draining(node: &mut TestRouter, service: &str, numbers: impl IntoIterator<Item = u8>) {
    for number in numbers {
        announce(node, service, number, ServerNotice::Draining);
    }
}

/// Returns whether any of 30 concurrent calls is sent to a server.
fn is_used(node: &mut TestRouter, instance: &str) -> bool {
    let calls: Vec<_> = (0..30).map(|_| node.arrive("/again/", 0)).collect();
    let used = node
        .take_sends()
        .iter()
        .any(|(_, to)| to.instance == instance);
    for request in calls {
        node.end_attempt(request, AttemptEnd::Delivered { is_success: true });
    }
    used
}

fn announce_backoff(node: &mut TestRouter, number: u8, seconds: u64) {
    let notice = ServerNotice::Backoff(Duration::from_secs(seconds));
    announce(node, PLAIN_SERVICE, number, notice);
}

#[test]
fn draining_server_receives_no_first_attempt() {
    let mut node = TestRouter::new();
    announce_draining(&mut node, PLAIN_SERVICE, [0]);
    assert!(!is_used(&mut node, "desk-0"));
}

/// Fails the first attempt of a request while one of the two other servers, the lower or
/// the higher one, is draining. Returns the server of the second attempt and the expected
/// one.
fn second_attempt(service: &str, path: &str, tokens: u32, lower: bool) -> (String, String) {
    let mut node = TestRouter::with_engines("entry-1", 3);
    let request = node.arrive(path, tokens);
    let first = node.take_only_send().instance;
    if tokens > 0 {
        node.step(Event::Started { request });
    }
    let is_other = |number: &u8| record(service, *number).instance != first;
    let mut others: Vec<u8> = (0..3).filter(is_other).collect();
    if !lower {
        others.reverse();
    }
    announce_draining(&mut node, service, [others[0]]);
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    (
        node.take_only_send().instance,
        record(service, others[1]).instance,
    )
}

#[test]
fn retry_is_not_sent_to_a_draining_server() {
    for lower in [false, true] {
        let (actual, expected) = second_attempt(PLAIN_SERVICE, "/again/", 0, lower);
        assert_eq!(actual, expected);
    }
}

#[test]
fn stream_is_not_resumed_on_a_draining_server() {
    for lower in [false, true] {
        let (actual, expected) = second_attempt(ENGINES, "/short/", 3_000, lower);
        assert_eq!(actual, expected);
    }
}

#[test]
fn draining_engine_is_no_prefill_worker_for_a_long_prompt() {
    let mut node = TestRouter::new();
    announce_draining(&mut node, ENGINES, 0..12);
    node.arrive("/long/", 154_000);
    let to = node.take_only_send();
    assert!(!to.prefill_workers.is_empty(), "the prompt is not split");
    let addrs = to.prefill_workers.iter().map(|worker| worker.addr);
    let draining: Vec<_> = (0..12).map(|n| record(ENGINES, n).addr).collect();
    assert!(addrs.chain([to.addr]).all(|addr| !draining.contains(&addr)));
}

/// An engine starts draining while memory is being reserved on it: the request is not sent
/// there, and the memory is released.
#[test]
fn request_moves_if_an_engine_drains_during_its_reservation() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", 600_000);
    let reserve = |effect: &Effect| match effect {
        Effect::Reserve { orders, .. } => Some(orders.clone()),
        _ => None,
    };
    let orders = node
        .effects
        .iter()
        .find_map(reserve)
        .expect("no reservation orders");
    node.effects.clear();
    let addr = orders[0].addr;
    let number = (0..18).find(|&n| record(ENGINES, n).addr == addr);
    announce_draining(
        &mut node,
        ENGINES,
        [number.expect("no engine at that address")],
    );
    node.step(Event::Reserved {
        request,
        failed: Vec::new(),
    });
    assert!(node.take_sends().is_empty(), "sent to a draining engine");
    let released = node.effects.iter().filter(
        |effect| matches!(effect, Effect::SendReservationOrder(order) if order.tokens.is_none() && order.addr == addr),
    );
    assert_eq!(released.count(), 1);
    node.effects.clear();
    node.advance(Duration::from_millis(50));
    let orders = node
        .effects
        .iter()
        .find_map(reserve)
        .expect("no reservation on other engines");
    assert!(orders.iter().all(|order| order.addr != addr));
}

/// The registration in the store may be older than the server's notice.
#[test]
fn registration_as_ready_does_not_end_draining() {
    let mut node = TestRouter::new();
    announce_draining(&mut node, PLAIN_SERVICE, [0]);
    register(&mut node, record(PLAIN_SERVICE, 0));
    assert!(!is_used(&mut node, "desk-0"));
    let servers = (0..3).map(|number| record(PLAIN_SERVICE, number)).collect();
    node.step(Event::Servers(ServerChange::All(servers)));
    assert!(!is_used(&mut node, "desk-0"));
    node.advance(Duration::from_secs(60));
    assert!(!is_used(&mut node, "desk-0"));
}

#[test]
fn next_incarnation_of_a_draining_server_is_used() {
    let mut node = TestRouter::new();
    register(&mut node, plain_server(0, 1_000));
    announce_draining(&mut node, PLAIN_SERVICE, [0]);
    register(&mut node, plain_server(0, 1_000));
    assert!(!is_used(&mut node, "desk-0"));
    register(&mut node, plain_server(0, 2_000));
    assert!(is_used(&mut node, "desk-0"));
}

/// A registration may expire while the store is unavailable. Its server then registers again
/// with the same incarnation.
#[test]
fn draining_incarnation_is_not_used_after_it_registers_again() {
    let mut node = TestRouter::new();
    register(&mut node, plain_server(0, 1_000));
    announce_draining(&mut node, PLAIN_SERVICE, [0]);
    node.step(Event::Servers(ServerChange::Removed("desk-0".to_owned())));
    register(&mut node, plain_server(0, 1_000));
    assert!(!is_used(&mut node, "desk-0"));
    node.step(Event::Servers(ServerChange::Removed("desk-0".to_owned())));
    register(&mut node, plain_server(0, 2_000));
    assert!(is_used(&mut node, "desk-0"));
}

/// A server without a start time counts as a new incarnation when it registers again.
#[test]
fn draining_server_without_start_time_is_used_after_it_registers_again() {
    let mut node = TestRouter::new();
    announce_draining(&mut node, PLAIN_SERVICE, [0]);
    node.step(Event::Servers(ServerChange::Removed("desk-0".to_owned())));
    register(&mut node, record(PLAIN_SERVICE, 0));
    assert!(is_used(&mut node, "desk-0"));
}

#[test]
fn server_receives_no_requests_during_the_backoff_that_it_requested() {
    let mut node = TestRouter::new();
    announce_backoff(&mut node, 0, 3);
    assert!(!is_used(&mut node, "desk-0"));
    node.advance(Duration::from_millis(2_900));
    assert!(!is_used(&mut node, "desk-0"));
    node.advance(Duration::from_millis(200));
    assert!(is_used(&mut node, "desk-0"));
}

#[test]
fn shorter_backoff_does_not_replace_a_longer_one() {
    let mut node = TestRouter::new();
    announce_backoff(&mut node, 0, 3);
    announce_backoff(&mut node, 0, 1);
    node.advance(Duration::from_secs(2));
    assert!(!is_used(&mut node, "desk-0"));
}

#[test]
fn next_incarnation_ends_the_backoff() {
    let mut node = TestRouter::new();
    register(&mut node, plain_server(0, 1_000));
    announce_backoff(&mut node, 0, 600);
    assert!(!is_used(&mut node, "desk-0"));
    register(&mut node, plain_server(0, 2_000));
    assert!(is_used(&mut node, "desk-0"));
}

fn refused(node: &mut TestRouter, path: &str, tokens: u32) -> (Refusal, Option<Duration>) {
    node.effects.clear();
    node.arrive(path, tokens);
    assert!(node.take_sends().is_empty());
    let refused = node.effects.iter().find_map(|effect| match effect {
        Effect::Refuse {
            reason,
            retry_after,
            ..
        } => Some((*reason, *retry_after)),
        _ => None,
    });
    refused.expect("not refused immediately")
}

/// Guards against queueing requests until their deadlines although they can't be sent.
#[test]
fn requests_are_refused_with_the_shortest_retry_after_if_all_servers_back_off() {
    let mut node = TestRouter::with_engines("entry-1", 3);
    for number in 0..3 {
        announce_backoff(&mut node, number, 5 + u64::from(number));
        let notice = ServerNotice::Backoff(Duration::from_secs(7 + u64::from(number)));
        announce(&mut node, ENGINES, number, notice);
    }
    let at_desk = refused(&mut node, "/once/", 0);
    assert_eq!(at_desk, (Refusal::NoServer, Some(Duration::from_secs(5))));
    let short = refused(&mut node, "/short/", 3_000);
    assert_eq!(short, (Refusal::NoServer, Some(Duration::from_secs(7))));
    let long = refused(&mut node, "/long/", 154_000);
    assert_eq!(long, (Refusal::NoServer, Some(Duration::from_secs(7))));
}

#[test]
fn requests_are_refused_immediately_if_all_servers_are_draining() {
    let mut node = TestRouter::with_engines("entry-1", 3);
    announce_draining(&mut node, ENGINES, 0..3);
    for (path, tokens) in [("/short/", 3_000), ("/long/", 154_000), ("/long/", 600_000)] {
        let (reason, retry_after) = refused(&mut node, path, tokens);
        assert_eq!(reason, Refusal::NoServer);
        assert!(retry_after.is_some());
    }
}

/// Guards against a failure rate that only successes can lower: a recovered server would stay
/// unused.
#[test]
fn failed_server_is_used_again_after_some_time() {
    let mut node = TestRouter::new();
    let failing = server_key(&node, PLAIN_SERVICE, 0);
    for _ in 0..4 {
        let calls: Vec<_> = (0..30).map(|_| node.arrive("/again/", 0)).collect();
        for (request, to) in node.take_sends() {
            let end = match to.server == failing {
                true => AttemptEnd::ConnectionLost,
                false => AttemptEnd::Delivered { is_success: true },
            };
            node.end_attempt(request, end);
        }
        for request in calls {
            node.step(Event::Abandoned { request });
        }
        node.effects.clear();
        assert!(
            !is_used(&mut node, "desk-0"),
            "the failing server is still used"
        );
        node.advance(Duration::from_secs(4));
    }
    // Its ejection has ended by then.
    node.advance(Duration::from_secs(10));
    assert!(is_used(&mut node, "desk-0"));
}

/// Failures that are a minute old do not count as consecutive with a new one.
#[test]
fn single_failure_long_after_others_does_not_eject_a_server() {
    let mut node = TestRouter::new();
    let failing = server_key(&node, PLAIN_SERVICE, 0);
    let fails_and_is_ejected = |node: &mut TestRouter| {
        let calls: Vec<_> = (0..30).map(|_| node.arrive("/again/", 0)).collect();
        let sends = node.take_sends();
        let broken = sends.iter().find(|(_, to)| to.server == failing);
        let (broken, _) = broken.expect("the server is not used");
        node.end_attempt(*broken, AttemptEnd::ConnectionLost);
        for request in calls {
            node.step(Event::Abandoned { request });
        }
        let effects = std::mem::take(&mut node.effects);
        let is_ejection = |effect: &Effect| matches!(effect, Effect::Ejected { .. });
        effects.iter().any(is_ejection)
    };
    assert!(!fails_and_is_ejected(&mut node));
    assert!(
        fails_and_is_ejected(&mut node),
        "not ejected after two consecutive failures"
    );
    node.advance(Duration::from_secs(60));
    assert!(!fails_and_is_ejected(&mut node));
}

/// Fails a server's calls until it is ejected.
fn fail_until_ejected(node: &mut TestRouter, failing: ServerKey) {
    for _ in 0..2 {
        let calls: Vec<_> = (0..30).map(|_| node.arrive("/again/", 0)).collect();
        for (request, to) in node.take_sends() {
            if to.server == failing {
                node.end_attempt(request, AttemptEnd::ConnectionLost);
            }
        }
        for request in calls {
            node.step(Event::Abandoned { request });
        }
    }
    node.effects.clear();
}

/// At light load a small failure rate outweighs any difference in load, so it must not
/// outlast the ejection.
#[test]
fn failed_server_is_used_at_light_load_after_its_ejection() {
    let mut node = TestRouter::new();
    let failing = server_key(&node, PLAIN_SERVICE, 0);
    fail_until_ejected(&mut node, failing);
    node.advance(Duration::from_millis(4_100));
    let calls: Vec<_> = (0..4).map(|_| node.arrive("/again/", 0)).collect();
    let used = node.take_sends().iter().any(|(_, to)| to.server == failing);
    assert!(used);
    assert_eq!(calls.len(), 4);
}

/// A server that still hangs must not receive as many requests as it has free capacity.
#[test]
fn server_after_its_ejection_receives_one_request_until_it_responds() {
    let mut node = TestRouter::new();
    let failing = server_key(&node, PLAIN_SERVICE, 0);
    fail_until_ejected(&mut node, failing);
    node.advance(Duration::from_millis(4_100));
    let _calls: Vec<_> = (0..30).map(|_| node.arrive("/again/", 0)).collect();
    let sends = node.take_sends();
    let to_failing: Vec<_> = sends
        .iter()
        .filter(|(_, to)| to.server == failing)
        .collect();
    assert_eq!(to_failing.len(), 1);
    node.end_attempt(to_failing[0].0, AttemptEnd::Delivered { is_success: true });
    let _calls: Vec<_> = (0..30).map(|_| node.arrive("/again/", 0)).collect();
    let sends = node.take_sends();
    let to_failing = sends.iter().filter(|(_, to)| to.server == failing);
    assert!(to_failing.count() > 5, "not used after a success");
}

/// Guards against requests to a server that left, once a snapshot restores its registration.
#[test]
fn draining_notice_after_the_registration_went_outlives_a_restore() {
    for record in [record(PLAIN_SERVICE, 0), plain_server(0, 1_000)] {
        let mut node = TestRouter::new();
        register(&mut node, record.clone());
        let server = server_key(&node, PLAIN_SERVICE, 0);
        let removed = ServerChange::Removed(record.instance.clone());
        node.step(Event::Servers(removed));
        let notice = ServerNotice::Draining;
        node.step(Event::NoticeReceived { server, notice });
        assert_eq!(node.router.take_draining_updates().len(), 1);
        node.step(Event::NoticeReceived { server, notice });
        assert!(node.router.take_draining_updates().is_empty());
        node.step(Event::Servers(ServerChange::Restored(record)));
        assert!(!is_used(&mut node, "desk-0"));
    }
}

/// Guards against a notice that is lost because its server has registered again.
#[test]
fn notice_for_a_former_registration_applies_to_the_present_one() {
    let mut node = TestRouter::new();
    let server = server_key(&node, PLAIN_SERVICE, 0);
    let removed = ServerChange::Removed("desk-0".to_owned());
    node.step(Event::Servers(removed));
    register(&mut node, record(PLAIN_SERVICE, 0));
    let notice = ServerNotice::Draining;
    node.step(Event::NoticeReceived { server, notice });
    assert!(!is_used(&mut node, "desk-0"));
}

/// Guards against requests during a backoff whose server's registration lapses and returns.
#[test]
fn backoff_outlives_a_lapsed_registration() {
    let mut node = TestRouter::new();
    let server = server_key(&node, PLAIN_SERVICE, 0);
    announce_backoff(&mut node, 0, 5);
    let removed = || ServerChange::Removed("desk-0".to_owned());
    node.step(Event::Servers(removed()));
    register(&mut node, record(PLAIN_SERVICE, 0));
    assert!(!is_used(&mut node, "desk-0"));
    node.step(Event::Servers(removed()));
    // Also one that the server requests while it has no registration.
    let notice = ServerNotice::Backoff(Duration::from_secs(10));
    node.step(Event::NoticeReceived { server, notice });
    register(&mut node, record(PLAIN_SERVICE, 0));
    node.advance(Duration::from_secs(6));
    assert!(!is_used(&mut node, "desk-0"));
    node.advance(Duration::from_secs(6));
    assert!(is_used(&mut node, "desk-0"));
}
