//! The rules by which a content is quarantined.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::{
    EndReason, Fingerprint, Quarantine, QuarantineFinding, QuarantineUpdate, SubjectKind, Verdict,
};

const START: Instant = Instant::from_millis(3_600_000);

fn content(number: u128) -> Fingerprint {
    Fingerprint::from(number)
}

/// The suspects of a node, and its clock.
struct Node {
    quarantine: Quarantine,
    now: Instant,
}

impl Node {
    fn new() -> Self {
        Self {
            quarantine: Quarantine::default(),
            now: START,
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.after(Duration::from_millis(ms));
        self.quarantine.tick(self.now);
    }

    /// Breaks the connection to a server while it runs a content.
    fn break_connection(&mut self, content: Fingerprint, server: u32) {
        self.quarantine
            .record_broken_connection(content, &[server], 9, false, self.now);
    }

    /// Breaks the connection to a server, whose end is then observed.
    fn crash(&mut self, content: Fingerprint, server: u32) {
        self.break_connection(content, server);
        self.end_server(server);
    }

    fn end_server(&mut self, server: u32) {
        self.quarantine.record_server_ended(server, false, self.now);
    }

    fn succeed(&mut self, content: Fingerprint) {
        self.quarantine.record_success(content, self.now);
    }

    fn verdict(&self, content: Fingerprint) -> Verdict {
        self.quarantine.verdict(content, self.now)
    }

    fn is_quarantined(&self, content: Fingerprint) -> bool {
        matches!(self.verdict(content), Verdict::Quarantined { .. })
    }

    fn is_allowed(&self, content: Fingerprint) -> bool {
        self.verdict(content) == Verdict::Allowed
    }

    /// Delivers all pending updates to another node.
    fn send_updates(&mut self, other: &mut Self) {
        let updates = self.quarantine.take_updates();
        other.quarantine.apply_updates(1, &updates, other.now);
    }

    /// Crashes three servers with a content.
    fn crash_three_servers(&mut self, content: Fingerprint) {
        for server in 100..103 {
            self.crash(content, server);
            self.advance(300);
        }
    }
}

fn risk(verdict: Verdict) -> f64 {
    match verdict {
        Verdict::Suspected { risk } => risk,
        other => panic!("{other:?}"),
    }
}

#[test]
fn third_confirmed_crash_quarantines_content() {
    let (mut node, bad) = (Node::new(), content(1));
    assert!(node.is_allowed(bad));
    node.crash(bad, 1);
    let first = risk(node.verdict(bad));
    node.advance(300);
    node.crash(bad, 2);
    let second = risk(node.verdict(bad));
    assert!(first < 0.1 && second == 1.0, "{first} {second}");
    node.advance(300);
    node.crash(bad, 3);
    assert_eq!(node.verdict(bad), Verdict::Held);
    node.advance(200);
    assert!(node.is_quarantined(bad));
    assert!(node.is_allowed(content(2)));
    let quarantined = node.quarantine.take_findings().into_iter();
    let quarantined: Vec<u32> = quarantined
        .filter_map(|finding| match finding {
            QuarantineFinding::Quarantined(found) => Some(found),
            _ => None,
        })
        .flat_map(|found| found.crashes.into_iter().map(|crash| crash.server))
        .collect();
    assert_eq!(quarantined, [1, 2, 3]);
}

#[test]
fn content_is_held_until_third_crash_is_confirmed() {
    let (mut node, bad) = (Node::new(), content(1));
    node.crash(bad, 1);
    node.advance(300);
    node.crash(bad, 2);
    node.advance(300);
    node.break_connection(bad, 3);
    assert_eq!(node.verdict(bad), Verdict::Held);
    node.advance(900);
    node.end_server(3);
    node.advance(60);
    assert!(node.is_quarantined(bad));
}

/// Guards against quarantining a content because of connection resets.
#[test]
fn unconfirmed_crashes_do_not_quarantine() {
    let (mut node, good) = (Node::new(), content(1));
    for server in 0..5 {
        node.break_connection(good, server);
        node.advance(100);
    }
    assert_eq!(node.verdict(good), Verdict::Held);
    node.advance(6_500);
    assert!(node.is_allowed(good));
}

#[test]
fn response_to_an_earlier_request_refutes_crash() {
    let (mut node, good) = (Node::new(), content(1));
    let sent = node.now;
    node.advance(100);
    // A node that could not connect reported the server as ended.
    node.crash(good, 1);
    // A response read right after the crash may have arrived before it.
    node.advance(50);
    node.quarantine.record_server_alive(1, sent, node.now);
    assert!(!node.is_allowed(good));
    node.advance(100);
    node.quarantine.record_server_alive(1, sent, node.now);
    assert!(node.is_allowed(good));
    // A request sent after the crash may reach the server's next incarnation.
    node.crash(good, 1);
    let sent = node.now.after(Duration::from_millis(50));
    node.advance(500);
    node.quarantine.record_server_alive(1, sent, node.now);
    assert!(!node.is_allowed(good));
}

/// Guards against quarantining a popular content when a rack is lost.
#[test]
fn servers_lost_together_count_as_one_incident() {
    let (mut node, popular) = (Node::new(), content(1));
    for server in 0..6 {
        node.crash(popular, server);
        node.advance(5);
    }
    assert!(matches!(node.verdict(popular), Verdict::Suspected { .. }));
    node.succeed(popular);
    assert!(node.is_allowed(popular));
}

#[test]
fn success_clears_content_and_ends_quarantine_on_all_nodes() {
    let (mut node, mut other, good) = (Node::new(), Node::new(), content(1));
    node.crash_three_servers(good);
    other.now = node.now;
    node.send_updates(&mut other);
    assert!(other.is_quarantined(good));
    other.advance(100);
    other.succeed(good);
    node.now = other.now;
    other.send_updates(&mut node);
    assert!(node.is_allowed(good) && other.is_allowed(good));
    let ended = |finding: &QuarantineFinding| matches!(finding, QuarantineFinding::Ended { reason, .. } if *reason == EndReason::Told);
    assert!(node.quarantine.take_findings().iter().any(ended));
}

/// Guards against quarantining a content that ran alongside the crashing one in two of its
/// three crashes.
#[test]
fn crash_attributed_to_quarantined_content_does_not_count_against_others() {
    let (mut node, bad, concurrent) = (Node::new(), content(1), content(2));
    for server in 0..3 {
        node.break_connection(bad, server);
        if server > 0 {
            node.break_connection(concurrent, server);
        }
        node.end_server(server);
        node.advance(300);
    }
    assert!(node.is_quarantined(bad));
    assert!(node.is_allowed(concurrent));
    // An update that arrives late does not count either.
    let late = QuarantineUpdate::Crashed {
        content: concurrent,
        server: 1,
        age_ms: 600,
        others: 9,
        silent: false,
        origin: None,
    };
    node.quarantine.apply_updates(1, &[late], node.now);
    assert!(node.is_allowed(concurrent));
}

#[test]
fn silent_server_counts_once_its_end_is_confirmed() {
    let (mut node, bad) = (Node::new(), content(1));
    for server in 0..3 {
        node.quarantine
            .record_broken_connection(bad, &[server], 0, true, node.now);
        node.advance(300);
    }
    assert!(node.is_allowed(bad));
    for server in 0..3 {
        node.end_server(server);
    }
    node.advance(60);
    assert!(node.is_quarantined(bad));
}

#[test]
fn crashes_observed_by_different_nodes_add_up() {
    let (mut one, mut two, mut three) = (Node::new(), Node::new(), Node::new());
    let bad = content(1);
    one.crash(bad, 1);
    one.send_updates(&mut three);
    two.advance(300);
    three.advance(300);
    two.crash(bad, 2);
    two.send_updates(&mut three);
    three.end_server(1);
    three.end_server(2);
    three.advance(300);
    three.crash(bad, 3);
    three.advance(200);
    assert!(three.is_quarantined(bad));
    two.now = three.now;
    three.send_updates(&mut two);
    assert!(two.is_quarantined(bad));
}

#[test]
fn node_without_own_observations_declares_quarantine_after_delay() {
    let (mut observer, mut other, bad) = (Node::new(), Node::new(), content(1));
    for server in 0..3 {
        observer.break_connection(bad, server);
        observer.send_updates(&mut other);
        other.end_server(server);
        observer.advance(300);
        other.advance(300);
    }
    assert_eq!(other.verdict(bad), Verdict::Held);
    other.advance(2_000);
    assert!(other.is_quarantined(bad));
}

#[test]
fn suspected_content_has_one_run_at_a_time() {
    let (mut node, mut peer, bad) = (Node::new(), Node::new(), content(1));
    node.crash(bad, 1);
    node.send_updates(&mut peer);
    peer.quarantine.record_send(bad, peer.now);
    assert_eq!(peer.verdict(bad), Verdict::RunningElsewhere);
    peer.send_updates(&mut node);
    assert_eq!(node.verdict(bad), Verdict::RunningElsewhere);
    peer.quarantine.record_run_ended(bad);
    peer.send_updates(&mut node);
    assert!(matches!(node.verdict(bad), Verdict::Suspected { .. }));
    // The update of the end may be lost, and the peer may be removed.
    for lost in [true, false] {
        peer.quarantine.record_send(bad, peer.now);
        peer.send_updates(&mut node);
        match lost {
            true => node.advance(3_100),
            false => node.quarantine.remove_peer(1),
        }
        assert!(matches!(node.verdict(bad), Verdict::Suspected { .. }));
    }
}

/// Guards against running a popular content one request at a time after an unrelated crash.
#[test]
fn recently_successful_content_may_run_concurrently() {
    let (mut node, popular) = (Node::new(), content(1));
    node.succeed(popular);
    node.advance(100);
    node.crash(popular, 1);
    node.quarantine.record_send(popular, node.now);
    assert!(matches!(node.verdict(popular), Verdict::Suspected { .. }));
}

#[test]
fn crash_after_expired_quarantine_starts_a_longer_one() {
    let (mut node, bad) = (Node::new(), content(1));
    node.crash_three_servers(bad);
    node.advance(601_000);
    assert!(node.is_allowed(bad));
    node.crash(bad, 9);
    node.advance(200);
    let Verdict::Quarantined { until } = node.verdict(bad) else {
        panic!("{:?}", node.verdict(bad));
    };
    assert_eq!(until.since(node.now), Duration::from_secs(1_200));
}

#[test]
fn operator_release_ends_quarantine_on_all_nodes() {
    let (mut node, mut other, bad) = (Node::new(), Node::new(), content(1));
    node.crash_three_servers(bad);
    other.now = node.now;
    node.send_updates(&mut other);
    node.advance(1_000);
    other.advance(1_000);
    assert!(other.quarantine.release(bad, other.now));
    other.send_updates(&mut node);
    assert!(node.is_allowed(bad) && other.is_allowed(bad));
    assert!(!node.quarantine.release(content(9), node.now));
    // A rebroadcast of the ended quarantine does not restore it.
    let old = QuarantineUpdate::Quarantined {
        content: bad,
        age_ms: 2_000,
        left_ms: 500_000,
        times: 1,
        kind: SubjectKind::Content,
    };
    node.quarantine.apply_updates(1, &[old], node.now);
    assert!(node.is_allowed(bad));
}

#[test]
fn restored_quarantine_lasts_for_the_remaining_time() {
    let (mut node, bad) = (Node::new(), content(1));
    let left = Duration::from_secs(60);
    node.quarantine
        .restore(bad, SubjectKind::Content, left, 1, node.now);
    assert!(node.is_quarantined(bad));
    node.advance(61_000);
    assert!(node.is_allowed(bad));
}

/// Guards against unbounded memory, and against the eviction of quarantined contents.
#[test]
fn table_is_bounded_and_retains_quarantines() {
    let (mut node, bad) = (Node::new(), content(1));
    node.crash_three_servers(bad);
    for number in 0..20_000 {
        node.break_connection(content(1_000 + number), number as u32);
        if number % 50 == 0 {
            node.advance(1);
        }
    }
    assert!(node.quarantine.suspect_views(node.now).len() <= 512);
    assert!(node.is_quarantined(bad));
    assert!(node.quarantine.updates_to_rebroadcast(true, node.now).len() <= 24);
    let updates = node.quarantine.updates_to_rebroadcast(true, node.now);
    let is_it = |update: &QuarantineUpdate| matches!(update, QuarantineUpdate::Quarantined { content, .. } if *content == bad);
    assert!(updates.iter().any(is_it));
}

/// Guards against quarantining a content that ran on one of several servers lost together.
#[test]
fn correlated_losses_do_not_quarantine() {
    let (mut node, harmless) = (Node::new(), content(1));
    for round in 0..4 {
        let server = round * 10;
        node.crash(harmless, server);
        node.advance(8);
        node.crash(content(100 + u128::from(round)), server + 1);
        node.advance(2_000);
    }
    let verdict = node.verdict(harmless);
    assert!(matches!(verdict, Verdict::Suspected { .. }), "{verdict:?}");
}

/// Guards against treating simultaneous crashes by two contents as correlated losses.
#[test]
fn contents_that_crash_servers_at_the_same_times_are_both_quarantined() {
    let (mut node, one, other) = (Node::new(), content(1), content(2));
    for round in 0..6 {
        node.crash(one, round * 10);
        node.advance(5);
        node.crash(other, round * 10 + 1);
        node.advance(200);
    }
    assert!(node.is_quarantined(one) && node.is_quarantined(other));
}

/// Guards against treating two concurrent runs of one content as correlated losses, and
/// against quarantining a content that ran alongside one of them.
#[test]
fn concurrent_runs_that_crash_both_servers_count_against_their_content() {
    let (mut node, bad, concurrent) = (Node::new(), content(1), content(2));
    for round in 0..3 {
        let (one, other) = (round * 10, round * 10 + 1);
        node.break_connection(concurrent, one);
        node.break_connection(bad, one);
        node.break_connection(bad, other);
        node.end_server(one);
        node.end_server(other);
        node.advance(300);
    }
    assert!(node.is_quarantined(bad));
    assert!(node.is_allowed(concurrent));
}

/// Guards against counting each broken connection to one crashed server as a crash.
#[test]
fn one_incarnation_counts_as_one_crash() {
    let (mut node, good) = (Node::new(), content(1));
    for _ in 0..5 {
        node.crash(good, 1);
        node.advance(600);
    }
    assert!(matches!(node.verdict(good), Verdict::Suspected { .. }));
}

/// Guards against quarantining a content that ran on several servers lost in series. The
/// other losses become known only seconds later, when the registrations of idle servers
/// expire.
#[test]
fn losses_in_series_do_not_quarantine() {
    let (mut node, harmless) = (Node::new(), content(1));
    for round in 0..4 {
        node.crash(harmless, round * 10);
        node.advance(700);
        node.end_server(round * 10 + 1);
        node.end_server(round * 10 + 2);
        node.advance(1_800);
        assert!(!node.is_quarantined(harmless), "round {round}");
    }
    // It may run again, and a success clears it.
    let verdict = node.verdict(harmless);
    assert!(matches!(verdict, Verdict::Suspected { .. }), "{verdict:?}");
    node.succeed(harmless);
    assert!(node.is_allowed(harmless));
}

/// The raised threshold allows a crashing content at most two further crashes, one after
/// another.
#[test]
fn losses_in_series_delay_quarantine_by_at_most_two_crashes() {
    let (mut node, bad) = (Node::new(), content(1));
    let mut crashes = 0;
    for round in 0..40 {
        let may_run = matches!(
            node.verdict(bad),
            Verdict::Allowed | Verdict::Suspected { .. }
        );
        if may_run {
            crashes += 1;
            node.crash(bad, round * 10);
            if crashes >= 3 {
                assert_eq!(
                    node.verdict(bad),
                    Verdict::Held,
                    "must be held after a run that only the raised threshold allows"
                );
            }
        }
        node.end_server(round * 10 + 1);
        node.end_server(round * 10 + 2);
        node.advance(400);
    }
    assert!(node.is_quarantined(bad));
    assert!((3..=5).contains(&crashes), "{crashes} crashes");
}

/// Guards against a quarantine by a node that did not observe the other losses.
#[test]
fn node_started_later_does_not_quarantine_after_losses_in_series() {
    let (mut observer, harmless) = (Node::new(), content(1));
    for round in 0..4 {
        observer.crash(harmless, round * 10);
        observer.end_server(round * 10 + 1);
        observer.end_server(round * 10 + 2);
        observer.advance(2_500);
    }
    let mut later = Node::new();
    later.now = observer.now;
    later.advance(1);
    let updates = observer
        .quarantine
        .updates_to_rebroadcast(true, observer.now);
    later.quarantine.apply_updates(1, &updates, later.now);
    for round in 0..4 {
        later.end_server(round * 10);
    }
    later.advance(3_000);
    assert!(!later.is_quarantined(harmless));
}

/// Guards against counting the servers lost by one crashing content as unrelated losses of
/// another.
#[test]
fn two_crashing_contents_do_not_raise_each_others_thresholds() {
    let (mut node, one, other) = (Node::new(), content(1), content(2));
    for round in 0..3 {
        node.crash(one, round * 10);
        node.advance(300);
        node.crash(other, round * 10 + 1);
        node.advance(300);
    }
    assert!(node.is_quarantined(one), "{:?}", node.verdict(one));
    assert!(node.is_quarantined(other), "{:?}", node.verdict(other));
}
