//! Servers that announce a rate limit for all nodes together.

use std::time::Duration;

use notchwalk_quarantine::SubjectKind;
use notchwalk_route::{
    AttemptEnd, Effect, Event, RateLimit, Refusal, RequestKey, ServerChange, ServerNotice,
};

use crate::common::{
    content, plain_server, record, register, server_key, TestRouter, ENGINES, PLAIN_SERVICE,
};

const SECOND: Duration = Duration::from_secs(1);

/// Announces a server's limit in the response to a request that was sent `age` ago.
pub fn announce_aged(
    node: &mut TestRouter,
    service: &str,
    number: u8,
    rate: Option<f64>,
    age: Duration,
) {
    let server = server_key(node, service, number);
    let limit = rate.and_then(RateLimit::per_second);
    let requested_at = node.now.before(age);
    let notice = ServerNotice::Limit {
        limit,
        requested_at,
    };
    node.step(Event::NoticeReceived { server, notice });
}

pub fn announce(node: &mut TestRouter, service: &str, number: u8, rate: f64) {
    announce_aged(node, service, number, Some(rate), Duration::ZERO);
}

/// Announces the same limit for all servers of a service.
pub fn announce_all(node: &mut TestRouter, service: &str, count: u8, rate: f64) {
    for number in 0..count {
        announce(node, service, number, rate);
    }
}

pub fn limit(node: &TestRouter, service: &str, number: u8) -> Option<f64> {
    let server = node.router.fleet().get(server_key(node, service, number));
    server.and_then(|s| s.limit()).map(RateLimit::rate)
}

pub fn available_requests(node: &TestRouter, service: &str, number: u8) -> f64 {
    let server = node.router.fleet().get(server_key(node, service, number));
    server
        .and_then(|s| s.available_requests(node.now))
        .expect("no limit")
}

/// Uses up the limits of `servers` servers with one request each.
fn use_up_limits(node: &mut TestRouter, path: &str, tokens: u32, servers: usize) {
    for _ in 0..servers {
        let request = node.arrive(path, tokens);
        node.end_attempt(request, AttemptEnd::Delivered { is_success: true });
    }
    assert_eq!(node.take_sends().len(), servers);
}

fn refused(node: &TestRouter, request: RequestKey) -> Option<(Refusal, Duration)> {
    node.effects.iter().find_map(|effect| match effect {
        Effect::Refuse {
            request: refused,
            reason,
            retry_after,
        } if *refused == request => Some((*reason, retry_after.unwrap_or_default())),
        _ => None,
    })
}

#[test]
fn first_attempts_stay_within_the_limits() {
    let mut node = TestRouter::new();
    announce_all(&mut node, PLAIN_SERVICE, 3, 1.0);
    for _ in 0..20 {
        node.arrive("/again/", 0);
    }
    assert_eq!(
        node.take_sends().len(),
        0,
        "a new limit must start with an empty bucket"
    );
    let mut sent = 0;
    for _ in 0..600 {
        node.advance(Duration::from_millis(15));
        node.arrive("/again/", 0);
        sent += node.take_sends().len();
    }
    assert!(
        (24..=27).contains(&sent),
        "sent {sent} of 27 allowed requests in 9 s"
    );
}

/// Fails a request on its first server while the limits of the others are exhausted; returns
/// the time until it is sent again.
fn time_until_second_attempt(service: &str, path: &str, tokens: u32) -> Duration {
    let mut node = TestRouter::with_engines("entry-1", 3);
    announce_all(&mut node, service, 3, 1.0);
    node.advance(5 * SECOND);
    use_up_limits(&mut node, path, tokens, 2);
    let request = node.arrive(path, tokens);
    assert_eq!(node.take_sends().len(), 1);
    if tokens > 0 {
        node.step(Event::Started { request });
    }
    let failed_at = node.now;
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    while node.take_sends().is_empty() {
        assert!(
            node.now.since(failed_at) < 5 * SECOND,
            "{:?}",
            node.refusals()
        );
        node.advance(Duration::from_millis(15));
    }
    node.now.since(failed_at)
}

/// A refusal would be final, since the request may have run.
#[test]
fn retry_waits_until_the_limits_of_other_servers_allow_it() {
    let after = time_until_second_attempt(PLAIN_SERVICE, "/again/", 0);
    assert!(after > Duration::from_millis(700), "{after:?}");
}

/// A refusal would leave the caller with an incomplete response.
#[test]
fn stream_is_resumed_once_the_limits_of_other_servers_allow_it() {
    let after = time_until_second_attempt(ENGINES, "/short/", 3_000);
    assert!(after > Duration::from_millis(700), "{after:?}");
}

#[test]
fn engines_with_low_limits_are_no_prefill_workers() {
    let mut node = TestRouter::new();
    announce_all(&mut node, ENGINES, 12, 1.0);
    node.advance(5 * SECOND);
    node.arrive("/long/", 154_000);
    let to = node.take_only_send();
    assert!(!to.prefill_workers.is_empty(), "the prompt is not split");
    let limited: Vec<_> = (0..12).map(|n| record(ENGINES, n).addr).collect();
    assert!(to
        .prefill_workers
        .iter()
        .all(|worker| !limited.contains(&worker.addr)));
}

#[test]
fn segments_and_reservation_orders_count_against_the_limit() {
    let mut node = TestRouter::new();
    announce_all(&mut node, ENGINES, 18, 40.0);
    node.advance(5 * SECOND);
    let before: Vec<f64> = (0..18)
        .map(|n| available_requests(&node, ENGINES, n))
        .collect();
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
    let number = (0..18).find(|&n| record(ENGINES, n).addr == orders[0].addr);
    let number = number.expect("no engine at that address");
    let at_start = before[usize::from(number)];
    // The reservation order, and the request or its segment.
    assert!((available_requests(&node, ENGINES, number) - (at_start - 2.0)).abs() < 0.01);
    let addr = orders[0].addr;
    let unreachable = false;
    let failed = vec![notchwalk_route::FailedReservation { addr, unreachable }];
    node.step(Event::Reserved { request, failed });
    // The request or segment was not sent. The release order counts, even beyond the limit.
    assert!((available_requests(&node, ENGINES, number) - (at_start - 2.0)).abs() < 0.01);
}

#[test]
fn unsent_requests_do_not_count_against_the_limit() {
    for end in [AttemptEnd::NotConnected, AttemptEnd::NotSent] {
        let mut node = TestRouter::new();
        announce_all(&mut node, PLAIN_SERVICE, 3, 1.0);
        node.advance(5 * SECOND);
        let full = available_requests(&node, PLAIN_SERVICE, 0);
        let request = node.arrive("/again/", 0);
        let to = node.take_only_send().instance;
        node.end_attempt(request, end);
        let number = (0..3).find(|&n| record(PLAIN_SERVICE, n).instance == to);
        let number = number.expect("no such server");
        let left = available_requests(&node, PLAIN_SERVICE, number);
        let sent_there_again = node
            .take_sends()
            .iter()
            .any(|(_, again)| again.instance == to);
        let expected = if sent_there_again { full - 1.0 } else { full };
        assert!((left - expected).abs() < 0.01, "{end:?}: {left} of {full}");
    }
}

/// Responses may arrive out of order.
#[test]
fn response_to_the_newest_request_sets_the_limit() {
    let mut node = TestRouter::new();
    let age = |ms| Duration::from_millis(ms);
    announce_aged(&mut node, PLAIN_SERVICE, 0, Some(2.0), age(100));
    announce_aged(&mut node, PLAIN_SERVICE, 0, None, age(300));
    assert_eq!(
        limit(&node, PLAIN_SERVICE, 0),
        Some(2.0),
        "an older response without a limit must not apply"
    );
    announce_aged(&mut node, PLAIN_SERVICE, 0, Some(5.0), age(300));
    assert_eq!(
        limit(&node, PLAIN_SERVICE, 0),
        Some(2.0),
        "an older response with a higher limit must not apply"
    );
    announce_aged(&mut node, PLAIN_SERVICE, 0, Some(1.0), age(300));
    assert_eq!(
        limit(&node, PLAIN_SERVICE, 0),
        Some(1.0),
        "an older response with a lower limit must apply"
    );
    announce_aged(&mut node, PLAIN_SERVICE, 0, Some(5.0), age(50));
    assert_eq!(limit(&node, PLAIN_SERVICE, 0), Some(5.0));
    announce_aged(&mut node, PLAIN_SERVICE, 0, None, age(50));
    assert_eq!(limit(&node, PLAIN_SERVICE, 0), None);
    announce_aged(&mut node, PLAIN_SERVICE, 0, Some(3.0), age(80));
    assert_eq!(
        limit(&node, PLAIN_SERVICE, 0),
        Some(3.0),
        "a limit must apply until a newer response lifts it"
    );
    announce_aged(&mut node, PLAIN_SERVICE, 0, None, age(60));
    assert_eq!(limit(&node, PLAIN_SERVICE, 0), None);
}

#[test]
fn limit_ends_with_the_incarnation() {
    let mut node = TestRouter::new();
    register(&mut node, plain_server(0, 1_000));
    announce(&mut node, PLAIN_SERVICE, 0, 2.0);
    register(&mut node, plain_server(0, 1_000));
    assert_eq!(limit(&node, PLAIN_SERVICE, 0), Some(2.0));
    register(&mut node, plain_server(0, 2_000));
    assert_eq!(limit(&node, PLAIN_SERVICE, 0), None);
}

/// A registration expires while the store is unavailable, although its server still runs.
#[test]
fn limit_is_restored_after_a_registration_expires() {
    let mut node = TestRouter::new();
    announce(&mut node, PLAIN_SERVICE, 0, 2.0);
    let removed = ServerChange::Removed(record(PLAIN_SERVICE, 0).instance);
    node.step(Event::Servers(removed));
    register(&mut node, record(PLAIN_SERVICE, 0));
    assert_eq!(limit(&node, PLAIN_SERVICE, 0), Some(2.0));
    let restored = ServerChange::Restored(record(PLAIN_SERVICE, 0));
    node.step(Event::Servers(restored));
    assert_eq!(limit(&node, PLAIN_SERVICE, 0), Some(2.0));
}

/// Only a response can lift a limit of zero.
#[test]
fn server_with_a_limit_of_zero_is_probed_periodically() {
    let mut node = TestRouter::with_engines("entry-1", 3);
    announce(&mut node, PLAIN_SERVICE, 0, 0.0);
    let mut probes = 0;
    for _ in 0..1_000 {
        node.advance(Duration::from_millis(15));
        let calls: Vec<_> = (0..4).map(|_| node.arrive("/again/", 0)).collect();
        let sends = node.take_sends();
        probes += sends
            .iter()
            .filter(|(_, to)| to.instance == "desk-0")
            .count();
        for request in calls {
            node.end_attempt(request, AttemptEnd::Delivered { is_success: true });
        }
    }
    assert!((2..=3).contains(&probes), "{probes} probes in 15 s");
}

/// The strictest of several notices applies.
#[test]
fn limit_does_not_override_draining_or_backoff() {
    let backoff = ServerNotice::Backoff(3 * SECOND);
    for notice in [ServerNotice::Draining, backoff] {
        for limit_first in [false, true] {
            let mut node = TestRouter::new();
            let server = server_key(&node, PLAIN_SERVICE, 0);
            if limit_first {
                announce(&mut node, PLAIN_SERVICE, 0, 50.0);
            }
            node.step(Event::NoticeReceived { server, notice });
            announce(&mut node, PLAIN_SERVICE, 0, 50.0);
            node.advance(SECOND);
            let calls = (0..30).map(|_| node.arrive("/again/", 0)).count();
            let sends = node.take_sends();
            assert_eq!(sends.len(), calls);
            assert!(
                sends.iter().all(|(_, to)| to.instance != "desk-0"),
                "{notice:?}"
            );
        }
    }
}

/// A quarantined request is refused because of its quarantine, not because of the limit.
#[test]
fn quarantine_takes_precedence_over_a_limit() {
    let mut node = TestRouter::new();
    announce_all(&mut node, PLAIN_SERVICE, 3, 1.0);
    let content = content("crashes");
    let (left, times) = (60 * SECOND, 1);
    node.step(Event::QuarantineRestored {
        content,
        kind: SubjectKind::Content,
        left,
        quarantine_count: times,
    });
    node.content = Some(content);
    node.arrive("/again/", 0);
    assert_eq!(node.refusals(), [Refusal::Quarantined]);
}

/// Guards against probes of a failed server that exceed its limit.
#[test]
fn failed_server_is_probed_within_its_limit() {
    let mut node = TestRouter::new();
    announce(&mut node, PLAIN_SERVICE, 0, 0.5);
    node.advance(10 * SECOND);
    let server = server_key(&node, PLAIN_SERVICE, 0);
    let mut probes = 0;
    for _ in 0..800 {
        node.advance(Duration::from_millis(15));
        let calls: Vec<_> = (0..4).map(|_| node.arrive("/again/", 0)).collect();
        for (request, to) in node.take_sends() {
            let failed = to.server == server;
            probes += usize::from(failed);
            let end = match failed {
                true => AttemptEnd::ConnectionLost,
                false => AttemptEnd::Delivered { is_success: true },
            };
            node.end_attempt(request, end);
        }
        for request in calls {
            node.end_attempt(request, AttemptEnd::Delivered { is_success: true });
        }
        node.take_sends();
    }
    assert!(
        probes <= 7,
        "{probes} probes in 12 s at a limit of 0.5 requests per second"
    );
}

#[test]
fn requests_wait_if_they_meet_their_objective_and_are_refused_otherwise() {
    let mut node = TestRouter::new();
    announce_all(&mut node, PLAIN_SERVICE, 3, 4.0);
    node.advance(5 * SECOND);
    let requests: Vec<_> = (0..12).map(|_| node.arrive("/again/", 0)).collect();
    assert_eq!(
        node.take_sends().len(),
        3,
        "expected one request for each server"
    );
    let refusals: Vec<_> = requests.iter().map(|&r| refused(&node, r)).collect();
    let waiting = refusals[3..].iter().take_while(|refusal| refusal.is_none());
    assert!((1..=3).contains(&waiting.count()), "{refusals:?}");
    for refusal in refusals.into_iter().flatten() {
        let (reason, after) = refusal;
        assert_eq!(reason, Refusal::Limited);
        // About 100 ms for each waiting request.
        assert!(
            after > Duration::from_millis(200) && after < SECOND,
            "{after:?}"
        );
    }
    node.advance(Duration::from_millis(300));
    assert!(!node.take_sends().is_empty(), "no waiting request was sent");
}

/// A retry at the advised time must not be refused again.
#[test]
fn retried_request_waits_longer() {
    let mut node = TestRouter::new();
    announce_all(&mut node, PLAIN_SERVICE, 3, 1.0);
    node.advance(5 * SECOND);
    use_up_limits(&mut node, "/again/", 0, 3);
    let first = node.arrive("/again/", 0);
    let (reason, after) = refused(&node, first).expect("not refused");
    assert_eq!(reason, Refusal::Limited);
    node.arrive_retry("/again/", 0, after);
    assert_eq!(
        node.refusals().len(),
        1,
        "the retried request was not queued"
    );
    node.advance(2 * SECOND);
    assert_eq!(node.take_sends().len(), 1);
}

#[test]
fn limited_server_is_used_like_the_others_within_its_limit() {
    let mut node = TestRouter::new();
    announce(&mut node, PLAIN_SERVICE, 0, 30.0);
    let mut sent = 0;
    for _ in 0..400 {
        node.advance(Duration::from_millis(15));
        let calls: Vec<_> = (0..3).map(|_| node.arrive("/again/", 0)).collect();
        let sends = node.take_sends();
        assert_eq!(sends.len(), 3, "a request was queued");
        sent += sends
            .iter()
            .filter(|(_, to)| to.instance == "desk-0")
            .count();
        for request in calls {
            node.end_attempt(request, AttemptEnd::Delivered { is_success: true });
        }
    }
    // The limit allows 180 requests in 6 s.
    assert!((126..=180).contains(&sent), "{sent}");
}

/// Reports for operators are rate limited.
#[test]
fn exhausted_limit_is_reported_periodically() {
    let mut node = TestRouter::new();
    announce(&mut node, PLAIN_SERVICE, 0, 1.0);
    for _ in 0..800 {
        node.advance(Duration::from_millis(15));
        let request = node.arrive("/again/", 0);
        node.end_attempt(request, AttemptEnd::Delivered { is_success: true });
    }
    let server = server_key(&node, PLAIN_SERVICE, 0);
    let reports = node.effects.iter();
    let reports = reports.filter(|effect| **effect == Effect::LimitExhausted { server });
    assert!(
        (1..=3).contains(&reports.count()),
        "expected a report every 5 s in 12 s"
    );
}
