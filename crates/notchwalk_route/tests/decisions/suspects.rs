//! Quarantine of contents that crash their servers, and protection of other requests.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::{
    Fingerprint, QuarantineFinding, QuarantineUpdate, SubjectKind, Verdict,
};
use notchwalk_route::{
    AttemptEnd, Effect, Event, Refusal, RequestKey, ServerChange, ServerKey, ServerRecord,
    ServerStage,
};

use crate::common::{content, count_by_server, record, TestRouter, ENGINES, PLAIN_SERVICE};

const ADDRESS_REUSED: AttemptEnd = AttemptEnd::NotRun {
    faulty_server: None,
    address_reused: true,
};

fn crashing_content() -> Fingerprint {
    content("this one crashes its servers")
}

/// Sends a request with this content.
fn arrive(node: &mut TestRouter, path: &str, tokens: u32, content: Fingerprint) -> RequestKey {
    node.content = Some(content);
    let request = node.arrive(path, tokens);
    node.content = None;
    request
}

fn is_quarantined(node: &TestRouter, content: Fingerprint) -> bool {
    let verdict = node.router.quarantine().verdict(content, node.now);
    matches!(verdict, Verdict::Quarantined { .. })
}

/// Deregisters a server that has crashed.
fn remove_server(node: &mut TestRouter, instance: &str) {
    let change = ServerChange::Removed(instance.to_owned());
    node.step(Event::Servers(change));
}

/// Sends requests with the crashing content until none is dispatched; returns the number of
/// crashed servers.
fn crash_servers(node: &mut TestRouter, path: &str, tokens: u32) -> usize {
    let mut crashes = 0;
    for _ in 0..10 {
        let request = arrive(node, path, tokens, crashing_content());
        loop {
            let mut sends = node.take_sends();
            let Some((_, to)) = sends.pop() else { break };
            crashes += 1;
            node.advance(Duration::from_millis(120));
            node.end_attempt(request, AttemptEnd::ConnectionLost);
            remove_server(node, &to.instance);
            node.advance(Duration::from_millis(30));
        }
    }
    // Long enough to rule out that other servers ended at the same moment.
    node.advance(Duration::from_millis(200));
    crashes
}

#[test]
fn content_that_crashed_three_servers_is_quarantined() {
    for (path, tokens) in [("/again/", 0), ("/short/", 3_000), ("/long/", 150_000)] {
        let mut node = TestRouter::new();
        // The plain service has three servers.
        assert_eq!(crash_servers(&mut node, path, tokens), 3, "{path}");
        node.effects.clear();
        arrive(&mut node, path, tokens, crashing_content());
        assert!(node.take_sends().is_empty(), "{path}");
        assert_eq!(node.refusals(), [Refusal::Quarantined], "{path}");
    }
}

/// Each attempt of the caller sends a non-repeatable request only once.
#[test]
fn crashes_of_non_repeatable_requests_are_counted() {
    let mut node = TestRouter::new();
    assert_eq!(crash_servers(&mut node, "/once/", 0), 3);
    assert!(is_quarantined(&node, crashing_content()));
}

#[test]
fn quarantined_request_is_refused_with_retry_after() {
    let mut node = TestRouter::new();
    crash_servers(&mut node, "/short/", 3_000);
    node.effects.clear();
    let request = arrive(&mut node, "/short/", 3_000, crashing_content());
    let retry_after = node.effects.iter().find_map(|effect| match effect {
        Effect::Refuse {
            request: refused,
            reason: Refusal::Quarantined,
            retry_after,
        } if *refused == request => *retry_after,
        _ => None,
    });
    let left = retry_after.expect("request is refused immediately");
    assert!(left > Duration::from_secs(590) && left <= Duration::from_secs(600));
    // Other requests of the same workspace and route are served.
    node.arrive("/short/", 3_000);
    node.take_only_send();
}

/// The quarantine applies to requests with an attempt in progress.
#[test]
fn quarantine_from_peer_prevents_retry() {
    let mut node = TestRouter::new();
    let request = arrive(&mut node, "/short/", 3_000, crashing_content());
    node.take_only_send();
    let updates = vec![QuarantineUpdate::Quarantined {
        content: crashing_content(),
        age_ms: 5,
        left_ms: 600_000,
        times: 1,
        kind: SubjectKind::Content,
    }];
    node.step(Event::QuarantineUpdates { peer: 1, updates });
    node.advance(Duration::from_millis(50));
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    assert!(node.take_sends().is_empty());
    assert_eq!(node.refusals(), [Refusal::Quarantined]);
}

/// The second and third attempts go to servers with the fewest other requests.
#[test]
fn suspect_is_sent_to_least_loaded_server() {
    let mut node = TestRouter::new();
    for _ in 0..30 {
        node.arrive("/short/", 5_000);
    }
    let others = count_by_server(&node.take_sends());
    let first = arrive(&mut node, "/short/", 3_000, crashing_content());
    let at_first = node.take_only_send().instance;
    node.advance(Duration::from_millis(100));
    node.end_attempt(first, AttemptEnd::ConnectionLost);
    let at_second = node.take_only_send().instance;
    let running_on = |instance: &String| others.get(instance).copied().unwrap_or(0);
    let (more, fewer) = (running_on(&at_first), running_on(&at_second));
    assert!(
        fewer * 2 <= more,
        "{more} requests with the first attempt, {fewer} with the second"
    );
    remove_server(&mut node, &at_first);
    node.advance(Duration::from_millis(100));
    node.end_attempt(first, AttemptEnd::ConnectionLost);
    remove_server(&mut node, &at_second);
    arrive(&mut node, "/short/", 3_000, crashing_content());
    let at_third = node.take_only_send().instance;
    let fewest = others.values().copied().min();
    assert_eq!(
        others.get(&at_third).copied(),
        fewest,
        "the server of the third attempt must have the fewest requests"
    );
}

#[test]
fn suspect_prompt_is_not_split() {
    let mut node = TestRouter::new();
    let request = arrive(&mut node, "/long/", 150_000, crashing_content());
    let first = node.take_only_send();
    assert!(!first.prefill_workers.is_empty());
    node.advance(Duration::from_millis(500));
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    remove_server(&mut node, &first.instance);
    node.advance(Duration::from_millis(200));
    let second = node.take_only_send();
    assert!(second.prefill_workers.is_empty(), "{second:?}");
}

/// The crashed engine is identified by its deregistration.
#[test]
fn crash_of_prefill_worker_is_counted() {
    let mut node = TestRouter::new();
    let mut lost = 0;
    for _ in 0..6 {
        let request = arrive(&mut node, "/long/", 150_000, crashing_content());
        let mut sends = node.take_sends();
        let Some((_, to)) = sends.pop() else { break };
        lost += 1;
        let crashed = match to.prefill_workers.first() {
            Some(worker) => {
                let key = node
                    .router
                    .fleet()
                    .by_addr(worker.addr)
                    .expect("server is registered");
                let server = node.router.fleet().get(key).expect("server is registered");
                server.record().instance.clone()
            }
            None => to.instance.clone(),
        };
        node.advance(Duration::from_millis(700));
        node.end_attempt(request, AttemptEnd::ConnectionLost);
        node.take_sends();
        remove_server(&mut node, &crashed);
        node.step(Event::Abandoned { request });
        node.advance(Duration::from_millis(300));
    }
    assert_eq!(lost, 3);
    assert!(is_quarantined(&node, crashing_content()));
}

/// A draining server cancels unfinished requests and deregisters.
#[test]
fn end_of_draining_server_is_not_a_crash() {
    let mut node = TestRouter::new();
    for round in 0..6 {
        let request = arrive(&mut node, "/short/", 3_000, crashing_content());
        let instance = node.take_only_send().instance;
        let number: u8 = instance
            .trim_start_matches("engines-")
            .parse()
            .expect("a number");
        if round % 2 == 0 {
            let draining = ServerRecord {
                stage: ServerStage::Leaving,
                ..record(ENGINES, number)
            };
            node.step(Event::Servers(ServerChange::Registered(draining)));
        } else {
            remove_server(&mut node, &instance);
        }
        node.advance(Duration::from_millis(300));
        node.end_attempt(request, AttemptEnd::ConnectionLost);
        remove_server(&mut node, &instance);
        node.step(Event::Abandoned { request });
        node.effects.clear();
        node.advance(Duration::from_millis(300));
    }
    let verdict = node
        .router
        .quarantine()
        .verdict(crashing_content(), node.now);
    assert_eq!(verdict, Verdict::Allowed);
}

/// Invalid responses show that the server is running.
#[test]
fn invalid_response_is_not_a_crash() {
    let mut node = TestRouter::new();
    for _ in 0..4 {
        let request = arrive(&mut node, "/again/", 0, crashing_content());
        while !node.take_sends().is_empty() {
            node.advance(Duration::from_millis(100));
            node.end_attempt(request, AttemptEnd::InvalidResponse);
        }
        node.advance(Duration::from_secs(2));
    }
    let verdict = node
        .router
        .quarantine()
        .verdict(crashing_content(), node.now);
    assert_eq!(verdict, Verdict::Allowed);
}

/// Returns a registration of a plain server with the start time of its incarnation.
fn plain_server(number: u8, started_ms: u64) -> ServerRecord {
    ServerRecord {
        started_ms: Some(started_ms),
        ..record(PLAIN_SERVICE, number)
    }
}

/// A server may restart under its id before the broken connection is detected.
#[test]
fn new_incarnation_confirms_a_crash() {
    let mut node = TestRouter::new();
    for number in 0..3 {
        node.step(Event::Servers(ServerChange::Registered(plain_server(
            number, 1,
        ))));
    }
    // Other recently ended incarnations would raise the threshold.
    node.advance(Duration::from_secs(5));
    for round in 0..3 {
        let request = arrive(&mut node, "/again/", 0, crashing_content());
        let instance = node.take_only_send().instance;
        let number: u8 = instance.trim_start_matches("desk-").parse().unwrap();
        node.advance(Duration::from_millis(100));
        let restarted = plain_server(number, 10 + round);
        node.step(Event::Servers(ServerChange::Registered(restarted)));
        node.advance(Duration::from_millis(20));
        node.end_attempt(request, AttemptEnd::ConnectionLost);
        node.take_sends();
        node.step(Event::Abandoned { request });
        node.advance(Duration::from_millis(200));
    }
    assert!(is_quarantined(&node, crashing_content()));
}

/// Failures belong to one incarnation of a server.
#[test]
fn new_incarnation_has_no_failure_history() {
    let mut node = TestRouter::new();
    for number in 0..3 {
        node.step(Event::Servers(ServerChange::Registered(plain_server(
            number, 1,
        ))));
    }
    let request = node.arrive("/once/", 0);
    let instance = node.take_only_send().instance;
    let number: u8 = instance.trim_start_matches("desk-").parse().unwrap();
    // The server is unreachable, so it receives no requests.
    node.end_attempt(request, AttemptEnd::NotConnected);
    let fleet = node.router.fleet();
    let is_unavailable = |now: Instant| {
        let mut servers = fleet.iter();
        servers.any(|(_, server)| server.record().instance == instance && !server.is_available(now))
    };
    assert!(is_unavailable(node.now));
    node.take_sends();
    node.step(Event::Abandoned { request });
    let draining = ServerRecord {
        stage: ServerStage::Leaving,
        ..plain_server(number, 1)
    };
    node.step(Event::Servers(ServerChange::Registered(draining)));
    node.step(Event::Servers(ServerChange::Registered(plain_server(
        number, 2,
    ))));
    let fleet = node.router.fleet();
    let mut servers = fleet.iter();
    let (key, server) = servers
        .find(|(_, server)| server.record().instance == instance)
        .expect("server is registered");
    assert!(server.is_available(node.now));
    assert_eq!(server.failure_rate(node.now), 0.0);
    let load = node.router.load_view().load(key, node.now);
    assert_eq!(load.occupied(), 0);
    drop(servers);
    // Registering the same incarnation again retains its key.
    let key_again = |node: &TestRouter| {
        let mut servers = node.router.fleet().iter();
        let found = servers.find(|(_, server)| server.record().instance == instance);
        found.map(|(key, _)| key)
    };
    node.step(Event::Servers(ServerChange::Registered(plain_server(
        number, 2,
    ))));
    assert_eq!(key_again(&node), Some(key));
}

/// A node that can't connect may itself be partitioned.
#[test]
fn server_that_responds_to_others_has_not_crashed() {
    let mut node = TestRouter::new();
    let mut others = Vec::new();
    for _ in 0..3 {
        others.push(node.arrive("/again/", 0));
    }
    let instances: Vec<String> = node
        .take_sends()
        .into_iter()
        .map(|(_, to)| to.instance)
        .collect();
    assert_eq!(instances.len(), 3);
    node.advance(Duration::from_millis(100));
    let mut seen = Vec::new();
    for _ in 0..3 {
        let request = arrive(&mut node, "/once/", 0, crashing_content());
        seen.extend(node.take_sends().into_iter().map(|(_, to)| to.instance));
        node.advance(Duration::from_millis(60));
        node.end_attempt(request, AttemptEnd::ConnectionLost);
        node.effects.clear();
        node.advance(Duration::from_millis(60));
    }
    node.advance(Duration::from_millis(100));
    for other in others {
        node.end_attempt(other, AttemptEnd::Delivered { is_success: true });
    }
    let verdict = node
        .router
        .quarantine()
        .verdict(crashing_content(), node.now);
    assert_eq!(verdict, Verdict::Allowed, "{seen:?}");
}

#[test]
fn server_replaced_at_its_address_has_ended() {
    let mut node = TestRouter::new();
    for _ in 0..3 {
        let request = arrive(&mut node, "/once/", 0, crashing_content());
        let instance = node.take_only_send().instance;
        node.advance(Duration::from_millis(100));
        node.end_attempt(request, AttemptEnd::ConnectionLost);
        node.effects.clear();
        node.advance(Duration::from_millis(200));
        // Another request finds a different instance at the address.
        loop {
            let probe = node.arrive("/once/", 0);
            let found = node.take_only_send().instance;
            match found == instance {
                true => {
                    node.end_attempt(probe, ADDRESS_REUSED);
                    node.effects.clear();
                    node.step(Event::Abandoned { request: probe });
                    break;
                }
                false => node.advance(Duration::from_millis(1)),
            }
        }
    }
    node.advance(Duration::from_millis(200));
    assert!(is_quarantined(&node, crashing_content()));
}

#[test]
fn findings_are_emitted_as_effects() {
    let mut node = TestRouter::new();
    crash_servers(&mut node, "/short/", 3_000);
    let found = node.effects.iter().filter_map(|effect| match effect {
        Effect::Finding(finding) => Some(finding),
        _ => None,
    });
    let is_quarantine =
        |finding: &&QuarantineFinding| matches!(finding, QuarantineFinding::Quarantined(_));
    assert_eq!(found.filter(is_quarantine).count(), 1);
}

/// Guards against quarantining harmless contents because nodes that lose requests in one
/// crash retry them on the same server.
#[test]
fn requests_from_one_crash_are_retried_on_different_servers() {
    /// Nodes, each with one request on the crashing server.
    const NODES: usize = 6;
    let mut nodes: Vec<TestRouter> = (0..NODES)
        .map(|number| TestRouter::with_engines(&format!("entry-{number}"), 18))
        .collect();
    let mut requests = Vec::new();
    for (number, node) in nodes.iter_mut().enumerate() {
        node.content = Some(content(&format!("question {number}")));
        requests.push(node.arrive("/short/", 3_000));
    }
    let mut servers: Vec<Vec<String>> = vec![Vec::new(); NODES];
    for _ in 0..2 {
        for ((node, servers), &request) in nodes.iter_mut().zip(&mut servers).zip(&requests) {
            let to = node.take_only_send();
            servers.push(to.instance);
            node.advance(Duration::from_millis(100));
            node.end_attempt(request, AttemptEnd::ConnectionLost);
        }
    }
    let next: Vec<&String> = servers.iter().map(|servers| &servers[1]).collect();
    let most = next
        .iter()
        .map(|one| next.iter().filter(|other| *other == one).count());
    let most = most.max().unwrap_or(0);
    assert!(
        most <= 2,
        "{most} of {NODES} retried on the same server: {next:?}"
    );
}

/// Guards against quarantines of harmless contents by nodes that lose their links repeatedly.
#[test]
fn refused_connections_over_a_lost_link_confirm_no_crash() {
    let mut node = TestRouter::new();
    let request = arrive(&mut node, "/once/", 0, crashing_content());
    let server = node.take_only_send().server;
    let short_id = node.router.fleet().get(server).unwrap().short_id;
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    node.check_links(PLAIN_SERVICE, 0);
    node.step(Event::PortClosed { server: short_id });
    let suspects = node.router.quarantine().suspect_views(node.now);
    assert!(suspects[0].crashes.iter().all(|crash| !crash.confirmed));
}

/// Guards against quarantines that come late because each crash starts a check of the links.
#[test]
fn connections_refused_during_a_passed_check_confirm_crashes() {
    for is_probe in [true, false] {
        let mut node = TestRouter::new();
        node.passes_link_checks = false;
        let request = arrive(&mut node, "/once/", 0, crashing_content());
        let server = node.take_only_send().server;
        let other = send_to(&mut node, server);
        node.end_attempt(request, AttemptEnd::ConnectionLost);
        if is_probe {
            let short_id = node.router.fleet().get(server).unwrap().short_id;
            node.step(Event::PortClosed { server: short_id });
        } else {
            node.end_attempt(other, AttemptEnd::NotConnected);
        }
        node.check_links(PLAIN_SERVICE, 2);
        let suspects = node.router.quarantine().suspect_views(node.now);
        assert!(suspects[0].crashes[0].confirmed, "{is_probe}");
    }
}

/// Guards against a crashing request that is never quarantined because a check of the links
/// failed beside its crashes.
#[test]
fn servers_are_probed_again_once_a_lost_link_is_back() {
    let mut node = TestRouter::new();
    let request = arrive(&mut node, "/once/", 0, crashing_content());
    let server = node.take_only_send().server;
    let short_id = node.router.fleet().get(server).unwrap().short_id;
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    node.check_links(PLAIN_SERVICE, 0);
    for _ in 0..6 {
        node.advance(Duration::from_millis(100));
    }
    node.effects.clear();
    for _ in 0..2 {
        node.check_links(PLAIN_SERVICE, 1);
    }
    node.advance(Duration::from_millis(50));
    let is_probe =
        |effect: &Effect| matches!(effect, Effect::ProbePort { server, .. } if *server == short_id);
    assert!(node.effects.iter().any(is_probe));
}

/// Returns a request that is sent to this plain server.
fn send_to(node: &mut TestRouter, server: ServerKey) -> RequestKey {
    let mut requests = (0..10).map(|_| {
        let request = node.arrive("/once/", 0);
        (request, node.take_only_send().server)
    });
    let found = requests.find(|&(_, sent_to)| sent_to == server);
    found.expect("a request is sent to the server").0
}
