//! Requests under which servers ended: what becomes of them, and of what runs beside
//! them.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::{Finding, Fingerprint, News, Verdict};
use notchwalk_route::{
    AttemptEnd, Effect, Event, Refusal, RequestKey, ServerChange, ServerRecord, ServerStage,
};

use crate::common::{content, record, tally, Rig, DESK, ENGINES};

const MOVED: AttemptEnd = AttemptEnd::NotRun {
    at_fault: None,
    moved: true,
};

fn bad() -> Fingerprint {
    content("this one crashes its servers")
}

/// Has a request of `content` arrive.
fn arrive(rig: &mut Rig, path: &str, tokens: u32, content: Fingerprint) -> RequestKey {
    rig.content = Some(content);
    let request = rig.arrive(path, tokens);
    rig.content = None;
    request
}

fn is_quarantined(rig: &Rig, content: Fingerprint) -> bool {
    let verdict = rig.router.quarantine().verdict(content, rig.now);
    matches!(verdict, Verdict::Quarantined { .. })
}

/// A server's record goes as it has crashed.
fn lose(rig: &mut Rig, instance: &str) {
    let gone = ServerChange::Gone(instance.to_owned());
    rig.step(Event::Servers(gone));
}

/// Has requests of the content crash servers until none is sent any more; returns
/// how many they crashed.
fn crash_servers(rig: &mut Rig, path: &str, tokens: u32) -> usize {
    let mut crashes = 0;
    for _ in 0..10 {
        let request = arrive(rig, path, tokens, bad());
        loop {
            let mut sends = rig.sends();
            let Some((_, to)) = sends.pop() else { break };
            crashes += 1;
            rig.pass(Duration::from_millis(120));
            rig.end(request, AttemptEnd::Broken);
            lose(rig, &to.instance);
            rig.pass(Duration::from_millis(30));
        }
    }
    // By then it is known that no other server ended at the same moment.
    rig.pass(Duration::from_millis(200));
    crashes
}

#[test]
fn what_crashed_three_servers_is_sent_to_no_fourth() {
    for (path, tokens) in [("/again/", 0), ("/short/", 3_000), ("/long/", 150_000)] {
        let mut rig = Rig::new();
        // Calls of plain services have three servers here.
        assert_eq!(crash_servers(&mut rig, path, tokens), 3, "{path}");
        rig.effects.clear();
        arrive(&mut rig, path, tokens, bad());
        assert!(rig.sends().is_empty(), "{path}");
        assert_eq!(rig.refusals(), [Refusal::Quarantined], "{path}");
    }
}

/// What may run once is sent once a try, and comes again as well.
#[test]
fn what_may_run_once_is_counted_over_its_tries_too() {
    let mut rig = Rig::new();
    assert_eq!(crash_servers(&mut rig, "/once/", 0), 3);
    assert!(is_quarantined(&rig, bad()));
}

#[test]
fn a_caller_is_told_at_once_and_until_when() {
    let mut rig = Rig::new();
    crash_servers(&mut rig, "/short/", 3_000);
    rig.effects.clear();
    let request = arrive(&mut rig, "/short/", 3_000, bad());
    let told = rig.effects.iter().find_map(|effect| match effect {
        Effect::Refuse {
            request: refused,
            reason: Refusal::Quarantined,
            retry_after,
        } if *refused == request => *retry_after,
        _ => None,
    });
    let left = told.expect("it is refused at once");
    assert!(left > Duration::from_secs(590) && left <= Duration::from_secs(600));
    // Other requests, of the same workspace and route, are served.
    rig.arrive("/short/", 3_000);
    rig.only_send();
}

/// A request that waits, or whose send just ended, learns of it as well.
#[test]
fn what_a_peer_tells_ends_a_try_under_way() {
    let mut rig = Rig::new();
    let request = arrive(&mut rig, "/short/", 3_000, bad());
    rig.only_send();
    let news = vec![News::Quarantined {
        content: bad(),
        age_ms: 5,
        left_ms: 600_000,
        times: 1,
    }];
    rig.step(Event::News { peer: 1, news });
    rig.pass(Duration::from_millis(50));
    rig.end(request, AttemptEnd::Broken);
    assert!(rig.sends().is_empty());
    assert_eq!(rig.refusals(), [Refusal::Quarantined]);
}

/// The second and third run go where least runs beside them.
#[test]
fn a_suspect_runs_where_least_is_at_stake() {
    let mut rig = Rig::new();
    for _ in 0..30 {
        rig.arrive("/short/", 5_000);
    }
    let others = tally(&rig.sends());
    let first = arrive(&mut rig, "/short/", 3_000, bad());
    let at_first = rig.only_send().instance;
    rig.pass(Duration::from_millis(100));
    rig.end(first, AttemptEnd::Broken);
    let at_second = rig.only_send().instance;
    let beside = |instance: &String| others.get(instance).copied().unwrap_or(0);
    let (more, fewer) = (beside(&at_first), beside(&at_second));
    assert!(
        fewer * 2 <= more,
        "{more} beside the first, {fewer} beside the second run"
    );
    lose(&mut rig, &at_first);
    rig.pass(Duration::from_millis(100));
    rig.end(first, AttemptEnd::Broken);
    lose(&mut rig, &at_second);
    arrive(&mut rig, "/short/", 3_000, bad());
    let at_third = rig.only_send().instance;
    let fewest = others.values().copied().min();
    assert_eq!(
        others.get(&at_third).copied(),
        fewest,
        "beside the third run"
    );
}

#[test]
fn a_suspect_is_read_by_no_other_engine() {
    let mut rig = Rig::new();
    let request = arrive(&mut rig, "/long/", 150_000, bad());
    let first = rig.only_send();
    assert!(!first.helpers.is_empty());
    rig.pass(Duration::from_millis(500));
    rig.end(request, AttemptEnd::Broken);
    lose(&mut rig, &first.instance);
    rig.pass(Duration::from_millis(200));
    let second = rig.only_send();
    assert!(second.helpers.is_empty(), "{second:?}");
}

/// Which of the engines that read a prompt it crashed, is seen by whose end is seen.
#[test]
fn a_helper_that_ends_under_its_part_counts_as_well() {
    let mut rig = Rig::new();
    let mut lost = 0;
    for _ in 0..6 {
        let request = arrive(&mut rig, "/long/", 150_000, bad());
        let mut sends = rig.sends();
        let Some((_, to)) = sends.pop() else { break };
        lost += 1;
        let victim = match to.helpers.first() {
            Some(helper) => {
                let key = rig.router.fleet().by_addr(helper.addr).expect("on record");
                let server = rig.router.fleet().get(key).expect("on record");
                server.record.instance.clone()
            }
            None => to.instance.clone(),
        };
        rig.pass(Duration::from_millis(700));
        rig.end(request, AttemptEnd::Broken);
        rig.sends();
        lose(&mut rig, &victim);
        rig.step(Event::Abandoned { request });
        rig.pass(Duration::from_millis(300));
    }
    assert_eq!(lost, 3);
    assert!(is_quarantined(&rig, bad()));
}

/// A server that leaves cuts what it did not finish, and goes off the record.
#[test]
fn servers_that_leave_are_held_against_nobody() {
    let mut rig = Rig::new();
    for round in 0..6 {
        let request = arrive(&mut rig, "/short/", 3_000, bad());
        let instance = rig.only_send().instance;
        let number: u8 = instance
            .trim_start_matches("engines-")
            .parse()
            .expect("a number");
        if round % 2 == 0 {
            let leaving = ServerRecord {
                stage: ServerStage::Leaving,
                ..record(ENGINES, number)
            };
            rig.step(Event::Servers(ServerChange::Present(leaving)));
        } else {
            lose(&mut rig, &instance);
        }
        rig.pass(Duration::from_millis(300));
        rig.end(request, AttemptEnd::Broken);
        lose(&mut rig, &instance);
        rig.step(Event::Abandoned { request });
        rig.effects.clear();
        rig.pass(Duration::from_millis(300));
    }
    let verdict = rig.router.quarantine().verdict(bad(), rig.now);
    assert_eq!(verdict, Verdict::Free);
}

/// Answers that can't be used say nothing against a request: the server lives.
#[test]
fn a_server_that_spoils_its_answers_has_not_crashed() {
    let mut rig = Rig::new();
    for _ in 0..4 {
        let request = arrive(&mut rig, "/again/", 0, bad());
        while !rig.sends().is_empty() {
            rig.pass(Duration::from_millis(100));
            rig.end(request, AttemptEnd::Unusable);
        }
        rig.pass(Duration::from_secs(2));
    }
    let verdict = rig.router.quarantine().verdict(bad(), rig.now);
    assert_eq!(verdict, Verdict::Free);
}

fn born(number: u8, born: u64) -> ServerRecord {
    ServerRecord {
        born: Some(born),
        ..record(DESK, number)
    }
}

/// Servers may be back under their id before the loss of the connection is seen.
#[test]
fn a_crash_is_known_by_the_servers_new_life() {
    let mut rig = Rig::new();
    for number in 0..3 {
        rig.step(Event::Servers(ServerChange::Present(born(number, 1))));
    }
    // Lives that ended just before would speak for the request.
    rig.pass(Duration::from_secs(5));
    for round in 0..3 {
        let request = arrive(&mut rig, "/again/", 0, bad());
        let instance = rig.only_send().instance;
        let number: u8 = instance.trim_start_matches("desk-").parse().unwrap();
        rig.pass(Duration::from_millis(100));
        let again = born(number, 10 + round);
        rig.step(Event::Servers(ServerChange::Present(again)));
        rig.pass(Duration::from_millis(20));
        rig.end(request, AttemptEnd::Broken);
        rig.sends();
        rig.step(Event::Abandoned { request });
        rig.pass(Duration::from_millis(200));
    }
    assert!(is_quarantined(&rig, bad()));
}

/// What was believed of a server belongs to one of its lives.
#[test]
fn a_new_life_of_a_server_starts_with_a_clean_slate() {
    let mut rig = Rig::new();
    for number in 0..3 {
        rig.step(Event::Servers(ServerChange::Present(born(number, 1))));
    }
    let request = rig.arrive("/once/", 0);
    let instance = rig.only_send().instance;
    let number: u8 = instance.trim_start_matches("desk-").parse().unwrap();
    // Nothing reaches it, so it is closed.
    rig.end(request, AttemptEnd::NotConnected);
    let fleet = rig.router.fleet();
    let is_closed = |now: Instant| {
        let mut servers = fleet.iter();
        servers.any(|(_, server)| server.record.instance == instance && !server.takes_work(now))
    };
    assert!(is_closed(rig.now));
    rig.sends();
    rig.step(Event::Abandoned { request });
    let leaving = ServerRecord {
        stage: ServerStage::Leaving,
        ..born(number, 1)
    };
    rig.step(Event::Servers(ServerChange::Present(leaving)));
    rig.step(Event::Servers(ServerChange::Present(born(number, 2))));
    let fleet = rig.router.fleet();
    let mut servers = fleet.iter();
    let (key, server) = servers
        .find(|(_, server)| server.record.instance == instance)
        .expect("on record");
    assert!(server.takes_work(rig.now));
    assert_eq!(server.failure_rate(rig.now), 0.0);
    let load = rig.router.board().load(key, rig.now);
    assert_eq!(load.occupied(), 0);
    drop(servers);
    // The same record again changes nothing, and its leaving counts for this life.
    let key_again = |rig: &Rig| {
        let mut servers = rig.router.fleet().iter();
        let found = servers.find(|(_, server)| server.record.instance == instance);
        found.map(|(key, _)| key)
    };
    rig.step(Event::Servers(ServerChange::Present(born(number, 2))));
    assert_eq!(key_again(&rig), Some(key));
}

/// An entry that can't connect may be cut off itself; a server that answers others
/// has not ended.
#[test]
fn a_server_that_others_are_answered_by_has_not_ended() {
    let mut rig = Rig::new();
    let mut others = Vec::new();
    for _ in 0..3 {
        others.push(rig.arrive("/again/", 0));
    }
    let on: Vec<String> = rig.sends().into_iter().map(|(_, to)| to.instance).collect();
    assert_eq!(on.len(), 3);
    rig.pass(Duration::from_millis(100));
    let mut seen = Vec::new();
    for _ in 0..3 {
        let request = arrive(&mut rig, "/once/", 0, bad());
        seen.extend(rig.sends().into_iter().map(|(_, to)| to.instance));
        rig.pass(Duration::from_millis(60));
        rig.end(request, AttemptEnd::Broken);
        rig.effects.clear();
        rig.pass(Duration::from_millis(60));
    }
    rig.pass(Duration::from_millis(100));
    for other in others {
        rig.end(other, AttemptEnd::Delivered { healthy: true });
    }
    let verdict = rig.router.quarantine().verdict(bad(), rig.now);
    assert_eq!(verdict, Verdict::Free, "{seen:?}");
}

#[test]
fn a_moved_server_has_ended() {
    let mut rig = Rig::new();
    for _ in 0..3 {
        let request = arrive(&mut rig, "/once/", 0, bad());
        let instance = rig.only_send().instance;
        rig.pass(Duration::from_millis(100));
        rig.end(request, AttemptEnd::Broken);
        rig.effects.clear();
        rig.pass(Duration::from_millis(200));
        // Another request finds another instance there.
        loop {
            let probe = rig.arrive("/once/", 0);
            let there = rig.only_send().instance;
            match there == instance {
                true => {
                    rig.end(probe, MOVED);
                    rig.effects.clear();
                    rig.step(Event::Abandoned { request: probe });
                    break;
                }
                false => rig.pass(Duration::from_millis(1)),
            }
        }
    }
    rig.pass(Duration::from_millis(200));
    assert!(is_quarantined(&rig, bad()));
}

#[test]
fn findings_are_handed_out_as_effects() {
    let mut rig = Rig::new();
    crash_servers(&mut rig, "/short/", 3_000);
    let found = rig.effects.iter().filter_map(|effect| match effect {
        Effect::Found(finding) => Some(finding),
        _ => None,
    });
    let declared = |finding: &&Finding| matches!(finding, Finding::Quarantined(_));
    assert_eq!(found.filter(declared).count(), 1);
}

/// Callers of harmless questions were turned away for ten minutes beside the one that
/// crashes its servers: three entries lost a stream each to one crash, chose the same
/// next server in the same millisecond, and again after that one had crashed.
///
/// Evidence: all three contents were on the same three servers, and on no other.
#[test]
fn what_was_beside_a_crash_does_not_go_on_together() {
    /// Entries, each with one request on the server that crashes.
    const ENTRIES: usize = 6;
    let mut rigs: Vec<Rig> = (0..ENTRIES)
        .map(|number| Rig::named(&format!("entry-{number}"), 18))
        .collect();
    let mut requests = Vec::new();
    for (number, rig) in rigs.iter_mut().enumerate() {
        rig.content = Some(content(&format!("question {number}")));
        requests.push(rig.arrive("/short/", 3_000));
    }
    let mut went: Vec<Vec<String>> = vec![Vec::new(); ENTRIES];
    for _ in 0..2 {
        for ((rig, went), &request) in rigs.iter_mut().zip(&mut went).zip(&requests) {
            let to = rig.only_send();
            went.push(to.instance);
            rig.pass(Duration::from_millis(100));
            rig.end(request, AttemptEnd::Broken);
        }
    }
    let next: Vec<&String> = went.iter().map(|went| &went[1]).collect();
    let most = next
        .iter()
        .map(|one| next.iter().filter(|other| *other == one).count());
    let most = most.max().unwrap_or(0);
    assert!(most <= 2, "{most} of {ENTRIES} go on together: {next:?}");
}
