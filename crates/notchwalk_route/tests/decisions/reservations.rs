//! Memory reservations for prompts that exceed one engine.

use std::{collections::HashSet, time::Duration};

use notchwalk_route::{
    AttemptEnd, Effect, Event, FailedReservation, RequestKey, ReservationOrder, ServerChange,
    ServerRecord,
};

use crate::common::TestRouter;

const OVERSIZED_TOKENS: u32 = 400_000;

fn take_reservations(node: &mut TestRouter) -> Vec<ReservationOrder> {
    let mut taken = Vec::new();
    node.effects.retain(|effect| match effect {
        Effect::Reserve { orders, .. } => {
            taken.extend(orders.iter().cloned());
            false
        }
        _ => true,
    });
    taken
}

fn take_orders(node: &mut TestRouter) -> Vec<ReservationOrder> {
    let mut taken = Vec::new();
    node.effects.retain(|effect| match effect {
        Effect::SendReservationOrder(order) => {
            taken.push(order.clone());
            false
        }
        _ => true,
    });
    taken
}

fn take_released(node: &mut TestRouter) -> HashSet<std::net::SocketAddr> {
    let orders = take_orders(node);
    let releases = orders.iter().filter(|order| order.tokens.is_none());
    releases.map(|order| order.addr).collect()
}

fn finish_reservation(node: &mut TestRouter, request: RequestKey, granted: bool) {
    let refused = FailedReservation {
        addr: "10.9.9.9:80".parse().unwrap(),
        unreachable: false,
    };
    let failed = if granted { Vec::new() } else { vec![refused] };
    node.step(Event::Reserved { request, failed });
}

/// Guards against a retry budget that grows with each failed reservation.
#[test]
fn prompt_whose_reservations_fail_counts_as_one_request() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    for _ in 0..2 {
        assert!(!take_reservations(&mut node).is_empty());
        finish_reservation(&mut node, request, false);
        node.advance(Duration::from_millis(50));
    }
    assert!(!take_reservations(&mut node).is_empty());
    finish_reservation(&mut node, request, true);
    node.take_only_send();
    assert_eq!(node.router.retry_usages(node.now)[0].1.first_attempts, 1);
}

#[test]
fn oversized_prompt_is_sent_after_all_memory_is_reserved() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    assert!(node.take_sends().is_empty());
    let reserved = take_reservations(&mut node);
    let sum: u32 = reserved.iter().filter_map(|order| order.tokens).sum();
    assert!(sum > OVERSIZED_TOKENS, "{sum}");
    finish_reservation(&mut node, request, true);
    let to = node.take_only_send();
    let reserved_engines = to
        .prefill_workers
        .iter()
        .filter(|worker| worker.reservation.is_some());
    assert_eq!(reserved_engines.count(), reserved.len());
    assert!(to
        .prefill_workers
        .iter()
        .any(|worker| worker.addr == to.addr));
}

/// Engines reject requests that name more than 16 engines, the decoding engine's own
/// reservation included.
#[test]
fn request_names_at_most_sixteen_engines() {
    for tokens in [320_000, OVERSIZED_TOKENS, 700_000] {
        let mut node = TestRouter::with_engines("entry-1", 60);
        let request = node.arrive("/long/", tokens);
        if take_reservations(&mut node).is_empty() {
            continue;
        }
        finish_reservation(&mut node, request, true);
        assert!(node.take_only_send().prefill_workers.len() <= 16);
    }
}

#[test]
fn memory_is_released_on_every_request_end() {
    let ends: [fn(&mut TestRouter, RequestKey); 3] = [
        |node, request| node.end_attempt(request, AttemptEnd::Delivered { is_success: true }),
        |node, request| node.step(Event::Abandoned { request }),
        |node, request| node.end_attempt(request, AttemptEnd::ConnectionLost),
    ];
    for end in ends {
        let mut node = TestRouter::new();
        let request = node.arrive("/long/", OVERSIZED_TOKENS);
        let reserved = take_reservations(&mut node);
        finish_reservation(&mut node, request, true);
        take_orders(&mut node);
        end(&mut node, request);
        let reserved: HashSet<_> = reserved.iter().map(|order| order.addr).collect();
        assert_eq!(take_released(&mut node), reserved);
    }
}

#[test]
fn failed_reservation_is_released_and_request_is_queued() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut node).len();
    finish_reservation(&mut node, request, false);
    assert_eq!(take_released(&mut node).len(), reserved);
    assert!(node.take_sends().is_empty());
}

#[test]
fn active_reservation_is_renewed_before_it_expires() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut node);
    finish_reservation(&mut node, request, true);
    let ttl = reserved[0].ttl;
    let mut renewed = 0;
    let mut elapsed = Duration::ZERO;
    while elapsed < ttl {
        node.advance(Duration::from_millis(100));
        elapsed += Duration::from_millis(100);
        renewed += take_orders(&mut node)
            .iter()
            .filter(|o| o.tokens.is_some())
            .count();
    }
    assert!(renewed >= 2 * reserved.len(), "{renewed}");
}

/// Memory must be free within 4 s of the end of a request, also if the node crashed.
#[test]
fn reservation_expires_within_release_limit() {
    let mut node = TestRouter::new();
    node.arrive("/long/", OVERSIZED_TOKENS);
    for order in take_reservations(&mut node) {
        assert!(order.ttl < Duration::from_millis(4_000));
    }
}

/// An order whose response was lost may be executed up to 12 s later, so the release is
/// repeated until then.
#[test]
fn release_is_repeated_after_lost_response() {
    for lost_is_release in [false, true] {
        let mut node = TestRouter::new();
        let request = node.arrive("/long/", OVERSIZED_TOKENS);
        let reserved = take_reservations(&mut node);
        finish_reservation(&mut node, request, true);
        let tokens = reserved[0].tokens.filter(|_| !lost_is_release);
        let lost = ReservationOrder {
            tokens,
            ..reserved[0].clone()
        };
        node.step(Event::ReservationUnanswered(lost));
        node.step(Event::Abandoned { request });
        take_orders(&mut node);
        for _ in 0..11 {
            node.advance(Duration::from_millis(1_000));
        }
        let repeated = take_orders(&mut node);
        let releases = repeated.iter().filter(|order| order.tokens.is_none());
        assert!(releases.clone().count() >= 5);
        assert!(releases.clone().all(|order| order.addr == reserved[0].addr));
        for _ in 0..4 {
            node.advance(Duration::from_millis(1_000));
        }
        take_orders(&mut node);
        node.advance(Duration::from_millis(2_000));
        assert!(
            take_orders(&mut node).is_empty(),
            "the release is repeated too long"
        );
    }
}

#[test]
fn acknowledged_release_is_not_repeated() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    take_reservations(&mut node);
    finish_reservation(&mut node, request, true);
    node.end_attempt(request, AttemptEnd::Delivered { is_success: true });
    take_orders(&mut node);
    node.advance(Duration::from_millis(2_000));
    assert!(take_orders(&mut node).is_empty());
}

/// Guards against id collisions between nodes that start in the same microsecond.
#[test]
fn reservation_ids_differ_between_nodes_and_requests() {
    let mut ids = HashSet::new();
    for name in ["entry-1", "entry-2"] {
        let mut node = TestRouter::with_engines(name, 18);
        for _ in 0..2 {
            let request = node.arrive("/long/", OVERSIZED_TOKENS);
            let orders = take_reservations(&mut node);
            assert!(ids.insert(orders[0].id.clone()));
            finish_reservation(&mut node, request, true);
            node.end_attempt(request, AttemptEnd::Delivered { is_success: true });
        }
    }
}

#[test]
fn oversized_prompt_is_refused_early_on_busy_fleet() {
    let mut node = TestRouter::with_engines("entry-1", 3);
    for _ in 0..40 {
        node.arrive("/short/", 5_000);
    }
    node.take_sends();
    let arrived_at = node.now;
    node.arrive("/long/", OVERSIZED_TOKENS);
    while node.refusals().is_empty() {
        node.advance(Duration::from_millis(15));
    }
    assert!(node.now.since(arrived_at) < Duration::from_millis(750));
    assert!(node.refusals()[0].has_not_run());
}

/// Guards against repeating reservations with an unreachable engine on every tick.
#[test]
fn unreachable_engine_gets_no_further_reservation_order() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    let unreachable_addr = take_reservations(&mut node)[0].addr;
    let failed = FailedReservation {
        addr: unreachable_addr,
        unreachable: true,
    };
    node.step(Event::Reserved {
        request,
        failed: vec![failed],
    });
    let mut rounds = 0;
    for _ in 0..20 {
        node.advance(Duration::from_millis(15));
        let reserved = take_reservations(&mut node);
        assert!(
            reserved.iter().all(|order| order.addr != unreachable_addr),
            "round {rounds}"
        );
        rounds += usize::from(!reserved.is_empty());
    }
    assert_eq!(rounds, 1);
}

/// A request avoids an engine that had too little memory for its reservation.
#[test]
fn engine_without_memory_is_excluded_from_next_reservation() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    let full = take_reservations(&mut node)[0].addr;
    let failed = FailedReservation {
        addr: full,
        unreachable: false,
    };
    node.step(Event::Reserved {
        request,
        failed: vec![failed],
    });
    node.advance(Duration::from_millis(15));
    let reserved = take_reservations(&mut node);
    assert!(!reserved.is_empty());
    assert!(reserved.iter().all(|order| order.addr != full));
}

/// A restarted engine holds no reservations; a renewal would reserve memory that no request
/// uses.
#[test]
fn reservation_is_not_renewed_on_restarted_engine() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut node);
    finish_reservation(&mut node, request, true);
    node.take_sends();
    let engine = &reserved[0];
    let key = node
        .router
        .fleet()
        .by_addr(engine.addr)
        .expect("server is registered");
    let server = node.router.fleet().get(key).expect("server is registered");
    let restarted = ServerRecord {
        started_ms: Some(2),
        ..server.record().clone()
    };
    node.step(Event::Servers(ServerChange::Registered(restarted)));
    take_orders(&mut node);
    node.advance(Duration::from_millis(1_600));
    let renewed: HashSet<_> = take_orders(&mut node)
        .iter()
        .map(|order| order.addr)
        .collect();
    assert!(!renewed.contains(&engine.addr));
    assert_eq!(renewed.len(), reserved.len() - 1);
}

/// After a suspension the engines have cancelled the request, and a renewal would reserve
/// the memory again.
#[test]
fn reservation_expired_during_suspension_is_not_renewed() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut node).len();
    finish_reservation(&mut node, request, true);
    node.take_sends();
    node.advance(Duration::from_millis(1_600));
    assert_eq!(
        take_orders(&mut node).len(),
        reserved,
        "active reservations must be renewed"
    );
    node.advance(Duration::from_millis(4_000));
    let renewed = take_orders(&mut node);
    assert!(
        renewed.iter().all(|order| order.tokens.is_none()),
        "{renewed:?}"
    );
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    assert_eq!(take_released(&mut node).len(), reserved);
}

/// An unresponsive decoding engine keeps its connections open. Guards against renewing the
/// other engines' reservations until the caller's deadline.
#[test]
fn memory_is_released_when_decoding_engine_is_deregistered() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut node).len();
    finish_reservation(&mut node, request, true);
    let to = node.take_only_send();
    node.advance(Duration::from_millis(800));
    take_orders(&mut node);
    node.step(Event::Servers(ServerChange::Removed(to.instance.clone())));
    assert_eq!(take_released(&mut node).len(), reserved);
    node.advance(Duration::from_millis(1_600));
    assert!(take_orders(&mut node)
        .iter()
        .all(|order| order.tokens.is_none()));
}

/// Some engines finish their requests after deregistering, so a started stream still needs
/// its memory.
#[test]
fn started_stream_retains_memory_when_engine_is_deregistered() {
    let mut node = TestRouter::new();
    let request = node.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut node).len();
    finish_reservation(&mut node, request, true);
    let to = node.take_only_send();
    node.advance(Duration::from_millis(800));
    node.step(Event::Started { request });
    take_orders(&mut node);
    node.step(Event::Servers(ServerChange::Removed(to.instance.clone())));
    assert!(take_released(&mut node).is_empty());
    node.advance(Duration::from_millis(1_600));
    assert_eq!(take_orders(&mut node).len(), reserved);
}
