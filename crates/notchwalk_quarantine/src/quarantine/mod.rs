//! The suspects of a node, and the verdicts on their requests.
//!
//! | file | contents |
//! |---|---|
//! | `unrelated_losses` | losses of unrelated servers, which raise the required evidence |
//! | `evidence` | crashes: how they are confirmed, attributed and cleared |
//! | `explanation` | how the crashes of a part are explained by other parts |
//! | `parts` | verdicts on requests with several parts, and what clears a part |
//! | `policy` | which contents are quarantined, for how long, and what expires |
//! | `peers` | updates received from peers and rebroadcast to them |

mod evidence;
mod explanation;
mod parts;
mod peers;
mod policy;
mod unrelated_losses;

use std::{
    collections::{hash_map::RandomState, HashMap},
    time::Duration,
};

use notchwalk_core::Instant;

use crate::{
    recent::RecentSuccesses,
    suspect::{Crash, Runner, Suspect},
    suspects::Suspects,
    update::{age_ms, QuarantineUpdate},
    EndReason, Fingerprint, QuarantineFinding, SubjectKind, SuspectView, Verdict,
};
pub use parts::SURVIVAL_TIME;
use policy::{base_threshold, risk, HOLD_AFTER_CRASH};

/// The request contents suspected of crashing servers, as known to one node.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Suspects,
    recent: RecentSuccesses,
    /// Parts of prompts that survived a short time ago, here or at a peer.
    survivors: RecentSuccesses,
    /// Servers that ended, and when that was observed.
    ended_servers: HashMap<u32, Instant>,
    /// Updates to be published.
    updates: Vec<QuarantineUpdate>,
    findings: Vec<QuarantineFinding>,
    last_tick: Instant,
    /// Random, so that nodes choose different subsets of what all of them know.
    node_seed: RandomState,
    /// When this node started to observe the ends of servers.
    observing_since: Option<Instant>,
    /// When this node last resumed from a suspension.
    resumed_at: Option<Instant>,
}

impl Quarantine {
    /// Returns the verdict on requests of this content.
    pub fn verdict(&self, content: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.suspects.get(content) else {
            return Verdict::Allowed;
        };
        if let Some(period) = suspect.period.filter(|period| now < period.until) {
            return Verdict::Quarantined {
                until: period.until,
            };
        }
        let incidents = suspect.incidents();
        if incidents.count() == 0 {
            return Verdict::Allowed;
        }
        let score = incidents.score();
        let is_on_hold = now.since(suspect.last_crash()) < HOLD_AFTER_CRASH;
        if score >= self.threshold(suspect) || (score >= base_threshold(suspect) && is_on_hold) {
            return Verdict::Held;
        }
        if suspect.is_running(now) && !self.recent.contains(content, now) {
            return Verdict::RunningElsewhere;
        }
        // A single correlated incident is too weak as evidence.
        if incidents.isolated == 0 && incidents.correlated < 2 {
            return Verdict::Allowed;
        }
        Verdict::Suspected {
            risk: risk(suspect, incidents),
        }
    }

    /// Returns when the quarantine of a content or part ends; `None` if there is none.
    pub fn quarantined_until(&self, subject: Fingerprint, now: Instant) -> Option<Instant> {
        let period = self.suspects.get(subject)?.period;
        period
            .map(|period| period.until)
            .filter(|&until| now < until)
    }

    /// Records that a request was sent to a server. Only runs of suspects are tracked.
    pub fn record_send(&mut self, content: Fingerprint, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(content) else {
            return;
        };
        suspect.begin_run(Runner::Local, now);
        self.updates.push(QuarantineUpdate::Running { content });
    }

    /// Records that a run ended without evidence for or against its content.
    pub fn record_run_ended(&mut self, content: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(content) else {
            return;
        };
        suspect.end_run(Runner::Local);
        self.updates.push(QuarantineUpdate::Idle { content });
    }

    /// Records that the connection to a server broke while it was running a request.
    /// `servers` are the server that the request was sent to and its prefill workers, any of
    /// which may have ended. `others` is the number of other requests on the first server.
    /// `silent` means that it stopped responding while the connection stayed open.
    pub fn record_broken_connection(
        &mut self,
        content: Fingerprint,
        servers: &[u32],
        others: u16,
        silent: bool,
        now: Instant,
    ) {
        self.record_run_ended(content);
        for &server in servers {
            let crash = Crash::observed(server, others, silent, now);
            self.add_crash(content, crash, now);
            self.updates.push(QuarantineUpdate::Crashed {
                content,
                server,
                age_ms: 0,
                others,
                silent,
                origin: None,
            });
        }
    }

    /// Records a successful run, which clears the content.
    pub fn record_success(&mut self, content: Fingerprint, now: Instant) {
        self.recent.record(content, now);
        if !self.suspects.contains(content) {
            return;
        }
        self.clear(&[content], now, EndReason::Succeeded);
        self.updates
            .push(QuarantineUpdate::Succeeded { content, age_ms: 0 });
    }

    /// Records that a server was observed to have ended. `publish` is set if peers may
    /// not observe the end themselves.
    pub fn record_server_ended(&mut self, server: u32, publish: bool, now: Instant) {
        let is_relevant = self.confirm_crashes(server, now);
        if is_relevant && publish {
            self.updates
                .push(QuarantineUpdate::ServerEnded { server, age_ms: 0 });
        }
    }

    /// Records that a server responded to a request that was sent at `since` on the same
    /// connection, so it did not crash between `since` and `now`.
    pub fn record_server_alive(&mut self, server: u32, since: Instant, now: Instant) {
        if !self.refute_crashes(server, since, now) {
            return;
        }
        self.updates.push(QuarantineUpdate::ServerAlive {
            server,
            since_ms: age_ms(since, now),
            age_ms: 0,
        });
    }

    /// Clears a content on behalf of an operator. Returns whether it was suspected.
    pub fn release(&mut self, content: Fingerprint, now: Instant) -> bool {
        let is_known = self.suspects.contains(content);
        if is_known {
            self.clear(&[content], now, EndReason::Released);
            self.updates
                .push(QuarantineUpdate::Released { content, age_ms: 0 });
        }
        is_known
    }

    /// Records that this node was suspended until now. It missed the survivals of parts
    /// meanwhile: those from before count as recent still, and none is quarantined until peers
    /// had time to report later ones.
    pub fn record_resume(&mut self, suspended: Duration, now: Instant) {
        self.survivors.postpone(suspended);
        for leader in self.suspects.leaders() {
            self.update_survival(leader);
        }
        self.resumed_at = Some(now);
    }

    /// Takes the servers whose port is due for a probe. Probes confirm a crash while the
    /// store is unavailable and no other request is sent to the server.
    pub fn take_probes(&mut self, now: Instant) -> Vec<u32> {
        let suspects = self.suspects.values_mut();
        let mut due: Vec<u32> = suspects.flat_map(|s| s.take_probes(now)).collect();
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Repeats the probes of servers whose crashes are unconfirmed, since earlier ones may have
    /// been lost with the links.
    pub fn restart_probes(&mut self) {
        self.suspects.values_mut().for_each(Suspect::restart_probes);
    }

    /// Takes the updates to be published at once.
    pub fn take_updates(&mut self) -> Vec<QuarantineUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Returns whether there are updates to be published at once.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// Takes the new findings.
    pub fn take_findings(&mut self) -> Vec<QuarantineFinding> {
        std::mem::take(&mut self.findings)
    }

    /// Returns all suspects, for operators; one part of a large class stands for all.
    pub fn suspect_views(&self, now: Instant) -> Vec<SuspectView<'_>> {
        let mut views = Vec::new();
        for suspect in self.suspects.values() {
            let verdict = |subject| match suspect.kind {
                SubjectKind::Content => self.verdict(subject, now),
                SubjectKind::Part => self.part_verdict(subject, suspect, None, now),
            };
            let members = suspect.reported_members().iter();
            views.extend(members.map(|member| SuspectView {
                content: member.subject,
                kind: suspect.kind,
                parts: suspect.members().len(),
                crashes: suspect.crashes(),
                verdict: verdict(member.subject),
                quarantine_count: suspect.quarantine_count,
            }));
        }
        views
    }

    /// Returns the number of quarantined contents and parts.
    pub fn quarantined_count(&self, now: Instant) -> usize {
        let quarantined = self.suspects.values().filter(|s| s.is_quarantined(now));
        quarantined.map(|suspect| suspect.members().len()).sum()
    }

    /// Returns whether a content is tracked as a suspect.
    pub fn is_suspect(&self, content: Fingerprint) -> bool {
        self.suspects.contains(content)
    }
}
