//! All suspects of one entry: what it sees of them, and what follows for their requests.
//!
//! | file | what it holds |
//! |---|---|
//! | `evidence` | crashes: what confirms, explains and clears them |
//! | `background` | what else was lost meanwhile, which speaks for a content |
//! | `judging` | who is quarantined, for how long, and what is forgotten |
//! | `telling` | what peers are told, and what they tell |

mod background;
mod evidence;
mod judging;
mod telling;

use std::collections::HashMap;

use notchwalk_core::Instant;

use crate::{
    news::{age_ms, News},
    recent::RecentSuccesses,
    suspect::{Crash, Runner, Suspect},
    EndReason, Finding, Fingerprint, SuspectView, Verdict,
};
use judging::{halves_allowed, risk, RESTS_BETWEEN_FURTHER_RUNS};

/// The suspects of one entry.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    recent: RecentSuccesses,
    /// When servers were seen to have ended.
    ends: HashMap<u32, Instant>,
    news: Vec<News>,
    findings: Vec<Finding>,
    /// When time was last looked at.
    looked_at: Instant,
    /// Since when this entry knows which servers end; `None` before it knows any.
    knows_since: Option<Instant>,
}

impl Quarantine {
    /// Returns what follows for a request of this content.
    pub fn verdict(&self, content: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.suspects.get(&content) else {
            return Verdict::Free;
        };
        if let Some(term) = suspect.term.filter(|term| now < term.until) {
            return Verdict::Quarantined { until: term.until };
        }
        let moments = suspect.moments();
        if moments.count() == 0 {
            return Verdict::Free;
        }
        let halves = moments.halves();
        let rests = now.since(suspect.last_crash()) < RESTS_BETWEEN_FURTHER_RUNS;
        if halves >= self.halves_needed(suspect) || (halves >= halves_allowed(suspect) && rests) {
            return Verdict::Held;
        }
        if suspect.is_running(now) && !self.recent.contains(content, now) {
            return Verdict::Busy;
        }
        // One loss that struck others too says next to nothing.
        if moments.alone == 0 && moments.shared < 2 {
            return Verdict::Free;
        }
        Verdict::Suspected {
            risk: risk(suspect, moments),
        }
    }

    /// Notes that a request was sent to a server.
    pub fn note_sent(&mut self, content: Fingerprint, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        suspect.begin_run(Runner::Own, now);
        self.news.push(News::Running { content });
    }

    /// Notes that a request left its server in a way that says nothing of it.
    pub fn note_idle(&mut self, content: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        suspect.end_run(Runner::Own);
        self.news.push(News::Idle { content });
    }

    /// Notes that the connection to a server broke under a request. `servers` are
    /// the one that it was sent to and those that read parts of it: any of them
    /// may have ended. `others` is how many requests the first had besides;
    /// `silent` that it said nothing, rather than that the connection ended.
    pub fn note_broken(
        &mut self,
        content: Fingerprint,
        servers: &[u32],
        others: u16,
        silent: bool,
        now: Instant,
    ) {
        self.note_idle(content);
        for &server in servers {
            let crash = Crash {
                server,
                at: now,
                others,
                confirmed: false,
                own: true,
                shared: false,
                checks: 0,
                silent,
            };
            self.add(content, crash, now);
            self.news.push(News::Crashed {
                content,
                server,
                age_ms: 0,
                others,
                silent,
            });
        }
    }

    /// Notes that a request ran to a good end: its content crashes no servers.
    pub fn note_succeeded(&mut self, content: Fingerprint, now: Instant) {
        self.recent.note(content, now);
        if !self.suspects.contains_key(&content) {
            return;
        }
        self.clear(content, now, EndReason::Succeeded);
        self.news.push(News::Succeeded { content, age_ms: 0 });
    }

    /// Notes that a server's end was seen. `told` says that peers may not see it
    /// by themselves.
    pub fn note_server_ended(&mut self, server: u32, told: bool, now: Instant) {
        let matters = self.confirm(server, now);
        if matters && told {
            self.news.push(News::ServerEnded { server, age_ms: 0 });
        }
    }

    /// Notes that a server answered now what it was sent at `since`, on the same
    /// connection: it has not crashed meanwhile.
    pub fn note_server_lived(&mut self, server: u32, since: Instant, now: Instant) {
        if !self.void(server, since, now) {
            return;
        }
        self.news.push(News::ServerLived {
            server,
            since_ms: age_ms(since, now),
            age_ms: 0,
        });
    }

    /// Ends a quarantine at an operator's word; returns whether there was one.
    pub fn release(&mut self, content: Fingerprint, now: Instant) -> bool {
        let is_known = self.suspects.contains_key(&content);
        if is_known {
            self.clear(content, now, EndReason::Released);
            self.news.push(News::Released { content, age_ms: 0 });
        }
        is_known
    }

    /// Takes the servers of which it has to be checked now whether they still listen.
    /// Without it a crash stays without confirmation while the store is away and
    /// nothing else is sent to the server; then it was dropped, and a fourth server
    /// crashed.
    pub fn take_checks(&mut self, now: Instant) -> Vec<u32> {
        let suspects = self.suspects.values_mut();
        let mut due: Vec<u32> = suspects.flat_map(|s| s.take_checks(now)).collect();
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Takes what peers are to be told at once.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// Tells whether there is anything to tell at once.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Takes what became known.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }

    /// Returns all suspects, for operators.
    pub fn suspects(&self, now: Instant) -> Vec<SuspectView<'_>> {
        let views = self.suspects.iter().map(|(&content, suspect)| SuspectView {
            content,
            crashes: suspect.crashes(),
            verdict: self.verdict(content, now),
            times: suspect.times,
        });
        views.collect()
    }

    /// Returns how many contents are quarantined.
    pub fn quarantined(&self, now: Instant) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|s| s.is_quarantined(now)).count()
    }

    /// Tells whether a content has crashes to its name.
    pub fn is_suspect(&self, content: Fingerprint) -> bool {
        self.suspects.contains_key(&content)
    }
}
