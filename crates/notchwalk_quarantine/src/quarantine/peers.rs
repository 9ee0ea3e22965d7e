//! Updates received from peers, and updates rebroadcast to them.

use std::time::Duration;

use notchwalk_core::Instant;

use super::{
    policy::{NewQuarantine, MAX_QUARANTINE},
    Quarantine,
};
use crate::{
    suspect::{Crash, QuarantinePeriod, Runner, Suspect},
    update::{age_ms, saturating_ms, time_of, QuarantineUpdate},
    CrashOrigin, EndReason, Fingerprint, PromptPart, SubjectKind,
};

/// Maximum number of updates in one rebroadcast, so that they fit into a datagram.
const MAX_REBROADCAST: usize = 24;
/// Maximum number of subjects in one rebroadcast: five datagrams.
const MAX_REBROADCAST_SUBJECTS: usize = 240;
/// How often the parts of a large class that are rebroadcast change, in microseconds.
const ROTATION_US: usize = 250_000;
/// How long heartbeats repeat a crash that this node observed, since datagrams may be lost.
const REBROADCAST_PERIOD: Duration = Duration::from_millis(1_200);

impl Quarantine {
    /// Applies the updates of a peer. Consecutive ones that differ only in their subject are
    /// applied together, so that parts that ran together stay in one class.
    pub fn apply_updates(&mut self, peer: u32, updates: &[QuarantineUpdate], now: Instant) {
        let together = updates.iter().filter(|update| {
            let update: &QuarantineUpdate = update;
            matches!(update, QuarantineUpdate::Quarantined { .. })
        });
        let together: Vec<Fingerprint> = together.filter_map(QuarantineUpdate::subject).collect();
        for batch in updates.chunk_by(QuarantineUpdate::differs_in_subject) {
            let Some(&update) = batch.first() else {
                continue;
            };
            let subjects = batch.iter().filter_map(QuarantineUpdate::subject);
            let subjects: Vec<Fingerprint> = subjects.collect();
            self.apply_update(peer, update, &subjects, &together, now);
        }
    }

    /// Applies an update of a peer to all of `subjects`. `together` are all subjects that its
    /// updates quarantine.
    fn apply_update(
        &mut self,
        peer: u32,
        update: QuarantineUpdate,
        subjects: &[Fingerprint],
        together: &[Fingerprint],
        now: Instant,
    ) {
        match update {
            QuarantineUpdate::Crashed {
                server,
                age_ms,
                others,
                silent,
                origin,
                ..
            } => {
                let crash = Crash {
                    at: time_of(age_ms, now),
                    observed_locally: false,
                    ..Crash::observed(server, others, silent, now)
                };
                match origin {
                    Some(origin) => self.apply_part_crash(subjects, crash, origin, now),
                    None => {
                        for &content in subjects {
                            self.add_crash(content, crash, now);
                        }
                    }
                }
            }
            QuarantineUpdate::ServerEnded { server, age_ms } => {
                self.confirm_crashes(server, time_of(age_ms, now));
            }
            QuarantineUpdate::ServerAlive {
                server,
                since_ms,
                age_ms,
            } => {
                self.refute_crashes(server, time_of(since_ms, now), time_of(age_ms, now));
            }
            QuarantineUpdate::Succeeded { age_ms, .. } => {
                let at = time_of(age_ms, now);
                for &subject in subjects {
                    let suspect = self.suspects.get(subject);
                    if suspect.is_some_and(|suspect| suspect.kind == SubjectKind::Part) {
                        self.survivors.refresh(subject, at);
                    }
                }
                self.clear(subjects, at, EndReason::Told);
            }
            QuarantineUpdate::Released { age_ms, .. } => {
                self.clear(subjects, time_of(age_ms, now), EndReason::Told);
            }
            QuarantineUpdate::Running { .. } => {
                for leader in self.isolate(subjects) {
                    if let Some(suspect) = self.suspects.get_mut(leader) {
                        suspect.begin_run(Runner::Peer(peer), now);
                    }
                }
            }
            QuarantineUpdate::RunningClass { .. } => {
                for &subject in subjects {
                    if let Some(suspect) = self.suspects.get_mut(subject) {
                        suspect.begin_run(Runner::Peer(peer), now);
                    }
                }
            }
            QuarantineUpdate::Idle { .. } => {
                for &subject in subjects {
                    if let Some(suspect) = self.suspects.get_mut(subject) {
                        suspect.end_run(Runner::Peer(peer));
                    }
                }
            }
            QuarantineUpdate::Quarantined {
                age_ms,
                left_ms,
                times,
                kind,
                ..
            } => {
                let left = Duration::from_millis(left_ms.into());
                let period = QuarantinePeriod {
                    since: time_of(age_ms, now),
                    until: now.after(left.min(MAX_QUARANTINE)),
                };
                let quarantine = NewQuarantine {
                    subjects: subjects.to_vec(),
                    kind,
                    period,
                    times,
                    declared_locally: false,
                };
                self.put_in_quarantine(quarantine, together, now);
            }
        }
    }

    /// Applies a crash of parts, which are identified by their fingerprints in common.
    fn apply_part_crash(
        &mut self,
        common: &[Fingerprint],
        crash: Crash,
        origin: CrashOrigin,
        now: Instant,
    ) {
        let parts = common.iter();
        let parts: Vec<PromptPart> = parts
            .map(|&common| PromptPart::from_common(common, origin.workspace))
            .collect();
        let new = self.add_part_crash(&parts, crash, origin, now);
        self.publish_survivals(&parts, &new, crash.at, now);
    }

    /// Ends the runs of a peer that is no longer a member.
    pub fn remove_peer(&mut self, peer: u32) {
        for suspect in self.suspects.values_mut() {
            suspect.end_run(Runner::Peer(peer));
        }
    }

    /// Restores a quarantine from the store. `times` counts the quarantines so far, including
    /// this one.
    pub fn restore(
        &mut self,
        content: Fingerprint,
        kind: SubjectKind,
        left: Duration,
        times: u32,
        now: Instant,
    ) {
        let period = QuarantinePeriod {
            since: now,
            until: now.after(left.min(MAX_QUARANTINE)),
        };
        let quarantine = NewQuarantine {
            subjects: vec![content],
            kind,
            period,
            times,
            declared_locally: false,
        };
        self.put_in_quarantine(quarantine, &[], now);
    }

    /// Returns the updates to rebroadcast: crashes that this node observed a short time ago.
    /// With `full`, the result also contains the quarantines and the older crashes of
    /// suspects with several incidents, for nodes that have just started.
    pub fn updates_to_rebroadcast(&self, full: bool, now: Instant) -> Vec<QuarantineUpdate> {
        let mut batches: Vec<Vec<QuarantineUpdate>> = Vec::new();
        for suspect in self.suspects.values().filter(|_| full) {
            let Some(period) = suspect.period.filter(|period| now < period.until) else {
                continue;
            };
            let updates = suspect
                .subjects()
                .map(|content| QuarantineUpdate::Quarantined {
                    content,
                    age_ms: age_ms(period.since, now),
                    left_ms: saturating_ms(period.until.since(now)),
                    times: suspect.quarantine_count,
                    kind: suspect.kind,
                });
            batches.push(updates.collect());
        }
        for suspect in self.suspects.values() {
            if suspect.is_quarantined(now) {
                continue;
            }
            let is_repeated = full && suspect.incidents().count() > 1;
            for crash in suspect.crashes() {
                let is_recent = crash.observed_locally && now.since(crash.at) < REBROADCAST_PERIOD;
                if is_recent || is_repeated {
                    batches.extend(crash_updates(suspect, crash, now));
                }
            }
        }
        batches.truncate(MAX_REBROADCAST);
        limit_subjects(batches, now)
    }
}

/// Returns the updates about a crash, one for each member of the class. The evidence in common is
/// derived from that in the workspaces.
fn crash_updates(suspect: &Suspect, crash: &Crash, now: Instant) -> Option<Vec<QuarantineUpdate>> {
    let origin = match suspect.part {
        Some(evidence) => Some(evidence.origin()?),
        None => None,
    };
    let updates = suspect
        .members()
        .iter()
        .map(|member| QuarantineUpdate::Crashed {
            content: member.part.unwrap_or(member.subject),
            server: crash.server,
            age_ms: age_ms(crash.at, now),
            others: crash.other_requests,
            silent: crash.silent,
            origin,
        });
    Some(updates.collect())
}

/// Takes at most [`MAX_REBROADCAST_SUBJECTS`] updates, of the smallest classes first: their
/// evidence says most. Those of a class that exceeds the rest take turns.
fn limit_subjects(mut batches: Vec<Vec<QuarantineUpdate>>, now: Instant) -> Vec<QuarantineUpdate> {
    batches.sort_by_key(Vec::len);
    let mut updates = Vec::new();
    for batch in batches {
        let left = MAX_REBROADCAST_SUBJECTS - updates.len();
        if batch.len() <= left {
            updates.extend(batch);
            continue;
        }
        let turn = now.as_micros() as usize / ROTATION_US;
        let start = turn.wrapping_mul(left) % batch.len();
        updates.extend(batch.iter().cycle().skip(start).take(left));
    }
    updates
}
