//! What servers say of themselves in their answers, and beliefs that end.

use std::time::Duration;

use notchwalk_route::{AttemptEnd, Effect, Event, Refusal, ServerChange, ServerKey, ServerWord};

use crate::common::{born, key, present, record, Rig, DESK, ENGINES};

fn say(rig: &mut Rig, service: &str, number: u8, word: ServerWord) {
    let server = key(rig, service, number);
    rig.step(Event::ServerSaid { server, word });
}

fn say_leaving(rig: &mut Rig, service: &str, numbers: impl IntoIterator<Item = u8>) {
    for number in numbers {
        say(rig, service, number, ServerWord::Leaving);
    }
}

/// Tells whether a server is among those that 30 calls at once go to.
fn is_used(rig: &mut Rig, instance: &str) -> bool {
    let calls: Vec<_> = (0..30).map(|_| rig.arrive("/again/", 0)).collect();
    let used = rig.sends().iter().any(|(_, to)| to.instance == instance);
    for request in calls {
        rig.end(request, AttemptEnd::Delivered { healthy: true });
    }
    used
}

fn wants_nothing(rig: &mut Rig, number: u8, seconds: u64) {
    let word = ServerWord::WantsNothing(Duration::from_secs(seconds));
    say(rig, DESK, number, word);
}

#[test]
fn a_server_that_says_it_leaves_gets_no_first_send() {
    let mut rig = Rig::new();
    say_leaving(&mut rig, DESK, [0]);
    assert!(!is_used(&mut rig, "desk-0"));
}

/// Ends the first send of a request of `path` and returns where it goes then, where one
/// of the two other servers says that it leaves: the lower one, or the higher one.
fn second_send(service: &str, path: &str, tokens: u32, lower: bool) -> (String, String) {
    let mut rig = Rig::named("entry-1", 3);
    let request = rig.arrive(path, tokens);
    let first = rig.only_send().instance;
    if tokens > 0 {
        rig.step(Event::Started { request });
    }
    let is_other = |number: &u8| record(service, *number).instance != first;
    let mut others: Vec<u8> = (0..3).filter(is_other).collect();
    if !lower {
        others.reverse();
    }
    say_leaving(&mut rig, service, [others[0]]);
    rig.end(request, AttemptEnd::Broken);
    (
        rig.only_send().instance,
        record(service, others[1]).instance,
    )
}

#[test]
fn a_retry_does_not_go_to_a_server_that_says_it_leaves() {
    for lower in [false, true] {
        let (went, allowed) = second_send(DESK, "/again/", 0, lower);
        assert_eq!(went, allowed);
    }
}

#[test]
fn a_stream_is_not_resumed_on_a_server_that_says_it_leaves() {
    for lower in [false, true] {
        let (went, allowed) = second_send(ENGINES, "/short/", 3_000, lower);
        assert_eq!(went, allowed);
    }
}

#[test]
fn an_engine_that_says_it_leaves_reads_no_part_of_a_long_prompt() {
    let mut rig = Rig::new();
    say_leaving(&mut rig, ENGINES, 0..12);
    rig.arrive("/long/", 154_000);
    let to = rig.only_send();
    assert!(!to.helpers.is_empty(), "it is spread");
    let addrs = to.helpers.iter().map(|helper| helper.addr);
    let gone: Vec<_> = (0..12).map(|n| record(ENGINES, n).addr).collect();
    assert!(addrs.chain([to.addr]).all(|addr| !gone.contains(&addr)));
}

/// An engine says that it leaves while memory is being set aside on it: the request is
/// not sent there, and the memory is given back.
#[test]
fn a_request_that_reserves_on_a_leaving_engine_moves() {
    let mut rig = Rig::new();
    let request = rig.arrive("/long/", 600_000);
    let reserve = |effect: &Effect| match effect {
        Effect::Reserve { orders, .. } => Some(orders.clone()),
        _ => None,
    };
    let orders = rig.effects.iter().find_map(reserve).expect("orders");
    rig.effects.clear();
    let addr = orders[0].addr;
    let number = (0..18).find(|&n| record(ENGINES, n).addr == addr);
    say_leaving(&mut rig, ENGINES, [number.expect("an engine")]);
    rig.step(Event::Reserved {
        request,
        failed: Vec::new(),
    });
    assert!(
        rig.sends().is_empty(),
        "it is sent to an engine that leaves"
    );
    let given_back = rig.effects.iter().filter(
        |effect| matches!(effect, Effect::Order(order) if order.tokens.is_none() && order.addr == addr),
    );
    assert_eq!(given_back.count(), 1);
    rig.effects.clear();
    rig.pass(Duration::from_millis(50));
    let orders = rig.effects.iter().find_map(reserve).expect("other engines");
    assert!(orders.iter().all(|order| order.addr != addr));
}

/// What stands in the store is older than what the server said itself.
#[test]
fn a_record_that_still_says_ready_does_not_unsay_that_a_server_leaves() {
    let mut rig = Rig::new();
    say_leaving(&mut rig, DESK, [0]);
    present(&mut rig, record(DESK, 0));
    assert!(!is_used(&mut rig, "desk-0"));
    let servers = (0..3).map(|number| record(DESK, number)).collect();
    rig.step(Event::Servers(ServerChange::Whole(servers)));
    assert!(!is_used(&mut rig, "desk-0"));
    rig.pass(Duration::from_secs(60));
    assert!(!is_used(&mut rig, "desk-0"));
}

#[test]
fn the_next_life_of_a_server_that_said_it_leaves_is_used() {
    let mut rig = Rig::new();
    present(&mut rig, born(0, 1_000));
    say_leaving(&mut rig, DESK, [0]);
    present(&mut rig, born(0, 1_000));
    assert!(!is_used(&mut rig, "desk-0"));
    present(&mut rig, born(0, 2_000));
    assert!(is_used(&mut rig, "desk-0"));
}

/// A record that lapses while the store is away comes back with the same life.
#[test]
fn a_life_that_said_it_leaves_is_not_used_when_its_record_is_gone_and_back() {
    let mut rig = Rig::new();
    present(&mut rig, born(0, 1_000));
    say_leaving(&mut rig, DESK, [0]);
    rig.step(Event::Servers(ServerChange::Gone("desk-0".to_owned())));
    present(&mut rig, born(0, 1_000));
    assert!(!is_used(&mut rig, "desk-0"));
    rig.step(Event::Servers(ServerChange::Gone("desk-0".to_owned())));
    present(&mut rig, born(0, 2_000));
    assert!(is_used(&mut rig, "desk-0"));
}

/// One that doesn't say when it started is another life once its record was gone.
#[test]
fn a_server_without_a_start_is_used_when_its_record_is_gone_and_back() {
    let mut rig = Rig::new();
    say_leaving(&mut rig, DESK, [0]);
    rig.step(Event::Servers(ServerChange::Gone("desk-0".to_owned())));
    present(&mut rig, record(DESK, 0));
    assert!(is_used(&mut rig, "desk-0"));
}

#[test]
fn a_server_that_wants_nothing_gets_nothing_until_its_time_is_over() {
    let mut rig = Rig::new();
    wants_nothing(&mut rig, 0, 3);
    assert!(!is_used(&mut rig, "desk-0"));
    rig.pass(Duration::from_millis(2_900));
    assert!(!is_used(&mut rig, "desk-0"));
    rig.pass(Duration::from_millis(200));
    assert!(is_used(&mut rig, "desk-0"));
}

#[test]
fn a_shorter_time_does_not_shorten_the_one_that_a_server_said_before() {
    let mut rig = Rig::new();
    wants_nothing(&mut rig, 0, 3);
    wants_nothing(&mut rig, 0, 1);
    rig.pass(Duration::from_secs(2));
    assert!(!is_used(&mut rig, "desk-0"));
}

#[test]
fn the_next_life_of_a_server_that_wants_nothing_is_used() {
    let mut rig = Rig::new();
    present(&mut rig, born(0, 1_000));
    wants_nothing(&mut rig, 0, 600);
    assert!(!is_used(&mut rig, "desk-0"));
    present(&mut rig, born(0, 2_000));
    assert!(is_used(&mut rig, "desk-0"));
}

fn refused(rig: &mut Rig, path: &str, tokens: u32) -> (Refusal, Option<Duration>) {
    rig.effects.clear();
    rig.arrive(path, tokens);
    assert!(rig.sends().is_empty());
    let refused = rig.effects.iter().find_map(|effect| match effect {
        Effect::Refuse {
            reason,
            retry_after,
            ..
        } => Some((*reason, *retry_after)),
        _ => None,
    });
    refused.expect("it is refused at once")
}

/// Held until their deadline, they would learn nothing more.
#[test]
fn callers_are_told_the_shortest_time_at_once_when_all_servers_want_nothing() {
    let mut rig = Rig::named("entry-1", 3);
    for number in 0..3 {
        wants_nothing(&mut rig, number, 5 + u64::from(number));
        let word = ServerWord::WantsNothing(Duration::from_secs(7 + u64::from(number)));
        say(&mut rig, ENGINES, number, word);
    }
    let at_desk = refused(&mut rig, "/once/", 0);
    assert_eq!(at_desk, (Refusal::NoServer, Some(Duration::from_secs(5))));
    let short = refused(&mut rig, "/short/", 3_000);
    assert_eq!(short, (Refusal::NoServer, Some(Duration::from_secs(7))));
    let long = refused(&mut rig, "/long/", 154_000);
    assert_eq!(long, (Refusal::NoServer, Some(Duration::from_secs(7))));
}

#[test]
fn callers_are_told_at_once_when_all_servers_leave() {
    let mut rig = Rig::named("entry-1", 3);
    say_leaving(&mut rig, ENGINES, 0..3);
    for (path, tokens) in [("/short/", 3_000), ("/long/", 154_000), ("/long/", 600_000)] {
        let (reason, retry_after) = refused(&mut rig, path, tokens);
        assert_eq!(reason, Refusal::NoServer);
        assert!(retry_after.is_some());
    }
}

/// One of four servers turned four requests away and got none of the next 3,000,
/// though it served again after four seconds: its failure rate fell with answers
/// alone, and it was given no request that could be answered.
#[test]
fn a_server_that_failed_is_used_again_when_time_has_passed() {
    let mut rig = Rig::new();
    let failing = key(&rig, DESK, 0);
    for _ in 0..4 {
        let calls: Vec<_> = (0..30).map(|_| rig.arrive("/again/", 0)).collect();
        for (request, to) in rig.sends() {
            let end = match to.server == failing {
                true => AttemptEnd::Broken,
                false => AttemptEnd::Delivered { healthy: true },
            };
            rig.end(request, end);
        }
        for request in calls {
            rig.step(Event::Abandoned { request });
        }
        rig.effects.clear();
        assert!(!is_used(&mut rig, "desk-0"), "it is distrusted");
        rig.pass(Duration::from_secs(4));
    }
    // Its pause after failures is over by then.
    rig.pass(Duration::from_secs(10));
    assert!(is_used(&mut rig, "desk-0"));
}

/// Failures of long ago are not in a row with a new one: one call that breaks then does
/// not close the server.
#[test]
fn one_failure_long_after_others_does_not_close_a_server() {
    let mut rig = Rig::new();
    let failing = key(&rig, DESK, 0);
    let closed = |rig: &mut Rig| {
        let calls: Vec<_> = (0..30).map(|_| rig.arrive("/again/", 0)).collect();
        let sends = rig.sends();
        let broken = sends.iter().find(|(_, to)| to.server == failing);
        let (broken, _) = broken.expect("it is used");
        rig.end(*broken, AttemptEnd::Broken);
        for request in calls {
            rig.step(Event::Abandoned { request });
        }
        let effects = std::mem::take(&mut rig.effects);
        let is_closed = |effect: &Effect| matches!(effect, Effect::Closed { .. });
        effects.iter().any(is_closed)
    };
    assert!(!closed(&mut rig));
    assert!(closed(&mut rig), "two in a row close it");
    rig.pass(Duration::from_secs(60));
    assert!(!closed(&mut rig));
}

/// Fails a server's calls until it is closed.
fn fail_until_closed(rig: &mut Rig, failing: ServerKey) {
    for _ in 0..2 {
        let calls: Vec<_> = (0..30).map(|_| rig.arrive("/again/", 0)).collect();
        for (request, to) in rig.sends() {
            if to.server == failing {
                rig.end(request, AttemptEnd::Broken);
            }
        }
        for request in calls {
            rig.step(Event::Abandoned { request });
        }
    }
    rig.effects.clear();
}

/// A server that served again after four seconds got none of 3,000 calls in the nine
/// seconds after it had failed four: at light load three times a tenth of distrust
/// outweighs any difference in use.
#[test]
fn a_server_that_failed_is_used_at_light_load_once_its_pause_is_over() {
    let mut rig = Rig::new();
    let failing = key(&rig, DESK, 0);
    fail_until_closed(&mut rig, failing);
    rig.pass(Duration::from_millis(4_100));
    let calls: Vec<_> = (0..4).map(|_| rig.arrive("/again/", 0)).collect();
    let used = rig.sends().iter().any(|(_, to)| to.server == failing);
    assert!(used);
    assert_eq!(calls.len(), 4);
}

/// One that hangs still must not get all that its rest left free for it: a single
/// request tells whether it is well.
#[test]
fn a_server_whose_pause_is_over_gets_one_request_until_it_answers() {
    let mut rig = Rig::new();
    let failing = key(&rig, DESK, 0);
    fail_until_closed(&mut rig, failing);
    rig.pass(Duration::from_millis(4_100));
    let _calls: Vec<_> = (0..30).map(|_| rig.arrive("/again/", 0)).collect();
    let sends = rig.sends();
    let there: Vec<_> = sends
        .iter()
        .filter(|(_, to)| to.server == failing)
        .collect();
    assert_eq!(there.len(), 1);
    rig.end(there[0].0, AttemptEnd::Delivered { healthy: true });
    let _calls: Vec<_> = (0..30).map(|_| rig.arrive("/again/", 0)).collect();
    let sends = rig.sends();
    let there = sends.iter().filter(|(_, to)| to.server == failing);
    assert!(there.count() > 5, "it is well");
}
