//! Memory set aside for prompts that exceed one engine.

use std::{collections::HashSet, time::Duration};

use notchwalk_route::{
    AttemptEnd, Effect, Event, FailedReservation, RequestKey, ReservationOrder, ServerChange,
    ServerRecord,
};

use crate::common::Rig;

const OVERSIZED: u32 = 400_000;

fn reserves(rig: &mut Rig) -> Vec<ReservationOrder> {
    let mut all = Vec::new();
    rig.effects.retain(|effect| match effect {
        Effect::Reserve { orders, .. } => {
            all.extend(orders.iter().cloned());
            false
        }
        _ => true,
    });
    all
}

fn orders(rig: &mut Rig) -> Vec<ReservationOrder> {
    let mut all = Vec::new();
    rig.effects.retain(|effect| match effect {
        Effect::Order(order) => {
            all.push(order.clone());
            false
        }
        _ => true,
    });
    all
}

fn given_back(rig: &mut Rig) -> HashSet<std::net::SocketAddr> {
    let orders = orders(rig);
    let ended = orders.iter().filter(|order| order.tokens.is_none());
    ended.map(|order| order.addr).collect()
}

fn granted(rig: &mut Rig, request: RequestKey, granted: bool) {
    let refused = FailedReservation {
        addr: "10.9.9.9:80".parse().unwrap(),
        unreachable: false,
    };
    let failed = if granted { Vec::new() } else { vec![refused] };
    rig.step(Event::Reserved { request, failed });
}

#[test]
fn an_oversized_prompt_is_sent_only_once_memory_is_set_aside_for_all_of_it() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", OVERSIZED);
    assert!(rig.sends().is_empty());
    let placed = reserves(&mut rig);
    let sum: u32 = placed.iter().filter_map(|order| order.tokens).sum();
    assert!(sum > OVERSIZED, "{sum}");
    granted(&mut rig, request, true);
    let to = rig.only_send();
    let tickets = to
        .helpers
        .iter()
        .filter(|helper| helper.reservation.is_some());
    assert_eq!(tickets.count(), placed.len());
    assert!(to.helpers.iter().any(|helper| helper.addr == to.addr));
}

/// Found on a grown deployment: an engine refused a request that named 17
/// engines, its own reservation among them.
#[test]
fn no_more_than_sixteen_engines_are_named() {
    for tokens in [320_000, OVERSIZED, 700_000] {
        let mut rig = Rig::named("entry-1", 60);
        let request = rig.arrive("/long/", tokens);
        if reserves(&mut rig).is_empty() {
            continue;
        }
        granted(&mut rig, request, true);
        assert!(rig.only_send().helpers.len() <= 16);
    }
}

#[test]
fn memory_is_given_back_whichever_way_a_request_ends() {
    let ends: [fn(&mut Rig, RequestKey); 3] = [
        |rig, request| rig.end(request, AttemptEnd::Delivered { healthy: true }),
        |rig, request| rig.step(Event::Abandoned { request }),
        |rig, request| rig.end(request, AttemptEnd::Broken),
    ];
    for end in ends {
        let mut rig = Rig::new();
        let request = rig.arrive("/long/", OVERSIZED);
        let placed = reserves(&mut rig);
        granted(&mut rig, request, true);
        orders(&mut rig);
        end(&mut rig, request);
        let placed: HashSet<_> = placed.iter().map(|order| order.addr).collect();
        assert_eq!(given_back(&mut rig), placed);
    }
}

#[test]
fn what_was_not_granted_is_given_back_and_the_request_waits() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", OVERSIZED);
    let placed = reserves(&mut rig).len();
    granted(&mut rig, request, false);
    assert_eq!(given_back(&mut rig).len(), placed);
    assert!(rig.sends().is_empty());
}

#[test]
fn a_reservation_in_use_is_renewed_before_it_lapses() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", OVERSIZED);
    let placed = reserves(&mut rig);
    granted(&mut rig, request, true);
    let hold = placed[0].hold;
    let mut renewed = 0;
    let mut passed = Duration::ZERO;
    while passed < hold {
        rig.pass(Duration::from_millis(100));
        passed += Duration::from_millis(100);
        renewed += orders(&mut rig)
            .iter()
            .filter(|o| o.tokens.is_some())
            .count();
    }
    assert!(renewed >= 2 * placed.len(), "{renewed}");
}

/// A hold must end within four seconds of its request: that of an entry that
/// died lapses by itself.
#[test]
fn a_hold_is_shorter_than_the_time_by_which_memory_must_be_free() {
    let mut rig = Rig::new();
    rig.arrive("/long/", OVERSIZED);
    for order in reserves(&mut rig) {
        assert!(order.hold < Duration::from_millis(4_000));
    }
}

/// An order whose answer was lost may be carried out up to twelve seconds
/// later: giving back goes on until then, whichever order it was.
#[test]
fn giving_back_is_repeated_after_a_lost_answer() {
    for lost_is_release in [false, true] {
        let mut rig = Rig::new();
        let request = rig.arrive("/long/", OVERSIZED);
        let placed = reserves(&mut rig);
        granted(&mut rig, request, true);
        let tokens = placed[0].tokens.filter(|_| !lost_is_release);
        let lost = ReservationOrder {
            tokens,
            ..placed[0].clone()
        };
        rig.step(Event::Unanswered(lost));
        rig.step(Event::Abandoned { request });
        orders(&mut rig);
        for _ in 0..11 {
            rig.pass(Duration::from_millis(1_000));
        }
        let again = orders(&mut rig);
        let ended = again.iter().filter(|order| order.tokens.is_none());
        assert!(ended.clone().count() >= 5);
        assert!(ended.clone().all(|order| order.addr == placed[0].addr));
        for _ in 0..4 {
            rig.pass(Duration::from_millis(1_000));
        }
        orders(&mut rig);
        rig.pass(Duration::from_millis(2_000));
        assert!(orders(&mut rig).is_empty(), "it ends some time");
    }
}

#[test]
fn what_was_answered_is_not_repeated() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", OVERSIZED);
    reserves(&mut rig);
    granted(&mut rig, request, true);
    rig.end(request, AttemptEnd::Delivered { healthy: true });
    orders(&mut rig);
    rig.pass(Duration::from_millis(2_000));
    assert!(orders(&mut rig).is_empty());
}

/// Two entries that started in the
/// same microsecond used the same id on one engine.
#[test]
fn ids_differ_between_entries_and_requests() {
    let mut ids = HashSet::new();
    for name in ["entry-1", "entry-2"] {
        let mut rig = Rig::named(name, 18);
        for _ in 0..2 {
            let request = rig.arrive("/long/", OVERSIZED);
            let orders = reserves(&mut rig);
            assert!(ids.insert(orders[0].id.clone()));
            granted(&mut rig, request, true);
            rig.end(request, AttemptEnd::Delivered { healthy: true });
        }
    }
}

#[test]
fn an_oversized_prompt_is_refused_early_while_the_fleet_is_busy() {
    let mut rig = Rig::named("entry-1", 3);
    for _ in 0..40 {
        rig.arrive("/short/", 5_000);
    }
    rig.sends();
    let arrived = rig.now;
    rig.arrive("/long/", OVERSIZED);
    while rig.refusals().is_empty() {
        rig.pass(Duration::from_millis(15));
    }
    assert!(rig.now.since(arrived) < Duration::from_millis(750));
    assert!(rig.refusals()[0].has_not_run());
}

/// One engine had crashed, and memory
/// was ordered on it and fifteen others with every tick, 453 times for nobody.
#[test]
fn an_engine_that_can_not_be_reached_gets_no_further_order_for_memory() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", OVERSIZED);
    let dead = reserves(&mut rig)[0].addr;
    let failed = FailedReservation {
        addr: dead,
        unreachable: true,
    };
    rig.step(Event::Reserved {
        request,
        failed: vec![failed],
    });
    let mut rounds = 0;
    for _ in 0..20 {
        rig.pass(Duration::from_millis(15));
        let placed = reserves(&mut rig);
        assert!(
            placed.iter().all(|order| order.addr != dead),
            "round {rounds}"
        );
        rounds += usize::from(!placed.is_empty());
    }
    assert_eq!(rounds, 1);
}

/// The same of an engine without the memory: for this request it is left out.
#[test]
fn an_engine_without_the_memory_is_left_out_of_the_next_round() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", OVERSIZED);
    let full = reserves(&mut rig)[0].addr;
    let failed = FailedReservation {
        addr: full,
        unreachable: false,
    };
    rig.step(Event::Reserved {
        request,
        failed: vec![failed],
    });
    rig.pass(Duration::from_millis(15));
    let placed = reserves(&mut rig);
    assert!(!placed.is_empty());
    assert!(placed.iter().all(|order| order.addr != full));
}

/// An engine that starts again under its id holds nothing; a renewal would set memory
/// aside there that no request uses.
#[test]
fn nothing_is_renewed_on_an_engine_that_started_again() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", OVERSIZED);
    let placed = reserves(&mut rig);
    granted(&mut rig, request, true);
    rig.sends();
    let again = &placed[0];
    let key = rig.router.fleet().by_addr(again.addr).expect("on record");
    let server = rig.router.fleet().get(key).expect("on record");
    let reborn = ServerRecord {
        born: Some(2),
        ..server.record.clone()
    };
    rig.step(Event::Servers(ServerChange::Present(reborn)));
    orders(&mut rig);
    rig.pass(Duration::from_millis(1_600));
    let renewed: HashSet<_> = orders(&mut rig).iter().map(|order| order.addr).collect();
    assert!(!renewed.contains(&again.addr));
    assert_eq!(renewed.len(), placed.len() - 1);
}

/// An entry whose machine was suspended for longer than its reservations hold renewed
/// them: the engines had cut the request and set the memory aside anew.
#[test]
fn what_lapsed_while_the_machine_was_suspended_is_not_renewed() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", OVERSIZED);
    let placed = reserves(&mut rig).len();
    granted(&mut rig, request, true);
    rig.sends();
    rig.pass(Duration::from_millis(1_600));
    assert_eq!(orders(&mut rig).len(), placed, "renewed while it runs");
    rig.pass(Duration::from_millis(4_000));
    let renewed = orders(&mut rig);
    assert!(
        renewed.iter().all(|order| order.tokens.is_none()),
        "{renewed:?}"
    );
    rig.end(request, AttemptEnd::Broken);
    assert_eq!(given_back(&mut rig).len(), placed);
}

/// The engine that was to generate fell silent for good: its connections stayed open,
/// and no other set of engines was free, so that the request was kept. Its memory on
/// the other engines was renewed for seven seconds after its end. Evidence: the request
/// reached the engine, which was gone 0.8 s later; the engine's record went, and the
/// renewals went on until the caller's deadline.
#[test]
fn memory_is_given_back_when_the_engine_that_generates_goes_off_the_record() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", OVERSIZED);
    let placed = reserves(&mut rig).len();
    granted(&mut rig, request, true);
    let to = rig.only_send();
    rig.pass(Duration::from_millis(800));
    orders(&mut rig);
    rig.step(Event::Servers(ServerChange::Gone(to.instance.clone())));
    assert_eq!(given_back(&mut rig).len(), placed);
    rig.pass(Duration::from_millis(1_600));
    assert!(orders(&mut rig).iter().all(|order| order.tokens.is_none()));
}

/// Some engines go off the record and finish what they have: an answer that has begun
/// needs its memory.
#[test]
fn an_answer_that_has_begun_keeps_its_memory_when_its_engine_leaves() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", OVERSIZED);
    let placed = reserves(&mut rig).len();
    granted(&mut rig, request, true);
    let to = rig.only_send();
    rig.pass(Duration::from_millis(800));
    rig.step(Event::Started { request });
    orders(&mut rig);
    rig.step(Event::Servers(ServerChange::Gone(to.instance.clone())));
    assert!(given_back(&mut rig).is_empty());
    rig.pass(Duration::from_millis(1_600));
    assert_eq!(orders(&mut rig).len(), placed);
}
