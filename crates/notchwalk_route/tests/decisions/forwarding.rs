//! Requests that a node forwards to peers because it lost its links to their service.

use std::time::Duration;

use notchwalk_route::{
    AttemptEnd, DrainSchedule, Effect, Event, ForwardedSend, Refusal, RequestKey, ServerNotice,
};

use crate::common::{content, drain_schedule, server_key, TestRouter, ENGINES, PLAIN_SERVICE};

const PEER: u32 = 1;
const OTHER_PEER: u32 = 2;

/// Returns a node that lost its links to the plain service and has two peers.
fn cut_node() -> TestRouter {
    let mut node = TestRouter::new();
    node.check_links(PLAIN_SERVICE, 0);
    node.receive_status(PEER, &[]);
    node.receive_status(OTHER_PEER, &[]);
    node
}

/// Returns a peer that receives requests that other nodes forward.
fn peer(counts_as: ForwardedSend) -> TestRouter {
    let mut node = TestRouter::with_engines("entry-2", 18);
    node.forwarded = Some(counts_as);
    node
}

fn forward_one(node: &mut TestRouter, path: &str) -> RequestKey {
    let request = node.arrive(path, 0);
    let forwards = node.take_forwards();
    assert_eq!(forwards.len(), 1, "{:?}", node.effects);
    assert_eq!(forwards[0].0, request);
    request
}

fn refused_by_peer(reason: Refusal) -> AttemptEnd {
    AttemptEnd::PeerRefused {
        reason,
        retry_after: None,
    }
}

#[test]
fn requests_for_an_unreachable_service_are_forwarded() {
    let mut node = cut_node();
    forward_one(&mut node, "/again/");
    forward_one(&mut node, "/once/");
    assert!(node.take_sends().is_empty());
}

#[test]
fn requests_for_other_services_are_not_forwarded() {
    let mut node = cut_node();
    node.arrive("/short/", 5_000);
    assert_eq!(node.take_sends().len(), 1);
    assert!(node.take_forwards().is_empty());
}

/// Guards against 503 from a node that ejected all servers which its peers still reach.
#[test]
fn request_is_forwarded_once_all_servers_are_ejected() {
    let mut node = TestRouter::new();
    node.receive_status(PEER, &[]);
    let request = node.arrive("/again/", 0);
    for _ in 0..3 {
        node.take_only_send();
        node.end_attempt(request, AttemptEnd::NotConnected);
    }
    assert_eq!(node.take_forwards().len(), 1);
    assert!(node.refusals().is_empty());
}

/// Guards against requests that crash servers and go from peer to peer.
#[test]
fn suspected_request_is_not_forwarded_because_of_ejected_servers() {
    let mut node = TestRouter::new();
    node.receive_status(PEER, &[]);
    node.content = Some(content("this one crashes its servers"));
    let request = node.arrive("/short/", 5_000);
    node.take_only_send();
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    for _ in 0..4 {
        node.take_only_send();
        node.end_attempt(request, AttemptEnd::NotConnected);
    }
    assert!(node.take_forwards().is_empty());
    assert_eq!(node.refusals(), [Refusal::Unknown]);
}

#[test]
fn rejections_by_servers_are_not_forwarded() {
    let mut node = TestRouter::new();
    node.receive_status(PEER, &[]);
    let request = node.arrive("/again/", 0);
    for _ in 0..3 {
        node.take_only_send();
        let rejected = AttemptEnd::NotRun {
            faulty_server: None,
            address_reused: false,
        };
        node.end_attempt(request, rejected);
    }
    assert!(node.take_forwards().is_empty());
    assert_eq!(node.refusals(), [Refusal::NotRun]);
}

#[test]
fn one_server_that_accepts_connections_keeps_its_service_reachable() {
    let mut node = TestRouter::new();
    node.receive_status(PEER, &[]);
    node.check_links(PLAIN_SERVICE, 1);
    node.arrive("/again/", 0);
    assert_eq!(node.take_sends().len(), 1);
}

#[test]
fn failed_attempt_starts_a_check_of_many_servers() {
    let mut node = TestRouter::new();
    let request = node.arrive("/short/", 5_000);
    node.take_only_send();
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    let checked = node.effects.iter().find_map(|effect| match effect {
        Effect::CheckLinks { service, servers } => Some((service.as_str(), servers.len())),
        _ => None,
    });
    assert_eq!(checked, Some((ENGINES, 12)));
}

/// Guards against streams that use up their attempts before the node knows that its links are
/// lost.
#[test]
fn retry_waits_for_the_check_of_the_links() {
    for passed in [true, false] {
        let mut node = TestRouter::new();
        node.passes_link_checks = false;
        node.receive_status(PEER, &[]);
        let request = node.arrive("/short/", 5_000);
        node.take_only_send();
        node.end_attempt(request, AttemptEnd::ConnectionLost);
        assert!(node.take_sends().is_empty());
        let service = ENGINES.to_owned();
        node.step(Event::LinksChecked { service, passed });
        assert_eq!(node.take_sends().len(), usize::from(passed));
        assert_eq!(node.take_forwards().len(), usize::from(!passed));
    }
}

#[test]
fn retry_waits_only_briefly_for_the_check_of_the_links() {
    let mut node = TestRouter::new();
    node.passes_link_checks = false;
    let request = node.arrive("/short/", 5_000);
    node.take_only_send();
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    node.advance(Duration::from_millis(40));
    assert_eq!(node.take_sends().len(), 1);
}

#[test]
fn service_is_reachable_again_after_two_passed_checks() {
    let mut node = cut_node();
    node.check_links(PLAIN_SERVICE, 2);
    assert_eq!(node.router.unreachable_services().count(), 1);
    node.check_links(PLAIN_SERVICE, 2);
    assert_eq!(node.router.unreachable_services().count(), 0);
    node.arrive("/again/", 0);
    assert_eq!(node.take_sends().len(), 1);
}

#[test]
fn lost_link_to_one_service_starts_checks_of_the_others() {
    let mut node = TestRouter::new();
    node.check_links(PLAIN_SERVICE, 0);
    let is_check = |effect: &Effect| matches!(effect, Effect::CheckLinks { service, .. } if service == ENGINES);
    assert!(node.effects.iter().any(is_check));
}

#[test]
fn forwarded_requests_are_never_forwarded_again() {
    let mut node = cut_node();
    node.forwarded = Some(ForwardedSend::FirstAttempt);
    let request = node.arrive("/again/", 0);
    for _ in 0..3 {
        node.take_only_send();
        node.end_attempt(request, AttemptEnd::NotConnected);
    }
    assert!(node.take_forwards().is_empty());
    assert_eq!(node.refusals(), [Refusal::NotRun]);
}

/// Guards against more runs than the route allows: the forwarding node counts one attempt.
#[test]
fn forwarded_request_starts_on_one_server_only() {
    let mut node = peer(ForwardedSend::FirstAttempt);
    let request = node.arrive("/again/", 0);
    node.take_only_send();
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    assert!(node.take_sends().is_empty());
    assert_eq!(node.refusals(), [Refusal::Unknown]);
}

#[test]
fn request_that_may_have_run_at_a_peer_counts_as_an_attempt() {
    let mut node = cut_node();
    let request = forward_one(&mut node, "/again/");
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    assert_eq!(node.take_forwards().len(), 1);
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    assert!(node.take_forwards().is_empty());
    assert_eq!(node.refusals(), [Refusal::Unknown]);
}

#[test]
fn call_that_must_run_once_is_not_repeated_after_an_unknown_end_at_a_peer() {
    let mut node = cut_node();
    let request = forward_one(&mut node, "/once/");
    node.end_attempt(request, AttemptEnd::ConnectionLost);
    assert!(node.take_forwards().is_empty());
    assert_eq!(node.refusals(), [Refusal::Unknown]);
}

#[test]
fn call_that_a_peer_refused_goes_to_another_one() {
    let mut node = cut_node();
    let request = forward_one(&mut node, "/once/");
    node.end_attempt(request, refused_by_peer(Refusal::NoServer));
    assert_eq!(node.take_forwards().len(), 1);
    assert!(node.refusals().is_empty());
}

/// Guards against refusals while one server of many is left: a check may have met lost ones only.
#[test]
fn request_that_no_peer_serves_is_tried_on_the_other_servers() {
    let mut node = TestRouter::new();
    node.check_links(PLAIN_SERVICE, 0);
    let request = node.arrive("/once/", 0);
    for _ in 0..2 {
        node.take_only_send();
        node.end_attempt(request, AttemptEnd::NotConnected);
        assert!(node.refusals().is_empty());
    }
    node.take_only_send();
}

#[test]
fn refusal_for_load_is_final_and_keeps_its_retry_delay() {
    let mut node = cut_node();
    let request = forward_one(&mut node, "/again/");
    let retry_after = Some(Duration::from_secs(3));
    let end = AttemptEnd::PeerRefused {
        reason: Refusal::Overloaded,
        retry_after,
    };
    node.end_attempt(request, end);
    let refusal = Effect::Refuse {
        request,
        reason: Refusal::Overloaded,
        retry_after,
    };
    assert!(node.effects.contains(&refusal), "{:?}", node.effects);
}

#[test]
fn peers_that_lost_the_service_or_are_silent_are_not_asked() {
    let mut node = cut_node();
    let unreachable = node.router.unreachable_service_ids();
    node.receive_status(OTHER_PEER, &unreachable);
    let (_, to) = {
        node.arrive("/again/", 0);
        node.take_forwards().remove(0)
    };
    assert_eq!(to.peer, "entry-1");
    // The status of both expires.
    node.advance(Duration::from_secs(2));
    node.arrive("/again/", 0);
    assert!(node.take_forwards().is_empty());
}

/// Guards against streams that break off although a peer that refused them has restarted.
#[test]
fn peer_that_restarted_is_asked_again() {
    let mut node = cut_node();
    let request = node.arrive("/again/", 0);
    let first = node.take_forwards().remove(0).1;
    node.end_attempt(request, refused_by_peer(Refusal::Draining));
    let second = node.take_forwards().remove(0).1;
    assert_ne!(first.addr, second.addr);
    let restarted = if first.peer == "entry-1" {
        PEER
    } else {
        OTHER_PEER
    };
    node.step(Event::PeerExpired { peer: restarted });
    node.receive_status(restarted, &[]);
    node.end_attempt(request, refused_by_peer(Refusal::Draining));
    assert_eq!(node.take_forwards().remove(0).1, first);
}

/// Guards against requests that reach a server through a peer although it requested a backoff.
#[test]
fn peer_excludes_servers_that_requested_a_backoff() {
    let mut node = cut_node();
    let server = server_key(&node, PLAIN_SERVICE, 0);
    let short_id = node.router.fleet().get(server).unwrap().short_id;
    let notice = ServerNotice::Backoff(Duration::from_secs(5));
    node.step(Event::NoticeReceived { server, notice });
    node.arrive("/again/", 0);
    let to = node.take_forwards().remove(0).1;
    assert_eq!(to.excluded_servers, [short_id]);

    let mut peer = peer(to.counts_as);
    peer.excluded_servers = to.excluded_servers;
    for _ in 0..10 {
        peer.arrive("/again/", 0);
        assert_ne!(peer.take_only_send().server, server);
    }
}

/// Guards against 503 while all peers that reach the service restart in turn.
#[test]
fn draining_node_serves_peers_longer_than_callers() {
    let mut node = peer(ForwardedSend::FirstAttempt);
    let schedule = DrainSchedule {
        refuses_peers_from: node.now.after(Duration::from_secs(6)),
        ..drain_schedule(node.now)
    };
    node.step(Event::NodeDraining(schedule));
    node.advance(Duration::from_secs(4));
    node.arrive("/again/", 0);
    assert_eq!(node.take_sends().len(), 1);
    node.forwarded = None;
    node.arrive("/again/", 0);
    assert_eq!(node.refusals(), [Refusal::Draining]);
    node.forwarded = Some(ForwardedSend::FirstAttempt);
    node.advance(Duration::from_secs(3));
    node.arrive("/again/", 0);
    assert_eq!(node.refusals(), [Refusal::Draining; 2]);
}

#[test]
fn forwarded_requests_are_spread_over_the_peers() {
    let mut node = cut_node();
    let mut to_first = 0;
    for _ in 0..20 {
        node.arrive("/again/", 0);
        to_first += usize::from(node.take_forwards()[0].1.peer == "entry-1");
    }
    assert_eq!(to_first, 10);
}

/// Guards against retry budgets that grow by forwarding: one node counts each send.
#[test]
fn retry_over_the_own_budget_is_charged_to_the_peer() {
    const WINDOW: Duration = Duration::from_secs(10);
    let mut node = cut_node();
    node.advance(WINDOW);
    let mut counts = Vec::new();
    for _ in 0..200 {
        node.receive_status(PEER, &[]);
        let request = forward_one(&mut node, "/again/");
        node.end_attempt(request, AttemptEnd::ConnectionLost);
        counts.extend(node.take_forwards().into_iter().map(|(_, to)| to.counts_as));
    }
    let counted = counts.iter().filter(|&&c| c == ForwardedSend::Counted);
    // 0.7 of the slack; the peers count the first attempts.
    assert_eq!(counted.count(), 70);
    assert!(counts[70..].iter().all(|&c| c == ForwardedSend::Retry));

    let mut peer = peer(ForwardedSend::Retry);
    peer.advance(WINDOW);
    for _ in 0..200 {
        peer.arrive("/again/", 0);
    }
    assert_eq!(peer.take_sends().len(), 70);
    assert!(peer.refusals().iter().all(|&r| r == Refusal::NotRun));
}

#[test]
fn first_attempts_count_where_they_are_sent() {
    let mut node = cut_node();
    forward_one(&mut node, "/again/");
    assert!(node.router.retry_usages(node.now).is_empty());
    let mut peer = peer(ForwardedSend::FirstAttempt);
    peer.arrive("/again/", 0);
    let usages = peer.router.retry_usages(peer.now);
    assert_eq!(usages[0].1.first_attempts, 1);
}

/// Guards against stale counts: callers that leave end their forwarded requests.
#[test]
fn callers_that_leave_free_their_peer() {
    let mut node = cut_node();
    for _ in 0..10 {
        let request = forward_one(&mut node, "/again/");
        node.step(notchwalk_route::Event::Abandoned { request });
    }
    assert_eq!(node.router.open_requests(), 0);
    let peers: Vec<String> = (0..2)
        .map(|_| {
            node.arrive("/again/", 0);
            node.take_forwards().remove(0).1.peer
        })
        .collect();
    assert_ne!(peers[0], peers[1]);
}
