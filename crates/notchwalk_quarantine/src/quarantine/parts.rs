//! Parts of prompts: the verdict on a request from those on its content and its parts, and
//! what runs show about parts.
//!
//! A part that crashes servers does so as a server begins to write for it. Each request that
//! was broken off before it had written for [`SURVIVAL_TIME`] counts against all of its parts,
//! of which one may be the cause. A stream that goes on clears its parts, so that those that
//! sound requests share stay clear.

use std::{collections::HashSet, hash::BuildHasher, time::Duration};

use notchwalk_core::Instant;

use super::{
    explanation::{own_incidents, Explanation},
    policy::{base_threshold, risk, HOLD_AFTER_CRASH},
    Quarantine,
};
use crate::{
    suspect::{Crash, Runner, Suspect},
    update::age_ms,
    CrashOrigin, EndReason, Fingerprint, PromptPart, QuarantineUpdate, RequestSubjects,
    RequestVerdict, Verdict,
};

/// How long a stream has to go on after its first event to clear the parts of its prompt.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);
/// Extra score that is required of a part that survived a short time ago: two isolated
/// incidents. All streams may be lost in several incidents before one of them survives.
const SURVIVED_EXTRA_SCORE: u32 = 4;

/// Interval between the trial runs of a quarantined part that survived before; each failed one
/// doubles it.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);
/// Number of failed trials after which a part has no further ones: each costs callers a server.
const MAX_FAILED_TRIALS: u32 = 3;
/// Maximum number of parts with the same evidence whose run is published one by one. One stands
/// for the others of a larger class.
const MAX_PUBLISHED_RUNS: usize = 48;
/// Maximum number of survivals that are published for one crash, since all nodes publish them.
const MAX_PUBLISHED_SURVIVALS: usize = 480;

impl Quarantine {
    /// Returns the strictest verdict on the content of a request and on its parts.
    pub fn request_verdict(&self, subjects: &RequestSubjects, now: Instant) -> RequestVerdict {
        let mut strictest = RequestVerdict {
            verdict: self.verdict(subjects.content, now),
            subject: subjects.content,
        };
        let suspects = self.suspects_of(subjects);
        if suspects.is_empty() {
            return strictest;
        }
        let request: HashSet<Fingerprint> = keys(&subjects.parts).collect();
        for (subject, suspect) in suspects {
            let verdict = self.part_verdict(subject, suspect, Some(&request), now);
            if verdict.strictness() > strictest.verdict.strictness() {
                strictest = RequestVerdict { verdict, subject };
            }
        }
        strictest
    }

    /// Returns the suspected parts of a request, one of each class.
    fn suspects_of(&self, subjects: &RequestSubjects) -> Vec<(Fingerprint, &Suspect)> {
        let mut seen = HashSet::new();
        let mut suspects = Vec::new();
        for subject in keys(&subjects.parts) {
            let leader = self.suspects.leader(subject);
            let Some(leader) = leader.filter(|&leader| seen.insert(leader)) else {
                continue;
            };
            suspects.extend(self.suspects.get(leader).map(|suspect| (subject, suspect)));
        }
        suspects
    }

    /// Returns the verdict on a part, in the request with these parts if they are given.
    pub(super) fn part_verdict(
        &self,
        subject: Fingerprint,
        suspect: &Suspect,
        request: Option<&HashSet<Fingerprint>>,
        now: Instant,
    ) -> Verdict {
        if let Some(period) = suspect.period.filter(|period| now < period.until) {
            // Parts that nothing told apart were quarantined together.
            let is_quarantined = |other: &Suspect| other.is_quarantined(now);
            let is_explained = self.is_explained(subject, suspect, request, is_quarantined, now);
            if is_explained || is_trial_due(suspect, now) {
                return self.trial_verdict(suspect, now);
            }
            return Verdict::Quarantined {
                until: period.until,
            };
        }
        let incidents = suspect.incidents();
        let is_weak = incidents.isolated == 0 && incidents.correlated < 2;
        if is_weak || !suspect.applies() {
            return Verdict::Allowed;
        }
        let score = incidents.score();
        let threshold = self.threshold(suspect);
        if self.has_survived(suspect, now) && score < threshold + SURVIVED_EXTRA_SCORE {
            return Verdict::Allowed;
        }
        // Many requests share a part, so crashes that stay unconfirmed do not hold it for long.
        let is_on_hold = now.since(suspect.last_crash()) < HOLD_AFTER_CRASH;
        let is_over = incidents.confirmed_score() >= threshold
            || (score >= base_threshold(suspect) && is_on_hold);
        if is_over
            && suspect.may_be_cause()
            && !self.is_explained(subject, suspect, request, |_| true, now)
        {
            return Verdict::Held;
        }
        self.trial_verdict(suspect, now)
    }

    /// Returns the verdict on a part of which one request at a time may run.
    fn trial_verdict(&self, suspect: &Suspect, now: Instant) -> Verdict {
        if suspect.is_running(now) {
            return Verdict::RunningElsewhere;
        }
        Verdict::Suspected {
            risk: risk(suspect, suspect.incidents()),
        }
    }

    /// Counts the failed trials of quarantined parts: confirmed crashes that no other part
    /// explains. They stay counted when the other parts' survivals are forgotten.
    pub(super) fn count_failed_trials(&mut self, now: Instant) {
        let mut counts = Vec::new();
        for (leader, suspect) in self.suspects.iter() {
            let Some(period) = suspect.period.filter(|_| suspect.part.is_some()) else {
                continue;
            };
            let others = self.other_parts(suspect.part_id(), |_| true, now);
            let others: Vec<&Suspect> = others.map(|other| other.suspect).collect();
            let failed = own_incidents(suspect, &others, |crash| {
                crash.confirmed && crash.at > period.since
            });
            counts.push((leader, failed));
        }
        for (leader, failed) in counts {
            if let Some(suspect) = self.suspects.get_mut(leader) {
                suspect.failed_trials = suspect.failed_trials.max(failed);
            }
        }
    }

    /// Returns whether parts that the request lacks, and for which `is_candidate` returns true,
    /// explain the crashes of a part.
    fn is_explained(
        &self,
        subject: Fingerprint,
        suspect: &Suspect,
        request: Option<&HashSet<Fingerprint>>,
        is_candidate: impl Fn(&Suspect) -> bool,
        now: Instant,
    ) -> bool {
        let Some(request) = request else {
            return false;
        };
        let mut members = suspect.members().iter();
        let member = members.find(|member| member.subject == subject);
        let id = member.and_then(|member| member.part);
        let others = self.other_parts(id, |other| !request.contains(&other), now);
        let lacking = others.filter(|other| is_candidate(other.suspect));
        self.explanation_by(suspect, lacking) != Explanation::None
    }

    /// Returns whether a part may be quarantined now. While other parts explain its crashes,
    /// requests that lack those parts may still clear this one.
    pub(super) fn may_declare_part(&self, suspect: &Suspect, now: Instant) -> bool {
        /// How long after the last crash such requests are awaited.
        const MAX_CONTESTED_TIME: Duration = Duration::from_secs(3);
        /// How long peers may take to report survivals to a node that resumes.
        const RESUME_TIME: Duration = Duration::from_secs(2);
        let has_just_resumed = self
            .resumed_at
            .is_some_and(|at| now.since(at) < RESUME_TIME);
        if !suspect.may_be_cause() || has_just_resumed {
            return false;
        }
        let score = suspect.incidents().confirmed_score();
        let required = self.threshold(suspect) + SURVIVED_EXTRA_SCORE;
        if self.has_survived(suspect, now) && score < required {
            return false;
        }
        let others = || self.other_parts(suspect.part_id(), |_| true, now);
        let quarantined = others().filter(|other| other.suspect.is_quarantined(now));
        if self.explanation_by(suspect, quarantined) != Explanation::None {
            return false;
        }
        let contested_since = suspect
            .last_crash()
            .max(self.resumed_at.unwrap_or_default());
        let is_contested_for_long = now.since(contested_since) >= MAX_CONTESTED_TIME;
        match self.explanation_by(suspect, others()) {
            Explanation::None => true,
            Explanation::Contested => is_contested_for_long,
            Explanation::Composed => false,
            Explanation::Dominated => {
                is_contested_for_long && self.is_dominated_by_composed(suspect, now)
            }
        }
    }

    /// Records that a request was sent to a server. Only runs of suspects are tracked.
    pub fn record_request_sent(&mut self, subjects: &RequestSubjects, now: Instant) {
        self.record_send(subjects.content, now);
        self.record_part_runs(&subjects.parts, now);
    }

    /// Records that a request with these parts is running on this node.
    pub fn record_part_runs(&mut self, parts: &[PromptPart], now: Instant) {
        let suspected = self.suspected_parts(parts, now);
        for leader in self.isolate(&suspected) {
            let Some(suspect) = self.suspects.get_mut(leader) else {
                continue;
            };
            suspect.begin_run(Runner::Local, now);
            if suspect.members().len() > MAX_PUBLISHED_RUNS {
                let update = QuarantineUpdate::RunningClass { content: leader };
                self.updates.push(update);
                continue;
            }
            let running = suspect.subjects();
            let running = running.map(|content| QuarantineUpdate::Running { content });
            self.updates.extend(running);
        }
    }

    /// Records that a request ended without evidence for or against its content and parts.
    pub fn record_request_ended(&mut self, subjects: &RequestSubjects, now: Instant) {
        self.record_run_ended(subjects.content);
        let suspected = self.suspected_parts(&subjects.parts, now);
        for leader in self.isolate(&suspected) {
            let Some(suspect) = self.suspects.get_mut(leader) else {
                continue;
            };
            suspect.end_run(Runner::Local);
            let published = match suspect.members().len() {
                0..=MAX_PUBLISHED_RUNS => suspect.members(),
                _ => &suspect.members()[..1],
            };
            let ended = published.iter().map(|member| QuarantineUpdate::Idle {
                content: member.subject,
            });
            self.updates.extend(ended);
        }
    }

    /// Returns the parts whose runs are tracked.
    fn suspected_parts(&self, parts: &[PromptPart], now: Instant) -> Vec<Fingerprint> {
        let is_tracked = |&subject: &Fingerprint| {
            self.suspects.get(subject).is_some_and(|suspect| {
                let has_crashes = !suspect.crashes().is_empty();
                suspect.is_quarantined(now) || (has_crashes && !self.has_survived(suspect, now))
            })
        };
        keys(parts).filter(is_tracked).collect()
    }

    /// Records that the connection to a server broke while it was running a request, as
    /// [`Self::record_broken_connection`] does. It counts against the parts of the prompt
    /// unless the request `survived`.
    pub fn record_request_broken(
        &mut self,
        subjects: &RequestSubjects,
        servers: &[u32],
        others: u16,
        silent: bool,
        survived: bool,
        now: Instant,
    ) {
        self.record_request_ended(subjects, now);
        self.record_broken_connection(subjects.content, servers, others, silent, now);
        if survived {
            return;
        }
        let Some(workspace) = subjects.parts.first().map(PromptPart::workspace) else {
            return;
        };
        let origin = CrashOrigin {
            workspace,
            content: subjects.content.short_id(),
        };
        for &server in servers {
            let crash = Crash::observed(server, others, silent, now);
            let new = self.add_part_crash(&subjects.parts, crash, origin, now);
            let updates = new.iter().map(|part| QuarantineUpdate::Crashed {
                content: part.common(),
                server,
                age_ms: 0,
                others,
                silent,
                origin: Some(origin),
            });
            self.updates.extend(updates);
            self.publish_oldest_crashes(&new, origin, now);
        }
    }

    /// Tells peers of the last survivals of parts that this node knows of, if they contradict a
    /// crash that a peer reports, or if they are recent and the crash is new. Of many, each node
    /// publishes others.
    pub(super) fn publish_survivals(
        &mut self,
        parts: &[PromptPart],
        new: &[PromptPart],
        crash_at: Instant,
        now: Instant,
    ) {
        let new: HashSet<Fingerprint> = new.iter().map(PromptPart::scoped).collect();
        let mut updates = Vec::new();
        for part in parts {
            for subject in part.keys() {
                let Some(at) = self.survivors.last_success(subject) else {
                    continue;
                };
                let is_new = new.contains(&part.scoped());
                let is_recent = is_new && self.survivors.contains(subject, now);
                if is_recent || at > crash_at {
                    updates.push(QuarantineUpdate::Succeeded {
                        content: subject,
                        age_ms: age_ms(at, now),
                    });
                }
            }
        }
        if updates.len() > MAX_PUBLISHED_SURVIVALS {
            let turn = self.node_seed.hash_one(self.last_tick) as usize;
            let start = turn % updates.len();
            updates.rotate_left(start);
            updates.truncate(MAX_PUBLISHED_SURVIVALS);
        }
        self.updates.extend(updates);
    }

    /// Publishes the oldest crash of each part once more. A peer that knows of a survival since
    /// then responds: this node may have missed its update, for example while it was suspended.
    fn publish_oldest_crashes(&mut self, parts: &[PromptPart], origin: CrashOrigin, now: Instant) {
        /// Crashes that are more recent than this are still being published.
        const MIN_AGE: Duration = Duration::from_secs(1);
        for part in parts {
            let suspect = self.suspects.get(part.scoped());
            let oldest = suspect.and_then(|suspect| suspect.crashes().first());
            let Some(oldest) = oldest.filter(|crash| now.since(crash.at) >= MIN_AGE) else {
                continue;
            };
            self.updates.push(QuarantineUpdate::Crashed {
                content: part.common(),
                server: oldest.server,
                age_ms: age_ms(oldest.at, now),
                others: oldest.other_requests,
                silent: oldest.silent,
                origin: Some(origin),
            });
        }
    }

    /// Records a successful run, which clears the content and the parts.
    pub fn record_request_success(&mut self, subjects: &RequestSubjects, now: Instant) {
        self.record_success(subjects.content, now);
        self.record_survival(subjects, now);
    }

    /// Records that a stream went on for [`SURVIVAL_TIME`] after its first event, which clears
    /// the parts of its prompt.
    pub fn record_survival(&mut self, subjects: &RequestSubjects, now: Instant) {
        let mut suspected = Vec::new();
        for subject in keys(&subjects.parts) {
            self.survivors.refresh(subject, now);
            let suspect = self.suspects.get(subject);
            if suspect.is_some_and(|s| !s.crashes().is_empty() || s.period.is_some()) {
                suspected.push(subject);
            }
        }
        self.clear(&suspected, now, EndReason::Succeeded);
        let updates = suspected.into_iter();
        self.updates
            .extend(updates.map(|content| QuarantineUpdate::Succeeded { content, age_ms: 0 }));
    }
}

/// Returns the fingerprints of parts in their workspaces and in common.
fn keys(parts: &[PromptPart]) -> impl Iterator<Item = Fingerprint> + use<'_> {
    parts.iter().flat_map(PromptPart::keys)
}

/// Returns whether a quarantined part may have a trial run now. A part that survived before
/// may have been quarantined by mistake, and refusals would last for the whole quarantine.
fn is_trial_due(suspect: &Suspect, now: Instant) -> bool {
    let Some(period) = suspect.period else {
        return false;
    };
    if suspect.last_survival.is_none() || suspect.is_running(now) {
        return false;
    }
    if suspect.failed_trials >= MAX_FAILED_TRIALS {
        return false;
    }
    let last = period
        .since
        .max(suspect.last_run())
        .max(suspect.last_crash());
    now.since(last) >= TRIAL_INTERVAL * (1 << suspect.failed_trials)
}
