//! Parts of prompts: the verdict on a request from those on its content and its parts, and
//! what runs show about parts.
//!
//! A part that crashes servers does so as a server begins to write for it. Each request that
//! was broken off before it had written for [`SURVIVAL_TIME`] counts against all of its parts,
//! of which one may be the cause. A stream that goes on clears its parts, so that those that
//! sound requests share stay clear.

use std::time::Duration;

use notchwalk_core::Instant;

use super::{
    explanation::{own_incidents, Explanation},
    policy::{base_threshold, risk, HOLD_AFTER_CRASH},
    Quarantine,
};
use crate::{
    subjects::PartRun,
    suspect::{Crash, Suspect},
    update::age_ms,
    CrashOrigin, Fingerprint, PromptPart, QuarantineUpdate, RequestSubjects, RequestVerdict,
    Verdict,
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

impl Quarantine {
    /// Returns the strictest verdict on the content of a request and on its parts.
    pub fn request_verdict(&self, subjects: &RequestSubjects, now: Instant) -> RequestVerdict {
        let mut strictest = RequestVerdict {
            verdict: self.verdict(subjects.content, now),
            subject: subjects.content,
        };
        for subject in subjects.parts.iter().flat_map(PromptPart::keys) {
            let Some(suspect) = self.suspects.get(&subject) else {
                continue;
            };
            let verdict = self.part_verdict(subject, suspect, Some(subjects), now);
            if verdict.strictness() > strictest.verdict.strictness() {
                strictest = RequestVerdict { verdict, subject };
            }
        }
        strictest
    }

    /// Returns the verdict on a part, in this request if it is given.
    pub(super) fn part_verdict(
        &self,
        subject: Fingerprint,
        suspect: &Suspect,
        request: Option<&RequestSubjects>,
        now: Instant,
    ) -> Verdict {
        if let Some(period) = suspect.period.filter(|period| now < period.until) {
            // Parts that nothing told apart were quarantined together.
            let is_quarantined = |other: &Suspect| other.is_quarantined(now);
            let is_explained = self.is_explained(subject, suspect, request, is_quarantined, now);
            if is_explained || self.is_trial_due(subject, suspect, now) {
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
        if self.survivors.contains(subject, now) && score < threshold + SURVIVED_EXTRA_SCORE {
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

    /// Returns whether a quarantined part may have a trial run now. A part that survived before
    /// may have been quarantined by mistake, and refusals would last for the whole quarantine.
    fn is_trial_due(&self, subject: Fingerprint, suspect: &Suspect, now: Instant) -> bool {
        let Some(period) = suspect.period else {
            return false;
        };
        if self.survivors.last_success(subject).is_none() || suspect.is_running(now) {
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

    /// Counts the failed trials of quarantined parts: confirmed crashes that no other part
    /// explains. They stay counted when the other parts' survivals are forgotten.
    pub(super) fn count_failed_trials(&mut self, now: Instant) {
        let mut counts = Vec::new();
        for (&subject, suspect) in &self.suspects {
            let Some(period) = suspect.period.filter(|_| suspect.part.is_some()) else {
                continue;
            };
            let others: Vec<&Suspect> = self.other_parts(suspect, now).map(|(_, s)| s).collect();
            let failed = own_incidents(suspect, &others, |crash| {
                crash.confirmed && crash.at > period.since
            });
            counts.push((subject, failed));
        }
        for (subject, failed) in counts {
            if let Some(suspect) = self.suspects.get_mut(&subject) {
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
        request: Option<&RequestSubjects>,
        is_candidate: impl Fn(&Suspect) -> bool,
        now: Instant,
    ) -> bool {
        let Some(request) = request else {
            return false;
        };
        let others = self.other_parts(suspect, now);
        let lacking = others.filter(|&(id, other)| !request.contains(id) && is_candidate(other));
        let lacking = lacking.map(|(_, other)| other);
        self.explanation_by(subject, suspect, lacking) != Explanation::None
    }

    /// Returns whether a part may be quarantined now. While other parts explain its crashes,
    /// requests that lack those parts may still clear this one.
    pub(super) fn may_declare_part(
        &self,
        subject: Fingerprint,
        suspect: &Suspect,
        now: Instant,
    ) -> bool {
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
        if self.survivors.contains(subject, now) && score < required {
            return false;
        }
        let others = || self.other_parts(suspect, now).map(|(_, other)| other);
        let quarantined = others().filter(|other| other.is_quarantined(now));
        if self.explanation_by(subject, suspect, quarantined) != Explanation::None {
            return false;
        }
        let contested_since = suspect
            .last_crash()
            .max(self.resumed_at.unwrap_or_default());
        let is_contested_for_long = now.since(contested_since) >= MAX_CONTESTED_TIME;
        match self.explanation_by(subject, suspect, others()) {
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
        for &part in &subjects.parts {
            self.record_part_run(part, now);
        }
    }

    /// Records that a request with a part is running on this node.
    pub fn record_part_run(&mut self, part: PromptPart, now: Instant) {
        for subject in part.keys() {
            if self.is_suspected_part(subject, now) {
                self.record_send(subject, now);
            }
        }
    }

    /// Records that a request ended without evidence for or against its content and parts.
    pub fn record_request_ended(&mut self, subjects: &RequestSubjects, now: Instant) {
        self.record_run_ended(subjects.content);
        for subject in subjects.parts.iter().flat_map(PromptPart::keys) {
            if self.is_suspected_part(subject, now) {
                self.record_run_ended(subject);
            }
        }
    }

    fn is_suspected_part(&self, subject: Fingerprint, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get(&subject) else {
            return false;
        };
        let survived = self.survivors.contains(subject, now);
        suspect.is_quarantined(now) || (!suspect.crashes().is_empty() && !survived)
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
        for &part in &subjects.parts {
            let origin = CrashOrigin {
                workspace: part.workspace(),
                content: subjects.content.short_id(),
            };
            for &server in servers {
                let crash = Crash::observed(server, others, silent, now);
                if !self.add_part_crash(part, crash, origin, now) {
                    continue;
                }
                self.updates.push(QuarantineUpdate::Crashed {
                    content: part.common(),
                    server,
                    age_ms: 0,
                    others,
                    silent,
                    origin: Some(origin),
                });
                self.publish_oldest_crash(part, origin, now);
            }
        }
    }

    /// Adds a crash to the evidence against a part in its workspace and in common. Returns
    /// whether it is new to the first.
    pub(super) fn add_part_crash(
        &mut self,
        part: PromptPart,
        crash: Crash,
        origin: CrashOrigin,
        now: Instant,
    ) -> bool {
        let run = |is_common| Some(PartRun { origin, is_common });
        let is_new = self.add_crash(part.scoped(), crash, run(false), now);
        self.add_crash(part.common(), crash, run(true), now);
        for subject in part.keys() {
            if let Some(suspect) = self.suspects.get_mut(&subject) {
                suspect.part_id = Some(part.common());
            }
        }
        is_new
    }

    /// Tells peers of the last survival of a part that this node knows of, if it contradicts a
    /// crash that a peer reports, or if it is recent and the crash is new.
    pub(super) fn publish_survival(
        &mut self,
        part: PromptPart,
        crash_at: Instant,
        is_new: bool,
        now: Instant,
    ) {
        for subject in part.keys() {
            let Some(at) = self.survivors.last_success(subject) else {
                continue;
            };
            let is_recent = is_new && self.survivors.contains(subject, now);
            if !is_recent && at <= crash_at {
                continue;
            }
            self.updates.push(QuarantineUpdate::Succeeded {
                content: subject,
                age_ms: age_ms(at, now),
            });
        }
    }

    /// Publishes the oldest crash of a part once more. A peer that knows of a survival since
    /// then responds: this node may have missed its update, for example while it was suspended.
    fn publish_oldest_crash(&mut self, part: PromptPart, origin: CrashOrigin, now: Instant) {
        /// Crashes that are more recent than this are still being published.
        const MIN_AGE: Duration = Duration::from_secs(1);
        let suspect = self.suspects.get(&part.scoped());
        let oldest = suspect.and_then(|suspect| suspect.crashes().first());
        let Some(oldest) = oldest.filter(|crash| now.since(crash.at) >= MIN_AGE) else {
            return;
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

    /// Records a successful run, which clears the content and the parts.
    pub fn record_request_success(&mut self, subjects: &RequestSubjects, now: Instant) {
        self.record_success(subjects.content, now);
        self.record_survival(subjects, now);
    }

    /// Records that a stream went on for [`SURVIVAL_TIME`] after its first event, which clears
    /// the parts of its prompt.
    pub fn record_survival(&mut self, subjects: &RequestSubjects, now: Instant) {
        for subject in subjects.parts.iter().flat_map(PromptPart::keys) {
            self.survivors.refresh(subject, now);
            self.clear_part(subject, now);
        }
    }

    fn clear_part(&mut self, subject: Fingerprint, now: Instant) {
        let Some(suspect) = self.suspects.get(&subject) else {
            return;
        };
        if suspect.crashes().is_empty() && suspect.period.is_none() {
            return;
        }
        self.clear(subject, now, crate::EndReason::Succeeded);
        self.updates.push(QuarantineUpdate::Succeeded {
            content: subject,
            age_ms: 0,
        });
    }
}
