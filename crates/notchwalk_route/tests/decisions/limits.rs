//! Servers that name how many requests a second they take from all entries together.

use std::time::Duration;

use notchwalk_route::{
    AttemptEnd, Effect, Event, RateLimit, Refusal, RequestKey, ServerChange, ServerWord, Sharing,
    Told, ToldLimit,
};

use crate::common::{born, content, key, present, record, Rig, DESK, ENGINES};

const SECOND: Duration = Duration::from_secs(1);

/// Has a server say something of its limit in the answer to a request that was sent
/// `age` ago.
fn say_aged(rig: &mut Rig, service: &str, number: u8, rate: Option<f64>, age: Duration) {
    let server = key(rig, service, number);
    let limit = rate.and_then(RateLimit::per_second);
    let asked = rig.now.before(age);
    let word = ServerWord::Limit { limit, asked };
    rig.step(Event::ServerSaid { server, word });
}

fn say(rig: &mut Rig, service: &str, number: u8, rate: f64) {
    say_aged(rig, service, number, Some(rate), Duration::ZERO);
}

/// Has all servers of a service name a limit.
fn say_all(rig: &mut Rig, service: &str, count: u8, rate: f64) {
    for number in 0..count {
        say(rig, service, number, rate);
    }
}

fn limit(rig: &Rig, service: &str, number: u8) -> Option<f64> {
    let server = rig.router.fleet().get(key(rig, service, number));
    server.and_then(|s| s.limit()).map(RateLimit::rate)
}

fn allowance(rig: &Rig, service: &str, number: u8) -> f64 {
    let server = rig.router.fleet().get(key(rig, service, number));
    server.and_then(|s| s.allowance(rig.now)).expect("a limit")
}

/// Spends what `servers` servers allow, one request each.
fn spend(rig: &mut Rig, path: &str, tokens: u32, servers: usize) {
    for _ in 0..servers {
        let request = rig.arrive(path, tokens);
        rig.end(request, AttemptEnd::Delivered { healthy: true });
    }
    assert_eq!(rig.sends().len(), servers);
}

fn refused(rig: &Rig, request: RequestKey) -> Option<(Refusal, Duration)> {
    rig.effects.iter().find_map(|effect| match effect {
        Effect::Refuse {
            request: refused,
            reason,
            retry_after,
        } if *refused == request => Some((*reason, retry_after.unwrap_or_default())),
        _ => None,
    })
}

#[test]
fn first_sends_stay_within_the_limits() {
    let mut rig = Rig::new();
    say_all(&mut rig, DESK, 3, 1.0);
    for _ in 0..20 {
        rig.arrive("/again/", 0);
    }
    assert_eq!(rig.sends().len(), 0, "a limit begins with nothing allowed");
    let mut sent = 0;
    for _ in 0..600 {
        rig.pass(Duration::from_millis(15));
        rig.arrive("/again/", 0);
        sent += rig.sends().len();
    }
    assert!((24..=27).contains(&sent), "{sent} of 27 in 9 s");
}

/// Returns when a request is sent on that failed on its first server, where the others
/// allow none at that time.
fn sent_again_after(service: &str, path: &str, tokens: u32) -> Duration {
    let mut rig = Rig::named("entry-1", 3);
    say_all(&mut rig, service, 3, 1.0);
    rig.pass(5 * SECOND);
    spend(&mut rig, path, tokens, 2);
    let request = rig.arrive(path, tokens);
    assert_eq!(rig.sends().len(), 1);
    if tokens > 0 {
        rig.step(Event::Started { request });
    }
    let failed_at = rig.now;
    rig.end(request, AttemptEnd::Broken);
    while rig.sends().is_empty() {
        assert!(
            rig.now.since(failed_at) < 5 * SECOND,
            "{:?}",
            rig.refusals()
        );
        rig.pass(Duration::from_millis(15));
    }
    rig.now.since(failed_at)
}

/// Refused, it would be lost: it may have run.
#[test]
fn a_retry_waits_for_what_the_other_servers_allow() {
    let after = sent_again_after(DESK, "/again/", 0);
    assert!(after > Duration::from_millis(700), "{after:?}");
}

/// Broken off, its caller has half of an answer.
#[test]
fn a_stream_is_resumed_when_the_other_servers_allow_it() {
    let after = sent_again_after(ENGINES, "/short/", 3_000);
    assert!(after > Duration::from_millis(700), "{after:?}");
}

#[test]
fn engines_with_low_limits_read_no_parts_of_long_prompts() {
    let mut rig = Rig::new();
    say_all(&mut rig, ENGINES, 12, 1.0);
    rig.pass(5 * SECOND);
    rig.arrive("/long/", 154_000);
    let to = rig.only_send();
    assert!(!to.helpers.is_empty(), "it is spread");
    let limited: Vec<_> = (0..12).map(|n| record(ENGINES, n).addr).collect();
    assert!(to
        .helpers
        .iter()
        .all(|helper| !limited.contains(&helper.addr)));
}

#[test]
fn parts_and_orders_for_memory_count() {
    let mut rig = Rig::new();
    say_all(&mut rig, ENGINES, 18, 40.0);
    rig.pass(5 * SECOND);
    let before: Vec<f64> = (0..18).map(|n| allowance(&rig, ENGINES, n)).collect();
    let request = rig.arrive("/long/", 600_000);
    let reserve = |effect: &Effect| match effect {
        Effect::Reserve { orders, .. } => Some(orders.clone()),
        _ => None,
    };
    let orders = rig.effects.iter().find_map(reserve).expect("orders");
    let number = (0..18).find(|&n| record(ENGINES, n).addr == orders[0].addr);
    let number = number.expect("an engine");
    let at_start = before[usize::from(number)];
    // The order, and the request or its part.
    assert!((allowance(&rig, ENGINES, number) - (at_start - 2.0)).abs() < 0.01);
    let addr = orders[0].addr;
    let unreachable = false;
    let failed = vec![notchwalk_route::FailedReservation { addr, unreachable }];
    rig.step(Event::Reserved { request, failed });
    // The part was not sent; the memory is given back, also where none is allowed.
    assert!((allowance(&rig, ENGINES, number) - (at_start - 2.0)).abs() < 0.01);
}

#[test]
fn what_reached_no_server_is_given_back() {
    for end in [AttemptEnd::NotConnected, AttemptEnd::NotSent] {
        let mut rig = Rig::new();
        say_all(&mut rig, DESK, 3, 1.0);
        rig.pass(5 * SECOND);
        let full = allowance(&rig, DESK, 0);
        let request = rig.arrive("/again/", 0);
        let to = rig.only_send().instance;
        rig.end(request, end);
        let number = (0..3).find(|&n| record(DESK, n).instance == to);
        let number = number.expect("a desk");
        let left = allowance(&rig, DESK, number);
        let sent_there_again = rig.sends().iter().any(|(_, again)| again.instance == to);
        let expected = if sent_there_again { full - 1.0 } else { full };
        assert!((left - expected).abs() < 0.01, "{end:?}: {left} of {full}");
    }
}

/// Returns what one entry tells others.
fn told(rig: &Rig) -> Vec<ToldLimit> {
    rig.router
        .fleet()
        .limits_to_tell(Told::FirstHand, 48, rig.now)
}

fn tell(from: &Rig, to: &mut Rig, name: &str, peer: u32) {
    to.step(Event::ToldLimits {
        peer,
        name: name.to_owned(),
        near: true,
        limits: told(from),
    });
}

/// An entry that gets no answer of a server would overrun it.
#[test]
fn entries_hear_of_limits_from_peers_and_do_not_tell_them_on() {
    let mut first = Rig::named("entry-1", 3);
    let mut second = Rig::named("entry-2", 3);
    say(&mut first, DESK, 0, 2.0);
    tell(&first, &mut second, "entry-1", 1);
    assert_eq!(limit(&second, DESK, 0), Some(2.0));
    assert!(told(&second).iter().all(|told| told.said.is_none()));
    first.pass(SECOND);
    second.pass(SECOND);
    say_aged(&mut first, DESK, 0, None, Duration::ZERO);
    tell(&first, &mut second, "entry-1", 1);
    assert_eq!(limit(&second, DESK, 0), None);
}

/// Of two entries only the first had answers of a server, and it starts again: the second,
/// which it had told, tells it in turn. Else it sent what callers asked until it had an
/// answer, seven in 4 s where none was to come (the suspended and restarted entry of a
/// random history; the others had been told and told nobody).
#[test]
fn an_entry_that_starts_is_told_what_it_told_itself() {
    let mut first = Rig::named("entry-1", 3);
    let mut second = Rig::named("entry-2", 3);
    say(&mut first, DESK, 0, 0.0);
    tell(&first, &mut second, "entry-1", 1);
    let mut first = Rig::just_started("entry-1", 3);
    let limits = second.router.fleet();
    let limits = limits.limits_to_tell(Told::All, 48, second.now);
    let name = "entry-2".to_owned();
    let peer = 2;
    first.step(Event::ToldLimits {
        peer,
        name,
        near: true,
        limits,
    });
    assert_eq!(limit(&first, DESK, 0), Some(0.0));
}

#[test]
fn what_peers_send_is_taken_from_what_is_allowed() {
    let mut rig = Rig::new();
    say(&mut rig, DESK, 0, 2.0);
    rig.pass(5 * SECOND);
    let full = allowance(&rig, DESK, 0);
    let server = told(&rig)[0].server;
    let mut tell = |sent| {
        let limits = vec![ToldLimit {
            server,
            said: None,
            sent,
            wants: false,
        }];
        let name = "entry-2".to_owned();
        let peer = 1;
        rig.step(Event::ToldLimits {
            peer,
            name,
            near: true,
            limits,
        });
        allowance(&rig, DESK, 0)
    };
    // What was sent before the first count is over.
    assert!((tell(70) - full).abs() < 0.01);
    assert!((tell(73) - (full - 3.0)).abs() < 0.01);
    // A datagram that is told again, and one that got lost.
    assert!((tell(73) - (full - 3.0)).abs() < 0.01);
    assert!((tell(75) - (full - 5.0)).abs() < 0.01);
    // The peer started again.
    assert!((tell(0) - (full - 5.0)).abs() < 0.01);
    assert!((tell(1) - (full - 6.0)).abs() < 0.01);
}

/// Silence of a peer gives nobody its part.
#[test]
fn entries_that_are_not_heard_keep_their_part() {
    let mut rig = Rig::new();
    rig.step(Event::Sharing(Sharing::new("entry-1", 4, 1)));
    say_all(&mut rig, DESK, 3, 4.0);
    let mut sent = 0;
    for _ in 0..800 {
        rig.pass(Duration::from_millis(15));
        rig.arrive("/again/", 0);
        sent += rig.sends().len();
    }
    assert!((32..=36).contains(&sent), "{sent} of 36 in 12 s");
}

/// Answers cross: one whose request is older says what was.
#[test]
fn the_answer_to_the_newer_request_counts() {
    let mut rig = Rig::new();
    let age = |ms| Duration::from_millis(ms);
    say_aged(&mut rig, DESK, 0, Some(2.0), age(100));
    say_aged(&mut rig, DESK, 0, None, age(300));
    assert_eq!(
        limit(&rig, DESK, 0),
        Some(2.0),
        "an older answer without it"
    );
    say_aged(&mut rig, DESK, 0, Some(5.0), age(300));
    assert_eq!(limit(&rig, DESK, 0), Some(2.0), "an older answer with more");
    say_aged(&mut rig, DESK, 0, Some(1.0), age(300));
    assert_eq!(limit(&rig, DESK, 0), Some(1.0), "the stricter one counts");
    say_aged(&mut rig, DESK, 0, Some(5.0), age(50));
    assert_eq!(limit(&rig, DESK, 0), Some(5.0));
    say_aged(&mut rig, DESK, 0, None, age(50));
    assert_eq!(limit(&rig, DESK, 0), None);
    say_aged(&mut rig, DESK, 0, Some(3.0), age(80));
    assert_eq!(
        limit(&rig, DESK, 0),
        Some(3.0),
        "a limit in error ends soon"
    );
    say_aged(&mut rig, DESK, 0, None, age(60));
    assert_eq!(limit(&rig, DESK, 0), None);
}

/// Of two entries one heard that the limit is over; the other still tells of it.
#[test]
fn what_a_peer_knew_before_does_not_bring_a_limit_back() {
    let mut first = Rig::named("entry-1", 3);
    let mut second = Rig::named("entry-2", 3);
    say(&mut first, DESK, 0, 2.0);
    say(&mut second, DESK, 0, 2.0);
    first.pass(SECOND);
    second.pass(SECOND);
    say_aged(&mut first, DESK, 0, None, Duration::ZERO);
    tell(&second, &mut first, "entry-2", 2);
    assert_eq!(limit(&first, DESK, 0), None);
}

#[test]
fn a_limit_ends_with_the_servers_life() {
    let mut rig = Rig::new();
    present(&mut rig, born(0, 1_000));
    say(&mut rig, DESK, 0, 2.0);
    present(&mut rig, born(0, 1_000));
    assert_eq!(limit(&rig, DESK, 0), Some(2.0));
    present(&mut rig, born(0, 2_000));
    assert_eq!(limit(&rig, DESK, 0), None);
}

/// A record lapses while the store is away; its server lives on, and says the same.
#[test]
fn a_limit_outlives_a_record_that_lapses() {
    let mut rig = Rig::new();
    say(&mut rig, DESK, 0, 2.0);
    let gone = ServerChange::Gone(record(DESK, 0).instance);
    rig.step(Event::Servers(gone));
    present(&mut rig, record(DESK, 0));
    assert_eq!(limit(&rig, DESK, 0), Some(2.0));
    let copied = ServerChange::Copied(record(DESK, 0));
    rig.step(Event::Servers(copied));
    assert_eq!(limit(&rig, DESK, 0), Some(2.0));
}

/// Only an answer says that a limit of zero is over.
#[test]
fn a_server_that_takes_nothing_is_tried_now_and_then() {
    let mut rig = Rig::named("entry-1", 3);
    say(&mut rig, DESK, 0, 0.0);
    let mut tried = 0;
    for _ in 0..1_000 {
        rig.pass(Duration::from_millis(15));
        let calls: Vec<_> = (0..4).map(|_| rig.arrive("/again/", 0)).collect();
        let sends = rig.sends();
        tried += sends
            .iter()
            .filter(|(_, to)| to.instance == "desk-0")
            .count();
        for request in calls {
            rig.end(request, AttemptEnd::Delivered { healthy: true });
        }
    }
    assert!((2..=3).contains(&tried), "{tried} tries in 15 s");
}

/// Of two words of one server the stricter one holds.
#[test]
fn a_limit_beside_other_words() {
    let wants_nothing = ServerWord::WantsNothing(3 * SECOND);
    for word in [ServerWord::Leaving, wants_nothing] {
        for limit_first in [false, true] {
            let mut rig = Rig::new();
            let server = key(&rig, DESK, 0);
            if limit_first {
                say(&mut rig, DESK, 0, 50.0);
            }
            rig.step(Event::ServerSaid { server, word });
            say(&mut rig, DESK, 0, 50.0);
            rig.pass(SECOND);
            let calls = (0..30).map(|_| rig.arrive("/again/", 0)).count();
            let sends = rig.sends();
            assert_eq!(sends.len(), calls);
            assert!(
                sends.iter().all(|(_, to)| to.instance != "desk-0"),
                "{word:?}"
            );
        }
    }
}

/// What crashes its servers is told so, whatever they would allow.
#[test]
fn a_limit_beside_a_quarantine() {
    let mut rig = Rig::new();
    say_all(&mut rig, DESK, 3, 1.0);
    let content = content("crashes");
    let (left, times) = (60 * SECOND, 1);
    rig.step(Event::Restored {
        content,
        left,
        times,
    });
    rig.content = Some(content);
    rig.arrive("/again/", 0);
    assert_eq!(rig.refusals(), [Refusal::Quarantined]);
}

/// A server that failed is tried by one request; a limit allows that one too.
#[test]
fn a_failed_server_with_a_limit_is_tried_within_it() {
    let mut rig = Rig::new();
    say(&mut rig, DESK, 0, 0.5);
    rig.pass(10 * SECOND);
    let server = key(&rig, DESK, 0);
    let mut tries = 0;
    for _ in 0..800 {
        rig.pass(Duration::from_millis(15));
        let calls: Vec<_> = (0..4).map(|_| rig.arrive("/again/", 0)).collect();
        for (request, to) in rig.sends() {
            let failed = to.server == server;
            tries += usize::from(failed);
            let end = match failed {
                true => AttemptEnd::Broken,
                false => AttemptEnd::Delivered { healthy: true },
            };
            rig.end(request, end);
        }
        for request in calls {
            rig.end(request, AttemptEnd::Delivered { healthy: true });
        }
        rig.sends();
    }
    assert!(tries <= 7, "{tries} in 12 s at a limit of 0.5");
}

#[test]
fn requests_wait_while_their_turn_is_in_time_and_are_told_else() {
    let mut rig = Rig::new();
    say_all(&mut rig, DESK, 3, 4.0);
    rig.pass(5 * SECOND);
    let requests: Vec<_> = (0..12).map(|_| rig.arrive("/again/", 0)).collect();
    assert_eq!(rig.sends().len(), 3, "one for each server");
    let refusals: Vec<_> = requests.iter().map(|&r| refused(&rig, r)).collect();
    let waiting = refusals[3..].iter().take_while(|refusal| refusal.is_none());
    assert!((1..=3).contains(&waiting.count()), "{refusals:?}");
    for refusal in refusals.into_iter().flatten() {
        let (reason, after) = refusal;
        assert_eq!(reason, Refusal::Limited);
        // About a tenth of a second for each of those that wait.
        assert!(
            after > Duration::from_millis(200) && after < SECOND,
            "{after:?}"
        );
    }
    rig.pass(Duration::from_millis(300));
    assert!(!rig.sends().is_empty(), "those that waited");
}

/// Told to come back and refused again, it would have waited for nothing.
#[test]
fn a_request_that_came_back_waits_longer() {
    let mut rig = Rig::new();
    say_all(&mut rig, DESK, 3, 1.0);
    rig.pass(5 * SECOND);
    spend(&mut rig, "/again/", 0, 3);
    let first = rig.arrive("/again/", 0);
    let (reason, after) = refused(&rig, first).expect("its turn is not in time");
    assert_eq!(reason, Refusal::Limited);
    rig.arrive_again("/again/", 0, after);
    assert_eq!(rig.refusals().len(), 1, "it waits");
    rig.pass(2 * SECOND);
    assert_eq!(rig.sends().len(), 1);
}

#[test]
fn a_limited_server_is_used_like_the_others_while_it_allows() {
    let mut rig = Rig::new();
    say(&mut rig, DESK, 0, 30.0);
    let mut there = 0;
    for _ in 0..400 {
        rig.pass(Duration::from_millis(15));
        let calls: Vec<_> = (0..3).map(|_| rig.arrive("/again/", 0)).collect();
        let sends = rig.sends();
        assert_eq!(sends.len(), 3, "nobody waits");
        there += sends
            .iter()
            .filter(|(_, to)| to.instance == "desk-0")
            .count();
        for request in calls {
            rig.end(request, AttemptEnd::Delivered { healthy: true });
        }
    }
    // Of 180 in 6 s.
    assert!((126..=180).contains(&there), "{there}");
}

/// Operators hear of it at a bounded rate.
#[test]
fn a_limit_that_is_used_up_is_told_now_and_then() {
    let mut rig = Rig::new();
    say(&mut rig, DESK, 0, 1.0);
    for _ in 0..800 {
        rig.pass(Duration::from_millis(15));
        let request = rig.arrive("/again/", 0);
        rig.end(request, AttemptEnd::Delivered { healthy: true });
    }
    let server = key(&rig, DESK, 0);
    let told = rig.effects.iter();
    let told = told.filter(|effect| **effect == Effect::LimitUsedUp { server });
    assert!(
        (1..=3).contains(&told.count()),
        "one in five seconds, of twelve"
    );
}

/// Among several groups each has its part of what a server allows. What entries of other
/// groups send is theirs: taken from this group's part as well, sixteen groups together
/// would use a sixteenth of the limit.
#[test]
fn what_other_groups_send_is_not_taken_from_this_groups_part() {
    let mut rig = Rig::new();
    say(&mut rig, DESK, 0, 8.0);
    rig.pass(5 * SECOND);
    let full = allowance(&rig, DESK, 0);
    let server = told(&rig)[0].server;
    for sent in [70, 90] {
        let limits = vec![ToldLimit {
            server,
            said: None,
            sent,
            wants: true,
        }];
        rig.step(Event::ToldLimits {
            peer: 1,
            name: "entry-70".to_owned(),
            near: false,
            limits,
        });
    }
    assert!((allowance(&rig, DESK, 0) - full).abs() < 0.01);
    let server = rig.router.fleet().get(key(&rig, DESK, 0));
    assert_eq!(server.map(|server| server.limit_users(rig.now)), Some(1));
}
