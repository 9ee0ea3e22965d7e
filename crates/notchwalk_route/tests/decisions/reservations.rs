//! Memory reservations for prompts that exceed one engine.

use std::{collections::HashSet, time::Duration};

use notchwalk_route::{
    AttemptEnd, Effect, Event, FailedReservation, RequestKey, ReservationOrder, ServerChange,
    ServerRecord,
};

use crate::common::TestRouter;

const OVERSIZED_TOKENS: u32 = 400_000;

fn take_reservations(rig: &mut TestRouter) -> Vec<ReservationOrder> {
    let mut taken = Vec::new();
    rig.effects.retain(|effect| match effect {
        Effect::Reserve { orders, .. } => {
            taken.extend(orders.iter().cloned());
            false
        }
        _ => true,
    });
    taken
}

fn take_orders(rig: &mut TestRouter) -> Vec<ReservationOrder> {
    let mut taken = Vec::new();
    rig.effects.retain(|effect| match effect {
        Effect::SendReservationOrder(order) => {
            taken.push(order.clone());
            false
        }
        _ => true,
    });
    taken
}

fn take_released(rig: &mut TestRouter) -> HashSet<std::net::SocketAddr> {
    let orders = take_orders(rig);
    let releases = orders.iter().filter(|order| order.tokens.is_none());
    releases.map(|order| order.addr).collect()
}

fn finish_reservation(rig: &mut TestRouter, request: RequestKey, granted: bool) {
    let refused = FailedReservation {
        addr: "10.9.9.9:80".parse().unwrap(),
        unreachable: false,
    };
    let failed = if granted { Vec::new() } else { vec![refused] };
    rig.step(Event::Reserved { request, failed });
}

#[test]
fn oversized_prompt_is_sent_after_all_memory_is_reserved() {
    let mut rig = TestRouter::new();
    let request = rig.arrive("/long/", OVERSIZED_TOKENS);
    assert!(rig.take_sends().is_empty());
    let reserved = take_reservations(&mut rig);
    let sum: u32 = reserved.iter().filter_map(|order| order.tokens).sum();
    assert!(sum > OVERSIZED_TOKENS, "{sum}");
    finish_reservation(&mut rig, request, true);
    let to = rig.take_only_send();
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
        let mut rig = TestRouter::with_engines("entry-1", 60);
        let request = rig.arrive("/long/", tokens);
        if take_reservations(&mut rig).is_empty() {
            continue;
        }
        finish_reservation(&mut rig, request, true);
        assert!(rig.take_only_send().prefill_workers.len() <= 16);
    }
}

#[test]
fn memory_is_released_on_every_request_end() {
    let ends: [fn(&mut TestRouter, RequestKey); 3] = [
        |rig, request| rig.end_attempt(request, AttemptEnd::Delivered { is_success: true }),
        |rig, request| rig.step(Event::Abandoned { request }),
        |rig, request| rig.end_attempt(request, AttemptEnd::ConnectionLost),
    ];
    for end in ends {
        let mut rig = TestRouter::new();
        let request = rig.arrive("/long/", OVERSIZED_TOKENS);
        let reserved = take_reservations(&mut rig);
        finish_reservation(&mut rig, request, true);
        take_orders(&mut rig);
        end(&mut rig, request);
        let reserved: HashSet<_> = reserved.iter().map(|order| order.addr).collect();
        assert_eq!(take_released(&mut rig), reserved);
    }
}

#[test]
fn failed_reservation_is_released_and_request_is_queued() {
    let mut rig = TestRouter::new();
    let request = rig.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut rig).len();
    finish_reservation(&mut rig, request, false);
    assert_eq!(take_released(&mut rig).len(), reserved);
    assert!(rig.take_sends().is_empty());
}

#[test]
fn active_reservation_is_renewed_before_it_expires() {
    let mut rig = TestRouter::new();
    let request = rig.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut rig);
    finish_reservation(&mut rig, request, true);
    let ttl = reserved[0].ttl;
    let mut renewed = 0;
    let mut elapsed = Duration::ZERO;
    while elapsed < ttl {
        rig.advance(Duration::from_millis(100));
        elapsed += Duration::from_millis(100);
        renewed += take_orders(&mut rig)
            .iter()
            .filter(|o| o.tokens.is_some())
            .count();
    }
    assert!(renewed >= 2 * reserved.len(), "{renewed}");
}

/// Memory must be free within 4 s of the end of a request, also if the node crashed.
#[test]
fn reservation_expires_within_release_limit() {
    let mut rig = TestRouter::new();
    rig.arrive("/long/", OVERSIZED_TOKENS);
    for order in take_reservations(&mut rig) {
        assert!(order.ttl < Duration::from_millis(4_000));
    }
}

/// An order whose response was lost may be executed up to 12 s later, so the release is
/// repeated until then.
#[test]
fn release_is_repeated_after_lost_response() {
    for lost_is_release in [false, true] {
        let mut rig = TestRouter::new();
        let request = rig.arrive("/long/", OVERSIZED_TOKENS);
        let reserved = take_reservations(&mut rig);
        finish_reservation(&mut rig, request, true);
        let tokens = reserved[0].tokens.filter(|_| !lost_is_release);
        let lost = ReservationOrder {
            tokens,
            ..reserved[0].clone()
        };
        rig.step(Event::ReservationUnanswered(lost));
        rig.step(Event::Abandoned { request });
        take_orders(&mut rig);
        for _ in 0..11 {
            rig.advance(Duration::from_millis(1_000));
        }
        let repeated = take_orders(&mut rig);
        let releases = repeated.iter().filter(|order| order.tokens.is_none());
        assert!(releases.clone().count() >= 5);
        assert!(releases.clone().all(|order| order.addr == reserved[0].addr));
        for _ in 0..4 {
            rig.advance(Duration::from_millis(1_000));
        }
        take_orders(&mut rig);
        rig.advance(Duration::from_millis(2_000));
        assert!(
            take_orders(&mut rig).is_empty(),
            "the release is repeated too long"
        );
    }
}

#[test]
fn acknowledged_release_is_not_repeated() {
    let mut rig = TestRouter::new();
    let request = rig.arrive("/long/", OVERSIZED_TOKENS);
    take_reservations(&mut rig);
    finish_reservation(&mut rig, request, true);
    rig.end_attempt(request, AttemptEnd::Delivered { is_success: true });
    take_orders(&mut rig);
    rig.advance(Duration::from_millis(2_000));
    assert!(take_orders(&mut rig).is_empty());
}

/// Guards against id collisions between nodes that start in the same microsecond.
#[test]
fn reservation_ids_differ_between_nodes_and_requests() {
    let mut ids = HashSet::new();
    for name in ["entry-1", "entry-2"] {
        let mut rig = TestRouter::with_engines(name, 18);
        for _ in 0..2 {
            let request = rig.arrive("/long/", OVERSIZED_TOKENS);
            let orders = take_reservations(&mut rig);
            assert!(ids.insert(orders[0].id.clone()));
            finish_reservation(&mut rig, request, true);
            rig.end_attempt(request, AttemptEnd::Delivered { is_success: true });
        }
    }
}

#[test]
fn oversized_prompt_is_refused_early_on_busy_fleet() {
    let mut rig = TestRouter::with_engines("entry-1", 3);
    for _ in 0..40 {
        rig.arrive("/short/", 5_000);
    }
    rig.take_sends();
    let arrived_at = rig.now;
    rig.arrive("/long/", OVERSIZED_TOKENS);
    while rig.refusals().is_empty() {
        rig.advance(Duration::from_millis(15));
    }
    assert!(rig.now.since(arrived_at) < Duration::from_millis(750));
    assert!(rig.refusals()[0].has_not_run());
}

/// Guards against repeating reservations with an unreachable engine on every tick.
#[test]
fn unreachable_engine_gets_no_further_reservation_order() {
    let mut rig = TestRouter::new();
    let request = rig.arrive("/long/", OVERSIZED_TOKENS);
    let unreachable_addr = take_reservations(&mut rig)[0].addr;
    let failed = FailedReservation {
        addr: unreachable_addr,
        unreachable: true,
    };
    rig.step(Event::Reserved {
        request,
        failed: vec![failed],
    });
    let mut rounds = 0;
    for _ in 0..20 {
        rig.advance(Duration::from_millis(15));
        let reserved = take_reservations(&mut rig);
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
    let mut rig = TestRouter::new();
    let request = rig.arrive("/long/", OVERSIZED_TOKENS);
    let full = take_reservations(&mut rig)[0].addr;
    let failed = FailedReservation {
        addr: full,
        unreachable: false,
    };
    rig.step(Event::Reserved {
        request,
        failed: vec![failed],
    });
    rig.advance(Duration::from_millis(15));
    let reserved = take_reservations(&mut rig);
    assert!(!reserved.is_empty());
    assert!(reserved.iter().all(|order| order.addr != full));
}

/// A restarted engine holds no reservations; a renewal would reserve memory that no request
/// uses.
#[test]
fn reservation_is_not_renewed_on_restarted_engine() {
    let mut rig = TestRouter::new();
    let request = rig.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut rig);
    finish_reservation(&mut rig, request, true);
    rig.take_sends();
    let engine = &reserved[0];
    let key = rig
        .router
        .fleet()
        .by_addr(engine.addr)
        .expect("server is registered");
    let server = rig.router.fleet().get(key).expect("server is registered");
    let restarted = ServerRecord {
        started_ms: Some(2),
        ..server.record.clone()
    };
    rig.step(Event::Servers(ServerChange::Registered(restarted)));
    take_orders(&mut rig);
    rig.advance(Duration::from_millis(1_600));
    let renewed: HashSet<_> = take_orders(&mut rig)
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
    let mut rig = TestRouter::new();
    let request = rig.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut rig).len();
    finish_reservation(&mut rig, request, true);
    rig.take_sends();
    rig.advance(Duration::from_millis(1_600));
    assert_eq!(
        take_orders(&mut rig).len(),
        reserved,
        "active reservations must be renewed"
    );
    rig.advance(Duration::from_millis(4_000));
    let renewed = take_orders(&mut rig);
    assert!(
        renewed.iter().all(|order| order.tokens.is_none()),
        "{renewed:?}"
    );
    rig.end_attempt(request, AttemptEnd::ConnectionLost);
    assert_eq!(take_released(&mut rig).len(), reserved);
}

/// An unresponsive decoding engine keeps its connections open. Guards against renewing the
/// other engines' reservations until the caller's deadline.
#[test]
fn memory_is_released_when_decoding_engine_is_deregistered() {
    let mut rig = TestRouter::new();
    let request = rig.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut rig).len();
    finish_reservation(&mut rig, request, true);
    let to = rig.take_only_send();
    rig.advance(Duration::from_millis(800));
    take_orders(&mut rig);
    rig.step(Event::Servers(ServerChange::Removed(to.instance.clone())));
    assert_eq!(take_released(&mut rig).len(), reserved);
    rig.advance(Duration::from_millis(1_600));
    assert!(take_orders(&mut rig)
        .iter()
        .all(|order| order.tokens.is_none()));
}

/// Some engines finish their requests after deregistering, so a started stream still needs
/// its memory.
#[test]
fn started_stream_retains_memory_when_engine_is_deregistered() {
    let mut rig = TestRouter::new();
    let request = rig.arrive("/long/", OVERSIZED_TOKENS);
    let reserved = take_reservations(&mut rig).len();
    finish_reservation(&mut rig, request, true);
    let to = rig.take_only_send();
    rig.advance(Duration::from_millis(800));
    rig.step(Event::Started { request });
    take_orders(&mut rig);
    rig.step(Event::Servers(ServerChange::Removed(to.instance.clone())));
    assert!(take_released(&mut rig).is_empty());
    rig.advance(Duration::from_millis(1_600));
    assert_eq!(take_orders(&mut rig).len(), reserved);
}
