//! Crashes: what confirms, explains and clears them.

use std::{collections::HashSet, time::Duration};

use notchwalk_core::Instant;

use super::Quarantine;
use crate::{
    suspect::{Crash, Runner, Suspect},
    EndReason, Finding, Fingerprint,
};

/// How long a crash is remembered.
pub(super) const REMEMBERED: Duration = Duration::from_secs(600);
/// How much sooner than the crash under a request its server's end may be seen.
const END_BEFORE_CRASH: Duration = Duration::from_millis(100);
/// By how much entries' times of one thing differ, as datagrams take.
const TIMES_DIFFER: Duration = Duration::from_millis(20);
/// How much later than a crash an answer must be taken to show that there was none:
/// a busy entry reads an answer that came before the crash after it.
const READ_LATE: Duration = Duration::from_millis(100);
/// Contents kept: fifty lost servers with ten requests each. About 100 KB.
const MAX_SUSPECTS: usize = 512;
/// Ends of servers kept.
const MAX_ENDS: usize = 256;

impl Quarantine {
    pub(super) fn add(&mut self, content: Fingerprint, mut crash: Crash, now: Instant) {
        if now.since(crash.at) > REMEMBERED || self.is_explained(content, &crash, now) {
            return;
        }
        self.knows_since.get_or_insert(now);
        let end = self.ends.get(&crash.server);
        crash.confirmed |= end.is_some_and(|&end| end.after(END_BEFORE_CRASH) >= crash.at);
        self.make_room(content, now);
        let suspect = self.suspects.entry(content).or_default();
        let is_new = suspect.add(crash);
        self.compare_losses(crash.at, now);
        if is_new && crash.own {
            let moments = self
                .suspects
                .get(&content)
                .map_or(0, |s| s.moments().count());
            self.findings.push(Finding::Crashed {
                content,
                crash,
                moments,
            });
        }
    }

    /// Compares which servers were lost at one moment with those that each content ran
    /// on. One that lacks some of them is not the cause: three losses of many servers
    /// at once turned prompts away that many engines read.
    /// What another content explains, that is quarantined or was there at two other moments
    /// as well, was no common cause: two requests that crash servers often enough do so
    /// at one moment.
    pub(super) fn compare_losses(&mut self, at: Instant, now: Instant) {
        let (mut ended, mut explained) = (HashSet::new(), HashSet::new());
        for suspect in self.suspects.values() {
            if suspect.crashes_at(at).next().is_none() {
                continue;
            }
            let is_cause = suspect.is_quarantined(now) || suspect.moments().count() > 2;
            for crash in suspect.crashes_at(at).filter(|crash| crash.confirmed) {
                ended.insert(crash.server);
                if is_cause {
                    explained.insert(crash.server);
                }
            }
        }
        ended.retain(|server| !explained.contains(server));
        for suspect in self.suspects.values_mut() {
            let ran_on: HashSet<u32> = suspect.crashes_at(at).map(|c| c.server).collect();
            if !ran_on.is_empty() {
                suspect.set_shared(at, !ended.is_subset(&ran_on));
            }
        }
    }

    /// Tells whether a content that is quarantined explains a crash.
    pub(super) fn is_explained(&self, content: Fingerprint, crash: &Crash, now: Instant) -> bool {
        let mut others = self.suspects.iter();
        others.any(|(&other, suspect)| {
            other != content && suspect.is_quarantined(now) && is_on(suspect, crash)
        })
    }

    /// Keeps the table within its bound: the oldest that is not quarantined goes,
    /// or else the quarantine that ends first.
    pub(super) fn make_room(&mut self, content: Fingerprint, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&content) {
            return;
        }
        let rank = |suspect: &Suspect| match suspect.term.filter(|term| now < term.until) {
            Some(term) => (1, term.until),
            None => (0, suspect.last_crash()),
        };
        let least = self.suspects.iter().min_by_key(|(_, s)| rank(s));
        if let Some(least) = least.map(|(&content, _)| content) {
            self.suspects.remove(&least);
        }
    }

    /// Marks crashes of a server that ended; returns whether there are any.
    pub(super) fn confirm(&mut self, server: u32, seen: Instant) -> bool {
        if self.ends.len() < MAX_ENDS {
            self.ends.insert(server, seen);
        }
        let mut moments = Vec::new();
        for suspect in self.suspects.values_mut() {
            moments.extend(suspect.confirm(server, seen.after(END_BEFORE_CRASH)));
        }
        moments.dedup();
        for &at in &moments {
            self.compare_losses(at, seen);
        }
        !moments.is_empty()
    }

    /// Drops crashes of a server at times when it lived; returns whether there
    /// were any.
    pub(super) fn void(&mut self, server: u32, since: Instant, until: Instant) -> bool {
        let (since, until) = (since.after(TIMES_DIFFER), until.before(READ_LATE));
        let mut any = false;
        for suspect in self.suspects.values_mut() {
            any |= suspect
                .retain(|crash| crash.server != server || crash.at <= since || crash.at >= until);
        }
        any
    }

    pub(super) fn clear(&mut self, content: Fingerprint, at: Instant, reason: EndReason) {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        let was_quarantined = suspect.term.is_some();
        suspect.clear(at);
        suspect.end_run(Runner::Own);
        if was_quarantined && suspect.term.is_none() {
            self.findings.push(Finding::Ended { content, reason });
        }
    }
}

/// Tells whether two crashes are of the same server at the same moment.
pub(super) fn is_same(a: &Crash, b: &Crash) -> bool {
    /// Connections of one server are seen to break within 15 ms.
    const APART: Duration = Duration::from_millis(100);
    a.server == b.server && a.at.since(b.at).max(b.at.since(a.at)) < APART
}

fn is_on(suspect: &Suspect, crash: &Crash) -> bool {
    suspect.crashes().iter().any(|known| is_same(known, crash))
}
