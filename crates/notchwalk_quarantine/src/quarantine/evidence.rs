//! Crashes: how they are confirmed, attributed and cleared.

use std::{collections::HashSet, time::Duration};

use notchwalk_core::Instant;

use super::Quarantine;
use crate::{
    subjects::PartRun,
    suspect::{Crash, Runner, Suspect},
    EndReason, Fingerprint, QuarantineFinding, SubjectKind,
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
/// Maximum number of suspected contents, and of parts. Fifty lost servers with ten requests
/// each; about 100 KB.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of retained server ends.
const MAX_ENDED_SERVERS: usize = 256;

impl Quarantine {
    /// Adds a crash to the evidence against a subject, unless the crash is old or attributed
    /// to another, quarantined one. `run` is the run of a part, `None` for contents. Returns whether it
    /// is a new crash.
    pub(super) fn add_crash(
        &mut self,
        content: Fingerprint,
        mut crash: Crash,
        run: Option<PartRun>,
        now: Instant,
    ) -> bool {
        if now.since(crash.at) > CRASH_RETENTION || self.is_attributed(content, &crash, now) {
            return false;
        }
        self.observing_since.get_or_insert(now);
        let end = self.ended_servers.get(&crash.server);
        crash.confirmed |= end.is_some_and(|&end| end.after(MAX_END_LEAD) >= crash.at);
        let kind = match run {
            Some(_) => SubjectKind::Part,
            None => SubjectKind::Content,
        };
        self.evict_if_full(content, kind, now);
        let suspect = self.suspects.entry(content).or_default();
        suspect.kind = kind;
        let is_new = suspect.add(crash);
        if let Some(run) = run.filter(|_| !suspect.crashes().is_empty()) {
            suspect.record_run(run);
        }
        self.update_correlation(crash.at, now);
        let is_reported = run.is_none_or(|run| !run.is_common);
        if is_new && crash.observed_locally && is_reported {
            let suspect = self.suspects.get(&content);
            self.findings.push(QuarantineFinding::Crashed {
                content,
                kind: suspect.map(|s| s.kind).unwrap_or_default(),
                crash,
                incidents: suspect.map_or(0, |s| s.incidents().count()),
            });
        }
        is_new
    }

    /// Updates which crashes around `at` are correlated. If servers on which a content did not
    /// run were lost too, the content is probably not the cause.
    ///
    /// Servers that ran a content which is quarantined or had at least three incidents are
    /// excluded: two contents that crash servers often do so at the same time, without a
    /// common cause.
    pub(super) fn update_correlation(&mut self, at: Instant, now: Instant) {
        let (mut ended, mut attributed) = (HashSet::new(), HashSet::new());
        for (&subject, suspect) in &self.suspects {
            if self.survivors.contains(subject, now) {
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

    /// Returns whether a crash is attributed to another content that is quarantined.
    pub(super) fn is_attributed(&self, content: Fingerprint, crash: &Crash, now: Instant) -> bool {
        let mut others = self.suspects.iter();
        others.any(|(&other, suspect)| {
            other != content && suspect.is_quarantined(now) && suspect.ran_on(crash.server)
        })
    }

    /// Makes room for a new suspect of a kind: evicts the unquarantined one whose last crash is
    /// the oldest, or the one whose quarantine ends first if all are quarantined.
    pub(super) fn evict_if_full(&mut self, subject: Fingerprint, kind: SubjectKind, now: Instant) {
        if self.suspects.contains_key(&subject) {
            return;
        }
        let same_kind = || self.suspects.iter().filter(|(_, s)| s.kind == kind);
        if same_kind().count() < MAX_SUSPECTS {
            return;
        }
        let rank = |suspect: &Suspect| match suspect.period.filter(|period| now < period.until) {
            Some(period) => (1, period.until),
            None => (0, suspect.last_crash()),
        };
        let evicted = same_kind().min_by_key(|(_, s)| rank(s));
        if let Some(evicted) = evicted.map(|(&subject, _)| subject) {
            self.suspects.remove(&evicted);
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

    /// Clears the evidence against a content up to `at` and ends its quarantine if that began
    /// no later.
    pub(super) fn clear(&mut self, content: Fingerprint, at: Instant, reason: EndReason) {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        let was_quarantined = suspect.period.is_some();
        let kind = suspect.kind;
        suspect.clear(at);
        suspect.end_run(Runner::Local);
        if was_quarantined && suspect.period.is_none() {
            self.findings.push(QuarantineFinding::Ended {
                content,
                kind,
                reason,
            });
        }
    }
}
