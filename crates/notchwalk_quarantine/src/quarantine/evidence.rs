//! Crashes: how they are confirmed, attributed and cleared.

use std::{collections::HashSet, time::Duration};

use notchwalk_core::Instant;

use super::Quarantine;
use crate::{
    suspect::{Crash, Runner, Suspect},
    EndReason, Fingerprint, QuarantineFinding,
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
/// Maximum number of suspects. Fifty lost servers with ten requests each; about 100 KB.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of retained server ends.
const MAX_ENDED_SERVERS: usize = 256;

impl Quarantine {
    /// Adds a crash to the evidence against a content, unless the crash is old or attributed
    /// to another, quarantined content.
    pub(super) fn add_crash(&mut self, content: Fingerprint, mut crash: Crash, now: Instant) {
        if now.since(crash.at) > CRASH_RETENTION || self.is_attributed(content, &crash, now) {
            return;
        }
        self.observing_since.get_or_insert(now);
        let end = self.ended_servers.get(&crash.server);
        crash.confirmed |= end.is_some_and(|&end| end.after(MAX_END_LEAD) >= crash.at);
        self.evict_if_full(content, now);
        let suspect = self.suspects.entry(content).or_default();
        let is_new = suspect.add(crash);
        self.update_correlation(crash.at, now);
        if is_new && crash.observed_locally {
            let incidents = self
                .suspects
                .get(&content)
                .map_or(0, |s| s.incidents().count());
            self.findings.push(QuarantineFinding::Crashed {
                content,
                crash,
                incidents,
            });
        }
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
            if suspect.crashes_at(at).next().is_none() {
                continue;
            }
            let is_cause = suspect.is_quarantined(now) || suspect.incidents().count() > 2;
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
            other != content && suspect.is_quarantined(now) && has_crash(suspect, crash)
        })
    }

    /// Evicts a suspect if the table is full: the unquarantined suspect whose last crash is
    /// the oldest, or the suspect whose quarantine ends first if all are quarantined.
    pub(super) fn evict_if_full(&mut self, content: Fingerprint, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&content) {
            return;
        }
        let rank = |suspect: &Suspect| match suspect.period.filter(|period| now < period.until) {
            Some(period) => (1, period.until),
            None => (0, suspect.last_crash()),
        };
        let evicted = self.suspects.iter().min_by_key(|(_, s)| rank(s));
        if let Some(evicted) = evicted.map(|(&content, _)| content) {
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
        suspect.clear(at);
        suspect.end_run(Runner::Local);
        if was_quarantined && suspect.period.is_none() {
            self.findings
                .push(QuarantineFinding::Ended { content, reason });
        }
    }
}

/// Returns whether two reports are of the same crash of a server.
pub(super) fn is_same_crash(a: &Crash, b: &Crash) -> bool {
    /// Nodes detect the broken connections of one server at slightly different times. They
    /// break within 15 ms of each other.
    const TOLERANCE: Duration = Duration::from_millis(100);
    a.server == b.server && a.at.since(b.at).max(b.at.since(a.at)) < TOLERANCE
}

fn has_crash(suspect: &Suspect, crash: &Crash) -> bool {
    suspect
        .crashes()
        .iter()
        .any(|known| is_same_crash(known, crash))
}
