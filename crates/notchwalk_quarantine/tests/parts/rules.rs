//! The rules by which a part is quarantined, and what clears one.

use std::time::Duration;

use notchwalk_quarantine::{
    CrashOrigin, Fingerprint, PromptPart, QuarantineUpdate, SubjectKind, Verdict,
};

use crate::node::{part, Node, OTHER_WORKSPACE, WORKSPACE};

#[test]
fn part_of_different_contents_is_quarantined_after_three_crashes() {
    let mut node = Node::new();
    for server in 1..=3 {
        assert!(!node.is_quarantined(&["fatal"]));
        node.crash(&["fatal"], server);
    }
    assert!(node.is_quarantined(&["fatal"]));
    assert!(node.is_quarantined(&["other", "fatal"]));
    assert_eq!(node.verdict(&["other"]), Verdict::Allowed);
}

#[test]
fn part_is_held_until_its_third_crash_is_confirmed() {
    let mut node = Node::new();
    for server in 1..=3 {
        let request = node.request(&["fatal"]);
        let now = node.now;
        node.quarantine
            .record_request_broken(&request, &[server], 4, false, false, now);
        node.advance(100);
    }
    assert_eq!(node.verdict(&["fatal"]), Verdict::Held);
}

/// Guards against a sound part that is refused for seconds because failing servers cut streams.
#[test]
fn part_with_unconfirmed_crashes_runs_again_one_request_at_a_time() {
    let mut node = Node::new();
    for server in 1..=4 {
        let request = node.request(&["sound"]);
        let now = node.now;
        node.quarantine
            .record_request_broken(&request, &[server], 0, false, false, now);
        node.advance(100);
    }
    assert_eq!(node.verdict(&["sound"]), Verdict::Held);
    node.advance(1_200);
    assert!(matches!(
        node.verdict(&["sound"]),
        Verdict::Suspected { .. }
    ));
    let request = node.request(&["sound"]);
    node.quarantine.record_request_sent(&request, node.now);
    assert_eq!(node.verdict(&["sound"]), Verdict::RunningElsewhere);
}

#[test]
fn content_that_runs_again_does_not_quarantine_its_parts() {
    let mut node = Node::new();
    let request = node.request(&["sound"]);
    for server in 1..=4 {
        node.crash_request(&request, server);
        node.advance(300);
    }
    let verdict = node.quarantine.request_verdict(&request, node.now);
    assert!(matches!(verdict.verdict, Verdict::Quarantined { .. }));
    assert_eq!(verdict.subject, request.content);
    assert!(matches!(
        node.verdict(&["sound"]),
        Verdict::Suspected { .. }
    ));
}

#[test]
fn suspected_part_has_one_run_at_a_time_on_all_nodes() {
    let (mut node, mut peer) = (Node::new(), Node::new());
    node.crash(&["fatal"], 1);
    let request = node.request(&["fatal"]);
    node.quarantine.record_request_sent(&request, node.now);
    node.send_updates(&mut peer);
    assert_eq!(peer.verdict(&["fatal"]), Verdict::RunningElsewhere);
    node.quarantine.record_request_ended(&request, node.now);
    node.send_updates(&mut peer);
    assert!(matches!(
        peer.verdict(&["fatal"]),
        Verdict::Suspected { .. }
    ));
}

#[test]
fn survival_clears_parts_at_peers_and_keeps_them_from_being_held_back() {
    let (mut node, mut peer) = (Node::new(), Node::new());
    node.crash(&["sound", "fatal"], 1);
    node.send_updates(&mut peer);
    assert_ne!(peer.verdict(&["sound"]), Verdict::Allowed);
    node.survive(&["sound"]);
    node.send_updates(&mut peer);
    peer.advance(300);
    for server in 2..=3 {
        peer.crash(&["sound"], server);
        assert_eq!(peer.verdict(&["sound"]), Verdict::Allowed);
    }
    assert_ne!(peer.verdict(&["fatal"]), Verdict::Allowed);
}

#[test]
fn peer_that_saw_a_part_survive_clears_it_when_told_of_a_crash() {
    let (mut node, mut peer) = (Node::new(), Node::new());
    peer.survive(&["sound"]);
    peer.advance(100);
    node.advance(100);
    node.crash(&["sound"], 1);
    assert_ne!(node.verdict(&["sound"]), Verdict::Allowed);
    node.send_updates(&mut peer);
    peer.send_updates(&mut node);
    assert_eq!(node.verdict(&["sound"]), Verdict::Allowed);
}

#[test]
fn node_that_missed_a_survival_does_not_quarantine_a_sound_part() {
    let (mut node, mut peer) = (Node::new(), Node::new());
    for server in 1..=2 {
        node.crash(&["sound"], server);
        node.send_updates(&mut peer);
        peer.advance(300);
    }
    peer.survive(&["sound"]);
    let missed = peer.quarantine.take_updates();
    assert!(!missed.is_empty());
    node.advance(30_000);
    peer.advance(30_000);
    let request = node.request(&["sound"]);
    node.crash_request(&request, 3);
    node.send_updates(&mut peer);
    peer.send_updates(&mut node);
    node.advance(5_000);
    assert!(!node.is_quarantined(&["sound"]));
}

/// Guards against a node that judges by the time in which it was suspended and heard nothing.
#[test]
fn node_that_resumes_from_suspension_quarantines_no_part_before_it_hears_its_peers() {
    let (mut node, mut peer) = (Node::new(), Node::new());
    node.survive(&["first"]);
    for (server, id) in ["a", "b", "c"].into_iter().enumerate() {
        node.crash(&["first", id], server as u32);
    }
    node.send_updates(&mut peer);
    peer.survive(&["first"]);
    let suspended = Duration::from_secs(20);
    node.now = node.now.after(suspended);
    node.quarantine.record_resume(suspended, node.now);
    node.advance(300);
    assert_eq!(node.verdict(&["first"]), Verdict::Allowed);
    peer.send_updates(&mut node);
    node.advance(3_000);
    assert_eq!(node.verdict(&["first"]), Verdict::Allowed);
}

#[test]
fn part_that_survived_before_is_quarantined_two_crashes_later() {
    let mut node = Node::new();
    node.survive(&["turned"]);
    let mut crashes = 0;
    while !node.is_quarantined(&["turned"]) {
        crashes += 1;
        node.crash(&["turned"], crashes);
    }
    assert_eq!(crashes, 5);
}

#[test]
fn request_that_survived_does_not_count_against_its_parts() {
    let mut node = Node::new();
    for server in 1..=4 {
        let request = node.request(&["sound"]);
        let now = node.now;
        node.quarantine
            .record_request_broken(&request, &[server], 4, false, true, now);
        node.quarantine.record_server_ended(server, false, now);
        node.advance(300);
    }
    assert_eq!(node.verdict(&["sound"]), Verdict::Allowed);
}

#[test]
fn quarantine_by_a_peer_holds_though_a_bystander_has_the_same_crashes_here() {
    let mut node = Node::new();
    for server in 1..=3 {
        let (fatal, bystander) = (node.request(&["fatal"]), node.request(&["bystander"]));
        node.crash_request(&fatal, server);
        node.crash_request(&bystander, server);
        node.advance(300);
    }
    let update = QuarantineUpdate::Quarantined {
        content: part("fatal").scoped(),
        age_ms: 0,
        left_ms: 600_000,
        times: 1,
        kind: SubjectKind::Part,
    };
    node.quarantine.apply_updates(1, &[update], node.now);
    assert!(node.is_quarantined(&["fatal"]));
    assert!(!node.is_quarantined(&["bystander"]));
}

#[test]
fn crashes_of_a_quarantined_part_do_not_count_against_other_parts() {
    let mut node = Node::new();
    for server in 1..=3 {
        let request = node.request(&["sound", "fatal"]);
        node.crash_request(&request, server);
        node.advance(60);
    }
    let update = QuarantineUpdate::Quarantined {
        content: part("fatal").scoped(),
        age_ms: 0,
        left_ms: 600_000,
        times: 1,
        kind: SubjectKind::Part,
    };
    node.quarantine.apply_updates(1, &[update], node.now);
    node.advance(5_000);
    assert!(node.is_quarantined(&["fatal"]));
    assert_eq!(node.verdict(&["sound"]), Verdict::Allowed);
}

#[test]
fn part_named_falsely_in_one_workspace_runs_in_others() {
    let mut node = Node::new();
    for server in 1..=6 {
        node.crash_of(OTHER_WORKSPACE, &["named"], server);
    }
    assert!(matches!(
        node.verdict_of(OTHER_WORKSPACE, &["named"]),
        Verdict::Quarantined { .. }
    ));
    assert_eq!(node.verdict(&["named"]), Verdict::Allowed);
}

#[test]
fn fatal_part_is_quarantined_in_all_workspaces_once_two_lost_servers() {
    let mut node = Node::new();
    for server in 1..=3 {
        node.crash_of(OTHER_WORKSPACE, &["fatal"], server);
    }
    node.crash(&["fatal"], 4);
    assert_ne!(node.verdict_of(9, &["fatal"]), Verdict::Allowed);
    node.advance(200);
    assert!(matches!(
        node.verdict_of(9, &["fatal"]),
        Verdict::Quarantined { .. }
    ));
}

#[test]
fn part_is_separate_for_each_service() {
    let id = Fingerprint::of_part_id("id");
    let (one, other) = (
        PromptPart::new("one", id, 1),
        PromptPart::new("other", id, 1),
    );
    assert_ne!(one.common(), other.common());
    assert_ne!(one.scoped(), one.common());
}

#[test]
fn racks_lost_in_series_quarantine_no_part() {
    let mut node = Node::new();
    node.survive(&["first"]);
    for rack in 0..3 {
        for server in rack * 5..rack * 5 + 5 {
            let request = node.request(&["first", &format!("own-{rack}")]);
            node.crash_request(&request, server);
        }
        node.advance(700);
    }
    node.advance(4_000);
    assert_eq!(node.verdict(&["first"]), Verdict::Allowed);
    assert_eq!(node.quarantine.quarantined_count(node.now), 0);
}

#[test]
fn restored_quarantine_of_a_part_applies_and_can_be_released() {
    let mut node = Node::new();
    let left = Duration::from_secs(60);
    let scoped = part("fatal").scoped();
    let now = node.now;
    node.quarantine
        .restore(scoped, SubjectKind::Part, left, 1, now);
    assert!(node.is_quarantined(&["fatal"]));
    let views = node.quarantine.suspect_views(node.now);
    assert_eq!(views[0].kind, SubjectKind::Part);
    node.advance(10);
    assert!(node.quarantine.release(scoped, node.now));
    assert_eq!(node.verdict(&["fatal"]), Verdict::Allowed);
}

#[test]
fn quarantine_of_a_part_reaches_nodes_that_start_later() {
    let (mut node, mut new) = (Node::new(), Node::new());
    for server in 1..=3 {
        node.crash(&["fatal"], server);
    }
    let updates = node.quarantine.updates_to_rebroadcast(true, node.now);
    new.quarantine.apply_updates(1, &updates, new.now);
    assert!(new.is_quarantined(&["fatal"]));
}

#[test]
fn popular_part_is_published_once_for_a_server() {
    let mut node = Node::new();
    for _ in 0..40 {
        let request = node.request(&["popular"]);
        let now = node.now;
        node.quarantine
            .record_request_broken(&request, &[1], 39, false, false, now);
    }
    let common = part("popular").common();
    let updates = node.quarantine.take_updates();
    let is_of_part = |update: &&QuarantineUpdate| matches!(update, QuarantineUpdate::Crashed { content, .. } if *content == common);
    assert_eq!(updates.iter().filter(is_of_part).count(), 1);
}

#[test]
fn table_of_suspects_is_bounded_with_many_parts() {
    let mut node = Node::new();
    for number in 0..3_000 {
        let now = node.now;
        let id = number.to_string();
        let request = node.request(&[&id]);
        node.quarantine
            .record_request_broken(&request, &[number], 4, false, false, now);
    }
    assert!(node.quarantine.suspect_views(node.now).len() <= 1_024);
}

/// Guards against updates of parts that nodes of an earlier version can't read.
#[test]
fn update_of_a_part_is_a_crash_of_an_unknown_content_to_earlier_versions() {
    #[derive(Debug, serde::Deserialize)]
    enum Earlier {
        Crashed { server: u32 },
    }
    let update = QuarantineUpdate::Crashed {
        content: part("fatal").common(),
        server: 3,
        age_ms: 0,
        others: 0,
        silent: false,
        origin: Some(CrashOrigin {
            workspace: WORKSPACE,
            content: 1,
        }),
    };
    let mut buf = Vec::new();
    ciborium::into_writer(&update, &mut buf).expect("encodes");
    let Earlier::Crashed { server } = ciborium::from_reader(&buf[..]).expect("decodes");
    assert_eq!(server, 3);
}
