//! Trial runs of quarantined parts.

use notchwalk_quarantine::Verdict;

use crate::node::Node;

/// Crashes servers with a part that survived before, until it is quarantined.
fn quarantine_survivor(node: &mut Node) -> u32 {
    node.survive(&["part"]);
    let mut crashes = 0;
    while !node.is_quarantined(&["part"]) {
        crashes += 1;
        node.crash(&["part"], crashes);
    }
    crashes
}

#[test]
fn sound_part_that_was_quarantined_is_cleared_by_a_trial_run() {
    let (mut node, mut peer) = (Node::new(), Node::new());
    quarantine_survivor(&mut node);
    node.send_updates(&mut peer);
    node.advance(2_000);
    peer.advance(2_000);
    assert!(peer.is_quarantined(&["part"]));
    assert!(matches!(node.verdict(&["part"]), Verdict::Suspected { .. }));
    let trial = node.request(&["part"]);
    node.quarantine.record_request_sent(&trial, node.now);
    assert!(node.is_quarantined(&["part"]));
    node.advance(600);
    node.quarantine.record_survival(&trial, node.now);
    node.send_updates(&mut peer);
    assert_eq!(node.verdict(&["part"]), Verdict::Allowed);
    assert_eq!(peer.verdict(&["part"]), Verdict::Allowed);
}

#[test]
fn fatal_part_that_survived_before_has_three_trial_runs() {
    let mut node = Node::new();
    let crashes = quarantine_survivor(&mut node);
    let mut trials = 0;
    for _ in 0..5_000 {
        node.advance(100);
        if !node.is_quarantined(&["part"]) {
            trials += 1;
            let trial = node.request(&["part"]);
            node.quarantine.record_request_sent(&trial, node.now);
            node.advance(60);
            node.crash_request(&trial, crashes + trials);
        }
    }
    assert_eq!(trials, 3);
}

/// Guards against a sound part whose trials end because a fatal one crashes their servers.
#[test]
fn trial_runs_that_another_part_explains_do_not_count_as_failed() {
    let mut node = Node::new();
    let crashes = quarantine_survivor(&mut node);
    for server in crashes + 1..crashes + 9 {
        let now = node.now;
        for request in [node.request(&["fatal"]), node.request(&["part"])] {
            node.quarantine
                .record_request_broken(&request, &[server], 4, false, false, now);
        }
        node.quarantine.record_server_ended(server, false, now);
        node.advance(300);
        assert!(node.is_quarantined(&["part"]));
        node.advance(20_000);
        assert!(!node.is_quarantined(&["part"]));
    }
}

#[test]
fn quarantined_part_that_never_survived_has_no_trial_run() {
    let mut node = Node::new();
    for server in 1..=3 {
        node.crash(&["fatal"], server);
    }
    node.advance(60_000);
    assert!(node.is_quarantined(&["fatal"]));
}
