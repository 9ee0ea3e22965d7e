//! Crashes: how they are confirmed, attributed and cleared.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use notchwalk_core::Instant;

use super::Quarantine;
use crate::{
    recent::is_recent,
    subjects::PartRun,
    suspect::{Crash, Member, Runner, Suspect},
    suspects::Isolated,
    CrashOrigin, EndReason, Fingerprint, PromptPart, QuarantineFinding, SubjectKind,
};

/// How long a crash is retained.
pub(super) const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Maximum time by which the observed end of a server may precede its crash.
const MAX_END_LEAD: Duration = Duration::from_millis(100);
/// Maximum difference between the times that two nodes record for one observation.
const TIMESTAMP_TOLERANCE: Duration = Duration::from_millis(20);
/// Minimum time between a crash and the reading of a response that refutes it. A busy node
/// may read a response late that arrived before the crash.
const MAX_READ_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of suspected contents, and of classes of parts. Fifty lost servers with ten
/// requests each; about 100 KB.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of suspected contents and parts until classes of parts are evicted: six prompts
/// of 1,300 parts with different evidence; about 1 MB.
const MAX_SUBJECTS: usize = 16_384;
/// Maximum number of retained server ends.
const MAX_ENDED_SERVERS: usize = 256;

impl Quarantine {
    /// Adds a crash to the evidence against a content, unless the crash is old or attributed
    /// to another, quarantined subject. Returns whether it is a new crash.
    pub(super) fn add_crash(&mut self, content: Fingerprint, crash: Crash, now: Instant) -> bool {
        let leader = self.suspects.leader(content);
        if now.since(crash.at) > CRASH_RETENTION || self.is_attributed(leader, &crash, now) {
            return false;
        }
        self.observing_since.get_or_insert(now);
        let crash = self.with_known_end(crash);
        if leader.is_none() {
            self.evict_if_full(SubjectKind::Content, now);
        }
        let suspect = self.suspects.content(content);
        let is_new = suspect.add(crash);
        self.update_correlation(crash.at, now);
        if is_new && crash.observed_locally {
            self.report_crash(content, crash);
        }
        is_new
    }

    /// Adds a crash to the evidence against the parts of a prompt, in its workspace and in
    /// common. Returns the parts for which it is a new one in the workspace.
    pub(super) fn add_part_crash(
        &mut self,
        parts: &[PromptPart],
        crash: Crash,
        origin: CrashOrigin,
        now: Instant,
    ) -> Vec<PromptPart> {
        if now.since(crash.at) > CRASH_RETENTION {
            return Vec::new();
        }
        let members = |key: fn(&PromptPart) -> Fingerprint| -> Vec<Member> {
            let members = parts.iter().map(|part| Member {
                subject: key(part),
                part: Some(part.common()),
            });
            members.collect()
        };
        let run = |is_common| PartRun { origin, is_common };
        let new = self.add_crash_to(&members(PromptPart::scoped), crash, run(false), now);
        self.add_crash_to(&members(PromptPart::common), crash, run(true), now);
        let parts = parts.iter().copied();
        parts.filter(|part| new.contains(&part.scoped())).collect()
    }

    /// Adds a crash to the evidence against parts, in one workspace or in common, unless it is
    /// attributed to a quarantined subject. Returns the parts for which it is a new one.
    fn add_crash_to(
        &mut self,
        members: &[Member],
        crash: Crash,
        run: PartRun,
        now: Instant,
    ) -> HashSet<Fingerprint> {
        let known = self.known_classes(members, now);
        let crash = self.with_known_end(crash);
        let mut new = HashSet::new();
        let mut reported = Vec::new();
        let mut add = |quarantine: &mut Self, leader| {
            let Some(suspect) = quarantine.suspects.get_mut(leader) else {
                return;
            };
            let is_new = suspect.add(crash);
            if !suspect.crashes().is_empty() {
                suspect.record_run(run);
            }
            if is_new {
                new.extend(suspect.subjects());
                reported.push(leader);
            }
            quarantine.update_survival(leader);
        };
        for leader in known {
            if !self.is_attributed(Some(leader), &crash, now) {
                add(self, leader);
            }
        }
        if !self.is_attributed(None, &crash, now) {
            self.observing_since.get_or_insert(now);
            for class in self.new_classes(members, now) {
                self.evict_if_full(SubjectKind::Part, now);
                if let Some(leader) = self.suspects.add_class(class) {
                    add(self, leader);
                }
            }
        }
        self.update_correlation(crash.at, now);
        if crash.observed_locally && !run.is_common {
            for leader in reported {
                self.report_crash(leader, crash);
            }
        }
        new
    }

    /// Returns the leaders of the classes of those members that are suspects already. Quarantined
    /// ones come first: a crash of theirs is attributed to them.
    fn known_classes(&mut self, members: &[Member], now: Instant) -> Vec<Fingerprint> {
        let part_of: HashMap<Fingerprint, Option<Fingerprint>> =
            members.iter().map(|m| (m.subject, m.part)).collect();
        let subjects: Vec<Fingerprint> = members.iter().map(|m| m.subject).collect();
        let mut known = self.isolate(&subjects);
        for &leader in &known {
            if let Some(suspect) = self.suspects.get_mut(leader) {
                suspect.set_parts(|subject| part_of.get(&subject).copied().flatten());
            }
        }
        known.sort_by_key(|&leader| {
            let suspect = self.suspects.get(leader);
            !suspect.is_some_and(|suspect| suspect.is_quarantined(now))
        });
        known
    }

    /// Returns classes of the members that are no suspects yet. Parts that survived a short time
    /// ago need more evidence than others, so that they are in classes of their own.
    fn new_classes(&self, members: &[Member], now: Instant) -> impl Iterator<Item = Suspect> {
        let mut groups: [Vec<Member>; 3] = Default::default();
        let mut seen = HashSet::new();
        for &member in members {
            if self.suspects.contains(member.subject) || !seen.insert(member.subject) {
                continue;
            }
            let group = match self.survivors.last_success(member.subject) {
                None => 0,
                Some(at) if is_recent(at, now) => 1,
                Some(_) => 2,
            };
            groups[group].push(member);
        }
        let groups = groups.into_iter().filter(|group| !group.is_empty());
        groups.map(|group| Suspect::new(SubjectKind::Part, group))
    }

    /// Confirms a crash of a server whose end is already known.
    fn with_known_end(&self, crash: Crash) -> Crash {
        let end = self.ended_servers.get(&crash.server);
        Crash {
            confirmed: crash.confirmed
                || end.is_some_and(|&end| end.after(MAX_END_LEAD) >= crash.at),
            ..crash
        }
    }

    fn report_crash(&mut self, subject: Fingerprint, crash: Crash) {
        let Some(suspect) = self.suspects.get(subject) else {
            return;
        };
        let (kind, incidents) = (suspect.kind, suspect.incidents().count());
        for member in suspect.reported_members() {
            self.findings.push(QuarantineFinding::Crashed {
                content: member.subject,
                kind,
                crash,
                incidents,
            });
        }
    }

    /// Splits classes so that each has either all of its members in `subjects` or none; returns
    /// the leaders of the former.
    pub(super) fn isolate(&mut self, subjects: &[Fingerprint]) -> Vec<Fingerprint> {
        let Isolated { leaders, rests } = self.suspects.isolate(subjects);
        if !rests.is_empty() {
            for &leader in leaders.iter().chain(&rests) {
                self.update_survival(leader);
            }
        }
        leaders
    }

    /// Updates when a part of a class survived last.
    pub(super) fn update_survival(&mut self, leader: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(leader) else {
            return;
        };
        if suspect.kind == SubjectKind::Part {
            let survivals = suspect
                .subjects()
                .filter_map(|s| self.survivors.last_success(s));
            suspect.last_survival = survivals.max();
        }
    }

    /// Returns whether a part survived a short time ago.
    pub(super) fn has_survived(&self, suspect: &Suspect, now: Instant) -> bool {
        suspect.last_survival.is_some_and(|at| is_recent(at, now))
    }

    /// Updates which crashes around `at` are correlated. If servers on which a content did not
    /// run were lost too, the content is probably not the cause.
    ///
    /// Servers that ran a content which is quarantined or had at least three incidents are
    /// excluded: two contents that crash servers often do so at the same time, without a
    /// common cause.
    pub(super) fn update_correlation(&mut self, at: Instant, now: Instant) {
        let (mut ended, mut attributed) = (HashSet::new(), HashSet::new());
        for suspect in self.suspects.values() {
            if self.has_survived(suspect, now) {
                continue;
            }
            if suspect.crashes_at(at).next().is_none() {
                continue;
            }
            let is_likely_cause = suspect.may_be_cause() && suspect.incidents().count() > 2;
            let is_cause = suspect.is_quarantined(now) || is_likely_cause;
            for crash in suspect.crashes_at(at).filter(|crash| crash.confirmed) {
                ended.insert(crash.server);
                if is_cause {
                    attributed.insert(crash.server);
                }
            }
        }
        ended.retain(|server| !attributed.contains(server));
        for suspect in self.suspects.values_mut() {
            let ran_on: HashSet<u32> = suspect.crashes_at(at).map(|c| c.server).collect();
            if !ran_on.is_empty() {
                suspect.set_correlated(at, !ended.is_subset(&ran_on));
            }
        }
    }

    /// Returns whether a crash is attributed to a quarantined suspect other than that of
    /// `leader`.
    pub(super) fn is_attributed(
        &self,
        leader: Option<Fingerprint>,
        crash: &Crash,
        now: Instant,
    ) -> bool {
        let mut others = self.suspects.iter();
        others.any(|(other, suspect)| {
            Some(other) != leader && suspect.is_quarantined(now) && suspect.ran_on(crash.server)
        })
    }

    /// Makes room for a new suspect of a kind: evicts the unquarantined one whose last crash is
    /// the oldest, or the one whose quarantine ends first if all are quarantined.
    pub(super) fn evict_if_full(&mut self, kind: SubjectKind, now: Instant) {
        let rank = |suspect: &Suspect| match suspect.period.filter(|period| now < period.until) {
            Some(period) => (1, period.until),
            None => (0, suspect.last_crash()),
        };
        loop {
            let same_kind = || self.suspects.iter().filter(|(_, s)| s.kind == kind);
            let is_full =
                same_kind().count() >= MAX_SUSPECTS || self.suspects.member_count() >= MAX_SUBJECTS;
            let evicted = same_kind().min_by_key(|(_, s)| rank(s));
            let Some((evicted, _)) = evicted.filter(|_| is_full) else {
                return;
            };
            self.suspects.remove(evicted);
        }
    }

    /// Confirms the crashes of a server that ended. Returns whether there are any.
    pub(super) fn confirm_crashes(&mut self, server: u32, seen: Instant) -> bool {
        if self.ended_servers.len() < MAX_ENDED_SERVERS {
            self.ended_servers.insert(server, seen);
        }
        let mut times = Vec::new();
        for suspect in self.suspects.values_mut() {
            times.extend(suspect.confirm(server, seen.after(MAX_END_LEAD)));
        }
        times.dedup();
        for &at in &times {
            self.update_correlation(at, seen);
        }
        !times.is_empty()
    }

    /// Removes the crashes of a server within an interval in which it was alive. Returns
    /// whether there were any.
    pub(super) fn refute_crashes(&mut self, server: u32, since: Instant, until: Instant) -> bool {
        let (since, until) = (
            since.after(TIMESTAMP_TOLERANCE),
            until.before(MAX_READ_DELAY),
        );
        let mut removed_any = false;
        for suspect in self.suspects.values_mut() {
            removed_any |= suspect
                .retain(|crash| crash.server != server || crash.at <= since || crash.at >= until);
        }
        removed_any
    }

    /// Clears the evidence against a content or parts up to `at` and ends their quarantine if it
    /// began no later.
    pub(super) fn clear(&mut self, subjects: &[Fingerprint], at: Instant, reason: EndReason) {
        for leader in self.isolate(subjects) {
            let Some(suspect) = self.suspects.get_mut(leader) else {
                continue;
            };
            let was_quarantined = suspect.period.is_some();
            suspect.clear(at);
            suspect.end_run(Runner::Local);
            if was_quarantined && suspect.period.is_none() {
                self.report_end(leader, reason);
            }
            self.update_survival(leader);
        }
    }

    pub(super) fn report_end(&mut self, leader: Fingerprint, reason: EndReason) {
        let Some(suspect) = self.suspects.get(leader) else {
            return;
        };
        for member in suspect.reported_members() {
            self.findings.push(QuarantineFinding::Ended {
                content: member.subject,
                kind: suspect.kind,
                reason,
            });
        }
    }
}
