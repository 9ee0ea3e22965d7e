//! Limits of servers that several nodes share.

use std::time::Duration;

use notchwalk_route::{Event, LimitScope, LimitSharing, LimitUpdate};

use crate::{
    common::{server_key, TestRouter, PLAIN_SERVICE},
    limits::{announce, announce_aged, announce_all, available_requests, limit},
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns the limit updates that a node publishes.
fn updates(node: &TestRouter) -> Vec<LimitUpdate> {
    node.router
        .fleet()
        .limit_updates(LimitScope::Direct, 48, node.now)
}

fn publish(from: &TestRouter, to: &mut TestRouter, name: &str, peer: u32) {
    to.step(Event::LimitUpdates {
        peer,
        name: name.to_owned(),
        is_in_group: true,
        updates: updates(from),
    });
}

/// Guards against exceeding the limit at a node that has received no response from the
/// server.
#[test]
fn limits_from_peers_apply_and_are_not_rebroadcast() {
    let mut first = TestRouter::with_engines("entry-1", 3);
    let mut second = TestRouter::with_engines("entry-2", 3);
    announce(&mut first, PLAIN_SERVICE, 0, 2.0);
    publish(&first, &mut second, "entry-1", 1);
    assert_eq!(limit(&second, PLAIN_SERVICE, 0), Some(2.0));
    assert!(updates(&second)
        .iter()
        .all(|update| update.observed.is_none()));
    first.advance(SECOND);
    second.advance(SECOND);
    announce_aged(&mut first, PLAIN_SERVICE, 0, None, Duration::ZERO);
    publish(&first, &mut second, "entry-1", 1);
    assert_eq!(limit(&second, PLAIN_SERVICE, 0), None);
}

/// Guards against exceeding a limit after a restart of the only node that has received a
/// response from the server.
#[test]
fn restarted_node_receives_its_own_limits_from_peers() {
    let mut first = TestRouter::with_engines("entry-1", 3);
    let mut second = TestRouter::with_engines("entry-2", 3);
    announce(&mut first, PLAIN_SERVICE, 0, 0.0);
    publish(&first, &mut second, "entry-1", 1);
    let mut first = TestRouter::just_started("entry-1", 3);
    let limits = second.router.fleet();
    let limits = limits.limit_updates(LimitScope::All, 48, second.now);
    let name = "entry-2".to_owned();
    let peer = 2;
    first.step(Event::LimitUpdates {
        peer,
        name,
        is_in_group: true,
        updates: limits,
    });
    assert_eq!(limit(&first, PLAIN_SERVICE, 0), Some(0.0));
}

#[test]
fn sends_of_peers_count_against_the_limit() {
    let mut node = TestRouter::new();
    announce(&mut node, PLAIN_SERVICE, 0, 2.0);
    node.advance(5 * SECOND);
    let full = available_requests(&node, PLAIN_SERVICE, 0);
    let server = updates(&node)[0].server;
    let mut available_after = |sent| {
        let limits = vec![LimitUpdate {
            server,
            observed: None,
            sent,
            has_demand: false,
        }];
        let name = "entry-2".to_owned();
        let peer = 1;
        node.step(Event::LimitUpdates {
            peer,
            name,
            is_in_group: true,
            updates: limits,
        });
        available_requests(&node, PLAIN_SERVICE, 0)
    };
    // The first counter only sets the baseline.
    assert!((available_after(70) - full).abs() < 0.01);
    assert!((available_after(73) - (full - 3.0)).abs() < 0.01);
    // A repeated datagram, and a lost one.
    assert!((available_after(73) - (full - 3.0)).abs() < 0.01);
    assert!((available_after(75) - (full - 5.0)).abs() < 0.01);
    // The peer has restarted.
    assert!((available_after(0) - (full - 5.0)).abs() < 0.01);
    assert!((available_after(1) - (full - 6.0)).abs() < 0.01);
}

/// An unreachable peer may still be sending.
#[test]
fn shares_of_unreachable_nodes_are_not_used() {
    let mut node = TestRouter::new();
    node.step(Event::LimitSharing(LimitSharing::new("entry-1", 4, 1)));
    announce_all(&mut node, PLAIN_SERVICE, 3, 4.0);
    let mut sent = 0;
    for _ in 0..800 {
        node.advance(Duration::from_millis(15));
        node.arrive("/again/", 0);
        sent += node.take_sends().len();
    }
    assert!(
        (32..=36).contains(&sent),
        "sent {sent} of 36 allowed requests in 12 s"
    );
}

/// A peer publishes a limit until it receives the update that ends it.
#[test]
fn outdated_update_of_a_peer_does_not_restore_a_limit() {
    let mut first = TestRouter::with_engines("entry-1", 3);
    let mut second = TestRouter::with_engines("entry-2", 3);
    announce(&mut first, PLAIN_SERVICE, 0, 2.0);
    announce(&mut second, PLAIN_SERVICE, 0, 2.0);
    first.advance(SECOND);
    second.advance(SECOND);
    announce_aged(&mut first, PLAIN_SERVICE, 0, None, Duration::ZERO);
    publish(&second, &mut first, "entry-2", 2);
    assert_eq!(limit(&first, PLAIN_SERVICE, 0), None);
}

/// Each group has its own share of a limit. Counting the sends of other groups against it
/// would leave most of the limit unused.
#[test]
fn sends_of_other_groups_do_not_count_against_this_groups_share() {
    let mut node = TestRouter::new();
    announce(&mut node, PLAIN_SERVICE, 0, 8.0);
    node.advance(5 * SECOND);
    let full = available_requests(&node, PLAIN_SERVICE, 0);
    let server = updates(&node)[0].server;
    for sent in [70, 90] {
        let limits = vec![LimitUpdate {
            server,
            observed: None,
            sent,
            has_demand: true,
        }];
        node.step(Event::LimitUpdates {
            peer: 1,
            name: "entry-70".to_owned(),
            is_in_group: false,
            updates: limits,
        });
    }
    assert!((available_requests(&node, PLAIN_SERVICE, 0) - full).abs() < 0.01);
    let server = node.router.fleet().get(server_key(&node, PLAIN_SERVICE, 0));
    assert_eq!(server.map(|server| server.limit_users(node.now)), Some(1));
}
