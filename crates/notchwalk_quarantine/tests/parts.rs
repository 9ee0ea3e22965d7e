//! The rules by which a part of prompts is quarantined, and what clears one.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::{
    CrashOrigin, Fingerprint, PromptPart, Quarantine, QuarantineUpdate, RequestSubjects,
    SubjectKind, Verdict,
};

const START: Instant = Instant::from_millis(3_600_000);
const WORKSPACE: u32 = 7;
const OTHER_WORKSPACE: u32 = 8;

fn part_of(workspace: u32, id: &str) -> PromptPart {
    PromptPart::new("engines", Fingerprint::of_part_id(id), workspace)
}

fn part(id: &str) -> PromptPart {
    part_of(WORKSPACE, id)
}

/// The suspects of a node, its clock, and a counter that gives each request its own content.
struct Node {
    quarantine: Quarantine,
    now: Instant,
    contents: u128,
}

impl Node {
    fn new() -> Self {
        let mut quarantine = Quarantine::default();
        quarantine.tick(START);
        Self {
            quarantine,
            now: START,
            contents: 0,
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.after(Duration::from_millis(ms));
        self.quarantine.tick(self.now);
    }

    fn request_of(&mut self, workspace: u32, ids: &[&str]) -> RequestSubjects {
        self.contents += 1;
        let parts = ids.iter().map(|id| part_of(workspace, id));
        RequestSubjects {
            // The first bytes make up the short id.
            content: Fingerprint::from(self.contents << 96),
            parts: parts.collect(),
        }
    }

    fn request(&mut self, ids: &[&str]) -> RequestSubjects {
        self.request_of(WORKSPACE, ids)
    }

    fn crash_request(&mut self, request: &RequestSubjects, server: u32) {
        let now = self.now;
        self.quarantine
            .record_request_broken(request, &[server], 4, false, false, now);
        self.quarantine.record_server_ended(server, false, now);
    }

    /// Crashes a server with a new request that has these parts.
    fn crash_of(&mut self, workspace: u32, ids: &[&str], server: u32) {
        let request = self.request_of(workspace, ids);
        self.crash_request(&request, server);
        self.advance(300);
    }

    fn crash(&mut self, ids: &[&str], server: u32) {
        self.crash_of(WORKSPACE, ids, server);
    }

    fn survive(&mut self, ids: &[&str]) {
        let request = self.request(ids);
        self.quarantine.record_survival(&request, self.now);
    }

    fn verdict_of(&mut self, workspace: u32, ids: &[&str]) -> Verdict {
        let request = self.request_of(workspace, ids);
        self.quarantine.request_verdict(&request, self.now).verdict
    }

    fn verdict(&mut self, ids: &[&str]) -> Verdict {
        self.verdict_of(WORKSPACE, ids)
    }

    fn is_quarantined(&mut self, ids: &[&str]) -> bool {
        matches!(self.verdict(ids), Verdict::Quarantined { .. })
    }

    fn send_updates(&mut self, other: &mut Self) {
        let updates = self.quarantine.take_updates();
        other.quarantine.apply_updates(1, &updates, other.now);
    }
}

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
