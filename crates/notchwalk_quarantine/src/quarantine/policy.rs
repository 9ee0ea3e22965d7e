//! Decides which contents are quarantined and for how long, and expires old evidence.

use std::{collections::HashSet, time::Duration};

use notchwalk_core::Instant;

use super::{evidence::CRASH_RETENTION, Quarantine};
use crate::{
    suspect::{Incidents, Member, QuarantinePeriod, Suspect},
    update::{age_ms, saturating_ms, QuarantineUpdate},
    EndReason, Fingerprint, QuarantineDeclared, QuarantineFinding, SubjectKind,
};

/// Minimum score for a quarantine: three isolated incidents. A request may twice run on the
/// same server as a crashing one by chance.
const QUARANTINE_SCORE: u32 = 2 * 3;
/// How long a content is held after each crash if only its raised threshold allows further
/// runs. Within this time a concurrent run completes or its server ends.
pub(super) const HOLD_AFTER_CRASH: Duration = Duration::from_millis(1_200);
/// Minimum score for a repeated quarantine.
const REPEATED_QUARANTINE_SCORE: u32 = 2;
/// Duration of the first quarantine; each further one lasts twice as long. It is long
/// compared with the seconds that a server takes to return, so that three servers are
/// rarely lost again to relearn it, and short enough for a content that was quarantined by
/// mistake.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(600);
/// Maximum duration of a quarantine.
pub(super) const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);
/// How long a crash may stay unconfirmed. The registration of a server that ended expires
/// after three missed heartbeats, about 3.5 s.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay between the last crash and the quarantine, in which correlated losses become known.
/// The content is held until then.
const DECLARATION_DELAY: Duration = Duration::from_millis(150);
/// The same delay on nodes that observed none of the crashes. They declare the quarantine only
/// if the nodes that observed a crash have not done so.
const REMOTE_DECLARATION_DELAY: Duration = Duration::from_secs(2);
/// How long the end of a server is retained, to confirm crashes that are reported later
/// and to count unrelated losses.
const SERVER_END_RETENTION: Duration = Duration::from_secs(30);
/// Minimum interval between two evaluations of the rules.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Probability that the end of a server was caused by one of its requests. Most ends have
/// other causes; the value only weighs suspects against certain losses.
const REQUEST_CAUSE_PROBABILITY: f64 = 0.5;

/// A quarantine that begins on this node.
#[derive(Clone, Debug)]
pub(super) struct NewQuarantine {
    /// The content, or the parts with the same evidence.
    pub subjects: Vec<Fingerprint>,
    pub kind: SubjectKind,
    pub period: QuarantinePeriod,
    /// Number of quarantines so far, including this one.
    pub times: u32,
    /// Whether this node declares it; otherwise it was received from a peer or restored.
    pub declared_locally: bool,
}

impl Quarantine {
    /// Advances the time: removes unconfirmed and old crashes, ends expired quarantines and
    /// declares new ones.
    pub fn tick(&mut self, now: Instant) {
        if now.since(self.last_tick) < TICK_INTERVAL {
            return;
        }
        self.last_tick = now;
        self.observing_since.get_or_insert(now);
        let end_cutoff = now.before(SERVER_END_RETENTION);
        self.ended_servers.retain(|_, &mut at| at > end_cutoff);
        let unconfirmed_cutoff = now.before(CONFIRMATION_TIMEOUT);
        let retention_cutoff = now.before(CRASH_RETENTION);
        for leader in self.suspects.leaders() {
            let Some(suspect) = self.suspects.get_mut(leader) else {
                continue;
            };
            suspect.retain(|crash| {
                crash.at > retention_cutoff && (crash.confirmed || crash.at > unconfirmed_cutoff)
            });
            if suspect.period.is_some_and(|period| now >= period.until) {
                suspect.period = None;
                suspect.retain(|_| false);
                self.report_end(leader, EndReason::Lapsed);
            }
        }
        self.count_failed_trials(now);
        self.declare_quarantines(now);
        self.suspects.retain(|suspect| !is_expired(suspect, now));
    }

    /// Quarantines all contents that reached their threshold. They are selected before any
    /// of them is quarantined, since a quarantine removes crashes from other suspects.
    pub(super) fn declare_quarantines(&mut self, now: Instant) {
        let is_due = |suspect: &Suspect| {
            let is_observed_locally = suspect.crashes().iter().any(|crash| crash.observed_locally);
            let delay = match is_observed_locally {
                true => DECLARATION_DELAY,
                false => REMOTE_DECLARATION_DELAY,
            };
            let reaches_threshold =
                suspect.incidents().confirmed_score() >= self.threshold(suspect);
            reaches_threshold
                && suspect.period.is_none()
                && now.since(suspect.last_crash()) >= delay
                && (suspect.kind == SubjectKind::Content || self.may_declare_part(suspect, now))
        };
        let due = self.suspects.iter().filter(|(_, suspect)| is_due(suspect));
        let due: Vec<Fingerprint> = due.map(|(leader, _)| leader).collect();
        for &leader in &due {
            let Some(suspect) = self.suspects.get(leader) else {
                continue;
            };
            let (subjects, kind) = (suspect.subjects().collect(), suspect.kind);
            let times = suspect.quarantine_count + 1;
            let doublings = (times - 1).min(u32::BITS / 2);
            let duration = INITIAL_QUARANTINE.saturating_mul(1 << doublings);
            let period = QuarantinePeriod {
                since: now,
                until: now.after(duration.min(MAX_QUARANTINE)),
            };
            let quarantine = NewQuarantine {
                subjects,
                kind,
                period,
                times,
                declared_locally: true,
            };
            self.put_in_quarantine(quarantine, &due, now);
        }
    }

    /// Quarantines a content or parts, unless they already are or were cleared after the start of
    /// `period`. `together` are the subjects that are quarantined at the same time: their evidence
    /// shows later that one of them explains the others.
    pub(super) fn put_in_quarantine(
        &mut self,
        quarantine: NewQuarantine,
        together: &[Fingerprint],
        now: Instant,
    ) {
        if now >= quarantine.period.until {
            return;
        }
        let mut leaders = self.isolate(&quarantine.subjects);
        let unknown = quarantine.subjects.iter();
        let unknown = unknown.filter(|&&subject| !self.suspects.contains(subject));
        let unknown: Vec<Member> = unknown
            .map(|&subject| Member {
                subject,
                part: None,
            })
            .collect();
        if !unknown.is_empty() {
            self.evict_if_full(quarantine.kind, now);
            let class = Suspect::new(quarantine.kind, unknown);
            leaders.extend(self.suspects.add_class(class));
        }
        let together = together.iter();
        let together: HashSet<Fingerprint> = together
            .filter_map(|&subject| self.suspects.leader(subject))
            .collect();
        for leader in leaders {
            self.quarantine_class(leader, &quarantine, &together, now);
        }
    }

    /// Quarantines a class. Removes its crashes from other suspects below their threshold, and
    /// from other parts.
    fn quarantine_class(
        &mut self,
        leader: Fingerprint,
        quarantine: &NewQuarantine,
        together: &HashSet<Fingerprint>,
        now: Instant,
    ) {
        let &NewQuarantine {
            kind,
            period,
            times,
            declared_locally,
            ..
        } = quarantine;
        self.update_survival(leader);
        let Some(suspect) = self.suspects.get_mut(leader) else {
            return;
        };
        // An update of a quarantine that has ended meanwhile may arrive late.
        if suspect.is_quarantined(now) || period.since <= suspect.cleared_at {
            return;
        }
        suspect.kind = kind;
        suspect.period = Some(period);
        suspect.failed_trials = 0;
        suspect.quarantine_count = suspect.quarantine_count.max(times);
        suspect.count_expires_at = period.until.after(period.until.since(period.since));
        let quarantined = suspect.clone();
        if declared_locally {
            let updates = quarantined
                .subjects()
                .map(|content| QuarantineUpdate::Quarantined {
                    content,
                    age_ms: age_ms(period.since, now),
                    left_ms: saturating_ms(period.until.since(now)),
                    times,
                    kind,
                });
            self.updates.extend(updates);
        }
        for (other, suspect) in self.suspects.iter_mut() {
            if other == leader || suspect.is_quarantined(now) || together.contains(&other) {
                continue;
            }
            // A sound part may have run on all servers that a fatal one crashed, since many
            // requests share it.
            let is_other_part = kind == SubjectKind::Part
                && suspect.kind == SubjectKind::Part
                && !suspect.is_same_part(&quarantined);
            let reaches_base_threshold = suspect.incidents().score() >= base_threshold(suspect);
            if reaches_base_threshold && !is_other_part {
                continue;
            }
            suspect.retain(|crash| !quarantined.ran_on(crash.server));
        }
        for crash in quarantined.crashes() {
            self.update_correlation(crash.at, now);
        }
        for member in quarantined.reported_members() {
            self.findings
                .push(QuarantineFinding::Quarantined(QuarantineDeclared {
                    content: member.subject,
                    kind,
                    parts: quarantined.members().len(),
                    crashes: quarantined.crashes().to_vec(),
                    duration: period.until.since(now),
                    quarantine_count: times,
                    declared_locally,
                }));
        }
    }
}

/// Returns the minimum score for a quarantine without the increase for unrelated server
/// losses. It is lower for a content that was quarantined before.
pub(super) fn base_threshold(suspect: &Suspect) -> u32 {
    match suspect.quarantine_count {
        0 => QUARANTINE_SCORE,
        _ => REPEATED_QUARANTINE_SCORE,
    }
}

/// Estimates the probability that the next run crashes its server. After one incident, the
/// requests that ran on the server are equally likely to be the cause; a second incident is
/// unlikely to be a coincidence.
pub(super) fn risk(suspect: &Suspect, incidents: Incidents) -> f64 {
    if incidents.count() > 1 {
        return 1.0;
    }
    let fewest_others = suspect
        .crashes()
        .iter()
        .map(|crash| crash.other_requests)
        .min();
    REQUEST_CAUSE_PROBABILITY / f64::from(1 + fewest_others.unwrap_or(0))
}

/// Returns whether a suspect can be removed. Its quarantine count is retained until the count
/// expires, and the time of a clearance while older updates may still arrive.
fn is_expired(suspect: &Suspect, now: Instant) -> bool {
    /// Minimum period for which a suspect is retained after it was cleared. It is longer than
    /// `REBROADCAST_PERIOD`, so that a crash from before the clearance is still ignored when
    /// the node that observed it repeats it.
    const CLEARED_RETENTION: Duration = Duration::from_secs(30);
    let is_idle = suspect.crashes().is_empty() && !suspect.is_quarantined(now);
    let since_clear = now.since(suspect.cleared_at);
    let retains_count = suspect.quarantine_count > 0 && now < suspect.count_expires_at;
    is_idle && !retains_count && since_clear >= CLEARED_RETENTION
}
