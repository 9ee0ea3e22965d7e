//! Parts whose crashes other parts explain.

use notchwalk_quarantine::Verdict;

use crate::node::Node;

#[test]
fn parts_beside_a_fatal_one_are_not_quarantined_with_it() {
    let mut node = Node::new();
    node.crash(&["first", "fatal", "a"], 1);
    node.crash(&["first", "fatal", "b"], 2);
    node.crash(&["first", "fatal", "c"], 3);
    assert_eq!(node.verdict(&["first", "fatal"]), Verdict::Held);
    // A request without the other suspect tells the two apart.
    assert!(matches!(
        node.verdict(&["first", "a"]),
        Verdict::Suspected { .. }
    ));
    node.survive(&["first", "a"]);
    node.advance(200);
    assert!(node.is_quarantined(&["first", "fatal"]));
    for id in ["a", "b", "c"] {
        assert_eq!(node.verdict(&["first", id]), Verdict::Allowed);
    }
}

#[test]
fn parts_with_the_same_crashes_are_quarantined_if_nothing_tells_them_apart() {
    let mut node = Node::new();
    for server in 1..=3 {
        node.crash(&["one", "two"], server);
    }
    assert!(!node.is_quarantined(&["one", "two"]));
    node.advance(3_000);
    assert!(node.is_quarantined(&["one", "two"]));
    // A request with one of them may still run.
    assert!(matches!(node.verdict(&["one"]), Verdict::Suspected { .. }));
    node.survive(&["one"]);
    assert_eq!(node.verdict(&["one"]), Verdict::Allowed);
    assert!(node.is_quarantined(&["one", "two"]));
}

/// Guards against a peer that drops the evidence by which the second quarantine is explained.
#[test]
fn parts_that_a_peer_quarantines_together_are_told_apart() {
    let (mut node, mut peer) = (Node::new(), Node::new());
    for server in 1..=3 {
        node.crash(&["first", "fatal"], server);
        peer.now = node.now;
        node.send_updates(&mut peer);
        let now = peer.now;
        peer.quarantine.record_server_ended(server, false, now);
    }
    node.advance(3_000);
    assert!(node.is_quarantined(&["first", "fatal"]));
    node.send_updates(&mut peer);
    assert!(peer.is_quarantined(&["first", "fatal"]));
    assert!(matches!(
        peer.verdict(&["first", "other"]),
        Verdict::Suspected { .. }
    ));
}

#[test]
fn part_whose_crashes_several_fatal_parts_explain_is_not_quarantined() {
    let mut node = Node::new();
    node.crash(&["sound"], 1);
    for round in 0..3 {
        for (number, id) in ["x", "y"].into_iter().enumerate() {
            let request = node.request(&["sound", id]);
            node.crash_request(&request, 10 + 2 * round + number as u32);
            node.advance(60);
        }
    }
    node.advance(5_000);
    for id in ["x", "y"] {
        assert!(node.is_quarantined(&["sound", id]), "{id}");
    }
    assert!(!node.is_quarantined(&["sound"]));
    node.survive(&["sound"]);
    assert_eq!(node.verdict(&["sound"]), Verdict::Allowed);
    for id in ["x", "y"] {
        assert!(node.is_quarantined(&[id]), "{id}");
    }
}

#[test]
fn first_part_of_two_fatal_ones_runs_without_them() {
    let mut node = Node::new();
    node.survive(&["first", "other"]);
    node.advance(20_000);
    for (server, id) in ["x", "y", "x"].into_iter().enumerate() {
        node.crash(&["first", id], server as u32);
    }
    assert!(matches!(
        node.verdict(&["first", "other"]),
        Verdict::Suspected { .. }
    ));
    assert_eq!(node.verdict(&["first", "x"]), Verdict::Held);
    node.survive(&["first", "other"]);
    assert_eq!(node.verdict(&["first", "other"]), Verdict::Allowed);
}

/// Guards against a later false alarm, which moves the crash of a sound part on the same server.
#[test]
fn connections_that_break_at_different_times_are_one_crash_of_a_server() {
    let mut node = Node::new();
    for server in 1..=3 {
        let fatal = node.request(&["first", "fatal"]);
        let sound = node.request(&["first", &format!("sound-{server}")]);
        for request in [&fatal, &sound] {
            let now = node.now;
            node.quarantine
                .record_request_broken(request, &[server], 4, false, false, now);
            node.advance(400);
        }
        let now = node.now;
        node.quarantine.record_server_ended(server, false, now);
        node.advance(300);
    }
    assert!(!node.is_quarantined(&["first", "other"]));
    assert!(matches!(
        node.verdict(&["first", "other"]),
        Verdict::Suspected { .. }
    ));
}

#[test]
fn several_fatal_parts_are_all_quarantined() {
    let mut node = Node::new();
    for round in 0..3 {
        for (number, id) in ["x", "y", "z"].into_iter().enumerate() {
            node.crash(&["first", id], 10 * round + number as u32);
            node.survive(&["first"]);
        }
    }
    node.advance(200);
    for id in ["x", "y", "z"] {
        assert!(node.is_quarantined(&["first", id]), "{id}");
    }
    assert_eq!(node.verdict(&["first"]), Verdict::Allowed);
}
