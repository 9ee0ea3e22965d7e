//! What puts a content in quarantine, and what must not.

use std::time::Duration;

use notchwalk_core::Instant;
use notchwalk_quarantine::{EndReason, Finding, Fingerprint, News, Quarantine, Verdict};

const START: Instant = Instant::from_millis(3_600_000);

fn content(number: u128) -> Fingerprint {
    Fingerprint::from(number)
}

/// An entry's suspects and its clock.
struct Entry {
    quarantine: Quarantine,
    now: Instant,
}

impl Entry {
    fn new() -> Self {
        Self {
            quarantine: Quarantine::default(),
            now: START,
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now.after(Duration::from_millis(ms));
        self.quarantine.pass_time(self.now);
    }

    /// A server's connection breaks under a content.
    fn breaks(&mut self, content: Fingerprint, server: u32) {
        self.quarantine
            .note_broken(content, &[server], 9, false, self.now);
    }

    /// The same, and the server's end is seen.
    fn crashes(&mut self, content: Fingerprint, server: u32) {
        self.breaks(content, server);
        self.ends(server);
    }

    fn ends(&mut self, server: u32) {
        self.quarantine.note_server_ended(server, false, self.now);
    }

    fn succeeds(&mut self, content: Fingerprint) {
        self.quarantine.note_succeeded(content, self.now);
    }

    fn verdict(&self, content: Fingerprint) -> Verdict {
        self.quarantine.verdict(content, self.now)
    }

    fn is_quarantined(&self, content: Fingerprint) -> bool {
        matches!(self.verdict(content), Verdict::Quarantined { .. })
    }

    fn is_free(&self, content: Fingerprint) -> bool {
        self.verdict(content) == Verdict::Free
    }

    /// Tells another entry all that it would be told at once.
    fn tell(&mut self, other: &mut Self) {
        let news = self.quarantine.take_news();
        other.quarantine.hear(1, &news, other.now);
    }

    /// Has a content crash three servers.
    fn crashes_three(&mut self, content: Fingerprint) {
        for server in 100..103 {
            self.crashes(content, server);
            self.pass(300);
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
fn the_third_confirmed_crash_puts_a_content_in_quarantine() {
    let (mut entry, bad) = (Entry::new(), content(1));
    assert!(entry.is_free(bad));
    entry.crashes(bad, 1);
    let first = risk(entry.verdict(bad));
    entry.pass(300);
    entry.crashes(bad, 2);
    let second = risk(entry.verdict(bad));
    assert!(first < 0.1 && second == 1.0, "{first} {second}");
    entry.pass(300);
    entry.crashes(bad, 3);
    assert_eq!(entry.verdict(bad), Verdict::Held);
    entry.pass(200);
    assert!(entry.is_quarantined(bad));
    assert!(entry.is_free(content(2)));
    let quarantined = entry.quarantine.take_findings().into_iter();
    let quarantined: Vec<u32> = quarantined
        .filter_map(|finding| match finding {
            Finding::Quarantined(found) => Some(found),
            _ => None,
        })
        .flat_map(|found| found.crashes.into_iter().map(|crash| crash.server))
        .collect();
    assert_eq!(quarantined, [1, 2, 3]);
}

#[test]
fn a_content_waits_until_the_third_servers_end_is_seen() {
    let (mut entry, bad) = (Entry::new(), content(1));
    entry.crashes(bad, 1);
    entry.pass(300);
    entry.crashes(bad, 2);
    entry.pass(300);
    entry.breaks(bad, 3);
    assert_eq!(entry.verdict(bad), Verdict::Held);
    entry.pass(900);
    entry.ends(3);
    entry.pass(60);
    assert!(entry.is_quarantined(bad));
}

/// Links are cut and connections reset far more often than requests crash servers.
#[test]
fn broken_connections_alone_quarantine_nobody() {
    let (mut entry, good) = (Entry::new(), content(1));
    for server in 0..5 {
        entry.breaks(good, server);
        entry.pass(100);
    }
    assert_eq!(entry.verdict(good), Verdict::Held);
    entry.pass(6_500);
    assert!(entry.is_free(good));
}

#[test]
fn a_server_that_answers_what_it_was_sent_before_has_not_crashed() {
    let (mut entry, good) = (Entry::new(), content(1));
    let sent = entry.now;
    entry.pass(100);
    // An entry that could not connect took it for ended.
    entry.crashes(good, 1);
    // An answer that is read right after may have come before.
    entry.pass(50);
    entry.quarantine.note_server_lived(1, sent, entry.now);
    assert!(!entry.is_free(good));
    entry.pass(100);
    entry.quarantine.note_server_lived(1, sent, entry.now);
    assert!(entry.is_free(good));
    // What is sent after a crash may be answered by the server's next life.
    entry.crashes(good, 1);
    let sent = entry.now.after(Duration::from_millis(50));
    entry.pass(500);
    entry.quarantine.note_server_lived(1, sent, entry.now);
    assert!(!entry.is_free(good));
}

/// A rack is lost, and a popular request ran on each of its servers.
#[test]
fn servers_lost_at_one_moment_count_once() {
    let (mut entry, popular) = (Entry::new(), content(1));
    for server in 0..6 {
        entry.crashes(popular, server);
        entry.pass(5);
    }
    assert!(matches!(entry.verdict(popular), Verdict::Suspected { .. }));
    entry.succeeds(popular);
    assert!(entry.is_free(popular));
}

#[test]
fn a_good_end_clears_a_content_and_ends_its_quarantine_everywhere() {
    let (mut entry, mut other, good) = (Entry::new(), Entry::new(), content(1));
    entry.crashes_three(good);
    other.now = entry.now;
    entry.tell(&mut other);
    assert!(other.is_quarantined(good));
    other.pass(100);
    other.succeeds(good);
    entry.now = other.now;
    other.tell(&mut entry);
    assert!(entry.is_free(good) && other.is_free(good));
    let ended = |finding: &Finding| matches!(finding, Finding::Ended { reason, .. } if *reason == EndReason::Told);
    assert!(entry.quarantine.take_findings().iter().any(ended));
}

/// A request that was beside the one at fault at each of its crashes but one.
#[test]
fn a_crash_that_a_quarantined_content_explains_counts_for_nobody_else() {
    let (mut entry, bad, beside) = (Entry::new(), content(1), content(2));
    for server in 0..3 {
        entry.breaks(bad, server);
        if server > 0 {
            entry.breaks(beside, server);
        }
        entry.ends(server);
        entry.pass(300);
    }
    assert!(entry.is_quarantined(bad));
    assert!(entry.is_free(beside));
    // Word of it that comes late counts no more either.
    let late = News::Crashed {
        content: beside,
        server: 1,
        age_ms: 600,
        others: 9,
        silent: false,
    };
    entry.quarantine.hear(1, &[late], entry.now);
    assert!(entry.is_free(beside));
}

#[test]
fn a_server_that_only_falls_silent_counts_once_its_end_is_seen() {
    let (mut entry, bad) = (Entry::new(), content(1));
    for server in 0..3 {
        entry
            .quarantine
            .note_broken(bad, &[server], 0, true, entry.now);
        entry.pass(300);
    }
    assert!(entry.is_free(bad));
    for server in 0..3 {
        entry.ends(server);
    }
    entry.pass(60);
    assert!(entry.is_quarantined(bad));
}

#[test]
fn crashes_seen_by_different_entries_add_up() {
    let (mut one, mut two, mut three) = (Entry::new(), Entry::new(), Entry::new());
    let bad = content(1);
    one.crashes(bad, 1);
    one.tell(&mut three);
    two.pass(300);
    three.pass(300);
    two.crashes(bad, 2);
    two.tell(&mut three);
    three.ends(1);
    three.ends(2);
    three.pass(300);
    three.crashes(bad, 3);
    three.pass(200);
    assert!(three.is_quarantined(bad));
    two.now = three.now;
    three.tell(&mut two);
    assert!(two.is_quarantined(bad));
}

#[test]
fn an_entry_that_saw_no_crash_declares_if_nobody_else_does() {
    let (mut witness, mut other, bad) = (Entry::new(), Entry::new(), content(1));
    for server in 0..3 {
        witness.breaks(bad, server);
        witness.tell(&mut other);
        other.ends(server);
        witness.pass(300);
        other.pass(300);
    }
    assert_eq!(other.verdict(bad), Verdict::Held);
    other.pass(2_000);
    assert!(other.is_quarantined(bad));
}

#[test]
fn one_run_at_a_time_while_a_content_is_suspected() {
    let (mut entry, mut peer, bad) = (Entry::new(), Entry::new(), content(1));
    entry.crashes(bad, 1);
    entry.tell(&mut peer);
    peer.quarantine.note_sent(bad, peer.now);
    assert_eq!(peer.verdict(bad), Verdict::Busy);
    peer.tell(&mut entry);
    assert_eq!(entry.verdict(bad), Verdict::Busy);
    peer.quarantine.note_idle(bad);
    peer.tell(&mut entry);
    assert!(matches!(entry.verdict(bad), Verdict::Suspected { .. }));
    // Word of the end may get lost, and the peer may be gone.
    for lost in [true, false] {
        peer.quarantine.note_sent(bad, peer.now);
        peer.tell(&mut entry);
        match lost {
            true => entry.pass(3_100),
            false => entry.quarantine.forget_peer(1),
        }
        assert!(matches!(entry.verdict(bad), Verdict::Suspected { .. }));
    }
}

/// Popular requests must not queue behind each other for a crash beside them.
#[test]
fn what_lately_ended_well_may_run_at_once_all_the_same() {
    let (mut entry, popular) = (Entry::new(), content(1));
    entry.succeeds(popular);
    entry.pass(100);
    entry.crashes(popular, 1);
    entry.quarantine.note_sent(popular, entry.now);
    assert!(matches!(entry.verdict(popular), Verdict::Suspected { .. }));
}

#[test]
fn a_quarantine_lapses_and_the_next_crash_brings_a_longer_one() {
    let (mut entry, bad) = (Entry::new(), content(1));
    entry.crashes_three(bad);
    entry.pass(601_000);
    assert!(entry.is_free(bad));
    entry.crashes(bad, 9);
    entry.pass(200);
    let Verdict::Quarantined { until } = entry.verdict(bad) else {
        panic!("{:?}", entry.verdict(bad));
    };
    assert_eq!(until.since(entry.now), Duration::from_secs(1_200));
}

#[test]
fn an_operator_ends_a_quarantine() {
    let (mut entry, mut other, bad) = (Entry::new(), Entry::new(), content(1));
    entry.crashes_three(bad);
    other.now = entry.now;
    entry.tell(&mut other);
    entry.pass(1_000);
    other.pass(1_000);
    assert!(other.quarantine.release(bad, other.now));
    other.tell(&mut entry);
    assert!(entry.is_free(bad) && other.is_free(bad));
    assert!(!entry.quarantine.release(content(9), entry.now));
    // What is told again of before does not bring it back.
    let old = News::Quarantined {
        content: bad,
        age_ms: 2_000,
        left_ms: 500_000,
        times: 1,
    };
    entry.quarantine.hear(1, &[old], entry.now);
    assert!(entry.is_free(bad));
}

#[test]
fn a_quarantine_that_the_store_kept_holds_for_what_is_left_of_it() {
    let (mut entry, bad) = (Entry::new(), content(1));
    let left = Duration::from_secs(60);
    entry.quarantine.restore(bad, left, 1, entry.now);
    assert!(entry.is_quarantined(bad));
    entry.pass(61_000);
    assert!(entry.is_free(bad));
}

/// Whatever callers send and servers lose, the table stays small, and those that are
/// known to crash servers stay in it.
#[test]
fn the_table_is_bounded_and_keeps_quarantines() {
    let (mut entry, bad) = (Entry::new(), content(1));
    entry.crashes_three(bad);
    for number in 0..20_000 {
        entry.breaks(content(1_000 + number), number as u32);
        if number % 50 == 0 {
            entry.pass(1);
        }
    }
    assert!(entry.quarantine.suspects(entry.now).len() <= 512);
    assert!(entry.is_quarantined(bad));
    assert!(entry.quarantine.retold(true, entry.now).len() <= 24);
    let told = entry.quarantine.retold(true, entry.now);
    let is_it = |news: &News| matches!(news, News::Quarantined { content, .. } if *content == bad);
    assert!(told.iter().any(is_it));
}

/// Seen on a day of lost servers: a prompt that many engines read was on one of the
/// lost ones three times, and was turned away for ten minutes. A request crashes the
/// servers that run it; here others went at the same moment.
#[test]
fn a_loss_that_struck_other_servers_too_is_no_requests_fault() {
    let (mut entry, unlucky) = (Entry::new(), content(1));
    for round in 0..4 {
        let server = round * 10;
        entry.crashes(unlucky, server);
        entry.pass(8);
        entry.crashes(content(100 + u128::from(round)), server + 1);
        entry.pass(2_000);
    }
    let verdict = entry.verdict(unlucky);
    assert!(matches!(verdict, Verdict::Suspected { .. }), "{verdict:?}");
}

/// Two requests that crash servers, and come often: each crashes its own at the moment
/// of the other's, which alone would be taken for a loss that struck both.
#[test]
fn two_contents_that_crash_servers_at_the_same_moments_are_both_quarantined() {
    let (mut entry, one, other) = (Entry::new(), content(1), content(2));
    for round in 0..6 {
        entry.crashes(one, round * 10);
        entry.pass(5);
        entry.crashes(other, round * 10 + 1);
        entry.pass(200);
    }
    assert!(entry.is_quarantined(one) && entry.is_quarantined(other));
}

/// The same request, on two servers at once, crashes both; what runs beside it on one
/// of them is not at fault.
#[test]
fn two_runs_at_once_that_crash_both_servers_count_against_their_content() {
    let (mut entry, bad, beside) = (Entry::new(), content(1), content(2));
    for round in 0..3 {
        let (one, other) = (round * 10, round * 10 + 1);
        entry.breaks(beside, one);
        entry.breaks(bad, one);
        entry.breaks(bad, other);
        entry.ends(one);
        entry.ends(other);
        entry.pass(300);
    }
    assert!(entry.is_quarantined(bad));
    assert!(entry.is_free(beside));
}

/// Seen on a day with the store away: connections to one crashed server broke again and
/// again, and each time counted as a crash.
#[test]
fn a_life_of_a_server_ends_once() {
    let (mut entry, good) = (Entry::new(), content(1));
    for _ in 0..5 {
        entry.crashes(good, 1);
        entry.pass(600);
    }
    assert!(matches!(entry.verdict(good), Verdict::Suspected { .. }));
}

/// On a day on which servers were lost in series a content was turned away everywhere
/// for ten minutes that crashed nothing: it was on four of them, at separate moments,
/// all confirmed, within nine seconds, and never ended well between.
///
/// Cause: each loss was weighed by what else went at the same moment. Most of the
/// servers lost in these seconds ran nothing, and it became known seconds later, when
/// their records lapsed, that they were lost as well.
#[test]
fn losses_that_come_in_series_quarantine_nobody() {
    let (mut entry, unlucky) = (Entry::new(), content(1));
    for round in 0..4 {
        entry.crashes(unlucky, round * 10);
        entry.pass(700);
        entry.ends(round * 10 + 1);
        entry.ends(round * 10 + 2);
        entry.pass(1_800);
        assert!(!entry.is_quarantined(unlucky), "round {round}");
    }
    // It may run again, and a good end clears it.
    let verdict = entry.verdict(unlucky);
    assert!(matches!(verdict, Verdict::Suspected { .. }), "{verdict:?}");
    entry.succeeds(unlucky);
    assert!(entry.is_free(unlucky));
}

/// The same losses hide a content that is at fault for two servers more at most; it
/// runs on them one after another, each time after a pause.
#[test]
fn losses_that_come_in_series_hide_a_content_at_fault_for_two_servers_more() {
    let (mut entry, bad) = (Entry::new(), content(1));
    let mut crashes = 0;
    for round in 0..40 {
        let may_run = matches!(
            entry.verdict(bad),
            Verdict::Free | Verdict::Suspected { .. }
        );
        if may_run {
            crashes += 1;
            entry.crashes(bad, round * 10);
            if crashes >= 3 {
                assert_eq!(entry.verdict(bad), Verdict::Held, "a pause follows");
            }
        }
        entry.ends(round * 10 + 1);
        entry.ends(round * 10 + 2);
        entry.pass(400);
    }
    assert!(entry.is_quarantined(bad));
    assert!((3..=5).contains(&crashes), "{crashes} crashes");
}

/// One that has just started doesn't know what else was lost before.
#[test]
fn an_entry_that_started_later_does_not_take_losses_in_series_for_proof() {
    let (mut witness, unlucky) = (Entry::new(), content(1));
    for round in 0..4 {
        witness.crashes(unlucky, round * 10);
        witness.ends(round * 10 + 1);
        witness.ends(round * 10 + 2);
        witness.pass(2_500);
    }
    let mut later = Entry::new();
    later.now = witness.now;
    later.pass(1);
    let told = witness.quarantine.retold(true, witness.now);
    later.quarantine.hear(1, &told, later.now);
    for round in 0..4 {
        later.ends(round * 10);
    }
    later.pass(3_000);
    assert!(!later.is_quarantined(unlucky));
}

/// Two requests that crash servers, each at moments of its own: the servers of one don't
/// speak for the other, or each costs two servers more.
#[test]
fn two_contents_at_fault_do_not_speak_for_each_other() {
    let (mut entry, one, other) = (Entry::new(), content(1), content(2));
    for round in 0..3 {
        entry.crashes(one, round * 10);
        entry.pass(300);
        entry.crashes(other, round * 10 + 1);
        entry.pass(300);
    }
    assert!(entry.is_quarantined(one), "{:?}", entry.verdict(one));
    assert!(entry.is_quarantined(other), "{:?}", entry.verdict(other));
}
